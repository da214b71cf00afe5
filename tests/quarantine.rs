//! A request that ends each server that runs it.
//!
//! What users saw: for 8 s servers of one service ended one after the other, 46 of them, and the streams beside
//! were cut; half a minute later 64 more. One caller's request did it each time: a server ended as it began to run
//! it, the box sent it to a second one, which ended as well, and the caller came again at another box with
//! another request id.
//!
//! What proved the cause: with fingerprints in the lines, the calls that broke before their first event at all of these
//! servers are one request. All that was known of it (sends, tried servers, budget) began anew with each
//! attempt and at each box, so neither a box nor the fleet could count.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;
#[path = "support/system.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod system;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use platform::{Reply, document, read_request, usual_routes};
use serde_json::json;
use system::System;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// How long the boxes get to hear of a request: longer than they may take.
const HEARING_TIME: Duration = Duration::from_secs(10);

/// The body that ends a server.
const DEADLY: &str = "deadly";

/// Servers of the fleet that end when they begin to run [`DEADLY`].
struct Fragile {
    ended: Arc<AtomicUsize>,
    count: usize,
}

impl Fragile {
    /// Starts and lists so many.
    async fn start(system: &System, count: usize) -> Self {
        let ended: Arc<AtomicUsize> = Arc::default();
        let mut listed = Vec::new();
        for number in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            listed.push(json!({
                "id": format!("i-{number}"), "service": "svc", "address": listener.local_addr().unwrap(),
                "zone": "here", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
            }));
            tokio::spawn(run_until_ended(listener, ended.clone()));
        }
        system.cloud.list_entries(listed);
        Self { ended, count }
    }

    fn ended(&self) -> usize {
        self.ended.load(Ordering::SeqCst)
    }
}

/// Serves until it runs the deadly request; then all its connections break and nobody listens any more.
async fn run_until_ended(listener: TcpListener, ended: Arc<AtomicUsize>) {
    let end = Arc::new(Notify::new());
    let mut connections = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            () = end.notified() => break,
            Ok((stream, _)) = listener.accept() => {
                connections.spawn(talk(stream, end.clone()));
            }
        }
    }
    drop(listener);
    connections.shutdown().await;
    ended.fetch_add(1, Ordering::SeqCst);
}

async fn talk(mut stream: TcpStream, end: Arc<Notify>) {
    while let Ok(Some(request)) = read_request(&mut stream).await {
        if request.body == DEADLY.as_bytes() {
            end.notify_one();
            std::future::pending::<()>().await;
        }
        let id = request.headers.get("request-id").cloned().unwrap_or_default();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\nContent-Length: 2\r\n\r\nok"
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// One attempt of a caller at a box, with a request id of its own.
async fn ask(system: &System, place: u8, route: &str, body: &str) -> Option<Reply> {
    static ATTEMPTS: AtomicUsize = AtomicUsize::new(0);
    let id = ATTEMPTS.fetch_add(1, Ordering::SeqCst);
    let text = format!(
        "POST /{route}/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r-{id}\r\nDeadline-Ms: 8000\r\n\
         Api-Key: key-a\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    system.call(place, "front", &text).await
}

/// Asks for the deadly request at the boxes in turn until three servers have ended under it, and gives all
/// boxes the time to hear of it.
async fn end_three(system: &System, servers: &Fragile, boxes: &[u8]) {
    for place in boxes.iter().cycle() {
        ask(system, *place, "safe", DEADLY).await;
        if servers.ended() >= 3 {
            break;
        }
    }
    for place in boxes {
        let heard = system.wait_line(*place, 0, &["event=request_quarantined"]);
        let _ = tokio::time::timeout(HEARING_TIME, heard).await;
    }
}

async fn is_refused(system: &System, place: u8) {
    let reply = ask(system, place, "safe", DEADLY).await.expect("no answer");
    assert_eq!(reply.status, 503, "{reply:?}");
    assert!(reply.body.contains("quarantined"), "{reply:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn request_under_which_three_servers_ended_reaches_no_server_from_any_box() {
    let system = System::start(3).await;
    let servers = Fragile::start(&system, 16).await;
    system.publish(1, &document(1, &usual_routes())).await;
    let boxes = [11, 12, 13];
    for place in boxes {
        system.wait_status(place, "safe", 200).await;
    }
    end_three(&system, &servers, &boxes).await;
    let before = servers.ended();
    for place in boxes.iter().cycle().take(12) {
        ask(&system, *place, "safe", DEADLY).await;
    }
    assert_eq!(servers.ended() - before, 0, "servers ended once the boxes had heard");
    assert!(servers.ended() < servers.count);
    for place in boxes {
        is_refused(&system, place).await;
        // Another request to the same place is served.
        let reply = ask(&system, place, "safe", "harmless").await.unwrap();
        assert_eq!(reply.status, 200, "{reply:?}");
    }
}
