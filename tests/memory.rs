//! Tests what a box holds in memory, which requests it refuses, and which slow callers it disconnects.

use std::time::Duration;

use emberturn::decide::filling::{EngineUsage, have_room};
use emberturn::decide::memory::{MemoryBudget, MemoryClaim, MemoryReservation, Purpose};
use emberturn::decide::slowness::{
    BodyProgress, ReadProgress, Slowness, can_arrive, check_progress,
};
use emberturn::units::{ByteSize, Tokens};
use proptest::prelude::*;
use yare::parameterized;

const SIZE: u64 = 1_000;

fn request(team: &str, urgency: u8) -> MemoryClaim {
    MemoryClaim::Request { team: Some(team.parse().unwrap()), urgency }
}

/// Reserves pieces of ten bytes until the limit is reached.
fn fill(memory: &MemoryBudget, claim: &MemoryClaim) -> Vec<MemoryReservation> {
    let pieces = std::iter::repeat_with(|| memory.reserve(Purpose::Bodies, 10, claim.clone()));
    pieces.map_while(Result::ok).collect()
}

fn bytes(held: &[MemoryReservation]) -> u64 {
    held.iter().map(MemoryReservation::bytes).sum()
}

#[test]
fn least_urgent_is_refused_first() {
    let memory = MemoryBudget::with_size(SIZE);
    let mut before = 0;
    let mut held = Vec::new();
    for urgency in [9, 5, 0] {
        for team in 0..20 {
            held.extend(fill(&memory, &request(&format!("team-{team}"), urgency)));
        }
        assert!(memory.reserved() > before, "urgency {urgency} gets no memory beyond {before}");
        before = memory.reserved();
    }
}

#[test]
fn team_that_fills_the_box_leaves_memory_for_another() {
    let memory = MemoryBudget::with_size(SIZE);
    let _large = fill(&memory, &request("large", 0));
    let small = fill(&memory, &request("small", 0));
    assert!(bytes(&small) >= SIZE / 10, "{small:?}");
}

#[test]
fn accepted_request_gets_memory_when_new_ones_are_refused() {
    let memory = MemoryBudget::with_size(SIZE);
    let mut held = Vec::new();
    for team in 0..20 {
        held.extend(fill(&memory, &request(&format!("team-{team}"), 0)));
    }
    assert!(memory.reserve(Purpose::Bodies, 10, request("new", 0)).is_err());
    assert!(memory.reserve(Purpose::Connections, 100, MemoryClaim::Connection).is_err());
    assert!(memory.reserve(Purpose::Answers, 100, MemoryClaim::Accepted).is_ok());
}

#[test]
fn reading_ahead_takes_no_memory_from_requests() {
    let memory = MemoryBudget::with_size(SIZE);
    let _ahead = fill(&memory, &MemoryClaim::ReadAhead);
    assert!(!memory.is_under_pressure());
    let requests = fill(&memory, &request("team", 9));
    assert!(bytes(&requests) >= SIZE / 10, "{}", bytes(&requests));
}

#[test]
fn pressure_is_reported_before_anything_is_refused() {
    let memory = MemoryBudget::with_size(SIZE);
    let claim = request("team", 9);
    let mut held = Vec::new();
    while !memory.is_under_pressure() {
        held.push(memory.reserve(Purpose::Bodies, 10, claim.clone()).unwrap());
    }
    assert!(bytes(&held) < SIZE);
}

#[test]
fn memory_of_the_program_is_not_reservable() {
    let memory = MemoryBudget::for_process_limit(ByteSize(160_000_000));
    assert!(memory.size() > 90_000_000 && memory.size() < 136_000_000, "{}", memory.size());
    assert_eq!(MemoryBudget::for_process_limit(ByteSize(1)).size(), 0);
}

#[derive(Debug, Clone)]
enum Step {
    Reserve(usize, u64, Option<u8>, u8),
    Grow(usize, u64),
    Shrink(usize, u64),
    Drop(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..Purpose::ALL.len(), 0..400u64, proptest::option::of(0..4u8), 0..10u8).prop_map(
            |(purpose, bytes, team, urgency)| Step::Reserve(purpose, bytes, team, urgency)
        ),
        (0..64usize, 0..400u64).prop_map(|(place, bytes)| Step::Grow(place, bytes)),
        (0..64usize, 0..400u64).prop_map(|(place, bytes)| Step::Shrink(place, bytes)),
        (0..64usize).prop_map(Step::Drop),
    ]
}

