//! Kept work: a request is durable before its caller is told that it was accepted, and one owner at a
//! time runs it.

mod support;

use std::time::Duration;

use emberturn_fakes::engine::{Engine, Options};
use emberturn_fakes::http::{self, Answer};
use emberturn_fakes::service::Service;
use emberturn_fakes::tokens;
use serde_json::json;
use support::{BoxPlan, Cluster, KEY, base_change, call, prompt, wait_for};

async fn fetch(cluster: &Cluster, name: &str, path: &str) -> Answer {
    let bearer = format!("Bearer {KEY}");
    http::call(cluster.entry(name), http::get(path, &[("authorization", &bearer)])).await.unwrap()
}

async fn wait_answer(cluster: &Cluster, name: &str, path: &str) -> Answer {
    wait_for("kept work to be answered", || async {
        let answer = fetch(cluster, name, path).await;
        (answer.status != 202 && answer.status != 503 && answer.status != 504).then_some(answer)
    })
    .await
}

const RESPOND_ASYNC: (&str, &str) = ("prefer", "respond-async");

#[tokio::test(flavor = "multi_thread")]
async fn kept_work_is_fetched_from_any_node_and_the_same_key_is_kept_once() {
    let (engine, addr) = Engine::start(Options::default()).await.unwrap();
    let cluster = Cluster::start(&["a", "b", "c"].map(BoxPlan::replica)).await;
    cluster.apply(&base_change(&[("e1", "small", addr)])).await;
    let names = ["a", "b", "c"];
    for name in names {
        cluster.wait_revision(name, 1).await;
    }
    let headers = [RESPOND_ASYNC, ("idempotency-key", "summary-1")];
    let body = prompt("fault history", 32, false);
    let mut paths = Vec::new();
    for name in names {
        let answer = cluster.complete(name, &headers, &body).await;
        assert_eq!(answer.status, 202, "{}", answer.text());
        paths.push(answer.header("location").to_owned());
    }
    assert!(paths.iter().all(|path| *path == paths[0]));
    for name in names {
        let answer = wait_answer(&cluster, name, &paths[0]).await;
        assert_eq!(answer.json()["choices"][0]["text"], tokens::answer("fault history", 32));
    }
    assert_eq!(engine.runs().len(), 1);
    let other = cluster.complete("a", &headers, &prompt("another", 4, false)).await;
    assert_eq!(other.json()["error"]["code"], "key_conflict");
    let missing = fetch(&cluster, "a", "/kept/00000000000000000000000000000000").await;
    assert_eq!(missing.status, 404);
}

#[tokio::test(flavor = "multi_thread")]
async fn kept_work_survives_the_loss_of_everything_but_the_disks() {
    let (_engine, addr) = Engine::start(Options::default()).await.unwrap();
    let mut cluster = Cluster::start(&["a", "b", "c"].map(BoxPlan::replica)).await;
    // Without a backend server the work stays queued.
    cluster.apply(&base_change(&[])).await;
    cluster.wait_revision("a", 1).await;
    let kept = cluster.complete("a", &[RESPOND_ASYNC], &prompt("fault history", 32, false)).await;
    assert_eq!(kept.status, 202, "{}", kept.text());
    for name in ["a", "b", "c"] {
        cluster.kill(name).await;
    }
    for name in ["a", "b", "c"] {
        cluster.launch(name).await;
    }
    cluster.apply(&support::backend_section("e1", "small", addr)).await;
    let answer = wait_answer(&cluster, "b", kept.header("location")).await;
    assert_eq!(answer.json()["choices"][0]["text"], tokens::answer("fault history", 32));
}

