//! Limits of hundreds of teams over fleets of 100 boxes to 2,000, in the model of [`emberturn_bench::fleet`].

use emberturn_bench::fleet::{Costs, Fleet, Outcome};

/// A fleet in which a box sees a team once in minutes, and each team is well within its limit.
fn sparse(boxes: u32) -> Fleet {
    let (teams, costs) = (boxes / 3, Costs::default());
    Fleet { boxes, teams, rate: 0.7, ample: 1.8, without_leader: None, length: 12.0, costs }
}

fn play(fleet: Fleet) -> Outcome {
    let outcome = fleet.play(7);
    println!("{outcome:?}");
    outcome
}

#[test]
fn request_within_its_teams_limit_is_not_refused_whatever_the_size() {
    for boxes in [100, 300, 986] {
        let outcome = play(sparse(boxes));
        assert!(outcome.requests > 500);
        assert_eq!(outcome.refused, 0, "{boxes} boxes");
        assert!(outcome.wait < 5.0, "{boxes} boxes: {} ms", outcome.wait);
    }
}

#[test]
fn request_within_its_teams_limit_is_not_refused_at_two_thousand_boxes() {
    assert_eq!(play(Fleet { length: 8.0, ..sparse(1_972) }).refused, 0);
}

#[test]
fn leaders_processor_is_bounded_at_a_thousand_boxes_and_at_two_thousand() {
    for (boxes, bound) in [(986, 0.15), (1_972, 0.2)] {
        let outcome = play(Fleet { length: 8.0, ..sparse(boxes) });
        assert!(outcome.processor < bound, "{boxes} boxes: {} of a core", outcome.processor);
    }
}

#[test]
fn lost_leader_costs_no_refusals_two_seconds_after_the_next_one_is_there() {
    let outcome = play(Fleet { without_leader: Some((5.0, 6.5)), ..sparse(300) });
    assert_eq!(outcome.refused_late, 0, "{outcome:?}");
}
