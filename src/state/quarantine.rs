//! Quarantined requests and prompt segments, which are sent to no backend server.
//!
//! The group stores them, so they survive a change of leader and a loss of power on all boxes.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::Suspect;
use crate::units::UnixMillis;

/// The quarantined suspects, and the time until which each is quarantined.
pub type QuarantinedSuspects = BTreeMap<Suspect, UnixMillis>;

/// A change of the quarantined suspects.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct QuarantineChange {
    /// Suspects to quarantine, or whose time changes.
    pub held: QuarantinedSuspects,
    /// Suspects to release from quarantine.
    pub lifted: BTreeSet<Suspect>,
}

impl QuarantineChange {
    /// Whether the change is empty.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty() && self.lifted.is_empty()
    }

    /// Applies the change to `book`.
    pub(super) fn apply(&self, book: &mut QuarantinedSuspects) {
        book.retain(|suspect, _| !self.lifted.contains(suspect));
        book.extend(self.held.clone());
    }
}
