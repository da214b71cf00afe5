//! Which data centres have no reclaimable engines, and what is learned of how long.

use emberturn::decide::absence::{OutageLearner, SpotStatus};
use emberturn::ids::DataCentre;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Seconds between two looks, and between two orders where one was refused.
const LOOK: f64 = 0.5;
const AGAIN: f64 = 3.0;

/// A data centre whose reclaimable engines go at `from` and can be had again at `to`.
struct Place {
    name: DataCentre,
    from: f64,
    to: f64,
    serving: bool,
    asked: f64,
}

impl Place {
    fn new(name: &str) -> Self {
        let (from, to) = (f64::INFINITY, f64::INFINITY);
        Self { name: name.parse().unwrap(), from, to, serving: true, asked: 0.0 }
    }

    fn seen(&mut self, now: f64) -> SpotStatus {
        self.serving &= now < self.from;
        let leaving = if self.serving { 0 } else { 6 };
        SpotStatus { serving: 6 - leaving, leaving, notice: None }
    }

    /// Orders engines, if that is due.
    fn ask(&mut self, now: f64, learner: &mut OutageLearner) {
        if self.serving || now < self.asked + AGAIN {
            return;
        }
        self.asked = now;
        if now < self.to {
            return learner.record_refusal(now, &self.name);
        }
        learner.record_acceptance(now, &self.name);
        (self.serving, self.from) = (true, f64::INFINITY);
    }
}

fn four() -> [Place; 4] {
    ["a", "b", "c", "d"].map(Place::new)
}

/// Plays until `until` and returns the length that is known at each look.
fn play(learner: &mut OutageLearner, places: &mut [Place], now: &mut f64, until: f64) -> Vec<f64> {
    let mut lengths = Vec::new();
    while *now < until {
        *now += LOOK;
        let seen: Vec<_> = places.iter_mut().map(|it| (it.name.clone(), it.seen(*now))).collect();
        learner.observe(*now, &seen);
        places.iter_mut().for_each(|it| it.ask(*now, learner));
        lengths.push(learner.stats().duration);
    }
    lengths
}

#[test]
fn length_of_absences_is_right_within_15_percent_after_eight() {
    for length in [6.0, 13.0, 30.0, 60.0] {
        let mut rng = SmallRng::seed_from_u64(1);
        let (mut learner, mut places, mut now) = (OutageLearner::default(), four(), 0.0);
        for _ in 0..2 {
            for place in &mut places {
                place.from = now + rng.random_range(0.0..6.0);
                place.to = place.from + length * rng.random_range(0.95..1.05);
            }
            let until = now + length + 60.0;
            play(&mut learner, &mut places, &mut now, until);
        }
        let learned = learner.stats().duration;
        assert!((learned / length - 1.0).abs() < 0.15, "{learned} for {length}");
    }
}

#[test]
fn absences_under_way_make_the_mean_no_longer() {
    let (mut learner, mut places, mut now) = (OutageLearner::default(), four(), 0.0);
    for place in &mut places {
        (place.from, place.to) = (1.0, 14.0);
    }
    play(&mut learner, &mut places, &mut now, 40.0);
    let before = learner.stats().duration;
    for place in &mut places {
        (place.from, place.to) = (41.0, 54.0);
    }
    let lengths = play(&mut learner, &mut places, &mut now, 53.0);
    assert_eq!(learner.lost_count(), 4);
    let longest = lengths.iter().copied().fold(0.0, f64::max);
    assert!(longest <= before, "{longest} while they last, {before} before");
}

#[test]
fn absences_that_last_longer_than_the_mean_lengthen_it() {
    let (mut learner, mut places, mut now) = (OutageLearner::default(), four(), 0.0);
    places[0].from = 1.0;
    let lengths = play(&mut learner, &mut places, &mut now, 100.0);
    assert!(lengths.windows(2).all(|pair| pair[0] <= pair[1]));
    let known = learner.stats().duration;
    assert!((70.0..100.0).contains(&known), "{known}");
}

