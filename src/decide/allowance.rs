//! What each team may use on this box.
//!
//! A team's limit is one over all boxes. The leader keeps its token bucket ([`super::level`]) and, with
//! every reply to a heartbeat, leases the box an amount and a rate on top, by what the team usually uses
//! there. Without a reply from the leader a box goes on with both until the lease ends: a change of
//! leader is over by then, and a box without a leader for longer can be sure of no configuration either.
//!
//! Where a fleet has many more boxes and teams than requests a second, most requests meet a box that
//! holds nothing of their team. Such a request asks the leader for its team alone, at once and beside
//! the heartbeats: what that costs grows with the requests, not with boxes times teams.
//!
//! A box holds nothing of a team that does not come to it, and does not report it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::pace::HEARTBEAT_TIME;
use crate::ids::TeamName;

/// How long after the last report that was answered the leader is taken to answer, beyond the time
/// between two heartbeats. No request waits for a leader that does not answer.
const ANSWER_TIME: Duration = Duration::from_millis(500);

/// How long a demand may be without an answer before the leader is taken to be silent.
const SILENT_TIME: Duration = Duration::from_millis(150);

/// Demands of one box that may wait for the leader at the same time. The teams of further ones join the
/// next demand, so a box with many teams never sends more than one demand for each answer.
const DEMAND_LIMIT: usize = 8;

/// How long a lease holds after the word that it answers: an election after the loss of a leader, or of
/// power everywhere, takes about half of it, and keys are no longer sure at its end.
pub const LEASE_TIME: Duration = Duration::from_millis(5_900);

/// The longest time for which a box saves up a rate that nobody uses. A new leader does not know what boxes have
/// saved, so all of them together may save hardly more than a usual burst, a second of the rate with its tolerance.
const SAVE_TIME: Duration = Duration::from_millis(1_700);

/// Seconds over which a team's use of a box is averaged: long enough for callers that come every few
/// seconds, short enough to follow a wave.
const USUAL_TIME: f64 = 4.0;

/// Requests of a team that are expected at a box while a lease holds, below which the box holds nothing
/// ahead of them. What lies at boxes to which a team comes once in minutes is missing elsewhere.
const LEAST_CALLS: f64 = 1.5;

/// The longest and shortest wait told to a caller whose team is over its limit.
const WAIT_LIMITS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(4));

/// What a box tells the leader of one team.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamDemand {
    /// Units used in the life of the box's process, so that a word that is lost or comes twice counts once.
    pub total: f64,
    /// Units refused since the last word.
    #[serde(with = "crate::units::thin")]
    pub refused: f64,
    /// Units of the requests that found too little since the last word and wait for the answer; below 0 where
    /// the team's own demand is under way.
    #[serde(with = "crate::units::thin")]
    pub wanted: f64,
    /// Units a second that callers usually bring; 0 for a team that no longer comes.
    #[serde(with = "crate::units::thin")]
    pub usual: f64,
    /// Units a second that the box has on lease.
    #[serde(with = "crate::units::thin")]
    pub rate: f64,
    /// Units that it has left.
    #[serde(with = "crate::units::thin")]
    pub left: f64,
}

/// The [`TeamDemand::wanted`] of a team whose own demand is under way: what it wants is told there.
const UNDER_WAY: f64 = -1.0;

impl TeamDemand {
    /// Whether the team's own demand is under way, so that this tells only what the box holds.
    pub fn is_under_way(&self) -> bool {
        self.wanted < 0.0
    }
}

/// What a box reports of its teams in one message.
#[derive(Debug, Clone)]
pub struct DemandReport {
    /// Which of the reports of the process this is.
    pub turn: u64,
    /// When it was made: leases that answer it begin then.
    pub sent: Instant,
    /// The demand by team.
    pub teams: BTreeMap<TeamName, TeamDemand>,
}

/// Why a request is not within its team's allowance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Short {
    /// How long until there likely is enough.
    pub wait: Duration,
    /// Whether the leader is to be asked at once: it answers, and by its last reply it had more.
    pub ask: bool,
    /// Whether a leader has said anything of the teams to this box yet.
    pub known: bool,
    /// Whether the leader has said that the team's limit is reached.
    pub exhausted: bool,
}

/// What the leader allows a box of one team's limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Units, for [`LEASE_TIME`] or until the next answer.
    #[serde(with = "crate::units::thin")]
    pub amount: f64,
    /// Units a second on top.
    #[serde(with = "crate::units::thin")]
    pub rate: f64,
    /// Seconds until there is more, 0 if there is now.
    #[serde(with = "crate::units::thin")]
    pub wait: f64,
}

