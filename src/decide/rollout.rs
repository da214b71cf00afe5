//! Decides when a roll-out advances and when it is rolled back. This is the leader's side; the side
//! of a box is [`super::releases`].
//!
//! A roll-out begins with a trial: a small share of the traffic goes to the new release, limited by
//! permits ([`super::exposure`]), and its answers are evaluated ([`super::verdict`]). Then all
//! traffic shifts to the new release, and finally the roll-out is completed. A release that turns
//! out bad before the deadline must not have received more than the allowed share of requests, so
//! the shift starts as late as this limit requires: only once the traffic still expected fits in.
//! Streams on servers of the former release have the time between shift and completion to finish.

use std::collections::{BTreeMap, VecDeque};

use super::exposure::{ExposureLimit, PermitGrants, ROLLOUT_FRACTION};
use super::releases::TrialReport;
use super::verdict::{MAX_ROUTE_LOG_ODDS, RouteComparison, Verdict, evaluate};
use crate::ids::{BoxId, Incarnation};
use crate::state::rollout::{Phase, Rollout, RolloutStep};

/// Seconds before the deadline at which a roll-out is completed. Covers one check by the leader and
/// the group's acknowledgement under load, so that a query at the deadline returns the final state.
const COMPLETION_LEAD_TIME: f64 = 0.3;

/// Seconds within which all boxes learn of the shift. Boxes that have not learned of it still send
/// to servers of the former release, which are gone once the roll-out is completed.
const PROPAGATION_TIME: f64 = 0.4;

/// Seconds before the deadline from which boxes report more often. They then learn of the shift and
/// the completion sooner, at the cost of a few more messages.
const FREQUENT_REPORT_TIME: f64 = 2.5;

/// Upper bound on the time reserved for completion, as a share of the roll-out's duration. Applies
/// to short roll-outs.
const MAX_COMPLETION_SHARE: f64 = 0.25;

/// Upper bound on the time between shift and deadline, as a share of the roll-out's duration.
/// Before the shift, the answers of the new release can be compared with those of the former one.
const MAX_SHIFT_SHARE: f64 = 0.5;

/// Share of the trial's requests that may be sent right at the start.
const INITIAL_TRIAL_SHARE: f64 = 0.1;

/// Minimum time in seconds over which a request rate is computed.
const MIN_RATE_WINDOW: f64 = 0.5;

/// Upper bound on the share of a box's requests that go to the new release during the trial. The
/// others are needed for comparison.
const MAX_BOX_TRIAL_SHARE: f64 = 0.5;

/// Seconds of a box's traffic that the permits in one reply cover: one heartbeat interval, and half
/// of one in reserve for late heartbeats.
const PERMIT_GRANT_TIME: f64 = 0.6;

/// The state of a roll-out at one point in time.
#[derive(Debug, Clone, Copy)]
pub struct RolloutStatus {
    /// Current phase.
    pub phase: Phase,
    /// Seconds since the order.
    pub elapsed: f64,
    /// Seconds between the order and the deadline.
    pub duration: f64,
    /// Requests for the service since the order.
    pub requests: u64,
    /// Requests that may have been sent to the new release.
    pub exposed: u64,
    /// Whether there are servers of the new release to take all traffic.
    pub ready: bool,
    /// Evaluation of the answers so far.
    pub verdict: Verdict,
}

impl RolloutStatus {
    /// Returns the phase that the roll-out enters now, if it is to change.
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
                let lead = time(ROLLOUT_FRACTION).min(self.duration * MAX_SHIFT_SHARE);
                let lead = lead.max(end + PROPAGATION_TIME).min(time(1.0));
                (self.ready && left <= lead).then_some(Phase::Shift)
            }
            // All traffic is at the new release by now, and failures in the last seconds still
            // count.
            (Phase::Shift, Verdict::Good) => (left <= end).then_some(Phase::Completed),
            _ => None,
        }
    }

    /// Whether the shift or the completion is near.
    fn is_change_near(&self) -> bool {
        self.duration - self.elapsed < FREQUENT_REPORT_TIME
    }

    /// Extrapolates the number of requests to the deadline.
    fn expected(&self) -> u64 {
        (self.requests as f64 * (self.duration / self.elapsed.max(MIN_RATE_WINDOW)).max(1.0)) as u64
    }
}

