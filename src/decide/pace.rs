//! How often boxes report to the leader, by how many there are.
//!
//! Each heartbeat costs the leader about the same, so boxes that all report at the pace of a small fleet
//! take up its processor in step with their number. Requests do not wait for heartbeats, so a large fleet
//! can report more seldom: the leader answers no more than [`HEARTBEATS_PER_SECOND`], until boxes would
//! report too seldom for their leases.
//!
//! Pure: numbers and random values in, times out.

use std::time::Duration;

/// Time between two heartbeats of a box in a small fleet.
pub const HEARTBEAT_TIME: Duration = Duration::from_millis(400);

/// Heartbeats that a leader answers in a second, from all boxes together.
pub const HEARTBEATS_PER_SECOND: f64 = 1_000.0;

/// The longest time between two heartbeats: a lease spans two of them and their retries.
pub const LONGEST_TIME: Duration = Duration::from_millis(2_000);

/// Retries of a lost leader that all boxes together make in a second.
const RETRIES_PER_SECOND: f64 = 2_000.0;

/// The shortest time before a retry.
const LEAST_RETRY_TIME: Duration = Duration::from_millis(50);

/// The longest time before a retry: about what an election takes.
const LONGEST_RETRY_TIME: Duration = Duration::from_millis(1_000);

/// The time between two heartbeats of a box, one of `boxes`.
pub fn heartbeat_time(boxes: u32) -> Duration {
    let time = Duration::from_secs_f64(f64::from(boxes) / HEARTBEATS_PER_SECOND);
    time.clamp(HEARTBEAT_TIME, LONGEST_TIME)
}

/// The time until a box, one of `boxes`, looks for the leader again after `failed` attempts without an
/// answer. It doubles, up to where all boxes together retry no more than the replicas answer.
pub fn retry_time(boxes: u32, failed: u32) -> Duration {
    let even = Duration::from_secs_f64(f64::from(boxes) / RETRIES_PER_SECOND);
    let longest = even.clamp(LEAST_RETRY_TIME, LONGEST_RETRY_TIME);
    let doubled = LEAST_RETRY_TIME.saturating_mul(1 << failed.min(8));
    doubled.min(longest)
}
