//! The part of each team's rate limit that this box may use.
//!
//! A team's limit applies to all boxes together. The leader keeps the team's token bucket ([`super::token_bucket`])
//! and leases each box an amount of units and a refill rate with every heartbeat reply, sized by how much the team
//! usually sends to that box. Without a reply the box keeps using both until the lease ends. A lease outlasts a
//! change of leader; a box that hears no leader for longer can't be sure of its configuration either.
//!
//! Where a fleet has many more boxes and teams than requests a second, most requests reach a box that holds nothing
//! for their team. The box then asks the leader for that team alone, at once and independently of the heartbeats, so
//! that the cost grows with the number of requests and not with boxes times teams.
//!
//! A box neither holds nor reports anything for a team that sends it no requests.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::intervals::HEARTBEAT_INTERVAL;
use crate::ids::TeamName;

/// How long past the heartbeat interval the leader counts as responsive after the last report that it answered.
/// Requests don't wait for an unresponsive leader.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);

/// How long a demand may stay unanswered before the leader counts as unresponsive.
const DEMAND_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a request waits for the leader's answer about its team's limit: several round trips to another data centre.
/// Replacing a failed leader takes longer than this.
pub const MAX_ALLOWANCE_WAIT: Duration = Duration::from_millis(150);

/// The shortest and longest pause before a request has the leader asked again when its answer was too little. The group
/// may be committing a larger share of the limit in the meantime, which takes some time; the longest pause is a fraction
/// of the time that the request waits, so that it does not give up long after it last asked.
const DEMAND_PAUSE_RANGE: (Duration, Duration) =
    (Duration::from_millis(10), Duration::from_millis(40));

/// The pause before a request has the leader asked again, after the pause before.
pub fn next_demand_pause(pause: Duration) -> Duration {
    (pause * 2).clamp(DEMAND_PAUSE_RANGE.0, DEMAND_PAUSE_RANGE.1)
}

/// The most demands of one box that may be unanswered at the same time. Further teams are put into the next demand,
/// so a box with many teams doesn't send one message for each.
const MAX_PENDING_DEMANDS: usize = 8;

/// How long a box may use the units and the refill rate that a lease gives it for a team, counted from the report
/// that the lease answers. An election after the loss of a leader, or of power everywhere, takes about half of this
/// time. When the lease ends without a new one, a box no longer trusts its list of API keys either.
pub const LEASE_DURATION: Duration = Duration::from_millis(5_900);

/// The longest time for which a box accumulates an unused rate. A new leader doesn't know what boxes have
/// accumulated, so all boxes together may hold little more than a usual burst: one second of the rate plus its
/// tolerance.
const MAX_ACCRUAL_TIME: Duration = Duration::from_millis(1_700);

/// The time constant, in seconds, of the averages of a team's demand at a box: long enough for callers that send a
/// request every few seconds, short enough to follow a surge.
const AVERAGING_SECS: f64 = 4.0;

/// The number of requests expected within one lease below which a box holds nothing in advance for a team. Units held
/// at boxes that a team reaches once in minutes are missing elsewhere.
const MIN_EXPECTED_REQUESTS: f64 = 1.5;

/// The shortest and longest `Retry-After` for a caller whose team is over its limit.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(4));

/// The longest wait, in seconds, for which a leader's word holds that a limit is reached.
const MAX_GRANT_WAIT_SECS: f64 = 60.0;

/// What a box reports to the leader about one team.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamDemand {
    /// Units used since the box's process started. A running total, so that a lost or duplicated report doesn't
    /// change the count.
    pub total: f64,
    /// Units of the requests refused since the last report.
    #[serde(with = "crate::units::thin")]
    pub refused: f64,
    /// Units of the requests that did not fit into the allowance since the last report and wait for the answer;
    /// negative while a separate demand for the team is unanswered.
    #[serde(with = "crate::units::thin")]
    pub wanted: f64,
    /// The average demand of callers, in units a second; 0 for a team that no longer sends requests.
    #[serde(with = "crate::units::thin", rename = "usual")]
    pub demand_rate: f64,
    /// The leased rate, in units a second.
    #[serde(with = "crate::units::thin", rename = "rate")]
    pub leased_rate: f64,
    /// Units left of the allowance.
    #[serde(with = "crate::units::thin", rename = "left")]
    pub remaining: f64,
}

