//! How many engines a service is to have, where, and of which kind.
//!
//! Reclaimable engines cost a fraction of those on demand, and all of a data centre's may go at once
//! on short notice. So what is needed is held in reclaimable engines over all data centres, with as
//! many more as the loss of one data centre takes away; engines on demand stand in for what cannot be
//! had otherwise, and go again once reclaimable ones serve.
//!
//! Pure: what is listed, offered and refused goes in, counts come out.

use std::cmp::Ordering;

use super::capacity::{MEAN_TIME, Market, OfferedLoad, ServiceLoad};
use super::engine::EngineModel;
use crate::ids::DataCentre;

/// Of the places in a data centre, one in so many is left to reclaimable engines.
const SWAP_PART: u32 = 4;

/// The part of the boxes' peaks, summed, that stands for the peak of their sum.
const PEAK_PART: f64 = 0.8;

/// Requests in the mean of what is offered from which on its rate is known within a twentieth.
const ENOUGH_CALLS: f64 = 400.0;

/// Seconds of traffic that boxes have reported, before their mean says something of more than a clump.
const LEAST_SEEN: f64 = 1.0;

/// What a load was like before a data centre was gone.
#[derive(Debug, Clone, Copy)]
struct Calm {
    /// The highest prompt tokens a second of late.
    peak: f64,
    /// How many times more came late than a queue explains.
    times: f64,
    /// When that was, in seconds.
    at: f64,
}

/// What a service is offered over all boxes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    offered: OfferedLoad,
    peak: f64,
    at: f64,
    /// Seconds since the boxes' reports, on the mean.
    age: f64,
    first: Option<f64>,
    /// The peak, and how many times more come late than a queue explains, before data centres were gone.
    calm: Option<Calm>,
}

impl Demand {
    /// Takes the sum of what the boxes report, at `now` in seconds; their reports are `age` seconds old on
    /// the mean.
    ///
    /// Their peaks come at different times, so a part of the sum stands for the peak of the sum; a new
    /// leader has nothing else to go by.
    pub fn note(&mut self, now: f64, age: f64, sum: OfferedLoad) {
        self.age = age;
        let faded = OfferedLoad::decayed_peak(self.peak, now - self.at);
        let told = if self.first.is_none() { sum.peak * PEAK_PART } else { 0.0 };
        self.peak = faded.max(told).max(sum.prompt_tokens);
        self.offered = sum;
        self.at = now;
        if sum.prompt_tokens > 0.0 && self.first.is_none() {
            self.first = Some(now);
        }
    }

    /// The highest prompt tokens a second of late.
    pub fn peak(&self) -> f64 {
        self.peak
    }

    /// Whether any traffic was seen.
    pub fn is_seen(&self) -> bool {
        self.first.is_some()
    }

    /// How many engines what is offered is worth, with `serving` reclaimable ones, where `held` were
    /// wanted before; `None` for `wait`
    /// seconds after the first traffic, and while nothing is known of the engines.
    pub fn need(
        &mut self,
        now: f64,
        wait: f64,
        model: &EngineModel,
        market: &Market,
        serving: Serving,
        held: u32,
    ) -> Option<Need> {
        let seen = now - self.first?;
        if !model.is_learned() {
            return None;
        }
        let (offered, peak) = match seen < wait {
            true => self.early(seen)?,
            false => (self.offered, self.peak),
        };
        let load = ServiceLoad::new(&offered, peak, model, serving.total, market.slots)?;
        let load = self.as_in_calm(load, market, serving);
        let bought = load.on_demand_engines(serving.spot, serving.on_demand, market);
        let bare = if bought > 0 { serving.spot + bought } else { 0 };
        let scarce = market.outlook.gone > 0;
        let ample = load.scaled(market.surge_factor).spot_engines(market, held);
        Some(Need { ample, bare, traffic: true, scarce })
    }

    /// What is offered and its peak `seen` seconds after the first traffic, where so many requests came that
    /// their rate is known. The means begin at nothing; what they lack yet is made up for.
    fn early(&self, seen: f64) -> Option<(OfferedLoad, f64)> {
        let told = seen - self.age;
        if told < LEAST_SEEN || self.offered.requests * MEAN_TIME < ENOUGH_CALLS {
            return None;
        }
        let part = 1.0 - (-told / MEAN_TIME).exp();
        let offered = self.offered.scaled(1.0 / part);
        Some((offered, offered.prompt_tokens.max(self.peak)))
    }

    /// What a load is to be met with while data centres are gone. Few requests are served then, which
    /// teaches nothing, and those that can't be come back before an engine has booted: the gap is ordered as
    /// a whole, not step by step as they do.
    fn as_in_calm(&mut self, load: ServiceLoad, market: &Market, serving: Serving) -> ServiceLoad {
        if market.outlook.gone == 0 {
            self.calm = Some(Calm { peak: self.peak, times: load.late_factor, at: self.at });
            return load;
        }
        let Some(calm) = self.calm else {
            return load;
        };
        let peak = OfferedLoad::decayed_peak(calm.peak, self.at - calm.at);
        let load = ServiceLoad { late_factor: calm.times, ..load };
        let returning = load.late_rate(serving.total) / load.requests;
        let expected = peak * (1.0 + (market.surge_factor - 1.0) * returning);
        load.scaled((expected / self.peak).max(1.0))
    }
}

