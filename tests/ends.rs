//! Decision logic of the quarantine: which requests are blamed for crashes of servers, and how the
//! quarantine survives restarts of boxes and changes of the leader.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use emberturn::decide::ends::{CRASHES_TO_QUARANTINE, CrashReport, CrashTracker, CrashedPrompt};
use emberturn::decide::quarantine::{
    BoxQuarantine, FleetQuarantine, QUARANTINE_TIME, QuarantineReport, QuarantineUpdate,
};
use emberturn::ids::{Fingerprint, Suspect};
use emberturn::state::quarantine::QuarantinedSuspects;
use emberturn::units::{Millis, UnixMillis};
use yare::parameterized;

/// Longer than the interval between two evaluations.
const LATER: Duration = Duration::from_secs(1);

const NOW: UnixMillis = UnixMillis(1_764_720_000_000);

fn request(number: u8) -> Fingerprint {
    Fingerprint([number; 16])
}

fn suspect(number: u8) -> Suspect {
    Suspect::Request(request(number))
}

fn prompt(request: Fingerprint) -> CrashedPrompt {
    CrashedPrompt { request: Some(request), segments: Vec::new() }
}

fn crash(server: &str, data_centre: &str, requests: &[u8], ago: u64) -> CrashReport {
    CrashReport {
        server: server.parse().unwrap(),
        data_centre: data_centre.parse().unwrap(),
        prompts: requests.iter().map(|number| prompt(request(*number))).collect(),
        age: Millis(ago),
    }
}

/// A tracker of crashes of different servers, one per second, in alternating data centres.
fn tracker(crashes: &[&[u8]]) -> CrashTracker {
    let (mut tracker, now) = (CrashTracker::default(), Instant::now());
    for (number, requests) in crashes.iter().enumerate() {
        let ago = 1_000 * (crashes.len() - number) as u64;
        tracker.record(
            crash(&format!("i-{number}"), &format!("dc-{}", number % 4), requests, ago),
            now,
        );
    }
    tracker
}

fn poison(tracker: &CrashTracker) -> Vec<u8> {
    tracker.poison().iter().map(|it| it.request().unwrap().0[0]).collect()
}

#[parameterized(
    under_two_ends = { &[&[1], &[1]], &[] },
    under_three = { &[&[1], &[1], &[1]], &[1] },
    beside_one_that_ended_four = { &[&[1, 2], &[1, 2], &[1, 2], &[1]], &[1] },
    beside_two_that_ended_three_each = { &[&[1, 3], &[1], &[1], &[2, 3], &[2, 3], &[2], &[1], &[2]], &[1, 2] },
    two_that_never_ran_together = { &[&[1], &[2], &[1], &[2], &[1], &[2]], &[1, 2] },
    many_beside_it = { &[&[1, 4, 5, 6], &[1, 5, 6, 7], &[1, 6, 7, 8], &[1, 9]], &[1] },
)]
fn request_is_held_for_ends_that_nothing_else_explains(crashes: &[&[u8]], wanted: &[u8]) {
    assert_eq!(poison(&tracker(crashes)), wanted);
}

/// Of two requests that always ran together, the one that goes on crashing servers is quarantined,
/// no matter which was quarantined first.
#[test]
fn request_that_was_held_for_anothers_ends_is_let_through() {
    let (mut fleet, now) = (FleetQuarantine::default(), Instant::now());
    fleet.apply_replicated(Arc::default());
    for number in 0..3 {
        let crashes = vec![crash(&format!("i-{number}"), "a", &[1, 2], 9_000 - 1_000 * number)];
        fleet.apply_report(QuarantineReport { crashes, ..QuarantineReport::default() }, now);
    }
    let first = fleet.evaluate(now, NOW).added;
    assert_eq!(first.len(), 1);
    let other = if first[0] == suspect(1) { 2 } else { 1 };
    let crashes = vec![crash("i-9", "b", &[other], 0)];
    fleet.apply_report(QuarantineReport { crashes, ..QuarantineReport::default() }, now);
    let delta = fleet.evaluate(now + LATER, NOW);
    assert_eq!((delta.added, delta.lifted), (vec![suspect(other)], first));
}

