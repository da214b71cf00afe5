//! Tasks that run for as long as the process does.

use std::future::Future;
use std::time::Duration;

/// Pause before a task that panicked is started again.
const RESTART_PAUSE: Duration = Duration::from_secs(1);

/// Runs a task until it returns. One that panics is started again: what it works on is on the blackboard, and
/// a node without it would go on and be of no use.
pub fn keep<F>(name: &'static str, start: impl Fn() -> F + Send + 'static)
where
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        while let Err(error) = tokio::spawn(start()).await {
            if !error.is_panic() {
                return;
            }
            tracing::error!(event = "task_restarted", task = name);
            tokio::time::sleep(RESTART_PAUSE).await;
        }
    });
}
