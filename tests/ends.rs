//! Under which requests servers ended: who is to blame, who is not, and what becomes of it when boxes and leaders
//! come and go.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use emberturn::decide::ends::{CRASHES_TO_QUARANTINE, CrashReport, CrashTracker};
use emberturn::decide::quarantine::{
    BoxQuarantine, FleetQuarantine, QUARANTINE_TIME, QuarantineReport, QuarantineUpdate,
};
use emberturn::ids::Fingerprint;
use emberturn::state::quarantine::QuarantineBook;
use emberturn::units::{Millis, UnixMillis};
use yare::parameterized;

/// More than there is between two judgements.
const LATER: Duration = Duration::from_secs(1);

const NOW: UnixMillis = UnixMillis(1_764_720_000_000);

fn request(number: u8) -> Fingerprint {
    Fingerprint([number; 16])
}

fn end(server: &str, data_centre: &str, requests: &[u8], ago: u64) -> CrashReport {
    CrashReport {
        server: server.parse().unwrap(),
        data_centre: data_centre.parse().unwrap(),
        requests: requests.iter().map(|number| request(*number)).collect(),
        age: Millis(ago),
    }
}

/// Ends of servers of their own, one a second, in data centres by turns.
fn book(ends: &[&[u8]]) -> CrashTracker {
    let (mut book, now) = (CrashTracker::default(), Instant::now());
    for (number, requests) in ends.iter().enumerate() {
        let ago = 1_000 * (ends.len() - number) as u64;
        book.record(end(&format!("i-{number}"), &format!("dc-{}", number % 4), requests, ago), now);
    }
    book
}

fn held(book: &CrashTracker) -> Vec<u8> {
    book.poison_requests().iter().map(|request| request.0[0]).collect()
}

#[parameterized(
    under_two_ends = { &[&[1], &[1]], &[] },
    under_three = { &[&[1], &[1], &[1]], &[1] },
    beside_one_that_ended_four = { &[&[1, 2], &[1, 2], &[1, 2], &[1]], &[1] },
    beside_two_that_ended_three_each = { &[&[1, 3], &[1], &[1], &[2, 3], &[2, 3], &[2], &[1], &[2]], &[1, 2] },
    two_that_never_ran_together = { &[&[1], &[2], &[1], &[2], &[1], &[2]], &[1, 2] },
    many_beside_it = { &[&[1, 4, 5, 6], &[1, 5, 6, 7], &[1, 6, 7, 8], &[1, 9]], &[1] },
)]
fn request_is_held_for_ends_that_nothing_else_explains(ends: &[&[u8]], wanted: &[u8]) {
    assert_eq!(held(&book(ends)), wanted);
}

/// Of two that ran together each time, the one that goes on ending servers is held, whoever was first.
#[test]
fn request_that_was_held_for_anothers_ends_is_let_through() {
    let (mut fleet, now) = (FleetQuarantine::default(), Instant::now());
    fleet.apply_replicated(Arc::default());
    for number in 0..3 {
        let ends = vec![end(&format!("i-{number}"), "a", &[1, 2], 9_000 - 1_000 * number)];
        fleet.apply_report(QuarantineReport { crashes: ends, ..QuarantineReport::default() }, now);
    }
    let first = fleet.evaluate(now, NOW).added;
    assert_eq!(first.len(), 1);
    let other = if first[0] == request(1) { 2 } else { 1 };
    let ends = vec![end("i-9", "b", &[other], 0)];
    fleet.apply_report(QuarantineReport { crashes: ends, ..QuarantineReport::default() }, now);
    let changes = fleet.evaluate(now + LATER, NOW);
    assert_eq!((changes.added, changes.lifted), (vec![request(other)], first));
}

/// A data centre goes three times, each time with servers that ran the same request among others.
#[test]
fn servers_lost_together_count_only_against_what_ran_on_most_of_them() {
    let (mut book, now) = (CrashTracker::default(), Instant::now());
    for loss in 0..3_u64 {
        for server in 0..4_u8 {
            let name = format!("i-{loss}-{server}");
            // Request 9 is on one server each time, and 8 on all of them.
            let requests: &[u8] = if server == 0 { &[8, 9] } else { &[8, server] };
            book.record(end(&name, "a", requests, 9_000 - 2_000 * loss + u64::from(server)), now);
        }
    }
    assert_eq!(held(&book), [8]);
}

