//! Answers whose status is none: they are failures of their servers on each way that an answer takes.

#[path = "support/breaking.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod breaking;
#[path = "support/endless.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod endless;
#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;
mod support;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use breaking::{Breaking, End, Script};
use emberturn::backend::engine;
use emberturn::backend::{Pool, Reuse};
use emberturn::clock;
use emberturn::decide::completeness::Framing;
use emberturn::decide::proxies::Proxy;
use emberturn::decide::retry_budgets::RetryLimit;
use emberturn::http::answer;
use emberturn::relay::list::Server;
use emberturn::state::ledger::RecordedAnswer;
use emberturn_fakes::http::Answer;
use emberturn_fakes::service::Service;
use endless::{Asked, Endless, EndlessServer};
use http_body_util::BodyExt;
use platform::{
    Act, PATIENCE, Reply, Seen, StandIn, TestRelay, as_leaving, event, events, listed_server,
    read_request, run, usual_routes,
};
use serde_json::json;
use support::{BoxPlan, Cluster, KEY, base_change, call, prompt, wait_for};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use yare::parameterized;

/// Where a box without paths looks for servers: nobody listens there.
const DEAD: &str = "127.0.0.1:1";

/// Statuses that no answer may have. Interim ones come alone, and the connection closes behind them.
const NO_STATUSES: [&str; 20] = [
    "000",
    "00",
    "0",
    "099",
    "100",
    "101",
    "102",
    "199",
    "600",
    "999",
    "1000",
    "2000",
    "abc",
    "-01",
    "+20",
    "2 0",
    "0200",
    "20",
    "2000000000000000",
    "",
];

/// A server that answers requests with a status, as if it had run them, and closes.
struct StatusServer {
    addr: SocketAddr,
    runs: Arc<Mutex<Vec<Seen>>>,
}

impl StatusServer {
    /// The rest of the answer's head is `headers`.
    async fn start(status: &str, headers: &str, body: &str) -> Self {
        let head =
            "Request-Id: r-1\r\nResponse-Signature: sig\r\nContent-Type: application/json\r\n";
        let length = body.len();
        let text =
            format!("HTTP/1.1 {status} X\r\n{head}{headers}Content-Length: {length}\r\n\r\n{body}");
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let runs: Arc<Mutex<Vec<Seen>>> = Arc::default();
        let seen = runs.clone();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (text, seen) = (text.clone(), seen.clone());
                tokio::spawn(async move {
                    while let Ok(Some(request)) = read_request(&mut stream).await {
                        if !is_report(&request) {
                            if is_call(&request) {
                                seen.lock().unwrap().push(request);
                            }
                            // The other side may have closed.
                            let _ = stream.write_all(text.as_bytes()).await;
                            return;
                        }
                        let load = "HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\n{\"running\":0,\"waiting\":0}";
                        let _ = stream.write_all(load.as_bytes()).await;
                    }
                });
            }
        });
        Self { addr, runs }
    }

    fn runs(&self) -> usize {
        self.runs.lock().unwrap().len()
    }
}

fn is_report(request: &Seen) -> bool {
    request.line.starts_with("GET /report ") || request.line.starts_with("GET /load ")
}

/// Whether it is a request of a caller: not a box's question whether another one reaches a server, and not one of a process
/// that looks for somebody who had the address before.
fn is_call(request: &Seen) -> bool {
    let action = request.headers.get("emberturn-hop-action");
    request.line.starts_with("POST ") && action.is_none_or(|action| action != "probe")
}

fn calls(server: &StandIn) -> usize {
    server.seen().iter().filter(|request| is_call(request)).count()
}

/// The body of each such answer.
fn no_answer() -> String {
    format!("{}data: none\n\n", event(9))
}

async fn start_relay() -> TestRelay {
    let relay = TestRelay::empty().await;
    relay.publish(&platform::document(1, &usual_routes()));
    relay
}

