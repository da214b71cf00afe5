//! Decides how many engines each service runs, in which data centres, and how many of them are spot.
//!
//! Spot engines cost a fraction of on-demand engines, but the platform may reclaim all of a data centre's at
//! once on short notice. The target is therefore met with spot engines in all data centres, plus enough
//! spare ones to survive the loss of one data centre. On-demand engines fill the gap when spot engines are
//! unavailable, and are given up once spot engines serve again.
//!
//! This module does no I/O: it takes listings, offered load and refusals, and returns engine counts.

use std::cmp::Ordering;

use super::capacity::{MEAN_TIME, Market, OfferedLoad, ServiceLoad};
use super::engine::EngineModel;
use crate::ids::DataCentre;

/// The divisor of the engine limit of a data centre that gives the part kept free for spot engines.
const SWAP_DIVISOR: u32 = 4;

/// The factor from the sum of the relays' peaks to the peak of their sum.
const PEAK_SUM_FACTOR: f64 = 0.8;

/// Averaged requests above which the request rate is known to within 5%.
const MIN_EXTRAPOLATION_REQUESTS: f64 = 400.0;

/// Seconds of traffic the reports must cover. A shorter mean may reflect a single burst.
const MIN_REPORTED_TIME: f64 = 1.0;

/// The load before a data centre lost its spot engines.
#[derive(Debug, Clone, Copy)]
struct BaselineLoad {
    /// The recent peak of prompt tokens per second.
    peak: f64,
    /// The ratio of observed late requests to those the queueing model predicts.
    late_factor: f64,
    /// When it was recorded, in seconds.
    at: f64,
}

/// Estimates the load offered to a service over all relays.
#[derive(Debug, Clone, Copy, Default)]
pub struct DemandEstimator {
    offered: OfferedLoad,
    peak: f64,
    at: f64,
    /// The mean age of the relays' reports, in seconds.
    age: f64,
    first_traffic: Option<f64>,
    /// The peak and late factor from before any data centre lost its spot engines.
    baseline: Option<BaselineLoad>,
}

impl DemandEstimator {
    /// Records the sum of the relays' reports at `now` in seconds. The reports are `age` seconds old on
    /// average.
    ///
    /// The relays' peaks do not coincide, so a new leader, which has no peak of its own yet, starts from a
    /// fraction of their sum.
    pub fn record(&mut self, now: f64, age: f64, sum: OfferedLoad) {
        self.age = age;
        let decayed = OfferedLoad::decayed_peak(self.peak, now - self.at);
        let initial_peak =
            if self.first_traffic.is_none() { sum.peak * PEAK_SUM_FACTOR } else { 0.0 };
        self.peak = decayed.max(initial_peak).max(sum.prompt_tokens);
        self.offered = sum;
        self.at = now;
        if sum.prompt_tokens > 0.0 && self.first_traffic.is_none() {
            self.first_traffic = Some(now);
        }
    }

    /// The recent peak of prompt tokens per second.
    pub fn peak(&self) -> f64 {
        self.peak
    }

    /// Whether any traffic was reported.
    pub fn has_traffic(&self) -> bool {
        self.first_traffic.is_some()
    }

    /// Computes the target from the offered load, the engines that serve and the previous spot target
    /// `held`.
    ///
    /// Returns `None` until `wait` seconds after the first traffic, unless the load is high enough to
    /// extrapolate, and while nothing is known about the engines.
    pub fn target(
        &mut self,
        now: f64,
        wait: f64,
        model: &EngineModel,
        market: &Market,
        serving: ServingEngines,
        held: u32,
    ) -> Option<EngineTarget> {
        let seen = now - self.first_traffic?;
        if !model.is_learned() {
            return None;
        }
        let (offered, peak) = match seen < wait {
            true => self.extrapolated(seen)?,
            false => (self.offered, self.peak),
        };
        let load = ServiceLoad::new(&offered, peak, model, serving.total, market.slots)?;
        let load = self.adjust_for_outage(load, market, serving);
        let bought = load.on_demand_engines(serving.spot, serving.on_demand, market);
        let min_total = if bought > 0 { serving.spot + bought } else { 0 };
        let keep_spot = market.forecast.lost > 0;
        let spot_target = load.scaled(market.surge_factor).spot_engines(market, held);
        Some(EngineTarget { spot_target, min_total, has_traffic: true, keep_spot })
    }

