//! The whole path as separate processes: caller, one of two entry nodes, an engine.

mod support;

use std::net::SocketAddr;
use std::process::Stdio;

use emberturn_fakes::http;
use emberturn_fakes::tokens;
use support::{BoxPlan, Cluster, base_change, binary, prompt, streamed_text};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

async fn engine_process() -> (Child, SocketAddr) {
    let mut child = Command::new(binary("emberturn-fakes"))
        .arg("engine")
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("the stand-ins are built by the workspace's test command");
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let line = lines.next_line().await.unwrap().unwrap();
    let addr = line.strip_prefix("event=listening addr=").unwrap().parse().unwrap();
    (child, addr)
}

#[tokio::test(flavor = "multi_thread")]
async fn request_crosses_the_whole_path_through_either_entry_node() {
    let (_engine, addr) = engine_process().await;
    let cluster = Cluster::start(&[BoxPlan::replica("a"), BoxPlan::diskless("b")]).await;
    let answer = cluster.apply(&base_change(&[("e1", "small", addr)])).await;
    assert_eq!(answer["answer"]["accepted"], 1);
    for name in ["a", "b"] {
        cluster.wait_revision(name, 1).await;
        let question = format!("what about the link, {name}?");
        let streamed = cluster.complete(name, &[], &prompt(&question, 12, true)).await;
        assert_eq!(streamed.status, 200, "{}", streamed.text());
        assert_eq!(streamed_text(&streamed), (tokens::answer(&question, 12), true));
        let whole = cluster.complete(name, &[], &prompt(&question, 12, false)).await;
        assert_eq!(whole.header("emberturn-run"), "done");
        assert_eq!(whole.json()["choices"][0]["text"], tokens::answer(&question, 12));
        let trace = whole.header("emberturn-trace").to_owned();
        let hops = cluster.operator(&["trace", &trace], &[name.to_owned()]).await;
        let hops = String::from_utf8(hops.stdout).unwrap();
        assert!(
            hops.contains("name=entry place=") && hops.contains("name=backend place=e1"),
            "{hops}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn change_from_the_command_line_reaches_every_node() {
    let (_engine, addr) = engine_process().await;
    let cluster = Cluster::start(&[BoxPlan::replica("a"), BoxPlan::diskless("b")]).await;
    cluster.apply(&base_change(&[("e1", "small", addr)])).await;
    cluster.apply("[remove backend_server e1]\n").await;
    for name in ["a", "b"] {
        cluster.wait_revision(name, 2).await;
        let refused = cluster.complete(name, &[], &prompt("anyone there?", 4, false)).await;
        assert_eq!(refused.status, 503);
        assert_eq!(refused.header("emberturn-run"), "not_run");
        assert_eq!(refused.json()["error"]["code"], "no_backend");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_are_served_and_logs_are_key_value_lines() {
    let cluster = Cluster::start(&[BoxPlan::replica("a")]).await;
    cluster.apply(&base_change(&[])).await;
    cluster.wait_revision("a", 1).await;
    cluster.complete("a", &[], &prompt("x", 1, false)).await;
    let log = &cluster.boxes["a"].log;
    let line = log.wait_from(0, &["event=request_failed", "kind=no_backend", "run=not_run"]).await;
    assert!(!line.contains('\n') && line.contains("level="), "{line}");
    let metrics = metrics(&cluster, "a").await;
    assert!(metrics.contains("emberturn_requests_total"), "{metrics}");
    assert!(metrics.contains(r#"team="portal""#));
}

/// A box's metrics, in their text format.
async fn metrics(cluster: &Cluster, name: &str) -> String {
    let log = &cluster.boxes[name].log;
    let listening = log.wait_from(0, &["event=listening", "side=metrics"]).await;
    let addr = listening.split("addr=").nth(1).unwrap().split_whitespace().next().unwrap();
    let addr: SocketAddr = addr.trim_matches('"').parse().unwrap();
    http::call(addr, http::get("/metrics", &[])).await.unwrap().text()
}

#[tokio::test(flavor = "multi_thread")]
async fn gauges_tell_who_leads_how_old_the_configuration_is_and_what_was_not_logged() {
    let cluster = Cluster::start(&[BoxPlan::replica("a"), BoxPlan::diskless("b")]).await;
    cluster.apply(&base_change(&[])).await;
    cluster.wait_revision("b", 1).await;
    let (replica, diskless) = (metrics(&cluster, "a").await, metrics(&cluster, "b").await);
    let value = |text: &str, name: &str| {
        let line = text.lines().find(|line| line.starts_with(name));
        line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
    };
    assert!(value(&replica, "emberturn_leading_term").unwrap() > 0.0, "{replica}");
    assert_eq!(value(&diskless, "emberturn_leading_term"), Some(0.0), "{diskless}");
    assert!(value(&diskless, "emberturn_configuration_age_seconds").is_some(), "{diskless}");
    assert_eq!(value(&replica, "emberturn_log_lines_not_written"), Some(0.0), "{replica}");
}
