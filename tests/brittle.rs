//! Servers that fall over when they have to turn away too many requests.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use emberturn::decide::brittle::{BrittleServers, KnownLoad};
use emberturn::ids::{Incarnation, ServerKey, ServiceName};
use platform::{Act, StandIn, TestRelay};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

const SLOTS: u32 = 32;

/// Milliseconds in one step of the model.
const STEP: u64 = 10;

/// How long a request runs, in steps.
const RUN: u64 = 40;

/// Steps between two reports of all servers to all boxes.
const REPORT: u64 = 40;

/// Steps after the first word until the servers fall over.
const WARNING: u64 = 300;

const STEPS: u64 = 1_000;

/// Steps for which a server that fell over is away.
const AWAY: u64 = 300;

#[derive(Default, Clone)]
struct ModelServer {
    ends: VecDeque<u64>,
    rejected: VecDeque<u64>,
    away_until: u64,
    falls: usize,
}

/// What one box knows of one server: the last report, and its own requests then and now.
#[derive(Default, Clone)]
struct Knowledge {
    reported: Option<u32>,
    own_then: u32,
    own: VecDeque<u64>,
}

struct Outcome {
    falls: usize,
    served: usize,
    capacity: f64,
}

/// Boxes send more than the servers can run; each picks among the servers that it may send to.
fn play(boxes: usize, servers: usize, limit: f64, seed: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let began = Instant::now();
    let service: ServiceName = "svc".parse().unwrap();
    let key = |it: usize| ServerKey {
        id: format!("i-{it}").parse().unwrap(),
        life: Incarnation::default(),
    };
    let keys: Vec<_> = (0..servers).map(key).collect();
    let mut world = vec![ModelServer::default(); servers];
    let mut brittle: Vec<BrittleServers> = (0..boxes).map(|_| BrittleServers::default()).collect();
    let seeds: Vec<u64> = (0..boxes).map(|_| random.random()).collect();
    let mut known = vec![vec![Knowledge::default(); servers]; boxes];
    let per_step = 1.5 * (servers as f64 * f64::from(SLOTS)) / RUN as f64;
    let mut served = 0;
    for step in 0..STEPS {
        let now = began + Duration::from_millis(step * STEP);
        for server in &mut world {
            while server.ends.front().is_some_and(|end| *end <= step) {
                server.ends.pop_front();
            }
        }
        for own in known.iter_mut().flatten() {
            while own.own.front().is_some_and(|end| *end <= step) {
                own.own.pop_front();
                own.own_then = own.own_then.saturating_sub(1);
            }
        }
        if step % REPORT == 0 {
            for own in &mut known {
                for (it, server) in own.iter_mut().zip(&world) {
                    (it.reported, it.own_then) =
                        (Some(server.ends.len() as u32), it.own.len() as u32);
                }
            }
        }
        let arrivals = per_step as usize + usize::from(random.random::<f64>() < per_step.fract());
        for _ in 0..arrivals {
            let at = random.random_range(0..boxes);
            let relays = boxes as u32;
            let load = |it: &Knowledge| KnownLoad {
                reported: it.reported,
                own_then: it.own_then,
                own_now: it.own.len() as u32,
                slots: SLOTS,
            };
            let may = |it: usize| {
                world[it].away_until <= step
                    && brittle[at].admits(
                        &keys[it].id,
                        load(&known[at][it]),
                        relays,
                        seeds[at],
                        now,
                    )
            };
            let open: Vec<_> = (0..servers).filter(|it| may(*it)).collect();
            let Some(chosen) = (!open.is_empty()).then(|| open[random.random_range(0..open.len())])
            else {
                continue;
            };
            brittle[at].record_notice(&keys[chosen], &service, Some(limit), relays, now);
            let server = &mut world[chosen];
            let own = &mut known[at][chosen];
            if server.ends.len() < SLOTS as usize {
                server.ends.push_back(step + RUN);
                own.own.push_back(step + RUN);
                served += 1;
                continue;
            }
            brittle[at].record_rejection(&keys[chosen].id, relays, now);
            (own.reported, own.own_then) = (Some(SLOTS), own.own.len() as u32);
            server.rejected.push_back(step);
            while server.rejected.front().is_some_and(|it| *it + 1_000 / STEP <= step) {
                server.rejected.pop_front();
            }
            if step >= WARNING && server.rejected.len() as f64 > limit {
                server.falls += 1;
                server.away_until = step + AWAY;
                (server.ends, server.rejected) = (VecDeque::new(), VecDeque::new());
            }
        }
    }
    let capacity = (servers as u64 * u64::from(SLOTS) * STEPS / RUN) as f64;
    Outcome { falls: world.iter().map(|it| it.falls).sum(), served, capacity }
}

#[parameterized(
    one_box = { 1, 18, 3.0 },
    nine_boxes = { 9, 18, 3.0 },
    nine_boxes_few_servers = { 9, 4, 2.0 },
    sixty_boxes = { 60, 40, 4.0 },
    three_hundred_boxes = { 300, 40, 6.0 },
    hardly_any_rejections = { 9, 18, 1.0 },
)]
fn brittle_servers_stay_up_under_half_as_much_again_as_they_can_run(
    boxes: usize,
    servers: usize,
    limit: f64,
) {
    for seed in 0..3 {
        let outcome = play(boxes, servers, limit, seed);
        let borne = 2 + servers / 10;
        assert!(outcome.falls <= borne, "{} falls, {borne} borne, seed {seed}", outcome.falls);
        let used = outcome.served as f64 / outcome.capacity;
        assert!(used >= 0.5, "{used:.2} of the slots used, seed {seed}");
    }
}

#[tokio::test]
async fn request_is_not_offered_to_a_second_brittle_server_after_a_rejection() {
    let first = StandIn::start("i-1", &[Act::Brittle("3")]).await;
    let second = StandIn::start("i-2", &[Act::Brittle("3")]).await;
    let third = StandIn::start("i-3", &[Act::Brittle("3")]).await;
    let relay = TestRelay::start(&[&first, &second, &third]).await;
    relay.relay.set_relay_count(9);
    let rejected = || first.seen().len() + second.seen().len() + third.seen().len();
    assert_eq!(relay.ask("POST", "safe").await.status, 503);
    let begun = rejected();
    for _ in 0..20 {
        let reply = relay.ask("POST", "safe").await;
        assert!(reply.status == 503 && reply.body.contains("not_run"), "{reply:?}");
    }
    assert!(rejected() - begun <= 2, "{} more rejections", rejected() - begun);
}

#[tokio::test]
async fn server_that_says_nothing_any_more_is_sound_again() {
    let server = StandIn::start("i-1", &[Act::Brittle("0"), Act::Answer]).await;
    let relay = TestRelay::start(&[&server]).await;
    assert_eq!(relay.ask("POST", "safe").await.status, 503);
    assert!(!relay.relay.brittle().is_empty());
    let key = ServerKey { id: "i-1".parse().unwrap(), life: Incarnation::default() };
    let service = "svc".parse().unwrap();
    relay.relay.brittle().record_notice(&key, &service, None, 1, Instant::now());
    assert!(relay.relay.brittle().is_empty());
    assert_eq!(relay.ask("POST", "safe").await.status, 200);
}
