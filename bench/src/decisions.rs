//! The pure decisions: time of a route over 128 engines and of a policy.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

use emberturn::decide::policy::{Facts, Policies};
use emberturn::decide::route::{Candidate, Need, choose};
use emberturn::state::config::Class;
use emberturn::units::{Price, Tokens};

use crate::report::{Table, three};

const ROUNDS: u32 = 20_000;

const PROGRAM: &str = r#"
fn decide(request) {
    if request.class == "batch" && request.prompt_tokens > 2000 {
        return #{ class: "batch", wait_ms: 60000 };
    }
    if request.team == "portal" {
        return #{ data_centres: ["dc1", "dc2"] };
    }
    #{}
}"#;

/// Measures and prints.
pub(crate) fn execute() {
    let mut table = Table::new(
        format!("Decisions, mean of {ROUNDS} on one core"),
        &["decision", "microseconds", "goal"],
    );
    table.row(vec!["route over 128 engines".into(), three(route()), "5".into()]);
    table.row(vec!["policy in force".into(), three(policy()), "20".into()]);
    table.print(false);
}

fn mean(mut decide: impl FnMut()) -> f64 {
    for _ in 0..ROUNDS / 10 {
        decide();
    }
    let began = Instant::now();
    for _ in 0..ROUNDS {
        decide();
    }
    let total: Duration = began.elapsed();
    total.as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn route() -> f64 {
    let list: Vec<_> = (0..128_u32).map(candidate).collect();
    let need = Need {
        data_centre: "dc1".parse().expect("a constant name"),
        prompt: Tokens(500),
        output: Tokens(200),
    };
    let mut random = rand::rng();
    mean(|| {
        black_box(choose(black_box(&list), &need, &mut random));
    })
}

fn candidate(number: u32) -> Candidate {
    Candidate {
        id: format!("engine-{number}").parse().expect("a valid name"),
        data_centre: format!("dc{}", number % 4).parse().expect("a valid name"),
        slots: 16,
        reported: Some(number % 20),
        own_then: 1,
        own_now: 2,
        cached: Tokens(u64::from(number % 5) * 16),
        affinity: u64::from(number) * 7_919 + 1,
        service_time: Some(0.8),
        price: Price(1_000_000),
        reclaimable: !number.is_multiple_of(3),
    }
}

fn policy() -> f64 {
    let name = "p".parse().expect("a constant name");
    let policies = Policies::compile(&BTreeMap::from([(name, PROGRAM.to_owned())]));
    let name = "p".parse().expect("a constant name");
    let facts = Facts {
        team: "portal".parse().expect("a constant name"),
        service: "small".parse().expect("a constant name"),
        class: Class::Interactive,
        data_centre: "dc1".parse().expect("a constant name"),
        prompt: Tokens(500),
        output: Tokens(200),
        repeatable: true,
        may_wait: false,
    };
    mean(|| {
        black_box(policies.decide(&name, black_box(&facts))).expect("the policy decides");
    })
}
