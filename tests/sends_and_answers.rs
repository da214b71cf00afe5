//! A seeded model of requests and the connections that carry them: whatever servers answer, copy, hold back or break
//! off, a caller is told that its request did not run only if no send of it ran, and what must not be repeated runs at
//! most once.
//!
//! A seed determines what callers and servers do; which of them is first, the machine decides. `EMBERTURN_SEEDS` is
//! how many seeds are run, `EMBERTURN_FIRST_SEED` the first of them, and `EMBERTURN_ORDERS` the requests of each.

#[path = "support/link.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod link;
#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;
#[path = "support/scripted.rs"]
mod scripted;

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use emberturn::clock;
use emberturn::decide::proxies::Proxy;
use link::{Link, LinkFault};
use platform::{PATIENCE, Reply, TestRelay, as_leaving, document, listed_server, usual_routes};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use scripted::{Act, Attempt, Extra, REFUSALS, Refusal, Stage, Which, World};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Callers that ask at the same time.
const CALLERS: usize = 5;

/// Orders from one list of servers to the next.
const ORDERS_PER_LIST: usize = 16;

/// How often a caller comes back with the same id.
const MAX_RETURNS: usize = 2;

/// Statuses that promise that the request did not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Bytes of a body that does not fit into one write.
const LARGE_BODY: usize = 48 << 10;

/// The time of a request that only a server that holds it back may get.
const SHORT_DEADLINE_MS: u64 = 150;

/// The time of any other request.
const DEADLINE_MS: u64 = 8_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Safe,
    Once,
    Stream,
    Resumable,
}

impl Kind {
    const ALL: [Self; 4] = [Self::Safe, Self::Once, Self::Stream, Self::Resumable];

    fn route(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Once => "once",
            Self::Stream => "stream",
            Self::Resumable => "resumable",
        }
    }

    fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable)
    }
}

/// When a caller closes its connection without waiting for the answer.
#[derive(Debug, Clone, Copy)]
enum Leaves {
    AfterHead,
    AfterBody,
    WhenRead,
    WhenRun,
    BehindFirstBytes,
}

/// One request, and what becomes of each of its sends.
#[derive(Debug, Clone)]
struct Order {
    kind: Kind,
    /// The acts of the first attempt, and of those with which the caller comes back.
    attempts: Vec<Vec<Act>>,
    leaves: Option<Leaves>,
    is_large: bool,
}

/// What a seed draws for all of its orders.
#[derive(Debug, Clone, Copy, Default)]
struct Profile {
    servers: usize,
    /// Whether another box sends for the one that is asked.
    is_forwarded: bool,
    /// Whether a connection breaks only with the answer that shows it, and the list of servers stays.
    is_calm: bool,
}

fn draw_refusal(rng: &mut SmallRng, profile: Profile) -> Refusal {
    let status = *REFUSALS.choose(rng).unwrap();
    // A server that is not the one meant is gone until the next list.
    let is_rare = status.starts_with("421") && (profile.is_calm || rng.random_bool(0.8));
    Refusal { status: if is_rare { REFUSALS[0] } else { status }, is_named: rng.random_bool(0.7) }
}

fn draw_extra(rng: &mut SmallRng, profile: Profile) -> Extra {
    let which = match rng.random_bool(0.5) {
        true => Which::SameId,
        false => Which::At(rng.random_range(0..64)),
    };
    match rng.random_range(0..4) {
        0 => Extra::Invented(draw_refusal(rng, profile)),
        _ => Extra::Copy { which, is_named: rng.random_bool(0.7), times: rng.random_range(1..=2) },
    }
}

