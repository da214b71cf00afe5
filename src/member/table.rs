//! The membership table: the boxes and backend servers that a node knows of, and the merging of gossip
//! into it.
//!
//! Records are ordered by incarnation, then version, then state, where a worse state is greater; a
//! received record replaces the stored one only if it is greater. A suspicion within an incarnation can
//! therefore be refuted only by the suspected box itself, which raises its version.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{BackendId, BoxId, DataCentre, Incarnation};

/// How long a suspected box has to refute the suspicion before it is considered gone, in milliseconds.
pub const SUSPICION_TIMEOUT_MS: u64 = 3_000;

/// How long the record of a gone box is retained, in milliseconds.
pub const GONE_RETENTION_MS: u64 = 3_600_000;

/// Transmissions of each update per bit of the number of boxes, so that they grow with its logarithm.
const TRANSMISSIONS_PER_BIT: u32 = 2;

/// The state of a box as other nodes see it, ordered from best to worst.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BoxState {
    /// Responds to probes.
    Live,
    /// Did not respond to a recent probe.
    Suspect,
    /// Is draining.
    Leaving,
    /// Left, or did not refute a suspicion in time.
    Gone,
}

impl fmt::Display for BoxState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Live => "live",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        })
    }
}

/// The membership record of one box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxRecord {
    /// The incarnation of its process.
    pub life: Incarnation,
    /// Incremented by the box itself on every change it makes to its record.
    pub version: u64,
    /// The data centre that the box runs in.
    pub data_centre: DataCentre,
    /// The address for requests of other nodes.
    pub peer: SocketAddr,
    /// The address for callers, if the box accepts them.
    pub entry: Option<SocketAddr>,
    /// The last known state.
    pub state: BoxState,
}

impl BoxRecord {
    /// The precedence of the record: the greater one wins.
    fn precedence(&self) -> (Incarnation, u64, BoxState) {
        (self.life, self.version, self.state)
    }
}

/// The records of all known boxes.
pub type Boxes = BTreeMap<BoxId, BoxRecord>;

/// A report that a backend server is present or leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendReport {
    /// The incarnation of the backend server.
    pub life: Incarnation,
    /// Milliseconds until its machine goes away, or `None` if it is not leaving.
    pub left: Option<u64>,
}

/// Membership records exchanged between nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipUpdates {
    /// Records of boxes.
    pub boxes: Vec<(BoxId, BoxRecord)>,
    /// Reports about backend servers.
    pub backends: Vec<(BackendId, BackendReport)>,
}

impl MembershipUpdates {
    /// Returns whether there are no updates.
    pub fn is_empty(&self) -> bool {
        self.boxes.is_empty() && self.backends.is_empty()
    }
}

/// The stored report about a backend server.
#[derive(Debug, Clone, Copy)]
struct BackendRecord {
    life: Incarnation,
    /// When its machine goes away, in milliseconds on the node's clock; `None` if it is not leaving.
    gone_at_ms: Option<u64>,
}

impl BackendRecord {
    /// The precedence of the record: the greater one wins, and leaving wins over staying.
    fn precedence(&self) -> (Incarnation, bool) {
        (self.life, self.gone_at_ms.is_some())
    }
}

/// The membership known to a node, and the updates that it still has to gossip.
///
/// All times are milliseconds on the node's own monotonic clock.
#[derive(Debug)]
pub struct MembershipTable {
    own: BoxId,
    boxes: Boxes,
    /// When the record of each box last changed.
    changed_at_ms: BTreeMap<BoxId, u64>,
    backends: BTreeMap<BackendId, BackendRecord>,
    /// Boxes with an update to gossip, each with the number of transmissions left.
    pending_boxes: BTreeMap<BoxId, u32>,
    /// The same for backend servers.
    pending_backends: BTreeMap<BackendId, u32>,
}

