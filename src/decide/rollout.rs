//! When a roll-out goes on, and when it goes back: the leader's half.
//!
//! A roll-out has a trial, in which a small part of the traffic goes to the new release by permits
//! ([`super::exposure`]) and its answers are judged ([`super::verdict`]); a shift of all traffic, as late
//! as the requests allowed make it; and its end. A release that turns out bad at any time before the
//! deadline must not have got more than the part allowed, so the shift begins only when what is still to
//! come fits in. Streams at former servers have the time from the shift to the end to finish.

use std::collections::{BTreeMap, VecDeque};

use super::exposure::{Exposure, ExposureLimit, WHOLE_PART};
use super::releases::TrialReport;
use super::verdict::{MAX_ROUTE_LOG_ODDS, RouteComparison, Verdict, evaluate};
use crate::ids::{BoxId, Incarnation};
use crate::state::rollout::{Phase, Rollout, RolloutStep};

/// Seconds before the deadline at which a roll-out is completed: a look of the leader, and the group's
/// acknowledgement beside other work. Whoever asks at the deadline is told the end.
const COMPLETION_LEAD_TIME: f64 = 0.3;

/// Seconds in which all boxes hear of the shift: those that have not go on at the former servers, which are
/// gone once the roll-out is completed.
const PROPAGATION_TIME: f64 = 0.4;

/// Seconds before the deadline from which boxes are to speak more often: they hear of the shift and of the
/// end sooner, for a few words more.
const FREQUENT_REPORT_TIME: f64 = 2.5;

/// The part of the whole time that the end takes at most, where that is short.
const MAX_COMPLETION_SHARE: f64 = 0.25;

/// The part of the whole time at most for which all traffic is at the new release before the end: in
/// the part before, its answers can be held against the former one's.
const MAX_SHIFT_SHARE: f64 = 0.5;

/// The part of a trial's requests that it may send at once.
const INITIAL_TRIAL_SHARE: f64 = 0.1;

/// Seconds after the order before which the rate of requests is not taken from what came.
const MIN_RATE_WINDOW: f64 = 0.5;

/// The part of a box's requests that it tries at most: the others are what they are held against.
const MAX_BOX_TRIAL_SHARE: f64 = 0.5;

/// Seconds of a box's traffic that an answer grants permits for: a beat, and half as much for late ones.
const PERMIT_GRANT_TIME: f64 = 0.6;

/// What is known of a roll-out at some moment.
#[derive(Debug, Clone, Copy)]
pub struct RolloutStatus {
    /// Its phase.
    pub phase: Phase,
    /// Seconds since the order.
    pub elapsed: f64,
    /// Seconds that it may take.
    pub duration: f64,
    /// Requests of the service that came since the order.
    pub requests: u64,
    /// Requests that may have gone to the new release.
    pub exposed: u64,
    /// Whether servers of the new release are there to take all traffic.
    pub ready: bool,
    /// What the answers say.
    pub verdict: Verdict,
}

impl RolloutStatus {
    /// The phase that a roll-out goes to now, if any.
    pub fn next_phase(&self, limit: ExposureLimit) -> Option<Phase> {
        let left = self.duration - self.elapsed;
        let end = COMPLETION_LEAD_TIME.min(self.duration * MAX_COMPLETION_SHARE);
        match (self.phase, self.verdict) {
            (Phase::Trial | Phase::Shift, Verdict::Bad(_)) => Some(Phase::RolledBack),
            (Phase::Trial | Phase::Shift, _) if left <= 0.0 => Some(Phase::RolledBack),
            (Phase::Trial, Verdict::Good) => {
                let time = |part| {
                    limit.shift_time(part, self.requests, self.exposed, self.elapsed, self.duration)
                };
                let lead = time(WHOLE_PART).min(self.duration * MAX_SHIFT_SHARE);
                let lead = lead.max(end + PROPAGATION_TIME).min(time(1.0));
                (self.ready && left <= lead).then_some(Phase::Shift)
            }
            // It has all traffic by now: what speaks against it in the last seconds counts.
            (Phase::Shift, Verdict::Good) => (left <= end).then_some(Phase::Completed),
            _ => None,
        }
    }

