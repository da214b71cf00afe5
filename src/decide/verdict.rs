//! Decides whether a release on trial is bad.
//!
//! For each route, the answers of the new release are compared with those of the former release
//! over the same period. Disturbances that affect both (slow engines, dropped connections, a cold
//! start of the whole fleet) therefore count against neither. A release is bad if it fails more
//! often or if it is slower.
//!
//! *Failures* are assessed with a sequential probability ratio test: each answer is weighed under
//! the hypothesis that the new release fails at the rate of the former one, and under the
//! hypothesis that its failure rate is higher by [`FAILURE_RATE_INCREASE`].
//!
//! *Slowness* is assessed with the logarithm of the time an answer took divided by the time
//! expected of it: the means of the two releases are compared, with the standard error of their
//! difference. The slowdown must also be noticeable: where answers take a fraction of a
//! millisecond, one that is half as slow again makes no difference to a caller whose route allows
//! seconds.
//!
//! Both tests may be repeated after every answer.

use serde::{Deserialize, Serialize};

/// By how much the failure rate of a bad release exceeds that of the former one. A release that
/// fails one answer in five is detected after about a dozen answers. Ordinary faulty servers (one
/// server in seven, each failing half of its requests) reach about a third of this rate.
const FAILURE_RATE_INCREASE: f64 = 0.2;

/// Lower bound on the assumed failure rate of the former release. Without it, a single failure
/// would be enough to reject the new release.
const MIN_FAILURE_RATE: f64 = 0.02;

/// Number of answers of the former release, with failure rate [`MIN_FAILURE_RATE`], that are
/// assumed before any real answer is counted.
const PRIOR_ANSWERS: f64 = 10.0;

/// Log odds at or above which a release is considered to fail more often. A good release reaches
/// this in about one of 10,000 evaluations that start from zero. Each window of recent answers is
/// such a fresh start.
const BAD_LOG_ODDS: f64 = 9.2;

/// A release is considered not to fail more often once its log odds are at most the negative of this.
/// One bad release in 100 passes.
const GOOD_LOG_ODDS: f64 = 4.6;

/// Bounds on the slowdown factor: a release that is slower by more than the first is slow, and one
/// that is slower by less than the second is still fast enough.
const SLOWDOWN_LIMITS: (f64, f64) = (1.3, 1.8);

/// Number of standard errors by which the slowdown must lie beyond the corresponding
/// [`SLOWDOWN_LIMITS`]. With hundreds of evaluations, a good release exceeds four by chance in
/// about one of several thousand roll-outs.
const ERROR_MARGINS: (f64, f64) = (4.0, 2.0);

/// Lower bound on the variance of the logarithms, as a handful of similar answers proves little.
const MIN_LOG_VARIANCE: f64 = 0.1;

/// Increase in latency, as a share of the time that the route allows, from which a caller notices a
/// slower release. Below a twentieth, callers cannot distinguish it from the effect of prompt
/// length or of other load on the server.
const NOTICEABLE_SHARE: f64 = 0.05;

/// Lower bound on the standard deviation of these shares, as a handful of similar answers proves
/// little.
const MIN_SHARE_DEVIATION: f64 = 0.05;

/// Upper bound on the share of the allowed time that a single answer contributes.
const MAX_SHARE: f64 = 2.0;

/// Minimum number of timed answers of each release before slowness is assessed.
const MIN_TIMED_ANSWERS: f64 = 8.0;

/// Share of a service's answers from which a route needs its own evidence before the release is
/// good.
const ROUTE_TRAFFIC_SHARE: f64 = 0.05;

/// Minimum number of answers of the new release on such a route.
const MIN_ROUTE_ANSWERS: f64 = 5.0;

/// Log odds below which a small number of answers is accepted: about one failure in six.
pub(super) const MAX_ROUTE_LOG_ODDS: f64 = 1.5;

/// The latency of an answer relative to two reference times.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RelativeLatency {
    /// Time taken, divided by the time expected for the request. Plain requests have no expected
    /// time and give the number of seconds: only the ratio between the two releases matters.
    pub to_expected: f64,
    /// Time taken, divided by the time that the route allows.
    pub to_allowed: f64,
}

