//! Decides which callers are disconnected because they read their answer, or send their request, too slowly.
//!
//! Such callers are a cost to others: an engine whose stream is not read holds a slot and its memory for one
//! answer, and aborts it after some seconds. What counts as too slow depends on the caller's behaviour so
//! far and on what its route allows.

use std::time::Duration;

/// The tolerated silence, as a multiple of the longest gap between events that the route allows. A caller
/// that receives nothing waits for twice that gap.
const TOLERATED_GAPS: u32 = 4;

/// The minimum tolerated silence. TCP retransmits a lost packet after one second, and again after two more.
const MIN_TOLERANCE: Duration = Duration::from_secs(2);

/// The tolerated silence of a caller that paused before and continued, as a multiple of that pause.
const TOLERATED_PAUSES: u32 = 2;

/// The factor by which a caller is tolerated longer if its answer can be neither resumed nor repeated and
/// would be lost.
const UNREPEATABLE_FACTOR: u32 = 2;

/// The divisor of the tolerance that gives how long an engine may wait for a caller in total. An engine
/// aborts a stream that is not read for some seconds, and other requests wait for its slot.
const MAX_BLOCKED_DIVISOR: u32 = 2;

/// How a caller has read its answer so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadProgress {
    /// Bytes buffered for the caller.
    pub buffered: u64,
    /// Bytes read by the caller.
    pub read: u64,
    /// The total time in which data was buffered for it.
    pub pending_time: Duration,
    /// The time since it last read anything while data was buffered for it.
    pub silent_time: Duration,
    /// The longest pause after which it continued.
    pub longest_pause: Duration,
    /// The time for which its engine was not read for lack of buffer memory.
    pub blocked_time: Duration,
    /// The time left until the caller's deadline.
    pub time_left: Duration,
}

/// Why a caller is too slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Slowness {
    /// It reads nothing.
    Silent,
    /// It reads so slowly that its engine has to wait.
    Holding,
    /// It will not have read its answer by its deadline.
    Late,
}

impl Slowness {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Holding => "holding",
            Self::Late => "late",
        }
    }
}

/// How long a caller may read nothing, on a route that allows `gap` between events.
pub fn tolerance(gap: Option<Duration>) -> Duration {
    (gap.unwrap_or_default() * TOLERATED_GAPS).max(MIN_TOLERANCE)
}

/// Whether and why a caller is disconnected. `again` says whether its answer can be resumed or repeated.
pub fn check_progress(
    progress: &ReadProgress,
    gap: Option<Duration>,
    is_repeatable: bool,
) -> Option<Slowness> {
    if progress.buffered == 0 {
        return None;
    }
    let usual = tolerance(gap);
    // An engine waits for the caller while the relay has no buffer memory left to read the engine's stream.
    // This wait may not be longer for a caller that paused before and continued, or whose answer would be
    // lost, as the engine aborts any stream that is not read.
    if progress.blocked_time >= usual / MAX_BLOCKED_DIVISOR {
        return Some(Slowness::Holding);
    }
    let tolerance = usual.max(progress.longest_pause * TOLERATED_PAUSES);
    let tolerance = if is_repeatable { tolerance } else { tolerance * UNREPEATABLE_FACTOR };
    if progress.silent_time >= tolerance {
        return Some(Slowness::Silent);
    }
    let known = progress.pending_time >= tolerance;
    let late = known && time_to_read(progress) > progress.time_left;
    late.then_some(Slowness::Late)
}

/// The time the caller needs for the buffered bytes at its rate so far.
fn time_to_read(progress: &ReadProgress) -> Duration {
    let rate = progress.read as f64 / progress.pending_time.as_secs_f64();
    let seconds = progress.buffered as f64 / rate;
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// The divisor of a body's time limit after which its progress is judged.
const GRACE_DIVISOR: u32 = 4;

/// The factor by which the rest may arrive faster than the data so far, as connections may recover.
const RECOVERY_FACTOR: f64 = 3.0;

/// The progress of a request body of known length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyProgress {
    /// Bytes received.
    pub received: u64,
    /// Bytes in total.
    pub length: u64,
    /// The time taken so far.
    pub elapsed: Duration,
    /// The time limit for the whole body.
    pub limit: Duration,
}

/// Whether the body can still arrive within its time limit.
pub fn can_arrive(progress: &BodyProgress) -> bool {
    let BodyProgress { received, length, elapsed, limit } = *progress;
    if elapsed >= limit {
        return false;
    }
    if elapsed < limit / GRACE_DIVISOR {
        return true;
    }
    let rate = received as f64 / elapsed.as_secs_f64() * RECOVERY_FACTOR;
    length.saturating_sub(received) as f64 <= rate * (limit - elapsed).as_secs_f64()
}
