//! Orders engines for the services that are scaled automatically. The plan is computed by
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
use crate::state::notes::{Models, OutageHistories};

/// Seconds of traffic after which the measured load replaces the initial number of engines.
const FIRST_TRAFFIC_TIME: f64 = 5.0;

/// Seconds within which a new leader has a report from every relay.
const REPORT_TIME: f64 = 1.2;

/// How long the list must not have grown to count as complete: two polls of the list.
const LIST_SETTLE_TIME: Duration = Duration::from_millis(1_900);

/// The divisor of the initial number of engines that gives the on-demand engines to keep until spot engines
/// serve, while there is no traffic yet.
const INITIAL_DIVISOR: u32 = 4;

/// The leader's state for ordering engines.
#[derive(Debug, Default)]
pub(crate) struct Autoscaler {
    demands: BTreeMap<ServiceName, DemandEstimator>,
    orders: BTreeMap<ServiceName, OrderTracker>,
    outages: BTreeMap<ServiceName, OutagePredictor>,
    /// The target last computed and logged for each service.
    targets: BTreeMap<ServiceName, EngineTarget>,
    /// On-demand engines that existed before the first order.
    initial: BTreeMap<ServiceName, u32>,
    /// The largest number of on-demand engines listed so far, and when it was reached.
    most_listed: BTreeMap<ServiceName, (u32, Instant)>,
    /// Whether no leader can have ordered before this one, so that the listed engines are the initial ones. A
    /// later leader orders nothing until it has measured the traffic.
    knows_initial: bool,
    weights: CostWeights,
}

/// The configured weights of costs.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CostWeights {
    /// The cost of a late request, in seconds of an engine at price 1.
    pub(crate) late_cost: f64,
    /// The factor of the recent peak load for which spot engines are kept.
    pub(crate) surge_factor: f64,
}

impl Autoscaler {
    /// Creates the state for a new leader. `knows_initial` tells that no leader can have ordered before it.
    pub(crate) fn new(knows_initial: bool, weights: CostWeights) -> Self {
        Self { knows_initial, weights, ..Self::default() }
    }

    /// Records the load offered to each service, summed over all boxes, at `now` in seconds. The reports are
    /// `age` seconds old on average.
    pub(crate) fn record_load(
        &mut self,
        now: f64,
        age: f64,
        sums: &BTreeMap<ServiceName, OfferedLoad>,
    ) {
        for (service, sum) in sums {
            self.demands.entry(service.clone()).or_default().record(now, age, *sum);
        }
    }

    /// What was learned about spot outages, for the group to store.
    pub(crate) fn learned_outages(&self) -> OutageHistories {
        self.outages.iter().map(|(service, outages)| (service.clone(), outages.learned())).collect()
    }

    /// Restores what a previous leader learned about spot outages.
    pub(crate) fn restore_outages(&mut self, learned: &OutageHistories) {
        for (service, learned) in learned {
            self.outages.entry(service.clone()).or_default().restore(learned.clone());
        }
    }