/// Counts and latency sums of a set of answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct AnswerStats {
    /// Number of answers.
    pub answers: f64,
    /// Number of answers that failed.
    pub failed: f64,
    /// Number of successful answers with a measured latency.
    pub timed: f64,
    /// Sum of the logarithms of [`RelativeLatency::to_expected`].
    #[serde(rename = "logs")]
    pub log_sum: f64,
    /// Sum of the squares of these logarithms.
    #[serde(rename = "squares")]
    pub log_square_sum: f64,
    /// Sum of [`RelativeLatency::to_allowed`], each limited to [`MAX_SHARE`].
    #[serde(rename = "parts")]
    pub share_sum: f64,
    /// Sum of the squares of these shares.
    #[serde(rename = "part_squares")]
    pub share_square_sum: f64,
}

impl AnswerStats {
    /// Counts a failed answer.
    pub fn record_failure(&mut self) {
        self.answers += 1.0;
        self.failed += 1.0;
    }

    /// Counts a successful answer.
    pub fn record_success(&mut self, latency: RelativeLatency) {
        self.answers += 1.0;
        let log = latency.to_expected.ln();
        if log.is_finite() && latency.to_allowed.is_finite() {
            let share = latency.to_allowed.clamp(0.0, MAX_SHARE);
            self.timed += 1.0;
            self.log_sum += log;
            self.log_square_sum += log * log;
            self.share_sum += share;
            self.share_square_sum += share * share;
        }
    }

    /// Adds the answers of `other`.
    pub fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.failed += other.failed;
        self.timed += other.timed;
        self.log_sum += other.log_sum;
        self.log_square_sum += other.log_square_sum;
        self.share_sum += other.share_sum;
        self.share_square_sum += other.share_square_sum;
    }

    /// Returns the answers that were added after `before` was taken.
    fn since(&self, before: &Self) -> Self {
        Self {
            answers: (self.answers - before.answers).max(0.0),
            failed: (self.failed - before.failed).max(0.0),
            timed: (self.timed - before.timed).max(0.0),
            log_sum: self.log_sum - before.log_sum,
            log_square_sum: self.log_square_sum - before.log_square_sum,
            share_sum: self.share_sum - before.share_sum,
            share_square_sum: self.share_square_sum - before.share_square_sum,
        }
    }

    fn mean_log(&self) -> f64 {
        self.log_sum / self.timed
    }

    /// Square of the standard error of the mean logarithm.
    fn log_error_squared(&self) -> f64 {
        let variance = self.log_square_sum / self.timed - self.mean_log().powi(2);
        variance.max(MIN_LOG_VARIANCE) / self.timed
    }

    /// Mean of the latencies as shares of the allowed time.
    fn mean_share(&self) -> f64 {
        self.share_sum / self.timed
    }

    /// Square of the standard error of the mean share.
    fn share_error_squared(&self) -> f64 {
        let variance = self.share_square_sum / self.timed - self.mean_share().powi(2);
        variance.max(MIN_SHARE_DEVIATION.powi(2)) / self.timed
    }
}

/// The answers of the new and the former release on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteComparison {
    /// Answers of the new release.
    pub new: AnswerStats,
    /// Answers of the former release.
    pub former: AnswerStats,
}

impl RouteComparison {
    /// Adds the answers of `other`.
    pub fn add(&mut self, other: &Self) {
        self.new.add(&other.new);
        self.former.add(&other.former);
    }

    /// Returns the answers that were added after `before` was taken. The counts of a box that
    /// restarted since are no longer included; the result is never negative.
    pub fn since(&self, before: &Self) -> Self {
        Self { new: self.new.since(&before.new), former: self.former.since(&before.former) }
    }

    /// Log odds that the new release fails more often than the former one.
    pub fn failure_log_odds(&self) -> f64 {
        let answers = self.former.answers + PRIOR_ANSWERS;
        let base_rate = (self.former.failed + MIN_FAILURE_RATE * PRIOR_ANSWERS) / answers;
        let base_rate = base_rate.clamp(MIN_FAILURE_RATE, 1.0 - 2.0 * FAILURE_RATE_INCREASE);
        let worse_rate = base_rate + FAILURE_RATE_INCREASE;
        let succeeded = self.new.answers - self.new.failed;
        self.new.failed * (worse_rate / base_rate).ln()
            + succeeded * ((1.0 - worse_rate) / (1.0 - base_rate)).ln()
    }

