//! End-to-end tests of the relay's request handling: complete answers, at-most-once execution,
//! correct refusals and event streams.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;

use std::time::Duration;

use platform::{
    Act, Reply, StandIn, TestRelay, as_leaving, document, event, events, route, run, usual_routes,
};
use yare::parameterized;

#[tokio::test]
async fn answer_is_forwarded_unchanged_with_its_signature() {
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    let relay = TestRelay::start(&[&server]).await;
    let reply = relay.ask("POST", "once").await;
    assert_eq!((reply.status, reply.body.as_str(), reply.whole), (200, "answer", true));
    assert_eq!(reply.headers["response-signature"], "sig");
    assert_eq!(reply.headers["request-id"], "r-1");
    let seen = &server.seen()[0];
    assert_eq!(seen.line, "POST /once/x?y=1 HTTP/1.1");
    assert_eq!(seen.body, b"body");
    assert_eq!(seen.headers["request-id"], "r-1");
    assert_eq!(seen.headers["expect-instance"], "i-1");
    assert_eq!(seen.headers["host"], "app.example");
}

#[tokio::test]
async fn server_receives_the_team_but_not_the_api_key() {
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    let relay = TestRelay::start(&[&server]).await;
    let headers = "Api-Key: key-a\r\nTenant: somebody-else\r\nKv-From: 1.2.3.4:5/6\r\n";
    relay.ask_with("POST", "once", headers).await;
    let seen = &server.seen()[0];
    assert_eq!(seen.headers["tenant"], "team-a");
    assert!(!seen.headers.contains_key("api-key"));
    assert!(!seen.headers.contains_key("kv-from"));
    let left: u64 = seen.headers["deadline-ms"].parse().unwrap();
    assert!(left <= 8_000);
}

#[parameterized(
    closed = { Act::Close, 502 },
    unsigned = { Act::Unsigned, 502 },
    answer_to_another_request = { Act::AnswerAs("r-other"), 502 },
    failed = { Act::Fail(500), 500 },
    status_503_without_not_run = { Act::Fail(503), 502 },
    status_429_without_not_run = { Act::Fail(429), 502 },
)]
fn non_repeatable_request_that_may_have_run_is_sent_once(act: Act, status: u16) {
    run(async {
        let first = StandIn::start("i-1", std::slice::from_ref(&act)).await;
        let second = StandIn::start("i-2", &[act]).await;
        let relay = TestRelay::start(&[&first, &second]).await;
        let reply = relay.ask("POST", "once").await;
        assert_eq!(reply.status, status, "{reply:?}");
        assert_eq!(first.seen().len() + second.seen().len(), 1);
    });
}

#[parameterized(
    refused = { Act::Refuse },
    misdirected = { Act::Misdirected },
)]
fn refused_request_is_sent_to_another_server(act: Act) {
    run(async {
        let first = StandIn::start("i-1", &[act]).await;
        let relay = TestRelay::start(&[&first]).await;
        let alone = relay.ask("POST", "once").await;
        assert_eq!(alone.status, 503, "{alone:?}");
        assert!(alone.headers.contains_key("retry-after"));
        assert!(!alone.headers.contains_key("response-signature"));
        let second = StandIn::start("i-2", &[Act::Answer]).await;
        relay.list(&[&first, &second]);
        let reply = relay.ask("POST", "once").await;
        assert_eq!(reply.status, 200, "{reply:?}");
        assert_eq!(second.seen().len(), 1);
    });
}

#[tokio::test]
async fn server_that_answers_misdirected_receives_no_further_requests() {
    let gone = StandIn::start("i-1", &[Act::Misdirected]).await;
    let relay = TestRelay::start(&[&gone]).await;
    relay.ask("POST", "once").await;
    relay.list(&[&gone]);
    let reply = relay.ask("POST", "once").await;
    assert_eq!(reply.status, 503);
    assert_eq!(gone.seen().len(), 1);
}

#[parameterized(
    closed = { Act::Close },
    failed = { Act::Fail(500) },
    unsigned = { Act::Unsigned },
    silent = { Act::Silent },
)]
fn safe_request_is_retried_on_a_second_server(act: Act) {
    run(async {
        let first = StandIn::start("i-1", &[act]).await;
        let relay = TestRelay::empty().await;
        let mut safe = route("safe", "safe", 2);
        safe["target_latency_ms"] = 100.into();
        relay.publish(&document(1, &[safe]));
        let second = StandIn::start("i-2", &[Act::Answer]).await;
        relay.list(&[&first, &second]);
        relay.set_aside("i-2");
        let reply = relay.ask("GET", "safe").await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "answer"));
        assert_eq!((first.seen().len(), second.seen().len()), (1, 1));
    });
}

