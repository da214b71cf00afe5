//! The leader's token bucket of each team: how much of the team's limit is left over all boxes, and how much of it
//! each box may use next.
//!
//! The bucket refills at the team's rate up to its burst. An amount leased to a box is deducted at once; the box's
//! next report says how much of it was used and how much is left, and the remainder is returned. A box is also leased
//! a part of the rate, which is deducted as it accrues, whether the box is reachable or not. Whatever the boxes can
//! have used is therefore always deducted already, and no partition, restart or change of leader lets them exceed the
//! limit together.
//!
//! Leases follow the demand that each box reports. Boxes keep using them while there is no leader, so a change of
//! leader refuses few requests. An even split doesn't work: for each of 300 boxes it would be less than one long
//! request in all that time.
//!
//! A new leader doesn't know what was used before it. A leader lets a bucket fall below its reserve
//! ([`RESERVE_SHARE`]) only once the replicated group has noted that. For all other teams a new leader therefore
//! starts with the reserve, even after everything has failed at once. What boxes have on lease they say in their
//! first report; until all of them are heard, the bucket refills only at the rate that the reports account for.
//!
//! Handling a report costs the same with 30 boxes and with 3,000: totals over boxes are updated by differences, and
//! all boxes are visited only ten times a second, however many reports arrive.

use std::collections::BTreeMap;

use super::allowance::{Grant, LEASE_DURATION, TeamDemand};
use super::intervals::MAX_HEARTBEAT_INTERVAL;
use crate::ids::{BoxId, Incarnation};

/// The share of a bucket, including what is leased of it, that boxes hold in advance of requests. With more, units lie
/// at boxes that may not need them; with less, more requests wait for a reply of the leader.
const PREALLOCATED_SHARE: f64 = 0.2;

/// The share of the burst that is left in a bucket unless the group has noted that it may be less. Together with the
/// amounts and rates that boxes hold in advance, a team that uses half of its rate stays above it.
const RESERVE_SHARE: f64 = 0.4;

/// The share of the burst above the reserve at which the group is asked to note that the bucket may be low. A team at
/// its full rate uses this up in a tenth of a second, which is several times what the note takes.
const RESERVE_MARGIN: f64 = 0.05;

/// Seconds in which all boxes that reach a new leader have reported to it.
const GATHERING_SECS: f64 = MAX_HEARTBEAT_INTERVAL.as_millis() as f64 / 1e3;

/// The share of the rate up to which a team's demand leaves the bucket to rise. The group then need not note ahead of
/// time that the bucket may be low, also just after a change of leader, when it is at its reserve.
const LOW_DEMAND_SHARE: f64 = 0.5;

/// Seconds of refill that a box which wants more than there is above the reserve waits for, asking again. The group
/// notes that the bucket may be low only if that would not be enough: a note takes longer.
const REFILL_WAIT_SECS: f64 = 0.02;

/// Seconds over which the shortages of all boxes are added up. A box that asks again counts again, so that one that is
/// not served soon has the group note it.
const SHORTAGE_SECS: f64 = 0.05;

/// Seconds for which a bucket must be expected to stay above its reserve: until the leader's next check, and until
/// the group has noted what that finds.
const LOOKAHEAD_SECS: f64 = 0.4;

/// Seconds for which a bucket must not have been near its reserve before the group may drop its note. A bucket that
/// moves around the reserve would otherwise have the group note it each time.
const RECOVERY_SECS: f64 = 5.0;

/// The share of the preallocated units that is split evenly among the boxes that the team sends requests to; the rest
/// goes by demand. Limits the shortage at boxes that receive requests seldom.
const EVEN_SHARE: f64 = 0.3;

/// The share of the burst at which a bucket that was low has recovered.
const RECOVERED_SHARE: f64 = 0.8;

/// The largest share of the rate that is leased. The rest refills a bucket that is used up, and serves the demands of
/// boxes whose allowance is too small.
const MAX_LEASED_SHARE: f64 = 0.9;

