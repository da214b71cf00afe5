//! A box that is out of step while servers of a new release join: streams that began at another box are taken up there,
//! and go on at their own release or not at all.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;
#[path = "support/system.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod system;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use emberturn_fakes::proxy::{Fault, Proxy};
use platform::{PATIENCE, Reply, document, read_request, usual_routes, without_limits};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use system::System;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use yare::parameterized;

/// The box at which streams begin, and the one that is out of step.
const IN_STEP: u8 = 11;
const OUT_OF_STEP: u8 = 12;

/// Servers of each release.
const SERVERS: usize = 3;

/// Events of a whole stream, and those that a caller reads before it breaks the stream off.
const EVENTS: u64 = 40;
const READ: usize = 2;

/// Time between two events, two new streams and two tries to take one up.
const GAP: Duration = Duration::from_millis(20);
const NEW_STREAMS: Duration = Duration::from_millis(25);
const RETRY: Duration = Duration::from_millis(100);

/// The routes' timeout, and for how many of it a caller comes back.
const TIMEOUT: Duration = Duration::from_secs(8);
const RETURN_TIMEOUTS: u32 = 2;

/// For how long streams begin once all are in step.
const AFTER: Duration = Duration::from_millis(1_500);

/// The most streams that may hold events of two releases.
const MAX_JOINED: usize = 2;

/// What puts the box out of step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    /// It reaches no replica.
    Cut,
    /// It reaches one replica alone, which reaches no other box.
    CutWithReplica,
    /// The same, where the replica leads.
    CutWithLeader,
    /// It stands still.
    Pause,
    /// It and the leader stand still.
    PauseWithLeader,
    /// It is killed, and starts again behind the cut.
    Restart,
}

const TROUBLES: [Trouble; 6] = [
    Trouble::Cut,
    Trouble::CutWithReplica,
    Trouble::CutWithLeader,
    Trouble::Pause,
    Trouble::PauseWithLeader,
    Trouble::Restart,
];

/// What becomes of the servers of the release before, which go on answering.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Former {
    Stays,
    Drains,
    LeavesTheList,
}

const FORMER: [Former; 3] = [Former::Stays, Former::Drains, Former::LeavesTheList];

#[derive(Debug, Clone, Copy)]
struct Case {
    trouble: Trouble,
    former: Former,
    /// For how long the box is out of step.
    length: Duration,
    /// How long after that began the new release is listed.
    join: Duration,
    /// Whether connections are refused or hang.
    cut: Fault,
    /// The routes' timeout.
    timeout: Duration,
    /// Whether streams begin at the box that is out of step, and are taken up at the other one.
    is_reversed: bool,
}

impl Case {
    fn drawn(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let is_reversed = rng.random_bool(0.25);
        Self {
            trouble: TROUBLES[rng.random_range(0..TROUBLES.len())],
            former: FORMER[rng.random_range(0..FORMER.len())],
            length: Duration::from_millis(rng.random_range(1_500..7_000)),
            join: Duration::from_millis(rng.random_range(0..1_200)),
            cut: if rng.random_bool(0.5) { Fault::Silent } else { Fault::Refuse },
            timeout: if is_reversed { Duration::from_secs(1) } else { TIMEOUT },
            is_reversed,
        }
    }
}

/// A server that generates a stream event by event, and the rest at once for who comes back.
struct Server {
    id: String,
    release: &'static str,
    addr: SocketAddr,
}

fn event(number: u64, release: &str) -> String {
    let text = format!("id: {number}\ndata: {release}\n\n");
    format!("{:x}\r\n{text}\r\n", text.len())
}

impl Server {
    async fn start(id: String, release: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Self::talk(stream, release));
            }
        });
        Self { id, release, addr }
    }

    async fn several(release: &'static str) -> Vec<Self> {
        let mut servers = Vec::new();
        for number in 0..SERVERS {
            servers.push(Self::start(format!("{release}-{number}"), release).await);
        }
        servers
    }

    async fn talk(mut stream: TcpStream, release: &'static str) -> std::io::Result<()> {
        while let Some(request) = read_request(&mut stream).await? {
            let id = request.headers.get("request-id").cloned().unwrap_or_default();
            let head =
                format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\n");
            if request.line.starts_with("POST /safe/") {
                let answer = format!("{head}Content-Length: {}\r\n\r\n{release}", release.len());
                stream.write_all(answer.as_bytes()).await?;
                continue;
            }
            if !request.line.starts_with("POST /resumable/") {
                stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await?;
                continue;
            }
            let last = request.headers.get("last-event-id").map(|text| text.parse().unwrap());
            let head = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            for number in last.map_or(1, |last: u64| last + 1)..=EVENTS {
                stream.write_all(event(number, release).as_bytes()).await?;
                if last.is_none() {
                    tokio::time::sleep(GAP).await;
                }
            }
            stream.write_all(b"0\r\n\r\n").await?;
        }
        Ok(())
    }

    fn list(&self, system: &System, state: &str) {
        system.cloud.unlist(&self.id);
        system.cloud.list_entries(vec![json!({
            "id": self.id, "service": "svc", "address": self.addr, "zone": "here",
            "version": self.release, "slots": 64, "state": state, "cold_remaining_ms": 0,
        })]);
    }
}