fn perform(memory: &MemoryBudget, held: &mut Vec<MemoryReservation>, step: &Step) {
    let count = held.len().max(1);
    match step {
        Step::Reserve(purpose, bytes, team, urgency) => {
            let claim = match (team, urgency) {
                (Some(team), _) => request(&format!("team-{team}"), *urgency),
                (None, 0..3) => MemoryClaim::Accepted,
                (None, 3..5) => MemoryClaim::ReadAhead,
                (None, 5..7) => MemoryClaim::Connection,
                (None, _) => MemoryClaim::Request { team: None, urgency: *urgency },
            };
            held.extend(memory.reserve(Purpose::ALL[*purpose], *bytes, claim));
        }
        Step::Grow(place, bytes) => {
            if let Some(reserved) = held.get_mut(place % count) {
                let _ = reserved.grow(*bytes);
            }
        }
        Step::Shrink(place, bytes) => {
            if let Some(reserved) = held.get_mut(place % count) {
                reserved.shrink(*bytes);
            }
        }
        Step::Drop(place) if !held.is_empty() => drop(held.swap_remove(place % count)),
        Step::Drop(_) => {}
    }
}

proptest! {
    #[test]
    fn whatever_comes_and_goes_stays_within_and_is_given_back(
        steps in proptest::collection::vec(step(), 0..200),
    ) {
        let memory = MemoryBudget::with_size(SIZE);
        let mut held = Vec::new();
        for step in &steps {
            perform(&memory, &mut held, step);
            prop_assert!(memory.reserved() <= SIZE);
            prop_assert_eq!(memory.reserved(), bytes(&held));
            let by_purpose = Purpose::ALL.map(|purpose| memory.reserved_for(purpose));
            prop_assert_eq!(memory.reserved(), by_purpose.iter().sum::<u64>());
        }
        held.clear();
        prop_assert_eq!(memory.reserved(), 0);
        // The per-team accounts are released as well: the first team can use the whole box again.
        let again = fill(&memory, &request("team-0", 0));
        prop_assert!(bytes(&again) >= SIZE / 2);
    }
}

const SECOND: Duration = Duration::from_secs(1);

/// A caller with 10 kB buffered that reads 10 kB per second and has ten seconds left.
fn progress() -> ReadProgress {
    ReadProgress {
        buffered: 10_000,
        read: 30_000,
        pending_time: 3 * SECOND,
        silent_time: SECOND / 10,
        longest_pause: SECOND / 2,
        blocked_time: Duration::ZERO,
        time_left: 10 * SECOND,
    }
}

#[parameterized(
    takes = { progress(), None },
    has_all = { ReadProgress { buffered: 0, silent_time: 60 * SECOND, ..progress() }, None },
    silent = { ReadProgress { silent_time: 3 * SECOND, ..progress() }, Some(Slowness::Silent) },
    known_to_pause = { ReadProgress { silent_time: 3 * SECOND, longest_pause: 2 * SECOND, ..progress() }, None },
    engine_waits = { ReadProgress { blocked_time: 2 * SECOND, ..progress() }, Some(Slowness::Holding) },
    pauses_do_not_hold_engines = {
        ReadProgress { blocked_time: 2 * SECOND, longest_pause: 9 * SECOND, ..progress() }, Some(Slowness::Holding)
    },
    too_little = { ReadProgress { buffered: 1_000_000, ..progress() }, Some(Slowness::Late) },
    too_little_not_known_yet = { ReadProgress { buffered: 1_000_000, pending_time: SECOND, read: 1, ..progress() }, None },
)]
fn slow_caller_is_detected_by_its_progress(progress: ReadProgress, expected: Option<Slowness>) {
    assert_eq!(check_progress(&progress, Some(SECOND / 10), true), expected);
}

#[test]
fn route_with_long_gaps_tolerates_longer_silence() {
    let progress = ReadProgress { silent_time: 3 * SECOND, ..progress() };
    assert_eq!(check_progress(&progress, Some(SECOND), true), None);
}

#[test]
fn caller_with_an_unrepeatable_answer_is_tolerated_longer() {
    let progress = ReadProgress { silent_time: 3 * SECOND, ..progress() };
    assert_eq!(check_progress(&progress, Some(SECOND / 10), false), None);
    // This does not apply while its engine waits, as the engine aborts the stream in any case.
    let holding = ReadProgress { blocked_time: 2 * SECOND, ..progress };
    assert_eq!(check_progress(&holding, Some(SECOND / 10), false), Some(Slowness::Holding));
}