/// The largest rate leased to a box, as a multiple of the demand there: requests come in bursts.
const MAX_RATE_FACTOR: f64 = 2.0;

/// Seconds between the moment a request is counted and its arrival at a backend server, plus the time between a box's
/// report and the leader's reply. Use moves from one window to the next by as much.
const WINDOW_SKEW_SECS: f64 = 0.3;

/// The share of the tolerance that stays unused: for two leaders at once until the former one notices, and for
/// requests that are retried in a later window than the one they were counted in.
const UNUSED_TOLERANCE_SHARE: f64 = 0.15;

/// The share of the usable tolerance that is added to the rate; the rest is added to the burst.
const TOLERANCE_RATE_SHARE: f64 = 0.25;

/// Seconds between two sweeps over all boxes of a bucket. Leased rates are deducted in advance for as long, so a
/// longer interval leaves more of the bucket unused.
const SWEEP_INTERVAL_SECS: f64 = 0.1;

/// The shortest wait, in seconds, that a box is told. It asks no more often than that.
const MIN_WAIT_SECS: f64 = 0.1;

/// A team's rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Units a second.
    pub rate: f64,
    /// The capacity of the bucket, in units.
    pub burst: f64,
}

/// How far a limit may be exceeded in any window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// The length of the window, in seconds.
    pub window: f64,
    /// The permitted excess as a part of the limit.
    pub overshoot: f64,
    /// The permitted excess in units, in addition.
    pub slack: f64,
}

impl RateLimit {
    /// The limit to enforce so that the users' limit, with its tolerance, holds in every window.
    ///
    /// Boxes use at most the burst, which includes all they were leased before the window, and the rate over the
    /// window. What the tolerance permits beyond that is given to the team.
    pub fn with_tolerance(self, tolerance: Tolerance) -> Self {
        let span = tolerance.window + WINDOW_SKEW_SECS;
        let nominal = self.rate * tolerance.window + self.burst;
        let extra = nominal * tolerance.overshoot + tolerance.slack;
        let max_use = nominal + extra * (1.0 - UNUSED_TOLERANCE_SHARE);
        let planned_use = self.rate * span + self.burst;
        let spare = max_use - planned_use;
        if spare < 0.0 {
            return Self {
                rate: self.rate * max_use / planned_use,
                burst: self.burst * max_use / planned_use,
            };
        }
        Self {
            rate: self.rate + spare * TOLERANCE_RATE_SHARE / span,
            burst: self.burst + spare * (1.0 - TOLERANCE_RATE_SHARE),
        }
    }
}

/// What the group has noted of a team's reserve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReserveNote {
    /// The notes have not been read yet.
    Unknown,
    /// The bucket is not below the reserve.
    Intact,
    /// The bucket may be below the reserve.
    Low,
}

/// A box's report about one team.
#[derive(Debug, Clone, Copy)]
pub struct TeamReport {
    /// The incarnation of the box's process.
    pub incarnation: Incarnation,
    /// The report's sequence number within that incarnation.
    pub seq: u64,
    /// The demand that it reports.
    pub demand: TeamDemand,
}

/// What the leader knows of one box's lease.
#[derive(Debug, Clone, Copy)]
struct BoxLease {
    incarnation: Incarnation,
    seq: u64,
    /// [`TeamDemand::total`] in the box's last report.
    total: f64,
    /// Units that the box may have used since that report: the leased amount, and its rate up to the next sweep.
    outstanding: f64,
    /// The highest rate that may be in force at the box.
    rate: f64,
    /// When the box last reported.
    reported_at: f64,
    /// The box's demand, in units a second.
    demand_rate: f64,
}

