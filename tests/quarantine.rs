//! A request that crashes every server that runs it.
//!
//! Guards against an outage in which one caller's request crashed 46 servers of a service within 8
//! s, and 64 more half a minute later; streams that ran on these servers were cut. A server crashed
//! as it began to run the request, the box retried it on a second one, which crashed as well, and
//! the caller tried again at another box under another request ID.
//!
//! The fingerprints in the log lines showed that the calls that broke before their first event were
//! the same request at all of these servers. All state about it (attempts, tried servers, retry
//! budget) started afresh with each attempt and at each box, so neither a box nor the fleet could
//! count the crashes.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;
#[path = "support/system.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod system;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use platform::{
    Act, Reply, StandIn, TestRelay, document, events, read_request, until, usual_routes,
};
use serde_json::json;
use system::System;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use yare::parameterized;

/// How long boxes have to learn of a request: more than the target allows.
const PROPAGATION_TIME: Duration = Duration::from_secs(10);

/// The body that crashes a server.
const POISON: &str = "deadly";

/// The prompt segment that crashes a server, whatever else a request has.
const POISON_SEGMENT: &str = "bad";

/// The first segment of every prompt.
const FIRST_SEGMENT: &str = "c0";

/// Servers of the fleet that crash when they begin to run [`POISON`] or a prompt with
/// [`POISON_SEGMENT`].
struct FragileServers {
    ended: Arc<AtomicUsize>,
    count: usize,
}

impl FragileServers {
    /// Starts and lists `count` servers.
    async fn start(system: &System, count: usize) -> Self {
        let ended: Arc<AtomicUsize> = Arc::default();
        let mut listed = Vec::new();
        for number in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            listed.push(json!({
                "id": format!("i-{number}"), "service": "svc", "address": listener.local_addr().unwrap(),
                "zone": "here", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
            }));
            tokio::spawn(run_until_crash(listener, ended.clone()));
        }
        system.cloud.list_entries(listed);
        Self { ended, count }
    }

    fn ended(&self) -> usize {
        self.ended.load(Ordering::SeqCst)
    }
}

/// Serves until it runs the poison request. Then all its connections break, and it stops listening.
async fn run_until_crash(listener: TcpListener, ended: Arc<AtomicUsize>) {
    let end = Arc::new(Notify::new());
    let mut connections = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            () = end.notified() => break,
            Ok((stream, _)) = listener.accept() => {
                connections.spawn(serve_connection(stream, end.clone()));
            }
        }
    }
    drop(listener);
    connections.shutdown().await;
    ended.fetch_add(1, Ordering::SeqCst);
}