#[test]
fn end_that_several_boxes_tell_is_one() {
    let (mut book, now) = (CrashTracker::default(), Instant::now());
    for ago in [0, 40, 300] {
        book.record(end("i-1", "a", &[1], ago), now);
    }
    assert_eq!(book.crash_count(&request(1)), 1);
    // A server that starts again under its id may end again.
    book.record(end("i-1", "a", &[1], 5_000), now);
    assert_eq!(book.crash_count(&request(1)), 2);
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
            let ends = vec![end(&format!("i-{number}"), "a", &[1], 9_000 - 1_000 * number)];
            fleet.apply_report(
                QuarantineReport { crashes: ends, ..QuarantineReport::default() },
                now,
            );
        }
        fleet.evaluate(now, NOW);
        fleet.record_leaving(servers.iter(), now);
        fleet.evaluate(now + LATER, NOW);
        let word = fleet.update_for(0, 7, NOW).unwrap();
        assert_eq!(word, QuarantineUpdate { version: 7, requests: Vec::new() }, "{is_known_first}");
    }
}

/// A box and a leader, with the words between them.
#[derive(Default)]
struct Pair {
    own: BoxQuarantine,
    fleet: FleetQuarantine,
    marks: u64,
}

impl Pair {
    fn new() -> Self {
        let mut pair = Self::default();
        pair.fleet.apply_replicated(Arc::default());
        pair
    }

    fn talk(&mut self) {
        let now = Instant::now();
        let told = self.own.report(now);
        self.fleet.apply_report(told.clone(), now);
        self.marks += 1;
        self.fleet.evaluate(now + LATER * self.marks as u32, NOW);
        let word = self.fleet.update_for(told.known_version, self.marks, NOW);
        self.own.apply_reply(&told, word, false, now);
    }

    fn end(&mut self, server: &str, requests: &[u8]) {
        self.own.record_crash(end(server, "a", requests, 0), Instant::now());
    }

    fn is_held(&self, number: u8) -> bool {
        self.own.remaining(&request(number), Instant::now()).is_some()
    }
}

#[test]
fn box_goes_by_its_own_ends_until_the_leader_has_heard() {
    let mut pair = Pair::new();
    for server in ["i-1", "i-2", "i-3"] {
        pair.end(server, &[1, 2]);
        // What the leader knows from others: the second request is the one.
        let ends = vec![end(server, "a", &[2], 0)];
        pair.fleet.apply_report(
            QuarantineReport { crashes: ends, ..QuarantineReport::default() },
            Instant::now(),
        );
    }
    let ends = vec![end("i-4", "b", &[2], 0)];
    pair.fleet.apply_report(
        QuarantineReport { crashes: ends, ..QuarantineReport::default() },
        Instant::now(),
    );
    assert_eq!(pair.own.len(), 1);
    pair.talk();
    assert_eq!((pair.is_held(1), pair.is_held(2)), (false, true));
}

#[test]
fn request_that_any_server_answered_is_not_held() {
    let mut pair = Pair::new();
    for server in ["i-1", "i-2", "i-3"] {
        pair.end(server, &[1]);
    }
    assert!(pair.is_held(1));
    pair.talk();
    assert!(pair.is_held(1));
    assert!(pair.own.record_success(request(1), Instant::now()));
    assert!(!pair.is_held(1));
    pair.talk();
    pair.talk();
    assert!(!pair.is_held(1));
    assert_eq!(pair.fleet.crash_count(&request(1)), 0);
}

/// Another box has answered it a moment ago and hears only now that it is suspected.
#[test]
fn box_that_answered_a_request_lately_has_it_let_through() {
    let mut pair = Pair::new();
    pair.own.record_success(request(1), Instant::now());
    for server in ["i-1", "i-2", "i-3"] {
        let ends = vec![end(server, "a", &[1], 0)];
        pair.fleet.apply_report(
            QuarantineReport { crashes: ends, ..QuarantineReport::default() },
            Instant::now(),
        );
    }
    pair.talk();
    assert!(!pair.is_held(1));
    pair.talk();
    assert!(pair.fleet.update_for(0, 9, NOW).unwrap().requests.is_empty());
}

