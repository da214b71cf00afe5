//! Case 3: an operator rolls a new software version of the model servers out. Clients take streams
//! up again that break when the old servers are stopped.

use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::server::{GAP, Server};
use crate::system::{Record, System};
use crate::{Outcome, is_troubled};

const SERVICE: &str = "redactor";
const SERVERS: u8 = 3;
const SLOTS: u32 = 32;

const RELAYS: u8 = 3;
const CLIENTS: u64 = 36;
/// How often a client takes one stream up again at most.
const RETRIES: u64 = 2;
/// As in the example of the pages.
const ROLLOUT_S: u64 = 12;
const RUN_TIME: Duration = Duration::from_secs(20);
const ORDER_AT: Duration = Duration::from_secs(3);

fn document() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"listing-draft\",\"host\":\"app.example\",\"path_prefix\":\"/draft/\",\
         \"kind\":\"streaming\",\"timeout_ms\":12000,\"target_latency_ms\":600,\"priority\":0,\
         \"service\":\"{SERVICE}\",\"max_attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\
         \"target_gap_ms\":600}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_connections\":250,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":{SLOTS},\"kv_capacity_tokens\":587977,\
         \"kv_token_bytes\":163840,\"link_mbps\":740000.0,\"moves\":false,\"backups\":false,\"stride\":6,\
         \"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"team-a\",\"api_keys\":[\"key-a\"],\"priority\":1,\"unit\":\"tokens\",\
         \"plain_tokens\":200,\"rate_per_s\":0,\"burst\":0}}]}}"
    )
}

/// One stream as its client has it, over all of the client's attempts.
#[derive(Default)]
struct Stream {
    name: String,
    last: u64,
    /// The attempt that brought the first event.
    first_attempt: Option<String>,
    /// The versions of which it holds events.
    versions: BTreeSet<String>,
    held: String,
    complete: bool,
}

impl Stream {
    /// Takes bytes of an answer; only whole events count.
    fn take(&mut self, piece: &[u8], attempt: &str, record: &Record) {
        self.held.push_str(&String::from_utf8_lossy(piece));
        while let Some((event, rest)) = self.held.split_once("\n\n") {
            let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
            let id = field("id: ").and_then(|id| id.parse().ok()).unwrap_or(0);
            let version = field("data: ").unwrap_or("").to_owned();
            self.last = id;
            self.first_attempt.get_or_insert_with(|| attempt.to_owned());
            if self.versions.insert(version.clone()) {
                let name = &self.name;
                record.line(&format!(
                    "client gets event {id} of {version} in {name}, attempt {attempt}"
                ));
            }
            self.held = rest.to_owned();
        }
    }

    /// One attempt; returns whether the stream is complete.
    fn attempt(&mut self, number: u64, relay: SocketAddr, record: &Record) -> std::io::Result<u16> {
        let id = format!("{}-{number}", self.name);
        let mut request = format!(
            "POST /draft/{} HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
             Token-Usage: 120,180\r\nPrompt-Prefix: 5c1e07a2:60,{:x}:60\r\nDeadline-Ms: 12000\r\n\
             Api-Key: key-a\r\nContent-Length: 4\r\nConnection: close\r\n",
            self.name,
            id.bytes().fold(7u64, |sum, byte| sum.wrapping_mul(31) + u64::from(byte)),
        );
        if let Some(first) = &self.first_attempt {
            request += &format!("Last-Event-Id: {}\r\nResumes: {first}\r\n", self.last);
        }
        record.line(&format!("client sends {id} behind event {}", self.last));
        self.held.clear();
        let stream = TcpStream::connect_timeout(&relay, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_millis(4_800)))?;
        (&stream).write_all((request + "\r\nbody").as_bytes())?;
        let mut reader = BufReader::new(stream);
        let mut answer = http::read_head(&mut reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        let status = answer.status();
        if status != 200 {
            return Ok(status);
        }
        let read = http::read_body(&mut reader, &mut answer, |piece| self.take(piece, &id, record));
        self.complete = read.is_ok() && answer.complete;
        Ok(status)
    }
}

fn run_client(number: u64, relays: &[SocketAddr], until: Instant, record: &Record) -> Vec<Stream> {
    let mut streams = Vec::new();
    thread::sleep(GAP * (number as u32 % 30));
    let mut count = 0;
    while Instant::now() < until {
        count += 1;
        let mut stream = Stream { name: format!("s{number}-{count}"), ..Stream::default() };
        for attempt in 0..=RETRIES {
            let relay = relays[((number + count + attempt) % relays.len() as u64) as usize];
            let ended = stream.attempt(attempt + 1, relay, record);
            let (name, last) = (&stream.name, stream.last);
            record.line(&format!(
                "attempt {} of {name} ends behind event {last}: {ended:?}, complete: {}",
                attempt + 1,
                stream.complete
            ));
            if stream.complete {
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
        streams.push(stream);
    }
    streams
}

/// Orders the roll-out, starts the new servers, and stops the old ones once it is completed.
fn roll_out(system: &System, old: &[Arc<Server>], record: &Record) {
    system.order_rollout(&format!(
        "{{\"service\":\"{SERVICE}\",\"target_version\":\"v2\",\"duration_s\":{ROLLOUT_S}}}"
    ));
    record.line("the roll-out of v2 is acknowledged");
    for number in 1..=SERVERS {
        Server::new(SERVICE, SLOTS, number, "v2", record).start(system, system.ip(120 + number));
    }
    let limit = Instant::now() + Duration::from_secs(ROLLOUT_S + 3);
    while Instant::now() < limit {
        let state = system.rollout_state(SERVICE);
        if state.contains("\"completed\"") {
            record.line("the roll-out is completed");
            old.iter().for_each(|server| server.stop(system));
            return;
        }
        if state.contains("\"rolled_back\"") {
            record.line("the roll-out is rolled back");
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

pub fn run(folder: &str) -> Outcome {
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
    let until = Instant::now() + RUN_TIME;
    let mut streams = Vec::new();
    thread::scope(|scope| {
        let (relays, record) = (&relays, &record);
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| scope.spawn(move || run_client(number, relays, until, record)))
            .collect();
        thread::sleep(ORDER_AT);
        if is_troubled() {
            roll_out(&system, &old, record);
        }
        for client in clients {
            streams.extend(client.join().unwrap());
        }
    });
    judge(&streams, &record)
}

fn judge(streams: &[Stream], record: &Record) -> Outcome {
    let mixed: Vec<_> = streams.iter().filter(|it| it.versions.len() > 1).collect();
    for stream in &mixed {
        record.line(&format!("ORDER: {} holds events of {:?}", stream.name, stream.versions));
    }
    let complete = streams.iter().filter(|it| it.complete).count();
    let summary = format!(
        "{} streams, {complete} complete, {} hold events of two versions (more than 2 break the rule)",
        streams.len(),
        mixed.len()
    );
    record.line(&summary);
    println!("{summary}");
    match (complete > 100, mixed.len() > 2) {
        (false, _) => Outcome::CouldNotRun,
        (true, false) => Outcome::Held,
        (true, true) => Outcome::Broken,
    }
}
