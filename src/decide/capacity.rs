//! Computes the most economical number of engines for a load: adds engines while each saves more than it
//! costs.
//!
//! An engine saves late requests. A request is late if it waits longer than its latency objective allows,
//! for one of two resources:
//!
//! - Prefill: an engine reads one prompt at a time. The fraction of late requests follows from the engine's
//!   utilisation and its prompt lengths as in an M/G/1 queue (Pollaczek-Khinchine mean wait, exponential
//!   tail).
//! - Slots: an engine runs a limited number of requests at once, each for the duration of its stream, and
//!   all of them pause during a prefill. The waiting probability is Erlang C in Sakasegawa's approximation.
//!
//! Long prompts make prefill the bottleneck, long answers make slots the bottleneck.

use serde::{Deserialize, Serialize};

use super::engine::EngineModel;
use super::hazard::LossForecast;

/// The maximum prefill utilisation of an engine. Above it, the queue hardly ever drains.
const MAX_PREFILL_LOAD: f64 = 0.9;

/// The upper bound of [`ServiceLoad::late_factor`]. Some requests are late with any number of engines, such
/// as those whose prefill alone exceeds their objective; more engines do not help them.
const MAX_LATE_FACTOR: f64 = 10.0;

/// The fractions of late requests below which the search for the cheapest count starts. Below at least one
/// of them, each further engine saves less than the one before, whichever resource is the bottleneck.
const LATE_FRACTIONS: [f64; 3] = [1.0, 0.4, 0.1];

/// The number of engine counts compared in one pass.
const COUNTS_PER_PASS: u32 = 256;

/// The time constant, in seconds, of the averages of the offered load. It is close to the time an engine
/// takes to boot.
pub(super) const MEAN_TIME: f64 = 2.5;

/// The time constant, in seconds, with which a peak of the offered tokens decays. Peaks recur, and an engine
/// takes some seconds to boot.
const PEAK_TIME: f64 = 25.0;

/// The requests that arrived in an interval.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Arrivals {
    /// The number of requests.
    pub requests: f64,
    /// The sum of their prompt tokens.
    pub prompt_tokens: f64,
    /// The sum of their squared prompt tokens.
    pub squared_prompt_tokens: f64,
    /// The sum of their latency objectives, in seconds.
    pub objective_seconds: f64,
    /// The sum of the output token limits that the callers set.
    pub output_tokens: f64,
}

impl Arrivals {
    /// Adds a request.
    pub fn record(&mut self, prompt_tokens: f64, output_tokens: f64, objective: f64) {
        self.requests += 1.0;
        self.prompt_tokens += prompt_tokens;
        self.squared_prompt_tokens += prompt_tokens * prompt_tokens;
        self.objective_seconds += objective;
        self.output_tokens += output_tokens;
    }
}

/// The load offered to a service, as averages per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct OfferedLoad {
    /// Prompt tokens per second.
    #[serde(rename = "mean")]
    pub prompt_tokens: f64,
    /// The recent peak of the prompt tokens per second, which decays.
    pub peak: f64,
    /// Requests per second.
    #[serde(rename = "calls")]
    pub requests: f64,
    /// Squared prompt tokens per second.
    #[serde(rename = "squares")]
    pub squared_prompt_tokens: f64,
    /// Latency objectives, in seconds per second.
    #[serde(rename = "objectives")]
    pub objective_seconds: f64,
    /// Output token limits, per second.
    #[serde(rename = "output")]
    pub output_tokens: f64,
}

impl OfferedLoad {
    /// Updates the averages with the arrivals of the last `elapsed` seconds.
    pub fn record(&mut self, elapsed: f64, arrived: Arrivals) {
        let elapsed = elapsed.max(0.05);
        let weight = 1.0 - (-elapsed / MEAN_TIME).exp();
        let update = |mean: &mut f64, sum: f64| *mean += weight * (sum / elapsed - *mean);
        update(&mut self.prompt_tokens, arrived.prompt_tokens);
        update(&mut self.requests, arrived.requests);
        update(&mut self.squared_prompt_tokens, arrived.squared_prompt_tokens);
        update(&mut self.objective_seconds, arrived.objective_seconds);
        update(&mut self.output_tokens, arrived.output_tokens);
        self.peak = (self.peak * (-elapsed / PEAK_TIME).exp()).max(self.prompt_tokens);
    }

