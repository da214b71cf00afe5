//! Learns a performance model of a service's engines from their answers.
//!
//! An engine reads (prefills) a prompt before it sends the first event. The time to the first event is a
//! fixed part plus the prompt's tokens divided by the prefill rate, and is longer if the engine is busy. The
//! model is therefore fitted through the lower part of the observations, as a line with 20% of them below
//! it. Anything above it is queueing delay or the prefill of shared prefixes that were not cached. Only the
//! unshared tokens of a prompt are certain to be read, so where shared prefixes are rarely cached, the
//! estimated rate is too low but never too high.
//!
//! Each relay learns from its own requests. The leader pools the relays' models and distributes the result.
//! Where each relay has few requests, a fit of its own would take minutes; a relay without one reports its
//! samples instead, and the leader learns from those of all such relays together.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::capacity::OfferedLoad;

/// The prior of the prefill rate, in tokens per second: about that of one accelerator with a model of 10
/// billion parameters. It is only used to compare engines; none are ordered before the rate is learned.
const PRIOR_RATE: f64 = 50_000.0;

/// The number of observations that are kept. With 256, the rate of simulated engines is learned to within
/// 15% from 300 requests, and an engine that becomes five times as fast is followed within as many
/// (`tests/engine.rs`).
const MAX_OBSERVATIONS: usize = 256;

/// The number of observations required for a fit.
const MIN_OBSERVATIONS: usize = 24;

/// The number of new observations after which the line is fitted again.
const REFIT_INTERVAL: usize = 16;

/// The minimum number of events for a stream to count towards the pace.
const MIN_PACE_EVENTS: f64 = 4.0;

/// The fraction of the observations below the fitted line, and the quantile taken as the pace.
const LOW_QUANTILE: f64 = 0.2;

/// Iterations of the fit. Each weights the points by their distance from the previous line.
const FIT_STEPS: usize = 12;

/// The weight of a new observation in a moving average: about fifty requests, a few seconds of a relay's
/// traffic.
const MEAN_WEIGHT: f64 = 0.02;

/// The relative change from which on a value is reported. Values learned from some hundred requests are no
/// more precise.
const REPORTED_CHANGE: f64 = 0.05;

/// A change of the queueing delay, in seconds, too small for any caller to notice.
const UNREPORTED_WAIT: f64 = 0.005;

/// A change in the fraction of late requests too small to affect the number of engines.
const UNREPORTED_LATE: f64 = 0.01;

/// The upper bound of a single observed queueing delay, in seconds. Longer delays indicate a failure.
const MAX_WAIT: f64 = 2.0;

/// The performance model of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineModel {
    /// The prefill rate of one engine, in prompt tokens per second.
    pub rate: f64,
    /// Seconds to the first event regardless of the prompt.
    pub base: f64,
    /// The mean number of prompt tokens that an engine has to read.
    pub prompt: f64,
    /// The mean queueing delay of a request, in seconds.
    pub wait: f64,
    /// The fraction of requests that are late, either to the first event or between two events.
    pub late: f64,
    /// Seconds between two events of an unimpeded stream; 0 if unknown.
    #[serde(default)]
    pub pace: f64,
    /// Events per token of the output limit.
    #[serde(default)]
    pub events: f64,
    /// The number of observations that the model is based on; 0 if there are none.
    pub weight: f64,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self { rate: PRIOR_RATE, ..Self::zero() }
    }
}

impl EngineModel {
    const fn zero() -> Self {
        let (rate, base, prompt, wait) = (0.0, 0.0, 0.0, 0.0);
        Self { rate, base, prompt, wait, late: 0.0, pace: 0.0, events: 0.0, weight: 0.0 }
    }

    /// Slot seconds per second that the offered load needs on engines with no other prefill: the prefill of
    /// each request plus its events. Returns 0 while the pace is unknown.
    pub fn slot_load(&self, offered: &OfferedLoad) -> f64 {
        let events = offered.output_tokens * self.events * self.pace;
        if events > 0.0 {
            self.prefill_time(offered.prompt_tokens) + offered.requests * self.base + events
        } else {
            0.0
        }
    }

    /// Whether anything was learned.
    pub fn is_learned(&self) -> bool {
        self.weight > 0.0
    }

    /// Seconds to prefill a number of tokens.
    pub fn prefill_time(&self, tokens: f64) -> f64 {
        tokens / self.rate
    }

    /// Seconds to prefill a prompt of mean size.
    pub fn mean_prefill_time(&self) -> f64 {
        self.prefill_time(self.prompt)
    }

