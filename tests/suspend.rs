//! Suspensions of the machine for seconds, during which the monotonic clock stands still.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;

use std::time::Duration;

use emberturn::clock::{self, ClockReading, SuspendDetector};
use platform::{Act, StandIn, TestRelay, document, usual_routes};

/// A reading with the clocks in milliseconds; `spread` lies between the two readings of the monotonic clock.
fn reading(monotonic: u64, boot: u64, spread: u64) -> ClockReading {
    let ms = Duration::from_millis;
    ClockReading {
        monotonic_before: ms(monotonic),
        boot: ms(boot),
        monotonic_after: ms(monotonic + spread),
    }
}

#[test]
fn only_suspensions_add_to_the_suspended_time() {
    let mut detector = SuspendDetector::new();
    // The initial offset comes from suspensions before the process started and is not counted.
    assert_eq!(detector.observe(reading(1_000, 61_000, 0)), 0);
    assert_eq!(detector.observe(reading(2_000, 62_004, 0)), 0);
    assert_eq!(detector.observe(reading(2_100, 67_100, 0)), 5_000);
    assert_eq!(detector.observe(reading(2_200, 67_200, 0)), 5_000);
    assert_eq!(detector.observe(reading(9_000, 75_000, 0)), 6_000);
}

#[test]
fn pause_of_the_process_during_a_reading_is_not_a_suspension() {
    let mut detector = SuspendDetector::new();
    detector.observe(reading(1_000, 1_000, 0));
    assert_eq!(detector.observe(reading(2_000, 7_000, 5_000)), 0);
    assert_eq!(detector.observe(reading(7_000, 7_000, 0)), 0);
}

/// Guards against serving requests by routes and API keys that expired during a suspension: by the monotonic
/// clock alone they would still look fresh. The box refuses requests until a new document arrives.
#[tokio::test]
async fn box_does_not_use_expired_api_keys_after_a_suspension() {
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    let relay = TestRelay::start(&[&server]).await;
    assert_eq!(relay.ask("POST", "once").await.status, 200);
    clock::advance(Duration::from_secs(10));
    let reply = relay.ask("POST", "once").await;
    assert_eq!((reply.status, server.seen().len()), (503, 1), "{reply:?}");
    relay.publish(&document(2, &usual_routes()));
    assert_eq!(relay.ask("POST", "once").await.status, 200);
}
