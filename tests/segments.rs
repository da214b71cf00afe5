//! Decisions on prompt segments that crash servers: what the quarantine blames when unlike requests have a segment in
//! common, and what sound requests with the same other segments show.

use std::sync::Arc;
use std::time::{Duration, Instant};

use emberturn::decide::ends::{CrashReport, CrashedPrompt};
use emberturn::decide::quarantine::{
    BoxQuarantine, FIRST_SEGMENT_TIME, FleetQuarantine, QuarantineReport, SegmentSurvivals,
};
use emberturn::ids::{Fingerprint, SegmentKey, SegmentSet, Suspect};
use emberturn::state::quarantine::QuarantinedSuspects;
use emberturn::units::{Millis, UnixMillis};
use yare::parameterized;

const NOW: UnixMillis = UnixMillis(1_764_720_000_000);

/// A segment that every prompt begins with, and one that crashes servers.
const FIRST: u64 = 0xc0;
const POISON: u64 = 0xbad;

fn key(id: u64) -> SegmentKey {
    SegmentKey { service: "svc".parse().unwrap(), id }
}

fn segment(id: u64) -> Suspect {
    Suspect::Segment(key(id))
}

fn request(number: u8) -> Suspect {
    Suspect::Request(Fingerprint([number; 16]))
}

fn combination(ids: &[u64]) -> Suspect {
    let ids = ids.iter().copied().collect();
    Suspect::Combination(SegmentSet::new("svc".parse().unwrap(), ids).unwrap())
}

fn prompt(number: u8, segments: &[u64]) -> CrashedPrompt {
    let segments = segments.iter().map(|id| key(*id)).collect();
    CrashedPrompt { request: Some(Fingerprint([number; 16])), segments }
}

/// A box and a leader on a clock of their own.
struct Fleet {
    boxes: Vec<BoxQuarantine>,
    leader: FleetQuarantine,
    replicated: QuarantinedSuspects,
    now: Instant,
    unix: UnixMillis,
    version: u64,
    servers: u32,
}

impl Fleet {
    fn new(boxes: usize) -> Self {
        let mut leader = FleetQuarantine::default();
        leader.apply_replicated(Arc::default());
        let boxes = (0..boxes).map(|_| BoxQuarantine::default()).collect();
        Self {
            boxes,
            leader,
            replicated: QuarantinedSuspects::new(),
            now: Instant::now(),
            unix: NOW,
            version: 0,
            servers: 0,
        }
    }

    /// Has every box exchange a heartbeat with the leader, and time pass.
    fn beat(&mut self) {
        for own in &mut self.boxes {
            self.now += Duration::from_millis(100);
            self.version += 1;
            let report = own.report(self.now);
            self.leader.apply_report(report.clone(), self.now);
            self.leader.evaluate(self.now, self.unix);
            let update = self.leader.update_for(report.known_version, self.version, self.unix);
            own.apply_reply(&report, update, false, self.now);
        }
    }

    fn crash_in(&mut self, place: usize, data_centre: &str, prompts: Vec<CrashedPrompt>) {
        self.servers += 1;
        let report = CrashReport {
            server: format!("i-{}", self.servers).parse().unwrap(),
            data_centre: data_centre.parse().unwrap(),
            prompts,
            age: Millis(0),
        };
        self.boxes[place].record_crash(report, self.now);
    }

    /// A server crashes as it begins an unlike request with these segments, which came to a box.
    fn crash(&mut self, place: usize, segments: &[u64]) {
        let own = prompt((self.servers % 200) as u8 + 50, segments);
        self.crash_in(place, &format!("dc-{}", self.servers), vec![own]);
    }

    fn answer(&mut self, place: usize, segments: &[u64]) {
        for id in segments {
            self.boxes[place].record_survival(&key(*id), self.now);
        }
    }

    /// Servers crash under unlike requests with these segments, one after the other, which came to different boxes.
    fn crash_slowly(&mut self, count: usize, segments: &[u64]) {
        for number in 0..count {
            self.now += Duration::from_millis(1_500);
            self.crash(number % self.boxes.len(), segments);
            self.beat();
        }
    }

    fn is_held(&self, place: usize, id: u64) -> bool {
        self.boxes[place].remaining(&segment(id), self.now).is_some()
    }

