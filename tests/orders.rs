//! What orders for engines stand for, and when the next one is due.

use emberturn::decide::orders::{EnginePool, OrderTracker};
use emberturn::decide::spend::EngineCount;

const BOOT: f64 = 4.0;

fn spot() -> EnginePool {
    EnginePool { data_centre: "a".parse().unwrap(), spot: true }
}

fn on_demand() -> EnginePool {
    EnginePool { spot: false, ..spot() }
}

/// What is coming at each reading of a list that shows `serving` engines, one reading a second.
fn coming(book: &mut OrderTracker, place: &EnginePool, from: f64, serving: &[u32]) -> Vec<u32> {
    let times = (0..).map(|second| from + f64::from(second));
    times
        .zip(serving)
        .map(|(now, serving)| book.engine_count(now, place, *serving, BOOT).expected)
        .collect()
}

#[test]
fn order_for_more_stands_until_the_list_must_show_it() {
    let mut book = OrderTracker::default();
    book.record_order(0.0, spot(), 6);
    assert_eq!(coming(&mut book, &spot(), 0.0, &[2, 2, 2, 2, 4, 6, 6, 6]), [6; 8]);
    book.record_order(10.0, spot(), 9);
    assert_eq!(coming(&mut book, &spot(), 10.0, &[6; 7]), [9, 9, 9, 9, 9, 9, 6]);
}

#[test]
fn order_stands_for_nothing_once_all_that_served_was_reclaimed() {
    // For more: what boots in the data centre goes with what serves.
    let mut book = OrderTracker::default();
    book.record_order(0.0, spot(), 9);
    assert_eq!(coming(&mut book, &spot(), 0.0, &[6, 6, 0, 0]), [9, 9, 0, 0]);
    // For fewer.
    book.record_order(10.0, spot(), 6);
    assert_eq!(coming(&mut book, &spot(), 10.0, &[10, 10, 6, 0]), [6, 6, 6, 0]);
    // It is due again at once: nothing is under way.
    assert!(book.is_due(13.0, &spot(), 6, EngineCount::default(), BOOT));
}

#[test]
fn order_for_fewer_brings_none() {
    let mut book = OrderTracker::default();
    book.record_order(0.0, spot(), 6);
    // Two of the six that were to stay are lost.
    assert_eq!(coming(&mut book, &spot(), 0.0, &[10, 10, 4, 4]), [6, 6, 4, 4]);
}

#[test]
fn order_stands_for_what_boots_where_one_engine_is_lost() {
    let mut book = OrderTracker::default();
    book.record_order(0.0, on_demand(), 8);
    assert_eq!(coming(&mut book, &on_demand(), 0.0, &[4, 4, 3, 3, 5]), [8, 8, 7, 7, 7]);
    // The only one that serves is lost: engines on demand go one by one, and the rest boots.
    book.record_order(10.0, on_demand(), 8);
    assert_eq!(coming(&mut book, &on_demand(), 10.0, &[1, 0]), [8, 7]);
}

#[test]
fn refusal_says_no_more_than_that_there_are_no_further_ones() {
    let mut book = OrderTracker::default();
    book.record_order(0.0, spot(), 6);
    book.engine_count(1.0, &spot(), 2, BOOT);
    book.record_refusal(2.0, spot());
    // Some serve: those that boot still come.
    assert_eq!(coming(&mut book, &spot(), 2.0, &[2, 4, 6]), [6, 6, 6]);
    // None serve, so none are there: what booted was reclaimed as well.
    let mut book = OrderTracker::default();
    book.record_order(0.0, spot(), 6);
    book.engine_count(1.0, &spot(), 0, BOOT);
    book.record_refusal(2.0, spot());
    assert_eq!(coming(&mut book, &spot(), 2.0, &[0, 0]), [0, 0]);
}
