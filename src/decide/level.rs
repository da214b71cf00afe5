//! How much of a team's limit is left, over all boxes, and how much of it a box may use next.
//!
//! The leader keeps one level for each team. It fills at the team's rate up to its burst, and what a
//! box is allowed is taken off it at once, with what the box may go on to use while it is out of touch.
//! The box's next word says what it has used, and the rest returns. So what boxes can have used is
//! always off the level, whether they are in touch or not, and no cut, restart or change of leader
//! lets them pass the limit together.
//!
//! A new leader does not know what was used before it. The former one brings a level below its reserve
//! ([`RESERVE_PART`]) only once the group has noted so; for all other teams the new one begins with the
//! reserve, also after a loss of everything.
//!
//! Part of the level is allowed ahead, by each box's demand; the rest stays for boxes that ask because
//! a request of theirs found too little.

use std::collections::BTreeMap;

use super::allowance::{Allowed, GRANT_TIME, TRICKLE_CAP, TRICKLE_TIME, TeamDemand};
use crate::ids::{BoxId, Incarnation};

/// The part of a level, with what is allowed of it, that boxes hold ahead of requests. More of it lies
/// where it may not be wanted; with less of it more requests wait for a word of the leader.
const AHEAD_PART: f64 = 0.3;

/// The part of the burst that is left of a level unless the group has noted that it may be less. With
/// what boxes hold ahead it leaves a fifth of the burst to use before anything is noted.
const RESERVE_PART: f64 = 0.5;

/// The part of what boxes hold ahead that is divided evenly; the rest goes by demand. Bounds what a box
/// that was idle lacks for its first request.
const EVEN_PART: f64 = 0.3;

/// The part of the burst at which a level that was low has recovered.
const RECOVERED_PART: f64 = 0.8;

/// Seconds over which a box's demand is averaged: about two words of a box.
const DEMAND_TIME: f64 = 0.8;

/// Seconds between the moment a request is counted and its arrival at a backend server, with the time
/// between a box's word and the leader's answer: it moves use from one window to the next.
const SKEW_TIME: f64 = 0.3;

/// The part of the tolerance that stays unused: for two leaders at once until the former one knows, and
/// for requests that are sent again in a later window than they were counted in.
const SPARE_PART: f64 = 0.15;

/// The part of what the tolerance leaves that goes to the rate; the rest goes to the burst.
const RATE_PART: f64 = 0.25;

/// Seconds without a word after which a box can use nothing more.
fn lost_time() -> f64 {
    (GRANT_TIME + TRICKLE_TIME).as_secs_f64()
}

/// The shortest wait told, in seconds: a box asks no more often.
const LEAST_WAIT: f64 = 0.1;

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
    /// The limit to keep to so that the users' own, with its tolerance, holds in every window.
    ///
    /// What boxes use in a window is at most the burst, which holds all they were allowed before it,
    /// and the rate over the window. What the tolerance has beyond that is the team's.
    pub fn with(self, tolerance: Tolerance) -> Self {
        let reach = tolerance.window + SKEW_TIME;
        let nominal = self.rate * tolerance.window + self.burst;
        let extra = nominal * tolerance.overshoot + tolerance.slack;
        let most = nominal + extra * (1.0 - SPARE_PART);
        let own = self.rate * reach + self.burst;
        let left = most - own;
        if left < 0.0 {
            return Self { rate: self.rate * most / own, burst: self.burst * most / own };
        }
        Self {
            rate: self.rate + left * RATE_PART / reach,
            burst: self.burst + left * (1.0 - RATE_PART),
        }
    }
}

/// What the group has noted of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Noted {
    /// Nothing is known yet.
    Unknown,
    /// Its level is not below the reserve.
    Reserve,
    /// Its level may be below the reserve.
    Low,
}

/// A box's word of one team, and what the leader knows of the box.
#[derive(Debug, Clone, Copy)]
pub struct Word {
    /// The life of the box's process.
    pub life: Incarnation,
    /// Which of the words of that life it is.
    pub turn: u64,
    /// The last of them whose answer reached the box; 0 for none.
    pub answered: u64,
    /// The demand it tells.
    pub demand: TeamDemand,
}

