//! Planned stops and reclaimed entry boxes: no request is cut off.

mod support;

use std::time::Duration;

use emberturn_fakes::engine::{Engine, Options};
use emberturn_fakes::http::{self, Answer};
use emberturn_fakes::platform::Platform;
use emberturn_fakes::tokens;
use serde_json::Value;
use support::{BoxPlan, Cluster, base_change, call, prompt, streamed_text, wait_for};

const SLOW: Duration = Duration::from_millis(15);

async fn engine(decode: Duration) -> (Engine, std::net::SocketAddr) {
    Engine::start(Options { decode, ..Options::default() }).await.unwrap()
}

/// A replica that stays and a diskless box that stops.
async fn cluster_with(extra: &str, addr: std::net::SocketAddr) -> Cluster {
    let cluster =
        Cluster::start(&[BoxPlan::replica("a"), BoxPlan::diskless("b").extra(extra)]).await;
    cluster.apply(&base_change(&[("e1", "small", addr)])).await;
    for name in ["a", "b"] {
        cluster.wait_revision(name, 1).await;
    }
    wait_for("the boxes to know each other", || async {
        let status = cluster.status("b").await;
        (status["boxes"]["a"] == "live").then_some(())
    })
    .await;
    cluster
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_finishes_streams_and_serves_callers_that_still_come() {
    let (engine, addr) = engine(SLOW).await;
    let mut cluster = cluster_with("balancer_time = 600ms\n", addr).await;
    let entry = cluster.entry("b");
    let streams: Vec<_> = (0..6)
        .map(|number| {
            let question = format!("stream {number}");
            tokio::spawn(async move {
                let body = prompt(&question, 80, true);
                (question, call(entry, "/v1/completions", &[], &body).await)
            })
        })
        .collect();
    wait_for("the engine to generate", || async { (engine.counters().decoded > 12).then_some(()) })
        .await;
    cluster.signal("b", "TERM");
    cluster.boxes["b"].log.wait_from(0, &["event=draining"]).await;
    let ready = http::call(entry, http::get("/readyz", &[])).await.unwrap();
    assert_eq!((ready.status.as_u16(), &ready.json()["phase"]), (503, &Value::from("draining")));
    // The balancer has not seen it yet and sends one more.
    let late = call(entry, "/v1/completions", &[], &prompt("late", 8, false)).await.unwrap();
    assert_eq!(late.json()["choices"][0]["text"], tokens::answer("late", 8));
    for stream in streams {
        let (question, answer) = stream.await.unwrap();
        assert_eq!(streamed_text(&answer.unwrap()), (tokens::answer(&question, 80), true));
    }
    assert_eq!(cluster.ended("b").await, Some(0));
}

/// The pieces of a stream that ended early, and the id of the last.
fn partial(answer: &Answer) -> (String, String) {
    let (text, closed) = streamed_text(answer);
    assert!(!closed, "the stream was not handed over");
    let last = answer
        .text()
        .lines()
        .filter_map(|line| line.strip_prefix("id: ").map(str::to_owned))
        .next_back();
    (text, last.unwrap())
}

async fn come_back(
    cluster: &Cluster,
    name: &str,
    question: &str,
    key: &str,
    last: &str,
    count: usize,
) -> Answer {
    let headers = [("idempotency-key", key), ("last-event-id", last)];
    cluster.complete(name, &headers, &prompt(question, count, true)).await
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_outlasts_the_drain_time_goes_on_at_another_node() {
    let (engine, addr) = engine(SLOW).await;
    let mut cluster = cluster_with("balancer_time = 50ms\ndrain_time = 100ms\n", addr).await;
    let entry = cluster.entry("b");
    let body = prompt("a long history", 250, true);
    let asked = body.clone();
    let stream = tokio::spawn(async move {
        call(entry, "/v1/completions", &[("idempotency-key", "history-1")], &asked).await
    });
    wait_for("the engine to generate", || async { (engine.counters().decoded > 20).then_some(()) })
        .await;
    cluster.signal("b", "TERM");
    let (head, last) = partial(&stream.await.unwrap().unwrap());
    assert_eq!(cluster.ended("b").await, Some(0));
    let rest = come_back(&cluster, "a", "a long history", "history-1", &last, 250).await;
    let (tail, closed) = streamed_text(&rest);
    assert!(closed, "{}", rest.text());
    assert_eq!(head + &tail, tokens::answer("a long history", 250));
    let firsts: Vec<_> = engine.runs().iter().map(|run| run.first).collect();
    assert!(firsts.len() == 2 && firsts[1] > 0, "generated again from the start: {firsts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_reclaimed_entry_box_survives() {
    let (platform, watched) = Platform::start().await.unwrap();
    let (engine, addr) = engine(SLOW).await;
    let extra = format!("[platform]\naddr = {watched}\npoll = 50ms\n");
    let mut cluster = cluster_with(&extra, addr).await;
    let entry = cluster.entry("b");
    let body = prompt("a long history", 400, true);
    let asked = body.clone();
    let stream = tokio::spawn(async move {
        call(entry, "/v1/completions", &[("idempotency-key", "history-2")], &asked).await
    });
    wait_for("the engine to generate", || async { (engine.counters().decoded > 20).then_some(()) })
        .await;
    platform.list("b", "leaving", 1, 2_500);
    let (head, last) = partial(&stream.await.unwrap().unwrap());
    assert_eq!(cluster.ended("b").await, Some(0));
    let rest = come_back(&cluster, "a", "a long history", "history-2", &last, 400).await;
    let (tail, closed) = streamed_text(&rest);
    assert!(closed, "{}", rest.text());
    assert_eq!(head + &tail, tokens::answer("a long history", 400));
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_whose_next_node_dies_as_well_is_not_spliced_but_answered_anew() {
    let (engine, addr) = engine(SLOW).await;
    let stopping = "balancer_time = 50ms\ndrain_time = 100ms\n";
    let plans = ["a", "c", "d"].map(BoxPlan::replica);
    let plans = [plans.as_slice(), &[BoxPlan::diskless("b").extra(stopping)]].concat();
    let mut cluster = Cluster::start(&plans).await;
    cluster.apply(&base_change(&[("e1", "small", addr)])).await;
    for plan in &plans {
        cluster.wait_revision(&plan.name, 1).await;
    }
    wait_for("the box to know the others", || async {
        let status = cluster.status("b").await;
        (status["boxes"].as_object()?.len() == 4).then_some(())
    })
    .await;
    let entry = cluster.entry("b");
    let asked = prompt("a long history", 250, true);
    let stream = tokio::spawn(async move {
        call(entry, "/v1/completions", &[("idempotency-key", "history-3")], &asked).await
    });
    wait_for("the engine to generate", || async { (engine.counters().decoded > 20).then_some(()) })
        .await;
    cluster.signal("b", "TERM");
    let (_head, last) = partial(&stream.await.unwrap().unwrap());
    let line = cluster.boxes["b"].log.wait_from(0, &["event=handed_over"]).await;
    let taker = ["a", "c", "d"].into_iter().find(|name| line.contains(&format!("to={name}")));
    let taker = taker.unwrap();
    cluster.kill(taker).await;
    let other = ["a", "c", "d"].into_iter().find(|name| *name != taker).unwrap();
    // A second answer need not begin as the first did: it is not put behind what the caller has.
    let lost = come_back(&cluster, other, "a long history", "history-3", &last, 250).await;
    assert_eq!(lost.json()["error"]["code"], "stream_lost", "{}", lost.text());
    let headers = [("idempotency-key", "history-3")];
    let anew = cluster.complete(other, &headers, &prompt("a long history", 250, true)).await;
    assert_eq!(streamed_text(&anew), (tokens::answer("a long history", 250), true));
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_without_a_key_is_waited_for() {
    let (engine, addr) = engine(SLOW).await;
    let mut cluster = cluster_with("balancer_time = 20ms\ndrain_time = 20ms\n", addr).await;
    let entry = cluster.entry("b");
    let stream = tokio::spawn(async move {
        call(entry, "/v1/completions", &[], &prompt("no key", 120, true)).await
    });
    wait_for("the engine to generate", || async { (engine.counters().decoded > 5).then_some(()) })
        .await;
    cluster.signal("b", "TERM");
    let answer = stream.await.unwrap().unwrap();
    assert_eq!(streamed_text(&answer), (tokens::answer("no key", 120), true));
    assert_eq!(cluster.ended("b").await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_comes_back_to_the_same_node_after_a_broken_connection() {
    let (engine, addr) = engine(SLOW).await;
    let cluster = cluster_with("", addr).await;
    let body = prompt("weekly bulletin", 120, true);
    let headers = [("idempotency-key", "bulletin")];
    let key = format!("Bearer {}", support::KEY);
    let all = [("authorization", key.as_str()), headers[0]];
    let request = http::post("/v1/completions", &all, &body);
    let response = http::open(cluster.entry("b"), request).await.unwrap();
    wait_for("the engine to generate", || async { (engine.counters().decoded > 5).then_some(()) })
        .await;
    drop(response);
    let answer = cluster.complete("b", &headers, &body).await;
    assert_eq!(streamed_text(&answer), (tokens::answer("weekly bulletin", 120), true));
    assert_eq!(engine.runs().len(), 1, "the stream was generated twice");
}