    /// Computes the orders that are due for all scaled services.
    pub(crate) fn due_orders(
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
                self.due_service_orders(now, service, scaling, &model, servers)
            })
            .collect()
    }

    /// Computes the orders that are due for one service. On-demand engines are reduced only once the list is
    /// complete.
    fn due_service_orders(
        &mut self,
        now: f64,
        service: &Service,
        scaling: &Scaling,
        model: &EngineModel,
        servers: &[Server],
    ) -> Vec<Order> {
        let servers: Vec<_> = servers.iter().filter(|it| it.service == service.name).collect();
        let data_centres = self.count_engines(now, &service.name, scaling, &servers);
        let listed = servers.iter().filter(|it| !it.spot).count() as u32;
        self.observe_outages(now, &service.name, scaling, &servers);
        let slots = mean_slots(&servers);
        let market = self.market(&service.name, scaling, slots);
        let serving = ServingEngines::of(&data_centres);
        let target = self.target(now, &service.name, listed, model, &market, serving);
        let is_complete = self.is_list_complete(&service.name, listed);
        if target.spot_target == 0 {
            return Vec::new();
        }
        let limits = EngineLimits {
            min: scaling.least,
            max: scaling.most,
            has_spot: scaling.spot_price.is_some_and(|price| price < 1.0),
        };
        let plans = plan(&data_centres, target, limits);
        let predictor = self.outages.entry(service.name.clone()).or_default();
        for plan in plans.iter().filter(|plan| plan.spot == 0) {
            predictor.record_unwanted(&plan.data_centre);
        }
        let boot_time = scaling.boot_time.as_secs_f64();
        let tracker = self.orders.entry(service.name.clone()).or_default();
        let mut orders = Vec::new();
        for (plan, current) in plans.iter().filter_map(|it| Some((it, find(&data_centres, it)?))) {
            let pools =
                [(true, plan.spot, current.spot), (false, plan.on_demand, current.on_demand)];
            for (spot, count, current) in pools {
                if !spot && !is_complete && !current.is_exceeded_by(count) {
                    continue;
                }
                let pool = EnginePool { data_centre: plan.data_centre.clone(), spot };
                if tracker.is_due(now, &pool, count, current, boot_time) {
                    let (service, data_centre) = (service.name.clone(), pool.data_centre);
                    orders.push(Order { service, data_centre, count, spot });
                }
            }
        }
        orders
    }

    /// Whether the list shows all existing on-demand engines. The list lags and shows new engines one by one;
    /// on-demand engines are not reduced until it is complete.
    fn is_list_complete(&mut self, service: &ServiceName, listed: u32) -> bool {
        let (most, since) =
            *self.most_listed.entry(service.clone()).or_insert((listed, Instant::now()));
        if listed > most {
            self.most_listed.insert(service.clone(), (listed, Instant::now()));
            return false;
        }
        since.elapsed() > LIST_SETTLE_TIME
    }

    /// Computes how many engines are needed; zero while that is unknown.
    ///
    /// Until there is enough traffic to measure, the target is the initial number of engines. `listed` counts the
    /// on-demand engines, including those that leave by our orders. The list lags and shows engines one by one,
    /// so its maximum counts.
    fn target(
        &mut self,
        now: f64,
        service: &ServiceName,
        listed: u32,
        model: &EngineModel,
        market: &Market,
        serving: ServingEngines,
    ) -> EngineTarget {
        let estimator = self.demands.entry(service.clone()).or_default();
        let wait = if self.knows_initial { FIRST_TRAFFIC_TIME } else { REPORT_TIME };
        let previous = self.targets.get(service).map_or(0, |target| target.spot_target);
        if let Some(target) = estimator.target(now, wait, model, market, serving, previous) {
            if self.targets.insert(service.clone(), target) != Some(target) {
                tracing::info!(
                    event = "engines_needed", %service, ample = target.spot_target, bare = target.min_total,
                    tokens = estimator.peak() as u64, rate = model.rate as u64,
                    base_ms = (model.base * 1_000.0) as u64, wait_ms = (model.wait * 1_000.0) as u64, late = model.late,
                    pace_ms = (model.pace * 1_000.0) as u64, events = model.events,
                    seen = model.weight as u64, away = market.outages.fraction,
                    away_s = market.outages.duration, gone = market.forecast.lost,
                    next = 1.0 - market.forecast.probabilities[0],
                );
            }
            return target;
        }
        if !self.knows_initial {
            return EngineTarget::default();
        }
        let initial = self.initial.entry(service.clone()).or_insert(0);
        *initial = (*initial).max(listed);
        match estimator.has_traffic() {
            true => EngineTarget {
                spot_target: market.initial_spot_engines(*initial),
                min_total: *initial,
                has_traffic: true,
                ..EngineTarget::default()
            },
            false => EngineTarget {
                spot_target: market.initial_spot_engines(*initial),
                min_total: initial.div_ceil(INITIAL_DIVISOR),
                ..EngineTarget::default()
            },
        }
    }

    /// Counts the engines of a service in each data centre, with those that are ordered and still boot.
    fn count_engines(
        &mut self,
        now: f64,
        service: &ServiceName,
        scaling: &Scaling,
        servers: &[&Server],
    ) -> Vec<DataCentreEngines> {
        let boot_time = scaling.boot_time.as_secs_f64();
        let tracker = self.orders.entry(service.clone()).or_default();
        let data_centres = scaling.prices.iter().map(|(data_centre, price)| {
            let present =
                servers.iter().copied().filter(|it| it.data_centre == *data_centre && !it.leaving);
            let (spot, on_demand): (Vec<_>, Vec<_>) = present.partition(|it| it.spot);
            let mut count = |spot: bool, serving: usize| {
                let pool = EnginePool { data_centre: data_centre.clone(), spot };
                tracker.engine_count(now, &pool, serving as u32, boot_time)
            };
            DataCentreEngines {
                data_centre: data_centre.clone(),
                price: *price,
                spot: count(true, spot.len()),
                on_demand: count(false, on_demand.len()),
            }
        });
        data_centres.collect()
    }

    /// Describes the market for engines of a service, with the mean price over its data centres.
    fn market(&mut self, service: &ServiceName, scaling: &Scaling, slots: f64) -> Market {
        let data_centres = scaling.prices.len().max(1);
        let on_demand = scaling.prices.values().sum::<f64>() / data_centres as f64;
        let predictor = self.outages.entry(service.clone()).or_default();
        let boot_time = scaling.boot_time.as_secs_f64();
        Market {
            data_centres: data_centres as u32,
            max_per_data_centre: scaling.most,
            on_demand_price: on_demand,
            spot_price: on_demand * scaling.spot_price.unwrap_or(1.0),
            late_cost: self.weights.late_cost,
            surge_factor: self.weights.surge_factor,
            slots,
            boot_time,
            outages: predictor.outage_stats(),
            forecast: predictor.forecast(boot_time),
        }
    }

    /// Learns from the listed servers when data centres have no spot engines.
    fn observe_outages(
        &mut self,
        now: f64,
        service: &ServiceName,
        scaling: &Scaling,
        servers: &[&Server],
    ) {
        let mut statuses: BTreeMap<&DataCentre, SpotStatus> =
            scaling.prices.keys().map(|data_centre| (data_centre, SpotStatus::default())).collect();
        for server in servers.iter().filter(|it| it.spot) {
            if let Some(status) = statuses.get_mut(&server.data_centre) {
                let count = if server.leaving { &mut status.leaving } else { &mut status.serving };
                *count += 1;
                let left = server.leaves_in.map(|left| left.duration().as_secs_f64());
                status.notice = if left > status.notice { left } else { status.notice };
            }
        }
        let statuses: Vec<_> = statuses
            .into_iter()
            .map(|(data_centre, status)| (data_centre.clone(), status))
            .collect();
        self.outages.entry(service.clone()).or_default().observe(now, &statuses);
    }

    /// Records the outcome of an order.
    pub(crate) fn record_outcome(&mut self, now: f64, order: &Order, outcome: OrderOutcome) {
        let tracker = self.orders.entry(order.service.clone()).or_default();
        match outcome {
            OrderOutcome::Accepted | OrderOutcome::Unknown => {
                tracker.record_order(now, pool_of(order), order.count);
            }
            OrderOutcome::Unavailable => tracker.record_refusal(now, pool_of(order)),
            // A newer leader is active; this tells nothing about engines.
            OrderOutcome::Fenced => {}
        }
        let predictor = self.outages.entry(order.service.clone()).or_default();
        match outcome {
            OrderOutcome::Accepted if order.spot && order.count > 0 => {
                predictor.record_acceptance(now, &order.data_centre);
            }
            OrderOutcome::Unavailable => predictor.record_refusal(now, &order.data_centre),
            _ => {}
        }
    }
}

/// The outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderOutcome {
    /// The platform accepted the order.
    Accepted,
    /// No answer arrived; the platform may have accepted the order.
    Unknown,
    /// The platform has no spot engines in that data centre.
    Unavailable,
    /// The platform rejected the order because a newer leader is active.
    Fenced,
}

fn pool_of(order: &Order) -> EnginePool {
    EnginePool { data_centre: order.data_centre.clone(), spot: order.spot }
}

/// The mean number of requests that an engine runs concurrently; 0 if there are no engines.
fn mean_slots(servers: &[&Server]) -> f64 {
    let sum: f64 = servers.iter().map(|it| f64::from(it.slots)).sum();
    sum / servers.len().max(1) as f64
}

fn find<'a>(
    data_centres: &'a [DataCentreEngines],
    plan: &EnginePlan,
) -> Option<&'a DataCentreEngines> {
    data_centres.iter().find(|it| it.data_centre == plan.data_centre)
}
