//! Case 2: servers of a plain service hand out some answers twice. The second copy arrives late, in
//! the place where the next answer is due, with the `Request-Id` of the request it belongs to.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::system::{Listed, Record, System};
use crate::{Outcome, is_troubled};

/// As `tablon` of the site file: 4 servers, 6 slots; a few more requests wait.
const SERVERS: u8 = 4;
const SLOTS: u32 = 6;
const QUEUE: u32 = 2;
const WORK: Duration = Duration::from_millis(60);

/// As `garble` in the site file: `share = 0.6, x = 0.03, for_s = 5.0`. Two of four servers spoil
/// every 34th of their answers for 5 s, and this comes eight times.
const SPOILT_SERVERS: u8 = 2;
const SPOIL_EVERY: u64 = 34;
const TROUBLE_TIME: Duration = Duration::from_secs(5);
const TROUBLE_PAUSE: Duration = Duration::from_secs(1);
const TROUBLES: u32 = 8;

const RELAYS: u8 = 3;
const CLIENTS: u64 = 68;
const RUN_TIME: Duration = Duration::from_secs(50);

/// What all servers and clients saw, by the id of a request.
#[derive(Default)]
struct Seen {
    /// The servers that began to work on it.
    runs: BTreeMap<String, Vec<String>>,
    /// The status that its client got.
    answers: BTreeMap<String, u16>,
}

/// A server of the plain service.
struct Server {
    id: String,
    spoils: bool,
    places: Mutex<(u32, u32)>,
    freed: Condvar,
    answers: AtomicU64,
    troubled: Arc<AtomicBool>,
    seen: Arc<Mutex<Seen>>,
    record: Record,
}

impl Server {
    fn listen(self: Arc<Self>, ip: IpAddr) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).unwrap();
        let addr = listener.local_addr().unwrap();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = self.clone();
                thread::spawn(move || server.converse(stream));
            }
        });
        addr
    }

    fn converse(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        let mut extra: Option<(String, Vec<u8>)> = None;
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let id = request.header("request-id").to_owned();
            if let Some((of, copy)) = extra.take() {
                self.record.line(&format!("{} extra answer of {of} in the place of {id}", self.id));
                if writer.write_all(&copy).is_err() {
                    return;
                }
            }
            let answer = self.answer(&request, &id);
            if writer.write_all(&answer).is_err() {
                return;
            }
            let count = self.answers.fetch_add(1, Ordering::SeqCst);
            let spoils = self.spoils && self.troubled.load(Ordering::SeqCst);
            if spoils && count % SPOIL_EVERY == 0 {
                extra = Some((id, answer));
            }
        }
    }

    fn answer(&self, request: &Message, id: &str) -> Vec<u8> {
        if request.header("expect-instance") != self.id {
            return self.refusal("421 Misdirected Request", id);
        }
        if !self.enter() {
            self.record.line(&format!("{} refuses {id}", self.id));
            return self.refusal("503 Service Unavailable", id);
        }
        self.record.line(&format!("{} runs {id}", self.id));
        self.seen.lock().unwrap().runs.entry(id.to_owned()).or_default().push(self.id.clone());
        thread::sleep(WORK);
        self.leave();
        let (body, load) = (format!("done {id}"), self.load());
        format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {}.{id}\r\n\
             Instance-Load: {load}\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        )
        .into_bytes()
    }

    fn refusal(&self, status: &str, id: &str) -> Vec<u8> {
        format!(
            "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nInstance-Load: {}\r\n\
             Content-Length: 0\r\n\r\n",
            self.load()
        )
        .into_bytes()
    }

    fn load(&self) -> String {
        let (running, waiting) = *self.places.lock().unwrap();
        format!("{running},{waiting},{SLOTS}")
    }

    /// Takes a slot, after a wait if need be. Returns `false` if the server is full.
    fn enter(&self) -> bool {
        let mut places = self.places.lock().unwrap();
        if places.0 < SLOTS {
            places.0 += 1;
            return true;
        }
        if places.1 >= QUEUE {
            return false;
        }
        places.1 += 1;
        while places.0 >= SLOTS {
            places = self.freed.wait(places).unwrap();
        }
        places.1 -= 1;
        places.0 += 1;
        true
    }

    fn leave(&self) {
        self.places.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }
}

