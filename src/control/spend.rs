//! Orders engines for the services that the platform takes orders for, by the plan of
//! [`crate::decide::spend`].

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::decide::absence::SpotStatus;
use crate::decide::capacity::{Market, OfferedLoad};
use crate::decide::engine::EngineModel;
use crate::decide::hazard::OutagePredictor;
use crate::decide::orders::{EnginePool, OrderTracker};
use crate::decide::spend::{
    DataCentreEngines, DemandEstimator, EngineLimits, EnginePlan, EngineTarget, ServingEngines,
    plan,
};
use crate::ids::{DataCentre, ServiceName};
use crate::platform::client::Order;
use crate::relay::list::Server;
use crate::relay::table::{RouteTable, Scaling, Service};
use crate::state::notes::{Models, Spells};

/// Seconds of traffic before it says more than what there was at the start.
const START_TIME: f64 = 5.0;

/// Seconds in which a new leader hears of every relay.
const HEARD_TIME: f64 = 1.2;

/// How long the list shows no further engines before it is taken to be whole: two readings.
const SETTLE_TIME: Duration = Duration::from_millis(1_900);

/// The part of what there was at the start that stays on demand until reclaimable engines serve,
/// while there is no traffic yet.
const FIRST_PART: u32 = 4;

/// What the leader knows of its orders.
#[derive(Debug, Default)]
pub(crate) struct Spender {
    demands: BTreeMap<ServiceName, DemandEstimator>,
    books: BTreeMap<ServiceName, OrderTracker>,
    spells: BTreeMap<ServiceName, OutagePredictor>,
    /// What was last said of the need.
    said: BTreeMap<ServiceName, EngineTarget>,
    /// Engines on demand that there were before the first order.
    first: BTreeMap<ServiceName, u32>,
    /// The most engines on demand that were listed, and since when.
    grown: BTreeMap<ServiceName, (u32, Instant)>,
    /// Whether this leader has seen what there was before the first order. A later one waits until
    /// it has measured the traffic.
    knows_start: bool,
    weights: Weights,
}

/// What the operators weigh engines by.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Weights {
    /// What a late request weighs, in seconds of an engine at price 1.
    pub(crate) late: f64,
    /// How many times the peak of late reclaimable engines are held for.
    pub(crate) surge: f64,
}

impl Spender {
    /// The orders of a leader; `knows_start` says that nobody can have ordered before it.
    pub(crate) fn new(knows_start: bool, weights: Weights) -> Self {
        Self { knows_start, weights, ..Self::default() }
    }

    /// Notes what is offered to each service over all boxes, at `now` in seconds, as reports of `age` seconds
    /// on the mean have it.
    pub(crate) fn note(&mut self, now: f64, age: f64, sums: &BTreeMap<ServiceName, OfferedLoad>) {
        for (service, sum) in sums {
            self.demands.entry(service.clone()).or_default().record(now, age, *sum);
        }
    }

    /// What is learned of dry spells.
    pub(crate) fn learned(&self) -> Spells {
        self.spells.iter().map(|(service, spells)| (service.clone(), spells.learned())).collect()
    }

    /// Goes by what a former leader learned of them.
    pub(crate) fn restore(&mut self, learned: &Spells) {
        for (service, learned) in learned {
            self.spells.entry(service.clone()).or_default().restore(learned.clone());
        }
    }

    /// The orders that are due now.
    pub(crate) fn orders(
        &mut self,
        now: f64,
        table: &RouteTable,
        models: &Models,
        servers: &[Server],
    ) -> Vec<Order> {
        let scaled = table.services.values().filter_map(|it| Some((it, it.scaling.as_ref()?)));
        scaled
            .flat_map(|(service, scaling)| {
                let model = models.get(&service.name).copied().unwrap_or_default();
                self.orders_of(now, service, scaling, &model, servers)
            })
            .collect()
    }