/// A data centre fails three times, each time with servers that ran the same request among others.
#[test]
fn servers_lost_together_count_only_against_what_ran_on_most_of_them() {
    let (mut tracker, now) = (CrashTracker::default(), Instant::now());
    for loss in 0..3_u64 {
        for server in 0..4_u8 {
            let name = format!("i-{loss}-{server}");
            // Request 9 is on one server each time, and request 8 on all of them.
            let requests: &[u8] = if server == 0 { &[8, 9] } else { &[8, server] };
            tracker
                .record(crash(&name, "a", requests, 9_000 - 2_000 * loss + u64::from(server)), now);
        }
    }
    assert_eq!(poison(&tracker), [8]);
}

#[test]
fn end_that_several_boxes_tell_is_one() {
    let (mut tracker, now) = (CrashTracker::default(), Instant::now());
    for ago in [0, 40, 300] {
        tracker.record(crash("i-1", "a", &[1], ago), now);
    }
    assert_eq!(tracker.crash_count(&suspect(1)), 1);
    // A server that restarts under its ID may crash again.
    tracker.record(crash("i-1", "a", &[1], 5_000), now);
    assert_eq!(tracker.crash_count(&suspect(1)), 2);
}

/// The first report arrived late, when the leader had changed, and the box sent it again.
#[test]
fn crash_that_is_reported_again_after_a_slow_heartbeat_is_one() {
    let mut fleet = FleetQuarantine::default();
    fleet.apply_replicated(Arc::default());
    let began = Instant::now();
    for (server, arrives_ms) in [("i-1", 1_250), ("i-2", 1_250), ("i-1", 1_700), ("i-2", 1_700)] {
        let now = began + Duration::from_millis(arrives_ms);
        let age = if arrives_ms == 1_250 { 50 } else { 1_700 };
        let crashes = vec![crash(server, "a", &[1], age)];
        fleet.apply_report(QuarantineReport { crashes, ..QuarantineReport::default() }, now);
        assert!(fleet.evaluate(now + LATER, NOW).added.is_empty());
    }
    assert_eq!(fleet.crash_count(&suspect(1)), 2);
}

#[test]
fn server_that_was_leaving_ended_under_no_request() {
    let now = Instant::now();
    for is_known_first in [true, false] {
        let mut fleet = FleetQuarantine::default();
        fleet.apply_replicated(Arc::default());
        let servers: Vec<_> = (0..3).map(|number| format!("i-{number}").parse().unwrap()).collect();
        if is_known_first {
            fleet.record_leaving(servers.iter(), now);
        }
        for number in 0..3 {
            let crashes = vec![crash(&format!("i-{number}"), "a", &[1], 9_000 - 1_000 * number)];
            fleet.apply_report(QuarantineReport { crashes, ..QuarantineReport::default() }, now);
        }
        fleet.evaluate(now, NOW);
        fleet.record_leaving(servers.iter(), now);
        fleet.evaluate(now + LATER, NOW);
        let update = fleet.update_for(0, 7, NOW).unwrap();
        assert_eq!(
            update,
            QuarantineUpdate { version: 7, suspects: Vec::new(), watched: Vec::new() },
            "{is_known_first}"
        );
    }
}

/// A box and a leader that exchange heartbeats.
#[derive(Default)]
struct Pair {
    own: BoxQuarantine,
    fleet: FleetQuarantine,
    version: u64,
}

impl Pair {
    fn new() -> Self {
        let mut pair = Self::default();
        pair.fleet.apply_replicated(Arc::default());
        pair
    }

    fn heartbeat(&mut self) {
        let now = Instant::now();
        let report = self.own.report(now);
        self.fleet.apply_report(report.clone(), now);
        self.version += 1;
        self.fleet.evaluate(now + LATER * self.version as u32, NOW);
        let update = self.fleet.update_for(report.known_version, self.version, NOW);
        self.own.apply_reply(&report, update, false, now);
    }