    /// Whether a box refuses a prompt with these shared segments.
    fn is_refused(&self, place: usize, segments: &[u64]) -> bool {
        let keys: Vec<_> = segments.iter().map(|id| key(*id)).collect();
        self.boxes[place].prompt_remaining(&keys, self.now).is_some()
    }

    /// Has the group replicate what the leader judged, and the leader learn that it has.
    fn replicate(&mut self) {
        if let Some(change) = self.leader.pending_change() {
            self.replicated.retain(|suspect, _| !change.lifted.contains(suspect));
            self.replicated.extend(change.held);
            self.leader.apply_replicated(Arc::new(self.replicated.clone()));
        }
    }

    /// Has another leader take over, which boxes tell again what they know.
    fn change_leader(&mut self) {
        self.leader = FleetQuarantine::default();
        self.leader.apply_replicated(Arc::new(self.replicated.clone()));
        for own in &mut self.boxes {
            own.apply_reply(&QuarantineReport::default(), None, true, self.now);
        }
    }

    /// Has every box lose what it remembers.
    fn restart_boxes(&mut self) {
        self.boxes.iter_mut().for_each(|it| *it = BoxQuarantine::default());
    }

    fn held(&self) -> Vec<Suspect> {
        let changes = self.leader.pending_change().unwrap_or_default();
        changes.held.into_keys().collect()
    }
}

#[test]
fn segment_of_unlike_requests_is_held_by_all_boxes_after_three_crashes() {
    let mut fleet = Fleet::new(9);
    for place in 0..9 {
        fleet.answer(place, &[FIRST, 0xa1]);
    }
    for place in [0, 3, 6] {
        assert!(!fleet.is_held(8, POISON));
        fleet.crash(place, &[FIRST, POISON]);
        fleet.beat();
    }
    fleet.beat();
    assert_eq!(fleet.held(), [segment(POISON)]);
    assert!((0..9).all(|place| fleet.is_held(place, POISON)));
    assert!(!(0..9).any(|place| fleet.is_held(place, FIRST)));
}

/// The boxes that see the crashes have not answered anything; another one has, and reports it once the segments are
/// suspected.
#[test]
fn first_segment_of_all_prompts_is_let_through_when_another_box_has_answered_with_it() {
    for number in 0..8 {
        let (first, poison) = (0x10 + number, 0x19 - number);
        let mut fleet = Fleet::new(9);
        for _ in 0..6 {
            fleet.answer(8, &[first, 0xa1]);
        }
        for place in [0, 1, 2] {
            fleet.crash(place, &[first, poison]);
            fleet.beat();
        }
        fleet.beat();
        assert_eq!(fleet.held(), [segment(poison)], "{number}");
        assert!(!fleet.is_held(8, first));
    }
}

/// Sound requests of the same caller wait on each server that crashes.
#[test]
fn segments_of_what_waits_beside_each_crash_are_not_held() {
    let mut fleet = Fleet::new(4);
    for round in 0..8_u64 {
        for place in 0..4 {
            fleet.answer(place, &[FIRST, 0xa1]);
        }
        // Of the prompts beside it, 0xa1 is frequent and each of the others is rare.
        let place = round as usize % 4;
        fleet.crash(place, &[FIRST, POISON, 0xa1, 0xe0 + round % 3]);
        fleet.beat();
    }
    assert_eq!(fleet.held(), [segment(POISON)]);
}

/// Prompts with the segment crash only every other server.
#[test]
fn segment_that_crashes_half_of_its_servers_is_held() {
    let mut fleet = Fleet::new(3);
    for crash in 0..5 {
        fleet.answer(crash % 3, &[FIRST, POISON]);
        fleet.answer((crash + 1) % 3, &[FIRST, 0xa1]);
        fleet.answer((crash + 2) % 3, &[FIRST, 0xa2]);
        fleet.crash(crash % 3, &[FIRST, POISON]);
        fleet.beat();
    }
    assert_eq!(fleet.held(), [segment(POISON)]);
}

#[test]
fn two_poison_segments_at_once_are_both_held() {
    let mut fleet = Fleet::new(3);
    for round in 0..3 {
        fleet.answer(round, &[FIRST, 0xa1]);
        fleet.crash(round, &[FIRST, POISON]);
        fleet.beat();
        fleet.answer(round, &[FIRST, 0xa1]);
        fleet.crash(round, &[FIRST, 0xbee]);
        fleet.beat();
    }
    fleet.beat();
    assert_eq!(fleet.held(), [segment(POISON), segment(0xbee)]);
}

