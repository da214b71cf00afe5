//! How often the leader has the group store notes for its successor. Each is a synced entry of the group's log, which
//! also has the entries that operators wait for.

use std::time::{Duration, Instant};

/// Minimum time between two notes of one kind. Teams are noted as low this long before they are.
pub const MIN_NOTE_INTERVAL: Duration = Duration::from_millis(250);

/// Kinds of notes, of which none delays another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoteKind {
    /// The teams whose token buckets may be below their reserve. Requests wait for it, for a shorter time than the
    /// interval.
    LowTeams,
    /// Anything else; only the next leader waits for it.
    Other,
}

/// When notes were proposed last.
#[derive(Debug, Default)]
pub struct NotePace {
    low_teams: Option<Instant>,
    other: Option<Instant>,
}

impl NotePace {
    /// Whether a note of this kind may be proposed.
    pub fn allows(&self, kind: NoteKind, now: Instant) -> bool {
        let last = match kind {
            NoteKind::LowTeams => self.low_teams,
            NoteKind::Other => self.other,
        };
        last.is_none_or(|last| now >= last + MIN_NOTE_INTERVAL)
    }

    /// Records that a note of this kind was proposed, whether or not it was stored.
    pub fn record(&mut self, kind: NoteKind, now: Instant) {
        match kind {
            NoteKind::LowTeams => self.low_teams = Some(now),
            NoteKind::Other => self.other = Some(now),
        }
    }
}
