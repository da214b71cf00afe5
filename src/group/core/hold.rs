//! Why a replica that has just started gives no vote, and until when.
//!
//! It may have confirmed a leader just before it stopped. That leader answers reads for as long as it
//! may count on the confirmation, so nobody else may be elected meanwhile. The time of a lease after
//! the start is long enough. It is over earlier when every other voter has said, in answer to a
//! question of this life of the process, that it neither leads nor hears a leader: whoever was
//! confirmed before leads no more, and whoever leads later was not confirmed by an earlier life.
//! So a group whose replicas were all stopped at once elects a leader as soon as they are back.

use std::collections::BTreeSet;

use super::{BoxId, ELECTION};

/// The time after a start in which no vote is given.
#[derive(Debug)]
pub(super) struct Hold {
    /// When the replica started.
    pub(super) began: u64,
    /// Names this life of the process in its questions.
    pub(super) start: u64,
    until: u64,
    idle: BTreeSet<BoxId>,
}

impl Hold {
    pub(super) fn new(now: u64, start: u64) -> Self {
        Self { began: now, start, until: now + ELECTION, idle: BTreeSet::new() }
    }

    pub(super) fn is_on(&self, now: u64) -> bool {
        now < self.until
    }

    pub(super) fn release(&mut self) {
        self.until = self.began;
    }

    /// Notes a voter's word that it is idle, if it answers this life's question.
    pub(super) fn note_idle(&mut self, from: &BoxId, start: u64) {
        if start == self.start {
            self.idle.insert(from.clone());
        }
    }

    /// Whether all of `others` are known to be idle.
    pub(super) fn knows_idle<'a>(&self, mut others: impl Iterator<Item = &'a BoxId>) -> bool {
        others.all(|id| self.idle.contains(id))
    }
}