fn draw_act(rng: &mut SmallRng, profile: Profile) -> Act {
    let drawn = match rng.random_range(0..100) {
        0..39 => Act::Answer,
        39..42 => Act::RefuseEarly(draw_refusal(rng, profile)),
        42..45 => Act::Interim,
        45..49 => Act::Early,
        49..51 => Act::AnswerClose,
        51..64 => Act::Refuse(draw_refusal(rng, profile)),
        64..68 => {
            let status = *["500 Failed", "502 Failed", "404 Not Found"].choose(rng).unwrap();
            Act::Fail(Refusal { status, is_named: rng.random_bool(0.7) })
        }
        68..80 => Act::Foreign { extra: draw_extra(rng, profile), runs_first: rng.random() },
        80..85 => Act::Behind(draw_extra(rng, profile)),
        85..89 => Act::RefuseBehind(draw_refusal(rng, profile), draw_extra(rng, profile)),
        89..92 => Act::Half,
        92..94 => Act::Late,
        94..96 => Act::CloseUnread,
        96..98 => Act::CloseRead,
        _ => Act::CloseRun,
    };
    match drawn {
        // What comes behind an answer, or closes its connection, meets the next request.
        Act::AnswerClose | Act::Behind(_) | Act::RefuseBehind(..) if profile.is_calm => Act::Answer,
        act => act,
    }
}

fn draw_acts(rng: &mut SmallRng, profile: Profile) -> Vec<Act> {
    let count = rng.random_range(1..=3);
    (0..count).map(|_| draw_act(rng, profile)).collect()
}

fn draw_order(rng: &mut SmallRng, profile: Profile) -> Order {
    let mut attempts: Vec<_> = (0..=MAX_RETURNS).map(|_| draw_acts(rng, profile)).collect();
    if rng.random_bool(0.2) {
        // Refused by every server, so that the caller comes back.
        let refuse = Act::Refuse(Refusal { status: REFUSALS[0], is_named: true });
        attempts[0] = vec![refuse; 4];
        let extra = Extra::Copy { which: Which::SameId, is_named: true, times: 1 };
        attempts[1] = vec![Act::Foreign { extra, runs_first: rng.random() }];
    }
    let leaves = [
        Leaves::AfterHead,
        Leaves::AfterBody,
        Leaves::WhenRead,
        Leaves::WhenRun,
        Leaves::BehindFirstBytes,
    ];
    let kind = *Kind::ALL.choose(rng).unwrap();
    for acts in attempts.iter_mut().filter(|_| kind.is_repeatable()) {
        // Without another server it would wait for its whole time.
        if acts.iter().any(|act| matches!(act, Act::Late)) {
            *acts = vec![Act::Late, Act::Answer];
        }
    }
    Order {
        kind,
        attempts,
        leaves: rng.random_bool(0.06).then(|| *leaves.choose(rng).unwrap()),
        is_large: rng.random_bool(0.2),
    }
}

/// What a caller was told.
#[derive(Debug)]
struct Told {
    attempt: Attempt,
    kind: Kind,
    /// `None` if the caller left.
    reply: Option<Reply>,
    /// Whether the server's own answer to another request was passed on.
    is_foreign: bool,
}

impl Told {
    fn is_promise(&self) -> bool {
        self.reply.as_ref().is_some_and(|reply| PROMISES.contains(&reply.status))
    }

    fn is_answered(&self) -> bool {
        self.reply.as_ref().is_some_and(|reply| reply.whole && reply.body.contains("whose="))
    }
}

/// How a server is listed.
#[derive(Debug, Clone, Copy)]
struct Listing {
    is_new: bool,
    is_listed: bool,
    is_leaving: bool,
}

impl Default for Listing {
    fn default() -> Self {
        Self { is_new: false, is_listed: true, is_leaving: false }
    }
}

/// The boxes and the servers of a seed.
struct Site {
    asked: TestRelay,
    /// The box that sends for the one that is asked.
    other: Option<TestRelay>,
    addrs: Vec<SocketAddr>,
    /// Where the box that is asked reaches the servers.
    near: Vec<SocketAddr>,
    _links: Vec<Link>,
    /// How often each server got a new id.
    lives: Mutex<Vec<u32>>,
    world: Arc<World>,
}

impl Site {
    async fn start(profile: Profile, world: Arc<World>) -> Self {
        let mut addrs = Vec::new();
        for _ in 0..profile.servers {
            addrs.push(world.serve().await);
        }
        let (asked, mut other, mut links) = (Self::relay().await, None, Vec::new());
        if profile.is_forwarded {
            let sending = Self::relay().await;
            let addr = *sending.relay.forward_addr.get().unwrap();
            let proxy = Proxy { box_id: "other".parse().unwrap(), addr };
            asked.relay.proxies().assign(vec![proxy]);
            other = Some(sending);
            for addr in &addrs {
                let mut link = Link::start(*addr).await;
                link.fail(LinkFault::Refuse).await;
                links.push(link);
            }
        }
        let near = match profile.is_forwarded {
            true => links.iter().map(|link| link.addr).collect(),
            false => addrs.clone(),
        };
        let lives = Mutex::new(vec![0; profile.servers]);
        let site = Self { asked, other, addrs, near, _links: links, lives, world };
        site.list_anew();
        site
    }

