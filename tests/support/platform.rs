//! What tests of relays share: documents, a relay in this process, answers as callers see them; and stand-ins for backend servers.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use emberturn::backend::Pool;
use emberturn::blackboard::Blackboard;
use emberturn::clock;
use emberturn::decide::allowance::Grant;
use emberturn::decide::origins::OriginAnswer;
use emberturn::ids::{Incarnation, ServerKey, Term};
use emberturn::platform::{PlatformDialect, document};
use emberturn::relay::known::KnownServer;
use emberturn::relay::list::{IncarnationReport, ListIndex, Server};
use emberturn::relay::list_registry::ListRegistry;
use emberturn::relay::listen::Listeners;
use emberturn::relay::{Relay, RelayContext, ends, lives, reach};
use emberturn::settings::Settings;
use emberturn::telemetry::Metrics;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

#[path = "stand_in.rs"]
mod stand_in;

pub use stand_in::*;

/// How long a test waits for what must come.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A route of a document.
pub fn route(name: &str, kind: &str, attempts: u32) -> Value {
    json!({
        "name": name, "host": "app.example", "path_prefix": format!("/{name}/"), "kind": kind,
        "timeout_ms": 10_000, "target_latency_ms": 5_000, "priority": 0, "service": "svc",
        "max_attempts": attempts, "public": false, "sticky": false,
        "resumable": name.starts_with("resumable"), "target_gap_ms": 100,
    })
}

/// A document with one service, one team with the key `key-a`, and these routes.
pub fn document(version: u64, routes: &[Value]) -> Value {
    json!({
        "version": version, "routes": routes,
        "services": [{
            "name": "svc", "health_path": "/health", "max_connections": 100, "protocol": "h1",
            "tls": false, "engine": {
                "slots": 8, "kv_capacity_tokens": 500_000, "kv_token_bytes": 163_840,
                "link_mbps": 740_000.0, "moves": true, "stride": 1,
            },
        }],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 65_536, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{
            "name": "team-a", "api_keys": ["key-a"], "priority": 1, "unit": "tokens",
            "plain_tokens": 200, "rate_per_s": 1_000_000.0, "burst": 1_000_000.0,
        }],
    })
}

/// The document without limits of its teams.
pub fn without_limits(mut document: Value) -> Value {
    for team in document["tenants"].as_array_mut().unwrap() {
        let limits = ["rate_per_s", "burst"];
        team.as_object_mut().unwrap().retain(|name, _| !limits.contains(&name.as_str()));
    }
    document
}

/// The routes that most tests use.
pub fn usual_routes() -> Vec<Value> {
    vec![
        route("safe", "safe", 2),
        route("once", "unsafe", 1),
        route("stream", "streaming", 1),
        route("resumable", "streaming", 2),
    ]
}

/// A relay in this process.
pub struct TestRelay {
    /// Where callers reach it.
    pub addr: SocketAddr,
    /// Where the balancer asks.
    pub ready: SocketAddr,
    /// What it knows.
    pub board: Arc<Blackboard>,
    /// The relay.
    pub relay: Arc<Relay>,
    /// The list as its leader has it.
    leader: Mutex<ListRegistry>,
    closing: watch::Sender<bool>,
}

/// Runs a test to its end on two threads, for those that a macro draws cases for.
pub fn run(test: impl Future<Output = ()>) {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.worker_threads(2).enable_all().build().unwrap().block_on(test);
}

/// Waits until something holds that no event tells of.
pub async fn until(what: &str, holds: impl Fn() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(PATIENCE, waiting).await.unwrap_or_else(|_| panic!("not in time: {what}"));
}

/// An address nobody listens at.
fn free_addr() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Answers as a leader does whose service has servers of one release.
async fn answer_origin_questions(relay: Arc<Relay>) {
    let mut questions = relay.take_origin_questions().unwrap();
    while let Some((request, port)) = questions.recv().await {
        let servers = relay.servers.for_service(&request.service);
        let releases: BTreeSet<_> = servers.iter().map(|it| it.server.release.clone()).collect();
        let sole = releases.first().filter(|_| releases.len() == 1).cloned();
        let _ = port.send(sole.map_or(OriginAnswer::Unknown, OriginAnswer::Sole));
    }
}

