//! The teams' limits by the size of the fleet, from the model of [`emberturn_bench::fleet`].

use emberturn_bench::fleet::{Costs, Fleet};

use crate::report::Table;

/// Boxes of the fleets.
const SIZES: [u32; 6] = [30, 100, 300, 986, 1_500, 1_972];

/// Requests a second at a box, and boxes a team, as in the largest fleet that is served.
const RATE: f64 = 0.7;
const BOXES_A_TEAM: u32 = 3;

/// Seconds of a play.
const LENGTH: f64 = 20.0;

/// Plays a fleet of each size and prints what became of it.
pub(crate) fn execute(json: bool) {
    let columns = ["boxes", "requests", "refused", "messages/s", "cores", "queue", "wait p99, ms"];
    let mut table = Table::new("Limits by the size of the fleet", &columns);
    for boxes in SIZES {
        let (teams, costs) = (boxes / BOXES_A_TEAM, Costs::default());
        let without_leader = None;
        let fleet =
            Fleet { boxes, teams, rate: RATE, ample: 1.8, without_leader, length: LENGTH, costs };
        let outcome = fleet.play(1);
        table.row(vec![
            outcome.boxes.to_string(),
            outcome.requests.to_string(),
            outcome.refused.to_string(),
            format!("{:.0}", outcome.messages),
            format!("{:.3}", outcome.processor),
            outcome.queue.to_string(),
            format!("{:.1}", outcome.wait),
        ]);
    }
    table.print(json);
}
