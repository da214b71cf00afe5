//! Tests the learned engine model with simulated engines whose speed varies over two orders of magnitude.

use emberturn::decide::engine::{EngineLearner, EngineModel, Observation};
use emberturn::ids::ServiceName;
use emberturn::relay::engines::EngineTracker;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

#[derive(Debug, Clone)]
struct Engine {
    rate: f64,
    base: f64,
    /// The probability that a request has to queue, and its mean wait then, in mean prompts.
    queue_probability: f64,
    mean_wait: f64,
    /// The probability that an answer is seconds late for another reason.
    failure_probability: f64,
}

const SIZES: [f64; 3] = [700.0, 2_400.0, 12_000.0];

fn observation(engine: &Engine, rng: &mut SmallRng) -> Observation {
    let tokens = SIZES[rng.random_range(0..SIZES.len())] * rng.random_range(0.5..1.5);
    let mut seconds = engine.base + tokens / engine.rate;
    if rng.random_bool(engine.queue_probability) {
        let wait: f64 = -(1.0 - rng.random::<f64>()).ln();
        seconds += wait * engine.mean_wait * 5_000.0 / engine.rate;
    }
    if rng.random_bool(engine.failure_probability) {
        seconds += rng.random_range(1.0..4.0);
    }
    Observation { tokens, unshared_tokens: tokens, seconds, is_clear: true }
}

fn learn(engine: &Engine, count: usize, seed: u64) -> EngineModel {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut learner = EngineLearner::default();
    for _ in 0..count {
        learner.record_first_event(observation(engine, &mut rng));
    }
    learner.model()
}