fn document() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"phone-check\",\"host\":\"app.example\",\"path_prefix\":\"/check/\",\
     \"kind\":\"unsafe\",\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":0,\"service\":\"tablon\",\
     \"max_attempts\":1,\"public\":false,\"sticky\":false,\"resumable\":false}],\
     \"services\":[{\"name\":\"tablon\",\"health_path\":\"/health\",\"max_connections\":110,\
     \"protocol\":\"h1\",\"tls\":false}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000},\
     \"tenants\":[{\"name\":\"team-a\",\"api_keys\":[\"key-a\"],\"priority\":1,\"unit\":\"tokens\",\
     \"plain_tokens\":1,\"rate_per_s\":0,\"burst\":0}]}"
        .to_owned()
}

/// One client: one request after the other, each with an id of its own.
fn run_client(
    number: u64,
    relays: &[SocketAddr],
    until: Instant,
    seen: &Mutex<Seen>,
    record: &Record,
) {
    let mut count = 0;
    while Instant::now() < until {
        let relay = relays[((number + count) % relays.len() as u64) as usize];
        count += 1;
        let id = format!("c{number}-{count}");
        let body = "x".repeat(600);
        let request = format!(
            "POST /check/{number} HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 1500\r\nApi-Key: key-a\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        record.line(&format!("client sends {id}"));
        let answer = http::call(relay, request.as_bytes(), Duration::from_millis(1_800));
        let status = answer.as_ref().map_or(0, Message::status);
        record.line(&format!("client gets {status} for {id}"));
        seen.lock().unwrap().answers.insert(id, status);
        thread::sleep(Duration::from_millis(60 + (number * 7 + count * 13) % 90));
    }
}

pub fn run(folder: &str) -> Outcome {
    let mut system = System::new(folder);
    let record = system.record();
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let troubled = Arc::new(AtomicBool::new(false));
    for number in 1..=SERVERS {
        let server = Arc::new(Server {
            id: format!("i-{number}"),
            spoils: number <= SPOILT_SERVERS,
            places: Mutex::default(),
            freed: Condvar::new(),
            answers: AtomicU64::new(1),
            troubled: troubled.clone(),
            seen: seen.clone(),
            record: record.clone(),
        });
        let addr = server.clone().listen(system.ip(100 + number));
        let (id, service, version) = (server.id.clone(), "tablon".to_owned(), "v1".to_owned());
        let listed = Listed { id, service, addr, version, slots: SLOTS, state: "ready" };
        system.listing.lock().unwrap().push(listed);
    }
    system.start(RELAYS);
    system.publish(&document());
    system.wait_ready(RELAYS);
    thread::sleep(Duration::from_secs(2));
    let relays: Vec<_> = (11..11 + RELAYS).map(|place| system.addr(place, "front")).collect();
    let until = Instant::now() + RUN_TIME;
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (relays, seen, record) = (&relays, &seen, &record);
            scope.spawn(move || run_client(number, relays, until, seen, record));
        }
        for _ in 0..TROUBLES {
            thread::sleep(TROUBLE_PAUSE);
            if !is_troubled() {
                break;
            }
            record.line("trouble begins");
            troubled.store(true, Ordering::SeqCst);
            thread::sleep(TROUBLE_TIME);
            troubled.store(false, Ordering::SeqCst);
            record.line("trouble ends");
        }
    });
    thread::sleep(Duration::from_millis(500));
    judge(&seen.lock().unwrap(), &record)
}

fn judge(seen: &Seen, record: &Record) -> Outcome {
    let twice: Vec<_> = seen.runs.iter().filter(|(_, servers)| servers.len() > 1).collect();
    for (id, servers) in &twice {
        record.line(&format!("TWICE: {id} ran on {}", servers.join(" and ")));
    }
    let promises = [408, 421, 429, 503];
    let refused = seen
        .answers
        .iter()
        .filter(|(id, status)| promises.contains(*status) && seen.runs.contains_key(*id));
    let refused: Vec<_> = refused.collect();
    for (id, status) in &refused {
        record.line(&format!("REFUSED: {id} ran, and its client got {status}"));
    }
    let mut by_status: BTreeMap<u16, u64> = BTreeMap::new();
    seen.answers.values().for_each(|status| *by_status.entry(*status).or_default() += 1);
    let summary = format!(
        "{} requests sent, {} ran, {} ran twice, {} ran though the answer promised that they had not; answers {by_status:?}",
        seen.answers.len(),
        seen.runs.len(),
        twice.len(),
        refused.len(),
    );
    record.line(&summary);
    println!("{summary}");
    let served = by_status.get(&200).copied().unwrap_or(0);
    match (served > 500, twice.is_empty()) {
        (false, _) => Outcome::CouldNotRun,
        (true, true) => Outcome::Held,
        (true, false) => Outcome::Broken,
    }
}