/// Asks for a stream and closes the connection behind `events` events, or reads all; `None` without an answer.
async fn ask(front: SocketAddr, headers: &str, events: Option<usize>) -> Option<Reply> {
    let text = format!(
        "POST /resumable/x HTTP/1.1\r\nHost: app.example\r\nApi-Key: key-a\r\nDeadline-Ms: 9000\r\n\
         {headers}Content-Length: 4\r\nConnection: close\r\n\r\nbody"
    );
    let reading = async {
        let mut stream = TcpStream::connect(front).await.ok()?;
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut answer = Vec::new();
        while stream.read_buf(&mut answer).await.ok()? > 0 {
            let seen = String::from_utf8_lossy(&answer);
            if events.is_some_and(|events| seen.matches("data: ").count() >= events) {
                break;
            }
        }
        let reply = Reply::parse(&String::from_utf8_lossy(&answer));
        (reply.status > 0).then_some(reply)
    };
    tokio::time::timeout(PATIENCE, reading).await.ok()?
}

fn releases(reply: &Reply) -> BTreeSet<String> {
    let data = reply.body.lines().filter_map(|line| line.strip_prefix("data: "));
    data.map(str::to_owned).collect()
}

/// What became of a stream.
#[derive(Debug)]
enum Outcome {
    /// It did not begin: the reason.
    Refused(String),
    /// It began at a release, and went on at these, or not until the end.
    Begun(String, BTreeSet<String>),
}

/// Begins a stream at one box, breaks it off and takes it up at the other one until it goes on.
async fn run_stream(
    from: SocketAddr,
    to: SocketAddr,
    id: String,
    new_begun: Arc<AtomicUsize>,
    return_time: Duration,
) -> Outcome {
    let end = Instant::now() + return_time;
    let headers = format!("Request-Id: {id}\r\n");
    let Some(reply) = ask(from, &headers, Some(READ)).await else {
        return Outcome::Refused("no answer".into());
    };
    let Some(release) = releases(&reply).pop_first() else {
        return Outcome::Refused(format!("{} {}", reply.status, reply.body));
    };
    new_begun.fetch_add(usize::from(release == "v2"), Ordering::SeqCst);
    let mut turn = 0;
    while Instant::now() < end {
        let headers =
            format!("Request-Id: {id}-{turn}\r\nLast-Event-Id: {READ}\r\nResumes: {id}\r\n");
        if let Some(reply) = ask(to, &headers, None).await {
            if reply.status == 200 {
                return Outcome::Begun(release, releases(&reply));
            }
            assert_eq!(reply.status, 503, "{reply:?}");
            assert_eq!(reply.headers["emberturn-run"], "not_run", "{reply:?}");
        }
        turn += 1;
        tokio::time::sleep(RETRY).await;
    }
    Outcome::Begun(release, BTreeSet::new())
}

async fn wait_release(system: &System, place: u8, release: &str) {
    system
        .until("the release serves", || async {
            let text = "POST /safe/x HTTP/1.1\r\nHost: app.example\r\nApi-Key: key-a\r\nRequest-Id: r-1\r\n\
                        Content-Length: 4\r\nConnection: close\r\n\r\nbody";
            let reply = system.call(place, "front", text).await?;
            (reply.status == 200 && reply.body == release).then_some(())
        })
        .await;
}

/// Two relays, of which one reaches the replicas through proxies; the ways between replicas are proxied as well.
struct Fleet {
    system: System,
    proxies: BTreeMap<IpAddr, Proxy>,
    /// The ways from each replica to the others.
    between: BTreeMap<u8, BTreeMap<IpAddr, Proxy>>,
    former: Vec<Server>,
}

