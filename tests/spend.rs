//! Tests how many engines are ordered, of which kind, and in which data centre.

use emberturn::decide::capacity::{Arrivals, Market, OfferedLoad, OutageStats, ServiceLoad};
use emberturn::decide::engine::{EngineLearner, EngineModel};
use emberturn::decide::hazard::LossForecast;
use emberturn::decide::spend::{
    DataCentreEngines, DemandEstimator, EngineCount, EngineLimits, EngineTarget, ServingEngines,
    plan,
};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const BOUNDS: EngineLimits = EngineLimits { min: 1, max: 6, has_spot: true };

fn count(serving: u32) -> EngineCount {
    EngineCount { serving, expected: serving }
}

fn engines_by_site(spot: [u32; 4], on_demand: [u32; 4]) -> Vec<DataCentreEngines> {
    let prices = [1.0, 0.8, 1.25, 0.9];
    let names = ["a", "b", "c", "d"];
    (0..4)
        .map(|place| DataCentreEngines {
            data_centre: names[place].parse().unwrap(),
            price: prices[place],
            spot: count(spot[place]),
            on_demand: count(on_demand[place]),
        })
        .collect()
}

fn target(spot_target: u32, needed: u32) -> EngineTarget {
    EngineTarget { spot_target, min_total: needed, has_traffic: true, keep_spot: false }
}

fn totals(engines_by_site: &[DataCentreEngines], target: EngineTarget) -> (u32, u32) {
    let plans = plan(engines_by_site, target, BOUNDS);
    (plans.iter().map(|it| it.spot).sum(), plans.iter().map(|it| it.on_demand).sum())
}

#[test]
fn spot_engines_are_spread_evenly() {
    for wanted in 4..=24 {
        let plans = plan(&engines_by_site([0; 4], [0; 4]), target(wanted, 0), BOUNDS);
        let sum: u32 = plans.iter().map(|it| it.spot).sum();
        let largest = plans.iter().map(|it| it.spot).max().unwrap();
        assert_eq!(sum, wanted, "{plans:?}");
        assert_eq!(largest, wanted.div_ceil(4), "{plans:?}");
        assert!(plans.iter().all(|it| (1..=6).contains(&it.spot)));
    }
}

#[test]
fn spot_engines_suffice_after_the_loss_of_any_data_centre() {
    for times in [0.3, 1.0, 2.0] {
        let load = load(times, &MODEL);
        let needed = load.cheapest_count(0, 1_000, MARKET.stand_in_price(), MARKET.late_cost);
        for places in 2..=6 {
            let market = Market { data_centres: places, max_per_data_centre: 100, ..MARKET };
            let spots = load.spot_engines(&market, 0);
            let left = spots - spots.div_ceil(places);
            assert!(
                left >= needed,
                "{left} of {spots} left in {places} data centres, {needed} needed"
            );
        }
    }
}

#[test]
fn spare_engines_grow_with_the_cost_of_outages() {
    let load = load(1.0, &MODEL);
    let with = |share, length| {
        load.spot_engines(
            &Market {
                max_per_data_centre: 100,
                outages: OutageStats { fraction: share, duration: length },
                ..MARKET
            },
            0,
        )
    };
    assert!(with(0.3, 12.0) > with(0.02, 12.0));
    let dear =
        load.spot_engines(&Market { max_per_data_centre: 100, spot_price: 0.6, ..MARKET }, 0);
    let cheap =
        load.spot_engines(&Market { max_per_data_centre: 100, spot_price: 0.05, ..MARKET }, 0);
    assert!(cheap > dear, "{cheap} {dear}");
}

#[test]
fn more_late_requests_than_the_queueing_model_predicts_need_more_engines() {
    let offered = offered(1.0);
    let with = |late| {
        let model = EngineModel { late, ..MODEL };
        ServiceLoad::new(&offered, offered.prompt_tokens, &model, 10, 0.0)
            .unwrap()
            .cheapest_count(0, 1_000, 1.0, 0.5)
    };
    assert_eq!(with(0.0001), with(0.0));
    assert!(with(0.1) > with(0.0001));
    // Requests that are late with any number of engines must not raise the count without bound.
    assert_eq!(with(1.0), with(0.5));
}