#[tokio::test]
async fn server_that_fails_a_route_is_avoided_for_that_route_only() {
    let faulty = StandIn::start("i-1", &[Act::Fail(500), Act::Answer]).await;
    let sound = StandIn::start("i-2", &[Act::Answer]).await;
    let relay = TestRelay::start(&[&faulty]).await;
    assert_eq!(relay.ask("POST", "once").await.status, 500);
    relay.list(&[&faulty, &sound]);
    for _ in 0..12 {
        assert_eq!(relay.ask("POST", "once").await.status, 200);
    }
    assert_eq!(faulty.seen().len(), 1);
    for _ in 0..40 {
        relay.ask("POST", "safe").await;
    }
    assert!(faulty.seen().len() > 1);
}

#[tokio::test]
async fn missing_server_is_reported_with_retry_after() {
    let relay = TestRelay::start(&[]).await;
    for name in ["safe", "once", "stream", "resumable"] {
        let reply = relay.ask("POST", name).await;
        assert_eq!(reply.status, 503);
        assert!(reply.headers["retry-after"].parse::<f64>().unwrap() > 0.0);
        assert_eq!(reply.headers["request-id"], "r-1");
    }
}

#[tokio::test]
async fn refused_connection_is_reported_as_not_run() {
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    let relay = TestRelay::start(&[&server]).await;
    let mut dead = server.listed("svc");
    dead.id = "i-2".parse().unwrap();
    // A port that was free may be taken by a listener of another test.
    dead.addr = "127.0.0.1:1".parse().unwrap();
    relay.list_as(vec![dead]);
    let reply = relay.ask("POST", "once").await;
    assert_eq!(reply.status, 503, "{reply:?}");
}

#[tokio::test]
async fn stream_is_forwarded_completely() {
    let server = StandIn::start("i-1", &[Act::Events(5)]).await;
    let relay = TestRelay::start(&[&server]).await;
    let reply = relay.ask("POST", "stream").await;
    assert_eq!((reply.status, reply.body, reply.whole), (200, events(5), true));
    assert_eq!(reply.headers["response-signature"], "sig");
}

#[tokio::test]
async fn resumable_stream_continues_after_the_last_event_on_another_server() {
    let first = StandIn::start("i-1", &[Act::CutAfter(3)]).await;
    let second = StandIn::start("i-2", &[Act::Events(6)]).await;
    let relay = TestRelay::start(&[&first, &second]).await;
    relay.set_aside("i-2");
    let reply = relay.ask("POST", "resumable").await;
    assert_eq!((reply.status, reply.body, reply.whole), (200, events(6), true));
    assert_eq!(first.seen().len(), 1);
    assert_eq!(second.seen()[0].headers["last-event-id"], "3");
}

#[tokio::test]
async fn events_the_caller_already_has_are_not_sent_again() {
    let server = StandIn::start("i-1", &[Act::Events(6)]).await;
    let relay = TestRelay::start(&[&server]).await;
    let headers = "Api-Key: key-a\r\nLast-Event-Id: 4\r\n";
    let reply = relay.ask_with("POST", "resumable", headers).await;
    assert_eq!(reply.body, format!("{}{}", event(5), event(6)));
}

#[tokio::test]
async fn stream_on_a_leaving_engine_is_moved_with_its_kv_cache() {
    let mut first = StandIn::start("i-1", &[Act::UntilMoved(2)]).await;
    let second = StandIn::start("i-2", &[Act::Events(6)]).await;
    let relay = TestRelay::start(&[&first]).await;
    let headers = "Api-Key: key-a\r\nToken-Usage: 1000,100000\r\n";
    let request = relay.ask_with("POST", "stream", headers);
    let leaving = async {
        first.wait_seen(1).await;
        relay.list_as(vec![as_leaving(first.listed("svc")), second.listed("svc")]);
    };
    let (reply, ()) = tokio::join!(request, leaving);
    assert_eq!((reply.status, reply.body, reply.whole), (200, events(6), true));
    let moved = &second.seen()[0];
    assert_eq!(moved.headers["kv-from"], format!("{}/h-1", first.addr));
    assert_eq!(moved.headers["last-event-id"], "2");
    assert_eq!((first.seen().len(), second.seen().len()), (1, 1));
}