    /// Extrapolates the load and its peak `seen` seconds after the first traffic, if enough requests arrived
    /// for their rate to be known. The averages start at zero, so they are scaled up by what they still
    /// lack.
    fn extrapolated(&self, seen: f64) -> Option<(OfferedLoad, f64)> {
        let reported_time = seen - self.age;
        if reported_time < MIN_REPORTED_TIME
            || self.offered.requests * MEAN_TIME < MIN_EXTRAPOLATION_REQUESTS
        {
            return None;
        }
        let weight = 1.0 - (-reported_time / MEAN_TIME).exp();
        let offered = self.offered.scaled(1.0 / weight);
        Some((offered, offered.prompt_tokens.max(self.peak)))
    }

    /// Adjusts the load for the time in which data centres have no spot engines.
    ///
    /// Few requests are served then, so there is little to learn from, and rejected callers retry before a
    /// new engine has booted. The whole gap is ordered at once instead of following the retries step by
    /// step.
    fn adjust_for_outage(
        &mut self,
        load: ServiceLoad,
        market: &Market,
        serving: ServingEngines,
    ) -> ServiceLoad {
        if market.forecast.lost == 0 {
            self.baseline =
                Some(BaselineLoad { peak: self.peak, late_factor: load.late_factor, at: self.at });
            return load;
        }
        let Some(baseline) = self.baseline else {
            return load;
        };
        let peak = OfferedLoad::decayed_peak(baseline.peak, self.at - baseline.at);
        let load = ServiceLoad { late_factor: baseline.late_factor, ..load };
        let returning = load.late_rate(serving.total) / load.requests;
        let expected = peak * (1.0 + (market.surge_factor - 1.0) * returning);
        load.scaled((expected / self.peak).max(1.0))
    }
}

/// The engines of a service that serve, over all data centres.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServingEngines {
    /// Spot engines.
    pub spot: u32,
    /// Engines of both kinds.
    pub total: u32,
    /// On-demand engines that serve or boot.
    pub on_demand: u32,
}

impl ServingEngines {
    /// Sums all data centres. Booting spot engines do not count: on-demand engines are kept until the spot
    /// engines serve.
    pub fn of(data_centres: &[DataCentreEngines]) -> Self {
        let spot = data_centres.iter().map(|engines| engines.spot.serving).sum();
        let on_demand: u32 = data_centres.iter().map(|engines| engines.on_demand.serving).sum();
        let expected = data_centres.iter().map(|engines| engines.on_demand.expected).sum();
        Self { spot, total: spot + on_demand, on_demand: expected }
    }
}

/// Engines of one kind in one data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineCount {
    /// Engines that serve and are not leaving.
    pub serving: u32,
    /// Engines that serve or boot, including those of recent orders that the platform accepted.
    pub expected: u32,
}

impl EngineCount {
    /// Whether `count` exceeds the engines that serve or are expected.
    ///
    /// Only orders for fewer engines must wait until the list has stopped growing. While spot engines are
    /// unavailable, each listed on-demand engine makes the list grow, and orders for more engines that
    /// waited for it to settle came 7 s late.
    pub fn is_exceeded_by(self, count: u32) -> bool {
        count > self.serving.max(self.expected)
    }
}

/// The engines in one data centre.
#[derive(Debug, Clone, PartialEq)]
pub struct DataCentreEngines {
    /// The data centre.
    pub data_centre: DataCentre,
    /// The price of an on-demand engine there.
    pub price: f64,
    /// Spot engines.
    pub spot: EngineCount,
    /// On-demand engines.
    pub on_demand: EngineCount,
}

/// The number of engines needed over all data centres.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineTarget {
    /// Spot engines, including the spare ones for the loss of a data centre.
    pub spot_target: u32,
    /// Engines of both kinds to keep if there are too few spot engines; 0 if there are enough.
    pub min_total: u32,
    /// Whether there is traffic. Without traffic, booting engines count like serving ones.
    pub has_traffic: bool,
    /// Whether data centres have no spot engines. No spot engines are given up anywhere then: the remaining
    /// ones may be lost next and cannot be replaced.
    pub keep_spot: bool,
}

