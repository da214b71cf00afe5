//! Dry spells drawn in virtual time: what engines on demand and late requests cost together, by how they are
//! ordered, against an oracle that knows the spells.

use emberturn::decide::absence::SpotStatus;
use emberturn::decide::capacity::{Market, OutageStats, ServiceLoad};
use emberturn::decide::hazard::{LossForecast, OutagePredictor};
use emberturn::ids::DataCentre;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const PLACES: usize = 4;

/// Reclaimable engines in each data centre: the loss of one leaves more than what is needed.
const SPOTS: u32 = 7;

/// Seconds of a step, by which the list lags, and between two orders for what was refused.
const STEP: f64 = 0.5;
const LAG: f64 = 1.0;
const AGAIN: f64 = 3.0;

/// A load that 12 engines or so are worth their price for.
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
    Rows,
    FarApart,
    Mixed,
}

/// How engines on demand are ordered.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    /// By what may be lost before they serve.
    Foreseen,
    /// By what is left.
    LastNotice,
    /// As if nothing were left, once anything has notice.
    FirstNotice,
    /// By what is left, and never fewer than so many.
    Reserve(u32),
}

/// One data centre has no reclaimable engines from `from` to `to`.
#[derive(Debug, Clone, Copy)]
struct Spell {
    place: usize,
    from: f64,
    to: f64,
}