/// Servers crash at the same moment in all data centres, with prompts that begin alike waiting on each.
#[test]
fn outage_of_many_servers_holds_no_segment() {
    let mut fleet = Fleet::new(3);
    for place in 0..3 {
        for _ in 0..4 {
            fleet.answer(place, &[FIRST, 0xa1]);
        }
    }
    for place in 0..3 {
        for _ in 0..2 {
            fleet.crash(place, &[FIRST, 0xa1]);
        }
    }
    fleet.beat();
    fleet.beat();
    assert_eq!(fleet.held(), []);
}

/// In a large fleet unlike requests crash a server every 40 ms, without a pause.
#[test]
fn segment_that_crashes_servers_without_a_pause_is_held() {
    let mut fleet = Fleet::new(3);
    fleet.answer(0, &[FIRST, 0xa1]);
    for number in 0..12 {
        fleet.now += Duration::from_millis(40);
        fleet.crash(number % 3, &[FIRST, POISON]);
    }
    fleet.beat();
    fleet.beat();
    assert_eq!(fleet.held(), [segment(POISON)]);
}

/// Two poison segments crash servers of one data centre every 40 ms in turn, without a pause.
#[test]
fn two_segments_that_crash_servers_of_one_data_centre_in_turn_are_held() {
    let mut fleet = Fleet::new(3);
    fleet.answer(0, &[FIRST, 0xa1]);
    for number in 0..24 {
        fleet.now += Duration::from_millis(40);
        let segments = [FIRST, if number % 2 == 0 { POISON } else { 0xbee }];
        let own = prompt(number + 50, &segments);
        fleet.answer(usize::from(number) % 3, &[FIRST, 0xa1]);
        fleet.crash_in(usize::from(number) % 3, "a", vec![own]);
    }
    fleet.beat();
    fleet.beat();
    assert_eq!(fleet.held(), [segment(POISON), segment(0xbee)]);
}

/// The crashes that count are those since the segment has become harmful.
#[test]
fn segment_that_was_sound_for_long_is_held_once_it_crashes_servers() {
    let mut fleet = Fleet::new(3);
    for round in 0..400 {
        fleet.answer(round % 3, &[FIRST, POISON]);
        // A crash of long ago, which other prompts had to do with.
        if round == 30 {
            fleet.crash(0, &[FIRST, POISON]);
        }
        fleet.beat();
    }
    fleet.now += Duration::from_secs(11);
    for place in 0..3 {
        fleet.answer(place, &[FIRST, 0xa1]);
        fleet.crash(place, &[FIRST, POISON]);
        fleet.beat();
    }
    fleet.beat();
    assert_eq!(fleet.held(), [segment(POISON)]);
}

#[test]
fn segment_held_for_anothers_crashes_is_let_through_by_answers() {
    let mut fleet = Fleet::new(2);
    for _ in 0..3 {
        fleet.crash(0, &[0xa1]);
        fleet.beat();
    }
    assert!(fleet.is_held(1, 0xa1));
    // Prompts with it were on their way, and are answered.
    for _ in 0..4 {
        fleet.answer(1, &[0xa1]);
    }
    fleet.beat();
    fleet.beat();
    assert!(!fleet.is_held(0, 0xa1) && !fleet.is_held(1, 0xa1));
}

/// A caller repeats one request; only once other requests crash servers as well is the segment to blame.
#[test]
fn segment_is_not_held_for_the_crashes_of_one_request() {
    let mut fleet = Fleet::new(2);
    for _ in 0..3 {
        fleet.answer(1, &[FIRST]);
        let repeated = prompt(1, &[FIRST, POISON]);
        fleet.crash_in(0, &format!("dc-{}", fleet.servers), vec![repeated]);
        fleet.beat();
    }
    assert_eq!(fleet.held(), [request(1)]);
    fleet.crash(0, &[FIRST, POISON]);
    fleet.beat();
    fleet.beat();
    assert_eq!(fleet.held(), [segment(POISON)]);
}

#[test]
fn segment_of_one_service_is_not_held_at_another() {
    let mut fleet = Fleet::new(1);
    for _ in 0..3 {
        fleet.crash(0, &[POISON]);
        fleet.beat();
    }
    let other = SegmentKey { service: "other".parse().unwrap(), id: POISON };
    let quarantine = &fleet.boxes[0];
    assert!(fleet.is_held(0, POISON));
    assert_eq!(quarantine.remaining(&Suspect::Segment(other), fleet.now), None);
}