    /// Whether the shift or the end is near.
    fn is_change_near(&self) -> bool {
        self.duration - self.elapsed < FREQUENT_REPORT_TIME
    }

    /// Requests that will have come at the deadline, as things stand.
    fn expected(&self) -> u64 {
        (self.requests as f64 * (self.duration / self.elapsed.max(MIN_RATE_WINDOW)).max(1.0)) as u64
    }
}

/// What a box told last, and when.
#[derive(Debug, Default)]
struct BoxReport {
    report: TrialReport,
    received_at: f64,
    /// Requests a second at the box.
    rate: f64,
}

/// The answers of all boxes by route.
type RouteStats = BTreeMap<String, RouteComparison>;

/// A roll-out at its leader: what boxes told of it, and what they were granted.
#[derive(Debug)]
pub struct RolloutTracker {
    ordered: u64,
    exposure: Exposure,
    reports: BTreeMap<(BoxId, Incarnation), BoxReport>,
    /// Requests that came, over all words, and when the first word did.
    requests: u64,
    first_report_at: Option<f64>,
    /// Requests that the trial may have sent by now.
    allowed_requests: u64,
    /// Whether the shift or the end is near.
    report_often: bool,
    /// What all had answered at some moments of late, the latest last.
    snapshots: VecDeque<(f64, RouteStats)>,
}

impl RolloutTracker {
    /// A roll-out whose leader has heard nothing yet.
    pub fn new(rollout: &Rollout) -> Self {
        Self {
            ordered: rollout.ordered,
            exposure: Exposure::new(rollout.exposed),
            reports: BTreeMap::new(),
            requests: 0,
            first_report_at: None,
            allowed_requests: 0,
            report_often: false,
            snapshots: VecDeque::new(),
        }
    }

    /// When it was ordered, which tells it from others.
    pub fn ordered(&self) -> u64 {
        self.ordered
    }

    /// Whether boxes are to speak more often.
    pub fn should_report_often(&self) -> bool {
        self.report_often
    }

    /// Requests a second, by what boxes told up to `now`.
    fn rate(&self, now: f64) -> f64 {
        let elapsed = now - self.first_report_at.unwrap_or(now);
        self.requests as f64 / elapsed.max(MIN_RATE_WINDOW)
    }

    /// Takes a box's word at `now`, in seconds; the permits it gets. `random` is a number from 0 to 1.
    pub fn record_report(
        &mut self,
        now: f64,
        key: (BoxId, Incarnation),
        report: &TrialReport,
        rollout: &Rollout,
        random: f64,
    ) -> u64 {
        self.first_report_at.get_or_insert(now);
        let last = self.reports.entry(key.clone()).or_default();
        let new_requests = report.requests.saturating_sub(last.report.requests);
        let elapsed = now - last.received_at;
        if last.received_at > 0.0 && elapsed > 0.0 {
            last.rate = new_requests as f64 / elapsed;
        }
        (last.report, last.received_at) = (report.clone(), now);
        // A box with little traffic has one as often as not: its next request is likely far off.
        let minimum = u64::from(random < MAX_BOX_TRIAL_SHARE);
        let wanted =
            ((last.rate * MAX_BOX_TRIAL_SHARE * PERMIT_GRANT_TIME + random) as u64).max(minimum);
        self.requests += new_requests;
        let bound = match rollout.phase {
            Phase::Trial => self.allowed_requests.min(rollout.exposed),
            Phase::Shift | Phase::Completed | Phase::RolledBack => 0,
        };
        self.exposure.grant(key, report.permits, wanted, bound)
    }