    /// A box whose budget of retries is never used up.
    async fn relay() -> TestRelay {
        let relay = TestRelay::empty_with("retry_floor = 1000000\n").await;
        relay.relay.set_relay_count(1);
        let mut routes = usual_routes();
        for route in &mut routes {
            // A second server is tried soon.
            route["target_latency_ms"] = json!(200);
        }
        relay.publish(&document(1, &routes));
        relay
    }

    /// Lists the servers, each as it is to be listed.
    fn list(&self, listings: &[Listing]) {
        let mut lives = self.lives.lock().unwrap();
        for (life, listing) in lives.iter_mut().zip(listings) {
            *life += u32::from(listing.is_new);
        }
        let list = |addrs: &[SocketAddr], relay: &TestRelay| {
            let listed = addrs.iter().zip(&*lives).zip(listings).enumerate();
            let listed = listed.filter(|(_, (_, listing))| listing.is_listed);
            let listed = listed.map(|(place, ((addr, life), listing))| {
                let server = listed_server(&format!("i-{place}-{life}"), "svc", *addr);
                if listing.is_leaving { as_leaving(server) } else { server }
            });
            relay.list_as(listed.collect());
        };
        if let Some(other) = &self.other {
            list(&self.addrs, other);
        }
        list(&self.near, &self.asked);
    }

    /// Has the boxes hear from the leader.
    fn renew(&self) {
        for relay in self.other.iter().chain([&self.asked]) {
            relay.board.record_fresh(clock::now());
            relay.allow(1e9);
        }
    }

    /// Lists all servers with new ids.
    fn list_anew(&self) {
        self.list(&vec![Listing { is_new: true, ..Listing::default() }; self.addrs.len()]);
    }

    /// Lists the servers as drawn; two of them, which may be new, always take work.
    fn list_as_drawn(&self, rng: &mut SmallRng) {
        let mut listings: Vec<_> = (0..self.addrs.len())
            .map(|place| Listing {
                is_new: rng.random_bool(0.3),
                is_listed: place < 2 || rng.random_bool(0.7),
                is_leaving: place >= 2 && rng.random_bool(0.2),
            })
            .collect();
        let turn = rng.random_range(0..listings.len());
        listings.rotate_left(turn);
        self.list(&listings);
    }

    /// Asks once, as a caller with a connection of its own.
    async fn ask(&self, number: usize, order: &Order, attempt: Attempt, acts: &[Act]) -> Told {
        // No request is refused because the box has not heard from the leader for long.
        self.renew();
        let mut stage = self.world.plan(attempt, acts.to_vec());
        let (head, body) = request_text(number, order, attempt, acts);
        let mut stream = TcpStream::connect(self.asked.addr).await.unwrap();
        let asking = async {
            stream.write_all(head.as_bytes()).await.ok()?;
            if let Some(Leaves::AfterHead) = order.leaves {
                return None;
            }
            // A box that refuses a request need not read its body.
            let _ = stream.write_all(body.as_bytes()).await;
            if let Some(leaves) = order.leaves {
                wait_to_leave(&mut stream, leaves, &mut stage).await;
                return None;
            }
            let mut answer = Vec::new();
            let _ = stream.read_to_end(&mut answer).await;
            Some(Reply::parse(&String::from_utf8_lossy(&answer)))
        };
        let reply = tokio::time::timeout(PATIENCE, asking).await.expect("no end in time");
        let text = reply.as_ref().map(|it| format!("told {} {:?}", it.status, it.body));
        self.world.note(None, attempt, text.unwrap_or("left".to_owned()));
        let is_foreign = reply.as_ref().is_some_and(|reply| is_foreign(number, reply));
        Told { attempt, kind: order.kind, reply, is_foreign }
    }