/// The next leader knows nothing of the crashes, and has not stored anything; boxes report both sides again.
#[parameterized(
    at_the_third_crash = { 3 },
    before_it = { 2 },
)]
fn segment_is_held_although_the_leader_changes(crashes: usize) {
    let mut fleet = Fleet::new(3);
    for place in 0..3 {
        for _ in 0..4 {
            fleet.answer(place, &[FIRST, 0xa1]);
        }
    }
    for number in 0..3 {
        fleet.crash(number, &[FIRST, POISON]);
        if number + 1 == crashes {
            fleet.leader = FleetQuarantine::default();
            fleet.leader.apply_replicated(Arc::default());
            for own in &mut fleet.boxes {
                let report = own.report(fleet.now);
                own.apply_reply(&report, None, true, fleet.now);
            }
        }
        fleet.beat();
    }
    fleet.beat();
    assert_eq!(fleet.held(), [segment(POISON)]);
    assert!((0..3).all(|place| fleet.is_held(place, POISON) && !fleet.is_held(place, FIRST)));
}

/// A box without a leader goes by its own crashes and answers.
#[test]
fn box_without_a_leader_holds_the_segment_and_not_the_first() {
    let mut fleet = Fleet::new(1);
    for _ in 0..4 {
        fleet.answer(0, &[FIRST, 0xa1]);
    }
    for _ in 0..3 {
        fleet.now += Duration::from_millis(200);
        fleet.crash(0, &[FIRST, POISON]);
    }
    assert!(fleet.is_held(0, POISON) && !fleet.is_held(0, FIRST));
}

/// After its time a segment is let through; the first crash quarantines it again, for longer.
#[test]
fn segment_is_let_through_after_its_time_and_held_again_by_one_crash() {
    let mut fleet = Fleet::new(2);
    for _ in 0..5 {
        fleet.crash(0, &[POISON]);
        fleet.beat();
    }
    let first = FIRST_SEGMENT_TIME.as_millis() as u64;
    assert_eq!(fleet.leader.pending_change().unwrap().held[&segment(POISON)].0, NOW.0 + first);
    fleet.now += FIRST_SEGMENT_TIME;
    fleet.unix.0 += first;
    fleet.beat();
    fleet.beat();
    assert!(!fleet.is_held(0, POISON) && !fleet.is_held(1, POISON));
    // Crashes that have nothing to do with it change nothing.
    fleet.crash(0, &[FIRST]);
    fleet.beat();
    assert_eq!(fleet.held(), []);
    fleet.crash(1, &[FIRST, POISON]);
    fleet.beat();
    fleet.beat();
    assert_eq!(fleet.held(), [segment(POISON)]);
    let until = fleet.leader.pending_change().unwrap().held[&segment(POISON)];
    assert_eq!(until.0, fleet.unix.0 + 2 * first);
}

/// What crashed two servers is not sent to a further one by the box that it broke off at.
#[test]
fn segment_of_two_crashes_is_suspected_by_boxes_that_have_not_seen_it_answered() {
    let mut fleet = Fleet::new(2);
    fleet.answer(1, &[FIRST]);
    for _ in 0..2 {
        fleet.crash(0, &[FIRST, POISON]);
        fleet.beat();
    }
    let is_suspected = |place: usize, id| fleet.boxes[place].is_suspected(&key(id), fleet.now);
    assert!(is_suspected(0, POISON) && is_suspected(1, POISON));
    assert!(!is_suspected(1, FIRST));
}

/// Hundreds of unlike prompts, each with segments of its own.
#[test]
fn counts_of_segments_stay_within_bounds() {
    let mut fleet = Fleet::new(2);
    for number in 0..2_000 {
        fleet.answer(0, &[FIRST, 0x1_0000 + number]);
        if number % 20 == 0 {
            let segments: Vec<_> = (0..60).map(|it| 0x2_0000 + number * 60 + it).collect();
            fleet.crash(0, &segments);
            fleet.beat();
        }
        let report = fleet.boxes[0].report(fleet.now);
        assert!(report.survivals.len() <= 64, "{}", report.survivals.len());
    }
    assert_eq!(fleet.held(), []);
    let report = QuarantineReport {
        survivals: vec![SegmentSurvivals {
            segment: key(FIRST),
            count: u32::MAX,
            earlier: u32::MAX,
        }],
        ..QuarantineReport::default()
    };
    fleet.leader.apply_report(report.clone(), fleet.now);
    fleet.leader.apply_report(report, fleet.now);
}