    /// What the answers that all boxes told of say at `now`: bad where either all of them or those of late
    /// do, so that many good ones at the beginning speak for nothing that comes after; good where both
    /// are.
    pub fn verdict(&mut self, now: f64) -> Verdict {
        let mut routes = RouteStats::new();
        for (route, comparison) in self.reports.values().flat_map(|last| &last.report.routes) {
            routes.entry(route.clone()).or_default().add(comparison);
        }
        let total = evaluate(routes.values());
        let recent = self.snapshots.iter().map(|(_, snapshot)| {
            let since = routes.iter().map(|(route, comparison)| match snapshot.get(route) {
                Some(before) => comparison.since(before),
                None => *comparison,
            });
            since.collect::<Vec<_>>()
        });
        let recent: Vec<_> = recent.collect();
        let bad = recent.iter().map(|comparisons| evaluate(comparisons.iter()));
        let bad = bad.chain([total]).find(|verdict| matches!(verdict, Verdict::Bad(_)));
        let recent_is_good =
            recent.first().is_some_and(|comparisons| is_recently_good(comparisons));
        if self.snapshots.back().is_none_or(|(at, _)| *at + SNAPSHOT_INTERVAL <= now) {
            self.snapshots.push_back((now, routes));
        }
        while self.snapshots.len() > MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
        match bad {
            Some(bad) => bad,
            None if total == Verdict::Good && recent_is_good => Verdict::Good,
            None => Verdict::Open,
        }
    }
}

/// Whether the new release has answered some requests of late, and nothing speaks against it.
fn is_recently_good(comparisons: &[RouteComparison]) -> bool {
    let mut sum = RouteComparison::default();
    comparisons.iter().for_each(|comparison| sum.add(comparison));
    sum.new.answers >= MIN_RECENT_ANSWERS && sum.failure_log_odds() < MAX_ROUTE_LOG_ODDS
}

/// Seconds between two moments at which the answers so far are kept, and how many moments: answers of
/// late are those of the last half second to three seconds.
const SNAPSHOT_INTERVAL: f64 = 0.5;

/// How many of these moments are kept.
const MAX_SNAPSHOTS: usize = 6;

/// Answers of the new release in the last three seconds before all traffic goes to it.
const MIN_RECENT_ANSWERS: f64 = 3.0;

/// The step of a roll-out that is due at `now`, `passed` seconds after the order, and what it goes by.
/// `ready` says whether servers of the new release are there.
pub fn next_step(
    rollout: &Rollout,
    tracker: Option<&mut RolloutTracker>,
    now: f64,
    elapsed: f64,
    ready: bool,
    limit: ExposureLimit,
) -> Option<(RolloutStep, RolloutStatus)> {
    let mut status = RolloutStatus {
        phase: rollout.phase,
        elapsed,
        duration: rollout.order.time.duration().as_secs_f64(),
        requests: 0,
        exposed: rollout.exposed,
        ready,
        verdict: Verdict::Open,
    };
    let mut bound = None;
    if let Some(tracker) = tracker {
        tracker.report_often = status.is_change_near();
        status.requests = tracker.requests;
        status.exposed = tracker.exposure.committed();
        status.verdict = tracker.verdict(now);
        let most = limit.for_trial(status.expected(), tracker.rate(now));
        // Evenly over the time, so that there are answers of late when all traffic is to go there.
        let pace = (elapsed / status.duration + INITIAL_TRIAL_SHARE).min(1.0);
        let paced = (most as f64 * pace) as u64;
        tracker.allowed_requests = paced.min(limit.for_trial(tracker.requests, tracker.rate(now)));
        bound = tracker.exposure.next_bound(rollout.exposed, tracker.allowed_requests, most);
    }
    if let Some(phase) = status.next_phase(limit) {
        return Some((rollout.step(phase, rollout.exposed), status));
    }
    let bound = bound.filter(|_| rollout.phase == Phase::Trial && ready)?;
    Some((rollout.step(rollout.phase, bound), status))
}
