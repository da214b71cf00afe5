//! The memory of real processes beside servers that send what has no end: it stays within the setting, above which the
//! platform ends a process with all that it serves.

#[path = "support/endless.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod endless;
#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;
#[path = "support/system.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod system;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use endless::{Asked, Endless, EndlessServer, Pace, Place};
use platform::{Act, StandIn, document, route, usual_routes};
use serde_json::{Value, json};
use system::System;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use yare::parameterized;

/// What a relay may have where its settings name nothing.
const MEMORY_BYTES: u64 = 160_000_000;

/// Servers in trouble, and callers of them at the same time.
const SERVERS: usize = 4;
const CALLERS: usize = 120;

/// The time that callers give, in milliseconds: more than a test has.
const LONG_MS: u32 = 60_000;

/// Systems at the same time: each has six processes.
static SYSTEMS: Semaphore = Semaphore::const_new(2);

/// Where the relay is.
const RELAY: u8 = 11;

fn routes() -> Vec<Value> {
    let mut routes = usual_routes();
    let mut sound = route("sound", "safe", 1);
    sound["service"] = json!("sound");
    routes.push(sound);
    for route in &mut routes {
        route["timeout_ms"] = json!(LONG_MS);
    }
    routes
}

fn with_sound_service(mut document: Value) -> Value {
    let mut sound = document["services"][0].clone();
    sound["name"] = json!("sound");
    document["services"].as_array_mut().unwrap().push(sound);
    document
}

fn entry(id: &str, addr: SocketAddr) -> Value {
    json!({
        "id": id, "service": "svc", "address": addr, "zone": "here", "version": "v1", "slots": 64, "state": "ready",
        "cold_remaining_ms": 0,
    })
}

/// Asks a relay and reads what comes, slowly or not at all.
async fn call(addr: SocketAddr, route: &str, number: usize, is_slow: bool) {
    let text = format!(
        "POST /{route}/{number} HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r-1\r\nDeadline-Ms: {LONG_MS}\r\n\
         Api-Key: key-a\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    if is_slow {
        let _ = stream.read_u8().await;
        return std::future::pending().await;
    }
    // A refusal and a broken answer are ends as well.
    let _ = stream.read_to_end(&mut Vec::new()).await;
}

/// Asks a sound server. Tells whether it answered; not if the relay has not heard from its leader in time.
async fn is_answered(system: &System, is_slow: bool) -> Option<()> {
    let reply = system.ask(RELAY, "POST", "sound").await.unwrap();
    let is_refused = |code: &str| reply.status == 503 && reply.body.contains(code);
    // Whole answers that their callers do not take may fill the box, which then takes no other requests.
    let is_full = is_slow && (is_refused("no_memory") || is_refused("too_many_callers"));
    let is_unsure = is_refused("stale_configuration");
    assert!(reply.status == 200 || is_full || is_unsure, "{reply:?}");
    (!is_unsure).then_some(())
}

/// Has many callers of a relay ask servers for the same, until half of them have been sent. Gives the relay's peak behind
/// requests of other callers, which are answered.
async fn peak_beside(endless: Endless, route: &'static str, is_slow: bool) -> u64 {
    let _turn = SYSTEMS.acquire().await.unwrap();
    let system = System::start(1).await;
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let server = EndlessServer::start(Asked::Calls, endless.clone()).await;
        system.cloud.list_entries(vec![entry(&format!("i-{number}"), server.addr)]);
        servers.push(server);
    }
    let sound = StandIn::start("i-9", &[Act::Answer]).await;
    system.cloud.list(&sound, "sound");
    system.publish(1, &with_sound_service(document(1, &routes()))).await;
    system.wait_status(RELAY, "sound", 200).await;
    let addr = system.addr(RELAY, "front");
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        // One that is refused for now comes back.
        callers.spawn(async move {
            loop {
                call(addr, route, number, is_slow).await;
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        });
    }
    let runs = || servers.iter().map(EndlessServer::runs).sum::<usize>();
    // What callers do not take fills the box with some of their answers.
    let wanted = if is_slow { CALLERS / 8 } else { CALLERS / 2 };
    system.until("requests in trouble", || async { (runs() >= wanted).then_some(()) }).await;
    for _ in 0..100 {
        system.until("an answer to another caller", || is_answered(&system, is_slow)).await;
    }
    system.peak_memory(RELAY)
}

