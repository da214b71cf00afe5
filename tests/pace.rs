//! How often boxes report, and look for a leader that they lost, by how many there are.

use std::time::Duration;

use emberturn::decide::allowance::LEASE_DURATION;
use emberturn::decide::intervals::{HEARTBEAT_INTERVAL, heartbeat_interval, retry_delay};

#[test]
fn leader_is_sent_no_more_heartbeats_by_a_larger_fleet() {
    for boxes in [1, 30, 100, 300] {
        assert_eq!(heartbeat_interval(boxes), HEARTBEAT_INTERVAL);
    }
    for boxes in [400, 986, 2_000] {
        let per_second = f64::from(boxes) / heartbeat_interval(boxes).as_secs_f64();
        assert!(per_second <= 1_001.0, "{boxes} boxes: {per_second} a second");
    }
}

#[test]
fn lease_spans_two_heartbeats_at_any_size() {
    for boxes in [1, 300, 986, 2_000, 10_000] {
        assert!(2 * heartbeat_interval(boxes) + Duration::from_secs(1) < LEASE_DURATION, "{boxes}");
    }
}

#[test]
fn boxes_that_lost_the_leader_bring_no_storm() {
    for boxes in [300, 986, 1_972] {
        // From the fifth attempt on, 0.8 s at most after the loss.
        let passed: Duration = (0..5).map(|failed| retry_delay(boxes, failed)).sum();
        assert!(passed < Duration::from_millis(1_600), "{passed:?}");
        for failed in 5..100 {
            let per_second = f64::from(boxes) / retry_delay(boxes, failed).as_secs_f64();
            assert!(per_second <= 2_001.0, "{boxes} boxes: {per_second} a second");
        }
    }
    // In a small fleet a lost leader is looked for without a pause that callers feel.
    assert!((0..100).all(|failed| retry_delay(30, failed) <= Duration::from_millis(50)));
}
