//! Statuses that callers take as a statement that the request has not run and will not run.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;

use emberturn::error::{Kind, RunState};
use platform::{Act, PATIENCE, StandIn, TestRelay, document, route, usual_routes};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use yare::parameterized;

/// The statuses that imply that a request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

#[test]
fn statuses_that_imply_not_run_require_proof() {
    for kind in Kind::ALL {
        let answer = kind.answer();
        let implies_not_run = NOT_RUN_STATUSES.contains(&answer.status.as_u16());
        assert!(
            !implies_not_run || answer.run == RunState::NotRun,
            "{kind} answers {}",
            answer.status
        );
    }
}

/// A stream is given up on a silent first server, and the second server refuses it. The first
/// server may still run the request.
#[tokio::test]
async fn stream_given_up_on_a_silent_server_is_not_reported_as_not_run() {
    let mut silent = StandIn::start("i-1", &[Act::Silent]).await;
    let full = StandIn::start("i-2", &[Act::Refuse]).await;
    let relay = TestRelay::empty().await;
    let mut resumable = route("resumable", "streaming", 2);
    resumable["target_latency_ms"] = 50.into();
    relay.publish(&document(1, &[resumable]));
    relay.list(&[&silent, &full]);
    relay.set_aside("i-2");
    let reply = relay.ask("POST", "resumable").await;
    silent.wait_seen(1).await;
    assert_eq!(full.seen().len(), 1);
    assert_eq!(reply.status, 504, "{reply:?}");
}

/// A repeatable request is also sent to a second server, which refuses it while the silent first
/// server may still be running it.
#[tokio::test]
async fn request_still_in_progress_is_not_reported_as_not_run() {
    let mut first = StandIn::start("i-1", &[Act::Silent]).await;
    let second = StandIn::start("i-2", &[Act::Refuse]).await;
    let relay = TestRelay::empty().await;
    let mut safe = route("safe", "safe", 2);
    safe["target_latency_ms"] = 50.into();
    safe["timeout_ms"] = 400.into();
    relay.publish(&document(1, &[safe]));
    relay.list(&[&first, &second]);
    relay.set_aside("i-2");
    let reply = relay.ask("POST", "safe").await;
    first.wait_seen(1).await;
    assert_eq!(second.seen().len(), 1);
    assert_eq!(reply.status, 504, "{reply:?}");
}

#[parameterized(
    failed = { Act::Fail(500) },
    status_503_without_not_run = { Act::Fail(503) },
    status_408_without_not_run = { Act::Fail(408) },
    status_429_without_not_run = { Act::Fail(429) },
    closed = { Act::Close },
    unsigned = { Act::Unsigned },
    answer_to_another_request = { Act::AnswerAs("r-other") },
    cut = { Act::CutAfter(0) },
)]
#[test_macro(tokio::test)]
async fn request_that_may_have_run_is_not_reported_as_not_run(act: Act) {
    let server = StandIn::start("i-1", &[act]).await;
    let relay = TestRelay::start(&[&server]).await;
    for name in ["once", "stream"] {
        let reply = relay.ask("POST", name).await;
        assert!(!NOT_RUN_STATUSES.contains(&reply.status), "{name}: {reply:?}");
    }
}

/// The relay refuses a request itself only before it has sent anything.
#[parameterized(
    no_server = { "no_server", 503 },
    limit_exceeded = { "limit", 429 },
    limit_unknown = { "no_leader", 503 },
    routes_unknown = { "no_routes", 503 },
    slow_body = { "slow", 408 },
)]
#[test_macro(tokio::test)]
async fn refused_request_reaches_no_server(case: &str, status: u16) {
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    let relay = TestRelay::empty().await;
    let listed = if case == "no_server" { vec![] } else { vec![&server] };
    if case != "no_routes" {
        relay.publish(&document(1, &usual_routes()));
    }
    relay.list(&listed);
    let reply = match case {
        "limit" => {
            relay.allow_only(10.0);
            relay.ask("POST", "once").await
        }
        // The team may have more allowance, but no leader answers.
        "no_leader" => {
            relay.allow(10.0);
            relay.ask("POST", "once").await
        }
        "slow" => {
            let text = "POST /once/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r-1\r\nDeadline-Ms: 200\r\n\
                 Api-Key: key-a\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbo";
            platform::Reply::parse(&relay.raw(text).await)
        }
        _ => relay.ask("POST", "once").await,
    };
    assert_eq!(reply.status, status, "{reply:?}");
    assert_eq!(server.seen().len(), 0);
}

/// If the caller disconnects before its body is complete, the request never runs.
#[tokio::test]
async fn incomplete_request_reaches_no_server() {
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    let relay = TestRelay::start(&[&server]).await;
    let mut stream = TcpStream::connect(relay.addr).await.unwrap();
    let head = "POST /once/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r-0\r\nDeadline-Ms: 300\r\n\
         Api-Key: key-a\r\nContent-Length: 4\r\n\r\nbo";
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();
    // The connection is closed once the relay has given up on the request.
    let mut answer = Vec::new();
    tokio::time::timeout(PATIENCE, stream.read_to_end(&mut answer)).await.unwrap().unwrap();
    assert_eq!(relay.ask("POST", "once").await.status, 200);
    assert_eq!(server.seen().len(), 1);
}
