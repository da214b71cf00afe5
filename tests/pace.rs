//! The intervals of heartbeats and of attempts to find a lost leader, by the size of the fleet.

use std::time::Duration;

use emberturn::decide::allowance::LEASE_DURATION;
use emberturn::decide::intervals::{HEARTBEAT_INTERVAL, heartbeat_interval, retry_delay};

#[test]
fn heartbeats_per_second_are_bounded_in_a_large_fleet() {
    for boxes in [1, 30, 100, 300] {
        assert_eq!(heartbeat_interval(boxes), HEARTBEAT_INTERVAL);
    }
    for boxes in [400, 986, 2_000] {
        let per_second = f64::from(boxes) / heartbeat_interval(boxes).as_secs_f64();
        assert!(per_second <= 1_001.0, "{boxes} boxes: {per_second} a second");
    }
}

#[test]
fn lease_outlasts_two_heartbeats_in_a_fleet_of_any_size() {
    for boxes in [1, 300, 986, 2_000, 10_000] {
        assert!(2 * heartbeat_interval(boxes) + Duration::from_secs(1) < LEASE_DURATION, "{boxes}");
    }
}

#[test]
fn attempts_to_find_a_lost_leader_are_bounded() {
    for boxes in [300, 986, 1_972] {
        // The bound below holds after five attempts, less than 1.6 s after the loss.
        let elapsed: Duration = (0..5).map(|failed| retry_delay(boxes, failed)).sum();
        assert!(elapsed < Duration::from_millis(1_600), "{elapsed:?}");
        for failed in 5..100 {
            let per_second = f64::from(boxes) / retry_delay(boxes, failed).as_secs_f64();
            assert!(per_second <= 2_001.0, "{boxes} boxes: {per_second} a second");
        }
    }
    // In a small fleet the attempts are so frequent that callers don't notice a delay.
    assert!((0..100).all(|failed| retry_delay(30, failed) <= Duration::from_millis(50)));
}
