//! The intervals at which boxes send heartbeats and look for a lost leader, by the size of the fleet.
//!
//! Each heartbeat costs the leader about the same processor time, so at a fixed interval the leader's load would grow
//! with the number of boxes. Requests don't wait for heartbeats, so a large fleet can send them less often: the
//! interval grows such that the leader answers at most [`MAX_HEARTBEATS_PER_SECOND`], up to the longest interval that
//! leases allow.

use std::time::Duration;

/// The time between two heartbeats of a box in a small fleet.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// The most heartbeats a second from all boxes together, while [`MAX_HEARTBEAT_INTERVAL`] allows it.
pub const MAX_HEARTBEATS_PER_SECOND: f64 = 1_000.0;

/// The longest time between two heartbeats: a lease lasts for two of them and their retries.
pub const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2_000);

/// The most attempts to find a lost leader that all boxes together make in a second: no more than the replicas can
/// answer.
const MAX_RETRIES_PER_SECOND: f64 = 2_000.0;

/// The shortest delay before the next attempt.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The longest delay before the next attempt: about the time that an election takes.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// The longest time for which one replica is waited for with a heartbeat: the leader answers from memory, within a few
/// milliseconds. One that stands still is left for the next within about an election's time.
pub const MAX_REPLY_WAIT: Duration = Duration::from_millis(400);

/// The shortest time for which one replica is waited for with a report of crashes.
const MIN_CRASH_REPLY_WAIT: Duration = Duration::from_millis(100);

/// How long one replica is waited for with a report of crashes, after `unanswered` calls. What a box knows of crashes is
/// lost with its process, so the report is repeated soon; a leader that is slow has more time with each call.
pub fn crash_reply_wait(unanswered: u32) -> Duration {
    MIN_CRASH_REPLY_WAIT.saturating_mul(1 << unanswered.min(8)).min(MAX_REPLY_WAIT)
}

/// The time between two heartbeats of a box in a fleet of `boxes`.
pub fn heartbeat_interval(boxes: u32) -> Duration {
    let interval = Duration::from_secs_f64(f64::from(boxes) / MAX_HEARTBEATS_PER_SECOND);
    interval.clamp(HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL)
}

/// The delay until a box in a fleet of `boxes` looks for the leader again after `failed` unanswered attempts. It
/// doubles with each attempt, up to the delay at which all boxes together make [`MAX_RETRIES_PER_SECOND`] attempts.
pub fn retry_delay(boxes: u32, failed: u32) -> Duration {
    let fleet_delay = Duration::from_secs_f64(f64::from(boxes) / MAX_RETRIES_PER_SECOND);
    let max_delay = fleet_delay.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    let doubled = MIN_RETRY_DELAY.saturating_mul(1 << failed.min(8));
    doubled.min(max_delay)
}