/// The number of engines that a data centre should have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EnginePlan {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Spot engines.
    pub spot: u32,
    /// On-demand engines.
    pub on_demand: u32,
}

/// The limits that apply to each data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineLimits {
    /// The minimum of engines of both kinds.
    pub min: u32,
    /// The maximum of engines of both kinds.
    pub max: u32,
    /// Whether spot engines are offered at all.
    pub has_spot: bool,
}

/// Distributes the target over the data centres.
pub fn plan(
    data_centres: &[DataCentreEngines],
    target: EngineTarget,
    limits: EngineLimits,
) -> Vec<EnginePlan> {
    let mut order: Vec<&DataCentreEngines> = data_centres.iter().collect();
    order.sort_by(|a, b| compare(a, b));
    let mut spots = plan_spots(order.len(), target.spot_target, limits);
    if target.keep_spot {
        let held = order.iter().map(|engines| engines.spot.expected.min(limits.max));
        spots.iter_mut().zip(held).for_each(|(spot, held)| *spot = held.max(*spot));
    }
    let expected: u32 =
        order.iter().zip(&spots).map(|(engines, spot)| engines.spot.expected.min(*spot)).sum();
    let serving = match target.has_traffic {
        true => data_centres.iter().map(|engines| engines.spot.serving).sum(),
        false => expected.saturating_sub(target.min_total),
    };
    let held: u32 = data_centres.iter().map(|engines| engines.on_demand.expected).sum();
    // Add on-demand engines only for what spot engines will not cover, and remove them only once spot
    // engines serve.
    let up = target.min_total.saturating_sub(expected);
    let down = target.min_total.saturating_sub(serving).max(up);
    let on_demand = plan_on_demand(&order, &spots, held.clamp(up, down), limits);
    let plans = order.iter().zip(spots).zip(on_demand);
    plans
        .map(|((engines, spot), on_demand)| EnginePlan {
            data_centre: engines.data_centre.clone(),
            spot: spot.min(limits.max.saturating_sub(on_demand)),
            on_demand,
        })
        .collect()
}

fn compare(a: &DataCentreEngines, b: &DataCentreEngines) -> Ordering {
    a.price.total_cmp(&b.price).then_with(|| a.data_centre.cmp(&b.data_centre))
}

/// Distributes spot engines evenly over the data centres, so that losing one costs the least. The cheapest
/// data centre comes first and gets the remainder.
fn plan_spots(data_centres: usize, target: u32, limits: EngineLimits) -> Vec<u32> {
    if !limits.has_spot || data_centres == 0 {
        return vec![0; data_centres];
    }
    let count = data_centres as u32;
    let mut total = target;
    let mut spots = Vec::with_capacity(data_centres);
    for left in (1..=count).rev() {
        let part = total.div_ceil(left).clamp(limits.min, limits.max);
        total = total.saturating_sub(part);
        spots.push(part);
    }
    spots
}

/// Distributes on-demand engines: existing ones stay first, then the cheapest data centres get the rest.
fn plan_on_demand(
    order: &[&DataCentreEngines],
    spots: &[u32],
    total: u32,
    limits: EngineLimits,
) -> Vec<u32> {
    // Leave room for spot engines, so that they can replace the on-demand engines step by step.
    let free = limits.max.div_ceil(SWAP_DIVISOR).min(limits.max.saturating_sub(limits.min));
    let kept = |place: usize| if spots[place] > 0 { free } else { 0 };
    let room = |place: usize| limits.max.saturating_sub(order[place].spot.serving.max(kept(place)));
    let least = |place: usize| limits.min.saturating_sub(spots[place]);
    let mut counts: Vec<u32> = (0..order.len())
        .map(|place| {
            let least = least(place);
            order[place].on_demand.expected.max(least).min(room(place).max(least))
        })
        .collect();
    for place in (0..order.len()).rev() {
        let least = least(place);
        let over = counts.iter().sum::<u32>().saturating_sub(total);
        counts[place] -= over.min(counts[place].saturating_sub(least));
    }
    loop {
        let sum: u32 = counts.iter().sum();
        let free = (0..order.len()).filter(|place| counts[*place] < room(*place));
        let Some(place) = free.min_by_key(|place| counts[*place] + spots[*place]) else {
            return counts;
        };
        if sum >= total {
            return counts;
        }
        counts[place] += 1;
    }
}