/// Sends a request to a relay that has just heard from its leader.
async fn ask(relay: &TestRelay, route: &str) -> Reply {
    relay.board.record_fresh(clock::now());
    relay.allow(1e9);
    relay.ask_with("POST", route, "Api-Key: key-a\r\nToken-Usage: 1000,100000\r\n").await
}

/// A relay, how it lists the server without statuses, and what keeps running for it.
struct Case {
    relay: TestRelay,
    listed: Server,
    _other: Option<TestRelay>,
}

/// Unrepeatable requests are unknown, a repeatable one is answered by a second server, and the first one counts as failed.
async fn expect_failures(case: &Case, server: &StatusServer, status: &str) {
    let Case { relay, listed, .. } = case;
    let second = StandIn::start("i-2", &[Act::Answer]).await;
    relay.list_as(vec![listed.clone(), second.listed("svc")]);
    relay.set_aside("i-2");
    let reply = ask(relay, "safe").await;
    assert_eq!((reply.status, reply.body.as_str()), (200, "answer"), "{status}: {reply:?}");
    assert_eq!(
        (server.runs(), calls(&second)),
        (1, 1),
        "{status}: {:?} {:?}",
        server.runs,
        second.seen()
    );
    for (runs, route) in [(2, "once"), (3, "stream")] {
        relay.set_aside("i-2");
        let reply = ask(relay, route).await;
        assert_eq!(reply.status, 502, "{status} {route}: {reply:?}");
        assert!(reply.body.contains("\"run\":\"unknown\""), "{status} {route}: {reply:?}");
        assert!(!reply.body.contains("none"), "{status} {route}: {reply:?}");
        assert_eq!((server.runs(), calls(&second)), (runs, 1), "{status} {route}");
    }
    assert!(relay.known("i-1").state.is_ejected(), "{status}");
}

/// Guards against a caller that gets an answer whose status is none.
#[tokio::test]
async fn status_that_is_none_is_no_answer() {
    for status in NO_STATUSES {
        let server = StatusServer::start(status, "", &no_answer()).await;
        let listed = listed_server("i-1", "svc", server.addr);
        let case = Case { relay: start_relay().await, listed, _other: None };
        expect_failures(&case, &server, status).await;
    }
}

/// Guards against an answer whose status is none that becomes one on the way through another box.
#[tokio::test]
async fn status_that_is_none_is_no_answer_through_another_box() {
    for status in NO_STATUSES {
        let server = StatusServer::start(status, "", &no_answer()).await;
        let (relay, other) = (start_relay().await, start_relay().await);
        other.list_as(vec![listed_server("i-1", "svc", server.addr)]);
        let addr = *other.relay.forward_addr.get().unwrap();
        relay.relay.proxies().assign(vec![Proxy { box_id: "other".parse().unwrap(), addr }]);
        let listed = listed_server("i-1", "svc", DEAD.parse().unwrap());
        expect_failures(&Case { relay, listed, _other: Some(other) }, &server, status).await;
    }
}

/// Guards against an answer whose status is none that a box of another version forwards.
#[tokio::test]
async fn status_that_is_none_is_no_answer_of_another_box() {
    for status in NO_STATUSES {
        let headers = "Emberturn-Hop-Forwarded: 1\r\nEmberturn-Hop-Forwarded: length\r\n";
        let server = StatusServer::start(status, headers, &no_answer()).await;
        let relay = start_relay().await;
        let proxy = Proxy { box_id: "other".parse().unwrap(), addr: server.addr };
        relay.relay.proxies().assign(vec![proxy]);
        let listed = listed_server("i-1", "svc", DEAD.parse().unwrap());
        expect_failures(&Case { relay, listed, _other: None }, &server, status).await;
    }
}