    fn orders_of(
        &mut self,
        now: f64,
        service: &Service,
        scaling: &Scaling,
        model: &EngineModel,
        servers: &[Server],
    ) -> Vec<Order> {
        let servers: Vec<_> = servers.iter().filter(|it| it.service == service.name).collect();
        let sites = self.sites(now, &service.name, scaling, &servers);
        let listed = servers.iter().filter(|it| !it.spot).count() as u32;
        self.note_spells(now, &service.name, scaling, &servers);
        let slots = mean_slots(&servers);
        let market = self.market(&service.name, scaling, slots);
        let serving = ServingEngines::of(&sites);
        let need = self.need(now, &service.name, listed, model, &market, serving);
        let settled = self.is_settled(&service.name, listed);
        if need.spot_target == 0 {
            return Vec::new();
        }
        let bounds = EngineLimits {
            min: scaling.least,
            max: scaling.most,
            has_spot: scaling.spot_price.is_some_and(|price| price < 1.0),
        };
        let plans = plan(&sites, need, bounds);
        let spells = self.spells.entry(service.name.clone()).or_default();
        for plan in plans.iter().filter(|plan| plan.spot == 0) {
            spells.record_unwanted(&plan.data_centre);
        }
        let boot = scaling.boot_time.as_secs_f64();
        let book = self.books.entry(service.name.clone()).or_default();
        let mut orders = Vec::new();
        for (plan, site) in plans.iter().filter_map(|it| Some((it, find(&sites, it)?))) {
            let wanted = [(true, plan.spot, site.spot), (false, plan.on_demand, site.on_demand)];
            for (spot, count, there) in wanted {
                if !spot && !settled && !there.is_exceeded_by(count) {
                    continue;
                }
                let place = EnginePool { data_centre: plan.data_centre.clone(), spot };
                if book.is_due(now, &place, count, there, boot) {
                    let (service, data_centre) = (service.name.clone(), place.data_centre);
                    orders.push(Order { service, data_centre, count, spot });
                }
            }
        }
        orders
    }

    /// Whether the list shows all engines on demand that there are. It lags, and shows them one after the
    /// other; until then none of them are given up.
    fn is_settled(&mut self, service: &ServiceName, listed: u32) -> bool {
        let (held, since) = *self.grown.entry(service.clone()).or_insert((listed, Instant::now()));
        if listed > held {
            self.grown.insert(service.clone(), (listed, Instant::now()));
            return false;
        }
        since.elapsed() > SETTLE_TIME
    }

    /// How many engines are needed; none while it is not known. Until there is traffic to go by, as many as there were at the
    /// start: `listed` counts those on demand, also those that leave by our orders. The list lags, so
    /// it shows them one after the other.
    fn need(
        &mut self,
        now: f64,
        service: &ServiceName,
        listed: u32,
        model: &EngineModel,
        market: &Market,
        serving: ServingEngines,
    ) -> EngineTarget {
        let demand = self.demands.entry(service.clone()).or_default();
        let wait = if self.knows_start { START_TIME } else { HEARD_TIME };
        let held = self.said.get(service).map_or(0, |need| need.spot_target);
        if let Some(need) = demand.target(now, wait, model, market, serving, held) {
            if self.said.insert(service.clone(), need) != Some(need) {
                tracing::info!(
                    event = "engines_needed", %service, ample = need.spot_target, bare = need.min_total,
                    tokens = demand.peak() as u64, rate = model.rate as u64,
                    base_ms = (model.base * 1_000.0) as u64, wait_ms = (model.wait * 1_000.0) as u64, late = model.late,
                    pace_ms = (model.pace * 1_000.0) as u64, events = model.events,
                    seen = model.weight as u64, away = market.outages.fraction,
                    away_s = market.outages.duration, gone = market.forecast.lost,
                    next = 1.0 - market.forecast.probabilities[0],
                );
            }
            return need;
        }
        if !self.knows_start {
            return EngineTarget::default();
        }
        let first = self.first.entry(service.clone()).or_insert(0);
        *first = (*first).max(listed);
        match demand.has_traffic() {
            true => EngineTarget {
                spot_target: market.initial_spot_engines(*first),
                min_total: *first,
                has_traffic: true,
                ..EngineTarget::default()
            },
            false => EngineTarget {
                spot_target: market.initial_spot_engines(*first),
                min_total: first.div_ceil(FIRST_PART),
                ..EngineTarget::default()
            },
        }
    }

