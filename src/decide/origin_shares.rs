//! Which origins of streams a leader has still to pass on to the other replicas, so that the next leader knows them.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::origins::{MAX_REPORTED, OriginReport};
use crate::ids::{BoxId, Incarnation};

/// The most origins that wait for one replica. Beyond it the oldest are dropped: the replica is away, and gets all of them
/// once it answers as another process.
const MAX_PENDING: usize = 1 << 14;

/// What a leader passes on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedOrigins {
    /// Streams that boxes have reported to it.
    pub streams: Vec<OriginReport>,
}

/// What a replica answers: the process that remembers them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReceipt {
    /// The process.
    pub process: Incarnation,
}

/// A replica as the leader knows it.
#[derive(Debug)]
struct Receiver {
    /// The process that answered last; `None` until one has.
    process: Option<Incarnation>,
    pending: VecDeque<OriginReport>,
    /// Whether it has had all that was known when it came.
    has_all: bool,
}

/// The origins that wait for each of the other replicas.
#[derive(Debug, Default)]
pub struct OriginShares {
    receivers: BTreeMap<BoxId, Receiver>,
}

impl OriginShares {
    /// Adds an origin for all replicas.
    pub fn record(&mut self, report: &OriginReport) {
        for receiver in self.receivers.values_mut() {
            receiver.pending.push_back(report.clone());
            if receiver.pending.len() > MAX_PENDING {
                receiver.pending.pop_front();
            }
        }
    }

    /// Forgets the replicas that are no longer among these.
    pub fn retain(&mut self, is_replica: impl Fn(&BoxId) -> bool) {
        self.receivers.retain(|box_id, _| is_replica(box_id));
    }

    /// The next origins for a replica: `all` that are known for one that is new.
    pub fn next(
        &mut self,
        replica: &BoxId,
        all: impl FnOnce() -> Vec<OriginReport>,
    ) -> Vec<OriginReport> {
        let new = || Receiver { process: None, pending: all().into(), has_all: false };
        let receiver = self.receivers.entry(replica.clone()).or_insert_with(new);
        receiver.pending.iter().take(MAX_REPORTED).cloned().collect()
    }

    /// Records that a replica has the first `count` of its pending origins. One that answers as another process than
    /// before has forgotten the others, and gets `all` of them. Returns whether it has just got the last of all.
    pub fn acknowledge(
        &mut self,
        replica: &BoxId,
        receipt: OriginReceipt,
        count: usize,
        all: impl FnOnce() -> Vec<OriginReport>,
    ) -> bool {
        let Some(receiver) = self.receivers.get_mut(replica) else {
            return false;
        };
        let former = receiver.process.replace(receipt.process);
        if former.is_some_and(|former| former != receipt.process) {
            (receiver.pending, receiver.has_all) = (all().into(), false);
        } else {
            receiver.pending.drain(..count.min(receiver.pending.len()));
        }
        let had_all = receiver.has_all;
        receiver.has_all |= receiver.pending.is_empty();
        receiver.has_all && !had_all
    }
}