/// The last report of a box and when it was received.
#[derive(Debug, Default)]
struct BoxReport {
    report: TrialReport,
    received_at: f64,
    /// Requests per second at the box.
    rate: f64,
}

/// Answers of all boxes by route.
type RouteStats = BTreeMap<String, RouteComparison>;

/// A roll-out as its leader tracks it: the reports of boxes and the permits granted to them.
#[derive(Debug)]
pub struct RolloutTracker {
    ordered: u64,
    exposure: PermitGrants,
    reports: BTreeMap<(BoxId, Incarnation), BoxReport>,
    /// Requests over all reports, and the time of the first report.
    requests: u64,
    first_report_at: Option<f64>,
    /// Requests that the trial may have sent by now.
    allowed_requests: u64,
    /// Whether the shift or the completion is near, so that boxes are to report more often.
    report_often: bool,
    /// Sums of all answers at several points in the recent past, the latest last.
    snapshots: VecDeque<(f64, RouteStats)>,
}

impl RolloutTracker {
    /// Starts tracking a roll-out before any report was received.
    pub fn new(rollout: &Rollout) -> Self {
        Self {
            ordered: rollout.ordered,
            exposure: PermitGrants::new(rollout.exposed),
            reports: BTreeMap::new(),
            requests: 0,
            first_report_at: None,
            allowed_requests: 0,
            report_often: false,
            snapshots: VecDeque::new(),
        }
    }

    /// When the roll-out was ordered, which identifies it among those of its service.
    pub fn ordered(&self) -> u64 {
        self.ordered
    }

    /// Whether boxes are to report more often.
    pub fn should_report_often(&self) -> bool {
        self.report_often
    }

    /// Requests per second, by the reports received up to `now`.
    fn rate(&self, now: f64) -> f64 {
        let elapsed = now - self.first_report_at.unwrap_or(now);
        self.requests as f64 / elapsed.max(MIN_RATE_WINDOW)
    }

    /// Records a box's report received at `now`, in seconds, and returns the number of permits
    /// granted to the box. `random` is a random number from 0 to 1.
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
        // A box with little traffic gets a permit in half of its replies, as its next request is
        // likely far off.
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

    /// Evaluates the answers of all boxes at `now`. The verdict is bad if either all answers or
    /// those of a recent window are bad, so that many good answers at the beginning do not hide
    /// later failures. It is good only if both are good.
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

/// Whether the new release has recently answered some requests, with no evidence against it.
fn is_recently_good(comparisons: &[RouteComparison]) -> bool {
    let mut sum = RouteComparison::default();
    comparisons.iter().for_each(|comparison| sum.add(comparison));
    sum.new.answers >= MIN_RECENT_ANSWERS && sum.failure_log_odds() < MAX_ROUTE_LOG_ODDS
}

/// Seconds between two snapshots of the sums of answers. With [`MAX_SNAPSHOTS`], the recent windows
/// cover the last half second to three seconds.
const SNAPSHOT_INTERVAL: f64 = 0.5;

/// Number of snapshots kept.
const MAX_SNAPSHOTS: usize = 6;

/// Minimum number of answers of the new release in the last three seconds before all traffic shifts
/// to it.
const MIN_RECENT_ANSWERS: f64 = 3.0;

/// Returns the step of a roll-out that is due at `now`, `elapsed` seconds after the order, and the
/// state that it is based on. `ready` says whether servers of the new release are available.
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
        // Spread the trial evenly over its time, so that there are recent answers when all traffic
        // shifts.
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