    /// Asks, and comes back as callers do.
    async fn place(&self, number: usize, order: &Order) -> Vec<Told> {
        let mut all = Vec::new();
        for (place, acts) in order.attempts.iter().enumerate() {
            let attempt = Attempt((number * (MAX_RETURNS + 1) + place) as u64);
            let told = self.ask(number, order, attempt, acts).await;
            let is_over = told.is_answered() || told.reply.is_none();
            let returns = !is_over && (told.is_promise() || order.kind.is_repeatable());
            all.push(told);
            if !returns {
                break;
            }
        }
        all
    }
}

/// The head and the body of a request.
fn request_text(number: usize, order: &Order, attempt: Attempt, acts: &[Act]) -> (String, String) {
    let is_held = acts.iter().any(|act| matches!(act, Act::Late));
    let deadline = match is_held && !order.kind.is_repeatable() {
        true => SHORT_DEADLINE_MS,
        false => DEADLINE_MS,
    };
    let body = format!("r-{number}{}", " ".repeat(if order.is_large { LARGE_BODY } else { 0 }));
    let head = format!(
        "POST /{}/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r-{number}\r\nAttempt: {}\r\n\
         Deadline-Ms: {deadline}\r\nApi-Key: key-a\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        order.kind.route(),
        attempt.0,
        body.len(),
    );
    (head, body)
}

/// Waits until a caller leaves that has sent its request.
async fn wait_to_leave(stream: &mut TcpStream, leaves: Leaves, stage: &mut watch::Receiver<Stage>) {
    let wanted = match leaves {
        Leaves::AfterHead | Leaves::AfterBody => return,
        Leaves::WhenRead => Stage::Read,
        Leaves::WhenRun => Stage::Ran,
        Leaves::BehindFirstBytes => {
            let _ = stream.read(&mut [0; 16]).await;
            return;
        }
    };
    // It may be answered before, and never come that far.
    tokio::select! {
        _ = stage.wait_for(|held| *held >= wanted) => {}
        _ = stream.readable() => {}
    }
}

/// Whether an answer names another request, in its head or in what a server wrote into its body.
fn is_foreign(number: usize, reply: &Reply) -> bool {
    let own = format!("r-{number}");
    let names_other = reply.headers.get("request-id").is_some_and(|id| *id != own);
    let mut names = reply.body.split("whose=").skip(1);
    names_other || names.any(|text| !text.starts_with(&format!("{own};")) && text.contains(';'))
}

/// What a seed came to.
#[derive(Debug, Default)]
struct Outcome {
    profile: Profile,
    connections: u64,
    sends: usize,
    extras: u64,
    answered: usize,
    promised: usize,
    unknown: usize,
    left: usize,
    /// What must not be, each with the order that shows it.
    faults: Vec<(usize, String)>,
}

fn order_of(attempt: Attempt) -> usize {
    attempt.0 as usize / (MAX_RETURNS + 1)
}

/// Judges what the callers of one order were told by what truly ran.
fn judge(world: &World, profile: Profile, all: &[Told], faults: &mut Vec<(usize, String)>) {
    let attempts: Vec<_> = all.iter().map(|told| told.attempt).collect();
    let mut blame = |what: &str, told: &Told| {
        let text = format!("{what}: {told:?}\n{}", world.story(&attempts));
        faults.push((order_of(told.attempt), text));
    };
    let runs = |told: &Told| world.runs(told.attempt).len();
    let Some(last) = all.last() else {
        return;
    };
    if !last.kind.is_repeatable() && all.iter().map(runs).sum::<usize>() > 1 {
        blame("ran more than once", last);
    }
    for told in all {
        if told.is_promise() && runs(told) > 0 {
            blame("ran although refused", told);
        }
        if told.is_foreign {
            blame("got the answer to another request", told);
        }
        let has_left = told.reply.is_none();
        let faulty = world.taken(told.attempt).iter().filter(|act| !act.is_sound()).count();
        let is_owed = profile.is_calm && told.kind.is_repeatable() && faulty <= 1 && !has_left;
        if is_owed && !told.is_answered() {
            blame("not answered although another server was sound", told);
        }
    }
}

