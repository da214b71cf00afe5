//! Whether a release that is being tried is bad.
//!
//! Each route's answers of the new release are held against those of the former one over the same
//! seconds, so that what befalls both (slow engines, cuts, a cold start of everything) speaks against
//! neither. Two things make a release bad: it fails more often, or it is slower.
//!
//! *Failures* go by a sequential probability ratio test: each answer weighs for the rate of the former
//! release or for one that is higher by [`WORSE_BY`]. *Slowness* goes by the logarithms of the time of an
//! answer over the time that was expected of it: the difference of their means, with its standard error.
//! It also has to be felt: where answers take a fraction of a millisecond, one half slower is nothing to
//! a caller whose route allows seconds. Both may be looked at after every answer.

use serde::{Deserialize, Serialize};

/// By how much more of its answers a bad release fails. One in five is what a release is known by after a
/// dozen answers; a day's own failing servers, one in seven of which fail half of their requests, stay
/// under a third of it.
const FAILURE_RATE_INCREASE: f64 = 0.2;

/// The least rate of failures that the former release is taken to have: below it, one failure alone
/// would speak for a bad release.
const MIN_FAILURE_RATE: f64 = 0.02;

/// Answers of the former release at [`LEAST_RATE`] that are taken to have been seen before any were.
const PRIOR_ANSWERS: f64 = 10.0;

/// The log of the odds from which on a release is taken to fail: one good one in some 10,000 looks that
/// begin anew. Answers of late begin anew with each of them.
const BAD_LOG_ODDS: f64 = 9.2;

/// The log of the odds from which on it is taken not to: one bad one in 100.
const GOOD_LOG_ODDS: f64 = 4.6;

/// How much slower, as a factor, a release is at least to be called slow, and at most to be called as fast.
const SLOWDOWN_LIMITS: (f64, f64) = (1.3, 1.8);

/// Standard errors by which the difference must lie beyond those: looked at hundreds of times, a good
/// release passes four by chance once in some thousand roll-outs.
const ERROR_MARGINS: (f64, f64) = (4.0, 2.0);

/// The least variance that is taken of the logarithms: a handful of like answers proves little.
const MIN_LOG_VARIANCE: f64 = 0.1;

/// The part of the time that a route allows by which a slower release is felt. Under a twentieth no caller
/// tells it from what a prompt's length or a neighbour's work does to any answer.
const NOTICEABLE_SHARE: f64 = 0.05;

/// The least standard deviation that is taken of these parts: a handful of like answers proves little.
const MIN_SHARE_DEVIATION: f64 = 0.05;

/// What an answer counts at most, in times of what its route allows: as late as can be.
const MAX_SHARE: f64 = 2.0;

/// Answers below which nothing is said of slowness.
const MIN_TIMED_ANSWERS: f64 = 8.0;

/// The part of a service's answers from which on a route needs evidence of its own.
const ROUTE_TRAFFIC_SHARE: f64 = 0.05;

/// Answers of the new release that such a route needs.
const MIN_ROUTE_ANSWERS: f64 = 5.0;

/// The log of the odds against a few answers up to which they pass: one failure among some six.
pub(super) const MAX_ROUTE_LOG_ODDS: f64 = 1.5;

/// How long an answer took.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RelativeLatency {
    /// Over the time that was expected of it.
    pub to_expected: f64,
    /// Over the time that its route allows.
    pub to_allowed: f64,
}

/// What answers were like.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct AnswerStats {
    /// Answers.
    pub answers: f64,
    /// Those that failed.
    pub failed: f64,
    /// Answers whose time was taken, the sum of the logarithms of the factors by which they took longer than
    /// expected, and of their squares.
    pub timed: f64,
    /// The sum of the logarithms.
    #[serde(rename = "logs")]
    pub log_sum: f64,
    /// The sum of their squares.
    #[serde(rename = "squares")]
    pub log_square_sum: f64,
    /// The sum of the times over what the route allows.
    #[serde(rename = "parts")]
    pub share_sum: f64,
    /// The sum of their squares.
    #[serde(rename = "part_squares")]
    pub share_square_sum: f64,
}

