//! Teams that use what their window allows ahead of their rate: none is refused inside it, and no
//! window is passed, also when leaders change.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use emberturn::decide::level::{Limit, Tolerance};
use emberturn::decide::limits::{BoxWord, Heard, Recall, TeamLimits};
use emberturn::ids::{BoxId, TeamName};
use emberturn::relay::allowance::{Allowed, TeamDemand};
use emberturn::state::ahead::AheadNote;

const LIMIT: Limit = Limit { rate: 1_000.0, burst: 1_000.0 };
const TOLERANCE: Tolerance = Tolerance { window: 8.0, overshoot: 0.1, slack: 500.0 };

/// What the limit allows in a window.
const WINDOW: f64 = LIMIT.rate * TOLERANCE.window + LIMIT.burst;

/// Seconds between two beats of a box.
const BEAT: f64 = 0.4;

fn team() -> TeamName {
    "team-a".parse().unwrap()
}

/// Boxes that bring a team's demand, and the leader that allows it.
struct Fleet {
    boxes: Vec<BoxId>,
    allowed: BTreeMap<BoxId, Allowed>,
    told: BTreeMap<BoxId, TeamDemand>,
    leader: TeamLimits,
    /// When the leader began, on the fleet's clock.
    since: f64,
    now: f64,
    /// What was let in, with its time.
    used: Vec<(f64, f64)>,
    /// What the group has noted.
    noted: AheadNote,
    /// What each box has told, and when its process started.
    told_before: BTreeMap<BoxId, (f64, Vec<(f64, f64)>)>,
    /// Boxes that have told the leader what they told former ones.
    recalled: BTreeSet<BoxId>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let boxes = (0..count).map(|place| format!("box-{place}").parse().unwrap()).collect();
        Self {
            boxes,
            allowed: BTreeMap::new(),
            told: BTreeMap::new(),
            leader: leader(&AheadNote::default()),
            since: 0.0,
            now: 0.0,
            used: Vec::new(),
            noted: AheadNote::default(),
            told_before: BTreeMap::new(),
            recalled: BTreeSet::new(),
        }
    }

    /// The leader is lost; the next one finds what the group has noted.
    fn change_leader(&mut self) {
        self.leader = leader(&self.noted);
        self.since = self.now;
        self.recalled.clear();
    }

    /// Every process is lost: what the boxes used since their last beats is told to nobody.
    fn stop_all(&mut self) {
        self.change_leader();
        self.allowed.clear();
        self.told.clear();
        self.told_before.clear();
    }

    /// The process of one box is lost.
    fn stop(&mut self, place: usize) {
        let box_id = &self.boxes[place];
        self.allowed.remove(box_id);
        self.told.remove(box_id);
        self.told_before.remove(box_id);
    }

    /// Lets the team ask for `rate` a second, unevenly over the boxes, for `seconds`; the part served.
    fn run(&mut self, seconds: f64, rate: f64) -> f64 {
        let end = self.now + seconds;
        let (mut asked, mut served) = (0.0, 0.0);
        let count = self.boxes.len();
        while self.now < end {
            for place in 0..count {
                let weight = 2.0 * (place as f64 + 0.5) / (count * count) as f64;
                let wanted = rate * BEAT * weight;
                let box_id = self.boxes[place].clone();
                let mut taken = self.take(&box_id, wanted);
                self.beat(&box_id);
                // A box that runs out without having been told so asks at once.
                let wait = self.allowed.get(&box_id).map_or(0.0, |it| it.wait);
                if taken < wanted && wait == 0.0 {
                    taken += self.take(&box_id, wanted - taken);
                    self.beat(&box_id);
                }
                asked += wanted;
                served += taken;
                self.now += BEAT / count as f64;
            }
        }
        served / asked
    }

    /// Uses as much of what is wanted as the box is allowed.
    fn take(&mut self, box_id: &BoxId, wanted: f64) -> f64 {
        let allowed = self.allowed.entry(box_id.clone()).or_default();
        let taken = wanted.min(allowed.amount);
        allowed.amount -= taken;
        self.used.push((self.now, taken));
        let told = self.told.entry(box_id.clone()).or_default();
        told.used += taken;
        told.refused += wanted - taken;
        taken
    }

    fn beat(&mut self, box_id: &BoxId) {
        let told = self.told.remove(box_id).unwrap_or_default();
        let demand = BTreeMap::from([(team(), told)]);
        let (started, before) =
            self.told_before.entry(box_id.clone()).or_insert((self.now, vec![]));
        let ages = before.iter().map(|(at, used)| (self.now - at, *used)).collect();
        let used = BTreeMap::from([(team(), ages)]);
        let recall = Recall { uptime: self.now - *started, used };
        before.push((self.now, told.used));
        let first = self.recalled.insert(box_id.clone());
        let recall = first.then_some(&recall);
        let heard = Heard { boxes: self.boxes.len(), all: true };
        let word = BoxWord { box_id, demand: &demand, recall };
        let reply = self.leader.hear(self.now - self.since, word, heard);
        if let Some(allowed) = reply.get(&team()) {
            self.allowed.insert(box_id.clone(), *allowed);
        }
        if let Some(note) = self.leader.next_note(self.boxes.len()) {
            self.noted = note.clone();
            self.leader.end_note(Some(note));
        }
    }

    /// The most that was let in within a window.
    fn most(&self) -> f64 {
        let within = |from: f64| {
            let inside =
                self.used.iter().filter(|(at, _)| (from..from + TOLERANCE.window).contains(at));
            inside.map(|(_, used)| used).sum::<f64>()
        };
        self.used.iter().map(|(at, _)| within(*at)).fold(0.0, f64::max)
    }
}