#[test]
fn small_change_of_the_load_keeps_the_spot_engines() {
    let held = load(1.0, &MODEL).spot_engines(&MARKET, 0);
    assert_eq!(load(1.04, &MODEL).spot_engines(&MARKET, held), held);
    assert_eq!(load(0.96, &MODEL).spot_engines(&MARKET, held), held);
    assert!(load(0.5, &MODEL).spot_engines(&MARKET, held) < held);
}

#[test]
fn on_demand_engines_are_given_up_only_once_spot_engines_serve() {
    // At the start all engines are on demand and no spot engine serves.
    assert_eq!(totals(&engines_by_site([0; 4], [3, 2, 2, 2]), target(12, 9)), (12, 9));
    // The spot engines boot; the on-demand engines stay.
    let mut booting = engines_by_site([0; 4], [3, 2, 2, 2]);
    booting.iter_mut().for_each(|site| site.spot.expected = 3);
    assert_eq!(totals(&booting, target(12, 9)).1, 9);
    // The spot engines serve.
    assert_eq!(totals(&engines_by_site([3; 4], [3, 2, 2, 2]), target(12, 9)), (12, 0));
}

#[test]
fn booting_spot_engines_do_not_replace_on_demand_engines() {
    let mut demand = DemandEstimator::default();
    demand.record(0.0, 0.0, offered(1.0));
    let mut engines_by_site = engines_by_site([0; 4], [3; 4]);
    engines_by_site.iter_mut().for_each(|site| site.spot.expected = 6);
    let target =
        demand.target(0.0, 0.0, &MODEL, &MARKET, ServingEngines::of(&engines_by_site), 24).unwrap();
    let bounds = EngineLimits { max: 12, ..BOUNDS };
    let kept = |engines_by_site: &[DataCentreEngines]| {
        plan(engines_by_site, target, bounds).iter().map(|it| it.on_demand).sum::<u32>()
    };
    assert!(
        target.min_total > 0 && kept(&engines_by_site) == target.min_total.min(12),
        "{target:?}"
    );
    // Spot engines that already boot are not replaced by new on-demand engines.
    engines_by_site.iter_mut().for_each(|site| site.on_demand = count(0));
    assert_eq!(kept(&engines_by_site), 0);
}

#[test]
fn more_engines_are_ordered_while_the_list_still_grows() {
    // Four serve and two boot; each reading of the list shows one more.
    let there = EngineCount { serving: 4, expected: 6 };
    let grows: Vec<_> = (0..10).map(|count| there.is_exceeded_by(count)).collect();
    assert_eq!(grows, [false, false, false, false, false, false, false, true, true, true]);
}

#[test]
fn on_demand_engines_replace_reclaimed_spot_engines() {
    let after_one = engines_by_site([0, 3, 3, 3], [0; 4]);
    assert_eq!(totals(&after_one, target(12, 9)).1, 0);
    let after_three = engines_by_site([0, 3, 0, 0], [0; 4]);
    assert_eq!(totals(&after_three, target(12, 9)).1, 6);
}

#[test]
fn no_data_centre_exceeds_its_limits() {
    for spot in 0..=6 {
        for on_demand in 0..=(6 - spot) {
            for wanted in [1, 10, 30, 100] {
                let engines_by_site = engines_by_site([spot; 4], [on_demand; 4]);
                for it in plan(&engines_by_site, target(wanted, wanted), BOUNDS) {
                    assert!(it.spot + it.on_demand <= 6, "{it:?}");
                    assert!(it.spot + it.on_demand >= 1, "{it:?}");
                }
            }
        }
    }
}