/// Engines of a service that serve, over all data centres.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Serving {
    /// Reclaimable ones.
    pub spot: u32,
    /// Both kinds.
    pub total: u32,
    /// Engines on demand that serve or boot.
    pub on_demand: u32,
}

impl Serving {
    /// Those of all data centres. What boots does not count: engines on demand stand in until
    /// reclaimable ones serve.
    pub fn of(sites: &[Site]) -> Self {
        let spot = sites.iter().map(|site| site.spot.serving).sum();
        let on_demand: u32 = sites.iter().map(|site| site.on_demand.serving).sum();
        let coming = sites.iter().map(|site| site.on_demand.coming).sum();
        Self { spot, total: spot + on_demand, on_demand: coming }
    }
}

/// Engines of one kind in one data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// That serve and do not leave.
    pub serving: u32,
    /// That serve or boot: the platform took the order for them not long ago.
    pub coming: u32,
}

impl Count {
    /// Whether `count` is more than there is and comes. Only fewer engines need a list that has stopped
    /// growing: in a dry spell each engine on demand that is listed makes it grow, and orders for more that
    /// waited for its end came 7 s late.
    pub fn grows_to(self, count: u32) -> bool {
        count > self.serving.max(self.coming)
    }
}

/// One data centre as it stands.
#[derive(Debug, Clone, PartialEq)]
pub struct Site {
    /// The data centre.
    pub data_centre: DataCentre,
    /// What an engine on demand costs there.
    pub price: f64,
    /// Reclaimable engines.
    pub spot: Count,
    /// Engines on demand.
    pub on_demand: Count,
}

/// How many engines are needed over all data centres.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Need {
    /// Reclaimable ones, with what is spare for the loss of a data centre.
    pub ample: u32,
    /// Of both kinds, where reclaimable ones are too few; else 0.
    pub bare: u32,
    /// Whether there is traffic. Without, engines that boot are as good as those that serve.
    pub traffic: bool,
    /// Whether data centres have no reclaimable engines. Nowhere are any given up then: those that are left
    /// may be lost next, and can't be had again.
    pub scarce: bool,
}

/// What a data centre is to have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Reclaimable engines.
    pub spot: u32,
    /// Engines on demand.
    pub on_demand: u32,
}

/// The limits of each data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Engines of both kinds at least.
    pub least: u32,
    /// Engines of both kinds at most.
    pub most: u32,
    /// Whether there are reclaimable engines at all.
    pub has_spot: bool,
}

/// What each data centre is to have.
pub fn plan(sites: &[Site], need: Need, bounds: Bounds) -> Vec<Plan> {
    let mut order: Vec<&Site> = sites.iter().collect();
    order.sort_by(|a, b| compare(a, b));
    let mut spots = plan_spots(order.len(), need.ample, bounds);
    if need.scarce {
        let held = order.iter().map(|site| site.spot.coming.min(bounds.most));
        spots.iter_mut().zip(held).for_each(|(spot, held)| *spot = held.max(*spot));
    }
    let coming: u32 =
        order.iter().zip(&spots).map(|(site, spot)| site.spot.coming.min(*spot)).sum();
    let serving = match need.traffic {
        true => sites.iter().map(|site| site.spot.serving).sum(),
        false => coming.saturating_sub(need.bare),
    };
    let held: u32 = sites.iter().map(|site| site.on_demand.coming).sum();
    // Up only for what reclaimable engines will not cover, down only once those serve.
    let up = need.bare.saturating_sub(coming);
    let down = need.bare.saturating_sub(serving).max(up);
    let on_demand = plan_on_demand(&order, &spots, held.clamp(up, down), bounds);
    let plans = order.iter().zip(spots).zip(on_demand);
    plans
        .map(|((site, spot), on_demand)| Plan {
            data_centre: site.data_centre.clone(),
            spot: spot.min(bounds.most.saturating_sub(on_demand)),
            on_demand,
        })
        .collect()
}

fn compare(a: &Site, b: &Site) -> Ordering {
    a.price.total_cmp(&b.price).then_with(|| a.data_centre.cmp(&b.data_centre))
}

/// Reclaimable engines by data centre, the cheapest first: evenly, so that the loss of one takes the
/// least.
fn plan_spots(sites: usize, need: u32, bounds: Bounds) -> Vec<u32> {
    if !bounds.has_spot || sites == 0 {
        return vec![0; sites];
    }
    let count = sites as u32;
    let mut total = need;
    let mut spots = Vec::with_capacity(sites);
    for left in (1..=count).rev() {
        let part = total.div_ceil(left).clamp(bounds.least, bounds.most);
        total = total.saturating_sub(part);
        spots.push(part);
    }
    spots
}

/// Engines on demand by data centre: what is there stays first, then the cheapest.
fn plan_on_demand(order: &[&Site], spots: &[u32], total: u32, bounds: Bounds) -> Vec<u32> {
    // Engines on demand leave some places free, so that reclaimable ones can take over step by step.
    let free = bounds.most.div_ceil(SWAP_PART).min(bounds.most.saturating_sub(bounds.least));
    let kept = |place: usize| if spots[place] > 0 { free } else { 0 };
    let room =
        |place: usize| bounds.most.saturating_sub(order[place].spot.serving.max(kept(place)));
    let least = |place: usize| bounds.least.saturating_sub(spots[place]);
    let mut counts: Vec<u32> = (0..order.len())
        .map(|place| {
            let least = least(place);
            order[place].on_demand.coming.max(least).min(room(place).max(least))
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