impl Fleet {
    async fn start(timeout: Duration) -> Self {
        let mut system = System::new().await;
        let mut between = BTreeMap::new();
        for place in 1..=5 {
            let proxies = system.proxies().await;
            let mut ways: BTreeMap<_, _> = proxies.iter().map(|(ip, it)| (*ip, it.addr)).collect();
            ways.insert(system.ip(place), system.peer_addr(place));
            system.launch_to(place, "replica", &ways).await;
            between.insert(place, proxies);
        }
        let nodes: Vec<_> = (2..=5).map(|place| system.peer_addr(place).to_string()).collect();
        let nodes = nodes.iter().flat_map(|node| ["--node", node.as_str()]);
        let words: Vec<_> = ["form"].into_iter().chain(nodes).collect();
        system
            .until("the group is formed", || async {
                system.operator(1, &words).await.status.success().then_some(())
            })
            .await;
        let ways = (1..=5).map(|place| (system.ip(place), system.peer_addr(place))).collect();
        system.launch_to(IN_STEP, "relay", &ways).await;
        let proxies = system.proxies().await;
        system.launch_behind(OUT_OF_STEP, &proxies).await;
        let former = Server::several("v1").await;
        former.iter().for_each(|server| server.list(&system, "ready"));
        // A box out of step would refuse callers for their team's limit.
        let mut document = without_limits(document(1, &usual_routes()));
        for route in document["routes"].as_array_mut().unwrap() {
            route["timeout_ms"] = json!(timeout.as_millis() as u64);
        }
        system.publish(1, &document).await;
        wait_release(&system, IN_STEP, "v1").await;
        wait_release(&system, OUT_OF_STEP, "v1").await;
        Self { system, proxies, between, former }
    }

    /// Sets the ways of the box to all replicas but one, and those between it and the others.
    fn cut(&self, alone: Option<u8>, fault: Fault) {
        let alone_ip = alone.map(|place| self.system.ip(place));
        for (_, proxy) in self.proxies.iter().filter(|(ip, _)| Some(**ip) != alone_ip) {
            proxy.set(fault);
        }
        for (place, proxies) in &self.between {
            for (ip, proxy) in proxies {
                if alone.is_some() && (alone == Some(*place)) != (alone_ip == Some(*ip)) {
                    proxy.set(fault);
                }
            }
        }
    }

    async fn begin(&mut self, case: Case) -> Option<u8> {
        let alone = match case.trouble {
            Trouble::CutWithReplica => {
                let leader = self.system.leader().await;
                (1..=5).find(|place| *place != leader)
            }
            Trouble::CutWithLeader | Trouble::PauseWithLeader => Some(self.system.leader().await),
            Trouble::Cut | Trouble::Pause | Trouble::Restart => None,
        };
        match case.trouble {
            Trouble::Cut | Trouble::CutWithReplica | Trouble::CutWithLeader => {
                self.cut(alone, case.cut);
            }
            Trouble::Restart => {
                self.cut(None, case.cut);
                self.system.kill(OUT_OF_STEP).await;
                let proxies = self.proxies.clone();
                self.system.launch_behind(OUT_OF_STEP, &proxies).await;
            }
            Trouble::Pause | Trouble::PauseWithLeader => {
                for place in alone.into_iter().chain([OUT_OF_STEP]) {
                    self.system.signal(place, "STOP");
                }
            }
        }
        alone
    }

    fn end(&self, case: Case, alone: Option<u8>) {
        match case.trouble {
            Trouble::Pause | Trouble::PauseWithLeader => {
                for place in alone.into_iter().chain([OUT_OF_STEP]) {
                    self.system.signal(place, "CONT");
                }
            }
            _ => self.cut(alone, Fault::None),
        }
    }
}

/// Plays a case. Returns what became of the streams that began meanwhile.
async fn play(fleet: &mut Fleet, case: Case) -> Vec<Outcome> {
    let front = |place| fleet.system.addr(place, "front");
    let (from, to) = match case.is_reversed {
        false => (front(IN_STEP), front(OUT_OF_STEP)),
        true => (front(OUT_OF_STEP), front(IN_STEP)),
    };
    let alone = fleet.begin(case).await;
    let began = Instant::now();
    let joined_at = began + case.join.min(case.length);
    let healed_at = began + case.length;
    let stops_at = healed_at + AFTER;
    let last = stops_at + PATIENCE;
    let new_begun = Arc::new(AtomicUsize::new(0));
    let new = Server::several("v2").await;
    let (mut has_joined, mut has_healed) = (false, false);
    let mut streams = JoinSet::new();
    let mut ticks = tokio::time::interval(NEW_STREAMS);
    let is_enough = || Instant::now() >= stops_at && new_begun.load(Ordering::SeqCst) > 0;
    while !is_enough() && Instant::now() < last {
        ticks.tick().await;
        if !has_joined && Instant::now() >= joined_at {
            has_joined = true;
            for server in &fleet.former {
                match case.former {
                    Former::Stays => {}
                    Former::Drains => server.list(&fleet.system, "draining"),
                    Former::LeavesTheList => fleet.system.cloud.unlist(&server.id),
                }
            }
            new.iter().for_each(|server| server.list(&fleet.system, "ready"));
        }
        if !has_healed && Instant::now() >= healed_at {
            has_healed = true;
            fleet.end(case, alone);
        }
        let id = format!("s-{}", streams.len());
        let return_time = case.timeout * RETURN_TIMEOUTS;
        streams.spawn(run_stream(from, to, id, new_begun.clone(), return_time));
    }
    streams.join_all().await
}