/// The value of [`TeamDemand::wanted`] while a separate demand for the team is unanswered.
const DEMAND_PENDING: f64 = -1.0;

impl TeamDemand {
    /// Whether a separate demand for the team is unanswered, so that this reports only what the box holds.
    pub fn has_pending_demand(&self) -> bool {
        self.wanted < 0.0
    }
}

/// What a box reports about its teams in one message.
#[derive(Debug, Clone)]
pub struct DemandReport {
    /// The report's sequence number within the life of the process.
    pub seq: u64,
    /// When the report was made. Leases that answer it begin at this time.
    pub sent_at: Instant,
    /// The demand of each team.
    pub teams: BTreeMap<TeamName, TeamDemand>,
}

/// Why a request does not fit into its team's allowance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InsufficientAllowance {
    /// The estimated time until there are enough units.
    pub retry_after: Duration,
    /// Whether to ask the leader at once: it responds, and its last reply did not say that the limit is reached.
    pub ask_leader: bool,
    /// Whether any leader has answered a report of this box yet.
    pub known: bool,
    /// Whether the leader has said that the team's limit is reached, and that it still is.
    pub exhausted: bool,
}

/// What the leader leases a box of one team's limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Units, valid for [`LEASE_DURATION`] or until the next reply.
    #[serde(with = "crate::units::thin")]
    pub amount: f64,
    /// Units a second in addition.
    #[serde(with = "crate::units::thin")]
    pub rate: f64,
    /// Seconds until more is available; 0 if it is now.
    #[serde(with = "crate::units::thin")]
    pub wait: f64,
}

/// The allowance of one team.
#[derive(Debug, Clone, Copy)]
struct Allowance {
    /// Units left; negative where more was used than granted.
    available: f64,
    /// The leased rate, in units a second.
    rate: f64,
    /// The amount of the last grant.
    granted: f64,
    /// Until when the last grant says that there is no more.
    exhausted_until: Instant,
    /// What the next report says.
    demand: TeamDemand,
    /// The average demand, in units a second.
    demand_rate: f64,
    /// The average number of requests a second.
    request_rate: f64,
    /// Requests since the last report.
    new_requests: f64,
    /// [`TeamDemand::total`] in the last report, and that report's number and time.
    reported_total: f64,
    reported_seq: u64,
    reported_at: Instant,
    /// When the report was made that the last grant answers.
    lease_start: Instant,
    /// The time up to which the rate has been added.
    refilled_at: Instant,
    /// Whether the last report said that nothing is held here.
    is_released: bool,
}

impl Allowance {
    fn new(now: Instant) -> Self {
        Self {
            available: 0.0,
            rate: 0.0,
            granted: 0.0,
            exhausted_until: now,
            demand: TeamDemand::default(),
            demand_rate: 0.0,
            request_rate: 0.0,
            new_requests: 0.0,
            reported_total: 0.0,
            reported_seq: 0,
            reported_at: now,
            lease_start: now,
            refilled_at: now,
            is_released: true,
        }
    }

    /// Adds what the rate has brought up to `now`, and ends an expired lease.
    fn refill(&mut self, now: Instant) {
        let end = self.lease_start + LEASE_DURATION;
        let elapsed = now.min(end).saturating_duration_since(self.refilled_at);
        let capacity = self.granted + self.rate * MAX_ACCRUAL_TIME.as_secs_f64();
        let accrued = self.rate * elapsed.as_secs_f64();
        self.available = self.available.max((self.available + accrued).min(capacity));
        if now > end {
            self.available = self.available.min(0.0);
            self.rate = 0.0;
        }
        self.refilled_at = now;
    }