    /// The load multiplied by `times`.
    pub fn scaled(&self, times: f64) -> Self {
        Self {
            prompt_tokens: self.prompt_tokens * times,
            peak: self.peak * times,
            requests: self.requests * times,
            squared_prompt_tokens: self.squared_prompt_tokens * times,
            objective_seconds: self.objective_seconds * times,
            output_tokens: self.output_tokens * times,
        }
    }

    /// A peak after it decayed for `passed` seconds.
    pub fn decayed_peak(peak: f64, passed: f64) -> f64 {
        peak * (-passed.max(0.0) / PEAK_TIME).exp()
    }
}

impl std::ops::Add for OfferedLoad {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            prompt_tokens: self.prompt_tokens + other.prompt_tokens,
            peak: self.peak + other.peak,
            requests: self.requests + other.requests,
            squared_prompt_tokens: self.squared_prompt_tokens + other.squared_prompt_tokens,
            objective_seconds: self.objective_seconds + other.objective_seconds,
            output_tokens: self.output_tokens + other.output_tokens,
        }
    }
}

/// A load in terms of engine time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceLoad {
    /// Requests per second.
    pub requests: f64,
    /// Seconds of prefill per second (offered prefill load in erlangs).
    pub prefill_load: f64,
    /// The mean remaining seconds of a prefill in progress that an arriving request finds.
    pub residual_prefill: f64,
    /// Seconds that a request may wait without missing its objective.
    pub slack: f64,
    /// The ratio of observed late requests to those the queueing model predicts.
    pub late_factor: f64,
    /// Slot seconds per second on engines with no other prefill (offered slot load in erlangs).
    pub slot_load: f64,
    /// Slots per engine; 0 if unknown.
    pub slots: f64,
}

impl ServiceLoad {
    /// Converts the offered load at its peak to engine time. Assumes that no prompt prefix is cached, as is
    /// the case after the loss of a data centre.
    ///
    /// The queueing model predicts some late requests for the `engines` that serve now. Observed numbers are
    /// higher: routing uses outdated load reports, load is uneven, and prefill stalls the concurrent
    /// streams. The observed ratio is assumed to hold for other numbers of engines too.
    pub fn new(
        offered: &OfferedLoad,
        peak: f64,
        model: &EngineModel,
        engines: u32,
        slots: f64,
    ) -> Option<Self> {
        if offered.prompt_tokens <= 0.0 || offered.requests <= 0.0 {
            return None;
        }
        let mean = model.prefill_time(offered.prompt_tokens / offered.requests);
        let objective = offered.objective_seconds / offered.requests;
        let load = Self {
            requests: offered.requests * peak / offered.prompt_tokens,
            prefill_load: model.prefill_time(peak),
            residual_prefill: model
                .prefill_time(offered.squared_prompt_tokens / offered.prompt_tokens)
                / 2.0,
            slack: (objective - model.base - mean).max(0.0),
            late_factor: 1.0,
            slot_load: model.slot_load(offered) * peak / offered.prompt_tokens,
            slots,
        };
        let now = Self {
            requests: offered.requests,
            prefill_load: model.prefill_time(offered.prompt_tokens),
            slot_load: model.slot_load(offered),
            ..load
        };
        let expected = now.late_rate(engines) / now.requests;
        let late_factor = (model.late / expected.max(1e-6)).clamp(1.0, MAX_LATE_FACTOR);
        Some(Self { late_factor, ..load })
    }

    /// The load multiplied by `surge`.
    pub fn scaled(&self, surge: f64) -> Self {
        Self {
            requests: self.requests * surge,
            prefill_load: self.prefill_load * surge,
            slot_load: self.slot_load * surge,
            ..*self
        }
    }

    /// Late requests per second with this number of engines.
    pub fn late_rate(&self, engines: u32) -> f64 {
        let load = self.prefill_load / f64::from(engines.max(1));
        if load >= 1.0 {
            return self.requests;
        }
        let tail = (-(1.0 - load) * self.slack / self.residual_prefill.max(1e-6)).exp();
        let late = load * tail + self.slot_wait_fraction(engines, 1.0 - load);
        self.requests * (self.late_factor * late).min(1.0)
    }

    /// The fraction of requests that wait too long for a slot, if engines spend the fraction `free` of their
    /// time on decoding.
    fn slot_wait_fraction(&self, engines: u32, free: f64) -> f64 {
        if self.slots <= 0.0 || self.slot_load <= 0.0 {
            return 0.0;
        }
        let load = self.slot_load / (free * self.slots * f64::from(engines.max(1)));
        if load >= 1.0 {
            return 1.0;
        }
        let waits = load.powf((2.0 * (self.slots + 1.0)).sqrt() - 1.0);
        let stay = self.slot_load / self.requests / free;
        waits * (-self.slots * (1.0 - load) * self.slack / stay).exp()
    }