/// Boxes that share a level.
#[derive(Debug, Clone, Copy)]
pub struct Sharers {
    /// How many there are.
    pub count: u32,
    /// How many of them this leader has not heard yet.
    pub unheard: u32,
}

/// What the leader knows of one box.
#[derive(Debug, Clone, Copy)]
struct Holder {
    life: Incarnation,
    turn: u64,
    /// Used in its life, by its last word.
    total: f64,
    /// What it may have used since, of what it was allowed.
    possible: f64,
    /// What it was allowed with the last answer.
    amount: f64,
    /// What it may go on with each second once that has lapsed.
    trickle: f64,
    /// When it was heard last.
    heard: f64,
    /// What it wants each second.
    demand: f64,
}

impl Holder {
    /// A box that this leader hears for the first time.
    fn new(now: f64, word: Word) -> Self {
        Self {
            life: word.life,
            turn: word.turn,
            total: word.demand.total,
            possible: 0.0,
            amount: 0.0,
            trickle: 0.0,
            heard: now,
            demand: 0.0,
        }
    }

    /// What the box wants each second, when it wanted `units` since its last word.
    fn demand_with(&self, now: f64, units: f64) -> f64 {
        let passed = (now - self.heard).max(0.01);
        let weight = 1.0 - (-passed / DEMAND_TIME).exp();
        self.demand + weight * (units / passed - self.demand)
    }

    /// What of its trickle has come in at a box that has been silent since `heard`.
    fn trickled(&self, at: f64) -> f64 {
        let silent = at - self.heard - GRANT_TIME.as_secs_f64();
        self.trickle * silent.clamp(0.0, TRICKLE_TIME.as_secs_f64())
    }

    /// Whether what the box was allowed has lapsed.
    fn is_silent(&self, now: f64) -> bool {
        now - self.heard > GRANT_TIME.as_secs_f64()
    }

    /// What the box can still use: of what it may have used, the rest has lapsed once it was silent.
    fn usable(&self, now: f64) -> f64 {
        match self.is_silent(now) {
            true => self.possible.min(self.trickled(now).min(self.trickle * TRICKLE_CAP)),
            false => self.possible,
        }
    }
}

/// What is left of one team's limit.
#[derive(Debug, Clone, Default)]
pub struct TeamLevel {
    /// What nobody has used or may be using, but for trickles.
    left: f64,
    /// When the first box was heard.
    first: Option<f64>,
    /// Whether the reserve of a former leader's time is in it.
    begun: bool,
    /// Whether boxes lack what the reserve holds.
    lacking: bool,
    at: f64,
    holders: BTreeMap<BoxId, Holder>,
}

impl TeamLevel {
    /// Takes a box's word at `now` (seconds on the leader's clock), and allows it an amount until its
    /// next one; `None` for a word that a later one of the same life has overtaken.
    pub fn hear(
        &mut self,
        now: f64,
        limit: Limit,
        noted: Noted,
        sharers: Sharers,
        box_id: &BoxId,
        word: Word,
    ) -> Option<Allowed> {
        let held = self.holders.get(box_id).copied();
        let same = held.filter(|held| held.life == word.life);
        if same.is_some_and(|held| held.turn >= word.turn) {
            return None;
        }
        let reserve = RESERVE_PART * limit.burst;
        if noted == Noted::Reserve && !self.begun {
            self.left += reserve;
        }
        self.begun |= noted != Noted::Unknown;
        self.fill(now, limit, sharers);
        let count = f64::from(sharers.count.max(1));
        let mut holder = match same {
            Some(held) => self.settle(now, held, word),
            // What a former life of the box may have used stays off the level.
            None => Holder::new(now, word),
        };
        holder.trickle = limit.rate / count;
        self.holders.insert(box_id.clone(), holder);
        let floor = if noted == Noted::Reserve { reserve } else { 0.0 };
        let free = (self.left - floor + holder.possible).max(0.0);
        let wanted = word.demand.wanted;
        let ahead = AHEAD_PART * self.whole(now).max(0.0) * self.share(box_id);
        holder.amount = ahead.max(wanted).min(free);
        self.lacking = noted == Noted::Reserve && holder.amount < wanted;
        // Until the box has the answer it may use what it had before.
        let charged = holder.amount.max(holder.possible);
        self.left -= charged - holder.possible;
        holder.possible = charged;
        self.holders.insert(box_id.clone(), holder);
        let wait = match self.lacking || noted == Noted::Unknown {
            true => 0.0,
            false => self.wait(limit, wanted - holder.amount),
        };
        Some(Allowed { amount: holder.amount, trickle: holder.trickle, wait })
    }

