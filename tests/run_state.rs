//! What a caller is told is what happened: the connection to the backend server is cut at each point,
//! and the answer is held against what the stand-in says it ran.

mod support;

use std::time::Duration;

use emberturn_fakes::engine::{Engine, Options};
use emberturn_fakes::http;
use emberturn_fakes::proxy::{Fault, Proxy};
use emberturn_fakes::service::Service;
use emberturn_fakes::tokens;
use serde_json::json;
use support::{BoxPlan, Cluster, base_change, call, prompt, streamed_text, wait_for};
use yare::parameterized;

async fn desk_behind(fault: Fault) -> (Service, Cluster) {
    let (service, addr) = Service::start(Duration::ZERO).await.unwrap();
    let proxy = Proxy::start(Some(addr)).await.unwrap();
    proxy.set(fault);
    let cluster = Cluster::start(&[BoxPlan::replica("a")]).await;
    cluster.apply(&base_change(&[("d1", "desk", proxy.addr)])).await;
    cluster.wait_revision("a", 1).await;
    (service, cluster)
}

#[parameterized(
    before_connect = { Fault::Refuse, None, 0 },
    after_connect = { Fault::CutRequest(0), Some("unknown"), 0 },
    in_mid_request = { Fault::CutRequest(60), Some("unknown"), 0 },
    before_the_head = { Fault::CutAnswer(0), Some("unknown"), 1 },
    in_mid_answer = { Fault::CutAnswer(60), Some("unknown"), 1 },
    after_the_last_byte = { Fault::CutAnswer(100_000), Some("done"), 1 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn unrepeatable_call_is_reported_as_it_ran(fault: Fault, told: Option<&str>, ran: usize) {
    let (service, cluster) = desk_behind(fault).await;
    let headers = [("idempotency-key", "dispute-1")];
    let body = json!({ "n": 1 });
    let answer = call(cluster.entry("a"), "/services/desk/file", &headers, &body).await.unwrap();
    let run = answer.header("emberturn-run").to_owned();
    let whole = service.journal().into_iter().filter(|body| !body.is_empty()).count();
    assert_eq!(whole, ran);
    match told {
        Some(told) => assert_eq!(run, told, "{}", answer.text()),
        // A refused connection is cut at once: before it stands, or just after.
        None => assert!(run == "not_run" || run == "unknown", "{}", answer.text()),
    }
    assert!(run != "not_run" || ran == 0, "told not run, ran {ran}");
    assert!(run != "done" || ran == 1, "told done, ran {ran}");
    // The same key again never runs it twice.
    for _ in 0..2 {
        let again = call(cluster.entry("a"), "/services/desk/file", &headers, &body).await.unwrap();
        let whole = service.journal().into_iter().filter(|body| !body.is_empty()).count();
        assert!(whole <= 1, "ran {whole} times");
        if run == "done" {
            assert_eq!(again.text(), answer.text());
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn nobody_listening_is_not_run() {
    // Bound and not listening: nobody else can take the port, and connects to it are refused.
    let held = tokio::net::TcpSocket::new_v4().unwrap();
    held.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let addr = held.local_addr().unwrap();
    let cluster = Cluster::start(&[BoxPlan::replica("a")]).await;
    cluster.apply(&base_change(&[("d1", "desk", addr)])).await;
    cluster.wait_revision("a", 1).await;
    let headers = [("idempotency-key", "dispute-1")];
    let answer =
        call(cluster.entry("a"), "/services/desk/file", &headers, &json!({})).await.unwrap();
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("emberturn-run"), "not_run");
    assert_eq!(answer.json()["error"]["code"], "not_reached");
}

#[parameterized(
    before_connect = { Fault::Refuse },
    in_mid_request = { Fault::CutRequest(60) },
    before_the_head = { Fault::CutAnswer(0) },
    in_mid_stream = { Fault::CutAnswer(1_500) },
    late_in_stream = { Fault::CutAnswer(5_000) },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn stream_cut_anywhere_is_answered_whole_by_another_engine(fault: Fault) {
    let (_first, first) = Engine::start(Options::default()).await.unwrap();
    let (_second, second) = Engine::start(Options::default()).await.unwrap();
    let proxy = Proxy::start(Some(first)).await.unwrap();
    let cluster = Cluster::start(&[BoxPlan::replica("a")]).await;
    // The faulty engine is the only one there when the request comes.
    cluster.apply(&base_change(&[("e1", "small", proxy.addr)])).await;
    cluster.wait_revision("a", 1).await;
    proxy.set(fault);
    let body = prompt("the whole history of the mast", 64, true);
    let asking = cluster.complete("a", &[], &body);
    let helping = async {
        cluster.apply(&support::backend_section("e2", "small", second)).await;
    };
    let (answer, ()) = tokio::join!(asking, helping);
    let whole = (tokens::answer("the whole history of the mast", 64), true);
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(streamed_text(&answer), whole);
}

/// An engine that breaks the protocol in some way after its first token.
async fn broken_engine(breach: &'static str) -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(http::serve(listener, move |request| async move {
        let bytes = http::read_body(request).await;
        let body: serde_json::Value = serde_json::from_slice(&bytes).unwrap_or_default();
        let id = body["request_id"].as_str().unwrap_or("").to_owned();
        let prompt = body["prompt"].as_str().unwrap_or("").to_owned();
        let chunk = |id: &str, place: usize| {
            let choice = json!({ "index": 0, "text": tokens::token(&prompt, place) });
            format!("data: {}\n\n", json!({ "id": id, "token": place, "choices": [choice] }))
        };
        let rest = match breach {
            "foreign" => chunk("another-request", 1),
            "doubled" => chunk(&id, 0),
            "skipped" => chunk(&id, 2),
            "garbled" => "data: {not json\n\n".to_owned(),
            "ended" => String::new(),
            other => panic!("{other}"),
        };
        let closing = if breach == "ended" { "" } else { "data: [DONE]\n\n" };
        http::text(hyper::StatusCode::OK, &format!("{}{rest}{closing}", chunk(&id, 0)))
    }));
    addr
}