    fn crash(&mut self, server: &str, requests: &[u8]) {
        self.own.record_crash(crash(server, "a", requests, 0), Instant::now());
    }

    fn is_quarantined(&self, number: u8) -> bool {
        self.own.remaining(&suspect(number), Instant::now()).is_some()
    }
}

#[test]
fn box_goes_by_its_own_ends_until_the_leader_has_heard() {
    let mut pair = Pair::new();
    for server in ["i-1", "i-2", "i-3"] {
        pair.crash(server, &[1, 2]);
        // The leader learns from others that the second request is to blame.
        let crashes = vec![crash(server, "a", &[2], 0)];
        pair.fleet.apply_report(
            QuarantineReport { crashes, ..QuarantineReport::default() },
            Instant::now(),
        );
    }
    let crashes = vec![crash("i-4", "b", &[2], 0)];
    pair.fleet
        .apply_report(QuarantineReport { crashes, ..QuarantineReport::default() }, Instant::now());
    assert_eq!(pair.own.len(), 1);
    pair.heartbeat();
    assert_eq!((pair.is_quarantined(1), pair.is_quarantined(2)), (false, true));
}

#[test]
fn request_that_any_server_answered_is_not_held() {
    let mut pair = Pair::new();
    for server in ["i-1", "i-2", "i-3"] {
        pair.crash(server, &[1]);
    }
    assert!(pair.is_quarantined(1));
    pair.heartbeat();
    assert!(pair.is_quarantined(1));
    assert!(pair.own.record_success(request(1), Instant::now()));
    assert!(!pair.is_quarantined(1));
    pair.heartbeat();
    pair.heartbeat();
    assert!(!pair.is_quarantined(1));
    assert_eq!(pair.fleet.crash_count(&suspect(1)), 0);
}

/// Another box answered the request a moment ago and only now learns that it is suspected.
#[test]
fn box_that_answered_a_request_lately_has_it_let_through() {
    let mut pair = Pair::new();
    pair.own.record_success(request(1), Instant::now());
    for server in ["i-1", "i-2", "i-3"] {
        let crashes = vec![crash(server, "a", &[1], 0)];
        pair.fleet.apply_report(
            QuarantineReport { crashes, ..QuarantineReport::default() },
            Instant::now(),
        );
    }
    pair.heartbeat();
    assert!(!pair.is_quarantined(1));
    pair.heartbeat();
    assert!(pair.fleet.update_for(0, 9, NOW).unwrap().suspects.is_empty());
}

#[test]
fn next_leader_holds_what_the_group_noted_and_boxes_keep_it_meanwhile() {
    let mut pair = Pair::new();
    for server in ["i-1", "i-2", "i-3"] {
        pair.crash(server, &[1]);
    }
    pair.heartbeat();
    let change = pair.fleet.pending_change().unwrap();
    assert_eq!(change.held.get(&suspect(1)).unwrap().0, NOW.0 + QUARANTINE_TIME.as_millis() as u64);
    // A leader that has not read the replicated quarantine sends no update.
    pair.fleet = FleetQuarantine::default();
    pair.heartbeat();
    assert!(pair.is_quarantined(1));
    pair.fleet.apply_replicated(Arc::new(change.held.clone()));
    pair.heartbeat();
    assert!(pair.is_quarantined(1));
    assert_eq!(pair.fleet.pending_change(), None);
    // A box that has just started learns of it with the first reply.
    pair.own = BoxQuarantine::default();
    pair.heartbeat();
    assert!(pair.is_quarantined(1));
    // What the replicated quarantine no longer contains was lifted.
    pair.fleet.apply_replicated(Arc::new(QuarantinedSuspects::new()));
    pair.heartbeat();
    assert!(!pair.is_quarantined(1));
    assert_eq!(pair.fleet.pending_change(), None);
}

