//! Quarantined requests, which are sent to no backend server.
//!
//! The group stores them, so they survive a change of leader and a loss of power on all boxes.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::Fingerprint;
use crate::units::UnixMillis;

/// The quarantined requests, and the time until which each is quarantined.
pub type QuarantinedRequests = BTreeMap<Fingerprint, UnixMillis>;

/// A change of the quarantined requests.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct QuarantineChange {
    /// Requests to quarantine, or whose time changes.
    pub held: QuarantinedRequests,
    /// Requests to release from quarantine.
    pub lifted: BTreeSet<Fingerprint>,
}

impl QuarantineChange {
    /// Whether the change is empty.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty() && self.lifted.is_empty()
    }

    /// Applies the change to `book`.
    pub(super) fn apply(&self, book: &mut QuarantinedRequests) {
        book.retain(|request, _| !self.lifted.contains(request));
        book.extend(&self.held);
    }
}
