//! Simulates spot markets in virtual time and compares strategies for ordering on-demand engines by the
//! total cost of engines and late requests, relative to an oracle that knows all outages.

use emberturn::decide::absence::SpotStatus;
use emberturn::decide::capacity::{Market, OutageStats, ServiceLoad};
use emberturn::decide::hazard::{LossForecast, OutagePredictor};
use emberturn::ids::DataCentre;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const DATA_CENTRES: usize = 4;

/// Spot engines per data centre. The loss of one data centre leaves more than are needed.
const SPOTS: u32 = 7;

/// Seconds per simulation step, the lag of the list, and the time between a refused order and the next one.
const STEP: f64 = 0.5;
const LAG: f64 = 1.0;
const RETRY_INTERVAL: f64 = 3.0;

/// A load that justifies about 12 engines.
const LOAD: ServiceLoad = ServiceLoad {
    requests: 300.0,
    prefill_load: 6.0,
    residual_prefill: 0.06,
    slack: 0.35,
    late_factor: 1.5,
    slot_load: 60.0,
    slots: 12.0,
};

#[derive(Debug, Clone, Copy, PartialEq)]
enum Kind {
    Never,
    Alone,
    Series,
    FarApart,
    Mixed,
}

/// A strategy for ordering on-demand engines.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Strategy {
    /// By the forecast of losses until the engines serve.
    Forecast,
    /// By the spot engines that remain.
    Remaining,
    /// As if no spot engines remained, as soon as any are under notice.
    FirstNotice,
    /// By the spot engines that remain, with a fixed minimum.
    Reserve(u32),
}

/// An outage: one data centre has no spot engines from `from` to `to`.
#[derive(Debug, Clone, Copy)]
struct Outage {
    data_centre: usize,
    from: f64,
    to: f64,
}

struct World {
    outages: Vec<Outage>,
    notice: f64,
    boot: f64,
    until: f64,
}

impl World {
    fn draw(kind: Kind, boot: f64, rng: &mut SmallRng) -> Self {
        let notice = rng.random_range(1.0..5.0);
        let until = if kind == Kind::FarApart { 1_800.0 } else { 700.0 };
        let pause = match kind {
            Kind::Never => f64::INFINITY,
            Kind::FarApart => 700.0,
            _ => 90.0,
        };
        let mut outages = Vec::new();
        let mut at = pause * rng.random_range(0.3..1.0);
        while at + 60.0 < until {
            let alone = kind == Kind::Alone || (kind == Kind::Mixed && rng.random_bool(0.5));
            let first = rng.random_range(0..DATA_CENTRES);
            let mut from = at;
            for turn in 0..if alone { 1 } else { DATA_CENTRES } {
                let to = from + rng.random_range(10.0..18.0);
                outages.push(Outage { data_centre: (first + turn) % DATA_CENTRES, from, to });
                from += rng.random_range(0.2..4.0);
            }
            at += 60.0 + pause * rng.random_range(0.2..1.0);
        }
        Self { outages, notice, boot, until }
    }

    fn market(&self, outages: OutageStats, forecast: LossForecast) -> Market {
        Market {
            data_centres: DATA_CENTRES as u32,
            max_per_data_centre: 12,
            on_demand_price: 1.0,
            spot_price: 0.16,
            late_cost: 0.5,
            surge_factor: 1.0,
            slots: LOAD.slots,
            boot_time: self.boot,
            outages,
            forecast,
        }
    }

    /// When the engines of a data centre serve again: they are ordered at the next attempt and have to boot.
    fn serves_again(&self, outage: &Outage) -> f64 {
        let tries = ((outage.to - outage.from) / RETRY_INTERVAL).ceil();
        outage.from + tries * RETRY_INTERVAL + self.boot
    }

    /// The current outage of a data centre, from its notice until engines serve again.
    fn outage(&self, data_centre: usize, now: f64) -> Option<&Outage> {
        self.outages.iter().find(|it| {
            it.data_centre == data_centre && it.from <= now && now < self.serves_again(it)
        })
    }