#[test]
fn request_is_let_through_after_its_time() {
    let mut pair = Pair::new();
    for server in ["i-1", "i-2", "i-3"] {
        pair.crash(server, &[1]);
    }
    pair.heartbeat();
    let later = UnixMillis(NOW.0 + QUARANTINE_TIME.as_millis() as u64 + 1);
    assert_eq!(pair.fleet.evaluate(Instant::now() + QUARANTINE_TIME, later).lifted, [suspect(1)]);
    let after = Instant::now() + QUARANTINE_TIME + Duration::from_secs(1);
    assert_eq!(pair.own.remaining(&suspect(1), after), None);
}

/// The state and the reports remain small, however many servers crash.
#[test]
fn storms_of_ends_stay_within_bounds() {
    let (mut own, now) = (BoxQuarantine::default(), Instant::now());
    for server in 0..300_u32 {
        let requests = (0..64_u32).map(|number| {
            let mut fingerprint = Fingerprint::default();
            fingerprint.0[..4].copy_from_slice(&(server * 64 + number).to_be_bytes());
            prompt(fingerprint)
        });
        let report = CrashReport {
            prompts: requests.collect(),
            ..crash(&format!("i-{server}"), "a", &[], 0)
        };
        own.record_crash(report, now);
    }
    let report = own.report(now);
    assert!(report.crashes.len() <= 16, "{}", report.crashes.len());
    assert!(own.is_empty());
}

#[test]
fn names_of_requests_are_read_as_they_are_written() {
    let name = request(0xa7).to_string();
    assert_eq!(name.parse::<Fingerprint>().unwrap(), request(0xa7));
    for wrong in ["", "a7", "+a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a", &format!("{name}0")] {
        assert!(wrong.parse::<Fingerprint>().is_err(), "{wrong}");
    }
    let all: BTreeSet<_> = (0..CRASHES_TO_QUARANTINE as u8).map(request).collect();
    assert_eq!(all.len(), CRASHES_TO_QUARANTINE);
}

/// The next leader receives all crash reports again, except those of a request that an operator let
/// through.
#[test]
fn request_that_was_lifted_is_not_held_by_the_next_leader() {
    let mut pair = Pair::new();
    for server in ["i-1", "i-2", "i-3"] {
        pair.crash(server, &[1]);
    }
    pair.heartbeat();
    let replicated = pair.fleet.pending_change().unwrap().held;
    pair.fleet.apply_replicated(Arc::new(replicated));
    pair.fleet.apply_replicated(Arc::new(QuarantinedSuspects::new()));
    pair.heartbeat();
    pair.fleet = FleetQuarantine::default();
    pair.fleet.apply_replicated(Arc::new(QuarantinedSuspects::new()));
    let now = Instant::now();
    let report = pair.own.report(now);
    pair.own.apply_reply(&report, None, true, now);
    pair.heartbeat();
    pair.heartbeat();
    assert!(!pair.is_quarantined(1));
}

/// More servers crash than are remembered, all of them under other requests.
#[test]
fn request_stays_held_when_its_ends_are_forgotten() {
    let (mut fleet, now) = (FleetQuarantine::default(), Instant::now());
    fleet.apply_replicated(Arc::default());
    for number in 0..3 {
        let crashes = vec![crash(&format!("i-{number}"), "a", &[1], 90_000 - 1_000 * number)];
        fleet.apply_report(QuarantineReport { crashes, ..QuarantineReport::default() }, now);
    }
    assert_eq!(fleet.evaluate(now, NOW).added, [suspect(1)]);
    for number in 0..400 {
        let crashes = vec![crash(&format!("j-{number}"), "b", &[], 0)];
        fleet.apply_report(QuarantineReport { crashes, ..QuarantineReport::default() }, now);
    }
    assert!(fleet.evaluate(now + LATER, NOW).lifted.is_empty());
    assert_eq!(fleet.crash_count(&suspect(1)), 0);
}
