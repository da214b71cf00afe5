//! The pure decisions: time of a route, of a policy, of a box's word to the leader and of a choice
//! among a relay's backend servers.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

use emberturn::decide::allowance::TeamDemand;
use emberturn::decide::choose::{
    BackendCandidate, LoadEstimate, affinity, affinity_group, choose as choose_server,
    choose_over_regions, compares_all, estimate_other_requests, estimate_other_requests_by_region,
    sample_indices, should_search_farther,
};
use emberturn::decide::distance::{ByteWeights, Distance, Distances, kilobytes};
use emberturn::decide::engine::EngineModel;
use emberturn::decide::policy::{Policies, PolicyInput};
use emberturn::decide::route::{Candidate, Need, choose};
use emberturn::decide::token_bucket::{RateLimit, ReserveNote, TeamReport, TokenBucket};
use emberturn::decide::topology::Reach;
use emberturn::ids::{BoxId, DataCentre, Incarnation};
use emberturn::state::config::Class;
use emberturn::units::{Price, Tokens};

use crate::report::{Table, three};

const ROUNDS: u32 = 20_000;

/// Teams with a limit, and seconds between two words of a box.
const TEAMS: usize = 40;
const BEAT: f64 = 0.4;

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
    for boxes in [30, 300, 1_000, 3_000] {
        let name = format!("word of one of {boxes} boxes, 40 teams");
        table.row(vec![name, three(word(boxes)), "no slope".into()]);
    }
    for servers in [32, 204, 5_200] {
        let name = format!("relay's choice among {servers} servers");
        table.row(vec![name, three(relay_choice(servers)), "5".into()]);
    }
    for servers in [60, 204, 5_200] {
        let name = format!("... among {servers} in 7 data centres of 3 regions");
        table.row(vec![name, three(regional_choice(servers)), "5".into()]);
    }
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

/// A box's word at the leader: callers of two of the teams come to each box.
fn word(boxes: usize) -> f64 {
    let limit = RateLimit { rate: 150_000.0, burst: 300_000.0 };
    let mut levels: Vec<_> = (0..TEAMS).map(|_| TokenBucket::new(0.0)).collect();
    let ids: Vec<BoxId> = (0..boxes)
        .map(|place| format!("10.1.{}.{}", place / 250, place % 250))
        .map(parsed)
        .collect();
    let (mut turn, mut now) = (0, 0.0);
    mean(|| {
        let place = turn as usize % boxes;
        let total = 5_000.0 * (turn / boxes as u64) as f64;
        let demand = TeamDemand { total, demand_rate: 12_000.0, ..TeamDemand::default() };
        let word = TeamReport { incarnation: Incarnation(1), seq: turn + 1, demand };
        for team in [place % TEAMS, (place * 7 + 3) % TEAMS] {
            let level = &mut levels[team];
            black_box(level.handle_report(
                now,
                limit,
                ReserveNote::Low,
                0,
                &ids[place],
                black_box(word),
            ));
        }
        turn += 1;
        now += BEAT / boxes as f64;
    })
}

/// A relay's choice for a request with a shared part, among servers of which it knows some.
fn relay_choice(count: usize) -> f64 {
    let mut hashes: Vec<_> = (0..count as u64).map(|server| affinity(server, 3)).collect();
    hashes.sort_unstable();
    let model = EngineModel { prompt: 3_000.0, ..EngineModel::default() };
    let mut part = 0;
    mean(|| {
        part += 1;
        let at = hashes.partition_point(|hash| *hash < affinity(part, 0));
        let near = affinity_group(count, at).into_iter();
        let home = near.max_by_key(|place| affinity(part, hashes[*place]));
        let mut places = if compares_all(count) { (0..count).collect() } else { few(count) };
        places.extend(home);
        let word = |place: &usize| Some(LoadEstimate { requests: (*place % 12) as f64, age: 0.4 });
        let words: Vec<_> = places.iter().map(word).collect();
        let candidates: Vec<_> =
            estimate_other_requests(&words, Some(1.0)).into_iter().map(server).collect();
        black_box(choose_server(&model, &candidates, rand::random::<f64>));
    })
}

/// A server of a fleet over several regions.
#[derive(Clone, Copy)]
struct Remote {
    hash: u64,
    data_centre: usize,
    reach: Reach,
}

/// The regions of 7 data centres, of which the box stands in the first.
const REGIONS: [usize; 7] = [0, 0, 0, 1, 1, 2, 2];

