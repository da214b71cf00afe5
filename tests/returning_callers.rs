//! Callers that come back for the rest of a stream while servers of several releases serve, with no order: the stream
//! goes on at the release that began it, at any box, or not at all.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;
#[path = "support/system.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod system;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use platform::{PATIENCE, Reply, document, read_request, route, usual_routes, without_limits};
use serde_json::{Value, json};
use system::System;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use yare::parameterized;

/// Events of a whole stream.
const EVENTS: u64 = 6;

/// Streams in a test that counts them.
const STREAMS: u64 = 24;

/// A server that breaks each stream off behind its second event, and gives the rest to who comes back.
struct Server {
    id: &'static str,
    release: &'static str,
    addr: SocketAddr,
    /// Streams that it continued.
    continued: Arc<AtomicUsize>,
    gone: Arc<AtomicBool>,
}

fn event(number: u64, release: &str) -> String {
    let text = format!("id: {number}\ndata: {release}\n\n");
    format!("{:x}\r\n{text}\r\n", text.len())
}

impl Server {
    async fn start(id: &'static str, release: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (continued, gone) = (Arc::<AtomicUsize>::default(), Arc::<AtomicBool>::default());
        let (count, closed) = (continued.clone(), gone.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if closed.load(Ordering::SeqCst) {
                    continue;
                }
                tokio::spawn(Self::talk(stream, release, count.clone()));
            }
        });
        Self { id, release, addr, continued, gone }
    }

    async fn talk(
        mut stream: TcpStream,
        release: &'static str,
        continued: Arc<AtomicUsize>,
    ) -> std::io::Result<()> {
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
            let first = last.map_or(1, |last: u64| last + 1);
            let end = if last.is_some() { EVENTS } else { 2 };
            let events: String = (first..=end).map(|number| event(number, release)).collect();
            stream.write_all(format!("{head}{events}").as_bytes()).await?;
            if last.is_none() {
                return Ok(());
            }
            continued.fetch_add(1, Ordering::SeqCst);
            stream.write_all(b"0\r\n\r\n").await?;
        }
        Ok(())
    }

    fn list(&self, system: &System) {
        system.cloud.list_entries(vec![json!({
            "id": self.id, "service": "svc", "address": self.addr, "zone": "here",
            "version": self.release, "slots": 8, "state": "ready", "cold_remaining_ms": 0,
        })]);
    }

    fn continued(&self) -> usize {
        self.continued.load(Ordering::SeqCst)
    }

    /// It is listed no longer, and takes no connection.
    fn remove(&self, system: &System) {
        self.gone.store(true, Ordering::SeqCst);
        system.cloud.unlist(self.id);
    }
}

async fn ask(system: &System, place: u8, route: &str, headers: &str) -> Option<Reply> {
    let text = format!(
        "POST /{route}/x HTTP/1.1\r\nHost: app.example\r\nApi-Key: key-a\r\nDeadline-Ms: 8000\r\n\
         {headers}Content-Length: 4\r\nConnection: close\r\n\r\nbody"
    );
    system.call(place, "front", &text).await
}

/// Begins a stream at a box; gives the release that began it.
async fn begin(system: &System, place: u8, id: &str) -> String {
    let reply = ask(system, place, "resumable", &format!("Request-Id: {id}\r\n")).await.unwrap();
    assert_eq!((reply.status, reply.whole), (200, false), "{reply:?}");
    releases(&reply).pop().unwrap()
}

/// Comes back for the rest of a stream.
async fn come_back(system: &System, place: u8, id: &str) -> Option<Reply> {
    let headers = format!("Request-Id: {id}-again\r\nLast-Event-Id: 2\r\nResumes: {id}\r\n");
    ask(system, place, "resumable", &headers).await
}

/// Comes back until the box goes on with the stream, as callers do that are refused. Gives its events' releases.
async fn come_back_until_served(system: &System, place: u8, id: &str) -> Vec<String> {
    let reply = system
        .until("the stream goes on", || async {
            let reply = come_back(system, place, id).await?;
            assert!([200, 503].contains(&reply.status), "{reply:?}");
            (reply.status == 200).then_some(reply)
        })
        .await;
    assert!(reply.whole, "{reply:?}");
    releases(&reply)
}

