//! What the engines of a service can do, as far as their answers show.
//!
//! An engine reads a prompt before its first event. The time until then is a fixed part and the
//! prompt's tokens over a reading rate, and longer by whatever else it is doing. So the fit goes
//! through the lower part of what is seen: a line of which one observation in five lies below. What
//! lies above is the wait that the load causes, and the reading of shared parts that were not cached:
//! only what a prompt has of its own is read for certain. Where shared parts are hardly ever cached,
//! the rate comes out too low, never too high.
//!
//! A box learns from its own requests. The leader pools what boxes tell and passes it on. Where each box
//! has few requests, a fit of its own takes minutes; so a box that has none yet reports its samples, and
//! the leader learns from those of all boxes together.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::capacity::OfferedLoad;

/// Prompt tokens a second, before anything was seen: about one accelerator's rate for a model of some
/// ten billion parameters. Only the comparison of engines goes by it; none are ordered before the
/// rate is learned.
const PRIOR_RATE: f64 = 50_000.0;

/// Observations kept. The rate of drawn engines is learned within 15% from 300 requests, and one that
/// becomes five times as fast is followed within as many (`tests/engine.rs`).
const KEPT: usize = 256;

/// Observations before there is a fit of its own.
const LEAST: usize = 24;

/// New observations after which the line is fitted again.
const AGAIN: usize = 16;

/// Events of a stream from which on its pace says something.
const LEAST_EVENTS: f64 = 4.0;

/// The part of the observations that lies below the line, or the pace.
const LOW_PART: f64 = 0.2;

/// Steps of the fit: each weighs the points by their distance from the line before.
const FIT_STEPS: usize = 12;

/// Weight of a new observation in a mean: fifty requests, a few seconds of a box's traffic.
const MEAN_WEIGHT: f64 = 0.02;

/// The part by which a figure moves before it is news: what is learned from some hundred requests is no
/// surer than that.
const NEWS_PART: f64 = 0.05;

/// Seconds of a wait that no caller notices.
const SLIGHT_WAIT: f64 = 0.005;

/// A part of the requests that orders no engine more.
const SLIGHT_PART: f64 = 0.01;

/// The longest wait, in seconds, that one observation counts for: beyond it, something failed.
const WAIT_LIMIT: f64 = 2.0;

/// What is known of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineModel {
    /// Prompt tokens that one reads in a second.
    pub rate: f64,
    /// Seconds until the first event, whatever the prompt.
    pub base: f64,
    /// Mean tokens of a prompt that an engine has to read.
    pub prompt: f64,
    /// Mean seconds that a request waits for others.
    pub wait: f64,
    /// The part of the requests that come late: to their first event, or between two of them.
    pub late: f64,
    /// Seconds between two events of a stream that nothing holds up; 0 where none was seen.
    #[serde(default)]
    pub pace: f64,
    /// Events that come out of a token that may.
    #[serde(default)]
    pub events: f64,
    /// Observations behind this; 0 for none.
    pub weight: f64,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self { rate: PRIOR_RATE, ..Self::nothing() }
    }
}

impl EngineModel {
    const fn nothing() -> Self {
        let (rate, base, prompt, wait) = (0.0, 0.0, 0.0, 0.0);
        Self { rate, base, prompt, wait, late: 0.0, pace: 0.0, events: 0.0, weight: 0.0 }
    }

    /// Seconds of a place that a second of what is offered asks for, at engines that read nothing else: each
    /// request's own reading, and its events.
    pub fn slot_load(&self, offered: &OfferedLoad) -> f64 {
        let events = offered.output_tokens * self.events * self.pace;
        if events > 0.0 {
            self.read_time(offered.prompt_tokens) + offered.requests * self.base + events
        } else {
            0.0
        }
    }

    /// Whether anything was learned.
    pub fn is_learned(&self) -> bool {
        self.weight > 0.0
    }

    /// Seconds to read so many tokens.
    pub fn read_time(&self, tokens: f64) -> f64 {
        tokens / self.rate
    }

    /// Seconds to read a prompt of the mean size.
    pub fn mean_time(&self) -> f64 {
        self.read_time(self.prompt)
    }

