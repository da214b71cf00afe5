//! Invariants of the decision logic.

use std::collections::BTreeMap;
use std::time::Duration;

use emberturn::blackboard::fleet::{SUBSET, subset};
use emberturn::decide::admission::{Admission, TeamLimit};
use emberturn::decide::queue::{WaitQueue, Waiter};
use emberturn::decide::reclaim::{LeavingStream, ReclaimAction, choose_action};
use emberturn::decide::retry::RetryBudget;
use emberturn::decide::route::{Candidate, Need, choose};
use emberturn::decide::share::{LEASE_MS, Lessor, Share, Shares};
use emberturn::error::{Kind, RunState};
use emberturn::ids::{BoxId, ServiceName, TeamName};
use emberturn::state::config::{BackendServer, Class, Configuration};
use emberturn::units::{Price, Tokens};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn team(number: u8) -> TeamName {
    format!("t{number}").parse().unwrap()
}

fn candidate(number: usize, slots: u32, own: u32, reported: Option<u32>) -> Candidate {
    Candidate {
        id: format!("e{number}").parse().unwrap(),
        data_centre: "dc1".parse().unwrap(),
        slots,
        reported,
        own_at_report: 0,
        own_now: own,
        cached: Tokens(0),
        affinity: 0,
        service_time: None,
        price: Price(1_000_000),
        reclaimable: true,
    }
}

fn need() -> Need {
    Need { data_centre: "dc1".parse().unwrap(), prompt: Tokens(400), output: Tokens(100) }
}