fn releases(reply: &Reply) -> Vec<String> {
    let data = reply.body.lines().filter_map(|line| line.strip_prefix("data: "));
    data.map(str::to_owned).collect()
}

async fn wait_release(system: &System, place: u8, release: &str) {
    system
        .until("the release serves", || async {
            let reply = ask(system, place, "safe", "Request-Id: r-1\r\n").await?;
            (reply.status == 200 && reply.body == release).then_some(())
        })
        .await;
}

/// Two relays and a server of each of two releases, both of which serve.
async fn two_releases() -> (System, Server, Server) {
    two_releases_with(&usual_routes()).await
}

async fn two_releases_with(routes: &[Value]) -> (System, Server, Server) {
    let system = System::start(2).await;
    let old = Server::start("i-1", "v1").await;
    old.list(&system);
    system.publish(1, &document(1, routes)).await;
    wait_release(&system, 11, "v1").await;
    wait_release(&system, 12, "v1").await;
    let new = Server::start("i-2", "v2").await;
    new.list(&system);
    wait_release(&system, 11, "v2").await;
    wait_release(&system, 12, "v2").await;
    (system, old, new)
}

async fn begin_streams(system: &System, place: u8, name: &str) -> Vec<(String, String)> {
    let mut begun = Vec::new();
    for number in 0..STREAMS {
        let id = format!("{name}-{number}");
        let release = begin(system, place, &id).await;
        begun.push((id, release));
    }
    let count = |release: &str| begun.iter().filter(|(_, it)| it == release).count();
    assert!(count("v1") > 0 && count("v2") > 0, "{begun:?}");
    begun
}

/// Guards against a stream that holds events of two releases: the box that its caller came back to chose the release
/// as for a new stream.
#[tokio::test(flavor = "multi_thread")]
async fn stream_goes_on_at_the_release_that_began_it_at_any_box() {
    let (system, ..) = two_releases().await;
    for (id, release) in begin_streams(&system, 11, "s").await {
        let rest = come_back_until_served(&system, 12, &id).await;
        assert_eq!(rest, vec![release.clone(); 4], "{id}");
        // Once more, as after another break: the chain names the first request.
        assert_eq!(come_back_until_served(&system, 11, &id).await, vec![release; 4], "{id}");
    }
}

/// Guards against the same while a roll-out runs: a caller got the rest from the release that its box chose for new
/// requests.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_before_a_rollout_or_of_its_trial_goes_on_at_its_own_release() {
    let system = System::start(2).await;
    let old = Server::start("i-1", "v1").await;
    old.list(&system);
    system.publish(1, &document(1, &usual_routes())).await;
    wait_release(&system, 11, "v1").await;
    wait_release(&system, 12, "v1").await;
    let new = Server::start("i-2", "v2").await;
    // It goes on for longer than the test takes.
    let order = json!({ "service": "svc", "target_version": "v2", "duration_s": 120 });
    system
        .until("the roll-out is taken", || async {
            let reply = system.order_rollout(1, &order).await?;
            (reply.status == 200).then_some(())
        })
        .await;
    new.list(&system);
    let mut begun = Vec::new();
    let beginning = async {
        while begun.last().is_none_or(|(_, release)| release == "v1") {
            let id = format!("s-{}", begun.len());
            let release = begin(&system, 11, &id).await;
            begun.push((id, release));
        }
    };
    tokio::time::timeout(PATIENCE, beginning).await.expect("a stream of the trial");
    let of_trial = begun.pop().unwrap();
    for (id, release) in begun.into_iter().take(4).chain([of_trial]) {
        assert_eq!(come_back_until_served(&system, 12, &id).await, vec![release; 4], "{id}");
    }
}