async fn serve_connection(mut stream: TcpStream, end: Arc<Notify>) {
    while let Ok(Some(request)) = read_request(&mut stream).await {
        let prompt = request.headers.get("prompt-prefix").cloned().unwrap_or_default();
        let has_poison = prompt.split(',').any(|it| it.starts_with(&format!("{POISON_SEGMENT}:")));
        if request.body == POISON.as_bytes() || has_poison {
            end.notify_one();
            std::future::pending::<()>().await;
        }
        let id = request.headers.get("request-id").cloned().unwrap_or_default();
        let body = events(2);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// A number that no other attempt has.
fn next_number() -> usize {
    static ATTEMPTS: AtomicUsize = AtomicUsize::new(0);
    ATTEMPTS.fetch_add(1, Ordering::SeqCst)
}

/// One attempt of a caller at a box, with its own request ID.
async fn ask(system: &System, place: u8, route: &str, body: &str) -> Option<Reply> {
    ask_with(system, place, route, body, "").await
}

async fn ask_with(
    system: &System,
    place: u8,
    route: &str,
    body: &str,
    headers: &str,
) -> Option<Reply> {
    let id = next_number();
    let text = format!(
        "POST /{route}/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r-{id}\r\nDeadline-Ms: 8000\r\n\
         Api-Key: key-a\r\n{headers}Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    system.call(place, "front", &text).await
}

/// Sends a request with a prompt, unlike any other, that has `segment` between the first segment and
/// its own.
async fn prompt(system: &System, place: u8, route: &str, segment: &str) -> Option<Reply> {
    let own = 0x0a00_0000 + next_number();
    let headers = format!("Prompt-Prefix: {FIRST_SEGMENT}:100,{segment}:50,{own:x}:10\r\n");
    ask_with(system, place, route, &format!("body {own:x}"), &headers).await
}

/// Sends the poison request to the boxes in turn until three servers have crashed, and then waits
/// until all boxes know of it.
async fn crash_three(system: &System, servers: &FragileServers, boxes: &[u8]) {
    for place in boxes.iter().cycle() {
        ask(system, *place, "safe", POISON).await;
        if servers.ended() >= 3 {
            break;
        }
    }
    for place in boxes {
        let heard = system.wait_line(*place, 0, &["event=request_quarantined"]);
        let _ = tokio::time::timeout(PROPAGATION_TIME, heard).await;
    }
}

async fn is_refused(system: &System, place: u8) {
    let reply = ask(system, place, "safe", POISON).await.expect("no answer");
    assert_eq!(reply.status, 503, "{reply:?}");
    assert!(reply.body.contains("quarantined"), "{reply:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn request_under_which_three_servers_ended_reaches_no_server_from_any_box() {
    let system = System::start(3).await;
    let servers = FragileServers::start(&system, 16).await;
    system.publish(1, &document(1, &usual_routes())).await;
    let boxes = [11, 12, 13];
    for place in boxes {
        system.wait_status(place, "safe", 200).await;
    }
    crash_three(&system, &servers, &boxes).await;
    let before = servers.ended();
    for place in boxes.iter().cycle().take(12) {
        ask(&system, *place, "safe", POISON).await;
    }
    assert_eq!(servers.ended() - before, 0, "servers ended once the boxes had heard");
    assert!(servers.ended() < servers.count);
    for place in boxes {
        is_refused(&system, place).await;
        // Another request to the same route is served once the box finds a server that is still
        // running.
        system
            .until("another request is served", || async {
                let reply = ask(&system, place, "safe", "harmless").await?;
                (reply.status == 200).then_some(())
            })
            .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn held_request_stays_held_whoever_restarts_and_leads() {
    let mut system = System::start(2).await;
    let servers = FragileServers::start(&system, 12).await;
    system.publish(1, &document(1, &usual_routes())).await;
    for place in [11, 12] {
        system.wait_status(place, "safe", 200).await;
    }
    crash_three(&system, &servers, &[11, 12]).await;
    system.until("the group has replicated it", || async { quarantined(&system).await }).await;
    // A box that has just started, and then all processes at once.
    system.kill(12).await;
    let from = system.logged(12);
    system.launch(12, "relay").await;
    system.wait_line(12, from, &["event=request_quarantined"]).await;
    let before = servers.ended();
    is_refused(&system, 12).await;
    for place in [1, 2, 3, 4, 5, 11, 12] {
        system.kill(place).await;
    }
    let from = [11, 12].map(|place| system.logged(place));
    for place in 1..=5 {
        system.launch(place, "replica").await;
    }
    for place in [11, 12] {
        system.launch(place, "relay").await;
    }
    for (place, from) in [11, 12].into_iter().zip(from) {
        system.wait_line(place, from, &["event=request_quarantined"]).await;
        system.wait_status(place, "safe", 200).await;
        is_refused(&system, place).await;
    }
    assert_eq!(servers.ended(), before);
}

/// The quarantine in the group, unless it is empty.
async fn quarantined(system: &System) -> Option<String> {
    let output = system.operator(1, &["quarantine", "show"]).await;
    let text = String::from_utf8(output.stdout).unwrap();
    let line = text.lines().find(|line| line.starts_with("request="))?;
    let name = line.split(['=', ' ']).nth(1)?;
    Some(name.to_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn operator_lets_a_held_request_through() {
    let system = System::start(1).await;
    let servers = FragileServers::start(&system, 8).await;
    system.publish(1, &document(1, &usual_routes())).await;
    system.wait_status(11, "safe", 200).await;
    crash_three(&system, &servers, &[11]).await;
    let name =
        system.until("the group has replicated it", || async { quarantined(&system).await }).await;
    let lifted = system.operator(2, &["quarantine", "lift", &name]).await;
    assert!(lifted.status.success(), "{lifted:?}");
    system.wait_line(11, 0, &["event=request_let_through", &name]).await;
    let before = servers.ended();
    // An attempt may meet only servers that have crashed and are still listed.
    system
        .until("a server gets it", || async {
            ask(&system, 11, "safe", POISON).await;
            (servers.ended() > before).then_some(())
        })
        .await;
    let again = system.operator(2, &["quarantine", "lift", &name]).await;
    assert_eq!(again.status.code(), Some(3), "{again:?}");
}

/// Resumable streams: each attempt begins to run the request again.
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_may_be_taken_up_is_held_like_any_other() {
    let system = System::start(2).await;
    let servers = FragileServers::start(&system, 12).await;
    system.publish(1, &document(1, &usual_routes())).await;
    for place in [11, 12] {
        system.wait_status(place, "safe", 200).await;
    }
    for place in [11, 12, 11] {
        ask(&system, place, "resumable", POISON).await;
    }
    for place in [11, 12] {
        system.wait_line(place, 0, &["event=request_quarantined"]).await;
    }
    let before = servers.ended();
    let reply = ask(&system, 12, "resumable", POISON).await.unwrap();
    assert_eq!((reply.status, servers.ended()), (503, before), "{reply:?}");
}

/// Neither connections that break while their servers keep running nor servers that end while they
/// are leaving are blamed on a request.
#[parameterized(
    connections = { false },
    leaving = { true },
)]
fn request_that_servers_did_not_end_under_is_sent_on(leaving: bool) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let relay = TestRelay::start(&[]).await;
        for number in 0..5 {
            let mut server =
                StandIn::start(&format!("i-{number}"), &[Act::Close, Act::Silent]).await;
            let mut listed = server.listed("svc");
            relay.list_as(vec![listed.clone()]);
            if leaving {
                // It ends under the second attempt, after it has announced that it is leaving.
                relay.ask("POST", "once").await;
                let ended = async {
                    server.wait_seen(2).await;
                    listed.leaving = true;
                    relay.list_as(vec![listed]);
                    server.end().await;
                };
                let (reply, _) = tokio::join!(relay.ask("POST", "once"), ended);
                assert_eq!(reply.status, 502, "{reply:?}");
            } else {
                let reply = relay.ask("POST", "once").await;
                assert_eq!(reply.status, 502, "{reply:?}");
                server.wait_seen(1).await;
            }
        }
        assert!(relay.relay.quarantine().is_empty());
    });
}

/// A box without a leader: servers that are gone after a broken connection count, without any
/// update of a leader.
#[tokio::test]
async fn box_that_no_leader_answers_goes_by_what_it_has_seen() {
    let relay = TestRelay::start(&[]).await;
    for number in 0..3 {
        let mut server = StandIn::start(&format!("i-{number}"), &[Act::Silent]).await;
        relay.list(&[&server]);
        let ended = async {
            server.wait_seen(1).await;
            server.end().await;
        };
        let (reply, _) = tokio::join!(relay.ask("POST", "once"), ended);
        assert_eq!(reply.status, 502, "{reply:?}");
    }
    until("the request is held", || !relay.relay.quarantine().is_empty()).await;
    let server = StandIn::start("i-9", &[Act::Answer]).await;
    relay.list(&[&server]);
    let reply = relay.ask("POST", "once").await;
    assert_eq!((reply.status, server.seen().len()), (503, 0), "{reply:?}");
    // The same body on another path is another request.
    assert_eq!(relay.ask("POST", "safe").await.status, 200);
}

/// What the requests that crash servers have in common.
#[derive(Debug, Clone, Copy)]
enum Harm {
    /// They are the same.
    Request,
    /// A segment of their prompts.
    Segment,
}

impl Harm {
    async fn ask(self, system: &System, place: u8) -> Option<Reply> {
        match self {
            Self::Request => ask(system, place, "safe", POISON).await,
            Self::Segment => prompt(system, place, "safe", POISON_SEGMENT).await,
        }
    }
}

/// The leader is killed or stopped as soon as the third server has crashed: nothing is replicated
/// yet, and the next leader learns of the crashes from the boxes.
#[parameterized(
    killed = { "KILL", Harm::Request },
    frozen = { "STOP", Harm::Request },
    killed_after_unlike_requests = { "KILL", Harm::Segment },
    frozen_after_unlike_requests = { "STOP", Harm::Segment },
)]
fn request_is_held_although_the_leader_goes_at_that_moment(signal: &str, harm: Harm) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let system = System::start(2).await;
        let servers = FragileServers::start(&system, 16).await;
        system.publish(1, &document(1, &usual_routes())).await;
        for place in [11, 12] {
            system.wait_status(place, "safe", 200).await;
        }
        let leader = system.leader().await;
        for place in [11, 12].iter().cycle() {
            harm.ask(&system, *place).await;
            if servers.ended() >= 3 {
                break;
            }
        }
        system.signal(leader, signal);
        for place in [11, 12] {
            system.wait_line(place, 0, &["event=request_quarantined"]).await;
        }
        let before = servers.ended();
        for place in [11, 12, 11, 12] {
            let reply = harm.ask(&system, place).await.expect("no answer");
            assert_eq!(reply.status, 503, "{reply:?}");
            assert!(reply.body.contains("quarantined"), "{reply:?}");
        }
        assert_eq!(servers.ended(), before);
        system.signal(leader, "KILL");
    });
}