proptest! {
    /// Whatever leases are requested, renewed, lost in transit or reduced, all boxes together never
    /// use more than the limit.
    #[test]
    fn shares_of_all_boxes_never_exceed_the_limit(
        steps in prop::collection::vec((0_u8..5, 0_u32..80, 1_u64..1_500, any::<bool>()), 1..120),
    ) {
        let whole = Share { concurrent: 60, budget: Tokens(6_000) };
        let mut lessor = Lessor::new(0);
        let mut now = 0;
        let mut held: BTreeMap<u8, (Share, u64)> = BTreeMap::new();
        for (number, wanted, pause, lost) in steps {
            now += pause;
            let box_id: BoxId = format!("b{number}").parse().unwrap();
            let wanted = Share { concurrent: wanted, budget: Tokens(u64::from(wanted) * 100) };
            let share = lessor.grant(now, &box_id, &team(0), whole, wanted);
            if !lost {
                held.insert(number, (share, now + LEASE_MS));
            }
            let mut sum = (0, 0);
            for number in 0..5_u8 {
                let leased = held.get(&number).filter(|(_, until)| *until > now).map(|(share, _)| *share);
                let leased = leased.map(|share| (team(0), share)).into_iter().collect();
                let limit = Shares { leased }.limit(&team(0), whole, 5);
                sum = (sum.0 + limit.concurrent, sum.1 + limit.budget.0);
            }
            prop_assert!(sum.0 <= whole.concurrent && sum.1 <= whole.budget.0, "{sum:?} at {now}");
        }
    }

    /// A new leader grants nothing while leases of the former leader may still be valid.
    #[test]
    fn new_leader_waits_for_the_former_leases(start in 0_u64..10_000, early in 0..LEASE_MS) {
        let whole = Share { concurrent: 60, budget: Tokens(6_000) };
        let wanted = Share { concurrent: 10, budget: Tokens(100) };
        let mut lessor = Lessor::new(start);
        let box_id: BoxId = "b".parse().unwrap();
        let none = lessor.grant(start + early, &box_id, &team(0), whole, wanted);
        prop_assert_eq!(none, Share::default());
        prop_assert_eq!(lessor.grant(start + LEASE_MS, &box_id, &team(0), whole, wanted), wanted);
    }

    /// Admitted requests never exceed the limits, and released capacity becomes available again.
    #[test]
    fn admission_keeps_both_limits(steps in prop::collection::vec((any::<bool>(), 1_u64..400), 1..200)) {
        let limit = TeamLimit { concurrent: 5, budget: Tokens(1_000) };
        let mut admission = Admission::default();
        let mut inside: Vec<Tokens> = Vec::new();
        for (enter, tokens) in steps {
            if enter {
                match admission.admit(&team(0), Tokens(tokens), limit) {
                    Ok(()) => inside.push(Tokens(tokens)),
                    Err(Kind::ConcurrencyLimit) => prop_assert_eq!(inside.len(), 5),
                    Err(Kind::BudgetLimit) => {
                        let sum: u64 = inside.iter().map(|tokens| tokens.0).sum();
                        prop_assert!(sum + tokens > 1_000);
                    }
                    Err(other) => prop_assert!(false, "{other}"),
                }
            } else if let Some(tokens) = inside.pop() {
                admission.release(&team(0), tokens);
            }
            let sum: u64 = inside.iter().map(|tokens| tokens.0).sum();
            prop_assert!(inside.len() <= 5 && sum <= 1_000);
            prop_assert_eq!(admission.usage(&team(0)).budget, Tokens(sum));
        }
    }

    /// Attempts beyond the first stay within their share of the requests, in whatever order they
    /// come.
    #[test]
    fn retries_stay_within_their_share(attempts in prop::collection::vec(any::<bool>(), 1..3_000)) {
        let mut budget = RetryBudget::default();
        let start = budget.available();
        let (mut requests, mut retries) = (0_u64, 0_u64);
        for is_wanted in attempts {
            requests += 1;
            budget.deposit(10);
            retries += u64::from(is_wanted && budget.try_withdraw());
        }
        prop_assert!(retries <= requests / 10 + start + 1);
    }

    /// No request leaves the queue after its deadline, none is lost, and the queue never exceeds
    /// its capacity.
    #[test]
    fn queue_holds_its_laws(
        steps in prop::collection::vec((0_u8..4, any::<bool>(), 1_u64..500, 0_u64..40), 1..200),
    ) {
        let mut queue = WaitQueue::new(16);
        let mut inside = BTreeMap::new();
        let mut now = 0;
        for (number, push, length, pause) in steps {
            now += pause;
            if push {
                let class = if number % 2 == 0 { Class::Interactive } else { Class::Batch };
                let deadline = now + length;
                let waiter = Waiter { team: team(number), class, weight: 1, cost: length, deadline };
                match queue.push(waiter) {
                    Some(ticket) => drop(inside.insert(ticket, deadline)),
                    None => prop_assert_eq!(inside.len(), 16),
                }
            } else {
                let (next, late) = queue.pop(now);
                for ticket in late {
                    prop_assert!(inside.remove(&ticket).unwrap() <= now);
                }
                match next {
                    Some(ticket) => prop_assert!(inside.remove(&ticket).unwrap() > now),
                    None => prop_assert!(inside.is_empty()),
                }
            }
            prop_assert_eq!(queue.len(), inside.len());
        }
    }

    /// A chosen server has a free slot, and one is chosen whenever there is a server with a free
    /// slot.
    #[test]
    fn route_chooses_an_open_server(
        loads in prop::collection::vec((1_u32..20, 0_u32..40, prop::option::of(0_u32..40)), 0..40),
        seed in any::<u64>(),
    ) {
        let list: Vec<_> = loads
            .iter()
            .enumerate()
            .map(|(number, (slots, own, reported))| candidate(number, *slots, *own, *reported))
            .collect();
        let chosen = choose(&list, &need(), &mut SmallRng::seed_from_u64(seed));
        match chosen {
            Some(chosen) => prop_assert!(chosen.has_free_slot()),
            None => prop_assert!(list.iter().all(|candidate| !candidate.has_free_slot())),
        }
    }

    /// A stream is left to finish only if it has the time, or if there is no alternative.
    #[test]
    fn way_fits_the_notice(
        notice in 0_u64..20_000, remaining in 0_u64..4_000, between in 1_u64..100, repeatable: bool,
    ) {
        let facts = LeavingStream {
            notice: Duration::from_millis(notice),
            prompt_tokens: Tokens(500),
            delivered_tokens: Tokens(10),
            remaining_tokens: Tokens(remaining),
            token_interval: Duration::from_millis(between),
            export_time: Duration::from_millis(500),
            repeatable,
        };
        let fits = remaining * between < notice;
        match choose_action(&facts) {
            ReclaimAction::Finish => prop_assert!(fits || !repeatable || remaining == 0),
            ReclaimAction::Export => prop_assert!(notice >= 500 && repeatable),
            ReclaimAction::Resume => prop_assert!(repeatable && notice < 1_000),
        }
    }
}

