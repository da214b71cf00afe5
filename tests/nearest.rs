//! Which replica a box follows the configuration at, as replicas near and far answer and don't.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use emberturn::decide::nearest::ReplicaSelector;
use emberturn::decide::topology::Reach;
use emberturn::ids::BoxId;
use yare::parameterized;

fn replica(place: usize) -> BoxId {
    format!("r{place}").parse().unwrap()
}

fn replicas() -> Vec<BoxId> {
    (0..5).map(replica).collect()
}

/// Replicas of which each has said how far it is.
fn reaches(reaches: [Reach; 5]) -> BTreeMap<BoxId, Reach> {
    replicas().into_iter().zip(reaches).collect()
}

const FAR: [Reach; 5] =
    [Reach::Remote, Reach::Regional, Reach::Remote, Reach::Regional, Reach::Remote];

/// Asks until a replica is asked a second time in a row, each of them telling how far it is.
fn settle(
    nearest: &mut ReplicaSelector,
    far: &BTreeMap<BoxId, Reach>,
    now: Instant,
) -> (BoxId, usize) {
    let mut known = BTreeMap::new();
    let mut last = None;
    for asked in 1.. {
        let chosen = nearest.choose(&replicas(), |it| known.get(it).copied(), now).unwrap();
        nearest.record_success(&chosen);
        known.insert(chosen.clone(), far[&chosen]);
        if last.as_ref() == Some(&chosen) {
            return (chosen, asked);
        }
        last = Some(chosen);
    }
    unreachable!("the loop ends only by return")
}

#[parameterized(first = { 0.0 }, middle = { 0.5 }, last = { 0.99 })]
fn box_settles_at_a_replica_of_its_region(start: f64) {
    let (far, now) = (reaches(FAR), Instant::now());
    let (settled, asked) = settle(&mut ReplicaSelector::new(start), &far, now);
    assert_eq!(far[&settled], Reach::Regional);
    assert!(asked <= 6, "{asked}");
}

#[test]
fn box_without_a_replica_of_its_region_stays_at_one() {
    let far = reaches([Reach::Remote; 5]);
    let (settled, asked) = settle(&mut ReplicaSelector::new(0.3), &far, Instant::now());
    assert_eq!((far[&settled], asked), (Reach::Remote, 6));
}

#[test]
fn replica_that_fails_is_left_at_once_and_asked_again_when_its_time_is_over() {
    let (far, now) = (reaches(FAR), Instant::now());
    let mut nearest = ReplicaSelector::new(0.0);
    let ask = |nearest: &mut ReplicaSelector, now| {
        nearest.choose(&replicas(), |it| far.get(it).copied(), now).unwrap()
    };
    let first = ask(&mut nearest, now);
    nearest.record_failure(&first, now);
    let second = ask(&mut nearest, now);
    assert_eq!((far[&second], second != first), (Reach::Regional, true));
    // The whole region is gone: one that is far serves.
    nearest.record_failure(&second, now);
    let third = ask(&mut nearest, now);
    assert_eq!(far[&third], Reach::Remote);
    nearest.record_success(&third);
    let later = now + Duration::from_secs(6);
    assert_eq!(far[&ask(&mut nearest, later)], Reach::Regional);
}

/// A replica that stands still costs a box a call's time each time it is asked.
#[test]
fn replica_that_goes_on_failing_is_asked_less_and_less() {
    let (far, start) = (reaches(FAR), Instant::now());
    let mut nearest = ReplicaSelector::new(0.0);
    let mut asked = 0;
    for second in 0..600 {
        let now = start + Duration::from_secs(second);
        let chosen = nearest.choose(&replicas(), |it| far.get(it).copied(), now).unwrap();
        match far[&chosen] {
            Reach::Remote => nearest.record_success(&chosen),
            Reach::Local | Reach::Regional => {
                asked += 1;
                nearest.record_failure(&chosen, now);
            }
        }
    }
    assert!((10..=24).contains(&asked), "{asked}");
}

#[test]
fn boxes_of_one_region_spread_over_its_replicas() {
    let now = Instant::now();
    let mut counts = BTreeMap::new();
    for place in 0..100 {
        let mut nearest = ReplicaSelector::new(f64::from(place) / 100.0);
        let chosen = nearest.choose(&replicas(), |_| None, now).unwrap();
        *counts.entry(chosen).or_insert(0) += 1;
    }
    assert!(counts.values().all(|count| *count == 20), "{counts:?}");
}

#[test]
fn with_one_region_a_box_stays_where_it_is_answered() {
    let now = Instant::now();
    let mut nearest = ReplicaSelector::new(0.6);
    let ask = |nearest: &mut ReplicaSelector| nearest.choose(&replicas(), |_| None, now).unwrap();
    let first = ask(&mut nearest);
    nearest.record_success(&first);
    assert_eq!(ask(&mut nearest), first);
    nearest.record_failure(&first, now);
    let next = ask(&mut nearest);
    assert_ne!(next, first);
    nearest.record_success(&next);
    assert_eq!(ask(&mut nearest), next);
}