#[test]
fn all_engines_are_on_demand_without_a_spot_offer() {
    let bounds = EngineLimits { has_spot: false, ..BOUNDS };
    let plans = plan(&engines_by_site([0; 4], [1; 4]), target(9, 9), bounds);
    assert_eq!(plans.iter().map(|it| it.on_demand).sum::<u32>(), 9);
    assert!(plans.iter().all(|it| it.spot == 0));
}

#[test]
fn cheap_data_centres_come_first() {
    let plans = plan(&engines_by_site([0; 4], [0; 4]), target(10, 0), BOUNDS);
    let spot = |name: &str| plans.iter().find(|it| it.data_centre.as_str() == name).unwrap().spot;
    assert!(spot("b") >= spot("c"), "{plans:?}");
}

const MODEL: EngineModel = EngineModel {
    rate: 60_000.0,
    base: 0.02,
    prompt: 3_000.0,
    wait: 0.0,
    late: 0.0,
    pace: 0.0,
    events: 0.0,
    weight: 100.0,
};

const MARKET: Market = Market {
    data_centres: 4,
    max_per_data_centre: 10,
    on_demand_price: 1.0,
    spot_price: 0.15,
    late_cost: 0.5,
    surge_factor: 1.0,
    slots: 0.0,
    boot_time: 4.0,
    outages: OutageStats { fraction: 0.1, duration: 12.0 },
    forecast: LossForecast::no_loss(4),
};

fn all(spot: u32) -> ServingEngines {
    ServingEngines { spot, total: spot, on_demand: 0 }
}

/// A hundred requests per second, most of them short.
fn arrivals(times: f64) -> Arrivals {
    let mut came = Arrivals::default();
    for place in 0..100 {
        let tokens = if place % 5 == 0 { 12_000.0 } else { 2_000.0 };
        came.record(tokens, 200.0, 0.6);
    }
    let Arrivals {
        requests: calls,
        prompt_tokens: tokens,
        squared_prompt_tokens: squares,
        objective_seconds: objectives,
        output_tokens: output,
    } = came;
    Arrivals {
        requests: calls * times,
        prompt_tokens: tokens * times,
        squared_prompt_tokens: squares * times,
        objective_seconds: objectives * times,
        output_tokens: output * times,
    }
}

fn offered(times: f64) -> OfferedLoad {
    let mut offered = OfferedLoad::default();
    (0..80).for_each(|_| offered.record(0.5, arrivals(times * 0.5)));
    offered
}

#[test]
fn new_leader_knows_the_need_from_what_the_relays_tell() {
    let relay = offered(0.5);
    let mut demand = DemandEstimator::default();
    assert_eq!(demand.target(0.0, 0.0, &MODEL, &MARKET, ServingEngines::default(), 0), None);
    demand.record(0.0, 0.0, relay + relay);
    let target = demand.target(1.5, 1.2, &MODEL, &MARKET, ServingEngines::default(), 0).unwrap();
    assert!(target.spot_target > target.min_total && target.min_total > 0, "{target:?}");
    // With enough spot engines, none is needed on demand.
    let served = demand
        .target(1.5, 1.2, &MODEL, &MARKET, all(target.spot_target), target.spot_target)
        .unwrap();
    assert_eq!(served.min_total, 0);
    assert_eq!(demand.target(1.0, 1.2, &MODEL, &MARKET, ServingEngines::default(), 0), None);
    assert_eq!(
        demand.target(1.5, 1.2, &EngineModel::default(), &MARKET, ServingEngines::default(), 0),
        None
    );
}