#[tokio::test]
async fn shared_prefix_is_copied_from_the_engine_that_computed_it() {
    let first = StandIn::start("i-1", &[Act::Events(1)]).await;
    let second = StandIn::start("i-2", &[Act::Events(1)]).await;
    let relay = TestRelay::start(&[&first]).await;
    let headers = "Api-Key: key-a\r\nToken-Usage: 5000,10\r\nPrompt-Prefix: aa:4000,bb:1000\r\n";
    assert_eq!(relay.ask_with("POST", "stream", headers).await.status, 200);
    relay.list(&[&first, &second]);
    let known = relay.relay.servers.for_service(&"svc".parse().unwrap());
    let busy = known.iter().find(|known| known.server.id.as_str() == "i-1").unwrap();
    // The engine that caches the prefix is overloaded, so the other one is chosen.
    busy.state.report(50, 50, Duration::ZERO);
    assert_eq!(relay.ask_with("POST", "stream", headers).await.status, 200);
    assert_eq!(second.seen()[0].headers["kv-fetch"], first.addr.to_string());
    assert!(!first.seen()[0].headers.contains_key("kv-fetch"));
}

#[tokio::test]
async fn broken_non_resumable_stream_is_visibly_incomplete() {
    let first = StandIn::start("i-1", &[Act::CutAfter(3)]).await;
    let second = StandIn::start("i-2", &[Act::CutAfter(3)]).await;
    let relay = TestRelay::start(&[&first, &second]).await;
    let reply = relay.ask("POST", "stream").await;
    assert_eq!((reply.status, reply.whole), (200, false));
    assert_eq!(reply.body, events(3));
    assert_eq!(first.seen().len() + second.seen().len(), 1);
}

#[tokio::test]
async fn silent_stream_is_not_cut_without_another_server() {
    let pause = Duration::from_millis(1_300);
    let server = StandIn::start("i-1", &[Act::PauseAfterFirst(4, pause)]).await;
    let relay = TestRelay::start(&[&server]).await;
    let reply = relay.ask("POST", "resumable").await;
    assert_eq!((reply.body, reply.whole), (events(4), true));
    assert_eq!(server.seen().len(), 1);
}

#[tokio::test]
async fn caller_disconnect_cancels_the_request_on_the_server() {
    let mut server = StandIn::start("i-1", &[Act::Silent]).await;
    let relay = TestRelay::start(&[&server]).await;
    let request = relay.ask("POST", "stream");
    tokio::select! {
        _ = request => panic!("the request was answered although its server is silent"),
        () = server.wait_seen(1) => {}
    }
    // Dropping the future closes the caller's connection.
    server.wait_gone(1).await;
}

#[tokio::test]
async fn box_without_routes_refuses_requests_and_is_not_ready() {
    let relay = TestRelay::empty().await;
    let reply = relay.ask("POST", "once").await;
    assert_eq!(reply.status, 503);
    assert!(reply.headers.contains_key("retry-after"));
    assert_eq!(ready(&relay).await, 503);
    relay.publish(&document(1, &usual_routes()));
    assert_eq!(ready(&relay).await, 200);
}

async fn ready(relay: &TestRelay) -> u16 {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = tokio::net::TcpStream::connect(relay.ready).await.unwrap();
    let text = "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    Reply::parse(&answer).status
}

#[tokio::test]
async fn unknown_route_and_key_are_denied_only_with_current_routes() {
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    let relay = TestRelay::start(&[&server]).await;
    assert_eq!(relay.ask("POST", "elsewhere").await.status, 404);
    assert_eq!(relay.ask_with("POST", "once", "Api-Key: no-such\r\n").await.status, 401);
    assert_eq!(relay.ask_with("POST", "once", "").await.status, 401);
    // A box that has never confirmed its configuration answers 503 and runs nothing that needs a
    // key.
    let unconfirmed = TestRelay::empty().await;
    let table = emberturn::platform::document::read(&document(1, &usual_routes()).to_string());
    unconfirmed.relay.apply_table(std::sync::Arc::new(table.unwrap()));
    unconfirmed.list(&[&server]);
    assert_eq!(unconfirmed.ask("POST", "elsewhere").await.status, 503);
    assert_eq!(unconfirmed.ask("POST", "once").await.status, 503);
    assert!(server.seen().is_empty());
}

#[tokio::test]
async fn older_route_table_is_ignored() {
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    let relay = TestRelay::start(&[&server]).await;
    relay.publish(&document(7, &[route("safe", "safe", 2)]));
    relay.publish(&document(6, &usual_routes()));
    assert_eq!(relay.ask("POST", "once").await.status, 404);
}

