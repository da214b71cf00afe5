//! How many engines a load is worth: one more as long as it gains more than it costs.
//!
//! What an engine gains is fewer late requests. A request is late when it waits longer than its
//! objective leaves, for either of two things. For reading: how many do follows from the load of an engine
//! and from the prompts it reads, as in a queue with one server (Pollaczek-Khinchine for the mean wait, an
//! exponential tail). For a place: an engine runs so many requests at the same time, each for as long as
//! its events take, and all of them stand still while it reads (Erlang's chance to wait, in Sakasegawa's
//! approximation). Which of the two binds is the work's to say: long prompts ask for reading, long answers
//! for places.

use serde::{Deserialize, Serialize};

use super::engine::EngineModel;
use super::hazard::Outlook;

/// The part of its time that an engine reads at most: above it a queue hardly ends.
const FULL_LOAD: f64 = 0.9;

/// How many times more late requests than a queue's are taken to be the load's doing: others, as those
/// whose prompts alone take longer than their objective, come late with any number of engines.
const TIMES_LIMIT: f64 = 10.0;

/// Parts of late requests from which on the cheapest number is looked for: below one of them each engine
/// gains less than the one before, whatever binds.
const LATE_PARTS: [f64; 3] = [1.0, 0.4, 0.1];

/// Numbers of engines that are compared at a time.
const COMPARED: u32 = 256;

/// Seconds over which what is offered is averaged: a few, since an engine takes about as long to boot.
pub(super) const MEAN_TIME: f64 = 2.5;

/// Seconds in which a peak of the offered tokens loses most of its weight: waves return, and an
/// engine takes some seconds to boot.
const PEAK_TIME: f64 = 25.0;

/// Requests that came in some time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Arrivals {
    /// Requests.
    pub requests: f64,
    /// Their prompt tokens.
    pub prompt_tokens: f64,
    /// The squares of their prompt tokens.
    pub squared_prompt_tokens: f64,
    /// Their objectives, in seconds.
    pub objective_seconds: f64,
    /// Tokens that may come out, as callers say.
    pub output_tokens: f64,
}

impl Arrivals {
    /// Counts a request.
    pub fn record(&mut self, prompt_tokens: f64, output_tokens: f64, objective: f64) {
        self.requests += 1.0;
        self.prompt_tokens += prompt_tokens;
        self.squared_prompt_tokens += prompt_tokens * prompt_tokens;
        self.objective_seconds += objective;
        self.output_tokens += output_tokens;
    }
}

/// What callers bring for a service, a second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct OfferedLoad {
    /// Prompt tokens, as the mean of the last seconds.
    #[serde(rename = "mean")]
    pub prompt_tokens: f64,
    /// The highest mean of late, which fades.
    pub peak: f64,
    /// Requests.
    #[serde(rename = "calls")]
    pub requests: f64,
    /// The squares of their prompt tokens.
    #[serde(rename = "squares")]
    pub squared_prompt_tokens: f64,
    /// Their objectives, in seconds.
    #[serde(rename = "objectives")]
    pub objective_seconds: f64,
    /// Tokens that may come out.
    #[serde(rename = "output")]
    pub output_tokens: f64,
}

impl OfferedLoad {
    /// Takes what came in the last `passed` seconds.
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

    /// So many times as much of the same requests.
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

    /// The peak once `passed` seconds have gone by.
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

/// A load as engines see it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceLoad {
    /// Requests a second.
    pub requests: f64,
    /// Seconds of reading that a second brings.
    pub prefill_load: f64,
    /// Mean seconds of reading that a request finds under way at an engine that reads.
    pub residual_prefill: f64,
    /// Seconds that a request may wait and still be on time.
    pub slack: f64,
    /// How many times more requests come late than a queue explains.
    pub late_factor: f64,
    /// Seconds of a place that a second brings, at engines that read nothing else.
    pub slot_load: f64,
    /// Places of an engine; 0 where that is not known.
    pub slots: f64,
}

