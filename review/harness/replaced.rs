//! Case 1: machines of the core are replaced by empty ones at other addresses, never more at once
//! than the deployment is to bear, each after its predecessor's successor has had its time.

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
const RELAYS: u8 = 3;
const CLIENTS: u64 = 6;

/// As `replace_core` in the site file: the empty machine comes 2 s later.
const SUCCESSOR_DELAY: Duration = Duration::from_secs(2);
/// In a planned replacement the new machine has this long (`catch_up_s`) before the old one stops.
const CATCH_UP: Duration = Duration::from_secs(4);
/// From the start of the second successor to the next loss: `catch_up_s` and `contact_ms` have passed.
const NEXT_LOSS: Duration = Duration::from_millis(7_300);

/// From the last successor's start to the end: many times `catch_up_s` and `recovery_s`.
const REST: Duration = Duration::from_secs(45);
/// For this long the operator asks for the configuration at the end, at every replica (`contact_ms`).
const READ_TIME: Duration = Duration::from_secs(5);

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
    answers: &Mutex<Vec<(Instant, u16)>>,
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
        record.line(&format!("client sends {id}"));
        let answer = http::call(relay, request.as_bytes(), Duration::from_millis(1_800));
        let status = answer.as_ref().map_or(0, Message::status);
        record.line(&format!("client gets {status} for {id}"));
        answers.lock().unwrap().push((Instant::now(), status));
        thread::sleep(Duration::from_millis(250));
    }
}

/// Waits for a leader and gives its place.
fn wait_leader(system: &System) -> u8 {
    system.until("a replica leads", || system.leader().is_some());
    system.leader().unwrap_or(1)
}

/// Replaces three machines of the core. The second one goes while the first replacement is under
/// way: two at once are borne. The third goes when both successors have had their time.
fn replace(system: &mut System, record: &Record) {
    let leader = wait_leader(system);
    let began = Instant::now();
    record.line(&format!(
        "replica 6 is added, and is to take the place of replica {leader}, which leads"
    ));
    system.add_replica(6);
    thread::sleep(Duration::from_millis(500));
    let other = system.replicas().into_iter().find(|it| *it != leader && *it != 6).unwrap();
    record.line(&format!("replica {other} is gone for good"));
    system.remove(other);
    thread::sleep(SUCCESSOR_DELAY);
    record.line("replica 7 is added");
    system.add_replica(7);
    let second = Instant::now();
    thread::sleep(CATCH_UP.saturating_sub(began.elapsed()));
    record.line(&format!("replica {leader} gets SIGTERM, and does not come back"));
    system.terminate(leader);
    thread::sleep(NEXT_LOSS.saturating_sub(second.elapsed()));
    record.line(&format!("replica {leader} runs still: {}", system.runs(leader)));
    system.remove(leader);
    let next = wait_leader(system);
    record.line(&format!("replica {next}, which leads, is gone for good"));
    system.remove(next);
    thread::sleep(SUCCESSOR_DELAY);
    record.line("replica 8 is added");
    system.add_replica(8);
}

pub fn run(folder: &str) -> Outcome {
    let mut system = System::new(folder);
    let record = system.record();
    for number in 1..=SERVERS {
        let server = Server::new(SERVICE, SLOTS, number, "v1", &record);
        server.start(&system, system.ip(100 + number));
    }
    system.start(RELAYS);
    system.publish(&document());
    record.line("configuration 7 is acknowledged");
    system.wait_ready(RELAYS);
    thread::sleep(Duration::from_secs(2));
    let relays: Vec<_> = (11..11 + RELAYS).map(|place| system.addr(place, "front")).collect();
    let (over, answers) = (AtomicBool::new(false), Mutex::default());
    let mut read = None;
    let mut last = Instant::now();
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (relays, over, answers, record) = (&relays, &over, &answers, &record);
            scope.spawn(move || run_client(number, relays, over, answers, record));
        }
        thread::sleep(Duration::from_secs(3));
        if is_troubled() {
            replace(&mut system, &record);
        }
        last = Instant::now();
        thread::sleep(REST);
        let began = Instant::now();
        while read.is_none() && began.elapsed() < READ_TIME {
            read = system.replicas().into_iter().find_map(|place| system.read_config(place));
            thread::sleep(Duration::from_millis(100));
        }
        over.store(true, Ordering::SeqCst);
    });
    let answers = answers.into_inner().unwrap();
    let late = answers.iter().filter(|(at, _)| *at > last + REST / 2);
    let late: Vec<_> = late.map(|(_, status)| *status).collect();
    let served = late.iter().filter(|status| **status == 200).count();
    let summary = format!(
        "replicas at the end: {:?}; configuration read back at the end: {read:?}; served in the second half of the rest: {served} of {}",
        system.replicas(),
        late.len()
    );
    record.line(&summary);
    println!("{summary}");
    match (answers.iter().any(|(_, status)| *status == 200), read.as_deref()) {
        (false, _) => Outcome::CouldNotRun,
        (true, Some("7")) => Outcome::Held,
        (true, _) => Outcome::Broken,
    }
}