    fn spots(&self, now: f64) -> u32 {
        let serves = |data_centre: &usize| {
            self.outage(*data_centre, now).is_none_or(|outage| now < outage.from + self.notice)
        };
        (0..DATA_CENTRES).filter(serves).count() as u32 * SPOTS
    }

    fn seen(&self, data_centre: usize, now: f64) -> SpotStatus {
        match self.outage(data_centre, now) {
            None => SpotStatus { serving: SPOTS, ..SpotStatus::default() },
            Some(outage) => {
                let left = outage.from + self.notice - now;
                let leaving = if left > 0.0 { SPOTS } else { 0 };
                SpotStatus { serving: 0, leaving, notice: Some(left.max(0.0)) }
            }
        }
    }

    /// The steps in virtual time.
    fn times(&self) -> impl Iterator<Item = f64> {
        let until = self.until;
        (0..).map(|step| f64::from(step) * STEP).take_while(move |now| *now < until)
    }

    /// The cost of a strategy per second: on-demand engines plus late requests.
    fn cost(&self, strategy: Strategy) -> f64 {
        let mut predictor = OutagePredictor::default();
        let mut engines: Vec<f64> = Vec::new();
        let mut cost = 0.0;
        let names: Vec<DataCentre> =
            ["a", "b", "c", "d"].iter().map(|name| name.parse().unwrap()).collect();
        for now in self.times() {
            self.learn(now, &names, &mut predictor);
            let wanted = self.wanted(strategy, now, engines.len() as u32, &predictor) as usize;
            // Booting engines are given up first.
            engines.truncate(wanted);
            engines.resize(wanted, now + self.boot + STEP);
            let serving = engines.iter().filter(|from| **from <= now).count() as u32;
            let late = LOAD.late_rate(self.spots(now) + serving);
            cost += STEP * (engines.len() as f64 + 0.5 * late);
        }
        cost / self.until
    }

    /// Passes on the lagging list and the outcome of orders.
    fn learn(&self, now: f64, names: &[DataCentre], predictor: &mut OutagePredictor) {
        let listed = now - LAG;
        let seen: Vec<_> = (0..DATA_CENTRES)
            .map(|data_centre| (names[data_centre].clone(), self.seen(data_centre, listed)))
            .collect();
        predictor.observe(now, &seen);
        for outage in
            self.outages.iter().filter(|it| it.from <= listed && listed < it.to + RETRY_INTERVAL)
        {
            let tries = ((listed - outage.from) / RETRY_INTERVAL).floor();
            let tried = outage.from + tries * RETRY_INTERVAL;
            if listed - tried >= STEP {
                continue;
            }
            match tried < outage.to {
                true => predictor.record_refusal(now, &names[outage.data_centre]),
                false => predictor.record_acceptance(now, &names[outage.data_centre]),
            }
        }
    }

    fn wanted(&self, strategy: Strategy, now: f64, held: u32, predictor: &OutagePredictor) -> u32 {
        let listed = now - LAG;
        let serving = |data_centre: &usize| self.seen(*data_centre, listed).serving;
        let spots: u32 = (0..DATA_CENTRES).map(|data_centre| serving(&data_centre)).sum();
        let calm = LossForecast {
            lost: predictor.lost_count(),
            ..LossForecast::no_loss(DATA_CENTRES as u32)
        };
        let forecast =
            if strategy == Strategy::Forecast { predictor.forecast(self.boot) } else { calm };
        let market = self.market(predictor.outage_stats(), forecast);
        match strategy {
            Strategy::Forecast | Strategy::Remaining => {
                LOAD.on_demand_engines(spots, held, &market)
            }
            Strategy::FirstNotice if predictor.lost_count() > 0 => {
                LOAD.on_demand_engines(0, held, &market)
            }
            Strategy::FirstNotice => LOAD.on_demand_engines(spots, held, &market),
            Strategy::Reserve(least) => LOAD.on_demand_engines(spots, held, &market).max(least),
        }
    }

