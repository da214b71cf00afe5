//! Requests to plain services at an entry box that the platform takes back.

mod support;

use std::time::Duration;

use emberturn_fakes::http::Answer;
use emberturn_fakes::platform::Platform;
use emberturn_fakes::service::Service;
use serde_json::json;
use support::{BoxPlan, Cluster, base_change, call, wait_for};

/// Longer than the notice.
const SERVICE_TIME: Duration = Duration::from_secs(60);

const NOTICE_MS: u64 = 4_000;

fn outcome(answer: &Answer) -> (u16, String) {
    let code = answer.json()["error"]["code"].as_str().unwrap_or_default().to_owned();
    (answer.status.as_u16(), code)
}

/// Guards against a bare close at the end of the notice, and unrepeatable requests that are accepted into it.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_outlasts_a_reclaimed_box_is_told_so() {
    let (platform, watched) = Platform::start().await.unwrap();
    let (service, addr) = Service::start(SERVICE_TIME).await.unwrap();
    // The balancer still sends for most of the notice.
    let extra = format!("balancer_time = 30s\n[platform]\naddr = {watched}\npoll = 50ms\n");
    let plans = [BoxPlan::replica("a"), BoxPlan::diskless("b").extra(&extra)];
    let mut cluster = Cluster::start(&plans).await;
    cluster.apply(&base_change(&[("d1", "desk", addr)])).await;
    cluster.wait_revision("b", 1).await;
    let entry = cluster.entry("b");
    let ask = move |name: &'static str, deadline: &'static str| async move {
        let headers = [("emberturn-deadline-ms", deadline)];
        let body = json!({ "request": name });
        call(entry, "/services/desk/post", &headers, &body).await.unwrap()
    };
    let early = tokio::spawn(ask("early", "60000"));
    wait_for("the service to run it", || async { (service.journal().len() == 1).then_some(()) })
        .await;
    platform.list("b", "leaving", 1, NOTICE_MS);
    cluster.boxes["b"].log.wait_from(0, &["event=draining"]).await;
    let late = ask("late", "60000").await;
    assert_eq!(outcome(&late), (503, "draining".to_owned()));
    assert_eq!(late.headers["connection"], "close");
    assert_eq!(service.journal().len(), 1, "told as not run, and ran");
    // Its caller gives up before the box is gone.
    let short = ask("short", "500").await;
    assert_eq!(outcome(&short), (504, "backend_timeout".to_owned()));
    assert_eq!(service.journal().len(), 2);
    assert_eq!(outcome(&early.await.unwrap()), (504, "stopped".to_owned()));
    assert_eq!(cluster.ended("b").await, Some(0));
}
