//! The requests that are kept from all servers, as the group holds them: they outlive a change of leader and a
//! loss of all power.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::Fingerprint;
use crate::units::UnixMillis;

/// The requests, and until when each is held.
pub type QuarantinedRequests = BTreeMap<Fingerprint, UnixMillis>;

/// A change of them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct QuarantineChange {
    /// Those that are held from now on.
    pub held: QuarantinedRequests,
    /// Those that are let through again.
    pub lifted: BTreeSet<Fingerprint>,
}

impl QuarantineChange {
    /// Whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty() && self.lifted.is_empty()
    }

    /// Makes the change.
    pub(super) fn apply(&self, book: &mut QuarantinedRequests) {
        book.retain(|request, _| !self.lifted.contains(request));
        book.extend(&self.held);
    }
}
