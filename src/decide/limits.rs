//! What the leader keeps of the teams' limits: the level of each, and which of them go ahead of their
//! rates.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::ahead::Ahead;
use super::level::{LEARN_TIME, Limit, TeamLevel, Tolerance};
use crate::ids::{BoxId, TeamName};
use crate::relay::allowance::{Allowed, TeamDemand};
use crate::state::ahead::AheadNote;

/// What a box says of the teams.
#[derive(Clone, Copy)]
pub struct BoxWord<'a> {
    /// The box.
    pub box_id: &'a BoxId,
    /// The teams' demand there.
    pub demand: &'a BTreeMap<TeamName, TeamDemand>,
    /// What it let in before this leader's time, once.
    pub recall: Option<&'a Recall>,
}

/// What a box let in and has told a former leader.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Recall {
    /// Seconds since its process started.
    pub uptime: f64,
    /// The teams' use: how many seconds ago, and how much.
    pub used: BTreeMap<TeamName, Vec<(f64, f64)>>,
}

/// Which boxes the leader hears.
#[derive(Debug, Clone, Copy)]
pub struct Heard {
    /// How many, of late.
    pub boxes: usize,
    /// Whether none that was heard lately has fallen silent.
    pub all: bool,
}

struct Team {
    level: TeamLevel,
    ahead: Ahead,
    /// Whether the group's note is to name it.
    wants: bool,
}

impl Team {
    /// A team of which this leader has not heard yet; `noted`: it went ahead under a former one.
    fn new(limit: Limit, window: f64, noted: bool) -> Self {
        let level = match noted {
            true => TeamLevel::used_up(limit, window),
            false => TeamLevel::default(),
        };
        Self { level, ahead: Ahead::new(window), wants: noted }
    }

    /// Takes a box's word and allows it an amount. `whole`: every box was heard of late.
    fn hear(
        &mut self,
        now: f64,
        limits: (Limit, Tolerance),
        box_id: &BoxId,
        demand: TeamDemand,
        whole: bool,
    ) -> Option<Allowed> {
        let (limit, tolerance) = limits;
        let steady = self.level.hear(now, limit.with(tolerance), box_id, demand);
        self.ahead.note(now, demand.used);
        self.wants = match self.wants {
            true => !self.ahead.is_repaid(self.level.left(), limit),
            false => whole && self.ahead.is_due(now, self.level.left(), limit),
        };
        if !self.ahead.is_granted() {
            return steady;
        }
        let ahead = self.ahead.allow(now, limit, self.level.share(box_id));
        let amount = ahead.amount.max(steady.map_or(0.0, |it| it.amount));
        Some(Allowed { amount, ..ahead })
    }
}

/// What is known of use before this leader's time.
#[derive(Default)]
struct Recalls {
    boxes: BTreeSet<BoxId>,
    /// When the youngest of the boxes' processes started, in seconds of this leader's clock: what its
    /// former life let in is known to nobody.
    lost_at: Option<f64>,
    ended: bool,
}

/// The teams' limits, as one leader keeps them.
pub struct TeamLimits {
    tolerance: Tolerance,
    limits: BTreeMap<TeamName, Limit>,
    teams: BTreeMap<TeamName, Team>,
    /// Which teams the group has noted to go ahead.
    noted: Arc<AheadNote>,
    recalls: Recalls,
    /// Whether a note is under way.
    noting: bool,
}

impl TeamLimits {
    /// The limits of a new leader, which finds `noted` in the group's state.
    pub fn new(noted: Arc<AheadNote>, tolerance: Tolerance) -> Self {
        let (limits, teams, recalls) = Default::default();
        Self { tolerance, limits, teams, noted, recalls, noting: false }
    }

    /// Takes the limits in force; teams without one are forgotten.
    pub fn follow(&mut self, limits: BTreeMap<TeamName, Limit>) {
        self.teams.retain(|name, _| limits.contains_key(name));
        self.limits = limits;
    }

    /// Takes a box's word, at `now` in seconds of this leader's clock, and allows it amounts until its
    /// next one.
    pub fn hear(
        &mut self,
        now: f64,
        word: BoxWord<'_>,
        heard: Heard,
    ) -> BTreeMap<TeamName, Allowed> {
        let mut allowed = BTreeMap::new();
        for (name, limit) in &self.limits {
            let limits = (*limit, self.tolerance);
            let demand = word.demand.get(name).copied().unwrap_or_default();
            let noted = self.noted.teams.contains(name);
            let new = || Team::new(*limit, self.tolerance.window, noted);
            let team = self.teams.entry(name.clone()).or_insert_with(new);
            if noted && team.wants && heard.all && !self.noting {
                team.ahead.grant_known(now);
            }
            if let Some(amount) = team.hear(now, limits, word.box_id, demand, heard.all) {
                allowed.insert(name.clone(), amount);
            }
        }
        if let Some(recall) = word.recall {
            self.recall(now, word.box_id, recall);
        }
        self.end_recalls(now, heard);
        allowed
    }

    /// Takes what a box let in before this leader's time.
    fn recall(&mut self, now: f64, box_id: &BoxId, recall: &Recall) {
        if self.recalls.ended || !self.recalls.boxes.insert(box_id.clone()) {
            return;
        }
        let started = now - recall.uptime;
        self.recalls.lost_at = Some(self.recalls.lost_at.map_or(started, |at| at.max(started)));
        for (name, uses) in &recall.used {
            let Some(team) = self.teams.get_mut(name) else {
                continue;
            };
            for (age, used) in uses {
                team.ahead.recall(now - age, *used);
            }
        }
    }

    /// Once every box that is heard, and as many as the note speaks of, have told their use, all of it
    /// is known but for what ended processes took with them.
    fn end_recalls(&mut self, now: f64, heard: Heard) {
        let told = self.recalls.boxes.len();
        let whole = heard.all && told >= heard.boxes.max(self.noted.boxes) && now >= LEARN_TIME;
        let Some(lost_at) = self.recalls.lost_at.filter(|_| whole && !self.recalls.ended) else {
            return;
        };
        self.recalls.ended = true;
        for (name, team) in &mut self.teams {
            if let Some(limit) = self.limits.get(name) {
                team.ahead.end_recall(*limit, lost_at, self.noted.teams.contains(name));
            }
        }
    }

    /// The note that is due, if any; [`TeamLimits::end_note`] must follow.
    pub fn next_note(&mut self, boxes: usize) -> Option<AheadNote> {
        let wanting = self.teams.iter().filter(|(_, team)| team.wants);
        let wanting: BTreeSet<TeamName> = wanting.map(|(name, _)| name.clone()).collect();
        if self.noting || wanting == self.noted.teams {
            return None;
        }
        // Who goes ahead no longer stops before the note says so.
        for (_, team) in self.teams.iter_mut().filter(|(name, _)| !wanting.contains(*name)) {
            team.ahead.end();
        }
        self.noting = true;
        Some(AheadNote { teams: wanting, boxes })
    }

    /// A note has ended: the teams noted, or `None` when it is not known whether they are. Those
    /// noted go ahead from their next word on.
    pub fn end_note(&mut self, noted: Option<AheadNote>) {
        self.noting = false;
        if let Some(noted) = noted {
            self.noted = Arc::new(noted);
        }
    }
}