struct World {
    spells: Vec<Spell>,
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
        let mut spells = Vec::new();
        let mut at = pause * rng.random_range(0.3..1.0);
        while at + 60.0 < until {
            let alone = kind == Kind::Alone || (kind == Kind::Mixed && rng.random_bool(0.5));
            let first = rng.random_range(0..PLACES);
            let mut from = at;
            for turn in 0..if alone { 1 } else { PLACES } {
                let to = from + rng.random_range(10.0..18.0);
                spells.push(Spell { place: (first + turn) % PLACES, from, to });
                from += rng.random_range(0.2..4.0);
            }
            at += 60.0 + pause * rng.random_range(0.2..1.0);
        }
        Self { spells, notice, boot, until }
    }

    fn market(&self, absence: OutageStats, outlook: LossForecast) -> Market {
        Market {
            data_centres: PLACES as u32,
            max_per_data_centre: 12,
            on_demand_price: 1.0,
            spot_price: 0.16,
            late_cost: 0.5,
            surge_factor: 1.0,
            slots: LOAD.slots,
            boot_time: self.boot,
            outages: absence,
            forecast: outlook,
        }
    }

    /// When a data centre's engines serve again: ordered at the next try, and booted.
    fn serves_again(&self, spell: &Spell) -> f64 {
        let tries = ((spell.to - spell.from) / AGAIN).ceil();
        spell.from + tries * AGAIN + self.boot
    }

    /// The spell that `place` is in, from its notice to the return of engines.
    fn spell(&self, place: usize, now: f64) -> Option<&Spell> {
        self.spells
            .iter()
            .find(|it| it.place == place && it.from <= now && now < self.serves_again(it))
    }

    fn spots(&self, now: f64) -> u32 {
        let serves = |place: &usize| {
            self.spell(*place, now).is_none_or(|spell| now < spell.from + self.notice)
        };
        (0..PLACES).filter(serves).count() as u32 * SPOTS
    }

    fn seen(&self, place: usize, now: f64) -> SpotStatus {
        match self.spell(place, now) {
            None => SpotStatus { serving: SPOTS, ..SpotStatus::default() },
            Some(spell) => {
                let left = spell.from + self.notice - now;
                let leaving = if left > 0.0 { SPOTS } else { 0 };
                SpotStatus { serving: 0, leaving, notice: Some(left.max(0.0)) }
            }
        }
    }

    /// Steps of virtual time.
    fn times(&self) -> impl Iterator<Item = f64> {
        let until = self.until;
        (0..).map(|step| f64::from(step) * STEP).take_while(move |now| *now < until)
    }

    /// What a way costs a second: engines on demand, and late requests.
    fn cost(&self, way: Way) -> f64 {
        let mut spells = OutagePredictor::default();
        let mut engines: Vec<f64> = Vec::new();
        let mut cost = 0.0;
        let names: Vec<DataCentre> =
            ["a", "b", "c", "d"].iter().map(|name| name.parse().unwrap()).collect();
        for now in self.times() {
            self.learn(now, &names, &mut spells);
            let wanted = self.wanted(way, now, engines.len() as u32, &spells) as usize;
            // Those that boot are given up first.
            engines.truncate(wanted);
            engines.resize(wanted, now + self.boot + STEP);
            let serving = engines.iter().filter(|from| **from <= now).count() as u32;
            let late = LOAD.late_rate(self.spots(now) + serving);
            cost += STEP * (engines.len() as f64 + 0.5 * late);
        }
        cost / self.until
    }

    /// What the list shows, late, and what becomes of orders.
    fn learn(&self, now: f64, names: &[DataCentre], spells: &mut OutagePredictor) {
        let listed = now - LAG;
        let seen: Vec<_> =
            (0..PLACES).map(|place| (names[place].clone(), self.seen(place, listed))).collect();
        spells.observe(now, &seen);
        for spell in self.spells.iter().filter(|it| it.from <= listed && listed < it.to + AGAIN) {
            let tries = ((listed - spell.from) / AGAIN).floor();
            let tried = spell.from + tries * AGAIN;
            if listed - tried >= STEP {
                continue;
            }
            match tried < spell.to {
                true => spells.record_refusal(now, &names[spell.place]),
                false => spells.record_acceptance(now, &names[spell.place]),
            }
        }
    }

    fn wanted(&self, way: Way, now: f64, held: u32, spells: &OutagePredictor) -> u32 {
        let listed = now - LAG;
        let serving = |place: &usize| self.seen(*place, listed).serving;
        let spots: u32 = (0..PLACES).map(|place| serving(&place)).sum();
        let calm =
            LossForecast { lost: spells.lost_count(), ..LossForecast::no_loss(PLACES as u32) };
        let outlook = if way == Way::Foreseen { spells.forecast(self.boot) } else { calm };
        let market = self.market(spells.outage_stats(), outlook);
        match way {
            Way::Foreseen | Way::LastNotice => LOAD.on_demand_engines(spots, held, &market),
            Way::FirstNotice if spells.lost_count() > 0 => LOAD.on_demand_engines(0, held, &market),
            Way::FirstNotice => LOAD.on_demand_engines(spots, held, &market),
            Way::Reserve(least) => LOAD.on_demand_engines(spots, held, &market).max(least),
        }
    }

    /// What it costs a second to know the spells: engines are ordered as long before as they boot, each
    /// where it gains more than that.
    fn least_cost(&self) -> f64 {
        let by_length = |length: f64| {
            let absence = OutageStats { fraction: 0.1, duration: length };
            let market = self.market(absence, LossForecast::no_loss(PLACES as u32));
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

/// The ways that are weighed; the fixed reserve is what the load is worth with nothing else.
const WAYS: [Way; 4] = [Way::Foreseen, Way::LastNotice, Way::FirstNotice, Way::Reserve(12)];

const KINDS: [Kind; 5] = [Kind::Never, Kind::Alone, Kind::Rows, Kind::FarApart, Kind::Mixed];

/// What reclaimable engines cost a second, with any way.
const SPOT_COST: f64 = 0.16 * (PLACES as u32 * SPOTS) as f64;

/// Mean costs a second of all engines and of late requests, over drawn markets.
struct Costs {
    ways: [f64; WAYS.len()],
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
        let ways = WAYS.map(|way| mean(&|world| world.cost(way)));
        let costs = Self { ways, least: mean(&World::least_cost) };
        println!("{kind:?}, boots {boots:?}: {:.2?} by way, {:.2} at least", ways, costs.least);
        costs
    }
}

#[test]
fn foreseen_spells_cost_within_15_percent_of_knowing_them_where_notices_are_as_long_as_boots() {
    for kind in KINDS {
        let costs = Costs::new(kind, &[1.0, 2.0, 4.0]);
        let ratio = costs.ways[0] / costs.least;
        assert!(ratio < 1.15, "{kind:?}: {ratio}");
    }
}

#[test]
fn no_other_way_costs_less_over_all_kinds_of_markets() {
    for boots in [[1.0, 2.0, 4.0].as_slice(), &[8.0, 20.0]] {
        let all = KINDS.map(|kind| Costs::new(kind, boots));
        let sum = |way: usize| all.iter().map(|costs| costs.ways[way]).sum::<f64>();
        let sums = [0, 1, 2, 3].map(sum);
        assert!(sums[1..].iter().all(|other| sums[0] < *other), "{sums:?}, boots {boots:?}");
    }
}

#[test]
fn where_no_spell_comes_the_reserve_goes() {
    let world = World { spells: Vec::new(), notice: 2.0, boot: 8.0, until: 700.0 };
    let foreseen = world.cost(Way::Foreseen) + SPOT_COST;
    let least = world.least_cost() + SPOT_COST;
    assert!(foreseen < 1.05 * least, "{foreseen} for {least}");
}