/// Asserts that streams did not go on at another release; and, where they began at the box in step, that new ones began
/// throughout, and that those of servers that still serve went on once the other box was in step.
fn check(case: Case, outcomes: &[Outcome]) {
    let is_of = |outcome: &&Outcome, name: &str| matches!(outcome, Outcome::Begun(begun, _) if begun == name);
    let is_joined = |outcome: &&Outcome| match outcome {
        Outcome::Begun(begun, rest) => rest.iter().any(|release| release != begun),
        Outcome::Refused(_) => false,
    };
    let is_lost =
        |outcome: &&Outcome| matches!(outcome, Outcome::Begun(_, rest) if rest.is_empty());
    let reason = |outcome: &Outcome| match outcome {
        Outcome::Refused(reason) => Some(reason.clone()),
        Outcome::Begun(..) => None,
    };
    let refused: Vec<_> = outcomes.iter().filter_map(reason).collect();
    let reasons: BTreeSet<_> = refused.iter().collect();
    let joined = outcomes.iter().filter(is_joined).count();
    let new: Vec<_> = outcomes.iter().filter(|outcome| is_of(outcome, "v2")).collect();
    let lost = new.iter().copied().filter(is_lost).count();
    println!(
        "{case:?}: {} streams, {} refused, {} of v2, {joined} joined, {lost} of v2 lost",
        outcomes.len(),
        refused.len(),
        new.len(),
    );
    assert!(joined <= MAX_JOINED, "{joined} of {} streams hold events of two releases", new.len());
    assert!(!new.is_empty(), "{case:?}");
    if case.is_reversed {
        return;
    }
    assert!(10 * refused.len() <= outcomes.len(), "{case:?}: {reasons:?}");
    assert!(10 * lost <= new.len(), "{case:?}: {lost} of {}", new.len());
}

fn run(case: Case) {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let mut fleet = Fleet::start(case.timeout).await;
        let outcomes = play(&mut fleet, case).await;
        check(case, &outcomes);
    });
}

/// Guards against streams of a new release that go on at the one before, at a box that does not know the new one yet.
#[parameterized(
    cut_off_and_draining = { Trouble::Cut, Former::Drains, 4_000 },
    cut_off_and_off_the_list = { Trouble::Cut, Former::LeavesTheList, 4_000 },
    cut_off_with_the_leader = { Trouble::CutWithLeader, Former::LeavesTheList, 4_000 },
    paused_and_draining = { Trouble::Pause, Former::Drains, 2_500 },
    paused_with_the_leader = { Trouble::PauseWithLeader, Former::Drains, 2_500 },
    cut_off_and_staying = { Trouble::CutWithReplica, Former::Stays, 6_000 },
)]
fn stream_does_not_go_on_at_the_release_before_at_a_box_out_of_step(
    trouble: Trouble,
    former: Former,
    length: u64,
) {
    let length = Duration::from_millis(length);
    run(Case {
        trouble,
        former,
        length,
        join: Duration::from_millis(300),
        cut: Fault::Refuse,
        timeout: TIMEOUT,
        is_reversed: false,
    });
}

/// Guards against streams that go on at the new release because the one before counts as over, while a box that does not
/// know that it left the list still begins streams there.
#[test]
fn stream_that_a_box_out_of_step_began_does_not_go_on_at_the_new_release() {
    run(Case {
        trouble: Trouble::Cut,
        former: Former::LeavesTheList,
        length: Duration::from_secs(6),
        join: Duration::from_millis(300),
        cut: Fault::Refuse,
        timeout: Duration::from_secs(1),
        is_reversed: true,
    });
}

/// Guards against the same at drawn moments. `EMBERTURN_SEEDS` asks for more.
#[test]
fn stream_does_not_go_on_at_another_release_at_any_moment() {
    let asked = std::env::var("EMBERTURN_SEEDS").ok().and_then(|text| text.parse().ok());
    let seeds: Vec<u64> = (1..=asked.unwrap_or(2)).collect();
    for seeds in seeds.chunks(2) {
        std::thread::scope(|scope| {
            for &seed in seeds {
                scope.spawn(move || {
                    println!("seed {seed}: {:?}", Case::drawn(seed));
                    run(Case::drawn(seed));
                });
            }
        });
    }
}