prop_compose! {
    fn engines()(
        rate in (8.0..13.0_f64).prop_map(f64::exp),
        base in 0.001..0.08_f64,
        queue_probability in 0.0..0.6_f64,
        mean_wait in 0.1..2.0_f64,
        failure_probability in 0.0..0.1_f64,
    ) -> Engine {
        Engine { rate, base, queue_probability, mean_wait, failure_probability }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn rate_is_learned_within_15_percent(engine in engines(), seed in any::<u64>()) {
        let model = learn(&engine, 300, seed);
        prop_assert!(model.is_learned());
        // For a fast engine with a long fixed time, the rate is only known to within the spread of that
        // time.
        let slack = 1.15_f64;
        prop_assert!(model.rate < engine.rate * slack && model.rate > engine.rate / slack,
            "{} learned, {} true", model.rate, engine.rate);
    }

    #[test]
    fn few_requests_leave_the_prior(engine in engines(), seed in any::<u64>()) {
        let model = learn(&engine, 10, seed);
        prop_assert_eq!(model.rate, EngineModel::default().rate);
        prop_assert!(!model.is_learned());
    }
}

#[test]
fn cached_shared_prefixes_do_not_bias_the_rate() {
    let mut rng = SmallRng::seed_from_u64(2);
    let mut learner = EngineLearner::default();
    for _ in 0..400 {
        let (own, shared) =
            if rng.random_bool(0.7) { (1_800.0, 600.0) } else { (6_600.0, 5_400.0) };
        let own = own * rng.random_range(0.5..1.5);
        let read = own + if rng.random_bool(0.5) { shared } else { 0.0 };
        let seconds = 0.05 + read / 100_000.0;
        learner.record_first_event(Observation {
            tokens: read,
            unshared_tokens: own,
            seconds,
            is_clear: true,
        });
    }
    let rate = learner.model().rate;
    assert!((85_000.0..115_000.0).contains(&rate), "{rate}");
}

#[test]
fn prompts_of_one_size_suffice_for_a_rate() {
    let mut learner = EngineLearner::default();
    for _ in 0..100 {
        learner.record_first_event(Observation {
            tokens: 2_000.0,
            unshared_tokens: 2_000.0,
            seconds: 0.04,
            is_clear: true,
        });
    }
    let rate = learner.model().rate;
    assert!((49_000.0..51_000.0).contains(&rate), "{rate}");
}

#[test]
fn change_of_the_engine_speed_is_learned() {
    let slow = Engine {
        rate: 20_000.0,
        base: 0.01,
        queue_probability: 0.3,
        mean_wait: 0.5,
        failure_probability: 0.02,
    };
    let fast = Engine { rate: 100_000.0, ..slow.clone() };
    let mut rng = SmallRng::seed_from_u64(1);
    let mut learner = EngineLearner::default();
    for engine in [&slow, &fast] {
        for _ in 0..300 {
            learner.record_first_event(observation(engine, &mut rng));
        }
    }
    let rate = learner.model().rate;
    assert!((85_000.0..115_000.0).contains(&rate), "{rate}");
}

#[test]
fn queueing_delay_is_the_time_above_the_fitted_line() {
    let idle = Engine {
        rate: 50_000.0,
        base: 0.02,
        queue_probability: 0.0,
        mean_wait: 0.0,
        failure_probability: 0.0,
    };
    let crowded = Engine { queue_probability: 0.5, mean_wait: 2.0, ..idle.clone() };
    let waits = [&idle, &crowded].map(|engine| learn(engine, 600, 3).wait);
    assert!(waits[0] < 0.005, "{waits:?}");
    // Half of the requests wait for 0.2 s on average.
    assert!((0.05..0.2).contains(&waits[1]), "{waits:?}");
}

#[test]
fn models_are_pooled_by_their_observations() {
    let of = |rate, weight| EngineModel { rate, weight, ..EngineModel::default() };
    let pooled = EngineModel::pool([of(100.0, 90.0), of(50.0, 10.0), of(1.0, 0.0)].iter());
    assert!((90.0..=92.0).contains(&pooled.rate), "{pooled:?}");
    assert_eq!(pooled.weight, 100.0);
    assert!(!EngineModel::pool([].iter()).is_learned());
}

#[test]
fn samples_of_many_relays_teach_as_much_as_one_busy_relay() {
    let engine = Engine {
        rate: 64_200.0,
        base: 0.005,
        queue_probability: 0.3,
        mean_wait: 0.5,
        failure_probability: 0.02,
    };
    let service: ServiceName = "svc".parse().unwrap();
    let (mut rng, mut pooled) = (SmallRng::seed_from_u64(11), EngineLearner::default());
    for _ in 0..500 {
        let mut tracker = EngineTracker::default();
        for _ in 0..2 {
            tracker.record_observation(&service, observation(&engine, &mut rng));
            tracker.record_served(&service, false);
            tracker.record_stream(&service, 20, 100, 0.3);
        }
        assert!(tracker.learned().is_empty());
        let samples = tracker.take_samples();
        samples[&service].iter().for_each(|sample| pooled.record(*sample));
        // Each sample is reported once.
        assert!(tracker.take_samples().is_empty());
    }
    let model = pooled.model();
    assert!(model.is_learned() && (model.rate / engine.rate - 1.0).abs() < 0.15, "{model:?}");
    assert!(model.pace > 0.0 && model.events > 0.0, "{model:?}");
}

#[test]
fn relay_with_its_own_fit_reports_no_samples() {
    let engine = Engine {
        rate: 64_200.0,
        base: 0.005,
        queue_probability: 0.0,
        mean_wait: 0.5,
        failure_probability: 0.0,
    };
    let service: ServiceName = "svc".parse().unwrap();
    let (mut rng, mut tracker) = (SmallRng::seed_from_u64(3), EngineTracker::default());
    (0..100).for_each(|_| tracker.record_observation(&service, observation(&engine, &mut rng)));
    assert!(tracker.learned()[&service].is_learned());
    assert!(tracker.take_samples().is_empty());
}

#[test]
fn leaders_fit_is_used_until_the_relays_fits_outweigh_it() {
    let model = |rate, weight| EngineModel { rate, weight, ..EngineModel::default() };
    let (own, box_fit) = (model(20_000.0, 256.0), model(60_000.0, 128.0));
    assert_eq!(EngineModel::pool_with([].iter(), Some(&own)).rate, 20_000.0);
    let some = EngineModel::pool_with([box_fit].iter(), Some(&own)).rate;
    assert!((20_000.0..60_000.0).contains(&some), "{some}");
    assert_eq!(EngineModel::pool_with([box_fit; 2].iter(), Some(&own)).rate, 60_000.0);
    assert!(!EngineModel::pool_with([].iter(), None).is_learned());
}