impl BoxLease {
    /// The lease by the box's own report.
    fn new(now: f64, report: &TeamReport) -> Self {
        let TeamDemand { total, remaining, leased_rate, demand_rate, .. } = report.demand;
        let TeamReport { incarnation, seq, .. } = *report;
        Self {
            incarnation,
            seq,
            total,
            outstanding: remaining,
            rate: leased_rate,
            reported_at: now,
            demand_rate,
        }
    }

    /// What the rate has brought from the last report up to `at`.
    fn accrued(&self, at: f64) -> f64 {
        self.rate * (at - self.reported_at).clamp(0.0, LEASE_DURATION.as_secs_f64())
    }

    /// Whether the lease has ended.
    fn is_expired(&self, now: f64) -> bool {
        now - self.reported_at > LEASE_DURATION.as_secs_f64()
    }
}

/// Totals over the boxes of a bucket.
#[derive(Debug, Clone, Copy, Default)]
struct LeaseTotals {
    /// Units that the boxes may have used since their reports, or can still use.
    outstanding: f64,
    /// Their demand, in units a second.
    demand_rate: f64,
    /// The rates that may be in force at them.
    leased_rate: f64,
}

impl LeaseTotals {
    fn add(&mut self, lease: &BoxLease) {
        self.outstanding += lease.outstanding;
        self.demand_rate += lease.demand_rate;
        self.leased_rate += lease.rate;
    }

    /// Whether demand is so low that the bucket rises.
    fn is_low_demand(&self, limit: RateLimit) -> bool {
        self.demand_rate < LOW_DEMAND_SHARE * limit.rate
    }

    fn remove(&mut self, lease: &BoxLease) {
        self.outstanding -= lease.outstanding;
        self.demand_rate -= lease.demand_rate;
        self.leased_rate -= lease.rate;
    }
}

/// One team's token bucket at the leader. Times are in seconds on the leader's clock.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Units that no box has used or may be using.
    available: f64,
    /// When the leader heard the first box.
    started_at: f64,
    /// Whether the reserve of the former leader's time has been added, or is known to be gone.
    is_reserve_settled: bool,
    /// Whether the group is to note that the bucket may be low.
    needs_low_note: bool,
    /// When the bucket was last near its reserve.
    near_reserve_at: f64,
    /// Units that boxes wanted and did not get since `short_since`.
    shortage: f64,
    short_since: f64,
    /// The time up to which the bucket has been refilled.
    refilled_at: f64,
    /// The time up to which leased rates are deducted; the next sweep is due then.
    swept_until: f64,
    /// The rates that boxes had on lease from a former leader, by their first reports.
    inherited_rate: f64,
    leases: BTreeMap<BoxId, BoxLease>,
    totals: LeaseTotals,
}

impl TokenBucket {
    /// The bucket of a leader that hears its first box at `now`.
    pub fn new(now: f64) -> Self {
        Self {
            available: 0.0,
            started_at: now,
            is_reserve_settled: false,
            needs_low_note: false,
            near_reserve_at: now,
            shortage: 0.0,
            short_since: now,
            refilled_at: now,
            swept_until: now,
            inherited_rate: 0.0,
            leases: BTreeMap::new(),
            totals: LeaseTotals::default(),
        }
    }

    /// The bucket of a team that has used nothing of its limit yet.
    pub fn full(now: f64, limit: RateLimit) -> Self {
        Self { available: limit.burst, is_reserve_settled: true, ..Self::new(now) }
    }