/// Guards against a relay that the platform ends, as it keeps what servers send without end.
#[parameterized(
    events_that_hardly_come = { Endless::inside_event(4_000_000), "stream", false },
    resumable_events = { Endless::inside_event(4_000_000), "resumable", false },
    small_events_that_hardly_come = { Endless::inside_event(60_000), "stream", false },
    lines = { Endless::stream(1, Endless::LINE.0, Endless::LINE.1, Pace::Fast), "stream", false },
    events_to_slow_callers = { Endless::stream(1, "", "40\r\ndata:xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\n\n\r\n", Pace::Fast), "stream", true },
    bodies = { Endless::whole(Place::BodyToClose, Pace::Fast), "once", false },
    chunks = { Endless::whole(Place::BodyInChunks, Pace::Fast), "safe", false },
    heads = { Endless::whole(Place::Header, Pace::Fast), "safe", false },
    bodies_that_hardly_come = { Endless::within(16 << 20, 1 << 20), "once", false },
    small_bodies_that_hardly_come = { Endless::within(250_000, 249_000), "once", false },
    unknown_bodies_that_hardly_come = { Endless::to_close(250_000), "once", false },
    answers_to_slow_callers = { Endless::whole_of(4 << 20), "once", true },
)]
fn relay_stays_within_its_memory(endless: Endless, route: &'static str, is_slow: bool) {
    platform::run(async move {
        let peak = peak_beside(endless, route, is_slow).await;
        println!("peak {} MB", peak / 1_000_000);
        assert!(peak <= MEMORY_BYTES, "{peak}");
    });
}

/// Callers at the same time that send long prompts.
const PROMPT_CALLERS: usize = 400;

/// Bytes of the body of a long prompt.
const PROMPT_BYTES: usize = 72_000;

/// Sends long prompts one after the other, wherever the relay is in its life, and reads the answers; every second
/// caller slowly.
async fn send_prompts(addr: SocketAddr, number: usize, answered: Arc<AtomicUsize>) {
    let is_slow = number.is_multiple_of(2);
    let body = "x".repeat(PROMPT_BYTES);
    let head = format!(
        "POST /resumable/{number} HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r-{number}\r\nDeadline-Ms: 20000\r\n\
         Api-Key: key-a\r\nToken-Usage: 1000,500\r\nContent-Length: {PROMPT_BYTES}\r\nConnection: close\r\n\r\n"
    );
    loop {
        let sending = async {
            let mut stream = TcpStream::connect(addr).await?;
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(body.as_bytes()).await?;
            let mut answer = Vec::new();
            let mut piece = [0; 512];
            loop {
                let read = stream.read(&mut piece).await?;
                if read == 0 {
                    return std::io::Result::Ok(answer);
                }
                answer.extend_from_slice(&piece[..read]);
                if is_slow {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        };
        match sending.await {
            Ok(answer) if answer.starts_with(b"HTTP/1.1 200") => {
                answered.fetch_add(1, Ordering::SeqCst);
            }
            Ok(_) | Err(_) => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    }
}

/// Guards against a relay that the platform ends as it starts into full traffic.
#[tokio::test(flavor = "multi_thread")]
async fn relay_that_is_killed_and_starts_into_full_traffic_stays_within_its_memory() {
    let _turn = SYSTEMS.acquire().await.unwrap();
    let mut system = System::start(1).await;
    let mut servers = Vec::new();
    for number in 0..8 {
        let acts = [Act::PauseAfterFirst(100, Duration::from_millis(700))];
        let server = StandIn::start(&format!("i-{number}"), &acts).await;
        system.cloud.list(&server, "svc");
        servers.push(server);
    }
    let mut document = with_sound_service(document(1, &routes()));
    document["limits"]["max_body_bytes"] = json!(2 * PROMPT_BYTES);
    document["services"][0]["max_connections"] = json!(PROMPT_CALLERS);
    system.publish(1, &document).await;
    let addr = system.addr(RELAY, "front");
    let answered = Arc::new(AtomicUsize::new(0));
    let mut callers = JoinSet::new();
    for number in 0..PROMPT_CALLERS {
        callers.spawn(send_prompts(addr, number, answered.clone()));
    }
    for _ in 0..3 {
        let before = answered.load(Ordering::SeqCst);
        let count = || answered.load(Ordering::SeqCst) - before;
        system.until("answers", || async { (count() >= PROMPT_CALLERS / 2).then_some(()) }).await;
        let peak = system.peak_memory(RELAY);
        println!("peak {} MB", peak / 1_000_000);
        assert!(peak <= MEMORY_BYTES, "{peak}");
        system.kill(RELAY).await;
        system.launch(RELAY, "relay").await;
    }
}
