//! How much of a team's limit is left, over all boxes, and how much of it a box may use next.
//!
//! The leader keeps one level for each team. It fills at the team's rate up to its burst, and an amount
//! that a box is leased is taken off it at once. The box's next report says what it has used and what is
//! left there, and the rest returns. A box is also leased a part of the rate, which is taken off as it
//! comes in, whether the box is in touch or not. So what boxes can have used is always off the level,
//! and no cut, restart or change of leader lets them pass the limit together.
//!
//! What is leased follows what callers usually bring to each box. Boxes go on with it while no leader is
//! there, so a change of leader hardly refuses anybody: an even part for each of 300 boxes would be less
//! than one long request in all that time.
//!
//! A new leader does not know what was used before it. The former one brings a level below its reserve
//! ([`RESERVE_PART`]) only once the group has noted so; for all other teams the new one begins with the
//! reserve, also after a loss of everything. What boxes have on lease they tell with their first report,
//! and until all are heard no more than that comes in.
//!
//! A report costs the same with 30 boxes and with 3,000: sums over boxes are kept by differences, and a
//! walk over all of them is made ten times a second, whatever they say.

use std::collections::BTreeMap;

use super::allowance::{Grant, LEASE_TIME, TeamDemand};
use crate::ids::{BoxId, Incarnation};

/// The part of a level, with what is allowed of it, that boxes hold ahead of requests. More of it lies
/// where it may not be wanted; with less of it more requests wait for a reply of the leader.
const AHEAD_PART: f64 = 0.2;

/// The part of the burst that is left of a level unless the group has noted that it may be less. With
/// what boxes hold ahead, of amounts and of their rates, a team that uses half of its rate keeps more.
const RESERVE_PART: f64 = 0.4;

/// The part of the burst above the reserve at which the group is asked to note that the level may be
/// low: a team at its rate uses it up in a tenth of a second, several times what a note takes.
const NEAR_PART: f64 = 0.05;

/// Seconds ahead for which a bucket is to stay above its reserve: until the leader's next look, and until the
/// group has noted what it finds.
const AHEAD_TIME: f64 = 0.4;

/// Seconds for which a level was not near its reserve before the group may forget that it was low: one
/// that moves around it would have the group note it each time.
const LOW_TIME: f64 = 5.0;

/// The part of what boxes hold ahead that is divided evenly among those to which the team comes; the
/// rest goes by demand. Bounds what a box lacks whose callers come seldom.
const EVEN_PART: f64 = 0.3;

/// The part of the burst at which a level that was low has recovered.
const RECOVERED_PART: f64 = 0.8;

/// The part of the rate that is leased at most. The rest lets a level recover that is used up, and
/// serves requests that ask.
const LEASED_PART: f64 = 0.9;

/// How many times what callers usually bring a box is leased at most: they come in clumps.
const USUAL_TIMES: f64 = 2.0;

/// Seconds between the moment a request is counted and its arrival at a backend server, with the time
/// between a box's report and the leader's reply: it moves use from one window to the next.
const SKEW_TIME: f64 = 0.3;

/// The part of the tolerance that stays unused: for two leaders at once until the former one knows, and
/// for requests that are sent again in a later window than they were counted in.
const SPARE_PART: f64 = 0.15;

/// The part of what the tolerance leaves that goes to the rate; the rest goes to the burst.
const RATE_PART: f64 = 0.25;

/// Seconds between two walks over all the boxes of a level. Rates are taken off the level ahead, for as
/// long: the more of it, the more of the level stands idle.
const WALK_TIME: f64 = 0.1;

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

/// A box's report of one team.
#[derive(Debug, Clone, Copy)]
pub struct TeamReport {
    /// The life of the box's process.
    pub life: Incarnation,
    /// Its number among the reports of that life.
    pub turn: u64,
    /// The demand it tells.
    pub demand: TeamDemand,
}

/// What the leader knows of one box.
#[derive(Debug, Clone, Copy)]
struct Holder {
    life: Incarnation,
    turn: u64,
    /// Used in its life, by its last report.
    total: f64,
    /// What it may have used since: of the amounts it was allowed, and of its rate up to the next walk.
    possible: f64,
    /// The highest rate that may be in force there.
    rate: f64,
    /// When it reported last.
    heard: f64,
    /// What callers usually bring it each second.
    usual: f64,
}

impl Holder {
    /// A box by its report.
    fn new(now: f64, report: &TeamReport) -> Self {
        let TeamDemand { total, left, rate, usual, .. } = report.demand;
        let TeamReport { life, turn, .. } = *report;
        Self { life, turn, total, possible: left, rate, heard: now, usual }
    }

    /// What of its rate has come in since it was heard.
    fn came(&self, at: f64) -> f64 {
        self.rate * (at - self.heard).clamp(0.0, LEASE_TIME.as_secs_f64())
    }