#[parameterized(
    no_host = { "GET /safe/x HTTP/1.1\r\nConnection: close\r\n\r\n", 400 },
    two_hosts = { "GET /safe/x HTTP/1.1\r\nHost: app.example\r\nHost: b\r\nConnection: close\r\n\r\n", 400 },
    bad_deadline = { "GET /safe/x HTTP/1.1\r\nHost: app.example\r\nDeadline-Ms: soon\r\nConnection: close\r\n\r\n", 400 },
    two_lengths = { "POST /safe/x HTTP/1.1\r\nHost: app.example\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400 },
    large_body = { "POST /safe/x HTTP/1.1\r\nHost: app.example\r\nApi-Key: key-a\r\nContent-Length: 70000\r\nConnection: close\r\n\r\n", 413 },
)]
fn malformed_request_reaches_no_server(text: &str, status: u16) {
    run(async {
        let server = StandIn::start("i-1", &[Act::Answer]).await;
        let relay = TestRelay::start(&[&server]).await;
        let reply = match status {
            413 => Reply::parse(&relay.raw(&format!("{text}{}", "x".repeat(70_000))).await),
            _ => Reply::parse(&relay.raw(text).await),
        };
        assert_eq!(reply.status, status, "{reply:?}");
        assert!(server.seen().is_empty());
    });
}

#[tokio::test]
async fn request_head_over_the_limit_is_refused() {
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    let relay = TestRelay::start(&[&server]).await;
    let headers = format!("Api-Key: key-a\r\nX-Long: {}\r\n", "x".repeat(20_000));
    assert_eq!(relay.ask_with("POST", "once", &headers).await.status, 431);
    assert!(server.seen().is_empty());
}

#[tokio::test]
async fn team_over_its_limit_receives_retry_after() {
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    let relay = TestRelay::empty().await;
    let mut value = document(1, &usual_routes());
    value["tenants"][0]["rate_per_s"] = 1_000.0.into();
    value["tenants"][0]["burst"] = 1_000.0.into();
    relay.publish(&value);
    relay.allow_only(1_500.0);
    relay.list(&[&server]);
    let headers = "Api-Key: key-a\r\nToken-Usage: 900,100\r\n";
    let mut statuses = Vec::new();
    for _ in 0..4 {
        statuses.push(relay.ask_with("POST", "once", headers).await);
    }
    let refused: Vec<_> = statuses.iter().filter(|reply| reply.status == 429).collect();
    assert!(!refused.is_empty() && refused.len() < statuses.len(), "{statuses:?}");
    assert!(refused.iter().all(|reply| reply.headers.contains_key("retry-after")));
    assert_eq!(server.seen().len(), statuses.len() - refused.len());
}

#[tokio::test]
async fn box_without_a_leader_does_not_report_a_team_as_over_its_limit() {
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    let relay = TestRelay::empty().await;
    relay.put(&document(1, &usual_routes()));
    relay.list(&[&server]);
    let reply = relay.ask("POST", "once").await;
    assert_eq!(reply.status, 503);
    assert!(reply.headers.contains_key("retry-after"));
    assert!(server.seen().is_empty());
}

#[tokio::test]
async fn keep_alive_connection_serves_requests_in_sequence() {
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    let relay = TestRelay::start(&[&server]).await;
    let one = "POST /once/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r-1\r\nApi-Key: key-a\r\nContent-Length: 0\r\n\r\n";
    let last =
        one.replace("r-1", "r-2").replace("Content-Length", "Connection: close\r\nContent-Length");
    let text = relay.raw(&format!("{one}{last}")).await;
    assert_eq!(text.matches("HTTP/1.1 200 OK").count(), 2, "{text}");
    let ids: Vec<_> = server.seen().iter().map(|seen| seen.headers["request-id"].clone()).collect();
    assert_eq!(ids, ["r-1", "r-2"]);
}

#[tokio::test]
async fn request_right_after_start_waits_for_routes_and_servers() {
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    let relay = TestRelay::empty().await;
    // The deadline is long so that the test does not depend on the speed of the machine.
    let text = "POST /once/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r-1\r\nApi-Key: key-a\r\n\
                Deadline-Ms: 12000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    let mut request = std::pin::pin!(relay.raw(text));
    while relay.board.requests() == 0 {
        tokio::select! {
            early = &mut request => panic!("answered before routes and servers were known: {early}"),
            () = tokio::task::yield_now() => {}
        }
    }
    relay.publish(&document(1, &usual_routes()));
    relay.list(&[&server]);
    let answer = request.await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[tokio::test]
async fn request_to_a_box_without_configuration_is_refused_with_retry_after() {
    let relay = TestRelay::empty().await;
    let reply = relay.ask("POST", "once").await;
    assert_eq!(reply.status, 503);
    assert!(reply.headers.contains_key("retry-after"), "{reply:?}");
}
