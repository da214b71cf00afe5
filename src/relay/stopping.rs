//! The planned stop of a box as its requests see it: when it ends, and which requests are still accepted.

use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::Relay;
use super::call::Call;
use super::table::Route;
use crate::decide::stop::{AnswerTimes, LateRequest};
use crate::error::{Failure, Kind};
use crate::sync::lock;

/// Retry-After of a box that is shutting down; callers reach another box.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// The state of a planned stop.
#[derive(Debug)]
pub struct Stopping {
    ends_at: OnceLock<Instant>,
    ended: watch::Sender<bool>,
    times: Mutex<AnswerTimes>,
}

impl Default for Stopping {
    fn default() -> Self {
        Self { ends_at: OnceLock::new(), ended: watch::Sender::new(false), times: Mutex::default() }
    }
}

impl Stopping {
    /// Begins a stop, at whose end requests without an answer are told so.
    pub fn begin(&self, ends_at: Instant) {
        let _ = self.ends_at.set(ends_at);
    }

    /// Whether a stop has begun.
    pub(super) fn has_begun(&self) -> bool {
        self.ends_at.get().is_some()
    }

    /// Ends all requests that have no answer yet.
    pub fn end(&self) {
        self.ended.send_replace(true);
    }

    /// Follows the end.
    pub(super) fn follow_end(&self) -> StopEnd {
        StopEnd(self.ended.subscribe())
    }

    /// Waits for the end.
    pub(crate) async fn ended(&self) {
        self.follow_end().wait().await;
    }

    /// Time until the end; `None` if no stop has begun.
    pub(crate) fn time_left(&self) -> Option<Duration> {
        self.ends_at.get().map(|end| end.saturating_duration_since(Instant::now()))
    }

    /// Whether something that takes at most `time` ends before the box has stopped.
    pub(super) fn has_time(&self, time: Duration) -> bool {
        self.time_left().is_none_or(|left| time <= left)
    }

    /// Records how long a request took, for those that arrive during a stop.
    pub(super) fn record_time(&self, route: &Route, time: Duration) {
        lock(&self.times).record(&route.name, time);
    }

    /// Drops what is known of routes that are no longer published.
    pub(super) fn retain_routes(&self, is_published: impl Fn(&str) -> bool) {
        lock(&self.times).retain(is_published);
    }
}

/// The end of a stop, for those who wait for it repeatedly.
pub(super) struct StopEnd(watch::Receiver<bool>);

impl StopEnd {
    /// Waits for the end.
    pub(super) async fn wait(&mut self) {
        if self.0.wait_for(|ended| *ended).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Refuses a request that is not expected to end before the box has stopped. Nothing of it may have run.
///
/// # Errors
/// [`Kind::Draining`].
pub(super) fn check(
    relay: &Relay,
    id: &str,
    route: &Route,
    time_left: Duration,
) -> Result<(), Failure> {
    let Some(left) = relay.stopping.time_left() else {
        return Ok(());
    };
    let expected = lock(&relay.stopping.times).expected(&route.name);
    let is_repeatable = route.repeat.is_repeatable();
    let late = LateRequest { is_repeatable, time_left, expected, objective: route.objective };
    if late.ends_within(left) {
        return Ok(());
    }
    relay.context.metrics.count_late("refused");
    tracing::info!(
        event = "request_late",
        id,
        route = route.name,
        stop_ms = left.as_millis() as u64,
        left_ms = time_left.as_millis() as u64,
        usual_ms = expected.map(|it| it.usual.as_millis() as u64),
        longest_ms = expected.map(|it| it.longest.as_millis() as u64),
    );
    Err(refusal("the box stops before the answer is expected; ask another"))
}

/// The failure of a request that has not been sent when the box stops.
pub(super) fn refusal(text: &str) -> Failure {
    Failure::new(Kind::Draining, text).after(Some(RETRY_AFTER))
}

/// The failure of a request that has been sent and has no answer when the box stops.
pub(super) fn cut(relay: &Relay, call: &Call, route: &Route) -> Failure {
    relay.context.metrics.count_late("cut");
    tracing::warn!(
        event = "request_cut",
        id = call.head.id,
        route = route.name,
        repeatable = route.repeat.is_repeatable(),
        ms = call.arrived.elapsed().as_millis() as u64,
        left_ms = call.time_left().as_millis() as u64,
    );
    Failure::new(Kind::Stopped, "the box stopped before the answer came")
}