/// A relay's choice for a request with a shared part, among servers of 7 data centres of 3 regions, where
/// none that is near has a place: two of each reach are compared, and the part's home in each region.
fn regional_choice(count: usize) -> f64 {
    let names: Vec<DataCentre> = (0..REGIONS.len()).map(|it| parsed(format!("dc{it}"))).collect();
    let mut distances = Distances::default();
    let now = Instant::now();
    for name in names.iter().cycle().take(200) {
        distances.record_connect(name, Duration::from_millis(9), now);
    }
    let mut all: Vec<_> = (0..count).map(remote).collect();
    all.sort_unstable_by_key(|it| it.hash);
    let list =
        |keep: &dyn Fn(&Remote) -> bool| -> Vec<_> { all.iter().copied().filter(keep).collect() };
    let groups = Reach::ALL.map(|reach| list(&|it| it.reach == reach));
    let regions = [0, 1, 2].map(|region| list(&|it| REGIONS[it.data_centre] == region));
    let model = EngineModel { prompt: 3_000.0, ..EngineModel::default() };
    let mut part = 0;
    mean(|| {
        part += 1;
        let home = |servers: &Vec<Remote>| {
            let at = servers.partition_point(|it| it.hash < affinity(part, 0));
            let near = affinity_group(servers.len(), at).into_iter().map(|place| servers[place]);
            near.max_by_key(|it| affinity(part, it.hash))
        };
        let homes = regions.iter().filter_map(home);
        let mut compared: Vec<Remote> = homes.collect();
        let mut candidates = Vec::new();
        for group in &groups {
            compared.extend(few(group.len()).into_iter().map(|place| group[place]));
            candidates = known(&compared, &distances, &names);
            if !should_search_farther(&candidates, Some(6.0)) {
                break;
            }
        }
        black_box(choose_over_regions(&model, &candidates, 6.0, rand::random::<f64>));
    })
}

/// What a relay knows of servers: that all are full.
fn known(servers: &[Remote], distances: &Distances, names: &[DataCentre]) -> Vec<BackendCandidate> {
    let (now, weights) = (Instant::now(), ByteWeights { regional: 0.1, remote: 1.0 });
    let word =
        |it: &Remote| Some(LoadEstimate { requests: 12.0 + (it.hash % 12) as f64, age: 0.4 });
    let words: Vec<_> = servers.iter().map(word).collect();
    let regions: Vec<_> = servers.iter().map(|it| REGIONS[it.data_centre]).collect();
    let distance = |it: &Remote| Distance {
        rtt_ms: distances.rtt_ms(&names[it.data_centre], it.reach, now),
        byte_cost_ms: kilobytes(12_000, 500) * weights.of(it.reach),
    };
    let others = estimate_other_requests_by_region(&words, &regions, Some(1.0)).into_iter();
    let candidate =
        |(requests, it)| BackendCandidate { distance: distance(it), ..server(requests) };
    others.zip(servers).map(candidate).collect()
}

fn remote(number: usize) -> Remote {
    let data_centre = number % REGIONS.len();
    let reach = match (data_centre, REGIONS[data_centre]) {
        (0, _) => Reach::Local,
        (_, 0) => Reach::Regional,
        _ => Reach::Remote,
    };
    Remote { hash: affinity(number as u64, 3), data_centre, reach }
}

fn few(count: usize) -> Vec<usize> {
    sample_indices(count, rand::random::<f64>)
}

fn server(requests: f64) -> BackendCandidate {
    BackendCandidate {
        requests,
        slots: 12,
        residence_time: 1.0,
        queued_prompt_tokens: 0,
        uncached_prompt_tokens: 3_000,
        distance: Distance { rtt_ms: 3.0, byte_cost_ms: 0.0 },
        memory_full: false,
        ejected: false,
    }
}

fn parsed<T: std::str::FromStr>(text: String) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

fn candidate(number: u32) -> Candidate {
    Candidate {
        id: format!("engine-{number}").parse().expect("a valid name"),
        data_centre: format!("dc{}", number % 4).parse().expect("a valid name"),
        slots: 16,
        reported: Some(number % 20),
        own_at_report: 1,
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
    let facts = PolicyInput {
        team: "portal".parse().expect("a constant name"),
        service: "small".parse().expect("a constant name"),
        class: Class::Interactive,
        data_centre: "dc1".parse().expect("a constant name"),
        prompt_tokens: Tokens(500),
        max_tokens: Tokens(200),
        repeatable: true,
        may_wait: false,
    };
    mean(|| {
        black_box(policies.decide(&name, black_box(&facts))).expect("the policy decides");
    })
}