/// All data centres lose their spot engines at once. Until the engines ordered then serve, rejected callers
/// retry and nothing is learned, as nothing is served. The first order must nevertheless cover nearly the
/// whole gap.
#[test]
fn outage_of_all_data_centres_is_covered_by_the_first_order() {
    let model = EngineModel { late: 0.02, ..MODEL };
    let mut demand = DemandEstimator::default();
    demand.record(0.0, 0.0, offered(1.0));
    demand.target(0.0, 0.0, &model, &MARKET, all(30), 30).unwrap();
    let gone = Market {
        surge_factor: 1.5,
        forecast: LossForecast { lost: 4, ..LossForecast::no_loss(0) },
        ..MARKET
    };
    let orders: Vec<u32> = (0..=8)
        .map(|look| {
            let passed = f64::from(look) * 0.5;
            demand.record(passed, 0.0, offered(1.0 + passed / 8.0));
            let booting = ServingEngines { on_demand: 5, ..ServingEngines::default() };
            demand.target(passed, 0.0, &model, &gone, booting, 30).unwrap().min_total
        })
        .collect();
    let most = orders.iter().max().unwrap();
    assert!(orders[0] * 10 >= most * 9, "{orders:?}");
    // The gap must not be ordered twice.
    let calm =
        demand.target(4.0, 0.0, &model, &MARKET, ServingEngines::default(), 30).unwrap().min_total;
    assert!(orders[0] <= calm * 3 / 2, "{orders:?} while {calm} engines are worth their price");
}

/// One of several data centres has no spot engines for long. The peak from before must decay as it would
/// without the outage.
#[test]
fn long_outage_does_not_keep_the_target_at_an_old_peak() {
    let mut demand = DemandEstimator::default();
    demand.record(0.0, 0.0, offered(2.0));
    demand.target(0.0, 0.0, &MODEL, &MARKET, all(30), 30).unwrap();
    let gone = Market { forecast: LossForecast { lost: 1, ..LossForecast::no_loss(3) }, ..MARKET };
    let spot_target = |demand: &mut DemandEstimator, now, market: &Market| {
        demand.record(now, 0.0, offered(0.2));
        demand.target(now, 0.0, &MODEL, market, all(30), 0).unwrap().spot_target
    };
    let high = spot_target(&mut demand, 1.0, &gone);
    let long = spot_target(&mut demand, 300.0, &gone);
    let mut calm = DemandEstimator::default();
    calm.record(0.0, 0.0, offered(0.2));
    let low = spot_target(&mut calm, 300.0, &MARKET);
    assert!(
        high > 2 * long && long <= low + 1,
        "{high}, {long} after 300 s, {low} without the outage"
    );
}

#[test]
fn no_spot_engine_is_given_up_during_an_outage() {
    let dry = engines_by_site([0, 6, 6, 4], [0; 4]);
    let spots = |scarce| {
        let target = EngineTarget { keep_spot: scarce, ..target(8, 0) };
        let plans = plan(&dry, target, BOUNDS);
        ["a", "b", "c", "d"]
            .map(|name| plans.iter().find(|it| it.data_centre.as_str() == name).unwrap().spot)
    };
    assert_eq!(spots(false), [2; 4]);
    assert_eq!(spots(true), [2, 6, 6, 4]);
}

#[test]
fn peak_decays_slowly() {
    let mut demand = DemandEstimator::default();
    let spot_target = |demand: &mut DemandEstimator, now| {
        demand.target(now, 0.0, &MODEL, &MARKET, ServingEngines::default(), 0).unwrap().spot_target
    };
    demand.record(0.0, 0.0, offered(2.0));
    let high = spot_target(&mut demand, 0.0);
    demand.record(5.0, 0.0, offered(0.2));
    let later = spot_target(&mut demand, 5.0);
    demand.record(200.0, 0.0, offered(0.2));
    let end = spot_target(&mut demand, 200.0);
    assert!(high > later && later > end, "{high} {later} {end}");
}

fn load(times: f64, model: &EngineModel) -> ServiceLoad {
    let offered = offered(times);
    ServiceLoad::new(&offered, offered.prompt_tokens, model, 0, 0.0).unwrap()
}

#[test]
fn slower_engines_are_needed_in_larger_numbers() {
    let counts = [0.25, 0.5, 1.0, 2.0, 4.0].map(|times| {
        let model = EngineModel { rate: MODEL.rate * times, ..MODEL };
        load(1.0, &model).cheapest_count(0, 1_000, 1.0, 0.5)
    });
    assert!(counts.windows(2).all(|pair| pair[0] > pair[1]), "{counts:?}");
    // Twice the load needs less than twice the engines, as more engines even out the queueing delays.
    let [one, two] = [1.0, 2.0].map(|times| load(times, &MODEL).cheapest_count(0, 1_000, 1.0, 0.5));
    assert!(one < two && two <= 2 * one, "{one} {two}");
}