impl AnswerStats {
    /// Counts an answer that failed.
    pub fn record_failure(&mut self) {
        self.answers += 1.0;
        self.failed += 1.0;
    }

    /// Counts an answer that came at this pace.
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

    /// Adds another's answers.
    pub fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.failed += other.failed;
        self.timed += other.timed;
        self.log_sum += other.log_sum;
        self.log_square_sum += other.log_square_sum;
        self.share_sum += other.share_sum;
        self.share_square_sum += other.share_square_sum;
    }

    /// The answers since there were those of `before`.
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

    /// The square of the standard error of the mean.
    fn log_error_squared(&self) -> f64 {
        let variance = self.log_square_sum / self.timed - self.mean_log().powi(2);
        variance.max(MIN_LOG_VARIANCE) / self.timed
    }

    /// The mean of the times over what the route allows.
    fn mean_share(&self) -> f64 {
        self.share_sum / self.timed
    }

    /// The square of the standard error of that mean.
    fn share_error_squared(&self) -> f64 {
        let variance = self.share_square_sum / self.timed - self.mean_share().powi(2);
        variance.max(MIN_SHARE_DEVIATION.powi(2)) / self.timed
    }
}

/// The answers of one route by the new and by the former release.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteComparison {
    /// Those of the new one.
    pub new: AnswerStats,
    /// Those of the former one.
    pub former: AnswerStats,
}

impl RouteComparison {
    /// Adds another's answers.
    pub fn add(&mut self, other: &Self) {
        self.new.add(&other.new);
        self.former.add(&other.former);
    }

    /// The answers since there were those of `before`. A box that restarts takes its own with it.
    pub fn since(&self, before: &Self) -> Self {
        Self { new: self.new.since(&before.new), former: self.former.since(&before.former) }
    }

    /// The log of the odds that the new release fails more often.
    pub fn failure_log_odds(&self) -> f64 {
        let answers = self.former.answers + PRIOR_ANSWERS;
        let base_rate = (self.former.failed + MIN_FAILURE_RATE * PRIOR_ANSWERS) / answers;
        let base_rate = base_rate.clamp(MIN_FAILURE_RATE, 1.0 - 2.0 * FAILURE_RATE_INCREASE);
        let worse_rate = base_rate + FAILURE_RATE_INCREASE;
        let succeeded = self.new.answers - self.new.failed;
        self.new.failed * (worse_rate / base_rate).ln()
            + succeeded * ((1.0 - worse_rate) / (1.0 - base_rate)).ln()
    }

    /// Whether enough answers of both releases were timed to compare them.
    fn is_timed(&self) -> bool {
        self.new.timed >= MIN_TIMED_ANSWERS && self.former.timed >= MIN_TIMED_ANSWERS
    }

    /// By how much slower the new release is, as a logarithm, with its standard error; `None` while too few
    /// answers were timed.
    pub fn log_slowdown(&self) -> Option<(f64, f64)> {
        let error = (self.new.log_error_squared() + self.former.log_error_squared()).sqrt();
        self.is_timed().then(|| (self.new.mean_log() - self.former.mean_log(), error))
    }

    /// By how much longer callers wait with the new release, as a part of what the route allows, with its
    /// standard error; `None` while too few answers were timed.
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

    /// Whether the new release is as fast as the former one, or slower by so little that nobody feels it.
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
    /// It fails more of its requests than the former one.
    Fails,
    /// It takes longer.
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

/// What the answers say so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Too little is known.
    Open,
    /// Nothing speaks against it, on any route that counts.
    Good,
    /// It is bad.
    Bad(Reason),
}

/// Judges a release by the answers of each route.
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