/// A day of crashes with rare segments beside them does not push out the first segment of another kind of prompts.
#[test]
fn answers_for_a_new_first_segment_count_after_many_crashes() {
    let mut fleet = Fleet::new(2);
    for number in 0..200 {
        let rare: Vec<_> = (0..10).map(|it| 0x2_0000 + number * 10 + it).collect();
        fleet.answer(0, &rare);
        fleet.now += Duration::from_secs(1);
        fleet.crash(0, &rare);
        fleet.beat();
    }
    for _ in 0..8 {
        fleet.answer(0, &[0xf0]);
        fleet.answer(1, &[0xf0]);
    }
    for place in [0, 1, 0, 1] {
        fleet.crash(place, &[0xf0, POISON]);
        fleet.beat();
    }
    fleet.beat();
    assert_eq!(fleet.held(), [segment(POISON)]);
}

#[test]
fn names_of_suspects_are_read_as_they_are_written() {
    let names = [
        (segment(0x5c1e), "svc/5c1e".to_owned()),
        (combination(&[0x5c1e, 0xb, 0xa]), "svc/a+b+5c1e".to_owned()),
        (request(0xa7), "a7".repeat(16)),
    ];
    for (suspect, text) in names {
        assert_eq!(suspect.to_string(), text);
        assert_eq!(text.parse::<Suspect>().unwrap(), suspect);
    }
    let wrong_segments =
        ["svc/", "svc/+1", "/1", "svc/12345678901234567", "svc/xyz", "a b/1", "a7"];
    let wrong_combinations = ["svc/1+", "svc/1+1", "svc/1++2", "svc/1+x", "/1+2"];
    for wrong in wrong_segments.into_iter().chain(wrong_combinations) {
        assert!(wrong.parse::<Suspect>().is_err(), "{wrong}");
    }
}

/// Equal evidence: nothing sound came for long, and each prompt that crashes a server begins like all others. A shared
/// segment was blamed for them if its id was the larger one.
#[parameterized(
    before_the_poison_in_order = { 0x10 },
    behind_it = { 0xf_ffff },
)]
fn first_segment_is_not_blamed_for_crashes_in_a_quiet_spell(first: u64) {
    let mut fleet = Fleet::new(3);
    for place in 0..3 {
        fleet.answer(place, &[first, 0xa1]);
    }
    fleet.now += Duration::from_secs(12);
    fleet.crash_slowly(3, &[first, POISON]);
    fleet.beat();
    assert_eq!(fleet.held(), [segment(POISON)]);
}

/// A server that crashes beside them leaves the first segment with one crash more.
#[test]
fn first_segment_with_a_crash_of_another_cause_is_not_blamed_in_a_quiet_spell() {
    let mut fleet = Fleet::new(3);
    for place in 0..3 {
        for _ in 0..20 {
            fleet.answer(place, &[FIRST, 0xa1]);
        }
    }
    fleet.now += Duration::from_secs(60);
    fleet.crash(0, &[FIRST, 0xa1]);
    fleet.crash_slowly(3, &[FIRST, POISON]);
    fleet.beat();
    assert_eq!(fleet.held(), [segment(POISON)]);
}

/// Many segments that were answered once each do not push the first one out of a box's memory.
#[test]
fn first_segment_that_was_answered_long_ago_is_remembered_beside_many_others() {
    let mut fleet = Fleet::new(1);
    for _ in 0..20 {
        fleet.answer(0, &[FIRST, 0xa1]);
    }
    fleet.now += Duration::from_secs(60);
    fleet.answer(0, &(0x1000..0x1800).collect::<Vec<_>>());
    fleet.crash(0, &[FIRST, 0xa1]);
    fleet.crash_slowly(3, &[FIRST, POISON]);
    fleet.beat();
    assert_eq!(fleet.held(), [segment(POISON)]);
}