#[test]
fn engines_are_added_while_each_saves_more_than_it_costs() {
    let load = load(1.0, &MODEL);
    for (price, weight) in [(1.0, 0.5), (0.15, 0.5), (1.0, 5.0), (3.0, 0.1)] {
        let count = load.cheapest_count(0, 1_000, price, weight);
        let gain = |count| weight * (load.late_rate(count) - load.late_rate(count + 1));
        assert!(gain(count) <= price, "{count} at {price}");
        let least = (load.prefill_load / 0.9).ceil() as u32;
        assert!(count == least || gain(count - 1) > price, "{count} at {price}");
    }
}

proptest! {
    /// For engines and loads over two orders of magnitude, the computed count has the lowest cost of all,
    /// even if nearly all requests are late with the engines that serve.
    #[test]
    fn number_of_engines_is_the_cheapest_of_all(
        rate in 3_000.0..300_000.0_f64,
        times in 0.05..5.0_f64,
        late in 0.0..1.0_f64,
        serving in 1_u32..60,
        price in 0.1..3.0_f64,
        weight in 0.1..5.0_f64,
        objective in 0.1..2.0_f64,
    ) {
        let model = EngineModel { rate, late, ..MODEL };
        let offered = OfferedLoad { objective_seconds: 100.0 * times * objective, ..offered(times) };
        let load = ServiceLoad::new(&offered, offered.prompt_tokens, &model, serving, 0.0).unwrap();
        let most = 400;
        let count = load.cheapest_count(0, most, price, weight);
        let least = ((load.prefill_load / 0.9).ceil() as u32).clamp(1, most);
        let cost = |count: u32| price * f64::from(count) + weight * load.late_rate(count);
        let best = (least..=most).map(cost).fold(f64::INFINITY, f64::min);
        prop_assert!((least..=most).contains(&count), "{count} from {least} on");
        prop_assert!(cost(count) <= best + 1e-9, "{count}: {} instead of {best}", cost(count));
    }
}

/// Erlang C: the probability to wait with `slots` servers at a utilisation of `load`.
fn erlang(slots: u32, load: f64) -> f64 {
    let offered = load * f64::from(slots);
    let blocked = (1..=slots)
        .fold(1.0, |blocked, place| offered * blocked / (f64::from(place) + offered * blocked));
    blocked / (1.0 - load * (1.0 - blocked))
}

/// A load of answers that hold slots for seconds and need hardly any prefill.
fn long_answers(rate: f64, slots: f64, slack: f64) -> ServiceLoad {
    let model = EngineModel { rate: 1e9, pace: 0.035, events: 0.12, ..MODEL };
    let came = Arrivals {
        requests: rate,
        prompt_tokens: rate * 500.0,
        squared_prompt_tokens: rate * 250_000.0,
        objective_seconds: rate * slack,
        output_tokens: rate * 300.0,
    };
    let mut offered = OfferedLoad::default();
    (0..200).for_each(|_| offered.record(1.0, came));
    ServiceLoad::new(&offered, offered.prompt_tokens, &model, 1, slots).unwrap()
}

#[test]
fn slot_wait_follows_erlang_c() {
    for slots in [4_u32, 12, 32, 128] {
        for engines in [20, 60, 200] {
            let load = long_answers(100.0, f64::from(slots), 0.02);
            let busy = load.slot_load / (f64::from(slots) * f64::from(engines));
            if busy >= 0.95 || load.slack > 1e-9 {
                continue;
            }
            let late = load.late_rate(engines) / load.requests;
            assert!(
                (late - erlang(slots, busy)).abs() < 0.06,
                "{slots} slots at utilisation {busy}: {late}"
            );
        }
    }
}