#[parameterized(
    foreign = { "foreign" },
    doubled = { "doubled" },
    skipped = { "skipped" },
    garbled = { "garbled" },
    ended = { "ended" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn breach_of_the_protocol_never_reaches_the_caller(breach: &'static str) {
    let broken = broken_engine(breach).await;
    let (_good, good) = Engine::start(Options::default()).await.unwrap();
    let cluster = Cluster::start(&[BoxPlan::replica("a")]).await;
    cluster.apply(&base_change(&[("e1", "small", broken)])).await;
    cluster.wait_revision("a", 1).await;
    let body = prompt("mine alone", 24, true);
    let helping = async { cluster.apply(&support::backend_section("e2", "small", good)).await };
    let (answer, _) = tokio::join!(cluster.complete("a", &[], &body), helping);
    let (text, closed) = streamed_text(&answer);
    let whole = tokens::answer("mine alone", 24);
    assert!(whole.starts_with(&text), "{text}");
    // Either another engine finished it, or the caller is told that it broke off.
    assert!(closed == (text == whole), "{}", answer.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn pooled_connection_closed_by_the_server_is_no_failure() {
    let (engine, addr) = Engine::start(Options::default()).await.unwrap();
    let proxy = Proxy::start(Some(addr)).await.unwrap();
    let cluster = Cluster::start(&[BoxPlan::replica("a")]).await;
    cluster.apply(&base_change(&[("e1", "small", proxy.addr)])).await;
    cluster.wait_revision("a", 1).await;
    for round in 0..5 {
        let question = format!("round {round}");
        let answer = cluster.complete("a", &[], &prompt(&question, 4, false)).await;
        assert_eq!(answer.json()["choices"][0]["text"], tokens::answer(&question, 4));
        // Every standing connection is cut; the next request finds only dead ones in the pool.
        proxy.set(Fault::Refuse);
        proxy.set(Fault::None);
    }
    assert!(engine.counters().requests >= 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn key_of_a_request_that_was_not_run_may_be_used_again() {
    let (engine, addr) = Engine::start(Options::default()).await.unwrap();
    let cluster = Cluster::start(&[BoxPlan::replica("a")]).await;
    cluster.apply(&base_change(&[])).await;
    cluster.wait_revision("a", 1).await;
    let headers = [("idempotency-key", "again")];
    let refused = cluster.complete("a", &headers, &prompt("hello", 6, false)).await;
    assert_eq!(refused.header("emberturn-run"), "not_run");
    cluster.apply(&support::backend_section("e1", "small", addr)).await;
    cluster.wait_revision("a", 2).await;
    for _ in 0..2 {
        let answer = cluster.complete("a", &headers, &prompt("hello", 6, false)).await;
        assert_eq!(answer.json()["choices"][0]["text"], tokens::answer("hello", 6));
    }
    assert_eq!(engine.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_that_goes_away_cancels_the_engines_stream() {
    let (engine, addr) = Engine::start(Options::default()).await.unwrap();
    let cluster = Cluster::start(&[BoxPlan::replica("a")]).await;
    cluster.apply(&base_change(&[("e1", "small", addr)])).await;
    cluster.wait_revision("a", 1).await;
    let key = format!("Bearer {}", support::KEY);
    let body = prompt("a long one", 20_000, true);
    let request = emberturn_fakes::http::post("/v1/completions", &[("authorization", &key)], &body);
    let response = emberturn_fakes::http::open(cluster.entry("a"), request).await.unwrap();
    assert_eq!(response.status(), 200);
    drop(response);
    wait_for("the engine to be free", || async {
        let run = engine.runs().pop()?;
        let load = emberturn_fakes::http::call(addr, emberturn_fakes::http::get("/counters", &[]));
        let before = load.await.ok()?.json()["decoded"].as_u64()?;
        let load = emberturn_fakes::http::call(addr, emberturn_fakes::http::get("/load", &[]));
        let running = load.await.ok()?.json()["running"].as_u64()?;
        (running == 0 && before < 20_000 && !run.finished).then_some(())
    })
    .await;
}