/// Guards against a stream that its caller loses, or that holds such an answer: in place of its beginning, and of the
/// rest.
#[tokio::test]
async fn resumable_stream_goes_on_behind_a_status_that_is_none() {
    for status in NO_STATUSES {
        let server = StatusServer::start(status, "", &no_answer()).await;
        let second = StandIn::start("i-2", &[Act::Events(4)]).await;
        let relay = start_relay().await;
        relay.list_as(vec![listed_server("i-1", "svc", server.addr), second.listed("svc")]);
        relay.set_aside("i-2");
        let reply = ask(&relay, "resumable").await;
        assert_eq!((reply.status, reply.body, reply.whole), (200, events(4), true), "{status}");
        assert_eq!((server.runs(), calls(&second)), (1, 1), "{status}: {:?}", server.runs);

        let first = Breaking::start(Script {
            version: "HTTP/1.1",
            framing: Framing::Chunked,
            headers: "Content-Type: text/event-stream\r\n",
            body: events(4),
            first: event(1).len(),
            sent: events(2).len(),
            end: End::Close,
        })
        .await;
        let relay = start_relay().await;
        let mut route = usual_routes().pop().unwrap();
        route["max_attempts"] = json!(4);
        relay.publish(&platform::document(2, &[route]));
        relay.list_as(vec![listed_server("i-9", "svc", first.addr)]);
        let beside = async {
            first.wait_seen().await;
            relay.list_as(vec![
                listed_server("i-9", "svc", first.addr),
                listed_server("i-1", "svc", server.addr),
                second.listed("svc"),
            ]);
            relay.set_aside("i-2");
            let limit = RetryLimit { ratio: 2.0, floor: 100.0, boxes: Some(1) };
            relay.relay.retries().deposit(&"svc".parse().unwrap(), &limit);
            first.release();
        };
        let (reply, ()) = tokio::join!(ask(&relay, "resumable"), beside);
        assert_eq!((reply.status, reply.body, reply.whole), (200, events(4), true), "{status}");
        assert_eq!((server.runs(), calls(&second)), (2, 2), "{status}");
    }
}

/// Guards against a run that goes on elsewhere although nothing proves that it was stopped.
#[tokio::test]
async fn reply_to_a_move_whose_status_is_none_stops_no_run() {
    for status in NO_STATUSES {
        let body = "{\"handle\":\"h-1\",\"made\":1}";
        let reply = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let server = EndlessServer::start(Asked::Moves, Endless::stopped(&reply)).await;
        let second = StandIn::start("i-2", &[Act::Events(2)]).await;
        let relay = start_relay().await;
        relay.list_as(vec![server.listed()]);
        let leaving = async {
            server.wait_began().await;
            // A stream is moved only to a server that is known when its own one leaves.
            relay.list_as(vec![server.listed(), second.listed("svc")]);
            relay.list_as(vec![as_leaving(server.listed()), second.listed("svc")]);
        };
        let (reply, ()) = tokio::join!(ask(&relay, "stream"), leaving);
        assert_eq!((reply.status, reply.body, reply.whole), (200, events(2), true), "{status}");
        assert_eq!((server.runs(), calls(&second)), (1, 0), "{status}");
    }
}

/// Guards against a report that is believed although its server failed to give one.
#[parameterized(
    none = { "000" },
    beyond = { "999" },
    failure = { "500" },
    busy = { "503" },
    missing = { "404" },
)]
fn load_with_such_a_status_is_no_report(status: &str) {
    let status = status.to_owned();
    run(async move {
        let load = "{\"running\":0,\"waiting\":0,\"leaving_ms\":100}";
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let _ = read_request(&mut stream).await;
                let text =
                    format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{load}", load.len());
                let _ = stream.write_all(text.as_bytes()).await;
            }
        });
        let read = engine::load(&Pool::default(), addr, PATIENCE).await;
        assert!(read.is_err(), "{read:?}");
    });
}

mod entry_node {
    //! The own interface.

    use super::*;