    /// The cost per second if all outages are known in advance: engines are ordered ahead by their boot
    /// time, each one only if it saves more than it costs.
    fn least_cost(&self) -> f64 {
        let by_length = |length: f64| {
            let outages = OutageStats { fraction: 0.1, duration: length };
            let market = self.market(outages, LossForecast::no_loss(DATA_CENTRES as u32));
            let mut held = 0;
            let mut cost = 0.0;
            for now in self.times() {
                let spots = self.spots(now);
                let count = LOAD.on_demand_engines(spots, 0, &market);
                let booting = f64::from(count.saturating_sub(held)) * self.boot;
                held = count;
                let late = LOAD.late_rate(spots + count);
                cost += booting + STEP * (f64::from(count) + 0.5 * late);
            }
            cost / self.until
        };
        [4.0, 8.0, 16.0, 1e9].map(by_length).into_iter().fold(f64::INFINITY, f64::min)
    }
}

/// The compared strategies. The fixed reserve is the number the load justifies without spot engines.
const STRATEGIES: [Strategy; 4] =
    [Strategy::Forecast, Strategy::Remaining, Strategy::FirstNotice, Strategy::Reserve(12)];

const KINDS: [Kind; 5] = [Kind::Never, Kind::Alone, Kind::Series, Kind::FarApart, Kind::Mixed];

/// The cost of spot engines per second, which is the same for all strategies.
const SPOT_COST: f64 = 0.16 * (DATA_CENTRES as u32 * SPOTS) as f64;

/// The mean cost per second of all engines and of late requests over several simulated markets.
struct Costs {
    strategies: [f64; STRATEGIES.len()],
    least: f64,
}

impl Costs {
    fn new(kind: Kind, boots: &[f64]) -> Self {
        let mut rng = SmallRng::seed_from_u64(7);
        let worlds: Vec<_> =
            boots.iter().cycle().take(6).map(|boot| World::draw(kind, *boot, &mut rng)).collect();
        let mean = |cost: &dyn Fn(&World) -> f64| {
            SPOT_COST + worlds.iter().map(cost).sum::<f64>() / worlds.len() as f64
        };
        let strategies = STRATEGIES.map(|strategy| mean(&|world| world.cost(strategy)));
        let costs = Self { strategies, least: mean(&World::least_cost) };
        println!(
            "{kind:?}, boots {boots:?}: {:.2?} by strategy, {:.2} with the oracle",
            strategies, costs.least
        );
        costs
    }
}

#[test]
fn forecast_costs_within_15_percent_of_the_oracle_if_notices_are_as_long_as_boot_times() {
    for kind in KINDS {
        let costs = Costs::new(kind, &[1.0, 2.0, 4.0]);
        let ratio = costs.strategies[0] / costs.least;
        assert!(ratio < 1.15, "{kind:?}: {ratio}");
    }
}

#[test]
fn no_other_strategy_costs_less_over_all_kinds_of_markets() {
    for boots in [[1.0, 2.0, 4.0].as_slice(), &[8.0, 20.0]] {
        let all = KINDS.map(|kind| Costs::new(kind, boots));
        let sum = |strategy: usize| all.iter().map(|costs| costs.strategies[strategy]).sum::<f64>();
        let sums = [0, 1, 2, 3].map(sum);
        assert!(sums[1..].iter().all(|other| sums[0] < *other), "{sums:?}, boots {boots:?}");
    }
}

#[test]
fn reserve_is_given_up_without_outages() {
    let world = World { outages: Vec::new(), notice: 2.0, boot: 8.0, until: 700.0 };
    let forecast = world.cost(Strategy::Forecast) + SPOT_COST;
    let least = world.least_cost() + SPOT_COST;
    assert!(forecast < 1.05 * least, "{forecast} for {least}");
}