/// Plays the orders of a seed.
async fn play(seed: u64, orders: usize) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let profile = Profile {
        servers: rng.random_range(2..=4),
        is_forwarded: seed.is_multiple_of(4),
        is_calm: seed.is_multiple_of(3),
    };
    let orders: Vec<_> = (0..orders).map(|_| draw_order(&mut rng, profile)).collect();
    let world = World::new();
    let site = Site::start(profile, world.clone()).await;
    let (next, all) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    let caller = async || {
        loop {
            let number = next.fetch_add(1, Ordering::SeqCst);
            let Some(order) = orders.get(number) else {
                break;
            };
            let is_turn = number.is_multiple_of(ORDERS_PER_LIST);
            if world.take_misdirected() {
                site.list_anew();
            } else if is_turn && !profile.is_calm {
                site.list_as_drawn(&mut SmallRng::seed_from_u64(seed ^ number as u64));
            }
            let told = site.place(number, order).await;
            all.lock().unwrap().push(told);
        }
    };
    futures_util::future::join_all((0..CALLERS).map(|_| caller())).await;
    site.list_anew();
    let mut last = Vec::new();
    for (place, kind) in [Kind::Safe, Kind::Resumable].into_iter().cycle().take(4).enumerate() {
        let order = Order { kind, attempts: vec![vec![]], leaves: None, is_large: false };
        last.extend(site.place(orders.len() + place, &order).await);
    }
    world.wait_idle().await;
    assert_eq!(site.asked.has_counted("taken"), profile.is_forwarded, "who sent");
    let all = all.into_inner().unwrap();
    let mut outcome = conclude(&world, profile, &all);
    // Whatever came before, sound servers answer.
    let unanswered = last.iter().filter(|told| !told.is_answered());
    outcome
        .faults
        .extend(unanswered.map(|told| {
            (order_of(told.attempt), format!("no answer of a sound server: {told:?}"))
        }));
    outcome
}

fn conclude(world: &World, profile: Profile, all: &[Vec<Told>]) -> Outcome {
    let mut outcome = Outcome {
        profile,
        connections: world.connections(),
        sends: world.sends(),
        extras: world.extras(),
        ..Outcome::default()
    };
    for told in all {
        judge(world, profile, told, &mut outcome.faults);
    }
    for told in all.iter().flatten() {
        let counted = match &told.reply {
            None => &mut outcome.left,
            Some(_) if told.is_promise() => &mut outcome.promised,
            Some(_) if told.is_answered() => &mut outcome.answered,
            Some(_) => &mut outcome.unknown,
        };
        *counted += 1;
    }
    outcome.faults.sort();
    outcome
}

fn number(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

/// Guards against a caller that is told that its request did not run although it did, a request that runs twice, and an
/// answer that goes to another request's caller.
#[test]
fn what_is_told_of_a_request_is_true_whatever_servers_answer() {
    let (first, seeds) = (number("EMBERTURN_FIRST_SEED", 1), number("EMBERTURN_SEEDS", 8));
    let orders = number("EMBERTURN_ORDERS", 400) as usize;
    let (mut extras, mut promised) = (0, 0);
    for seed in first..first + seeds {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let outcome = runtime.block_on(play(seed, orders));
        let mut text = String::new();
        for (order, fault) in outcome.faults.iter().take(3) {
            let again =
                format!("EMBERTURN_FIRST_SEED={seed} EMBERTURN_SEEDS=1 EMBERTURN_ORDERS={orders}");
            let _ = writeln!(text, "{again}\nseed {seed}, order {order} of {orders}: {fault}");
        }
        let Outcome { profile, connections, sends, answered, unknown, left, .. } = outcome;
        println!(
            "seed {seed}: {profile:?}; {orders} orders, {sends} sends on {connections} connections, {} extra answers; \
             {answered} answered, {} promised, {unknown} unknown, {left} left; {} faults",
            outcome.extras,
            outcome.promised,
            outcome.faults.len(),
        );
        assert!(outcome.faults.is_empty(), "{text}");
        extras += outcome.extras;
        promised += outcome.promised;
    }
    // A model in which nothing is copied and nothing refused shows nothing.
    assert!(extras > 0 && promised > 0, "{extras} extra answers, {promised} promises");
}
