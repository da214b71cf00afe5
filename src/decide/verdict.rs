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
const WORSE_BY: f64 = 0.2;

/// The least rate of failures that the former release is taken to have: below it, one failure alone
/// would speak for a bad release.
const LEAST_RATE: f64 = 0.02;

/// Answers of the former release at [`LEAST_RATE`] that are taken to have been seen before any were.
const PRIOR_ANSWERS: f64 = 10.0;

/// The log of the odds from which on a release is taken to fail: one good one in some 10,000 looks that
/// begin anew. Answers of late begin anew with each of them.
const BAD_ODDS: f64 = 9.2;

/// The log of the odds from which on it is taken not to: one bad one in 100.
const GOOD_ODDS: f64 = 4.6;

/// How much slower, as a factor, a release is at least to be called slow, and at most to be called as fast.
const SLOWER: (f64, f64) = (1.3, 1.8);

/// Standard errors by which the difference must lie beyond those: looked at hundreds of times, a good
/// release passes four by chance once in some thousand roll-outs.
const ERRORS: (f64, f64) = (4.0, 2.0);

/// The least variance that is taken of the logarithms: a handful of like answers proves little.
const LEAST_VARIANCE: f64 = 0.1;

/// The part of the time that a route allows by which a slower release is felt. Under a twentieth no caller
/// tells it from what a prompt's length or a neighbour's work does to any answer.
const FELT_PART: f64 = 0.05;

/// The least standard deviation that is taken of these parts: a handful of like answers proves little.
const LEAST_SPREAD: f64 = 0.05;

/// What an answer counts at most, in times of what its route allows: as late as can be.
const LATEST_PART: f64 = 2.0;

/// Answers below which nothing is said of slowness.
const LEAST_TIMED: f64 = 8.0;

/// The part of a service's answers from which on a route needs evidence of its own.
const ROUTE_PART: f64 = 0.05;

/// Answers of the new release that such a route needs.
const ROUTE_ANSWERS: f64 = 5.0;

/// The log of the odds against a few answers up to which they pass: one failure among some six.
pub(super) const ROUTE_ODDS: f64 = 1.5;

/// How long an answer took.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Over the time that was expected of it.
    pub factor: f64,
    /// Over the time that its route allows.
    pub part: f64,
}

/// What answers were like.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Answers.
    pub answers: f64,
    /// Those that failed.
    pub failed: f64,
    /// Answers whose time was taken, the sum of the logarithms of the factors by which they took longer than
    /// expected, and of their squares.
    pub timed: f64,
    /// The sum of the logarithms.
    pub logs: f64,
    /// The sum of their squares.
    pub squares: f64,
    /// The sum of the times over what the route allows.
    pub parts: f64,
    /// The sum of their squares.
    pub part_squares: f64,
}

impl Tally {
    /// Counts an answer that failed.
    pub fn fail(&mut self) {
        self.answers += 1.0;
        self.failed += 1.0;
    }

    /// Counts an answer that came at this pace.
    pub fn succeed(&mut self, pace: Pace) {
        self.answers += 1.0;
        let log = pace.factor.ln();
        if log.is_finite() && pace.part.is_finite() {
            let part = pace.part.clamp(0.0, LATEST_PART);
            self.timed += 1.0;
            self.logs += log;
            self.squares += log * log;
            self.parts += part;
            self.part_squares += part * part;
        }
    }

    /// Adds another's answers.
    pub fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.failed += other.failed;
        self.timed += other.timed;
        self.logs += other.logs;
        self.squares += other.squares;
        self.parts += other.parts;
        self.part_squares += other.part_squares;
    }

    /// The answers since there were those of `before`.
    fn since(&self, before: &Self) -> Self {
        Self {
            answers: (self.answers - before.answers).max(0.0),
            failed: (self.failed - before.failed).max(0.0),
            timed: (self.timed - before.timed).max(0.0),
            logs: self.logs - before.logs,
            squares: self.squares - before.squares,
            parts: self.parts - before.parts,
            part_squares: self.part_squares - before.part_squares,
        }
    }

    fn mean(&self) -> f64 {
        self.logs / self.timed
    }

    /// The square of the standard error of the mean.
    fn error(&self) -> f64 {
        let variance = self.squares / self.timed - self.mean().powi(2);
        variance.max(LEAST_VARIANCE) / self.timed
    }

    /// The mean of the times over what the route allows.
    fn mean_part(&self) -> f64 {
        self.parts / self.timed
    }

    /// The square of the standard error of that mean.
    fn part_error(&self) -> f64 {
        let variance = self.part_squares / self.timed - self.mean_part().powi(2);
        variance.max(LEAST_SPREAD.powi(2)) / self.timed
    }
}