    /// Averages the models of several relays, weighted by their observations.
    pub fn pool<'a>(models: impl Iterator<Item = &'a Self>) -> Self {
        let mut sum = Self::zero();
        let mut pace_weight = 0.0;
        for model in models.filter(|model| model.is_learned()) {
            // Average the seconds per token, as rates must not be averaged arithmetically.
            sum.rate += model.weight / model.rate;
            sum.base += model.weight * model.base;
            sum.prompt += model.weight * model.prompt;
            sum.wait += model.weight * model.wait;
            sum.late += model.weight * model.late;
            if model.pace > 0.0 {
                sum.pace += model.weight * model.pace;
                sum.events += model.weight * model.events;
                pace_weight += model.weight;
            }
            sum.weight += model.weight;
        }
        if sum.weight == 0.0 {
            return Self::default();
        }
        Self {
            rate: sum.weight / sum.rate,
            base: sum.base / sum.weight,
            prompt: sum.prompt / sum.weight,
            wait: sum.wait / sum.weight,
            late: sum.late / sum.weight,
            pace: sum.pace / f64::max(pace_weight, 1.0),
            events: sum.events / f64::max(pace_weight, 1.0),
            weight: sum.weight,
        }
    }

    /// Like [`Self::pool`], and includes the leader's own model, which it learned from relays without a fit.
    /// The own model is dropped once the relays' fits outweigh it, as it learns nothing from relays that
    /// have a fit.
    pub fn pool_with<'a>(models: impl Iterator<Item = &'a Self>, own: Option<&Self>) -> Self {
        let pooled = Self::pool(models);
        match own.filter(|own| own.weight > pooled.weight) {
            Some(own) => Self::pool([&pooled, own].into_iter()),
            None => pooled,
        }
    }

    /// Whether `later` differs enough that recipients of this model should be sent the later one.
    pub fn is_outdated_by(&self, later: &Self) -> bool {
        let moved = |a: f64, b: f64, negligible: f64| {
            (a - b).abs() > negligible.max(REPORTED_CHANGE * a.max(b))
        };
        moved(self.rate, later.rate, 0.0)
            || moved(self.base, later.base, UNREPORTED_WAIT)
            || moved(self.prompt, later.prompt, 0.0)
            || moved(self.wait, later.wait, UNREPORTED_WAIT)
            || moved(self.late, later.late, UNREPORTED_LATE)
            || moved(self.pace, later.pace, 0.0)
            || moved(self.events, later.events, 0.0)
            || moved(self.weight, later.weight, 0.0)
    }

    /// Whether the rates differ by more than 10%, or only one of the models was learned.
    pub fn differs(&self, other: &Self) -> bool {
        let differ = |a: f64, b: f64| (a - b).abs() > 0.1 * a.max(b);
        self.is_learned() != other.is_learned() || differ(self.rate, other.rate)
    }
}

/// The time to the first event of one request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// The estimated number of prompt tokens that the engine had to read.
    pub tokens: f64,
    /// Those tokens that no other request shares. The engine certainly had to read them.
    #[serde(rename = "own")]
    pub unshared_tokens: f64,
    /// Seconds from sending the request to its first event.
    pub seconds: f64,
    /// Whether no request of this relay was ahead of it.
    pub is_clear: bool,
}

/// An observation of an engine, made with one request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Sample {
    /// The time to the first event.
    First(Observation),
    /// A request that was served.
    Served {
        /// Whether it was late.
        late: bool,
    },
    /// A stream that ended successfully.
    Stream {
        /// The number of events.
        events: f64,
        /// The output token limit.
        output: f64,
        /// Seconds from the first event to the last.
        seconds: f64,
    },
}

/// Learns the model of one service's engines from samples.
#[derive(Debug, Default)]
pub struct EngineLearner {
    unqueued: VecDeque<(f64, f64)>,
    since_fit: usize,
    paces: VecDeque<f64>,
    model: EngineModel,
}

impl EngineLearner {
    /// Records a sample of any kind.
    pub fn record(&mut self, sample: Sample) {
        match sample {
            Sample::First(observation) => self.record_first_event(observation),
            Sample::Served { late } => self.record_served(late),
            Sample::Stream { events, output, seconds } => {
                self.record_stream(events, output, seconds)
            }
        }
    }

    /// Records the time to the first event of a request.
    pub fn record_first_event(&mut self, observation: Observation) {
        let model = &mut self.model;
        let first = model.prompt == 0.0;
        let weight = if first { 1.0 } else { MEAN_WEIGHT };
        model.prompt += weight * (observation.tokens - model.prompt);
        if model.is_learned() {
            let wait = observation.seconds - model.base - model.prefill_time(observation.tokens);
            model.wait += MEAN_WEIGHT * (wait.clamp(0.0, MAX_WAIT) - model.wait);
        }
        if observation.is_clear && observation.seconds > 0.0 {
            self.unqueued.push_back((observation.unshared_tokens, observation.seconds));
            self.since_fit += 1;
        }
        if self.unqueued.len() > MAX_OBSERVATIONS {
            self.unqueued.pop_front();
        }
        if self.unqueued.len() >= MIN_OBSERVATIONS && self.since_fit >= REFIT_INTERVAL {
            self.since_fit = 0;
            self.fit();
        }
    }