    /// Several boxes' models as one, each by its observations.
    pub fn pool<'a>(models: impl Iterator<Item = &'a Self>) -> Self {
        let mut sum = Self::nothing();
        let mut paced = 0.0;
        for model in models.filter(|model| model.is_learned()) {
            // Seconds a token add up; tokens a second do not.
            sum.rate += model.weight / model.rate;
            sum.base += model.weight * model.base;
            sum.prompt += model.weight * model.prompt;
            sum.wait += model.weight * model.wait;
            sum.late += model.weight * model.late;
            if model.pace > 0.0 {
                sum.pace += model.weight * model.pace;
                sum.events += model.weight * model.events;
                paced += model.weight;
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
            pace: sum.pace / f64::max(paced, 1.0),
            events: sum.events / f64::max(paced, 1.0),
            weight: sum.weight,
        }
    }

    /// Several boxes' models as one, with the leader's own from the samples of boxes without one. That one
    /// stands only until the boxes' fits weigh as much: it learns nothing more from boxes that have a fit.
    pub fn pool_with<'a>(models: impl Iterator<Item = &'a Self>, own: Option<&Self>) -> Self {
        let pooled = Self::pool(models);
        match own.filter(|own| own.weight > pooled.weight) {
            Some(own) => Self::pool([&pooled, own].into_iter()),
            None => pooled,
        }
    }

    /// Whether a later model says something that whoever knows this one should hear of.
    pub fn is_passed(&self, later: &Self) -> bool {
        let moved = |a: f64, b: f64, slight: f64| (a - b).abs() > slight.max(NEWS_PART * a.max(b));
        moved(self.rate, later.rate, 0.0)
            || moved(self.base, later.base, SLIGHT_WAIT)
            || moved(self.prompt, later.prompt, 0.0)
            || moved(self.wait, later.wait, SLIGHT_WAIT)
            || moved(self.late, later.late, SLIGHT_PART)
            || moved(self.pace, later.pace, 0.0)
            || moved(self.events, later.events, 0.0)
            || moved(self.weight, later.weight, 0.0)
    }

    /// Whether another model says something else, by more than a tenth.
    pub fn differs(&self, other: &Self) -> bool {
        let differ = |a: f64, b: f64| (a - b).abs() > 0.1 * a.max(b);
        self.is_learned() != other.is_learned() || differ(self.rate, other.rate)
    }
}

/// One request's way to its first event.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// Prompt tokens that the engine had to read, as far as can be told.
    pub tokens: f64,
    /// Those of them that no other request shares: it had to read these for certain.
    pub own: f64,
    /// Seconds from the send to the first event.
    pub seconds: f64,
    /// Whether none of this box's requests stood before it.
    pub is_clear: bool,
}

/// What one request showed of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Sample {
    /// Its way to its first event.
    First(Observation),
    /// Whether it was served late.
    Served {
        /// Whether it came late.
        late: bool,
    },
    /// A stream that ended well.
    Stream {
        /// Its events.
        events: f64,
        /// The tokens that might have come out.
        output: f64,
        /// The seconds from its first event to its last.
        seconds: f64,
    },
}

/// Learns the model of one service's engines from samples.
#[derive(Debug, Default)]
pub struct EngineLearner {
    clear: VecDeque<(f64, f64)>,
    fresh: usize,
    paces: VecDeque<f64>,
    model: EngineModel,
}

impl EngineLearner {
    /// Takes a sample of any kind.
    pub fn record(&mut self, sample: Sample) {
        match sample {
            Sample::First(seen) => self.note(seen),
            Sample::Served { late } => self.record_served(late),
            Sample::Stream { events, output, seconds } => {
                self.record_stream(events, output, seconds)
            }
        }
    }