    /// Applies a box's report at `now` and grants the box units until its next one. Returns `None` for a report that
    /// is not newer than the last one of the same incarnation, and for one that only says what the box holds.
    /// `unheard_boxes`: how many boxes may use a former leader's leases and have not reported to this leader.
    pub fn handle_report(
        &mut self,
        now: f64,
        limit: RateLimit,
        note: ReserveNote,
        unheard_boxes: u32,
        box_id: &BoxId,
        report: TeamReport,
    ) -> Option<Grant> {
        let known = self.leases.get(box_id);
        if known.is_some_and(|it| it.incarnation == report.incarnation && it.seq >= report.seq) {
            return None;
        }
        if report.demand.has_pending_demand() {
            self.record_holdings(now, limit, unheard_boxes, box_id, report);
            return None;
        }
        let reserve = RESERVE_SHARE * limit.burst;
        if note == ReserveNote::Intact && !self.is_reserve_settled {
            self.available += reserve;
        }
        self.is_reserve_settled |= note != ReserveNote::Unknown;
        let refill_rate = self.refill(now, limit, unheard_boxes);
        let (key, mut lease) = self.settle_report(now, box_id, &report);
        let floor = if note == ReserveNote::Intact { reserve } else { 0.0 };
        let free = (self.available - floor + lease.outstanding).max(0.0);
        let TeamDemand { wanted, demand_rate, .. } = report.demand;
        let has_demand = wanted > 0.0 || demand_rate > 0.0;
        let amount =
            if has_demand { self.preallocation(&lease).max(wanted).min(free) } else { 0.0 };
        let rate = if has_demand { self.leasable_rate(refill_rate, &lease) } else { 0.0 };
        // Until the box receives the reply, it may go on with its former rate.
        lease.rate = lease.rate.max(rate);
        let charged = amount.max(lease.outstanding) + lease.accrued(self.swept_until);
        self.available -= charged - lease.outstanding;
        lease.outstanding = charged;
        let mut totals = self.totals;
        totals.add(&lease);
        let is_short = self.record_shortage(now, wanted - amount) > refill_rate * REFILL_WAIT_SECS;
        let is_near = !totals.is_low_demand(limit) && is_near_reserve(self.available, limit);
        self.check_reserve(now, note == ReserveNote::Intact, is_near, is_short);
        // Above the reserve, and while boxes are about to report, it is not certain that the limit is reached.
        let is_gathering = unheard_boxes > 0 && now - self.started_at < GATHERING_SECS;
        let is_certain = note == ReserveNote::Low && !is_gathering;
        let wait = if is_certain { self.time_until(now, limit, wanted - amount) } else { 0.0 };
        if has_demand || lease.outstanding > 0.0 || lease.rate > 0.0 {
            self.totals.add(&lease);
            self.leases.insert(key, lease);
        }
        Some(Grant { amount, rate, wait })
    }

    /// Records what a box holds whose demand is still on its way. Skipped if the box is known, because the demand
    /// itself will say more.
    fn record_holdings(
        &mut self,
        now: f64,
        limit: RateLimit,
        unheard_boxes: u32,
        box_id: &BoxId,
        report: TeamReport,
    ) {
        if self.leases.contains_key(box_id) {
            return;
        }
        self.refill(now, limit, unheard_boxes);
        // The demand has a lower number than this report, and must still count when it arrives.
        let mut lease = BoxLease { seq: 0, ..BoxLease::new(now, &report) };
        self.inherited_rate += lease.rate;
        let accrued = lease.accrued(self.swept_until);
        self.available -= accrued;
        lease.outstanding += accrued;
        self.totals.add(&lease);
        self.leases.insert(box_id.clone(), lease);
    }

    /// Compares what a box has used and still holds with what it may have used, and returns the difference to the
    /// bucket. Removes the box's lease from the totals and returns it as of this report.
    fn settle_report(
        &mut self,
        now: f64,
        box_id: &BoxId,
        report: &TeamReport,
    ) -> (BoxId, BoxLease) {
        let lease = BoxLease::new(now, report);
        let Some((key, former)) = self.leases.remove_entry(box_id) else {
            // A former leader has deducted this lease from its own bucket.
            self.inherited_rate += lease.rate;
            return (box_id.clone(), lease);
        };
        self.totals.remove(&former);
        if former.incarnation == report.incarnation {
            let used = report.demand.total - former.total;
            self.available += former.outstanding - used - lease.outstanding;
        }
        // What a former incarnation of the box may have used stays deducted.
        (key, lease)
    }