impl MembershipTable {
    /// Creates a table that holds only the node's own box.
    pub fn new(own: BoxId, record: BoxRecord) -> Self {
        let mut table = Self {
            own: own.clone(),
            boxes: Boxes::new(),
            changed_at_ms: BTreeMap::new(),
            backends: BTreeMap::new(),
            pending_boxes: BTreeMap::new(),
            pending_backends: BTreeMap::new(),
        };
        table.boxes.insert(own.clone(), record);
        table.enqueue_box(&own);
        table
    }

    /// Returns the records of all known boxes, including gone ones.
    pub fn boxes(&self) -> &Boxes {
        &self.boxes
    }

    /// Returns the records of all boxes except the node's own and those that are gone.
    pub fn others(&self) -> Vec<(BoxId, BoxRecord)> {
        let others =
            self.boxes.iter().filter(|(id, it)| **id != self.own && it.state < BoxState::Gone);
        others.map(|(id, record)| (id.clone(), record.clone())).collect()
    }

    /// Merges updates received at `now` and returns those that changed the table.
    pub fn merge(&mut self, now: u64, updates: &MembershipUpdates) -> MembershipUpdates {
        let mut changed = MembershipUpdates::default();
        for (box_id, record) in &updates.boxes {
            if self.merge_box(now, box_id, record) {
                changed.boxes.push((box_id.clone(), record.clone()));
            }
        }
        for (id, received) in &updates.backends {
            if self.merge_backend(now, id, *received) {
                changed.backends.push((id.clone(), *received));
            }
        }
        changed
    }

    fn merge_box(&mut self, now: u64, box_id: &BoxId, record: &BoxRecord) -> bool {
        if *box_id == self.own {
            self.refute(record);
            return false;
        }
        let stored = self.boxes.get(box_id);
        if stored.is_some_and(|stored| stored.precedence() >= record.precedence()) {
            return false;
        }
        self.boxes.insert(box_id.clone(), record.clone());
        self.changed_at_ms.insert(box_id.clone(), now);
        self.enqueue_box(box_id);
        true
    }

    /// Raises the version of the node's own record above a received one that supersedes it, so that the
    /// own record wins again. Records of another incarnation are ignored.
    fn refute(&mut self, received: &BoxRecord) {
        let own = self.own.clone();
        let Some(record) = self.boxes.get_mut(&own) else {
            return;
        };
        if received.precedence() > record.precedence() && received.life == record.life {
            record.version = received.version + 1;
            self.enqueue_box(&own);
        }
    }

    fn merge_backend(&mut self, now: u64, id: &BackendId, received: BackendReport) -> bool {
        let record =
            BackendRecord { life: received.life, gone_at_ms: received.left.map(|left| now + left) };
        if self.backends.get(id).is_some_and(|stored| stored.precedence() >= record.precedence()) {
            return false;
        }
        self.backends.insert(id.clone(), record);
        let transmissions = self.transmissions();
        self.pending_backends.insert(id.clone(), transmissions);
        true
    }

    /// Marks the node's own box as leaving.
    pub fn mark_leaving(&mut self) {
        let own = self.own.clone();
        if let Some(record) = self.boxes.get_mut(&own) {
            record.version += 1;
            record.state = BoxState::Leaving;
        }
        self.enqueue_box(&own);
    }

    /// Marks a live box that did not respond as suspect; worse states stay as they are.
    pub fn mark_suspect(&mut self, now: u64, box_id: &BoxId) {
        let Some(record) = self.boxes.get_mut(box_id).filter(|it| it.state == BoxState::Live)
        else {
            return;
        };
        record.state = BoxState::Suspect;
        self.changed_at_ms.insert(box_id.clone(), now);
        self.enqueue_box(box_id);
    }