proptest! {
    /// The count satisfies both prefill and slots, whichever is the bottleneck, and is the cheapest one.
    #[test]
    fn engines_suffice_for_prefill_and_for_slots(
        rate in 5.0..400.0_f64,
        slots in 4.0..64.0_f64,
        reading in 0.05..20.0_f64,
        slack in 0.1..2.0_f64,
        price in 0.1..1.5_f64,
    ) {
        let mut load = long_answers(rate, slots, slack);
        (load.prefill_load, load.residual_prefill) = (reading, 0.05);
        let (most, weight) = (2_000, 20.0);
        let count = load.cheapest_count(0, most, price, weight);
        let free = 1.0 - load.prefill_load / f64::from(count);
        let busy = load.slot_load / (free * slots * f64::from(count));
        prop_assert!(free > 0.05 && busy < 1.0, "{count} engines: {free} free of prefill, slot utilisation {busy}");
        let cost = |count: u32| price * f64::from(count) + weight * load.late_rate(count);
        let least = (load.prefill_load / 0.9).ceil().max(1.0) as u32;
        let best = (least..=most).map(cost).fold(f64::INFINITY, f64::min);
        prop_assert!(cost(count) <= best + 1e-9 + 0.02 * best, "{count}: {} for {best}", cost(count));
    }

    /// An engine's pace is learned from unimpeded streams, regardless of delayed ones.
    #[test]
    fn pace_is_learned_within_15_percent(pace in 0.005..0.2_f64, busy in 0.0..0.6_f64, seed in any::<u64>()) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut learner = EngineLearner::default();
        for _ in 0..300 {
            let events = rng.random_range(1..80);
            let held = if rng.random_bool(busy) { rng.random_range(0.5..4.0) } else { 0.0 };
            let seconds = pace * f64::from(events - 1) * rng.random_range(0.95..1.05) + held;
            learner.record_stream(f64::from(events), 400.0, seconds);
        }
        let learned = learner.model().pace;
        prop_assert!((learned / pace - 1.0).abs() < 0.15, "{learned} for {pace}");
    }
}

/// Prefill alone needs 14 engines here, but they would have only half of the slots that the answers hold.
#[test]
fn long_answers_need_slots() {
    let model = EngineModel { rate: 60_000.0, pace: 0.034, events: 0.12, ..MODEL };
    let came = Arrivals {
        requests: 376.0,
        prompt_tokens: 640_000.0,
        squared_prompt_tokens: 4e9,
        objective_seconds: 260.0,
        output_tokens: 90_000.0,
    };
    let mut offered = OfferedLoad::default();
    (0..200).for_each(|_| offered.record(1.0, came));
    let with = |slots| {
        let load = ServiceLoad::new(&offered, offered.prompt_tokens, &model, 60, slots).unwrap();
        (load.cheapest_count(0, 1_000, 1.0, 0.5), load.slot_load)
    };
    let (by_reading, held) = with(0.0);
    let (by_both, _) = with(12.0);
    assert!(f64::from(by_reading) * 12.0 < held * 0.75, "{by_reading} for {held}");
    assert!(f64::from(by_both) * 12.0 > held * 1.1, "{by_both} for {held}");
}

#[test]
fn slow_engines_are_added_until_they_serve_in_time() {
    // With few engines nearly all requests are late: one more saves nothing, many more save a lot.
    let model = EngineModel { rate: 20_000.0, late: 0.9, ..MODEL };
    let offered = offered(1.0);
    let load = ServiceLoad::new(&offered, offered.prompt_tokens, &model, 40, 0.0).unwrap();
    let few = (load.prefill_load / 0.9).ceil() as u32;
    assert_eq!(load.late_rate(few), load.late_rate(few + 1));
    let count = load.cheapest_count(0, 200, 0.15, 0.5);
    let late = load.late_rate(count) / load.requests;
    assert!(late < 0.3, "{late} of the requests late with {count} engines");
}