    /// Refills the bucket at `now`, also if no box reports, and checks ahead of time whether it will fall below its
    /// reserve: what boxes may hold grows by their rates all the same, and the group must note that in time.
    pub fn tick(&mut self, now: f64, limit: RateLimit, note: ReserveNote, unheard_boxes: u32) {
        let refill_rate = self.refill(now, limit, unheard_boxes);
        let totals = self.totals;
        let is_near = match totals.is_low_demand(limit) {
            true => self.is_falling_below(&totals, refill_rate, limit),
            false => {
                let projected = self.available - totals.leased_rate * LOOKAHEAD_SECS;
                is_near_reserve(projected, limit)
            }
        };
        if is_near && !self.leases.is_empty() {
            self.near_reserve_at = now;
            self.needs_low_note |= note == ReserveNote::Intact;
        }
    }

    /// Whether the group is to note that the bucket may be low.
    pub fn needs_low_note(&self) -> bool {
        self.needs_low_note
    }

    /// Whether the bucket has been well above its reserve for long enough that the group may drop its note. What
    /// boxes hold does not count as available here, because the next leader starts with the reserve in addition to
    /// that.
    pub fn has_recovered(&self, now: f64, limit: RateLimit) -> bool {
        let is_stable = now - self.near_reserve_at > RECOVERY_SECS;
        let is_above = is_stable && !is_near_reserve(self.available, limit);
        is_above && self.available_and_leased() >= RECOVERED_SHARE * limit.burst
    }

    /// Units that are leased to no box; negative after boxes were silent.
    pub fn available(&self) -> f64 {
        self.available
    }

    /// Units that are available, plus those that boxes hold.
    pub fn available_and_leased(&self) -> f64 {
        self.available + self.totals.outstanding
    }

    /// Adds what a box has to wait for to what all boxes have had to in the last moment, and returns the sum.
    fn record_shortage(&mut self, now: f64, missing: f64) -> f64 {
        if now - self.short_since > SHORTAGE_SECS {
            (self.short_since, self.shortage) = (now, 0.0);
        }
        self.shortage += missing.max(0.0);
        self.shortage
    }

    /// Whether the bucket will soon be near its reserve because of what boxes hold, whose rates go on without a report
    /// and leave less room for the refill.
    fn is_falling_below(&self, totals: &LeaseTotals, refill_rate: f64, limit: RateLimit) -> bool {
        let accrued = totals.leased_rate * LOOKAHEAD_SECS;
        let refilled = self.available + refill_rate * LOOKAHEAD_SECS - accrued;
        let projected = refilled.min(limit.burst - totals.outstanding - accrued);
        projected < self.available && is_near_reserve(projected, limit)
    }

    /// Records whether the bucket is near its reserve, and whether the group must note it: `is_intact` if it has not
    /// done so, `is_short` if a box has to wait for more.
    fn check_reserve(&mut self, now: f64, is_intact: bool, is_near: bool, is_short: bool) {
        if is_near {
            self.near_reserve_at = now;
        }
        self.needs_low_note = is_intact && (is_near || is_short);
    }

    /// Refills the bucket up to `now` and returns the refill rate. Proceeds in steps, so that the bucket plus all that
    /// boxes may hold stays within the burst at every moment of a lease, even if no box has reported in that time.
    fn refill(&mut self, now: f64, limit: RateLimit, unheard_boxes: u32) -> f64 {
        while self.refilled_at + SWEEP_INTERVAL_SECS < now && !self.leases.is_empty() {
            self.refill_step(self.refilled_at + SWEEP_INTERVAL_SECS, limit, unheard_boxes);
        }
        self.refill_step(now.max(self.refilled_at), limit, unheard_boxes)
    }