/// Without any answer ever, nothing tells the segments apart: what has both is refused, the common beginning is not. The
/// first answers show which one it is.
#[parameterized(
    before_the_poison_in_order = { 0x10 },
    behind_it = { 0xf_ffff },
)]
fn first_segment_is_not_blamed_before_anything_was_answered(first: u64) {
    let mut fleet = Fleet::new(3);
    fleet.crash_slowly(3, &[first, POISON]);
    fleet.beat();
    assert_eq!(fleet.held(), [combination(&[first, POISON])]);
    assert!((0..3).all(|place| fleet.is_refused(place, &[first, POISON])));
    assert!((0..3).all(|place| !fleet.is_refused(place, &[first, 0xa1])));
    fleet.answer(2, &[first, 0xa1]);
    fleet.beat();
    fleet.beat();
    assert_eq!(fleet.held(), [segment(POISON)]);
    assert!((0..3).all(|place| fleet.is_held(place, POISON)));
}

/// The common beginning is poison itself: the deeper segments are blamed no longer than their crashes last.
#[test]
fn first_segment_that_crashes_servers_is_held_behind_any_other() {
    let mut fleet = Fleet::new(3);
    fleet.crash_slowly(3, &[FIRST, 0xa1]);
    for number in 0..3 {
        fleet.crash_slowly(1, &[FIRST, 0xb0 + number]);
    }
    fleet.beat();
    assert!((0..3).all(|place| fleet.is_held(place, FIRST)));
}

/// Six servers crash within a tenth of a second under unlike requests with the segment, while others go on answering.
/// They counted as one crash, so that three such groups crashed servers.
#[test]
fn segment_of_a_group_of_requests_is_held_after_the_first_group() {
    let mut fleet = Fleet::new(2);
    for _ in 0..40 {
        fleet.answer(0, &[FIRST, 0xa1]);
        fleet.answer(1, &[FIRST, 0xa1]);
    }
    for number in 0..6 {
        fleet.crash(number % 2, &[FIRST, POISON]);
        fleet.now += Duration::from_millis(5);
    }
    fleet.beat();
    fleet.beat();
    assert_eq!(fleet.held(), [segment(POISON)]);
    assert!((0..2).all(|place| fleet.is_held(place, POISON)));
}

/// Servers that crash together with one segment on some of them only may have lost their power.
#[test]
fn rare_segment_on_some_servers_of_an_outage_is_not_held() {
    let mut fleet = Fleet::new(2);
    for _ in 0..40 {
        fleet.answer(0, &[FIRST, 0xa1]);
    }
    for number in 0..6 {
        fleet.crash(0, &[FIRST, if number < 4 { 0xa2 } else { 0xa3 }]);
    }
    fleet.beat();
    fleet.beat();
    assert_eq!(fleet.held(), []);
}

/// In a quiet spell nobody's answers tell an outage from poison, but the segment has been sound before.
#[test]
fn outage_in_a_quiet_spell_holds_no_segment_that_was_sound_before() {
    let mut fleet = Fleet::new(2);
    for _ in 0..40 {
        fleet.answer(0, &[FIRST, 0xa1]);
    }
    fleet.now += Duration::from_secs(20);
    for number in 0..6 {
        fleet.crash(number % 2, &[FIRST, 0xa1]);
    }
    fleet.beat();
    fleet.beat();
    assert_eq!(fleet.held(), []);
}

/// Guards against a shared segment that is refused for the crashes of another one once all boxes have restarted: nothing
/// tells the segments of the crashed prompts apart then, wherever the poison stands among them.
#[parameterized(
    poison_first = { &[POISON, 0xc1, 0xc2], &[0xa1, 0xc1, 0xc2] },
    poison_between = { &[0xc1, POISON, 0xc2], &[0xc1, 0xa1, 0xc2] },
    poison_last = { &[0xc1, 0xc2, POISON], &[0xc1, 0xc2, 0xa1] },
)]
fn shared_segments_are_not_refused_after_restarts_in_a_quiet_spell(
    crashing: &[u64],
    sound: &[u64],
) {
    let mut fleet = Fleet::new(3);
    for place in 0..3 {
        for _ in 0..20 {
            fleet.answer(place, sound);
        }
    }
    fleet.now += Duration::from_secs(12);
    fleet.restart_boxes();
    fleet.beat();
    fleet.crash_slowly(3, crashing);
    fleet.beat();
    for place in 0..3 {
        assert!(fleet.is_refused(place, crashing));
        assert!(!fleet.is_refused(place, sound));
    }
    for _ in 0..3 {
        fleet.answer(0, sound);
    }
    fleet.beat();
    fleet.beat();
    assert_eq!(fleet.held(), [segment(POISON)]);
}

