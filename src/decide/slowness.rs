//! Whom a box lets go because it takes its answer, or sends its request, too slowly.
//!
//! Answers callers who cost others something: an engine that is not read holds a place and its memory
//! for one answer, and cuts it off after some seconds. What is slow depends on what the caller has
//! done so far and on what its route allows.

use std::time::Duration;

/// A caller's silence that is borne, in the longest pauses that its route allows between events. One
/// who gets nothing waits for twice as many.
const PATIENT_GAPS: u32 = 4;

/// The least silence that is borne: a packet that is lost goes again after one second, and the next
/// after two more.
const LEAST_PATIENCE: Duration = Duration::from_secs(2);

/// Of a caller who has been silent before and went on, so many times that silence is borne.
const KNOWN_PAUSES: u32 = 2;

/// A caller whose answer cannot be taken up again is borne so many times as long: what it loses is lost.
const ONCE_PATIENCE: u32 = 2;

/// How long in all an engine may wait for a caller, as a part of that patience: it cuts an answer off
/// that sits unread for some seconds, and others wait for the place.
const HELD_PART: u32 = 2;

/// What a caller has taken of its answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Taking {
    /// Bytes kept for it.
    pub kept: u64,
    /// Bytes it has taken.
    pub taken: u64,
    /// For how long something was kept for it, in all.
    pub owed: Duration,
    /// For how long something has been kept for it of which it took nothing.
    pub silent: Duration,
    /// The longest silence after which it went on.
    pub longest: Duration,
    /// For how long its engine has not been read, as there is no room.
    pub held: Duration,
    /// The time that the caller has left.
    pub left: Duration,
}

/// In what a caller is too slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Slow {
    /// It takes nothing.
    Silent,
    /// It takes so little that its engine waits for it.
    Holding,
    /// It will not have its answer in its time.
    Late,
}

impl Slow {
    /// Its name, in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Holding => "holding",
            Self::Late => "late",
        }
    }
}

/// How long a caller may take nothing, on a route that allows such a pause between events.
pub fn patience(gap: Option<Duration>) -> Duration {
    (gap.unwrap_or_default() * PATIENT_GAPS).max(LEAST_PATIENCE)
}

/// Whether a caller is let go, and why; `again`: its answer can be taken up or had again.
pub fn judge(taking: &Taking, gap: Option<Duration>, again: bool) -> Option<Slow> {
    if taking.kept == 0 {
        return None;
    }
    let usual = patience(gap);
    // Neither its pauses nor what it loses let an engine wait for longer: the engine cuts off all alike.
    if taking.held >= usual / HELD_PART {
        return Some(Slow::Holding);
    }
    let patience = usual.max(taking.longest * KNOWN_PAUSES);
    let patience = if again { patience } else { patience * ONCE_PATIENCE };
    if taking.silent >= patience {
        return Some(Slow::Silent);
    }
    let known = taking.owed >= patience;
    let late = known && time_to_take(taking) > taking.left;
    late.then_some(Slow::Late)
}

/// How long the caller needs for what is kept, by what it has taken while something was.
fn time_to_take(taking: &Taking) -> Duration {
    let rate = taking.taken as f64 / taking.owed.as_secs_f64();
    let seconds = taking.kept as f64 / rate;
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// The part of its time after which a body is judged by what has come.
const JUDGED_PART: u32 = 4;

/// How much faster than so far the rest may come: links recover.
const RECOVERY: f64 = 3.0;

/// What has come of a body of known length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arriving {
    /// Bytes that came.
    pub came: u64,
    /// Bytes in all.
    pub length: u64,
    /// The time they took.
    pub passed: Duration,
    /// The time there is in all.
    pub time: Duration,
}

/// Whether the body can still come whole in its time.
pub fn can_arrive(arriving: &Arriving) -> bool {
    let Arriving { came, length, passed, time } = *arriving;
    if passed >= time {
        return false;
    }
    if passed < time / JUDGED_PART {
        return true;
    }
    let rate = came as f64 / passed.as_secs_f64() * RECOVERY;
    length.saturating_sub(came) as f64 <= rate * (time - passed).as_secs_f64()
}