fn leader(noted: &AheadNote) -> TeamLimits {
    let mut leader = TeamLimits::new(Arc::new(noted.clone()), TOLERANCE);
    leader.follow(BTreeMap::from([(team(), LIMIT)]));
    leader
}

fn bound() -> f64 {
    WINDOW * (1.0 + TOLERANCE.overshoot) + TOLERANCE.slack
}

#[test]
fn wave_that_its_window_allows_is_let_in() {
    for count in [1, 8, 60] {
        let mut fleet = Fleet::new(count);
        fleet.run(20.0, 300.0);
        // Two seconds at three times the rate: 6,000 and 2,400 from before, of 9,000.
        let served = fleet.run(2.0, 3_000.0);
        assert!(served > 0.9, "{count} boxes served {served} of a wave inside its window");
        assert!(fleet.most() <= bound(), "{count} boxes let in {}", fleet.most());
    }
}

#[test]
fn greedy_team_never_passes_its_window() {
    for count in [1, 8, 60] {
        let mut fleet = Fleet::new(count);
        fleet.run(20.0, 300.0);
        fleet.run(40.0, 5_000.0);
        assert!(fleet.most() <= bound(), "{count} boxes let in {}", fleet.most());
        let all: f64 = fleet.used.iter().map(|(_, used)| used).sum();
        assert!(all > 0.85 * LIMIT.rate * 40.0, "{count} boxes were held to {all} in all");
    }
}

#[test]
fn change_of_leader_behind_a_wave_does_not_allow_it_again() {
    for (count, after) in [(1, 1.0), (8, 0.5), (8, 2.0), (8, 4.0), (60, 2.5)] {
        let mut fleet = Fleet::new(count);
        fleet.run(20.0, 300.0);
        fleet.run(after, 4_500.0);
        fleet.change_leader();
        fleet.run(12.0, 4_500.0);
        assert!(fleet.most() <= bound(), "{count} boxes let in {}", fleet.most());
    }
}

#[test]
fn stop_of_everything_behind_a_wave_does_not_allow_it_again() {
    for after in [0.5, 2.0, 3.0, 6.0] {
        let mut fleet = Fleet::new(8);
        fleet.run(20.0, 300.0);
        fleet.run(after, 4_500.0);
        fleet.stop_all();
        fleet.run(12.0, 4_500.0);
        assert!(fleet.most() <= bound(), "after {after} s: let in {}", fleet.most());
    }
}

#[test]
fn new_leader_that_hears_all_boxes_lets_in_what_the_window_still_allows() {
    let mut fleet = Fleet::new(8);
    fleet.run(20.0, 300.0);
    fleet.run(0.8, 4_000.0);
    fleet.change_leader();
    fleet.run(0.8, 0.0);
    let served = fleet.run(0.8, 3_500.0);
    assert!(served > 0.9, "served {served} inside the window");
    assert!(fleet.most() <= bound(), "let in {}", fleet.most());
}

#[test]
fn processes_that_end_behind_a_wave_with_the_leader_do_not_allow_it_again() {
    for stopped in [1, 3, 6] {
        let mut fleet = Fleet::new(8);
        fleet.run(20.0, 300.0);
        fleet.run(2.5, 4_500.0);
        (0..stopped).for_each(|place| fleet.stop(7 - place));
        fleet.change_leader();
        fleet.run(12.0, 4_500.0);
        assert!(fleet.most() <= bound(), "{stopped} stopped: let in {}", fleet.most());
    }
}

#[test]
fn note_goes_once_the_rate_has_made_up_for_the_wave() {
    let mut fleet = Fleet::new(4);
    fleet.run(20.0, 300.0);
    fleet.run(2.0, 4_000.0);
    assert_eq!(fleet.noted.teams, BTreeSet::from([team()]));
    fleet.run(20.0, 100.0);
    assert_eq!(fleet.noted.teams, BTreeSet::new());
    let served = fleet.run(2.0, 3_500.0);
    assert!(served > 0.9, "served {served} of the next wave");
}

#[test]
fn nobody_goes_ahead_while_a_box_is_not_heard() {
    let mut fleet = Fleet::new(4);
    fleet.run(20.0, 300.0);
    let used = TeamDemand { used: 1_500.0, refused: 0.0 };
    let demand = BTreeMap::from([(team(), used)]);
    let box_id = fleet.boxes[0].clone();
    let word = BoxWord { box_id: &box_id, demand: &demand, recall: None };
    fleet.leader.hear(fleet.now, word, Heard { boxes: 3, all: false });
    assert_eq!(fleet.leader.next_note(3), None);
    let word = BoxWord { box_id: &box_id, demand: &BTreeMap::new(), recall: None };
    fleet.leader.hear(fleet.now, word, Heard { boxes: 4, all: true });
    let note = AheadNote { teams: BTreeSet::from([team()]), boxes: 4 };
    assert_eq!(fleet.leader.next_note(4), Some(note));
}