/// Guards against the same where a server crashes beside them for another reason, so that a shared segment has a crash
/// more than the poison.
#[test]
fn shared_segment_with_a_crash_of_another_cause_is_not_refused_after_restarts() {
    let mut fleet = Fleet::new(3);
    fleet.crash(0, &[0xa1, FIRST]);
    fleet.crash_slowly(3, &[POISON, FIRST]);
    fleet.beat();
    for place in 0..3 {
        assert!(fleet.is_refused(place, &[POISON, FIRST]));
        assert!(!fleet.is_refused(place, &[0xa2, FIRST]));
    }
}

/// Guards against servers that go on crashing while the evidence is equal: the poison comes with other segments than at
/// first.
#[test]
fn poison_beside_other_segments_is_held_after_two_further_crashes() {
    let mut fleet = Fleet::new(3);
    fleet.crash_slowly(3, &[POISON, FIRST]);
    fleet.beat();
    for number in 0..2 {
        fleet.crash_slowly(1, &[POISON, 0xd0 + number]);
    }
    fleet.beat();
    fleet.beat();
    assert!((0..3).all(|place| fleet.is_refused(place, &[POISON, 0xd2])));
    assert!((0..3).all(|place| !fleet.is_refused(place, &[0xa1, FIRST])));
}

/// Guards against a shared segment that is refused because prompts with and without the poison wait on one server.
#[test]
fn segments_of_prompts_that_wait_beside_the_poison_are_not_refused_after_restarts() {
    let mut fleet = Fleet::new(3);
    for place in 0..3 {
        fleet.now += Duration::from_millis(1_500);
        let own = prompt(1 + place as u8, &[POISON, FIRST]);
        let beside = prompt(11 + place as u8, &[0xa1, FIRST]);
        fleet.crash_in(place, &format!("dc-{place}"), vec![own, beside]);
        fleet.beat();
    }
    fleet.beat();
    for place in 0..3 {
        assert!(fleet.is_refused(place, &[POISON, FIRST]));
        assert!(!fleet.is_refused(place, &[0xa2, FIRST]));
    }
}

/// Guards against servers that go on crashing: prompts with the poison come in groups, and no box remembers an answer, so
/// that each group counted as one crash.
#[test]
fn group_of_prompts_that_crashes_servers_after_restarts_is_held_after_the_first_group() {
    let mut fleet = Fleet::new(2);
    for number in 0..6 {
        fleet.crash(number % 2, &[POISON, FIRST]);
        fleet.now += Duration::from_millis(5);
    }
    fleet.beat();
    fleet.beat();
    for place in 0..2 {
        assert!(fleet.is_refused(place, &[POISON, FIRST]));
        assert!(!fleet.is_refused(place, &[0xa1, FIRST]));
    }
}

/// Guards against a poison segment that is let through because its leader took back a combination with it.
#[test]
fn poison_stays_held_when_a_combination_with_it_is_taken_back() {
    let mut fleet = Fleet::new(3);
    fleet.crash_slowly(3, &[POISON, FIRST]);
    fleet.beat();
    fleet.replicate();
    assert!(fleet.replicated.contains_key(&combination(&[POISON, FIRST])));
    fleet.answer(0, &[0xa1, FIRST]);
    fleet.beat();
    fleet.beat();
    fleet.replicate();
    fleet.beat();
    fleet.crash(0, &[0xa1]);
    fleet.beat();
    fleet.replicate();
    assert_eq!(fleet.replicated.keys().collect::<Vec<_>>(), [&segment(POISON)]);
    assert_eq!(fleet.leader.crash_count(&segment(POISON)), 3);
}

/// Guards against a shared segment that is refused for as long as its hold lasts, since the leader that judged it by the
/// first reports has gone: answers under way speak for it, and the poison explains its crashes.
#[test]
fn verdict_of_a_former_leader_is_taken_back_once_it_is_refuted() {
    let mut fleet = Fleet::new(3);
    let until = UnixMillis(NOW.0 + FIRST_SEGMENT_TIME.as_millis() as u64);
    fleet.replicated.insert(segment(FIRST), until);
    for place in 0..3 {
        for _ in 0..8 {
            fleet.answer(place, &[0xa2, FIRST]);
        }
    }
    fleet.crash(0, &[0xa1, FIRST]);
    for place in 0..3 {
        fleet.now += Duration::from_millis(500);
        fleet.crash(place, &[POISON, FIRST]);
    }
    fleet.change_leader();
    fleet.beat();
    fleet.beat();
    fleet.replicate();
    assert_eq!(fleet.replicated.keys().collect::<Vec<_>>(), [&segment(POISON)]);
}