    /// Takes what a box has used since its last word off what it may have used.
    fn settle(&mut self, now: f64, held: Holder, word: Word) -> Holder {
        let used = word.demand.total - held.total;
        let mut rest = held.possible;
        if word.answered >= held.turn && !held.is_silent(now) {
            // A box that has had the last answer has given up what it was allowed before.
            rest = held.amount;
            self.left += held.possible - rest;
        }
        let unused = Holder { possible: rest - used, ..held };
        Holder {
            turn: word.turn,
            total: word.demand.total,
            // What has lapsed is lost to the team, as if it had been used.
            possible: unused.usable(now),
            heard: now,
            demand: held.demand_with(now, used + word.demand.refused),
            ..held
        }
    }

    /// Whether a box lacks what the reserve holds: the group is to note that the level may be low.
    pub fn is_lacking(&self) -> bool {
        self.lacking
    }

    /// Whether the level is so far above its reserve that the group may forget that it was low.
    pub fn has_recovered(&self, now: f64, limit: Limit) -> bool {
        self.left > RESERVE_PART * limit.burst && self.whole(now) >= RECOVERED_PART * limit.burst
    }

    /// What nobody has been allowed; below nothing after boxes were silent.
    pub fn left(&self) -> f64 {
        self.left
    }

    /// What is left and what boxes have of it.
    pub fn whole(&self, now: f64) -> f64 {
        self.left + self.holders.values().map(|held| held.usable(now)).sum::<f64>()
    }

    fn fill(&mut self, now: f64, limit: Limit, sharers: Sharers) {
        let first = *self.first.get_or_insert(now);
        let from = if first == now { now } else { self.at };
        let passed = (now - from).max(0.0);
        self.at = now;
        for holder in self.holders.values_mut() {
            let trickled = holder.trickled(now) - holder.trickled(from);
            holder.possible += trickled;
            self.left -= trickled;
        }
        // Boxes that this leader has not heard may go on with what the former one said.
        let unheard = if self.is_new(now) { f64::from(sharers.unheard) } else { 0.0 };
        let rate = limit.rate * (1.0 - unheard / f64::from(sharers.count.max(1))).max(0.0);
        self.forget(now);
        let over = (self.whole(now) + rate * passed - limit.burst).max(0.0);
        self.left += rate * passed - over;
    }

    /// Whether boxes may still go by what a former leader allowed them.
    fn is_new(&self, now: f64) -> bool {
        let since = self.first.map_or(0.0, |first| now - first);
        since < lost_time()
    }

    /// Forgets the boxes that have lost their trickle. What they may have used stays off the level.
    fn forget(&mut self, now: f64) {
        self.holders.retain(|_, held| now - held.heard <= lost_time());
    }

    /// The box's part of what is allowed ahead.
    fn share(&self, box_id: &BoxId) -> f64 {
        let count = self.holders.len().max(1) as f64;
        let total: f64 = self.holders.values().map(|held| held.demand).sum();
        let own = self.holders.get(box_id).map_or(0.0, |held| held.demand);
        if total <= 0.0 {
            return 1.0 / count;
        }
        EVEN_PART / count + (1.0 - EVEN_PART) * own / total
    }

    /// Seconds until what is missing has come in; 0 where nothing is missing.
    fn wait(&self, limit: Limit, missing: f64) -> f64 {
        if missing <= 0.0 && self.left > 0.0 {
            return 0.0;
        }
        let missing = missing.max(0.0) + (-self.left).max(0.0);
        match limit.rate > 0.0 {
            true => (missing / limit.rate).max(LEAST_WAIT),
            false => f64::from(u16::MAX),
        }
    }
}