    /// Updates the averages and returns the team's part of report `seq`.
    fn report(&mut self, seq: u64, now: Instant) -> TeamDemand {
        self.refill(now);
        self.reported_seq = seq;
        let demanded = self.demand.total - self.reported_total + self.demand.refused;
        let elapsed = now.saturating_duration_since(self.reported_at).as_secs_f64();
        let elapsed = elapsed.clamp(0.01, AVERAGING_SECS);
        let weight = 1.0 - (-elapsed / AVERAGING_SECS).exp();
        self.demand_rate += weight * (demanded.max(0.0) / elapsed - self.demand_rate);
        self.request_rate += weight * (self.new_requests / elapsed - self.request_rate);
        self.new_requests = 0.0;
        let expected_requests = self.request_rate * LEASE_DURATION.as_secs_f64();
        let is_frequent = expected_requests >= MIN_EXPECTED_REQUESTS;
        self.demand.demand_rate = if is_frequent { self.demand_rate } else { 0.0 };
        (self.demand.leased_rate, self.demand.remaining) = (self.rate, self.available);
        (self.reported_total, self.reported_at) = (self.demand.total, now);
        let reported = self.demand;
        self.is_released =
            reported.demand_rate == 0.0 && reported.wanted == 0.0 && self.available <= 0.0;
        self.is_released &= self.rate == 0.0;
        (self.demand.refused, self.demand.wanted) = (0.0, 0.0);
        reported
    }

    /// What the box holds for the team while a demand for it is unanswered.
    fn holdings(&mut self, now: Instant) -> TeamDemand {
        self.refill(now);
        let (leased_rate, remaining) = (self.rate, self.available);
        TeamDemand { refused: 0.0, wanted: DEMAND_PENDING, leased_rate, remaining, ..self.demand }
    }

    /// Whether there is nothing to report about the team.
    fn is_idle(&self) -> bool {
        let demand = &self.demand;
        self.is_released
            && demand.total == self.reported_total
            && demand.refused + demand.wanted == 0.0
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
    /// The number of the last report.
    last_seq: u64,
    /// The unanswered demands by report number, each with the time of sending.
    pending: BTreeMap<u64, Instant>,
    /// When the latest answered report was made; `None` before the first answer.
    last_answered: Option<Instant>,
    heartbeat_interval: Duration,
}

impl Allowances {
    /// The allowances of a box that knows no teams yet.
    pub fn new() -> Self {
        Self {
            teams: BTreeMap::new(),
            last_seq: 0,
            pending: BTreeMap::new(),
            last_answered: None,
            heartbeat_interval: HEARTBEAT_INTERVAL,
        }
    }

    /// The time between two heartbeats.
    pub fn heartbeat_interval(&self) -> Duration {
        self.heartbeat_interval
    }

    /// Sets the time between two heartbeats.
    pub fn set_heartbeat_interval(&mut self, interval: Duration) {
        self.heartbeat_interval = interval;
    }

    /// Sets which teams have a limit. Teams that had one keep their allowance; new ones begin with nothing.
    pub fn set_limited_teams<'a>(
        &mut self,
        limited: impl Iterator<Item = &'a TeamName>,
        now: Instant,
    ) {
        let mut previous = std::mem::take(&mut self.teams);
        for name in limited {
            let allowance = previous.remove(name).unwrap_or_else(|| Allowance::new(now));
            self.teams.insert(name.clone(), allowance);
        }
    }

    /// Takes `cost` units from a team's allowance. Succeeds for any team without a limit.
    ///
    /// # Errors
    /// Too little is left.
    pub fn claim(
        &mut self,
        team: &TeamName,
        cost: f64,
        now: Instant,
    ) -> Result<(), InsufficientAllowance> {
        let is_responsive = self.is_leader_responsive(now);
        let known = self.last_answered.is_some();
        let Some(allowance) = self.teams.get_mut(team) else {
            return Ok(());
        };
        allowance.refill(now);
        if allowance.available >= cost {
            allowance.available -= cost;
            allowance.demand.total += cost;
            allowance.new_requests += 1.0;
            return Ok(());
        }
        allowance.demand.wanted += cost;
        let missing = cost - allowance.available;
        let wait = allowance.exhausted_until.saturating_duration_since(now);
        let exhausted = !wait.is_zero();
        let wait = match is_responsive || exhausted {
            true => wait,
            false => {
                let wait = missing / allowance.rate.max(f64::MIN_POSITIVE);
                Duration::from_secs_f64(wait.clamp(0.0, MAX_GRANT_WAIT_SECS))
            }
        };
        let retry_after = wait.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
        let ask_leader = is_responsive && !exhausted;
        Err(InsufficientAllowance { retry_after, ask_leader, known, exhausted })
    }