    /// The number of engines to add to `there` at the least total cost. `price` is per engine and second,
    /// `weight` is the cost of a late request in seconds of an engine at price 1, and `most` bounds the
    /// total.
    ///
    /// While all requests are late, one more engine may save nothing although many more would save a lot;
    /// beyond that point each engine saves less than the one before. The minimum is therefore either the
    /// smallest count or the first count after such a point at which one more engine saves less than its
    /// price.
    pub fn cheapest_count(&self, there: u32, most: u32, price: f64, weight: f64) -> u32 {
        let least = (self.prefill_load / MAX_PREFILL_LOAD).ceil().max(1.0) as u32;
        let least = least.min(most).max(there);
        let gain = |count| weight * (self.late_rate(count) - self.late_rate(count + 1));
        let cost = |count: &u32| price * f64::from(*count) + weight * self.late_rate(*count);
        // If nearly all requests wait for a slot, the first engines save little and the next ones much.
        let candidates = LATE_FRACTIONS.map(|part| {
            let helped = first(least, most, |count| self.late_rate(count) < part * self.requests);
            first(helped, most, |count| gain(count) <= price)
        });
        let best = candidates.into_iter().chain([least]).min_by(|a, b| cost(a).total_cmp(&cost(b)));
        best.unwrap_or(least) - there
    }

    /// The cheapest number of on-demand engines in addition to `spots` spot engines, weighted over the spot
    /// engines that may remain once an engine ordered now serves. Of the `held` on-demand engines, those
    /// worth their running cost are kept, as their boot time is already paid for.
    pub fn on_demand_engines(&self, spots: u32, held: u32, market: &Market) -> u32 {
        let best = self.cheapest(spots, market.reserve_price(), market);
        if held <= best {
            return best;
        }
        held.min(self.cheapest(spots, market.on_demand_price, market)).max(best)
    }

    fn cheapest(&self, spots: u32, price: f64, market: &Market) -> u32 {
        let most = market.max_per_data_centre * market.data_centres;
        let least = ((self.prefill_load / MAX_PREFILL_LOAD).ceil().max(1.0) as u32).min(most);
        let cases: Vec<_> = market.forecast.remaining_engines(spots).collect();
        let cost = |count: &u32| {
            let late = cases.iter().map(|(left, chance)| chance * self.late_rate(left + count));
            price * f64::from(*count) + market.late_cost * late.sum::<f64>()
        };
        cheapest(least.saturating_sub(spots), most.saturating_sub(spots), |count| cost(&count))
    }

    /// The cheapest number of spot engines over all data centres, given the cost of late requests and of
    /// on-demand engines while data centres have no spot engines. Keeps `held` unless the saving is
    /// significant: each change boots engines that serve nobody meanwhile.
    pub fn spot_engines(&self, market: &Market, held: u32) -> u32 {
        let data_centres = market.data_centres.max(1);
        // After the loss of one data centre, at least the number that would be bought on demand must
        // remain.
        let most = market.max_per_data_centre * data_centres;
        let needed = self.cheapest_count(0, most, market.stand_in_price(), market.late_cost);
        let least = market.with_spare(needed).min(most);
        let cost = |count| self.cost(count, market);
        let best = cheapest(least, most, cost);
        let gain = cost(held) - cost(best);
        let stays = (least..=most).contains(&held)
            && gain < MIN_SAVING * market.spot_price * f64::from(held);
        if stays { held } else { best }
    }

    /// The expected cost per second with this number of spot engines, averaged over the number of data
    /// centres that have none.
    fn cost(&self, count: u32, market: &Market) -> f64 {
        let data_centres = market.data_centres.max(1);
        let OutageStats { fraction, duration } = market.outages;
        let uncovered = (market.boot_time / duration.max(market.boot_time)).min(1.0);
        let mut cost = f64::from(count) * market.spot_price;
        let mut chance = (1.0 - fraction).powi(data_centres as i32);
        for lost in 0..=data_centres {
            let there = count * (data_centres - lost) / data_centres;
            let most = market.max_per_data_centre * data_centres;
            let bought =
                self.cheapest_count(there, most, market.stand_in_price(), market.late_cost);
            let covered = f64::from(bought) * market.on_demand_price
                + market.late_cost * self.late_rate(there + bought);
            let late = match lost {
                0 => covered,
                _ => {
                    uncovered * market.late_cost * self.late_rate(there)
                        + (1.0 - uncovered) * covered
                }
            };
            cost += chance * late;
            let next = f64::from(data_centres - lost) / f64::from(lost + 1);
            chance *= next * fraction / (1.0 - fraction);
        }
        cost
    }
}