    /// Whether what the box was leased has ended.
    fn is_lost(&self, now: f64) -> bool {
        now - self.heard > LEASE_TIME.as_secs_f64()
    }
}

/// Sums over the boxes of a level.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    /// What they may have used since their reports, or can use.
    possible: f64,
    /// What callers usually bring them, a second.
    usual: f64,
    /// The rates that may be in force there.
    leased: f64,
}

impl Sums {
    fn add(&mut self, held: &Holder) {
        self.possible += held.possible;
        self.usual += held.usual;
        self.leased += held.rate;
    }

    fn remove(&mut self, held: &Holder) {
        self.possible -= held.possible;
        self.usual -= held.usual;
        self.leased -= held.rate;
    }
}

/// What is left of one team's limit.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// What nobody has used or may be using.
    left: f64,
    /// When the leader began to hear boxes.
    first: f64,
    /// Whether the reserve of a former leader's time is in it.
    begun: bool,
    /// Whether the group is to note that the level may be low.
    lacking: bool,
    /// When it was near its reserve last.
    near: f64,
    /// Up to when the rate has come in.
    at: f64,
    /// Up to when the boxes' rates are taken off; the next walk is due then.
    walked: f64,
    /// What the boxes that were heard had on lease from a former leader.
    claimed: f64,
    holders: BTreeMap<BoxId, Holder>,
    sums: Sums,
}

impl TokenBucket {
    /// The level of a leader that hears its first box at `now`.
    pub fn new(now: f64) -> Self {
        Self {
            left: 0.0,
            first: now,
            begun: false,
            lacking: false,
            near: now,
            at: now,
            walked: now,
            claimed: 0.0,
            holders: BTreeMap::new(),
            sums: Sums::default(),
        }
    }

    /// Handles a box's report at `now` (seconds on the leader's clock), and grants it an amount until its
    /// next one; `None` for a report that a later one of the same life has overtaken. `unheard`: how many
    /// boxes this leader has not heard that may go by what a former one leased them.
    pub fn handle_report(
        &mut self,
        now: f64,
        limit: Limit,
        noted: Noted,
        unheard: u32,
        box_id: &BoxId,
        report: TeamReport,
    ) -> Option<Grant> {
        let held = self.holders.get(box_id);
        if held.is_some_and(|held| held.life == report.life && held.turn >= report.turn) {
            return None;
        }
        if report.demand.is_under_way() {
            self.record_held(now, limit, unheard, box_id, report);
            return None;
        }
        let reserve = RESERVE_PART * limit.burst;
        if noted == Noted::Reserve && !self.begun {
            self.left += reserve;
        }
        self.begun |= noted != Noted::Unknown;
        let income = self.fill(now, limit, unheard);
        let (key, mut holder) = self.settle(now, box_id, &report);
        let floor = if noted == Noted::Reserve { reserve } else { 0.0 };
        let free = (self.left - floor + holder.possible).max(0.0);
        let TeamDemand { wanted, usual, .. } = report.demand;
        let comes = wanted > 0.0 || usual > 0.0;
        let amount = if comes { self.ahead(&holder).max(wanted).min(free) } else { 0.0 };
        let rate = if comes { self.leasable(income, &holder) } else { 0.0 };
        // Until the box has the answer it may go on with what it had before.
        holder.rate = holder.rate.max(rate);
        let charged = amount.max(holder.possible) + holder.came(self.walked);
        self.left -= charged - holder.possible;
        holder.possible = charged;
        self.check_reserve(now, limit, noted == Noted::Reserve, amount < wanted);
        let wait = match self.lacking || noted == Noted::Unknown {
            true => 0.0,
            false => self.wait(limit, wanted - amount),
        };
        if comes || holder.possible > 0.0 || holder.rate > 0.0 {
            self.sums.add(&holder);
            self.holders.insert(key, holder);
        }
        Some(Grant { amount, rate, wait })
    }

    /// Takes what a box holds whose demand is under way. Of one that is known the demand tells more.
    fn record_held(
        &mut self,
        now: f64,
        limit: Limit,
        unheard: u32,
        box_id: &BoxId,
        report: TeamReport,
    ) {
        if self.holders.contains_key(box_id) {
            return;
        }
        self.fill(now, limit, unheard);
        // Its demand was made earlier, and counts when it comes.
        let mut holder = Holder { turn: 0, ..Holder::new(now, &report) };
        self.claimed += holder.rate;
        let came = holder.came(self.walked);
        self.left -= came;
        holder.possible += came;
        self.sums.add(&holder);
        self.holders.insert(box_id.clone(), holder);
    }

    /// Takes what a box has used since its last report, and has left, off what it may have used: the rest
    /// returns. The box as it is now, out of the level.
    fn settle(&mut self, now: f64, box_id: &BoxId, report: &TeamReport) -> (BoxId, Holder) {
        let holder = Holder::new(now, report);
        let Some((key, held)) = self.holders.remove_entry(box_id) else {
            // What a former leader leased it is off that one's level.
            self.claimed += holder.rate;
            return (box_id.clone(), holder);
        };
        self.sums.remove(&held);
        if held.life == report.life {
            let used = report.demand.total - held.total;
            self.left += held.possible - used - holder.possible;
        }
        // What a former life of the box may have used stays off the level.
        (key, holder)
    }

