//! Tests how orders count until the list shows their effect, and when the next one is due.

use emberturn::decide::orders::{EnginePool, OrderTracker};
use emberturn::decide::spend::EngineCount;

const BOOT: f64 = 4.0;

fn spot() -> EnginePool {
    EnginePool { data_centre: "a".parse().unwrap(), spot: true }
}

fn on_demand() -> EnginePool {
    EnginePool { spot: false, ..spot() }
}

/// The expected engines at each reading of a list that shows `serving` engines, one reading per second.
fn expected(tracker: &mut OrderTracker, pool: &EnginePool, from: f64, serving: &[u32]) -> Vec<u32> {
    let times = (0..).map(|second| from + f64::from(second));
    times
        .zip(serving)
        .map(|(now, serving)| tracker.engine_count(now, pool, *serving, BOOT).expected)
        .collect()
}

#[test]
fn order_for_more_engines_counts_until_the_list_must_show_it() {
    let mut tracker = OrderTracker::default();
    tracker.record_order(0.0, spot(), 6);
    assert_eq!(expected(&mut tracker, &spot(), 0.0, &[2, 2, 2, 2, 4, 6, 6, 6]), [6; 8]);
    tracker.record_order(10.0, spot(), 9);
    assert_eq!(expected(&mut tracker, &spot(), 10.0, &[6; 7]), [9, 9, 9, 9, 9, 9, 6]);
}

#[test]
fn order_is_void_once_all_its_serving_engines_are_reclaimed() {
    // An order for more engines: booting engines of the data centre are lost together with the serving
    // ones.
    let mut tracker = OrderTracker::default();
    tracker.record_order(0.0, spot(), 9);
    assert_eq!(expected(&mut tracker, &spot(), 0.0, &[6, 6, 0, 0]), [9, 9, 0, 0]);
    // An order for fewer engines.
    tracker.record_order(10.0, spot(), 6);
    assert_eq!(expected(&mut tracker, &spot(), 10.0, &[10, 10, 6, 0]), [6, 6, 6, 0]);
    // The order is due again at once, as nothing is pending.
    assert!(tracker.is_due(13.0, &spot(), 6, EngineCount::default(), BOOT));
}

#[test]
fn order_for_fewer_engines_adds_none() {
    let mut tracker = OrderTracker::default();
    tracker.record_order(0.0, spot(), 6);
    // Two of the six engines that were to stay are lost.
    assert_eq!(expected(&mut tracker, &spot(), 0.0, &[10, 10, 4, 4]), [6, 6, 4, 4]);
}

#[test]
fn loss_of_one_engine_leaves_the_booting_ones_expected() {
    let mut tracker = OrderTracker::default();
    tracker.record_order(0.0, on_demand(), 8);
    assert_eq!(expected(&mut tracker, &on_demand(), 0.0, &[4, 4, 3, 3, 5]), [8, 8, 7, 7, 7]);
    // The only serving engine is lost. On-demand engines fail independently, so the rest still boots.
    tracker.record_order(10.0, on_demand(), 8);
    assert_eq!(expected(&mut tracker, &on_demand(), 10.0, &[1, 0]), [8, 7]);
}

#[test]
fn refusal_keeps_an_earlier_order_while_engines_serve() {
    let mut tracker = OrderTracker::default();
    tracker.record_order(0.0, spot(), 6);
    tracker.engine_count(1.0, &spot(), 2, BOOT);
    tracker.record_refusal(2.0, spot());
    // Some serve, so the booting ones are still expected.
    assert_eq!(expected(&mut tracker, &spot(), 2.0, &[2, 4, 6]), [6, 6, 6]);
    // None serves, so there are none: the booting ones were reclaimed as well.
    let mut tracker = OrderTracker::default();
    tracker.record_order(0.0, spot(), 6);
    tracker.engine_count(1.0, &spot(), 0, BOOT);
    tracker.record_refusal(2.0, spot());
    assert_eq!(expected(&mut tracker, &spot(), 2.0, &[0, 0]), [0, 0]);
}