    /// A box before a plain service whose answers may be repeated, one whose may not, and an engine.
    async fn start(server: SocketAddr, second: Option<SocketAddr>) -> Cluster {
        let cluster = Cluster::start(&[BoxPlan::replica("a")]).await;
        let mut backends =
            vec![("n1", "notes", server), ("d1", "desk", server), ("e1", "small", server)];
        if let Some(second) = second {
            backends.push(("n2", "notes", second));
        }
        let settings = "[service notes]\nkind = plain\nrepeatable = true\n";
        cluster.apply(&format!("{settings}{}", base_change(&backends))).await;
        cluster.wait_revision("a", 1).await;
        cluster
    }

    /// The answer to a request once its attempt, and its end, could be recorded.
    async fn settled<F>(ask: impl Fn() -> F) -> Answer
    where
        F: Future<Output = eyre::Result<Answer>>,
    {
        wait_for("a record of the attempt", || async {
            let answer = ask().await.unwrap();
            let text = answer.text();
            let is_due = !text.contains("ledger_unavailable") && !text.contains("in_progress");
            is_due.then_some(answer)
        })
        .await
    }

    /// Guards against a caller that gets an answer whose status is none, now or as the recorded one of its key.
    #[tokio::test(flavor = "multi_thread")]
    async fn plain_service_without_a_status_has_not_answered() {
        for status in ["000", "101", "199", "600", "999", "abc", ""] {
            let server = StatusServer::start(status, "", "{}").await;
            let cluster = start(server.addr, None).await;
            let headers = [("idempotency-key", "k-1")];
            let body = json!({ "n": 1 });
            let ask = || call(cluster.entry("a"), "/services/desk/file", &headers, &body);
            let answer = settled(ask).await;
            assert_eq!(answer.status, 502, "{status}: {}", answer.text());
            assert_eq!(answer.header("emberturn-run"), "unknown", "{status}");
            let again = settled(ask).await;
            assert_eq!(again.status, 409, "{status}: {}", again.text());
            assert_eq!(again.json()["error"]["code"], "outcome_unknown", "{status}");
            assert_eq!(server.runs(), 1, "{status}: {:?}", server.runs);
        }
    }

    /// Guards against a repeatable request that is not tried elsewhere.
    #[tokio::test(flavor = "multi_thread")]
    async fn repeatable_request_goes_on_to_another_server() {
        for status in ["000", "101", "999"] {
            let server = StatusServer::start(status, "", "{}").await;
            let (sound, addr) = Service::start(Duration::ZERO).await.unwrap();
            let cluster = start(server.addr, Some(addr)).await;
            // What the sound server has not answered yet has the next requests go to the other one.
            sound.hold();
            let entry = cluster.entry("a");
            let asking: Vec<_> = (0..16)
                .map(|n| {
                    tokio::spawn(async move {
                        call(entry, "/services/notes/x", &[], &json!({ "n": n })).await
                    })
                })
                .collect();
            wait_for("the server without a status to be asked", || async {
                (server.runs() > 0).then_some(())
            })
            .await;
            sound.release();
            for answer in asking {
                let answer = answer.await.unwrap().unwrap();
                assert_eq!(answer.status, 200, "{status}: {}", answer.text());
            }
        }
    }

    /// Guards against a generation, or kept work, that ends with such an answer.
    #[tokio::test(flavor = "multi_thread")]
    async fn engine_without_a_status_has_not_answered() {
        for status in ["000", "101", "999"] {
            let server = StatusServer::start(status, "", "data: [DONE]\n\n").await;
            let cluster = start(server.addr, None).await;
            let once = [("emberturn-repeatable", "no"), ("idempotency-key", "k-1")];
            let body = prompt("p", 4, false);
            let answer = settled(|| async { Ok(cluster.complete("a", &once, &body).await) }).await;
            assert_eq!(answer.status, 502, "{status}: {}", answer.text());
            assert_eq!(answer.header("emberturn-run"), "unknown", "{status}");
            let kept = [("prefer", "respond-async"), ("idempotency-key", "k-2")];
            let kept = call(cluster.entry("a"), "/services/desk/file", &kept, &json!({})).await;
            let place = kept.unwrap().header("location").to_owned();
            let bearer = format!("Bearer {KEY}");
            let answer = wait_for("kept work to be answered", || async {
                use emberturn_fakes::http;
                let get = http::get(&place, &[("authorization", bearer.as_str())]);
                let answer = http::call(cluster.entry("a"), get).await.unwrap();
                let is_due = ![202, 503, 504].contains(&answer.status.as_u16());
                is_due.then_some(answer)
            })
            .await;
            assert_eq!(answer.status, 502, "{status}: {}", answer.text());
            assert_eq!(server.runs(), 2, "{status}");
        }
    }
}