/// The leader knows of a stream soon after it began, and all that began before with it.
#[tokio::test(flavor = "multi_thread")]
async fn stream_goes_on_though_the_box_that_began_it_is_gone() {
    let (mut system, ..) = two_releases().await;
    let begun = begin_streams(&system, 11, "s").await;
    let (last, _) = begun.last().unwrap();
    come_back_until_served(&system, 12, last).await;
    system.kill(11).await;
    for (id, release) in &begun {
        let reply = come_back(&system, 12, id).await.unwrap();
        assert_eq!(reply.status, 200, "{id}: {reply:?}");
        assert_eq!(releases(&reply), vec![release.clone(); 4], "{id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_goes_on_though_the_leader_that_knew_of_it_is_gone() {
    let (mut system, ..) = two_releases().await;
    let begun = begin_streams(&system, 11, "s").await;
    let leader = system.leader().await;
    system.kill(leader).await;
    for (id, release) in &begun {
        let rest = come_back_until_served(&system, 12, id).await;
        assert_eq!(rest, vec![release.clone(); 4], "{id}");
    }
}

/// Guards against streams that are refused until they end, as nobody is left who knows of them: at least half go on where
/// new ones all begin.
#[tokio::test(flavor = "multi_thread")]
async fn most_streams_go_on_though_their_box_and_the_leader_are_killed_at_once() {
    let (mut system, ..) = two_releases().await;
    let begun = begin_streams(&system, 11, "s").await;
    let (last, _) = begun.last().unwrap();
    come_back_until_served(&system, 12, last).await;
    let leader = system.leader().await;
    system.kill(leader).await;
    assert_most_go_on(&mut system, &begun).await;
}

/// Guards against the same where the replicas that live on have restarted since the streams began.
#[tokio::test(flavor = "multi_thread")]
async fn most_streams_go_on_though_the_other_replicas_restarted_before_the_leader_was_killed() {
    let (mut system, ..) = two_releases().await;
    let begun = begin_streams(&system, 11, "s").await;
    let (last, _) = begun.last().unwrap();
    come_back_until_served(&system, 12, last).await;
    let leader = system.leader().await;
    for place in (1..=5).filter(|place| *place != leader) {
        let from = system.logged(leader);
        system.kill(place).await;
        system.launch(place, "replica").await;
        let replica = format!("replica={}", system.ip(place));
        system.wait_line(leader, from, &["event=origins_passed_on", &replica]).await;
    }
    system.kill(leader).await;
    assert_most_go_on(&mut system, &begun).await;
}

/// Kills the box at which streams began, and asserts that at least half go on at another one where new ones begin.
async fn assert_most_go_on(system: &mut System, begun: &[(String, String)]) {
    system.kill(11).await;
    system.leader().await;
    system
        .until("new streams begin", || async {
            let reply = ask(system, 12, "resumable", "Request-Id: new\r\n").await?;
            (reply.status == 200).then_some(())
        })
        .await;
    let mut known = 0;
    for (id, release) in begun {
        let reply = come_back(system, 12, id).await.unwrap();
        assert!([200, 503].contains(&reply.status), "{id}: {reply:?}");
        assert!(releases(&reply).iter().all(|it| it == release), "{id}: {reply:?}");
        known += usize::from(reply.status == 200);
    }
    assert!(2 * known >= begun.len(), "{known} of {} went on", begun.len());
}

/// A stream that no box knows may have begun at either release.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_unknown_origin_is_refused_as_not_run() {
    let (system, old, new) = two_releases().await;
    let before = old.continued() + new.continued();
    for headers in ["Resumes: nobody\r\n", ""] {
        let headers = format!("Request-Id: r-1\r\nLast-Event-Id: 2\r\n{headers}");
        let reply = ask(&system, 12, "resumable", &headers).await.unwrap();
        assert_eq!(reply.status, 503, "{reply:?}");
        assert_eq!(reply.headers["emberturn-run"], "not_run");
        assert!(reply.headers.contains_key("retry-after"));
        assert!(reply.body.contains("origin_unknown"), "{reply:?}");
    }
    assert_eq!(old.continued() + new.continued(), before);
}

/// Caution is not free: while one release serves, no caller that comes back is refused.
#[tokio::test(flavor = "multi_thread")]
async fn stream_of_the_only_release_goes_on_at_once_at_any_box() {
    let mut system = System::start(2).await;
    let server = Server::start("i-1", "v1").await;
    server.list(&system);
    system.publish(1, &document(1, &usual_routes())).await;
    wait_release(&system, 11, "v1").await;
    wait_release(&system, 12, "v1").await;
    begin(&system, 11, "s-1").await;
    system.kill(11).await;
    for headers in ["Resumes: s-1\r\n", "Resumes: nobody\r\n", ""] {
        let headers = format!("Request-Id: r-1\r\nLast-Event-Id: 2\r\n{headers}");
        let reply = ask(&system, 12, "resumable", &headers).await.unwrap();
        assert_eq!((reply.status, releases(&reply)), (200, vec!["v1".to_owned(); 4]));
    }
}

/// Guards against callers that are refused while there is no leader, though one release alone serves.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_the_only_release_go_on_though_their_box_and_the_leader_are_killed_at_once() {
    let mut system = System::start(2).await;
    let server = Server::start("i-1", "v1").await;
    server.list(&system);
    system.publish(1, &without_limits(document(1, &usual_routes()))).await;
    wait_release(&system, 11, "v1").await;
    wait_release(&system, 12, "v1").await;
    let ids: Vec<_> = (0..STREAMS).map(|number| format!("s-{number}")).collect();
    for id in &ids {
        begin(&system, 11, id).await;
    }
    let leader = system.leader().await;
    system.kill(leader).await;
    system.kill(11).await;
    let mut served = 0;
    for id in &ids {
        let reply = come_back(&system, 12, id).await.unwrap();
        assert!([200, 503].contains(&reply.status), "{id}: {reply:?}");
        served += usize::from(reply.status == 200);
    }
    println!("{served} of {} went on", ids.len());
    assert!(2 * served >= ids.len(), "{served} of {} went on", ids.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_whose_release_is_gone_is_refused_as_not_run() {
    let (system, old, new) = two_releases().await;
    let begun = begin_streams(&system, 11, "s").await;
    let (id, _) = begun.iter().find(|(_, release)| release == "v1").unwrap();
    come_back_until_served(&system, 12, id).await;
    old.remove(&system);
    let before = new.continued();
    system
        .until("the release is gone", || async {
            let reply = come_back(&system, 12, id).await?;
            // Until the box has heard that its servers are gone, an open connection may still serve.
            assert!(releases(&reply).iter().all(|release| release == "v1"), "{reply:?}");
            (reply.status == 503 && reply.body.contains("no_backend")).then_some(())
        })
        .await;
    assert_eq!(new.continued(), before);
}

/// Guards against a service that is refused for good although servers of another release serve it.
#[parameterized(
    with_resumable_streams = { usual_routes() },
    with_plain_requests_alone = { vec![route("safe", "safe", 2)] },
)]
fn servers_that_are_replaced_by_another_release_without_an_order_leave_the_service_served(
    routes: Vec<Value>,
) {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    runtime.block_on(replace_without_an_order(&routes));
}