    /// Looks at the bucket at `now`, also where no box reports: what boxes may hold grows by their rates all
    /// the same, and the group is to note in time that less than the reserve is left beside that.
    pub fn look(&mut self, now: f64, limit: Limit, noted: Noted, unheard: u32) {
        self.fill(now, limit, unheard);
        let ahead = self.left - self.sums.leased * AHEAD_TIME;
        if is_near(ahead, limit) && !self.holders.is_empty() {
            self.near = now;
            self.lacking |= noted == Noted::Reserve;
        }
    }

    /// Whether the group is to note that the level may be low.
    pub fn is_lacking(&self) -> bool {
        self.lacking
    }

    /// Whether the bucket is for long so far above its reserve that the group may forget that it was low.
    /// What boxes hold does not count: the next leader begins with the reserve beside that.
    pub fn has_recovered(&self, now: f64, limit: Limit) -> bool {
        let is_calm = now - self.near > LOW_TIME && !is_near(self.left, limit);
        is_calm && self.whole() >= RECOVERED_PART * limit.burst
    }

    /// What nobody has been allowed; below nothing after boxes were silent.
    pub fn available(&self) -> f64 {
        self.left
    }

    /// What is left and what boxes have of it.
    pub fn whole(&self) -> f64 {
        self.left + self.sums.possible
    }

    /// Notes whether the level is near its reserve, and whether the group is to know.
    fn check_reserve(&mut self, now: f64, limit: Limit, is_held: bool, is_short: bool) {
        let is_near = is_near(self.left, limit);
        if is_near {
            self.near = now;
        }
        self.lacking = is_held && (is_near || is_short);
    }

    /// Lets the rate come in up to `now`; the rate. It comes in step by step: while a box's lease holds, what
    /// comes in beside all that the box may hold goes no higher than the burst, also where nobody reported in
    /// all that time.
    fn fill(&mut self, now: f64, limit: Limit, unheard: u32) -> f64 {
        while self.at + WALK_TIME < now && !self.holders.is_empty() {
            self.fill_to(self.at + WALK_TIME, limit, unheard);
        }
        self.fill_to(now.max(self.at), limit, unheard)
    }

    fn fill_to(&mut self, now: f64, limit: Limit, unheard: u32) -> f64 {
        if now >= self.walked {
            self.walk(now);
        }
        let income = self.income(now, limit, unheard);
        let came = income * (now - self.at);
        let over = (self.whole() + came - limit.burst).max(0.0);
        self.left += came - over;
        self.at = now;
        income
    }

    /// What comes in a second. Boxes that are not heard may have on lease what those that are do not.
    fn income(&self, now: f64, limit: Limit, unheard: u32) -> f64 {
        let is_new = now - self.first < LEASE_TIME.as_secs_f64();
        match unheard > 0 && is_new {
            true => self.claimed.min(limit.rate),
            false => limit.rate,
        }
    }

    /// Takes the boxes' rates off the level up to the next walk, forgets the boxes whose leases have
    /// ended (what they may have used stays off the level), and adds up the others.
    fn walk(&mut self, now: f64) {
        let (from, next) = (self.walked, now + WALK_TIME);
        let (mut came, mut sums) = (0.0, Sums::default());
        self.holders.retain(|_, held| {
            let leased = held.came(next) - held.came(from);
            held.possible += leased;
            came += leased;
            if held.is_lost(now) {
                return false;
            }
            sums.add(held);
            true
        });
        self.left -= came;
        self.sums = sums;
        self.walked = next;
    }

    /// What a box is to hold ahead of requests; nothing where the team comes too seldom.
    fn ahead(&self, holder: &Holder) -> f64 {
        if holder.usual <= 0.0 {
            return 0.0;
        }
        let count = (self.holders.len() + 1) as f64;
        let usual = self.sums.usual + holder.usual;
        let part = EVEN_PART / count + (1.0 - EVEN_PART) * holder.usual / usual;
        AHEAD_PART * (self.whole() + holder.possible).max(0.0) * part
    }

    /// The rate that a box is to have on lease, of what comes in.
    fn leasable(&self, income: f64, holder: &Holder) -> f64 {
        if holder.usual <= 0.0 {
            return 0.0;
        }
        let whole = LEASED_PART * income;
        let part = whole * holder.usual / (self.sums.usual + holder.usual);
        part.min(USUAL_TIMES * holder.usual).min(whole - self.sums.leased).max(0.0)
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

/// Whether what nobody holds is near the reserve, or below it.
fn is_near(left: f64, limit: Limit) -> bool {
    left < (RESERVE_PART + NEAR_PART) * limit.burst
}