#[test]
fn teams_of_equal_weight_get_equal_parts_while_both_wait() {
    let mut queue = WaitQueue::new(10_000);
    // One team sends ten times as many requests; both always have requests waiting.
    for number in 0..1_100_u64 {
        let owner = if number % 11 == 0 { 1 } else { 0 };
        let class = Class::Interactive;
        let deadline = 1_000_000 + number;
        queue.push(Waiter { team: team(owner), class, weight: 1, cost: 100, deadline }).unwrap();
    }
    let first: Vec<_> = (0..100).filter_map(|_| queue.pop(0).0).collect();
    let small = first.iter().filter(|ticket| (ticket.0 - 1) % 11 == 0).count();
    assert!((45..=55).contains(&small), "{small} of 100");
}

#[test]
fn subsets_of_a_large_fleet_are_even_and_stable() {
    let mut fleet = Configuration::default();
    let service: ServiceName = "small".parse().unwrap();
    for number in 0..1_040 {
        let server = BackendServer {
            service: service.clone(),
            addr: "127.0.0.1:1".parse().unwrap(),
            data_centre: "dc1".parse().unwrap(),
            slots: 16,
            price: Price(1),
            reclaimable: true,
            fenced: false,
        };
        fleet.backends.insert(format!("e{number}").parse().unwrap(), server);
    }
    let boxes: Vec<BoxId> = (0..96).map(|number| format!("b{number}").parse().unwrap()).collect();
    let mut uses: BTreeMap<_, u32> = BTreeMap::new();
    for own in &boxes {
        let used = subset(&fleet, &service, own);
        assert_eq!(used.len(), SUBSET);
        for id in used {
            *uses.entry(id).or_default() += 1;
        }
    }
    // 96 boxes with 128 of 1,040 servers each: about 11.8 boxes per server.
    assert_eq!(uses.len(), 1_040, "a server is used by nobody");
    assert!(uses.values().all(|count| (1..=28).contains(count)), "{:?}", uses.values().max());
    // When a server leaves, at most one entry of each box's subset changes.
    let before = subset(&fleet, &service, &boxes[0]);
    fleet.backends.remove(&before[0]);
    let after = subset(&fleet, &service, &boxes[0]);
    assert_eq!(after.iter().filter(|id| !before.contains(id)).count(), 1);
}

#[test]
fn cached_prefix_wins_among_equals_and_a_full_server_loses() {
    let mut list: Vec<_> = (0..20).map(|number| candidate(number, 16, 0, Some(4))).collect();
    list[7].cached = Tokens(384);
    list[3].reported = Some(15);
    let mut random = SmallRng::seed_from_u64(1);
    for _ in 0..50 {
        let chosen = choose(&list, &need(), &mut random).unwrap();
        assert_eq!(chosen.id.as_str(), "e7");
    }
}

#[test]
fn table_of_answers_is_complete_and_its_codes_are_unique() {
    let codes: std::collections::BTreeSet<_> =
        Kind::ALL.iter().map(|it| it.answer().code).collect();
    assert_eq!(codes.len(), Kind::ALL.len());
    for kind in Kind::ALL {
        let row = kind.answer();
        assert!(row.status.is_client_error() || row.status.is_server_error(), "{kind}");
        assert_ne!(row.run, RunState::Done, "{kind} is a failure");
    }
}
