//! Tests of the selection of the replica that a box polls, with near and far replicas that answer
//! or fail.

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

/// The reach that each replica reports.
fn reaches(reaches: [Reach; 5]) -> BTreeMap<BoxId, Reach> {
    replicas().into_iter().zip(reaches).collect()
}

const FAR: [Reach; 5] =
    [Reach::Remote, Reach::Regional, Reach::Remote, Reach::Regional, Reach::Remote];

/// Polls until the same replica is selected twice in a row. Each replica reports its reach when
/// polled.
fn poll_until_stable(
    selector: &mut ReplicaSelector,
    far: &BTreeMap<BoxId, Reach>,
    now: Instant,
) -> (BoxId, usize) {
    let mut known = BTreeMap::new();
    let mut last = None;
    for polls in 1.. {
        let chosen = selector.choose(&replicas(), |it| known.get(it).copied(), now).unwrap();
        selector.record_success(&chosen);
        known.insert(chosen.clone(), far[&chosen]);
        if last.as_ref() == Some(&chosen) {
            return (chosen, polls);
        }
        last = Some(chosen);
    }
    unreachable!("the loop ends only by return")
}

#[parameterized(first = { 0.0 }, middle = { 0.5 }, last = { 0.99 })]
fn box_settles_at_a_replica_of_its_region(start: f64) {
    let (far, now) = (reaches(FAR), Instant::now());
    let (stable, polls) = poll_until_stable(&mut ReplicaSelector::new(start), &far, now);
    assert_eq!(far[&stable], Reach::Regional);
    assert!(polls <= 6, "{polls}");
}

#[test]
fn box_without_a_replica_of_its_region_stays_at_one() {
    let far = reaches([Reach::Remote; 5]);
    let (stable, polls) = poll_until_stable(&mut ReplicaSelector::new(0.3), &far, Instant::now());
    assert_eq!((far[&stable], polls), (Reach::Remote, 6));
}

#[test]
fn replica_that_fails_is_left_at_once_and_asked_again_when_its_time_is_over() {
    let (far, now) = (reaches(FAR), Instant::now());
    let mut selector = ReplicaSelector::new(0.0);
    let ask = |selector: &mut ReplicaSelector, now| {
        selector.choose(&replicas(), |it| far.get(it).copied(), now).unwrap()
    };
    let first = ask(&mut selector, now);
    selector.record_failure(&first, now);
    let second = ask(&mut selector, now);
    assert_eq!((far[&second], second != first), (Reach::Regional, true));
    // All replicas of the region have failed, so a far one is used.
    selector.record_failure(&second, now);
    let third = ask(&mut selector, now);
    assert_eq!(far[&third], Reach::Remote);
    selector.record_success(&third);
    let later = now + Duration::from_secs(6);
    assert_eq!(far[&ask(&mut selector, later)], Reach::Regional);
}

/// Each poll of a hung replica costs the box the timeout of a call.
#[test]
fn replica_that_goes_on_failing_is_asked_less_and_less() {
    let (far, start) = (reaches(FAR), Instant::now());
    let mut selector = ReplicaSelector::new(0.0);
    let mut polls = 0;
    for second in 0..600 {
        let now = start + Duration::from_secs(second);
        let chosen = selector.choose(&replicas(), |it| far.get(it).copied(), now).unwrap();
        match far[&chosen] {
            Reach::Remote => selector.record_success(&chosen),
            Reach::Local | Reach::Regional => {
                polls += 1;
                selector.record_failure(&chosen, now);
            }
        }
    }
    assert!((10..=24).contains(&polls), "{polls}");
}

#[test]
fn boxes_of_one_region_spread_over_its_replicas() {
    let now = Instant::now();
    let mut counts = BTreeMap::new();
    for place in 0..100 {
        let mut selector = ReplicaSelector::new(f64::from(place) / 100.0);
        let chosen = selector.choose(&replicas(), |_| None, now).unwrap();
        *counts.entry(chosen).or_insert(0) += 1;
    }
    assert!(counts.values().all(|count| *count == 20), "{counts:?}");
}

#[test]
fn with_one_region_a_box_stays_where_it_is_answered() {
    let now = Instant::now();
    let mut selector = ReplicaSelector::new(0.6);
    let ask = |selector: &mut ReplicaSelector| selector.choose(&replicas(), |_| None, now).unwrap();
    let first = ask(&mut selector);
    selector.record_success(&first);
    assert_eq!(ask(&mut selector), first);
    selector.record_failure(&first, now);
    let next = ask(&mut selector);
    assert_ne!(next, first);
    selector.record_success(&next);
    assert_eq!(ask(&mut selector), next);
}