#[derive(Debug, Clone, Copy)]
struct Allowance {
    left: f64,
    rate: f64,
    /// The amount of the last grant.
    granted: f64,
    wait: f64,
    demand: TeamDemand,
    /// Units a second, as the mean of the last seconds.
    usual: f64,
    /// Requests a second, as the mean of the last seconds, and those since the last report.
    calls: f64,
    fresh: f64,
    /// The total that was reported last, in which report, and when.
    told: f64,
    turn: u64,
    told_at: Instant,
    /// When the report was made whose reply allowed what is left.
    heard: Instant,
    /// Up to when the rate has come in.
    filled: Instant,
    /// Whether the leader was told that nothing is left here.
    is_given_up: bool,
}

impl Allowance {
    fn new(now: Instant) -> Self {
        Self {
            left: 0.0,
            rate: 0.0,
            granted: 0.0,
            wait: 0.0,
            demand: TeamDemand::default(),
            usual: 0.0,
            calls: 0.0,
            fresh: 0.0,
            told: 0.0,
            turn: 0,
            told_at: now,
            heard: now,
            filled: now,
            is_given_up: true,
        }
    }

    /// Lets the rate come in and the lease end.
    fn pass(&mut self, now: Instant) {
        let end = self.heard + LEASE_TIME;
        let passed = now.min(end).saturating_duration_since(self.filled);
        let most = self.granted + self.rate * SAVE_TIME.as_secs_f64();
        let came = self.rate * passed.as_secs_f64();
        self.left = self.left.max((self.left + came).min(most));
        if now > end {
            self.left = self.left.min(0.0);
            self.rate = 0.0;
        }
        self.filled = now;
    }

    /// What is to be reported in report `turn`, averaged up to `now`.
    fn report(&mut self, turn: u64, now: Instant) -> TeamDemand {
        self.pass(now);
        self.turn = turn;
        let came = self.demand.total - self.told + self.demand.refused;
        let passed = now.saturating_duration_since(self.told_at).as_secs_f64();
        let passed = passed.clamp(0.01, USUAL_TIME);
        let weight = 1.0 - (-passed / USUAL_TIME).exp();
        self.usual += weight * (came.max(0.0) / passed - self.usual);
        self.calls += weight * (self.fresh / passed - self.calls);
        self.fresh = 0.0;
        let is_frequent = self.calls * LEASE_TIME.as_secs_f64() >= LEAST_CALLS;
        self.demand.usual = if is_frequent { self.usual } else { 0.0 };
        (self.demand.rate, self.demand.left) = (self.rate, self.left);
        (self.told, self.told_at) = (self.demand.total, now);
        let told = self.demand;
        self.is_given_up = told.usual == 0.0 && told.wanted == 0.0 && self.left <= 0.0;
        self.is_given_up &= self.rate == 0.0;
        (self.demand.refused, self.demand.wanted) = (0.0, 0.0);
        told
    }

    /// What the box holds of the team, beside a demand that is under way.
    fn held(&mut self, now: Instant) -> TeamDemand {
        self.pass(now);
        let (rate, left) = (self.rate, self.left);
        TeamDemand { refused: 0.0, wanted: UNDER_WAY, rate, left, ..self.demand }
    }

    /// Whether there is nothing to report of the team.
    fn is_silent(&self) -> bool {
        let told = &self.demand;
        self.is_given_up && told.total == self.told && told.refused + told.wanted == 0.0
    }
}

impl Default for Allowances {
    fn default() -> Self {
        Self::new()
    }
}

/// The allowances of all teams on this box.
#[derive(Debug)]
pub struct Allowances {
    teams: BTreeMap<TeamName, Allowance>,
    /// The reports made.
    turn: u64,
    /// The demands that wait for an answer, by turn.
    waiting: BTreeMap<u64, Instant>,
    /// When the report was made that was answered last; `None` before any was.
    heard: Option<Instant>,
    /// The time between two heartbeats.
    interval: Duration,
}

impl Allowances {
    /// Those of a box that knows no teams yet.
    pub fn new() -> Self {
        Self {
            teams: BTreeMap::new(),
            turn: 0,
            waiting: BTreeMap::new(),
            heard: None,
            interval: HEARTBEAT_TIME,
        }
    }

    /// The time between two heartbeats.
    pub fn interval(&self) -> Duration {
        self.interval
    }

    /// Takes the time between two heartbeats.
    pub fn set_interval(&mut self, interval: Duration) {
        self.interval = interval;
    }