    /// Whether the leader is expected to answer: no demand has timed out, and it answered a recent report or there
    /// was none to answer yet.
    fn is_leader_responsive(&self, now: Instant) -> bool {
        let is_timed_out = self.pending.values().any(|sent| now >= *sent + DEMAND_TIMEOUT);
        let grace = self.heartbeat_interval + RESPONSE_GRACE;
        !is_timed_out && self.last_answered.is_none_or(|answered| now < answered + grace)
    }

    /// Records that a request of `cost` units was refused.
    pub fn record_refusal(&mut self, team: &TeamName, cost: f64) {
        if let Some(allowance) = self.teams.get_mut(team) {
            allowance.demand.refused += cost;
            allowance.new_requests += 1.0;
        }
    }

    /// Returns the units of a request that was not run.
    pub fn refund(&mut self, team: &TeamName, cost: f64) {
        if let Some(allowance) = self.teams.get_mut(team) {
            allowance.available += cost;
            allowance.demand.total -= cost;
        }
    }

    /// Whether a demand that includes this team is unanswered.
    pub fn is_pending(&self, team: &TeamName) -> bool {
        self.teams.get(team).is_some_and(|it| self.pending.contains_key(&it.reported_seq))
    }

    /// The report to send with a heartbeat, with every team that sends requests to this box. Of a team with an
    /// unanswered demand it says only what the box holds: a full report would overtake the demand and withdraw what
    /// it asks for, and without any a new leader would assume that the box holds nothing.
    pub fn heartbeat_report(&mut self, now: Instant) -> DemandReport {
        let mut report = self.report_teams(now, |allowance| !allowance.is_idle());
        let pending = &self.pending;
        let pending =
            self.teams.iter_mut().filter(|(_, it)| pending.contains_key(&it.reported_seq));
        report.teams.extend(pending.map(|(name, it)| (name.clone(), it.holdings(now))));
        report
    }

    /// The demand for all teams that requests wait for and that no unanswered demand includes; `None` if there are
    /// none, or if [`MAX_PENDING_DEMANDS`] demands are unanswered.
    pub fn next_demand(&mut self, now: Instant) -> Option<DemandReport> {
        let is_wanted = |it: &Allowance| it.demand.wanted > 0.0;
        let mut free =
            self.teams.values().filter(|it| !self.pending.contains_key(&it.reported_seq));
        if self.pending.len() >= MAX_PENDING_DEMANDS || !free.any(is_wanted) {
            return None;
        }
        let report = self.report_teams(now, is_wanted);
        self.pending.insert(report.seq, now);
        Some(report)
    }

    /// Reports the teams that pass `filter`, without those that have an unanswered demand.
    fn report_teams(&mut self, now: Instant, filter: impl Fn(&Allowance) -> bool) -> DemandReport {
        self.last_seq += 1;
        let seq = self.last_seq;
        let pending = &self.pending;
        let reported = self.teams.iter_mut();
        let reported =
            reported.filter(|(_, it)| !pending.contains_key(&it.reported_seq) && filter(it));
        let teams = reported.map(|(name, allowance)| (name.clone(), allowance.report(seq, now)));
        DemandReport { seq, sent_at: now, teams: teams.collect() }
    }

    /// Applies the leader's reply to a report. What was used after the report is deducted from the grant. A team
    /// that a later report includes is skipped, because the reply to that report replaces this one.
    pub fn apply_grants(
        &mut self,
        report: &DemandReport,
        grants: &BTreeMap<TeamName, Grant>,
        now: Instant,
    ) {
        self.clear_pending(report);
        self.last_answered = self.last_answered.max(Some(report.sent_at));
        for (name, grant) in grants {
            let allowance = self.teams.get_mut(name).filter(|it| it.reported_seq <= report.seq);
            let Some(allowance) = allowance else {
                continue;
            };
            let used_since = allowance.demand.total - allowance.reported_total;
            allowance.available = grant.amount - used_since;
            (allowance.rate, allowance.granted) = (grant.rate, grant.amount);
            let wait = Duration::from_secs_f64(grant.wait.clamp(0.0, MAX_GRANT_WAIT_SECS));
            allowance.exhausted_until = now + wait;
            allowance.lease_start = report.sent_at;
            allowance.refilled_at = now;
        }
    }

    /// Stops waiting for the answer to a demand, because it came or because it no longer will.
    pub fn clear_pending(&mut self, report: &DemandReport) {
        self.pending.remove(&report.seq);
    }
}