impl TestRelay {
    /// Starts a relay that knows nothing yet.
    pub async fn empty() -> Self {
        Self::empty_with("").await
    }

    /// Starts a relay that knows nothing yet, with further lines among its settings.
    pub async fn empty_with(extra: &str) -> Self {
        // An address that was free may be taken meanwhile, by a connection of another test.
        for _ in 0..16 {
            if let Some(relay) = Self::try_empty(extra).await {
                return relay;
            }
        }
        panic!("no free address");
    }

    async fn try_empty(extra: &str) -> Option<Self> {
        let (addr, ready) = (free_addr(), free_addr());
        let text = format!(
            "[node]\nbox_id = relay\ndata_centre = here\nroles = relay\n[replicas]\nr = 127.0.0.1:1\n\
             [relay]\nlisten = {addr}\nready = {ready}\nforward = 127.0.0.1:0\n{extra}"
        );
        let settings = Settings::parse("relay.ini", &text).unwrap();
        let board = Arc::new(Blackboard::new("relay".parse().unwrap()));
        let (closing, follow) = watch::channel(false);
        let relay = Arc::new(Relay::new(RelayContext {
            topology: settings.topology(),
            settings: settings.relay.unwrap(),
            board: board.clone(),
            pool: Pool::default(),
            dialect: Arc::new(PlatformDialect),
            secret: String::new(),
            metrics: Arc::new(Metrics::new().unwrap()),
            closing: follow,
        }));
        Listeners::open(&relay).await.ok()?.serve(&relay);
        tokio::spawn(lives::run(relay.clone()));
        tokio::spawn(ends::run(relay.clone()));
        tokio::spawn(reach::run(relay.clone()));
        tokio::spawn(answer_origin_questions(relay.clone()));
        Some(Self { addr, ready, board, relay, leader: Mutex::default(), closing })
    }

    /// Starts a relay that is sure of the usual routes and knows the stand-ins.
    pub async fn start(servers: &[&StandIn]) -> Self {
        let relay = Self::empty().await;
        relay.publish(&document(1, &usual_routes()));
        relay.list(servers);
        relay
    }

    /// Has the relay take nothing new.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Whether metrics tell of an outcome of requests.
    pub fn has_counted(&self, outcome: &str) -> bool {
        let text = self.relay.context.metrics.render().unwrap();
        String::from_utf8(text).unwrap().contains(&format!("outcome=\"{outcome}\""))
    }

    /// Puts a document in force, confirmed now, under a leader that allows each team much.
    pub fn publish(&self, value: &Value) {
        self.put(value);
        self.allow(1e9);
    }

    /// Puts a document in force, confirmed now.
    pub fn put(&self, value: &Value) {
        let table = document::read(&value.to_string()).unwrap();
        self.relay.apply_table(Arc::new(table));
        self.board.record_fresh(clock::now());
    }

    /// The leader's reply: each team may use so much, and has more.
    pub fn allow(&self, amount: f64) {
        self.grant(amount, 0.0);
    }

    /// The leader's reply: each team may use so much, and its limit is reached then.
    pub fn allow_only(&self, amount: f64) {
        self.grant(amount, 1.0);
    }

    fn grant(&self, amount: f64, wait: f64) {
        let table = self.relay.table().unwrap();
        let mut allowances = self.relay.allowances();
        let report = allowances.heartbeat_report(clock::now());
        let allowed = Grant { amount, rate: 0.0, wait };
        let allowed = table.teams.keys().map(|team| (team.clone(), allowed)).collect();
        allowances.apply_grants(&report, &allowed, clock::now());
    }

    /// Has the relay know just these servers.
    pub fn list(&self, servers: &[&StandIn]) {
        self.list_as(servers.iter().map(|server| server.listed("svc")).collect());
    }