    /// Takes an observation.
    pub fn note(&mut self, seen: Observation) {
        let model = &mut self.model;
        let first = model.prompt == 0.0;
        let weight = if first { 1.0 } else { MEAN_WEIGHT };
        model.prompt += weight * (seen.tokens - model.prompt);
        if model.is_learned() {
            let wait = seen.seconds - model.base - model.read_time(seen.tokens);
            model.wait += MEAN_WEIGHT * (wait.clamp(0.0, WAIT_LIMIT) - model.wait);
        }
        if seen.is_clear && seen.seconds > 0.0 {
            self.clear.push_back((seen.own, seen.seconds));
            self.fresh += 1;
        }
        if self.clear.len() > KEPT {
            self.clear.pop_front();
        }
        if self.clear.len() >= LEAST && self.fresh >= AGAIN {
            self.fresh = 0;
            self.fit();
        }
    }

    /// Takes whether a request that was served came late.
    pub fn record_served(&mut self, is_late: bool) {
        let late = if is_late { 1.0 } else { 0.0 };
        self.model.late += MEAN_WEIGHT * (late - self.model.late);
    }

    /// Takes a stream that ended well: its events, the tokens that might have come out, and the seconds from
    /// its first event to its last.
    pub fn record_stream(&mut self, events: f64, output: f64, seconds: f64) {
        if output <= 0.0 {
            return;
        }
        let first = self.model.events == 0.0;
        let weight = if first { 1.0 } else { MEAN_WEIGHT };
        self.model.events += weight * (events / output - self.model.events);
        if events < LEAST_EVENTS {
            return;
        }
        self.paces.push_back(seconds / (events - 1.0));
        if self.paces.len() > KEPT {
            self.paces.pop_front();
        }
        if self.paces.len() >= LEAST && self.paces.len().is_multiple_of(AGAIN) {
            self.model.pace = quantile(self.paces.iter().copied(), LOW_PART).unwrap_or_default();
        }
    }

    /// What is learned so far.
    pub fn model(&self) -> EngineModel {
        self.model
    }

    fn fit(&mut self) {
        let Some((base, slope)) = low_line(&self.clear) else {
            return;
        };
        self.model.rate = 1.0 / slope;
        self.model.base = base;
        self.model.weight = self.clear.len() as f64;
    }
}

/// The line `base + slope * x` with [`LOW_PART`] of the points below it, by least squares with weights
/// that make up for the sides; `None` where the points show no slope.
fn low_line(points: &VecDeque<(f64, f64)>) -> Option<(f64, f64)> {
    let count = points.len() as f64;
    let (x_mean, y_mean) = points.iter().fold((0.0, 0.0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
    let (x_mean, y_mean) = (x_mean / count, y_mean / count);
    if x_mean <= 0.0 || y_mean <= 0.0 {
        return None;
    }
    let scaled: Vec<_> = points.iter().map(|(x, y)| (x / x_mean, y / y_mean)).collect();
    let (mut base, mut slope) = (0.0, 1.0);
    for _ in 0..FIT_STEPS {
        let weighed = scaled.iter().map(|(x, y)| {
            let over = y - base - slope * x;
            let side = if over > 0.0 { LOW_PART } else { 1.0 - LOW_PART };
            (side / over.abs().max(LEAST_OVER), *x, *y)
        });
        (base, slope) = line(weighed);
    }
    // Seconds a token, and never less than nothing before the first one.
    (slope > 0.0).then(|| (base * y_mean, slope * y_mean / x_mean))
}

/// The least distance from the line that counts, as a part of the mean time: nearer points would
/// weigh without bound.
const LEAST_OVER: f64 = 0.01;

/// Weighted least squares for a line that does not begin below 0.
fn line(points: impl Iterator<Item = (f64, f64, f64)>) -> (f64, f64) {
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
    if spread <= LEAST_SPREAD * w * wxx {
        return through_zero;
    }
    let slope = (w * wxy - wx * wy) / spread;
    let base = (wy - slope * wx) / w;
    if base < 0.0 { through_zero } else { (base, slope) }
}

/// The part of their mean square by which prompts differ for a fixed part of the time to be told from
/// the slope.
const LEAST_SPREAD: f64 = 0.01;

/// The number below which a part of `numbers` lies; `None` where there are none.
pub(super) fn quantile(numbers: impl Iterator<Item = f64>, part: f64) -> Option<f64> {
    let mut sorted: Vec<_> = numbers.collect();
    sorted.sort_unstable_by(f64::total_cmp);
    sorted.get((sorted.len() as f64 * part) as usize).copied()
}