/// The count between `least` and `most` with the lowest cost. Samples the range evenly and then narrows it
/// around the best sample, so the effort hardly grows with the fleet.
fn cheapest(least: u32, most: u32, cost: impl Fn(u32) -> f64) -> u32 {
    let (mut low, mut high) = (least, most.max(least));
    loop {
        let step = (high - low).div_ceil(COUNTS_PER_PASS).max(1);
        let counts = (low..=high).step_by(step as usize).chain([high]);
        let costs = counts.map(|count| (count, cost(count)));
        let best = costs.min_by(|a, b| a.1.total_cmp(&b.1)).map_or(least, |(count, _)| count);
        if step == 1 {
            return best;
        }
        (low, high) = (best.saturating_sub(step).max(low), (best + step).min(high));
    }
}

/// The first number from `from` for which `holds` is true, or `to`. `holds` must be monotonic.
fn first(from: u32, to: u32, holds: impl Fn(u32) -> bool) -> u32 {
    let (mut low, mut high) = (from, to.max(from));
    while low < high {
        let middle = low + (high - low) / 2;
        match holds(middle) {
            true => high = middle,
            false => low = middle + 1,
        }
    }
    low
}

/// How often and for how long a data centre has no spot engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OutageStats {
    /// The fraction of time without spot engines.
    pub fraction: f64,
    /// The mean duration of such a period, in seconds.
    pub duration: f64,
}

/// Prices and availability of engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Market {
    /// The number of data centres.
    pub data_centres: u32,
    /// The maximum number of engines in each.
    pub max_per_data_centre: u32,
    /// The price of an on-demand engine per second.
    pub on_demand_price: f64,
    /// The price of a spot engine per second.
    pub spot_price: f64,
    /// The cost of a late request, in seconds of an engine at price 1.
    pub late_cost: f64,
    /// The factor by which load may exceed the recent peak before a new engine has booted.
    pub surge_factor: f64,
    /// Requests that an engine runs concurrently; 0 if unknown.
    pub slots: f64,
    /// Seconds from an order until the engine serves.
    pub boot_time: f64,
    /// How often and for how long data centres have no spot engines.
    pub outages: OutageStats,
    /// Which data centres may soon have none.
    pub forecast: LossForecast,
}

impl Market {
    /// Adds enough spare engines that `engines` remain after the loss of one data centre.
    pub fn with_spare(&self, engines: u32) -> u32 {
        let data_centres = self.data_centres.max(1);
        (engines * data_centres).div_ceil((data_centres - 1).max(1))
    }

    /// Spot engines to run while the load is unknown and `engines` engines ran at the start. The spare for
    /// load variation grows with the square root of a large number.
    pub fn initial_spot_engines(&self, engines: u32) -> u32 {
        let spare =
            self.with_spare((f64::from(engines) * self.surge_factor).ceil() as u32) - engines;
        let part = (PROPORTIONAL_SPARE_LIMIT / f64::from(engines.max(1))).sqrt().min(1.0);
        engines + (f64::from(spare) * part).ceil() as u32
    }

    /// The price per second of useful service of an on-demand engine during a spot outage: it is paid from
    /// its order until it is given back.
    pub fn stand_in_price(&self) -> f64 {
        self.price_over(self.outages.duration)
    }

    /// The same for an engine ordered ahead of a possible loss: it is paid from now until the outage ends.
    fn reserve_price(&self) -> f64 {
        self.price_over(self.forecast.time_to_loss + self.outages.duration)
    }

    fn price_over(&self, duration: f64) -> f64 {
        let idle = self.boot_time + HANDBACK_TIME;
        self.on_demand_price * (1.0 + idle / duration.max(1.0))
    }
}

/// The number of engines up to which the spare before any traffic is proportional to their number.
const PROPORTIONAL_SPARE_LIMIT: f64 = 64.0;

/// The fraction of the spot cost that a change of the spot count must save.
const MIN_SAVING: f64 = 0.1;

/// Seconds from the return of spot engines until the on-demand engines that replaced them are given up: the
/// spot engines must boot, be listed and be seen to serve.
const HANDBACK_TIME: f64 = 3.0;
