//! Logs: one key=value line for each event, on standard output.
//!
//! Lines go through a bounded queue to a thread of their own that writes them, so a reader that stops
//! reading never holds a request up. When the queue is full, lines are dropped and counted; the count
//! is a metric, and is logged once lines pass again.

use std::panic::PanicHookInfo;
use std::sync::OnceLock;
use std::time::Duration;

use super::volume;
use eyre::{Result, WrapErr, eyre};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Lines that wait to be written at most; at 300 bytes a line, about 600 KB.
const QUEUE_LINES: usize = 2_048;

/// Time between two looks at the count of dropped lines.
const LOOK: Duration = Duration::from_secs(5);

static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

/// Starts logging at `level`: a level, or a filter such as `info,emberturn::group=debug`. What waits
/// is written when the guard is dropped.
///
/// # Errors
/// When the filter cannot be read, or logging was started before.
pub fn start(level: &str) -> Result<WorkerGuard> {
    let filter = EnvFilter::try_new(level).wrap_err_with(|| format!("log level {level:?}"))?;
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUE_LINES)
        .lossy(true)
        .thread_name("logs")
        .finish(std::io::stdout());
    let _ = DROPPED.set(writer.error_counter());
    let layer = tracing_logfmt::builder().with_span_path(false).with_span_name(false).layer();
    tracing_subscriber::registry()
        .with(filter)
        .with(layer.with_writer(writer))
        .try_init()
        .map_err(|error| eyre!("start logging: {error}"))?;
    std::panic::set_hook(Box::new(log_panic));
    Ok(guard)
}

/// Logs a panic with its place, in place of the lines on standard error.
fn log_panic(panic: &PanicHookInfo<'_>) {
    let place = panic.location().map(ToString::to_string).unwrap_or_default();
    let payload = panic.payload();
    let text = payload.downcast_ref::<String>().map(String::as_str);
    let text = text.or_else(|| payload.downcast_ref::<&str>().copied()).unwrap_or_default();
    tracing::error!(event = "panicked", place, text);
}

/// Lines dropped since the start.
pub fn dropped() -> usize {
    DROPPED.get().map_or(0, ErrorCounter::dropped_lines)
}

/// Tells of dropped lines until the task is dropped.
pub async fn tell_dropped() {
    let (mut told, mut told_ordinary) = (0, 0);
    loop {
        tokio::time::sleep(LOOK).await;
        let dropped = dropped();
        if dropped > told {
            tracing::warn!(
                event = "log_lines_dropped",
                lines = dropped - told,
                since_start = dropped
            );
            told = dropped;
        }
        let ordinary = volume::left_out();
        if ordinary > told_ordinary {
            tracing::info!(event = "ordinary_lines_left_out", lines = ordinary - told_ordinary);
            told_ordinary = ordinary;
        }
    }
}