async fn replace_without_an_order(routes: &[Value]) {
    let (mut system, old, _new) = two_releases_with(routes).await;
    old.remove(&system);
    system
        .until("all requests are served by the other release", || async {
            for _ in 0..10 {
                let reply = ask(&system, 11, "safe", "Request-Id: r-1\r\n").await?;
                if reply.status != 200 || reply.body != "v2" {
                    return None;
                }
            }
            Some(())
        })
        .await;
    for place in (1..=5).chain([11, 12]) {
        system.kill(place).await;
    }
    for place in 1..=5 {
        system.launch(place, "replica").await;
    }
    system.launch(11, "relay").await;
    wait_release(&system, 11, "v2").await;
}

/// Of streams that are taken up again while servers of their release serve, at least half go on where new ones all
/// begin: a box reports its streams in time.
#[tokio::test(flavor = "multi_thread")]
async fn most_streams_go_on_though_a_third_of_the_boxes_is_killed() {
    let (mut system, ..) = two_releases().await;
    for place in 13..=16 {
        system.launch(place, "relay").await;
        wait_release(&system, place, "v2").await;
    }
    let mut begun = Vec::new();
    for number in 0..240 {
        let place = 11 + number % 6;
        let id = format!("s-{number}");
        let release = begin(&system, place, &id).await;
        if place < 13 {
            begun.push((13 + number % 4, id, release));
        }
    }
    system.kill(11).await;
    system.kill(12).await;
    let mut served = 0;
    for (place, id, release) in &begun {
        let reply = come_back(&system, *place, id).await.unwrap();
        assert!(releases(&reply).iter().all(|it| it == release), "{id}: {reply:?}");
        served += usize::from(reply.status == 200);
    }
    assert!(2 * served >= begun.len(), "{served} of {}", begun.len());
}