impl ServiceLoad {
    /// What `offered` asks of engines by `model`, at its peak. Nothing is taken to be cached: after
    /// the loss of a data centre nothing is.
    ///
    /// With `engines` serving, some requests come late by the model of a queue. More do: boxes choose by
    /// old reports, load comes unevenly, and reading prompts holds up the streams beside it. As many
    /// times more as are seen now are expected for other numbers of engines.
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
        let mean = model.read_time(offered.prompt_tokens / offered.requests);
        let objective = offered.objective_seconds / offered.requests;
        let load = Self {
            requests: offered.requests * peak / offered.prompt_tokens,
            prefill_load: model.read_time(peak),
            residual_prefill: model
                .read_time(offered.squared_prompt_tokens / offered.prompt_tokens)
                / 2.0,
            slack: (objective - model.base - mean).max(0.0),
            late_factor: 1.0,
            slot_load: model.slot_load(offered) * peak / offered.prompt_tokens,
            slots,
        };
        let now = Self {
            requests: offered.requests,
            prefill_load: model.read_time(offered.prompt_tokens),
            slot_load: model.slot_load(offered),
            ..load
        };
        let expected = now.late_rate(engines) / now.requests;
        let late_factor = (model.late / expected.max(1e-6)).clamp(1.0, TIMES_LIMIT);
        Some(Self { late_factor, ..load })
    }

    /// The load when so many times as much comes.
    pub fn scaled(&self, surge: f64) -> Self {
        Self {
            requests: self.requests * surge,
            prefill_load: self.prefill_load * surge,
            slot_load: self.slot_load * surge,
            ..*self
        }
    }

    /// Late requests a second with so many engines.
    pub fn late_rate(&self, engines: u32) -> f64 {
        let load = self.prefill_load / f64::from(engines.max(1));
        if load >= 1.0 {
            return self.requests;
        }
        let tail = (-(1.0 - load) * self.slack / self.residual_prefill.max(1e-6)).exp();
        let late = load * tail + self.slot_wait_fraction(engines, 1.0 - load);
        self.requests * (self.late_factor * late).min(1.0)
    }

    /// The part of the requests that wait too long for a place, where engines go on with their streams for
    /// the part `free` of their time.
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

    /// How many engines beside `there` cost the least, at `price` a second and with what late requests
    /// weigh, in seconds of an engine at price 1. There are at most `most` in all.
    ///
    /// While all requests come late, one engine more gains nothing, and many more may gain all. Beyond
    /// that each gains less than the one before. So the least cost is at the smallest number or at the
    /// first one there at which a further engine gains less than its price.
    pub fn cheapest_count(&self, there: u32, most: u32, price: f64, weight: f64) -> u32 {
        let least = (self.prefill_load / FULL_LOAD).ceil().max(1.0) as u32;
        let least = least.min(most).max(there);
        let gain = |count| weight * (self.late_rate(count) - self.late_rate(count + 1));
        let cost = |count: &u32| price * f64::from(*count) + weight * self.late_rate(*count);
        // Where nearly all wait for a place, the first engines gain little and the next ones much.
        let ample = LATE_PARTS.map(|part| {
            let helped = first(least, most, |count| self.late_rate(count) < part * self.requests);
            first(helped, most, |count| gain(count) <= price)
        });
        let best = ample.into_iter().chain([least]).min_by(|a, b| cost(a).total_cmp(&cost(b)));
        best.unwrap_or(least) - there
    }

    /// How many engines on demand cost the least beside `spots` reclaimable ones, over what may be left of
    /// those once an engine ordered now serves. Of the `held` ones stay those that gain what a second of
    /// theirs costs: that they had to boot is paid.
    pub fn on_demand_engines(&self, spots: u32, held: u32, market: &Market) -> u32 {
        let best = self.cheapest(spots, market.reserve_price(), market);
        if held <= best {
            return best;
        }
        held.min(self.cheapest(spots, market.on_demand, market)).max(best)
    }

    fn cheapest(&self, spots: u32, price: f64, market: &Market) -> u32 {
        let most = market.most * market.places;
        let least = ((self.prefill_load / FULL_LOAD).ceil().max(1.0) as u32).min(most);
        let cases: Vec<_> = market.outlook.left_of(spots).collect();
        let cost = |count: &u32| {
            let late = cases.iter().map(|(left, chance)| chance * self.late_rate(left + count));
            price * f64::from(*count) + market.late * late.sum::<f64>()
        };
        cheapest(least.saturating_sub(spots), most.saturating_sub(spots), |count| cost(&count))
    }

    /// How many reclaimable engines over all data centres cost the least, with what late requests cost
    /// and what engines on demand cost while data centres have none. So many as are `held` stay where
    /// that costs hardly more: each change has engines boot for nothing.
    pub fn spot_engines(&self, market: &Market, held: u32) -> u32 {
        let places = market.places.max(1);
        // The loss of one data centre leaves what would be bought on demand.
        let most = market.most * places;
        let bare = self.cheapest_count(0, most, market.on_demand_price(), market.late);
        let least = market.with_spare(bare).min(most);
        let cost = |count| self.cost(count, market);
        let best = cheapest(least, most, cost);
        let gain = cost(held) - cost(best);
        let stays =
            (least..=most).contains(&held) && gain < KEEP_PART * market.spot * f64::from(held);
        if stays { held } else { best }
    }

    /// What a second costs with so many reclaimable engines, at the mean over absences.
    fn cost(&self, count: u32, market: &Market) -> f64 {
        let places = market.places.max(1);
        let Absence { share, length } = market.absence;
        let uncovered = (market.boot / length.max(market.boot)).min(1.0);
        let mut cost = f64::from(count) * market.spot;
        let mut chance = (1.0 - share).powi(places as i32);
        for away in 0..=places {
            let there = count * (places - away) / places;
            let most = market.most * places;
            let bought = self.cheapest_count(there, most, market.on_demand_price(), market.late);
            let covered =
                f64::from(bought) * market.on_demand + market.late * self.late_rate(there + bought);
            let late = match away {
                0 => covered,
                _ => uncovered * market.late * self.late_rate(there) + (1.0 - uncovered) * covered,
            };
            cost += chance * late;
            let next = f64::from(places - away) / f64::from(away + 1);
            chance *= next * share / (1.0 - share);
        }
        cost
    }
}

