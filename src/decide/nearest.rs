//! Selects the replica from which a box follows the configuration: the nearest one that answers.
//! Pure: the current time is an argument.
//!
//! Each box polls a replica two or three times per second, so in a fleet over several regions these
//! calls should stay within the box's region. A replica that does not answer, or has itself lost
//! contact with the group, is skipped for a backoff time that grows with each failure, and the next
//! nearest is asked instead. Polls carry no state from one replica to the next. A box learns how
//! far a replica is from the replica itself, so unknown replicas are asked before those known to be
//! far.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::topology::Reach;
use crate::ids::BoxId;

/// The backoff after the first failure. An election and the recovery after it take less time.
const BASE_BACKOFF: Duration = Duration::from_secs(5);

/// How many times the backoff doubles. A replica that is gone for good is polled about once a
/// minute.
const MAX_DOUBLINGS: u32 = 4;

#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Instant,
    failures: u32,
}

/// The replicas' backoffs and the current selection of one box.
#[derive(Debug)]
pub struct ReplicaSelector {
    /// Where this box starts among equally near replicas, from 0 to 1.
    start: f64,
    current: Option<BoxId>,
    backoffs: BTreeMap<BoxId, Backoff>,
}

impl ReplicaSelector {
    /// Creates a selector. `start`, from 0 to 1, spreads boxes over equally near replicas.
    pub fn new(start: f64) -> Self {
        Self { start, current: None, backoffs: BTreeMap::new() }
    }

    /// The replica to poll. `reach` returns how far a replica is, if known.
    pub fn choose(
        &mut self,
        replicas: &[BoxId],
        reach: impl Fn(&BoxId) -> Option<Reach>,
        now: Instant,
    ) -> Option<BoxId> {
        self.backoffs.retain(|box_id, _| replicas.contains(box_id));
        let first = (self.start * replicas.len() as f64) as usize;
        let rank = |place: &usize| {
            let box_id = &replicas[*place];
            let retry_at =
                self.backoffs.get(box_id).map(|it| it.until).filter(|until| *until > now);
            let other = self.current.as_ref() != Some(box_id);
            (
                retry_at,
                distance_rank(reach(box_id)),
                other,
                (place + replicas.len() - first) % replicas.len(),
            )
        };
        let place = (0..replicas.len()).min_by_key(rank)?;
        self.current = Some(replicas[place].clone());
        self.current.clone()
    }

    /// Records that a replica returned current data, which clears its backoff.
    pub fn record_success(&mut self, box_id: &BoxId) {
        self.backoffs.remove(box_id);
    }

    /// Records that a replica failed to, which starts or doubles its backoff.
    pub fn record_failure(&mut self, box_id: &BoxId, now: Instant) {
        let failures = self.backoffs.get(box_id).map_or(0, |it| it.failures);
        let duration = BASE_BACKOFF * 2_u32.pow(failures.min(MAX_DOUBLINGS));
        let backoff = Backoff { until: now + duration, failures: failures + 1 };
        self.backoffs.insert(box_id.clone(), backoff);
    }
}

fn distance_rank(reach: Option<Reach>) -> u32 {
    match reach {
        Some(Reach::Local) => 0,
        Some(Reach::Regional) => 1,
        None => 2,
        Some(Reach::Remote) => 3,
    }
}