    fn refill_step(&mut self, now: f64, limit: RateLimit, unheard_boxes: u32) -> f64 {
        if now >= self.swept_until {
            self.sweep_leases(now);
        }
        let refill_rate = self.refill_rate(now, limit, unheard_boxes);
        let added = refill_rate * (now - self.refilled_at);
        let overflow = (self.available_and_leased() + added - limit.burst).max(0.0);
        self.available += added - overflow;
        self.refilled_at = now;
        refill_rate
    }

    /// Whether boxes may hold leases of a former leader that they have not reported to this one.
    fn misses_boxes(&self, now: f64, unheard_boxes: u32) -> bool {
        unheard_boxes > 0 && self.is_new(now)
    }

    /// Whether a lease of a former leader can still be in force.
    fn is_new(&self, now: f64) -> bool {
        now - self.started_at < LEASE_DURATION.as_secs_f64()
    }

    /// The refill rate in units a second. While boxes have not been heard that may hold a former leader's leases, only
    /// the rates that the heard ones hold are known not to be leased elsewhere.
    fn refill_rate(&self, now: f64, limit: RateLimit, unheard_boxes: u32) -> f64 {
        match self.misses_boxes(now, unheard_boxes) {
            true => self.inherited_rate.min(limit.rate),
            false => limit.rate,
        }
    }

    /// Deducts the leased rates up to the next sweep, drops the leases that have ended (what those boxes may have used
    /// stays deducted), and recomputes the totals.
    fn sweep_leases(&mut self, now: f64) {
        let (from, next) = (self.swept_until, now + SWEEP_INTERVAL_SECS);
        let (mut deducted, mut totals) = (0.0, LeaseTotals::default());
        self.leases.retain(|_, lease| {
            let accrued = lease.accrued(next) - lease.accrued(from);
            lease.outstanding += accrued;
            deducted += accrued;
            if lease.is_expired(now) {
                return false;
            }
            totals.add(lease);
            true
        });
        self.available -= deducted;
        self.totals = totals;
        self.swept_until = next;
    }

    /// The units that a box is to hold in advance of requests; none if it reports no demand.
    fn preallocation(&self, lease: &BoxLease) -> f64 {
        if lease.demand_rate <= 0.0 {
            return 0.0;
        }
        let boxes = (self.leases.len() + 1) as f64;
        let total_demand = self.totals.demand_rate + lease.demand_rate;
        let share = EVEN_SHARE / boxes + (1.0 - EVEN_SHARE) * lease.demand_rate / total_demand;
        let units = (self.available_and_leased() + lease.outstanding).max(0.0);
        PREALLOCATED_SHARE * units * share
    }

    /// The part of the refill rate to lease to a box.
    fn leasable_rate(&self, refill_rate: f64, lease: &BoxLease) -> f64 {
        if lease.demand_rate <= 0.0 {
            return 0.0;
        }
        let leasable = MAX_LEASED_SHARE * refill_rate;
        let total_demand = self.totals.demand_rate + lease.demand_rate;
        let rate = leasable * lease.demand_rate / total_demand;
        let free = leasable - self.totals.leased_rate;
        rate.min(MAX_RATE_FACTOR * lease.demand_rate).min(free).max(0.0)
    }

    /// Seconds until `missing` units have been added; 0 if none are missing. Also 0 if a new leader, which began with
    /// nothing, has them so soon that the request can wait.
    fn time_until(&self, now: f64, limit: RateLimit, missing: f64) -> f64 {
        if missing <= 0.0 && self.available > 0.0 {
            return 0.0;
        }
        let missing = missing.max(0.0) + (-self.available).max(0.0);
        if limit.rate <= 0.0 {
            return f64::from(u16::MAX);
        }
        let wait = missing / limit.rate;
        match wait < MIN_WAIT_SECS && self.is_new(now) {
            true => 0.0,
            false => wait.max(MIN_WAIT_SECS),
        }
    }
}

/// Whether `available` units are near the reserve, or below it.
fn is_near_reserve(available: f64, limit: RateLimit) -> bool {
    available < (RESERVE_SHARE + RESERVE_MARGIN) * limit.burst
}
