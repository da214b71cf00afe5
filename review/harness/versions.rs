//! A further finding, which is no case: the servers of a service are replaced by servers of a newer software version, with
//! no order to the system. Then every process of the system is killed and started again.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::server::Server;
use crate::system::{Record, System};
use crate::{Outcome, is_troubled};

const SERVICE: &str = "tablon";
const SLOTS: u32 = 6;
const SERVERS: u8 = 4;

/// As `release` in the list of kinds: half of the servers, one at a time, each second. It comes twice.
const REPLACED_AT_ONCE: usize = 2;
const REPLACE_GAP: Duration = Duration::from_secs(1);
const RELEASE_GAP: Duration = Duration::from_secs(3);
/// A server that leaves goes on serving for `drain_ms` and somewhat longer.
const DRAIN_TIME: Duration = Duration::from_millis(4_000);

const RELAYS: u8 = 3;
const CLIENTS: u64 = 24;
const STEADY_TIME: Duration = Duration::from_secs(8);
/// The processes return within a second.
const DOWN_TIME: Duration = Duration::from_millis(800);
/// `recovery_s`.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
const MEASURED_TIME: Duration = Duration::from_secs(10);

/// A request: when it was sent, and the status that came.
type Sent = (Instant, u16);

fn document() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"listing-post\",\"host\":\"app.example\",\"path_prefix\":\"/post/\",\
         \"kind\":\"safe\",\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":0,\"service\":\"{SERVICE}\",\
         \"max_attempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_connections\":110,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"team-a\",\"api_keys\":[\"key-a\"],\"priority\":1,\"unit\":\"tokens\",\
         \"plain_tokens\":1,\"rate_per_s\":0,\"burst\":0}}]}}"
    )
}

fn run_client(
    number: u64,
    relays: &[SocketAddr],
    over: &AtomicBool,
    sent: &Mutex<Vec<Sent>>,
    record: &Record,
) {
    let mut count = 0;
    while !over.load(Ordering::SeqCst) {
        count += 1;
        let relay = relays[((number + count) % relays.len() as u64) as usize];
        let id = format!("c{number}-{count}");
        let request = format!(
            "POST /post/{number} HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\n\
             Api-Key: key-a\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody"
        );
        let at = Instant::now();
        record.line(&format!("client sends {id}"));
        let answer = http::call(relay, request.as_bytes(), Duration::from_millis(1_800));
        let status = answer.as_ref().map_or(0, Message::status);
        record.line(&format!("client gets {status} for {id}"));
        sent.lock().unwrap().push((at, status));
        thread::sleep(Duration::from_millis(150));
    }
}

/// The version of the new servers. `VERSION=v1` replaces them by servers of the same version.
fn new_version() -> &'static str {
    match std::env::var("VERSION").as_deref() {
        Ok("v1") => "v1",
        _ => "v2",
    }
}

/// Replaces servers one after the other: the new one starts first, then the old one drains.
fn replace(system: &System, old: &[std::sync::Arc<Server>], first: u8, record: &Record) {
    let mut number = first;
    for half in old.chunks(REPLACED_AT_ONCE) {
        for server in half {
            let new = Server::new(SERVICE, SLOTS, number, new_version(), record);
            new.start(system, system.ip(100 + number));
            number += 1;
            server.drain(system);
            thread::sleep(REPLACE_GAP);
        }
        thread::sleep(RELEASE_GAP);
        half.iter().for_each(|server| server.stop(system));
    }
}

pub fn run(folder: &str) -> Outcome {
    assert!(REPLACE_GAP + RELEASE_GAP >= DRAIN_TIME);
    let mut system = System::new(folder);
    let record = system.record();
    let old: Vec<_> =
        (1..=SERVERS).map(|it| Server::new(SERVICE, SLOTS, it, "v1", &record)).collect();
    for (server, number) in old.iter().zip(1..) {
        server.clone().start(&system, system.ip(100 + number));
    }
    system.start(RELAYS);
    system.publish(&document());
    system.wait_ready(RELAYS);
    thread::sleep(Duration::from_secs(2));
    let relays: Vec<_> = (11..11 + RELAYS).map(|place| system.addr(place, "front")).collect();
    let (over, sent) = (AtomicBool::new(false), Mutex::default());
    let (mut fault, mut back) = (Instant::now(), Instant::now());
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (relays, over, sent, record) = (&relays, &over, &sent, &record);
            scope.spawn(move || run_client(number, relays, over, sent, record));
        }
        thread::sleep(STEADY_TIME);
        if is_troubled() {
            replace(&system, &old, SERVERS + 1, &record);
        }
        fault = Instant::now();
        record.line("every process of the system is killed");
        for place in (1..=5).chain(11..11 + RELAYS) {
            system.kill(place);
        }
        thread::sleep(DOWN_TIME);
        system.start(RELAYS);
        back = Instant::now();
        record.line("every process of the system is started again");
        thread::sleep(RECOVERY_TIME + MEASURED_TIME);
        over.store(true, Ordering::SeqCst);
    });
    judge(&sent.into_inner().unwrap(), fault, back + RECOVERY_TIME, &record)
}

fn judge(sent: &[Sent], fault: Instant, recovered: Instant, record: &Record) -> Outcome {
    let share = |from: Option<Instant>, to: Option<Instant>| {
        let within = sent
            .iter()
            .filter(|(at, _)| from.is_none_or(|from| *at > from) && to.is_none_or(|to| *at < to));
        let statuses: Vec<_> = within.map(|(_, status)| *status).collect();
        let served = statuses.iter().filter(|status| **status == 200).count();
        (served, statuses.len())
    };
    let (before, after) = (share(None, Some(fault)), share(Some(recovered), None));
    let summary = format!(
        "served before the final fault: {} of {}; sent later than recovery_s after the return: {} of {}",
        before.0, before.1, after.0, after.1
    );
    record.line(&summary);
    println!("{summary}");
    let is_quarter = |(served, all): (usize, usize)| served * 4 >= all;
    match (before.1 > 500 && after.1 > 100 && is_quarter(before), is_quarter(after)) {
        (false, _) => Outcome::CouldNotRun,
        (true, true) => Outcome::Held,
        (true, false) => Outcome::Broken,
    }
}
