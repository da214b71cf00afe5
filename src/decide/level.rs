//! How much of a team's limit is left, over all boxes, and how much of it a box may use next.
//!
//! The leader keeps one level for each team. It fills at the team's rate up to its burst and sinks by
//! what boxes say they have used; it may sink below nothing, since a box finds out what it used only
//! afterwards. What is left is divided by demand; while much is left, each box may use twice its part.
//! An amount that is allowed and not used stays in the level.

use std::collections::BTreeMap;

use crate::ids::BoxId;
use crate::relay::allowance::{Allowed, TeamDemand};

/// The part of the burst above which a level counts as plentiful.
const PLENTY: f64 = 0.5;

/// How many times its part of a plentiful level a box may use until its next word.
const PLENTY_TIMES: f64 = 1.5;

/// The part of a level that is divided evenly; the rest goes by demand.
const EVEN_PART: f64 = 0.3;

/// Weight of a new word in a box's demand.
const DEMAND_WEIGHT: f64 = 0.4;

/// The part of its burst with which a level begins under a new leader, which does not know what was
/// used before.
const START_PART: f64 = 0.1;

/// Parts of the tolerance that are used: of its overshoot, and of its slack by the rate and by the
/// burst. The rest is for what boxes use in the time of a beat.
const RATE_PART: f64 = 0.3;
const SLACK_RATE_PART: f64 = 0.3;
const SLACK_BURST_PART: f64 = 0.15;

/// Seconds in which a new leader hears every box once. Until then it cannot tell how many share a
/// level.
const LEARN_TIME: f64 = 0.6;

/// Words from a box older than this, in seconds, count no more.
const FORGET_TIME: f64 = 3.0;

/// A team's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Units a second.
    pub rate: f64,
    /// Units on top at once.
    pub burst: f64,
}

/// By how much a limit may be passed in any window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// The window, in seconds.
    pub window: f64,
    /// As a part of the limit.
    pub overshoot: f64,
    /// On top.
    pub slack: f64,
}

impl Limit {
    /// The limit to keep to so that, with what boxes use before the leader hears of it, the limit and
    /// its tolerance hold. The tolerance is there because boxes cannot know at once what others use;
    /// what of it is not needed for that is the team's.
    pub fn with(self, tolerance: Tolerance) -> Self {
        let extra = 1.0 + tolerance.overshoot * RATE_PART;
        Self {
            rate: self.rate * extra + tolerance.slack * SLACK_RATE_PART / tolerance.window,
            burst: self.burst * extra + tolerance.slack * SLACK_BURST_PART,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Demand {
    mean: f64,
    at: f64,
}

/// What is left of one team's limit.
#[derive(Debug, Clone, Default)]
pub struct TeamLevel {
    left: Option<f64>,
    /// When the first box was heard.
    first: Option<f64>,
    at: f64,
    demands: BTreeMap<BoxId, Demand>,
}

impl TeamLevel {
    /// Takes a box's word at `now` (seconds on the leader's clock), and allows it an amount until its
    /// next one; nothing is said while other boxes may not have been heard yet.
    pub fn hear(
        &mut self,
        now: f64,
        limit: Limit,
        box_id: &BoxId,
        demand: TeamDemand,
    ) -> Option<Allowed> {
        let first = *self.first.get_or_insert(now);
        let left = self.fill(now, limit) - demand.used;
        self.left = Some(left);
        self.note_demand(now, box_id, demand);
        if now < first + LEARN_TIME {
            return None;
        }
        if left <= 0.0 {
            let wait = if limit.rate > 0.0 { -left / limit.rate } else { f64::from(u16::MAX) };
            return Some(Allowed { amount: 0.0, wait: wait.max(0.1) });
        }
        let times = if left > PLENTY * limit.burst { PLENTY_TIMES } else { 1.0 };
        let part = (times * self.share(box_id)).min(1.0);
        Some(Allowed { amount: left * part, wait: 0.0 })
    }

    fn fill(&mut self, now: f64, limit: Limit) -> f64 {
        let passed = (now - self.at).max(0.0);
        self.at = now;
        match self.left {
            Some(left) => (left + limit.rate * passed).min(limit.burst),
            None => limit.burst * START_PART,
        }
    }

    fn note_demand(&mut self, now: f64, box_id: &BoxId, demand: TeamDemand) {
        self.demands.retain(|_, held| now - held.at < FORGET_TIME);
        let new = demand.used + demand.refused;
        let mean = self.demands.get(box_id).map_or(new, |held| held.mean);
        let mean = mean + DEMAND_WEIGHT * (new - mean);
        self.demands.insert(box_id.clone(), Demand { mean, at: now });
    }

    /// The box's part of what is left.
    fn share(&self, box_id: &BoxId) -> f64 {
        let count = self.demands.len().max(1) as f64;
        let even = EVEN_PART / count;
        let total: f64 = self.demands.values().map(|demand| demand.mean).sum();
        let own = self.demands.get(box_id).map_or(0.0, |demand| demand.mean);
        if total <= 0.0 {
            return 1.0 / count;
        }
        even + (1.0 - EVEN_PART) * own / total
    }
}