/// Guards against a recorded answer, of a box of another version, that becomes a success or breaks the connection.
#[parameterized(
    zero = { 0 },
    two_digits = { 99 },
    interim = { 100 },
    switching = { 101 },
    no_interim = { 199 },
    beyond = { 600 },
    largest = { 999 },
    four_digits = { 1_000 },
    all = { u16::MAX },
)]
fn recorded_status_that_is_none_is_unknown(status: u16) {
    run(async move {
        let content = "application/json".to_owned();
        let recorded = RecordedAnswer { status, content, body: Some("none".to_owned()) };
        for response in [answer::recorded(&recorded), answer::recorded_stream(&recorded)] {
            assert_eq!(response.status(), 502);
            assert_eq!(response.headers()["emberturn-run"], "unknown");
            let body = response.into_body().collect().await.unwrap().to_bytes();
            let value: serde_json::Value = serde_json::from_slice(&body).unwrap();
            assert_eq!(value["error"]["run"], "unknown");
        }
    });
}

/// Guards against a recorded answer without a result that becomes a stream of none, which ends as complete.
#[parameterized(
    failure = { 500, Some("{}") },
    refusal = { 404, Some("{}") },
    omitted = { 200, None },
    unreadable = { 200, Some("result") },
)]
fn recorded_answer_without_a_result_is_no_stream(status: u16, body: Option<&str>) {
    let content = "application/json".to_owned();
    let recorded = RecordedAnswer { status, content, body: body.map(str::to_owned) };
    let response = answer::recorded_stream(&recorded);
    assert_eq!(response.status(), status);
    assert_eq!(response.headers()["content-type"], "application/json");
}

/// Guards against a bound that refuses what servers may answer.
#[parameterized(
    success = { 200 },
    created = { 201 },
    redirect = { 302 },
    unchanged = { 304 },
    refusal = { 409 },
    failure = { 599 },
)]
fn recorded_status_is_given_to_the_caller(status: u16) {
    let content = "application/json".to_owned();
    let recorded = RecordedAnswer { status, content, body: Some("{}".to_owned()) };
    let response = answer::recorded(&recorded);
    assert_eq!(response.status(), status);
    assert_eq!(response.headers()["emberturn-run"], "done");
}

/// Guards against an exchange that begins with a status that is none.
#[tokio::test]
async fn exchange_begins_with_the_status_of_a_final_answer_only() {
    for status in NO_STATUSES {
        let server = StatusServer::start(status, "", "{}").await;
        let request = hyper::Request::post("/x").body(http_body_util::Full::default()).unwrap();
        let sent = Pool::default().send(server.addr, request, PATIENCE, Reuse::Any).await;
        let fault = sent.err().unwrap_or_else(|| panic!("{status:?} is an answer"));
        assert!(!fault.is_not_sent(), "{status}: {fault}");
    }
    for status in ["200", "299", "304", "404", "599"] {
        let server = StatusServer::start(status, "", "").await;
        let request = hyper::Request::post("/x").body(http_body_util::Full::default()).unwrap();
        let sent = Pool::default().send(server.addr, request, PATIENCE, Reuse::Any).await;
        assert_eq!(sent.unwrap().status.as_str(), status);
    }
}