    /// Records whether a served request was late.
    pub fn record_served(&mut self, is_late: bool) {
        let late = if is_late { 1.0 } else { 0.0 };
        self.model.late += MEAN_WEIGHT * (late - self.model.late);
    }

    /// Records a stream that ended successfully: the number of events, the output token limit, and the
    /// seconds from the first event to the last.
    pub fn record_stream(&mut self, events: f64, output: f64, seconds: f64) {
        if output <= 0.0 {
            return;
        }
        let first = self.model.events == 0.0;
        let weight = if first { 1.0 } else { MEAN_WEIGHT };
        self.model.events += weight * (events / output - self.model.events);
        if events < MIN_PACE_EVENTS {
            return;
        }
        self.paces.push_back(seconds / (events - 1.0));
        if self.paces.len() > MAX_OBSERVATIONS {
            self.paces.pop_front();
        }
        if self.paces.len() >= MIN_OBSERVATIONS && self.paces.len().is_multiple_of(REFIT_INTERVAL) {
            self.model.pace =
                quantile(self.paces.iter().copied(), LOW_QUANTILE).unwrap_or_default();
        }
    }

    /// The model learned so far.
    pub fn model(&self) -> EngineModel {
        self.model
    }

    fn fit(&mut self) {
        let Some((base, slope)) = fit_low_line(&self.unqueued) else {
            return;
        };
        self.model.rate = 1.0 / slope;
        self.model.base = base;
        self.model.weight = self.unqueued.len() as f64;
    }
}

/// Fits the line `base + slope * x` with a fraction of [`LOW_QUANTILE`] of the points below it (quantile
/// regression by iteratively reweighted least squares). Returns `None` if the points show no positive slope.
fn fit_low_line(points: &VecDeque<(f64, f64)>) -> Option<(f64, f64)> {
    let count = points.len() as f64;
    let (x_mean, y_mean) = points.iter().fold((0.0, 0.0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
    let (x_mean, y_mean) = (x_mean / count, y_mean / count);
    if x_mean <= 0.0 || y_mean <= 0.0 {
        return None;
    }
    let scaled: Vec<_> = points.iter().map(|(x, y)| (x / x_mean, y / y_mean)).collect();
    let (mut base, mut slope) = (0.0, 1.0);
    for _ in 0..FIT_STEPS {
        let weighted = scaled.iter().map(|(x, y)| {
            let residual = y - base - slope * x;
            let weight = if residual > 0.0 { LOW_QUANTILE } else { 1.0 - LOW_QUANTILE };
            (weight / residual.abs().max(MIN_DISTANCE), *x, *y)
        });
        (base, slope) = fit_line(weighted);
    }
    // The slope is in seconds per token, and the base is never negative.
    (slope > 0.0).then(|| (base * y_mean, slope * y_mean / x_mean))
}

/// The minimum distance from the line, as a fraction of the mean time. Without it, the weights of close
/// points would be unbounded.
const MIN_DISTANCE: f64 = 0.01;

/// Fits a line with a non-negative intercept by weighted least squares.
fn fit_line(points: impl Iterator<Item = (f64, f64, f64)>) -> (f64, f64) {
    let (mut w, mut wx, mut wy, mut wxx, mut wxy) = (0.0, 0.0, 0.0, 0.0, 0.0);
    for (weight, x, y) in points {
        w += weight;
        wx += weight * x;
        wy += weight * y;
        wxx += weight * x * x;
        wxy += weight * x * y;
    }
    let spread = w * wxx - wx * wx;
    let through_zero = (0.0, wxy / wxx.max(f64::MIN_POSITIVE));
    if spread <= MIN_SPREAD * w * wxx {
        return through_zero;
    }
    let slope = (w * wxy - wx * wy) / spread;
    let base = (wy - slope * wx) / w;
    if base < 0.0 { through_zero } else { (base, slope) }
}

/// The minimum spread of the prompt sizes, relative to their mean square. With less spread, the fixed part
/// cannot be told apart from the slope.
const MIN_SPREAD: f64 = 0.01;

/// The `part` quantile of `numbers`, or `None` if there are none.
pub(super) fn quantile(numbers: impl Iterator<Item = f64>, part: f64) -> Option<f64> {
    let mut sorted: Vec<_> = numbers.collect();
    sorted.sort_unstable_by(f64::total_cmp);
    sorted.get((sorted.len() as f64 * part) as usize).copied()
}