/// Requests that differ in everything but a segment of their prompts, beside requests of the same
/// team with the same first segment.
async fn check_prompt_segment_is_held(route: &str) {
    let system = System::start(3).await;
    let servers = FragileServers::start(&system, 24).await;
    system.publish(1, &document(1, &usual_routes())).await;
    let boxes = [11, 12, 13];
    for place in boxes {
        system.wait_status(place, "safe", 200).await;
        prompt(&system, place, route, "ab").await;
    }
    for place in boxes.iter().cycle() {
        prompt(&system, *place, route, POISON_SEGMENT).await;
        if servers.ended() >= 3 {
            break;
        }
    }
    for place in boxes {
        let heard = system.wait_line(place, 0, &["event=request_quarantined"]);
        let _ = tokio::time::timeout(PROPAGATION_TIME, heard).await;
    }
    let before = servers.ended();
    for place in boxes.iter().cycle().take(9) {
        prompt(&system, *place, route, POISON_SEGMENT).await;
    }
    assert_eq!(servers.ended() - before, 0, "servers crashed once the boxes had heard");
    for place in boxes {
        let reply = prompt(&system, place, route, POISON_SEGMENT).await.expect("no answer");
        assert_eq!(reply.status, 503, "{reply:?}");
        assert!(reply.body.contains("quarantined"), "{reply:?}");
        system
            .until("a request with the same first segment is served", || async {
                let reply = prompt(&system, place, route, "ab").await?;
                (reply.status == 200).then_some(())
            })
            .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn prompt_segment_under_which_three_servers_crashed_reaches_no_server_from_any_box() {
    check_prompt_segment_is_held("safe").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn prompt_segment_of_streams_under_which_three_servers_crashed_reaches_no_server() {
    check_prompt_segment_is_held("resumable").await;
}

/// A request, unlike any other, with a prompt of these segments and one of its own, as bytes.
fn prompt_text(route: &str, segments: &str) -> String {
    prompt_without_own(route, &format!("{segments},{:x}:10", 0x0a00_0000 + next_number()))
}

/// The same with these segments alone.
fn prompt_without_own(route: &str, segments: &str) -> String {
    let own = 0x0a00_0000 + next_number();
    let body = format!("body {own:x}");
    format!(
        "POST /{route}/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r-{own}\r\nDeadline-Ms: 8000\r\n\
         Api-Key: key-a\r\nPrompt-Prefix: {segments}\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
    )
}

/// Ends a server once it has got a request.
async fn end_when_asked(mut server: StandIn) {
    server.wait_seen(1).await;
    server.end().await;
}

/// The crashes that the metrics of a relay count.
fn counted_crashes(relay: &TestRelay) -> usize {
    let text = relay.relay.context.metrics.render().unwrap();
    let text = String::from_utf8(text).unwrap();
    let counted = text.lines().find(|line| {
        line.starts_with("emberturn_backend_servers_ended_total") && line.contains("\"false\"")
    });
    counted.map_or(0, |line| line.rsplit(' ').next().unwrap().parse().unwrap())
}

/// A box that no leader answers, with unlike requests of one team.
#[tokio::test]
async fn box_that_no_leader_answers_holds_the_segment_that_its_requests_have_in_common() {
    let relay = TestRelay::start(&[]).await;
    let ask = async |route: &str, segments: &str| {
        Reply::parse(&relay.raw(&prompt_text(route, segments)).await)
    };
    let sound = StandIn::start("i-8", &[Act::Answer]).await;
    relay.list(&[&sound]);
    for _ in 0..3 {
        assert_eq!(ask("once", "c0:100,ab:50").await.status, 200);
    }
    let [a, b, c] = [
        StandIn::start("i-1", &[Act::Silent]).await,
        StandIn::start("i-2", &[Act::Silent]).await,
        StandIn::start("i-3", &[Act::Silent]).await,
    ];
    // The first request is sent on to a second server.
    relay.list(&[&a, &b]);
    let (reply, (), ()) =
        tokio::join!(ask("safe", "c0:100,bad:50"), end_when_asked(a), end_when_asked(b));
    assert_eq!(reply.status, 502, "{reply:?}");
    relay.list(&[&c]);
    let (reply, ()) = tokio::join!(ask("once", "c0:100,bad:50"), end_when_asked(c));
    assert_eq!(reply.status, 502, "{reply:?}");
    until("the segment is held", || !relay.relay.quarantine().is_empty()).await;
    relay.list(&[&sound]);
    let before = sound.seen().len();
    for route in ["once", "safe", "stream", "resumable"] {
        let reply = ask(route, "c0:100,bad:50").await;
        assert_eq!((reply.status, sound.seen().len()), (503, before), "{reply:?}");
        assert!(reply.headers.contains_key("retry-after"), "{reply:?}");
    }
    // As the last one, the segment belongs to one request alone.
    let own = prompt_without_own("once", "c0:100,bad:50");
    assert_eq!(Reply::parse(&relay.raw(&own).await).status, 200, "{own}");
    assert_eq!(ask("once", "c0:100,ab:50").await.status, 200);
}

/// Guards against a shared segment that is refused for the crashes of another one: the relay has just started, so that it
/// has seen neither answered, and the one that crashes servers stands before the shared one.
#[tokio::test]
async fn relay_that_has_just_started_serves_prompts_with_a_part_of_what_crashed() {
    let relay = TestRelay::start(&[]).await;
    let ask = async |segments: &str| Reply::parse(&relay.raw(&prompt_text("once", segments)).await);
    for id in ["i-1", "i-2", "i-3"] {
        let server = StandIn::start(id, &[Act::Silent]).await;
        relay.list(&[&server]);
        let (reply, ()) = tokio::join!(ask("bad:50,c0:100"), end_when_asked(server));
        assert_eq!(reply.status, 502, "{reply:?}");
    }
    until("what crashed is held", || !relay.relay.quarantine().is_empty()).await;
    let sound = StandIn::start("i-8", &[Act::Answer]).await;
    relay.list(&[&sound]);
    assert_eq!(ask("bad:50,c0:100").await.status, 503);
    for _ in 0..2 {
        assert_eq!(ask("ab:50,c0:100").await.status, 200);
    }
    assert_eq!(ask("bad:50,c0:100").await.status, 503);
}

/// Streams that have begun and are cut when their servers crash.
#[tokio::test]
async fn segments_of_streams_that_had_gone_on_are_not_held() {
    let relay = TestRelay::start(&[]).await;
    for number in 0..4 {
        let server = StandIn::start(&format!("i-{number}"), &[Act::UntilMoved(3)]).await;
        relay.list(&[&server]);
        let mut caller = TcpStream::connect(relay.addr).await.unwrap();
        let text = prompt_text("stream", "c0:100,ab:50");
        caller.write_all(text.as_bytes()).await.unwrap();
        let mut answer = String::new();
        while !answer.contains("piece 3") {
            let mut piece = [0; 1_024];
            let length = caller.read(&mut piece).await.unwrap();
            assert!(length > 0, "{answer}");
            answer.push_str(&String::from_utf8_lossy(&piece[..length]));
        }
        server.end().await;
        let _ = caller.read_to_string(&mut answer).await;
        until("the crash is known", || counted_crashes(&relay) > number).await;
    }
    let server = StandIn::start("i-9", &[Act::Answer]).await;
    relay.list(&[&server]);
    let reply = Reply::parse(&relay.raw(&prompt_text("once", "c0:100,ab:50")).await);
    assert_eq!(reply.status, 200, "{reply:?}");
    assert!(relay.relay.quarantine().is_empty());
}
