//! A machine that is suspended for seconds, while its steady clock stands still.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;

use std::time::Duration;

use emberturn::clock::{self, Reading, SuspendWatch};
use platform::{Act, StandIn, TestRelay, document, usual_routes};

fn reading(steady: u64, counted: u64, took: u64) -> Reading {
    let ms = Duration::from_millis;
    Reading { before: ms(steady), counted: ms(counted), behind: ms(steady + took) }
}

#[test]
fn suspensions_add_up_and_nothing_else_does() {
    let mut watch = SuspendWatch::new();
    // The clocks start apart: what was before this process is not its concern.
    assert_eq!(watch.look(reading(1_000, 61_000, 0)), 0);
    assert_eq!(watch.look(reading(2_000, 62_004, 0)), 0);
    assert_eq!(watch.look(reading(2_100, 67_100, 0)), 5_000);
    assert_eq!(watch.look(reading(2_200, 67_200, 0)), 5_000);
    assert_eq!(watch.look(reading(9_000, 75_000, 0)), 6_000);
}

#[test]
fn process_that_stood_still_between_two_readings_was_not_suspended() {
    let mut watch = SuspendWatch::new();
    watch.look(reading(1_000, 1_000, 0));
    assert_eq!(watch.look(reading(2_000, 7_000, 5_000)), 0);
    assert_eq!(watch.look(reading(7_000, 7_000, 0)), 0);
}

/// The box wakes with routes and keys that were the newest just before, by a clock that stood still.
#[tokio::test]
async fn box_that_wakes_does_not_run_by_the_keys_of_before() {
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    let relay = TestRelay::start(&[&server]).await;
    assert_eq!(relay.ask("POST", "once").await.status, 200);
    clock::advance(Duration::from_secs(10));
    let reply = relay.ask("POST", "once").await;
    assert_eq!((reply.status, server.seen().len()), (503, 1), "{reply:?}");
    relay.publish(&document(2, &usual_routes()));
    assert_eq!(relay.ask("POST", "once").await.status, 200);
}