    fn sites(
        &mut self,
        now: f64,
        service: &ServiceName,
        scaling: &Scaling,
        servers: &[&Server],
    ) -> Vec<DataCentreEngines> {
        let boot = scaling.boot_time.as_secs_f64();
        let book = self.books.entry(service.clone()).or_default();
        let sites = scaling.prices.iter().map(|(data_centre, price)| {
            let there =
                servers.iter().copied().filter(|it| it.data_centre == *data_centre && !it.leaving);
            let (spot, on_demand): (Vec<_>, Vec<_>) = there.partition(|it| it.spot);
            let mut count = |spot: bool, serving: usize| {
                let place = EnginePool { data_centre: data_centre.clone(), spot };
                book.engine_count(now, &place, serving as u32, boot)
            };
            DataCentreEngines {
                data_centre: data_centre.clone(),
                price: *price,
                spot: count(true, spot.len()),
                on_demand: count(false, on_demand.len()),
            }
        });
        sites.collect()
    }

    /// Engines at the mean price of the data centres.
    fn market(&mut self, service: &ServiceName, scaling: &Scaling, slots: f64) -> Market {
        let places = scaling.prices.len().max(1);
        let on_demand = scaling.prices.values().sum::<f64>() / places as f64;
        let spells = self.spells.entry(service.clone()).or_default();
        let boot = scaling.boot_time.as_secs_f64();
        Market {
            data_centres: places as u32,
            max_per_data_centre: scaling.most,
            on_demand_price: on_demand,
            spot_price: on_demand * scaling.spot_price.unwrap_or(1.0),
            late_cost: self.weights.late,
            surge_factor: self.weights.surge,
            slots,
            boot_time: boot,
            outages: spells.outage_stats(),
            forecast: spells.forecast(boot),
        }
    }

    /// Learns when data centres have no reclaimable engines from what is listed.
    fn note_spells(
        &mut self,
        now: f64,
        service: &ServiceName,
        scaling: &Scaling,
        servers: &[&Server],
    ) {
        let mut seen: BTreeMap<&DataCentre, SpotStatus> =
            scaling.prices.keys().map(|data_centre| (data_centre, SpotStatus::default())).collect();
        for server in servers.iter().filter(|it| it.spot) {
            if let Some(seen) = seen.get_mut(&server.data_centre) {
                let count = if server.leaving { &mut seen.leaving } else { &mut seen.serving };
                *count += 1;
                let left = server.leaves_in.map(|left| left.duration().as_secs_f64());
                seen.notice = if left > seen.notice { left } else { seen.notice };
            }
        }
        let seen: Vec<_> = seen.into_iter().map(|(place, seen)| (place.clone(), seen)).collect();
        self.spells.entry(service.clone()).or_default().observe(now, &seen);
    }

    /// Notes what became of an order.
    pub(crate) fn record_answer(&mut self, now: f64, order: &Order, answer: OrderAnswer) {
        let book = self.books.entry(order.service.clone()).or_default();
        match answer {
            OrderAnswer::Taken | OrderAnswer::Unknown => {
                book.record_order(now, place_of(order), order.count);
            }
            OrderAnswer::Unavailable => book.record_refusal(now, place_of(order)),
            // Another leader acts: that says nothing of engines.
            OrderAnswer::Fenced => {}
        }
        let spells = self.spells.entry(order.service.clone()).or_default();
        match answer {
            OrderAnswer::Taken if order.spot && order.count > 0 => {
                spells.record_acceptance(now, &order.data_centre);
            }
            OrderAnswer::Unavailable => spells.record_refusal(now, &order.data_centre),
            _ => {}
        }
    }
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderAnswer {
    /// It is carried out.
    Taken,
    /// It may be: no answer came.
    Unknown,
    /// There are no reclaimable engines there.
    Unavailable,
    /// Another leader acts.
    Fenced,
}

fn place_of(order: &Order) -> EnginePool {
    EnginePool { data_centre: order.data_centre.clone(), spot: order.spot }
}

/// Requests that an engine runs at the same time, on the mean; 0 where there are none.
fn mean_slots(servers: &[&Server]) -> f64 {
    let sum: f64 = servers.iter().map(|it| f64::from(it.slots)).sum();
    sum / servers.len().max(1) as f64
}

fn find<'a>(sites: &'a [DataCentreEngines], plan: &EnginePlan) -> Option<&'a DataCentreEngines> {
    sites.iter().find(|site| site.data_centre == plan.data_centre)
}
