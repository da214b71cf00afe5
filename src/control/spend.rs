//! Orders engines for the services that the platform takes orders for, by the plan of
//! [`crate::decide::spend`].

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::decide::spend::{Bounds, Offered, Plan, Site, plan};
use crate::ids::{DataCentre, ServiceName};
use crate::platform::client::Order;
use crate::relay::servers::Server;
use crate::relay::table::{RouteTable, Scaling, Service};

/// How long a refusal of reclaimable engines is taken to hold.
const DRY_TIME: Duration = Duration::from_millis(2_500);

/// Time beyond booting after which an order that shows no effect is given again: the list lags, and
/// an order without an answer may be carried out late and undo a newer one.
const AGAIN_TIME: Duration = Duration::from_millis(2_500);

/// Time between two orders for fewer engines of one kind in one place: counts that swing would have
/// engines booted for nothing.
const SHRINK_TIME: Duration = Duration::from_millis(4_000);

type Place = (ServiceName, DataCentre, bool);

#[derive(Debug, Clone, Copy)]
struct Placed {
    count: u32,
    at: Instant,
}

/// What the leader knows of its orders.
#[derive(Debug, Default)]
pub(crate) struct Spender {
    offered: BTreeMap<ServiceName, Offered>,
    placed: BTreeMap<Place, Placed>,
    dry: BTreeMap<Place, Instant>,
    first: BTreeMap<ServiceName, u32>,
}

impl Spender {
    /// Notes the tokens offered to each service since the last look, at `now` in seconds.
    pub(crate) fn note(&mut self, now: f64, tokens: &BTreeMap<ServiceName, u64>) {
        for service in tokens.keys() {
            self.offered.entry(service.clone()).or_default();
        }
        for (service, offered) in &mut self.offered {
            offered.note(now, tokens.get(service).copied().unwrap_or(0) as f64);
        }
    }

    /// The orders that are due now.
    pub(crate) fn orders(
        &mut self,
        now: f64,
        table: &RouteTable,
        servers: &[Server],
    ) -> Vec<Order> {
        let scaled = table.services.values().filter_map(|it| Some((it, it.scaling.as_ref()?)));
        scaled.flat_map(|(service, scaling)| self.orders_of(now, service, scaling, servers)).collect()
    }

    fn orders_of(
        &mut self,
        now: f64,
        service: &Service,
        scaling: &Scaling,
        servers: &[Server],
    ) -> Vec<Order> {
        let sites = self.sites(&service.name, scaling, servers);
        let there: u32 = sites.iter().map(|site| site.spot + site.on_demand).sum();
        if there == 0 {
            return Vec::new();
        }
        // Until there is traffic to go by, as many as the operators began with.
        let first = *self.first.entry(service.name.clone()).or_insert(there);
        let measured = self.offered.get(&service.name).and_then(|it| it.engines(now));
        let need = measured.unwrap_or(first);
        let bounds = Bounds {
            least: scaling.least,
            most: scaling.most,
            has_spot: scaling.spot_price.is_some_and(|price| price < 1.0),
        };
        let plans = plan(&sites, need, bounds);
        let again = scaling.boot_time + AGAIN_TIME;
        let mut orders = Vec::new();
        for (plan, site) in plans.iter().filter_map(|it| Some((it, find(&sites, it)?))) {
            let wanted = [(true, plan.spot, site.spot), (false, plan.on_demand, site.on_demand)];
            for (spot, count, there) in wanted {
                let place = (service.name.clone(), plan.data_centre.clone(), spot);
                if self.is_due(&place, count, there, again) {
                    let (service, data_centre, _) = place;
                    orders.push(Order { service, data_centre, count, spot });
                }
            }
        }
        orders
    }

    fn sites(&self, service: &ServiceName, scaling: &Scaling, servers: &[Server]) -> Vec<Site> {
        let sites = scaling.prices.iter().map(|(data_centre, price)| {
            let there = servers.iter().filter(|it| {
                it.service == *service && it.data_centre == *data_centre && !it.leaving
            });
            let (spot, on_demand): (Vec<_>, Vec<_>) = there.partition(|it| it.spot);
            let place = (service.clone(), data_centre.clone(), true);
            let dry = self.dry.get(&place).is_some_and(|until| Instant::now() < *until);
            Site {
                data_centre: data_centre.clone(),
                price: *price,
                spot: spot.len() as u32,
                on_demand: on_demand.len() as u32,
                dry,
            }
        });
        sites.collect()
    }

    /// Whether an order is due: the count was not ordered yet, or shows no effect for too long.
    fn is_due(&self, place: &Place, count: u32, there: u32, again: Duration) -> bool {
        match self.placed.get(place) {
            None => count != there,
            Some(placed) if placed.count == count => {
                count != there && placed.at.elapsed() > again
            }
            Some(placed) if count < placed.count => placed.at.elapsed() > SHRINK_TIME,
            Some(_) => true,
        }
    }

    /// Notes that an order was taken, or may have been.
    pub(crate) fn note_placed(&mut self, order: &Order) {
        let place = (order.service.clone(), order.data_centre.clone(), order.spot);
        self.placed.insert(place, Placed { count: order.count, at: Instant::now() });
    }

    /// Notes that an order was refused.
    pub(crate) fn note_refused(&mut self, order: &Order) {
        let place = (order.service.clone(), order.data_centre.clone(), order.spot);
        self.placed.remove(&place);
        if order.spot {
            self.dry.insert(place, Instant::now() + DRY_TIME);
        }
    }
}

fn find<'a>(sites: &'a [Site], plan: &Plan) -> Option<&'a Site> {
    sites.iter().find(|site| site.data_centre == plan.data_centre)
}