/// The answers of one route by the new and by the former release.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Pair {
    /// Those of the new one.
    pub new: Tally,
    /// Those of the former one.
    pub former: Tally,
}

impl Pair {
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
    pub fn failure_odds(&self) -> f64 {
        let answers = self.former.answers + PRIOR_ANSWERS;
        let usual = (self.former.failed + LEAST_RATE * PRIOR_ANSWERS) / answers;
        let usual = usual.clamp(LEAST_RATE, 1.0 - 2.0 * WORSE_BY);
        let worse = usual + WORSE_BY;
        let well = self.new.answers - self.new.failed;
        self.new.failed * (worse / usual).ln() + well * ((1.0 - worse) / (1.0 - usual)).ln()
    }

    /// Whether enough answers of both releases were timed to compare them.
    fn is_timed(&self) -> bool {
        self.new.timed >= LEAST_TIMED && self.former.timed >= LEAST_TIMED
    }

    /// By how much slower the new release is, as a logarithm, with its standard error; `None` while too few
    /// answers were timed.
    pub fn slower(&self) -> Option<(f64, f64)> {
        let error = (self.new.error() + self.former.error()).sqrt();
        self.is_timed().then(|| (self.new.mean() - self.former.mean(), error))
    }

    /// By how much longer callers wait with the new release, as a part of what the route allows, with its
    /// standard error; `None` while too few answers were timed.
    pub fn felt(&self) -> Option<(f64, f64)> {
        let error = (self.new.part_error() + self.former.part_error()).sqrt();
        self.is_timed().then(|| (self.new.mean_part() - self.former.mean_part(), error))
    }

    fn reason(&self) -> Option<Reason> {
        if self.failure_odds() >= BAD_ODDS {
            return Some(Reason::Fails);
        }
        let (slower, error) = self.slower()?;
        let (felt, _) = self.felt()?;
        let is_slow = slower - ERRORS.0 * error > SLOWER.0.ln() && felt > FELT_PART;
        is_slow.then_some(Reason::IsSlow)
    }

    fn is_well(&self) -> bool {
        self.failure_odds() <= -GOOD_ODDS && self.is_fast()
    }

    /// Whether the new release is as fast as the former one, or slower by so little that nobody feels it.
    fn is_fast(&self) -> bool {
        let below = |found: Option<(f64, f64)>, limit: f64| {
            found.is_some_and(|(difference, error)| difference + ERRORS.1 * error < limit)
        };
        below(self.slower(), SLOWER.1.ln()) || below(self.felt(), FELT_PART)
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
pub fn judge<'a>(routes: impl Iterator<Item = &'a Pair>) -> Verdict {
    let routes: Vec<_> = routes.collect();
    let mut whole = Pair::default();
    routes.iter().for_each(|pair| whole.add(pair));
    let mut reasons = routes.iter().copied().chain([&whole]).filter_map(Pair::reason);
    if let Some(reason) = reasons.next() {
        return Verdict::Bad(reason);
    }
    let all = whole.new.answers + whole.former.answers;
    let counts = |pair: &Pair| pair.new.answers + pair.former.answers >= ROUTE_PART * all;
    let is_seen =
        |pair: &Pair| pair.new.answers >= ROUTE_ANSWERS && pair.failure_odds() < ROUTE_ODDS;
    let seen = routes.iter().filter(|pair| counts(pair)).all(|pair| is_seen(pair));
    if seen && whole.is_well() { Verdict::Good } else { Verdict::Open }
}