#[test]
fn share_of_the_time_is_learned_from_a_prior() {
    let (mut learner, mut places, mut now) = (OutageLearner::default(), four(), 0.0);
    assert!(learner.stats().fraction < 0.15);
    for turn in 0..10 {
        for place in &mut places {
            place.from = f64::from(turn) * 100.0 + 1.0;
            place.to = place.from + 30.0;
        }
        play(&mut learner, &mut places, &mut now, f64::from(turn + 1) * 100.0);
    }
    let known = learner.stats();
    assert!((0.25..0.34).contains(&known.fraction), "{known:?}");
}

#[test]
fn refusal_where_engines_serve_or_a_crash_is_no_absence() {
    let mut learner = OutageLearner::default();
    let a: DataCentre = "a".parse().unwrap();
    let serving = [(a.clone(), SpotStatus { serving: 6, ..SpotStatus::default() })];
    learner.observe(0.0, &serving);
    learner.record_refusal(0.5, &a);
    assert_eq!(learner.lost_count(), 0);
    learner.observe(1.0, &[(a.clone(), SpotStatus::default())]);
    assert_eq!(learner.lost_count(), 0, "none has notice, none was refused since");
    learner.record_acceptance(1.0, &a);
    learner.observe(2.0, &[(a.clone(), SpotStatus { leaving: 6, ..SpotStatus::default() })]);
    assert_eq!(learner.lost_count(), 1);
}

/// Engines that are given up leave as those that are reclaimed do, and the list shows them for a while.
#[test]
fn engines_given_up_are_no_absence() {
    let mut learner = OutageLearner::default();
    let a: DataCentre = "a".parse().unwrap();
    let look = |learner: &mut OutageLearner, now, serving, leaving| {
        learner.observe(now, &[(a.clone(), SpotStatus { serving, leaving, notice: None })])
    };
    assert_eq!(look(&mut learner, 0.0, 6, 0), 0);
    learner.record_unwanted(&a);
    for (now, serving, leaving) in [(0.5, 6, 0), (1.0, 0, 6), (1.5, 0, 0)] {
        assert_eq!(look(&mut learner, now, serving, leaving), 0);
        assert_eq!(learner.lost_count(), 0);
    }
    learner.record_acceptance(20.0, &a);
    look(&mut learner, 25.0, 6, 0);
    assert_eq!(look(&mut learner, 30.0, 0, 6), 1, "wanted again, and lost");
}

#[test]
fn absence_ends_where_none_are_wanted_any_more() {
    let mut learner = OutageLearner::default();
    let a: DataCentre = "a".parse().unwrap();
    learner.observe(0.0, &[(a.clone(), SpotStatus { serving: 6, ..SpotStatus::default() })]);
    learner.observe(1.0, &[(a.clone(), SpotStatus { leaving: 6, ..SpotStatus::default() })]);
    assert_eq!(learner.lost_count(), 1);
    let before = learner.stats().duration;
    learner.record_unwanted(&a);
    assert_eq!(learner.lost_count(), 0);
    learner.observe(1_000.0, &[(a.clone(), SpotStatus::default())]);
    assert_eq!(learner.stats().duration, before, "nobody has seen how long it was");
}

#[test]
fn data_centre_that_is_no_longer_there_is_not_gone() {
    let mut learner = OutageLearner::default();
    let [a, b]: [DataCentre; 2] = ["a", "b"].map(|name| name.parse().unwrap());
    let serving = SpotStatus { serving: 6, ..SpotStatus::default() };
    learner.observe(0.0, &[(a.clone(), serving), (b.clone(), serving)]);
    learner.observe(
        1.0,
        &[(a, SpotStatus { leaving: 6, ..SpotStatus::default() }), (b.clone(), serving)],
    );
    assert_eq!(learner.lost_count(), 1);
    learner.observe(2.0, &[(b, serving)]);
    assert_eq!(learner.lost_count(), 0);
}
