//! Unrepeatable requests run at most once, also when entry boxes or the leader are killed.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use emberturn_fakes::service::Service;
use serde_json::json;
use support::{BoxPlan, Cluster, base_change, call, wait_for};

async fn three_replicas() -> (Service, Cluster) {
    let (service, addr) = Service::start(Duration::ZERO).await.unwrap();
    let plans = ["a", "b", "c"].map(BoxPlan::replica);
    let cluster = Cluster::start(&plans).await;
    cluster.apply(&base_change(&[("d1", "desk", addr)])).await;
    for name in ["a", "b", "c"] {
        cluster.wait_revision(name, 1).await;
    }
    (service, cluster)
}

fn runs_by_body(service: &Service) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for body in service.journal() {
        *counts.entry(body).or_default() += 1;
    }
    counts
}

#[tokio::test(flavor = "multi_thread")]
async fn same_key_at_every_node_at_once_runs_once() {
    let (service, cluster) = three_replicas().await;
    for round in 0..10 {
        let key = format!("post-{round}");
        let headers = [("idempotency-key", key.as_str())];
        let body = json!({ "listing": round });
        let calls = ["a", "b", "c", "a", "b", "c"]
            .map(|name| call(cluster.entry(name), "/services/desk/post", &headers, &body));
        let answers = futures_util::future::join_all(calls).await;
        let mut done = Vec::new();
        for answer in answers {
            let answer = answer.unwrap();
            match answer.status.as_u16() {
                200 => done.push(answer.text()),
                409 => assert_eq!(answer.json()["error"]["code"], "in_progress"),
                status => panic!("{status}: {}", answer.text()),
            }
        }
        assert!(!done.is_empty());
        assert!(done.iter().all(|text| *text == done[0]), "{done:?}");
    }
    assert!(runs_by_body(&service).values().all(|runs| *runs == 1), "{:?}", runs_by_body(&service));
    assert_eq!(service.journal().len(), 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn resend_at_another_node_gets_the_recorded_answer() {
    let (service, cluster) = three_replicas().await;
    let headers = [("idempotency-key", "dispute-7")];
    let body = json!({ "dispute": 7 });
    let first = call(cluster.entry("a"), "/services/desk/file", &headers, &body).await.unwrap();
    let second = call(cluster.entry("b"), "/services/desk/file", &headers, &body).await.unwrap();
    assert_eq!(first.text(), second.text());
    assert_eq!(second.header("emberturn-run"), "done");
    assert_eq!(service.journal().len(), 1);
    let other = json!({ "dispute": 8 });
    let third = call(cluster.entry("c"), "/services/desk/file", &headers, &other).await.unwrap();
    assert_eq!(third.status, 422);
    assert_eq!(third.json()["error"]["code"], "key_conflict");
    assert_eq!(service.journal().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_that_dies_between_sending_and_recording_leaves_the_outcome_unknown() {
    let (service, mut cluster) = three_replicas().await;
    service.hold();
    let headers = [("idempotency-key", "dispute-9")];
    let body = json!({ "dispute": 9 });
    let addr = cluster.entry("a");
    let asking = tokio::spawn({
        let body = body.clone();
        async move {
            call(addr, "/services/desk/file", &[("idempotency-key", "dispute-9")], &body).await
        }
    });
    wait_for("the call to run", || async { (service.journal().len() == 1).then_some(()) }).await;
    cluster.kill("a").await;
    assert!(asking.await.unwrap().is_err());
    service.release();
    // The other nodes answer `in_progress` until they know that the box is gone, and `outcome_unknown`
    // afterwards. The request never runs again.
    wait_for("the outcome to be called unknown", || async {
        let answer =
            call(cluster.entry("b"), "/services/desk/file", &headers, &body).await.unwrap();
        assert_eq!(answer.status, 409, "{}", answer.text());
        assert_eq!(answer.header("emberturn-run"), "unknown");
        (answer.json()["error"]["code"] == "outcome_unknown").then_some(())
    })
    .await;
    assert_eq!(service.journal().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_killed_under_load_doubles_and_loses_nothing() {
    let (service, mut cluster) = three_replicas().await;
    let leader = cluster.leader().await;
    let others: Vec<_> = ["a", "b", "c"].into_iter().filter(|name| *name != leader).collect();
    let entries = [cluster.entry(others[0]), cluster.entry(others[1])];
    let mut tasks = Vec::new();
    for number in 0..60_usize {
        tasks.push(tokio::spawn(async move {
            let key = format!("key-{number}");
            let headers = [("idempotency-key", key.as_str())];
            let body = json!({ "number": number });
            let mut run_headers = Vec::new();
            for attempt in 0..200 {
                let entry = entries[(number + attempt) % 2];
                let answer = call(entry, "/services/desk/post", &headers, &body).await.unwrap();
                run_headers.push(answer.header("emberturn-run").to_owned());
                if answer.status == 200 {
                    break;
                }
            }
            (body.to_string(), run_headers)
        }));
        if number == 30 {
            cluster.kill(&leader).await;
        }
    }
    for task in tasks {
        let (body, run_headers) = task.await.unwrap();
        assert_eq!(run_headers.last().map(String::as_str), Some("done"), "{body}: {run_headers:?}");
        assert_eq!(runs_by_body(&service)[&body], 1, "{body}: {run_headers:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_majority_nothing_unrepeatable_is_sent() {
    let (service, mut cluster) = three_replicas().await;
    cluster.kill("a").await;
    cluster.kill("b").await;
    let headers = [("idempotency-key", "alone")];
    let answer =
        call(cluster.entry("c"), "/services/desk/post", &headers, &json!({})).await.unwrap();
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("emberturn-run"), "not_run");
    assert!(service.journal().is_empty());
}
