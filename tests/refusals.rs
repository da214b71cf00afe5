//! The statuses that callers take as the word that a request has not run and never will.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;

use emberturn::error::{Kind, RunState};
use platform::{Act, PATIENCE, StandIn, TestRelay, document, route, usual_routes};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use yare::parameterized;

/// The statuses that promise it.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

#[test]
fn only_kinds_with_proof_have_a_status_that_promises_not_run() {
    for kind in Kind::ALL {
        let answer = kind.answer();
        let promises = PROMISES.contains(&answer.status.as_u16());
        assert!(!promises || answer.run == RunState::NotRun, "{kind} answers {}", answer.status);
    }
}

/// A stream's first server says nothing and is given up for a second one, which refuses: the first may still
/// run it.
#[tokio::test]
async fn stream_given_up_at_a_silent_server_is_not_called_not_run() {
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

/// A repeatable request that goes to a second server beside a silent first one, where the second refuses.
#[tokio::test]
async fn request_still_under_way_is_not_called_not_run() {
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
    promise_of_its_own = { Act::Fail(503) },
    misses_its_time = { Act::Fail(408) },
    over_a_limit = { Act::Fail(429) },
    closed = { Act::Close },
    unsigned = { Act::Unsigned },
    foreign = { Act::AnswerAs("r-other") },
    cut = { Act::CutAfter(0) },
)]
#[test_macro(tokio::test)]
async fn request_that_a_server_may_have_run_is_not_called_not_run(act: Act) {
    let server = StandIn::start("i-1", &[act]).await;
    let relay = TestRelay::start(&[&server]).await;
    for name in ["once", "stream"] {
        let reply = relay.ask("POST", name).await;
        assert!(!PROMISES.contains(&reply.status), "{name}: {reply:?}");
    }
}

/// Each refusal of the relay's own comes before anything is sent.
#[parameterized(
    no_server = { "no_server", 503 },
    over_the_limit = { "limit", 429 },
    unsure_of_the_limit = { "unheard", 503 },
    unsure_of_the_routes = { "unsure", 503 },
    slow_body = { "slow", 408 },
)]
#[test_macro(tokio::test)]
async fn refusal_of_our_own_reaches_no_server(case: &str, status: u16) {
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    let relay = TestRelay::empty().await;
    let listed = if case == "no_server" { vec![] } else { vec![&server] };
    if case != "unsure" {
        relay.publish(&document(1, &usual_routes()));
    }
    relay.list(&listed);
    let reply = match case {
        "limit" => {
            relay.allow_only(10.0);
            relay.ask("POST", "once").await
        }
        // More may be left, but no leader answers.
        "unheard" => {
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

/// A request whose caller has gone before its body is whole runs nowhere, then or later.
#[tokio::test]
async fn half_a_request_runs_nowhere() {
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    let relay = TestRelay::start(&[&server]).await;
    let mut stream = TcpStream::connect(relay.addr).await.unwrap();
    let head = "POST /once/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r-0\r\nDeadline-Ms: 300\r\n\
         Api-Key: key-a\r\nContent-Length: 4\r\n\r\nbo";
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();
    // The connection ends once the relay has given the request up.
    let mut answer = Vec::new();
    tokio::time::timeout(PATIENCE, stream.read_to_end(&mut answer)).await.unwrap().unwrap();
    assert_eq!(relay.ask("POST", "once").await.status, 200);
    assert_eq!(server.seen().len(), 1);
}