    /// Marks boxes as gone whose suspicion was not refuted within [`SUSPICION_TIMEOUT_MS`], and removes
    /// those that have been gone for longer than [`GONE_RETENTION_MS`].
    pub fn expire(&mut self, now: u64) {
        let mut gone = Vec::new();
        let mut expired = Vec::new();
        for (box_id, record) in &mut self.boxes {
            let age = now.saturating_sub(self.changed_at_ms.get(box_id).copied().unwrap_or(now));
            match record.state {
                BoxState::Suspect if age > SUSPICION_TIMEOUT_MS => {
                    record.state = BoxState::Gone;
                    gone.push(box_id.clone());
                }
                BoxState::Gone if age > GONE_RETENTION_MS => expired.push(box_id.clone()),
                _ => {}
            }
        }
        for box_id in gone {
            self.changed_at_ms.insert(box_id.clone(), now);
            self.enqueue_box(&box_id);
        }
        for box_id in expired {
            self.boxes.remove(&box_id);
            self.changed_at_ms.remove(&box_id);
        }
    }

    /// Marks a box as gone at once. For a leaving box that stopped responding.
    pub fn mark_gone(&mut self, now: u64, box_id: &BoxId) {
        let Some(record) = self.boxes.get_mut(box_id).filter(|it| it.state < BoxState::Gone) else {
            return;
        };
        record.state = BoxState::Gone;
        self.changed_at_ms.insert(box_id.clone(), now);
        self.enqueue_box(box_id);
    }

    /// Returns the pending updates and counts one transmission of each.
    pub fn take_pending(&mut self, now: u64) -> MembershipUpdates {
        let updates = MembershipUpdates {
            boxes: self.pending_boxes.keys().filter_map(|id| self.box_update(id)).collect(),
            backends: self
                .pending_backends
                .keys()
                .filter_map(|id| self.backend_update(now, id))
                .collect(),
        };
        count_transmission(&mut self.pending_boxes);
        count_transmission(&mut self.pending_backends);
        updates
    }

    /// Returns whether updates are pending.
    pub fn has_pending(&self) -> bool {
        !self.pending_boxes.is_empty() || !self.pending_backends.is_empty()
    }

    /// Returns every record of the table.
    pub fn snapshot(&self, now: u64) -> MembershipUpdates {
        MembershipUpdates {
            boxes: self.boxes.keys().filter_map(|id| self.box_update(id)).collect(),
            backends: self.backends.keys().filter_map(|id| self.backend_update(now, id)).collect(),
        }
    }

    /// Hashes all records, so that nodes can compare tables without exchanging them.
    ///
    /// Other builds must compute the same value: it covers the `Debug` output of the records' precedence.
    pub fn digest(&self) -> u64 {
        let mut hash = 0_u64;
        for (id, record) in &self.boxes {
            hash ^= fingerprint(&format!("{id} {:?}", record.precedence()));
        }
        for (id, record) in &self.backends {
            hash ^= fingerprint(&format!("{id} {:?}", record.precedence()));
        }
        hash
    }

    fn box_update(&self, id: &BoxId) -> Option<(BoxId, BoxRecord)> {
        self.boxes.get(id).map(|record| (id.clone(), record.clone()))
    }

    fn backend_update(&self, now: u64, id: &BackendId) -> Option<(BackendId, BackendReport)> {
        let record = self.backends.get(id)?;
        let left = record.gone_at_ms.map(|gone_at_ms| gone_at_ms.saturating_sub(now));
        Some((id.clone(), BackendReport { life: record.life, left }))
    }

    fn enqueue_box(&mut self, box_id: &BoxId) {
        let transmissions = self.transmissions();
        self.pending_boxes.insert(box_id.clone(), transmissions);
    }

    /// How many times an update is sent in a group of the known size.
    fn transmissions(&self) -> u32 {
        let boxes = self.boxes.len().max(2) as u32;
        TRANSMISSIONS_PER_BIT * (u32::BITS - boxes.leading_zeros())
    }
}

/// Counts one transmission of each pending update and drops those that have none left.
fn count_transmission<K: Ord>(pending: &mut BTreeMap<K, u32>) {
    pending.retain(|_, left| {
        *left = left.saturating_sub(1);
        *left > 0
    });
}

/// Hashes a text to 64 bits with FNV-1a and a final mixing step. The result is the same on every box.
pub(crate) fn fingerprint(text: &str) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325_u64;
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    let hash = text.bytes().fold(start, step);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53) ^ (hash >> 29)
}
