//! Which replica a box follows the configuration at: one as near as there is, while it answers. Pure: time
//! is an argument.
//!
//! Each box asks some replica two or three times a second what is new, so where there are several regions
//! these calls stay in the box's own. A replica that doesn't answer, or is itself out of touch, is set
//! aside, each time for longer, and the next nearest asked; nothing of what a replica told is
//! needed at the next one. How far a replica is a box hears from itself, so those of which nothing is
//! known are asked before those that are known to be far.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::topology::Reach;
use crate::ids::BoxId;

/// How long a replica is set aside when it fails first: an election and what follows it are over by then.
const ASIDE_TIME: Duration = Duration::from_secs(5);

/// How often that time doubles: a box looks for a replica that is long gone once in about a minute.
const DOUBLINGS: u32 = 4;

#[derive(Debug, Clone, Copy)]
struct Aside {
    until: Instant,
    failures: u32,
}

/// The replicas as one box has found them.
#[derive(Debug)]
pub struct Nearest {
    /// Where this box begins among those that are as good, from 0 to 1.
    start: f64,
    current: Option<BoxId>,
    aside: BTreeMap<BoxId, Aside>,
}

impl Nearest {
    /// No replica tried yet; `start`, from 0 to 1, spreads boxes over those that are as near.
    pub fn new(start: f64) -> Self {
        Self { start, current: None, aside: BTreeMap::new() }
    }

    /// The replica to ask; `reach` tells how far one is, where that is known.
    pub fn choose(
        &mut self,
        replicas: &[BoxId],
        reach: impl Fn(&BoxId) -> Option<Reach>,
        now: Instant,
    ) -> Option<BoxId> {
        self.aside.retain(|box_id, _| replicas.contains(box_id));
        let first = (self.start * replicas.len() as f64) as usize;
        let rank = |place: &usize| {
            let box_id = &replicas[*place];
            let aside = self.aside.get(box_id).map(|it| it.until).filter(|until| *until > now);
            let other = self.current.as_ref() != Some(box_id);
            (
                aside,
                distance(reach(box_id)),
                other,
                (place + replicas.len() - first) % replicas.len(),
            )
        };
        let place = (0..replicas.len()).min_by_key(rank)?;
        self.current = Some(replicas[place].clone());
        self.current.clone()
    }

    /// Notes that a replica told something fresh.
    pub fn answered(&mut self, box_id: &BoxId) {
        self.aside.remove(box_id);
    }

    /// Notes that one didn't.
    pub fn failed(&mut self, box_id: &BoxId, now: Instant) {
        let failures = self.aside.get(box_id).map_or(0, |it| it.failures);
        let time = ASIDE_TIME * 2_u32.pow(failures.min(DOUBLINGS));
        let aside = Aside { until: now + time, failures: failures + 1 };
        self.aside.insert(box_id.clone(), aside);
    }
}

fn distance(reach: Option<Reach>) -> u32 {
    match reach {
        Some(Reach::Local) => 0,
        Some(Reach::Regional) => 1,
        None => 2,
        Some(Reach::Remote) => 3,
    }
}