/// The number from `least` to `most` of the least cost. Of many numbers some are compared, spread evenly, and
/// then ever closer ones around the best of them: what that takes hardly grows with a fleet.
fn cheapest(least: u32, most: u32, cost: impl Fn(u32) -> f64) -> u32 {
    let (mut low, mut high) = (least, most.max(least));
    loop {
        let step = (high - low).div_ceil(COMPARED).max(1);
        let counts = (low..=high).step_by(step as usize).chain([high]);
        let costs = counts.map(|count| (count, cost(count)));
        let best = costs.min_by(|a, b| a.1.total_cmp(&b.1)).map_or(least, |(count, _)| count);
        if step == 1 {
            return best;
        }
        (low, high) = (best.saturating_sub(step).max(low), (best + step).min(high));
    }
}

/// The first number from `from` on that `holds`, which all after it do as well; else `to`.
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

/// How data centres run out of reclaimable engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Absence {
    /// The part of the time that one has none.
    pub share: f64,
    /// Seconds that it then lasts.
    pub length: f64,
}

/// What engines cost, and where they are to be had.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Market {
    /// Data centres.
    pub places: u32,
    /// Engines at most in each.
    pub most: u32,
    /// The price of an engine on demand, a second.
    pub on_demand: f64,
    /// The price of a reclaimable one.
    pub spot: f64,
    /// What a late request weighs, in seconds of an engine at price 1.
    pub late: f64,
    /// How many times the peak of late may come before an engine has booted.
    pub surge: f64,
    /// Requests that an engine runs at the same time; 0 where that is not known.
    pub slots: f64,
    /// Seconds from an order to the engine's service.
    pub boot: f64,
    /// How often data centres have no reclaimable ones, and for how long.
    pub absence: Absence,
    /// Which of them may have none soon.
    pub outlook: Outlook,
}

impl Market {
    /// So many engines, and as many more as the loss of one data centre takes away.
    pub fn with_spare(&self, engines: u32) -> u32 {
        let places = self.places.max(1);
        (engines * places).div_ceil((places - 1).max(1))
    }

    /// Reclaimable engines while nothing is known of the load, where there were so many engines. What is
    /// held beside those stands for variation, which grows with the root of a large number.
    pub fn at_start(&self, engines: u32) -> u32 {
        let spare = self.with_spare((f64::from(engines) * self.surge).ceil() as u32) - engines;
        let part = (VARIED_ENGINES / f64::from(engines.max(1))).sqrt().min(1.0);
        engines + (f64::from(spare) * part).ceil() as u32
    }

    /// The price of a second of service of an engine on demand that stands in during an absence: it is
    /// paid from its order on, and until it has been given back.
    pub fn on_demand_price(&self) -> f64 {
        self.price_over(self.absence.length)
    }

    /// The same for one that stands in for what may be lost: it stays from now until an absence ends.
    fn reserve_price(&self) -> f64 {
        self.price_over(self.outlook.calm + self.absence.length)
    }

    fn price_over(&self, length: f64) -> f64 {
        let idle = self.boot + RETURN_TIME;
        self.on_demand * (1.0 + idle / length.max(1.0))
    }
}

/// Engines up to which what is held for variation before any traffic grows with their number.
const VARIED_ENGINES: f64 = 64.0;

/// The part of what reclaimable engines cost that a change of their number must gain.
const KEEP_PART: f64 = 0.1;

/// Seconds between the return of reclaimable engines and the end of those that stood in: they boot, are
/// listed and are seen to serve.
const RETURN_TIME: f64 = 3.0;