#[parameterized(
    all_there = { 4_000, 1, true },
    begins = { 0, 1, true },
    trickles = { 10, 4, false },
    nothing = { 0, 4, false },
    half_in_half = { 2_000, 5, true },
    recovers = { 1_000, 5, true },
    time_is_over = { 3_999, 10, false },
)]
fn body_is_refused_once_it_cannot_arrive(came: u64, passed: u32, can: bool) {
    let arriving = BodyProgress {
        received: came,
        length: 4_000,
        elapsed: passed * SECOND,
        limit: 10 * SECOND,
    };
    assert_eq!(can_arrive(&arriving), can);
}

const EMPTY: EngineUsage = EngineUsage { own_requests: 0, own_tokens: 0, other_requests: 0.0 };

#[parameterized(
    empty = { EMPTY, true },
    some_of_ours = { EngineUsage { own_requests: 2, own_tokens: 6_000, ..EMPTY }, true },
    full_of_ours = { EngineUsage { own_requests: 3, own_tokens: 9_000, ..EMPTY }, false },
    full_of_others = { EngineUsage { other_requests: 3.0, ..EMPTY }, false },
    full_together = { EngineUsage { own_requests: 1, own_tokens: 3_000, other_requests: 2.0 }, false },
)]
fn engine_without_enough_memory_has_no_room(engine: EngineUsage, has_room: bool) {
    let engines = [engine, EngineUsage { own_requests: 1, own_tokens: 3_000, ..EMPTY }];
    assert_eq!(have_room(Tokens(10_000), &engines, 3_000), [has_room, true]);
}

#[test]
fn requests_of_other_relays_are_assumed_to_be_as_long_as_own_ones() {
    let short = [EngineUsage { own_requests: 1, own_tokens: 100, other_requests: 20.0 }, EMPTY];
    assert_eq!(have_room(Tokens(10_000), &short, 100), [true, true]);
    let long = [EngineUsage { own_requests: 1, own_tokens: 1_000, other_requests: 20.0 }, EMPTY];
    assert_eq!(have_room(Tokens(10_000), &long, 1_000), [false, true]);
}

mod answer_room {
    //! Large answers that are read at the same time.

    use emberturn::decide::answer_room::AnswerRoom;
    use emberturn::ids::BackendId;

    const MEMORY: u64 = 160_000_000;
    const LARGEST: u64 = 16_000_000;
    /// A quarter of the memory, and what the answers of one server may take of it.
    const ROOM: u64 = 40_000_000;
    const SHARE: u64 = ROOM - LARGEST;

    fn id(name: &str) -> BackendId {
        name.parse().unwrap()
    }

    /// Takes room for answers of a server until there is none.
    fn take_all(room: &mut AnswerRoom, server: &BackendId, bytes: u64) -> u64 {
        (0..).take_while(|_| room.try_take(server, bytes)).count() as u64
    }

    #[test]
    fn one_server_leaves_room_for_the_largest_answer_of_another() {
        let mut room = AnswerRoom::for_answers(MEMORY, LARGEST);
        assert_eq!(take_all(&mut room, &id("i-1"), 1_000_000), SHARE / 1_000_000);
        assert!(room.try_take(&id("i-2"), LARGEST));
        assert_eq!(room.taken(), ROOM);
    }

    #[test]
    fn any_number_of_servers_stays_within_the_room() {
        let mut room = AnswerRoom::for_answers(MEMORY, LARGEST);
        for server in 0..100 {
            take_all(&mut room, &id(&format!("i-{server}")), 3_000_000);
        }
        assert!(room.taken() <= ROOM, "{}", room.taken());
    }

    #[test]
    fn room_that_is_given_back_is_taken_by_others() {
        let mut room = AnswerRoom::for_answers(MEMORY, LARGEST);
        let (first, second) = (id("i-1"), id("i-2"));
        for _ in 0..3 {
            assert!(room.try_take(&first, LARGEST));
            assert!(!room.try_take(&first, LARGEST));
            assert!(room.try_take(&second, LARGEST));
            room.give_back(&first, LARGEST);
            room.give_back(&second, LARGEST);
            assert_eq!(room.taken(), 0);
        }
    }

    #[test]
    fn small_box_reads_one_large_answer_at_a_time() {
        let mut room = AnswerRoom::for_answers(6_000_000, LARGEST);
        assert!(room.try_take(&id("i-1"), 4_000_000));
        assert!(!room.try_take(&id("i-2"), 300_000));
        room.give_back(&id("i-1"), 4_000_000);
        assert!(room.try_take(&id("i-2"), 300_000));
    }
}