/// Waits for the box that runs the only work item: the one with a request in flight to a backend server.
async fn owner(cluster: &Cluster) -> String {
    wait_for("an owner", || async {
        for name in ["a", "b", "c"] {
            let status = cluster.status(name).await;
            let backends = status["backends"].as_object()?.clone();
            if backends.values().any(|backend| backend["requests"] == 1) {
                return Some(name.to_owned());
            }
        }
        None
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn work_of_a_dead_owner_is_taken_over() {
    let options = Options { decode: Duration::from_millis(15), ..Options::default() };
    let (engine, addr) = Engine::start(options).await.unwrap();
    let mut cluster = Cluster::start(&["a", "b", "c"].map(BoxPlan::replica)).await;
    cluster.apply(&base_change(&[("e1", "small", addr)])).await;
    cluster.wait_revision("a", 1).await;
    let kept = cluster.complete("a", &[RESPOND_ASYNC], &prompt("fault history", 150, false)).await;
    wait_for("the engine to generate", || async { (engine.counters().decoded > 0).then_some(()) })
        .await;
    let owner = owner(&cluster).await;
    cluster.kill(&owner).await;
    let other = ["a", "b", "c"].into_iter().find(|name| *name != owner).unwrap();
    let answer = wait_answer(&cluster, other, kept.header("location")).await;
    assert_eq!(answer.json()["choices"][0]["text"], tokens::answer("fault history", 150));
    assert_eq!(engine.runs().len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn unrepeatable_kept_work_of_a_dead_owner_is_not_run_again() {
    let (service, addr) = Service::start(Duration::ZERO).await.unwrap();
    service.hold();
    let mut cluster = Cluster::start(&["a", "b", "c"].map(BoxPlan::replica)).await;
    cluster.apply(&base_change(&[("d1", "desk", addr)])).await;
    cluster.wait_revision("a", 1).await;
    let kept =
        call(cluster.entry("a"), "/services/desk/file", &[RESPOND_ASYNC], &json!({ "n": 1 })).await;
    let kept = kept.unwrap();
    assert_eq!(kept.status, 202, "{}", kept.text());
    // Waits for the call to reach the server, so that the owner is not killed between the ledger entry
    // and the call.
    wait_for("the call to run", || async { (service.journal().len() == 1).then_some(()) }).await;
    let owner = owner(&cluster).await;
    cluster.kill(&owner).await;
    service.release();
    let other = ["a", "b", "c"].into_iter().find(|name| *name != owner).unwrap();
    let answer = wait_answer(&cluster, other, kept.header("location")).await;
    assert_eq!(answer.json()["error"]["code"], "outcome_unknown", "{}", answer.text());
    assert_eq!(service.journal().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn kept_stream_that_broke_off_is_not_stored_as_its_answer() {
    let options = Options { decode: Duration::from_millis(15), ..Options::default() };
    let (engine, addr, task) = Engine::start_mortal(options).await.unwrap();
    let cluster = Cluster::start(&["a", "b", "c"].map(BoxPlan::replica)).await;
    cluster.apply(&base_change(&[("e1", "small", addr)])).await;
    cluster.wait_revision("a", 1).await;
    let headers = [RESPOND_ASYNC, ("emberturn-repeatable", "no")];
    let kept = cluster.complete("a", &headers, &prompt("fault history", 600, true)).await;
    assert_eq!(kept.status, 202, "{}", kept.text());
    wait_for("the engine to generate", || async { (engine.counters().decoded > 2).then_some(()) })
        .await;
    task.abort();
    let answer = wait_answer(&cluster, "b", kept.header("location")).await;
    assert_eq!(answer.status, 502, "{}", answer.text());
    assert_eq!(answer.json()["error"]["code"], "backend_broke");
}

#[tokio::test(flavor = "multi_thread")]
async fn kept_stream_that_ended_is_stored_as_its_answer() {
    let (_engine, addr) = Engine::start(Options::default()).await.unwrap();
    let cluster = Cluster::start(&["a", "b", "c"].map(BoxPlan::replica)).await;
    cluster.apply(&base_change(&[("e1", "small", addr)])).await;
    cluster.wait_revision("a", 1).await;
    let headers = [RESPOND_ASYNC, ("emberturn-repeatable", "no")];
    let kept = cluster.complete("a", &headers, &prompt("fault history", 8, true)).await;
    let answer = wait_answer(&cluster, "b", kept.header("location")).await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("content-type"), "text/event-stream");
    assert!(answer.text().ends_with("data: [DONE]\n\n"), "{}", answer.text());
}