    /// Keeps the teams that have a limit; new ones begin with nothing.
    pub fn follow<'a>(&mut self, limited: impl Iterator<Item = &'a TeamName>, now: Instant) {
        let mut kept = std::mem::take(&mut self.teams);
        for name in limited {
            let allowance = kept.remove(name).unwrap_or_else(|| Allowance::new(now));
            self.teams.insert(name.clone(), allowance);
        }
    }

    /// Claims `cost` of a team's allowance, if so much of it is left. A team without a limit has none.
    ///
    /// # Errors
    /// That too little is left.
    pub fn claim(&mut self, team: &TeamName, cost: f64, now: Instant) -> Result<(), Short> {
        let answers = self.is_answered(now);
        let known = self.heard.is_some();
        let Some(allowance) = self.teams.get_mut(team) else {
            return Ok(());
        };
        allowance.pass(now);
        if allowance.left >= cost {
            allowance.left -= cost;
            allowance.demand.total += cost;
            allowance.fresh += 1.0;
            return Ok(());
        }
        allowance.demand.wanted += cost;
        let missing = cost - allowance.left;
        let wait = match answers {
            true => allowance.wait,
            false => missing / allowance.rate.max(f64::MIN_POSITIVE),
        };
        let wait = Duration::from_secs_f64(wait.clamp(0.0, 60.0));
        let wait = wait.clamp(WAIT_LIMITS.0, WAIT_LIMITS.1);
        let exhausted = allowance.wait > 0.0;
        Err(Short { wait, ask: answers && !exhausted, known, exhausted })
    }

    /// Whether a leader is taken to answer.
    fn is_answered(&self, now: Instant) -> bool {
        let silent = self.waiting.values().any(|sent| now >= *sent + SILENT_TIME);
        !silent && self.heard.is_none_or(|heard| now < heard + self.interval + ANSWER_TIME)
    }

    /// Records that a request was refused for want of `cost`.
    pub fn record_refusal(&mut self, team: &TeamName, cost: f64) {
        if let Some(allowance) = self.teams.get_mut(team) {
            allowance.demand.refused += cost;
            allowance.fresh += 1.0;
        }
    }

    /// Refunds an amount: the request was not run.
    pub fn refund(&mut self, team: &TeamName, cost: f64) {
        if let Some(allowance) = self.teams.get_mut(team) {
            allowance.left += cost;
            allowance.demand.total -= cost;
        }
    }

    /// Whether a demand for this team alone waits for its answer.
    pub fn is_pending(&self, team: &TeamName) -> bool {
        self.teams.get(team).is_some_and(|it| self.waiting.contains_key(&it.turn))
    }

    /// The demand to report with a heartbeat: of the teams that come to this box. Of a team whose own demand
    /// waits for its answer only what is held: a later report would overtake the demand and withdraw what it asks for,
    /// and without any a new leader would take the box to hold nothing.
    pub fn report(&mut self, now: Instant) -> DemandReport {
        let mut report = self.report_of(now, |allowance| !allowance.is_silent());
        let waiting = &self.waiting;
        let waiting = self.teams.iter_mut().filter(|(_, it)| waiting.contains_key(&it.turn));
        report.teams.extend(waiting.map(|(name, it)| (name.clone(), it.held(now))));
        report
    }

    /// The demand of the teams that requests wait for and that are not asked for yet; `None` where there
    /// is none, or enough demands wait for an answer.
    pub fn demand(&mut self, now: Instant) -> Option<DemandReport> {
        let is_wanted = |it: &Allowance| it.demand.wanted > 0.0;
        let mut asked = self.teams.values().filter(|it| !self.waiting.contains_key(&it.turn));
        if self.waiting.len() >= DEMAND_LIMIT || !asked.any(is_wanted) {
            return None;
        }
        let report = self.report_of(now, is_wanted);
        self.waiting.insert(report.turn, now);
        Some(report)
    }

    /// A report of some teams; those whose own demand waits are in none.
    fn report_of(&mut self, now: Instant, is_told: impl Fn(&Allowance) -> bool) -> DemandReport {
        self.turn += 1;
        let turn = self.turn;
        let waiting = &self.waiting;
        let told = self.teams.iter_mut();
        let told = told.filter(|(_, it)| !waiting.contains_key(&it.turn) && is_told(it));
        let teams = told.map(|(name, allowance)| (name.clone(), allowance.report(turn, now)));
        DemandReport { turn, sent: now, teams: teams.collect() }
    }

    /// Takes the leader's reply to a report. What was used since the report counts against it. A team that
    /// was reported again since is passed over: the later report's reply takes the place of this one.
    pub fn apply_grants(
        &mut self,
        report: &DemandReport,
        grants: &BTreeMap<TeamName, Grant>,
        now: Instant,
    ) {
        self.close(report);
        self.heard = self.heard.max(Some(report.sent));
        for (name, grant) in grants {
            let allowance = self.teams.get_mut(name).filter(|it| it.turn <= report.turn);
            let Some(allowance) = allowance else {
                continue;
            };
            allowance.left = grant.amount - (allowance.demand.total - allowance.told);
            (allowance.rate, allowance.granted) = (grant.rate, grant.amount);
            allowance.wait = grant.wait;
            allowance.heard = report.sent;
            allowance.filled = now;
        }
    }

    /// Takes that a report had no reply.
    pub fn close(&mut self, report: &DemandReport) {
        self.waiting.remove(&report.turn);
    }
}