#[test]
fn late_fraction_follows_a_single_server_queue() {
    // Prompts of one size on one engine: the mean wait must follow Pollaczek-Khinchine.
    let (calls, tokens) = (10.0, 3_000.0);
    let mut came = Arrivals::default();
    (0..10).for_each(|_| came.record(tokens, 200.0, 1.0));
    let mut offered = OfferedLoad::default();
    (0..200).for_each(|_| offered.record(1.0, came));
    let load = ServiceLoad::new(&offered, offered.prompt_tokens, &MODEL, 0, 0.0).unwrap();
    let (busy, read) = (calls * tokens / MODEL.rate, tokens / MODEL.rate);
    // The integral of the tail over all waits is the mean wait.
    let mean = busy * load.residual_prefill / (1.0 - busy);
    assert!(
        (load.prefill_load - busy).abs() < 1e-6
            && (load.residual_prefill - read / 2.0).abs() < 1e-6
    );
    assert!((mean - calls * read * read / (2.0 * (1.0 - busy))).abs() < 1e-6);
}

#[test]
fn relative_spare_before_any_traffic_shrinks_with_the_fleet() {
    let market =
        Market { max_per_data_centre: 10_000, data_centres: 6, surge_factor: 1.5, ..MARKET };
    let over =
        |engines: u32| f64::from(market.initial_spot_engines(engines)) / f64::from(engines) - 1.0;
    // A small fleet may need all of its engines even after the loss of a data centre.
    assert!(over(9) >= 0.7, "{}", over(9));
    assert!(over(60) >= 0.7, "{}", over(60));
    assert!(over(2_930) < 0.15, "{}", over(2_930));
    assert!(over(5_860) < over(2_930));
    let counts: Vec<_> = (1..3_000).map(|engines| market.initial_spot_engines(engines)).collect();
    assert!(counts.is_sorted());
}

/// The report of `calls` requests per second that started `since` seconds ago, with averages that start at
/// zero.
fn rising(calls: f64, since: f64) -> OfferedLoad {
    let part = 1.0 - (-since / 2.5_f64).exp();
    let tokens = 4_000.0;
    OfferedLoad {
        prompt_tokens: calls * tokens * part,
        peak: calls * tokens * part,
        requests: calls * part,
        squared_prompt_tokens: calls * tokens * tokens * part,
        objective_seconds: calls * part,
        output_tokens: calls * 100.0 * part,
    }
}

#[test]
fn target_of_a_large_fleet_is_known_within_seconds() {
    let market = Market { max_per_data_centre: 10_000, data_centres: 6, ..MARKET };
    let need_at = |calls: f64, at: f64, age: f64| {
        let mut demand = DemandEstimator::default();
        demand.record(0.0, age, rising(calls, 0.01));
        demand.record(at, age, rising(calls, at - age));
        demand
            .target(at, 5.0, &MODEL, &market, ServingEngines::default(), 0)
            .map(|target| target.spot_target)
    };
    // A low request rate cannot be estimated in so short a time.
    assert_eq!(need_at(50.0, 2.0, 0.2), None);
    let late = need_at(500.0, 30.0, 0.5).unwrap();
    for (at, age) in [(1.6, 0.2), (2.0, 0.5), (3.0, 0.5), (4.0, 1.0)] {
        let early = need_at(500.0, at, age).unwrap();
        let times = f64::from(early) / f64::from(late);
        assert!((0.9..1.15).contains(&times), "{early} after {at} s, {late} later");
    }
}

#[test]
fn sampled_search_finds_the_cheapest_count() {
    // Sampling the counts must find one that costs as little as comparing all of them would.
    for times in [1.0, 7.0, 40.0, 160.0] {
        let load = load(times, &MODEL);
        let few = Market { max_per_data_centre: 40, data_centres: 6, ..MARKET };
        let many = Market { max_per_data_centre: 985, ..few };
        let (all, spread) = (load.spot_engines(&few, 0), load.spot_engines(&many, 0));
        if all < 200 {
            assert_eq!(all, spread, "{times} times the load");
        }
        assert!(spread < 985 * 6, "{times} times the load: {spread}");
    }
}
