//! Tests the detection of spot outages and their learned duration.

use emberturn::decide::absence::{OutageLearner, SpotStatus};
use emberturn::ids::DataCentre;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Seconds between two observations, and between an order that was refused and the next one.
const OBSERVATION_INTERVAL: f64 = 0.5;
const ORDER_INTERVAL: f64 = 3.0;

/// A data centre that loses its spot engines at `from` and offers them again at `to`.
struct SimulatedSite {
    name: DataCentre,
    from: f64,
    to: f64,
    serving: bool,
    last_order: f64,
}

impl SimulatedSite {
    fn new(name: &str) -> Self {
        let (from, to) = (f64::INFINITY, f64::INFINITY);
        Self { name: name.parse().unwrap(), from, to, serving: true, last_order: 0.0 }
    }

    fn status(&mut self, now: f64) -> SpotStatus {
        self.serving &= now < self.from;
        let leaving = if self.serving { 0 } else { 6 };
        SpotStatus { serving: 6 - leaving, leaving, notice: None }
    }

    /// Orders engines if an order is due.
    fn order(&mut self, now: f64, learner: &mut OutageLearner) {
        if self.serving || now < self.last_order + ORDER_INTERVAL {
            return;
        }
        self.last_order = now;
        if now < self.to {
            return learner.record_refusal(now, &self.name);
        }
        learner.record_acceptance(now, &self.name);
        (self.serving, self.from) = (true, f64::INFINITY);
    }
}

fn four_sites() -> [SimulatedSite; 4] {
    ["a", "b", "c", "d"].map(SimulatedSite::new)
}

/// Simulates until `until` and returns the learned duration after each observation.
fn play(
    learner: &mut OutageLearner,
    sites: &mut [SimulatedSite],
    now: &mut f64,
    until: f64,
) -> Vec<f64> {
    let mut lengths = Vec::new();
    while *now < until {
        *now += OBSERVATION_INTERVAL;
        let seen: Vec<_> = sites.iter_mut().map(|it| (it.name.clone(), it.status(*now))).collect();
        learner.observe(*now, &seen);
        sites.iter_mut().for_each(|it| it.order(*now, learner));
        lengths.push(learner.stats().duration);
    }
    lengths
}

#[test]
fn outage_duration_is_learned_within_15_percent_after_eight_outages() {
    for length in [6.0, 13.0, 30.0, 60.0] {
        let mut rng = SmallRng::seed_from_u64(1);
        let (mut learner, mut sites, mut now) = (OutageLearner::default(), four_sites(), 0.0);
        for _ in 0..2 {
            for site in &mut sites {
                site.from = now + rng.random_range(0.0..6.0);
                site.to = site.from + length * rng.random_range(0.95..1.05);
            }
            let until = now + length + 60.0;
            play(&mut learner, &mut sites, &mut now, until);
        }
        let learned = learner.stats().duration;
        assert!((learned / length - 1.0).abs() < 0.15, "{learned} for {length}");
    }
}

#[test]
fn outages_in_progress_below_the_mean_do_not_change_it() {
    let (mut learner, mut sites, mut now) = (OutageLearner::default(), four_sites(), 0.0);
    for site in &mut sites {
        (site.from, site.to) = (1.0, 14.0);
    }
    play(&mut learner, &mut sites, &mut now, 40.0);
    let before = learner.stats().duration;
    for site in &mut sites {
        (site.from, site.to) = (41.0, 54.0);
    }
    let lengths = play(&mut learner, &mut sites, &mut now, 53.0);
    assert_eq!(learner.lost_count(), 4);
    let longest = lengths.iter().copied().fold(0.0, f64::max);
    assert!(longest <= before, "{longest} during the outages, {before} before");
}

#[test]
fn outages_in_progress_beyond_the_mean_raise_it() {
    let (mut learner, mut sites, mut now) = (OutageLearner::default(), four_sites(), 0.0);
    sites[0].from = 1.0;
    let lengths = play(&mut learner, &mut sites, &mut now, 100.0);
    assert!(lengths.windows(2).all(|pair| pair[0] <= pair[1]));
    let known = learner.stats().duration;
    assert!((70.0..100.0).contains(&known), "{known}");
}

#[test]
fn outage_fraction_is_learned_from_a_prior() {
    let (mut learner, mut sites, mut now) = (OutageLearner::default(), four_sites(), 0.0);
    assert!(learner.stats().fraction < 0.15);
    for turn in 0..10 {
        for site in &mut sites {
            site.from = f64::from(turn) * 100.0 + 1.0;
            site.to = site.from + 30.0;
        }
        play(&mut learner, &mut sites, &mut now, f64::from(turn + 1) * 100.0);
    }
    let known = learner.stats();
    assert!((0.25..0.34).contains(&known.fraction), "{known:?}");
}

#[test]
fn refusal_while_engines_serve_and_crash_are_no_outages() {
    let mut learner = OutageLearner::default();
    let a: DataCentre = "a".parse().unwrap();
    let serving = [(a.clone(), SpotStatus { serving: 6, ..SpotStatus::default() })];
    learner.observe(0.0, &serving);
    learner.record_refusal(0.5, &a);
    assert_eq!(learner.lost_count(), 0);
    learner.observe(1.0, &[(a.clone(), SpotStatus::default())]);
    assert_eq!(learner.lost_count(), 0, "none is under notice, and no order was refused since");
    learner.record_acceptance(1.0, &a);
    learner.observe(2.0, &[(a.clone(), SpotStatus { leaving: 6, ..SpotStatus::default() })]);
    assert_eq!(learner.lost_count(), 1);
}

/// Engines given up on purpose leave like reclaimed ones, and the list still shows them for a while. They
/// must not count as an outage.
#[test]
fn engines_given_up_are_no_outage() {
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
    assert_eq!(look(&mut learner, 30.0, 0, 6), 1, "wanted again, then lost");
}

#[test]
fn outage_ends_unobserved_if_no_engines_are_wanted() {
    let mut learner = OutageLearner::default();
    let a: DataCentre = "a".parse().unwrap();
    learner.observe(0.0, &[(a.clone(), SpotStatus { serving: 6, ..SpotStatus::default() })]);
    learner.observe(1.0, &[(a.clone(), SpotStatus { leaving: 6, ..SpotStatus::default() })]);
    assert_eq!(learner.lost_count(), 1);
    let before = learner.stats().duration;
    learner.record_unwanted(&a);
    assert_eq!(learner.lost_count(), 0);
    learner.observe(1_000.0, &[(a.clone(), SpotStatus::default())]);
    assert_eq!(learner.stats().duration, before, "the end of the outage was not observed");
}

#[test]
fn removed_data_centre_is_not_lost() {
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