    /// Has the relay know just these servers, as the platform lists them.
    pub fn list_as(&self, servers: Vec<Server>) {
        let box_id = "relay".parse().unwrap();
        let mut leader = self.leader.lock().unwrap();
        leader.apply_listing(Term(1), servers, Instant::now());
        let index = leader.index(&box_id);
        self.relay.apply_index(ListIndex::clone(&index));
        self.relay
            .apply_parts(leader.list_parts(&self.relay.servers.missing_parts(), Instant::now()));
        assert!(self.relay.servers.missing_parts().is_empty());
    }

    /// Has the leader hear a box's word of the life of a server, which goes out with the next list.
    pub fn tell_life(&self, server: &StandIn, life: u64) {
        let key = ServerKey { id: server.id.parse().unwrap(), life: Incarnation(life) };
        let told = IncarnationReport { server: key, addr: server.addr };
        self.leader.lock().unwrap().apply_incarnation(&told, Instant::now());
    }

    /// What the relay knows of a server.
    pub fn known(&self, id: &str) -> Arc<KnownServer> {
        self.relay.servers.find(&id.parse().unwrap()).unwrap()
    }

    /// Waits until the relay knows a server in a life.
    pub async fn wait_life(&self, id: &str, life: u64) -> Arc<KnownServer> {
        let waiting = async {
            while self.known(id).incarnation() != Incarnation(life) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(PATIENCE, waiting).await.unwrap();
        self.known(id)
    }

    /// Has the relay prefer every other server to this one.
    pub fn set_aside(&self, id: &str) {
        let servers = self.relay.servers.for_service(&"svc".parse().unwrap());
        let known = servers.iter().find(|known| known.server.id.as_str() == id).unwrap();
        while !known.state.fail() {}
        assert!(known.state.is_ejected());
    }

    /// Sends a request as bytes and reads until the other side closes.
    pub async fn raw(&self, text: &str) -> String {
        let mut stream = TcpStream::connect(self.addr).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        let reading = stream.read_to_end(&mut answer);
        // A reset behind the answer is an end as well.
        let _ = tokio::time::timeout(PATIENCE, reading).await.expect("no end in time");
        String::from_utf8_lossy(&answer).into_owned()
    }

    /// Sends a request with the team's key to a route.
    pub async fn ask(&self, method: &str, route: &str) -> Reply {
        self.ask_with(method, route, "Api-Key: key-a\r\n").await
    }

    /// Sends a request with these headers to a route.
    pub async fn ask_with(&self, method: &str, route: &str, headers: &str) -> Reply {
        let text = format!(
            "{method} /{route}/x?y=1 HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r-1\r\n\
             Deadline-Ms: 8000\r\n{headers}Content-Length: 4\r\nConnection: close\r\n\r\nbody"
        );
        Reply::parse(&self.raw(&text).await)
    }
}

/// An answer as a caller sees it.
#[derive(Debug)]
pub struct Reply {
    /// The status; 0 when nothing came.
    pub status: u16,
    /// The headers, in lower case.
    pub headers: HashMap<String, String>,
    /// The body, without the marks of its chunks.
    pub body: String,
    /// Whether the answer came whole.
    pub whole: bool,
}

impl Reply {
    /// Reads an answer from its bytes.
    pub fn parse(text: &str) -> Self {
        let Some((head, rest)) = text.split_once("\r\n\r\n") else {
            let (headers, body) = (HashMap::new(), String::new());
            return Self { status: 0, headers, body, whole: false };
        };
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        let headers: HashMap<String, String> = head
            .lines()
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let (body, whole) = match headers.get("content-length") {
            Some(length) => (rest.to_owned(), rest.len() == length.parse::<usize>().unwrap()),
            None => unchunk(rest),
        };
        Self { status, headers, body, whole }
    }
}

fn unchunk(text: &str) -> (String, bool) {
    let mut body = String::new();
    let mut rest = text;
    while let Some((length, after)) = rest.split_once("\r\n") {
        let Ok(length) = usize::from_str_radix(length, 16) else {
            return (body, false);
        };
        if length == 0 {
            return (body, true);
        }
        if after.len() < length {
            return (body, false);
        }
        body.push_str(&after[..length]);
        rest = after[length..].strip_prefix("\r\n").unwrap_or_default();
    }
    (body, false)
}