/// Guards against a poison segment that is let through by a new leader to which boxes report a part of its crashes only.
#[test]
fn verdict_of_a_former_leader_is_kept_while_nothing_refutes_it() {
    let mut fleet = Fleet::new(2);
    let until = UnixMillis(NOW.0 + FIRST_SEGMENT_TIME.as_millis() as u64);
    fleet.replicated.insert(segment(POISON), until);
    for _ in 0..40 {
        fleet.answer(0, &[0xa1, FIRST]);
    }
    // Another box had the prompts with the poison on the last of them.
    for last in [[POISON, FIRST], [POISON, FIRST], [POISON, FIRST], [0xa1, FIRST]] {
        fleet.crash(0, &last);
    }
    fleet.change_leader();
    fleet.beat();
    fleet.beat();
    fleet.replicate();
    assert_eq!(fleet.replicated.keys().collect::<Vec<_>>(), [&segment(POISON)]);
}

/// Guards against a verdict that the next leader takes back once a box that saw one of its crashes has restarted.
#[test]
fn verdict_of_a_former_leader_is_kept_though_its_crashes_look_like_an_outage() {
    let mut fleet = Fleet::new(3);
    for place in 0..3 {
        (0..6).for_each(|_| fleet.answer(place, &[FIRST, 0xa1]));
    }
    // Six requests come at once. Beside one of them a sound one waits, which came to another box.
    for server in 0..5 {
        fleet.crash(usize::from(server > 2), &[FIRST, POISON]);
    }
    fleet.crash(2, &[FIRST, POISON]);
    let beside = CrashReport {
        server: "i-6".parse().unwrap(),
        data_centre: "dc-5".parse().unwrap(),
        prompts: vec![prompt(49, &[FIRST, 0xa2])],
        age: Millis(0),
    };
    fleet.boxes[1].record_crash(beside, fleet.now);
    fleet.beat();
    fleet.replicate();
    assert!(fleet.replicated.contains_key(&segment(POISON)));
    fleet.boxes[2] = BoxQuarantine::default();
    fleet.change_leader();
    for _ in 0..3 {
        fleet.answer(0, &[FIRST, 0xa1]);
        fleet.beat();
        fleet.replicate();
    }
    assert!(fleet.replicated.contains_key(&segment(POISON)), "{:?}", fleet.replicated);
}

/// Guards against a box that lets a request through once it has reported its crashes, as the leader has yet to evaluate
/// them.
#[test]
fn request_stays_held_while_its_crashes_are_reported_to_a_new_leader() {
    let mut fleet = Fleet::new(1);
    for server in 0..3 {
        fleet.crash_in(0, &format!("dc-{server}"), vec![prompt(7, &[])]);
    }
    assert!(fleet.boxes[0].remaining(&request(7), fleet.now).is_some());
    // Another box has reported a crash just before.
    let other = CrashReport {
        server: "i-9".parse().unwrap(),
        data_centre: "dc-9".parse().unwrap(),
        prompts: vec![prompt(8, &[])],
        age: Millis(0),
    };
    let other = QuarantineReport { crashes: vec![other], ..QuarantineReport::default() };
    fleet.leader.apply_report(other, fleet.now);
    fleet.leader.evaluate(fleet.now, fleet.unix);
    fleet.now += Duration::from_millis(10);
    let own = &mut fleet.boxes[0];
    let report = own.report(fleet.now);
    fleet.leader.apply_report(report.clone(), fleet.now);
    fleet.leader.evaluate(fleet.now, fleet.unix);
    let update = fleet.leader.update_for(report.known_version, 1, fleet.unix);
    own.apply_reply(&report, update, false, fleet.now);
    assert!(fleet.boxes[0].remaining(&request(7), fleet.now).is_some());
}

/// Guards against servers that go on crashing under prompts with more segments than are remembered for one crash.
#[test]
fn segments_with_which_long_prompts_begin_are_suspected() {
    let mut fleet = Fleet::new(3);
    for number in 0..3 {
        let own = (0x1_0000 * (number + 1)..).take(2_000);
        let prompt: Vec<_> = [POISON].into_iter().chain(own).collect();
        fleet.crash_slowly(1, &prompt);
    }
    fleet.beat();
    assert_eq!(fleet.held(), [segment(POISON)]);
}