#[test]
fn next_leader_holds_what_the_group_noted_and_boxes_keep_it_meanwhile() {
    let mut pair = Pair::new();
    for server in ["i-1", "i-2", "i-3"] {
        pair.end(server, &[1]);
    }
    pair.talk();
    let change = pair.fleet.pending_change().unwrap();
    assert_eq!(change.held.get(&request(1)).unwrap().0, NOW.0 + QUARANTINE_TIME.as_millis() as u64);
    // A leader that has not read the group's notes tells nothing.
    pair.fleet = FleetQuarantine::default();
    pair.talk();
    assert!(pair.is_held(1));
    pair.fleet.apply_replicated(Arc::new(change.held.clone()));
    pair.talk();
    assert!(pair.is_held(1));
    assert_eq!(pair.fleet.pending_change(), None);
    // A box that has just started hears it with the first answer.
    pair.own = BoxQuarantine::default();
    pair.talk();
    assert!(pair.is_held(1));
    // What the group no longer holds was lifted.
    pair.fleet.apply_replicated(Arc::new(QuarantineBook::new()));
    pair.talk();
    assert!(!pair.is_held(1));
    assert_eq!(pair.fleet.pending_change(), None);
}

#[test]
fn request_is_let_through_after_its_time() {
    let mut pair = Pair::new();
    for server in ["i-1", "i-2", "i-3"] {
        pair.end(server, &[1]);
    }
    pair.talk();
    let later = UnixMillis(NOW.0 + QUARANTINE_TIME.as_millis() as u64 + 1);
    assert_eq!(pair.fleet.evaluate(Instant::now() + QUARANTINE_TIME, later).lifted, [request(1)]);
    let after = Instant::now() + QUARANTINE_TIME + Duration::from_secs(1);
    assert_eq!(pair.own.remaining(&request(1), after), None);
}

/// Whatever ends, books and words stay small.
#[test]
fn storms_of_ends_stay_within_bounds() {
    let (mut own, now) = (BoxQuarantine::default(), Instant::now());
    for server in 0..300_u32 {
        let requests = (0..64_u32).map(|number| {
            let mut fingerprint = Fingerprint::default();
            fingerprint.0[..4].copy_from_slice(&(server * 64 + number).to_be_bytes());
            fingerprint
        });
        let told = CrashReport {
            requests: requests.collect(),
            ..end(&format!("i-{server}"), "a", &[], 0)
        };
        own.record_crash(told, now);
    }
    let word = own.report(now);
    assert!(word.crashes.len() <= 16, "{}", word.crashes.len());
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

/// The next leader hears all ends again; what an operator lifted is not among them.
#[test]
fn request_that_was_lifted_is_not_held_by_the_next_leader() {
    let mut pair = Pair::new();
    for server in ["i-1", "i-2", "i-3"] {
        pair.end(server, &[1]);
    }
    pair.talk();
    let noted = pair.fleet.pending_change().unwrap().held;
    pair.fleet.apply_replicated(Arc::new(noted));
    pair.fleet.apply_replicated(Arc::new(QuarantineBook::new()));
    pair.talk();
    pair.fleet = FleetQuarantine::default();
    pair.fleet.apply_replicated(Arc::new(QuarantineBook::new()));
    let now = Instant::now();
    let told = pair.own.report(now);
    pair.own.apply_reply(&told, None, true, now);
    pair.talk();
    pair.talk();
    assert!(!pair.is_held(1));
}

/// More servers end than are remembered, all of them under other requests.
#[test]
fn request_stays_held_when_its_ends_are_forgotten() {
    let (mut fleet, now) = (FleetQuarantine::default(), Instant::now());
    fleet.apply_replicated(Arc::default());
    for number in 0..3 {
        let ends = vec![end(&format!("i-{number}"), "a", &[1], 90_000 - 1_000 * number)];
        fleet.apply_report(QuarantineReport { crashes: ends, ..QuarantineReport::default() }, now);
    }
    assert_eq!(fleet.evaluate(now, NOW).added, [request(1)]);
    for number in 0..400 {
        let ends = vec![end(&format!("j-{number}"), "b", &[], 0)];
        fleet.apply_report(QuarantineReport { crashes: ends, ..QuarantineReport::default() }, now);
    }
    assert!(fleet.evaluate(now + LATER, NOW).lifted.is_empty());
    assert_eq!(fleet.crash_count(&request(1)), 0);
}