    /// Whether enough answers of both releases have a measured latency to compare them.
    fn is_timed(&self) -> bool {
        self.new.timed >= MIN_TIMED_ANSWERS && self.former.timed >= MIN_TIMED_ANSWERS
    }

    /// Logarithm of the factor by which the new release is slower, with its standard error. `None`
    /// while too few answers have a measured latency.
    pub fn log_slowdown(&self) -> Option<(f64, f64)> {
        let error = (self.new.log_error_squared() + self.former.log_error_squared()).sqrt();
        self.is_timed().then(|| (self.new.mean_log() - self.former.mean_log(), error))
    }

    /// Increase in latency with the new release, as a share of the allowed time, with its standard
    /// error. `None` while too few answers have a measured latency.
    pub fn latency_increase(&self) -> Option<(f64, f64)> {
        let error = (self.new.share_error_squared() + self.former.share_error_squared()).sqrt();
        self.is_timed().then(|| (self.new.mean_share() - self.former.mean_share(), error))
    }

    fn rejection_reason(&self) -> Option<Reason> {
        if self.failure_log_odds() >= BAD_LOG_ODDS {
            return Some(Reason::Fails);
        }
        let (slowdown, error) = self.log_slowdown()?;
        let (increase, _) = self.latency_increase()?;
        let is_slow = slowdown - ERROR_MARGINS.0 * error > SLOWDOWN_LIMITS.0.ln()
            && increase > NOTICEABLE_SHARE;
        is_slow.then_some(Reason::IsSlow)
    }

    fn is_good(&self) -> bool {
        self.failure_log_odds() <= -GOOD_LOG_ODDS && self.is_fast_enough()
    }

    /// Whether the new release is as fast as the former one, or slower by too little to be noticed.
    fn is_fast_enough(&self) -> bool {
        let below = |found: Option<(f64, f64)>, limit: f64| {
            found.is_some_and(|(difference, error)| difference + ERROR_MARGINS.1 * error < limit)
        };
        below(self.log_slowdown(), SLOWDOWN_LIMITS.1.ln())
            || below(self.latency_increase(), NOTICEABLE_SHARE)
    }
}

/// Why a release is bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It fails more of its requests than the former release.
    Fails,
    /// It is slower than the former release.
    IsSlow,
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Fails => "fails",
            Self::IsSlow => "is_slow",
        })
    }
}

/// The result of an evaluation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// There is not enough evidence yet.
    Open,
    /// There is enough evidence, and none against the release, on every route with significant
    /// traffic.
    Good,
    /// The release is bad.
    Bad(Reason),
}

/// Evaluates a release by the answers on each of its routes and by their sum.
pub fn evaluate<'a>(routes: impl Iterator<Item = &'a RouteComparison>) -> Verdict {
    let routes: Vec<_> = routes.collect();
    let mut total = RouteComparison::default();
    routes.iter().for_each(|comparison| total.add(comparison));
    let mut reasons =
        routes.iter().copied().chain([&total]).filter_map(RouteComparison::rejection_reason);
    if let Some(reason) = reasons.next() {
        return Verdict::Bad(reason);
    }
    let all = total.new.answers + total.former.answers;
    let has_traffic = |comparison: &RouteComparison| {
        comparison.new.answers + comparison.former.answers >= ROUTE_TRAFFIC_SHARE * all
    };
    let has_evidence = |comparison: &RouteComparison| {
        comparison.new.answers >= MIN_ROUTE_ANSWERS
            && comparison.failure_log_odds() < MAX_ROUTE_LOG_ODDS
    };
    let all_have_evidence = routes
        .iter()
        .filter(|comparison| has_traffic(comparison))
        .all(|comparison| has_evidence(comparison));
    if all_have_evidence && total.is_good() { Verdict::Good } else { Verdict::Open }
}
