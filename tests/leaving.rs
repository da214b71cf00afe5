//! Backend servers that leave: no new work within seconds, no stream cut, no token twice or missing.

mod support;

use std::time::Duration;

use emberturn_fakes::engine::{Engine, Options};
use emberturn_fakes::platform::Platform;
use emberturn_fakes::proxy::{Fault, Proxy};
use emberturn_fakes::tokens;
use support::{BoxPlan, Cluster, base_change, prompt, streamed_text, wait_for};

/// Three boxes, of which only the first watches the platform.
async fn cluster_with(platform: std::net::SocketAddr, change: &str) -> Cluster {
    let watching = format!("[platform]\naddr = {platform}\npoll = 50ms\n");
    let plans =
        [BoxPlan::replica("a").extra(&watching), BoxPlan::diskless("b"), BoxPlan::diskless("c")];
    let cluster = Cluster::start(&plans).await;
    cluster.apply(change).await;
    for name in ["a", "b", "c"] {
        cluster.wait_revision(name, 1).await;
    }
    // News travels only between boxes that know each other.
    wait_for("all boxes to know all", || async {
        for name in ["a", "b", "c"] {
            let status = cluster.status(name).await;
            if status["boxes"].as_object()?.len() < 3 {
                return None;
            }
        }
        Some(())
    })
    .await;
    cluster
}

async fn wait_state(cluster: &Cluster, name: &str, backend: &str, state: &str) {
    wait_for(&format!("{backend} to be {state} on {name}"), || async {
        let status = cluster.status(name).await;
        (status["backends"][backend]["state"] == state).then_some(())
    })
    .await;
}

async fn engines(count: usize, options: &Options) -> Vec<(Engine, std::net::SocketAddr)> {
    let mut list = Vec::new();
    for _ in 0..count {
        list.push(Engine::start(options.clone()).await.unwrap());
    }
    list
}

#[tokio::test(flavor = "multi_thread")]
async fn notice_reaches_every_node_and_only_a_later_life_takes_it_back() {
    let (platform, watched) = Platform::start().await.unwrap();
    let engines = engines(2, &Options::default()).await;
    let change = base_change(&[("e1", "small", engines[0].1), ("e2", "small", engines[1].1)]);
    let cluster = cluster_with(watched, &change).await;
    platform.list("e1", "leaving", 7, 60_000);
    for name in ["a", "b", "c"] {
        wait_state(&cluster, name, "e1", "leaving").await;
    }
    // The lagging list says live again: the same life does not come back.
    platform.list("e1", "live", 7, 0);
    platform.list("e2", "leaving", 1, 60_000);
    for name in ["a", "b", "c"] {
        wait_state(&cluster, name, "e2", "leaving").await;
        wait_state(&cluster, name, "e1", "leaving").await;
        let refused = cluster.complete(name, &[], &prompt("hello", 4, false)).await;
        assert_eq!(refused.json()["error"]["code"], "no_backend");
    }
    let before = engines[0].0.counters().requests + engines[1].0.counters().requests;
    assert_eq!(before, 0, "a leaving engine got new work");
    // A later life under the same name and address takes work.
    platform.list("e1", "live", 8, 0);
    for name in ["a", "b", "c"] {
        wait_state(&cluster, name, "e1", "open").await;
        let answer = cluster.complete(name, &[], &prompt("hello", 4, false)).await;
        assert_eq!(answer.json()["choices"][0]["text"], tokens::answer("hello", 4));
    }
    assert_eq!(engines[0].0.counters().requests, 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_own_word_is_enough_and_is_passed_on() {
    let engines = engines(2, &Options::default()).await;
    let cluster = Cluster::start(&[BoxPlan::replica("a"), BoxPlan::diskless("b")]).await;
    let change = base_change(&[("e1", "small", engines[0].1), ("e2", "small", engines[1].1)]);
    cluster.apply(&change).await;
    engines[0].0.leave(Duration::from_secs(60));
    for name in ["a", "b"] {
        cluster.wait_revision(name, 1).await;
        wait_state(&cluster, name, "e1", "leaving").await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn wave_that_takes_most_engines_cuts_no_stream_and_recomputes_nothing_it_can_export() {
    let (platform, watched) = Platform::start().await.unwrap();
    let options = Options { decode: Duration::from_millis(15), ..Options::default() };
    let engines = engines(3, &options).await;
    let list = [
        ("e1", "small", engines[0].1),
        ("e2", "small", engines[1].1),
        ("e3", "small", engines[2].1),
    ];
    let cluster = cluster_with(watched, &base_change(&list)).await;
    let questions: Vec<_> = (0..12).map(|number| format!("history of mast {number}")).collect();
    let asking = questions.iter().enumerate().map(|(place, question)| {
        let name = ["a", "b", "c"][place % 3];
        let body = prompt(question, 150, true);
        let cluster = &cluster;
        async move { cluster.complete(name, &[], &body).await }
    });
    let wave = async {
        wait_for("every engine to generate", || async {
            engines.iter().all(|(engine, _)| engine.counters().decoded > 8).then_some(())
        })
        .await;
        for name in ["e1", "e2"] {
            platform.list(name, "leaving", 1, 1_500);
        }
    };
    let (answers, ()) = tokio::join!(futures_util::future::join_all(asking), wave);
    for (answer, question) in answers.iter().zip(&questions) {
        assert_eq!(streamed_text(answer), (tokens::answer(question, 150), true));
    }
    let moved: usize = engines
        .iter()
        .map(|(engine, _)| engine.runs())
        .map(|runs| runs.iter().filter(|run| run.first > 0).count())
        .sum();
    assert!(moved > 0, "no stream moved");
    let recomputed: usize = engines.iter().map(|(engine, _)| engine.counters().recomputed).sum();
    assert_eq!(recomputed, 0, "exported caches leave nothing to recompute");
}

#[tokio::test(flavor = "multi_thread")]
async fn notice_shorter_than_an_export_resumes_from_what_was_delivered() {
    let (platform, watched) = Platform::start().await.unwrap();
    let options = Options { decode: Duration::from_millis(15), ..Options::default() };
    let engines = engines(2, &options).await;
    let change = base_change(&[("e1", "small", engines[0].1), ("e2", "small", engines[1].1)]);
    let cluster = cluster_with(watched, &change).await;
    let body = prompt("the whole outage", 200, true);
    let asking = cluster.complete("a", &[], &body);
    let reclaim = async {
        let busy = wait_for("an engine to generate", || async {
            engines.iter().position(|(engine, _)| engine.counters().decoded > 8)
        });
        let busy = busy.await;
        platform.list(["e1", "e2"][busy], "leaving", 1, 100);
        busy
    };
    let (answer, busy) = tokio::join!(asking, reclaim);
    assert_eq!(streamed_text(&answer), (tokens::answer("the whole outage", 200), true));
    let runs = engines[1 - busy].0.runs();
    assert_eq!(runs.len(), 1);
    assert!(runs[0].first > 0, "the second engine began at the start");
    assert!(engines[1 - busy].0.counters().recomputed > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_that_dies_without_notice_loses_no_stream_and_is_set_aside() {
    let options = Options { decode: Duration::from_millis(10), ..Options::default() };
    let engines = engines(2, &options).await;
    let proxy = Proxy::start(Some(engines[0].1)).await.unwrap();
    let cluster = Cluster::start(&[BoxPlan::replica("a")]).await;
    cluster
        .apply(&base_change(&[("e1", "small", proxy.addr), ("e2", "small", engines[1].1)]))
        .await;
    cluster.wait_revision("a", 1).await;
    let questions: Vec<_> = (0..8).map(|number| format!("draft {number}")).collect();
    let bodies: Vec<_> = questions.iter().map(|question| prompt(question, 100, true)).collect();
    let asking = bodies.iter().map(|body| cluster.complete("a", &[], body));
    let dying = async {
        wait_for("the engine to generate", || async {
            (engines[0].0.counters().decoded > 20).then_some(())
        })
        .await;
        proxy.set(Fault::Refuse);
    };
    let (answers, ()) = tokio::join!(futures_util::future::join_all(asking), dying);
    for (answer, question) in answers.iter().zip(&questions) {
        assert_eq!(streamed_text(answer), (tokens::answer(question, 100), true));
    }
    wait_state(&cluster, "a", "e1", "ejected").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_cannot_go_on_anywhere_is_not_called_not_run() {
    let (platform, watched) = Platform::start().await.unwrap();
    let options = Options { decode: Duration::from_millis(15), ..Options::default() };
    let engines = engines(1, &options).await;
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let dead = free.local_addr().unwrap();
    drop(free);
    let change = base_change(&[("e1", "small", engines[0].1), ("e2", "small", dead)]);
    let cluster = cluster_with(watched, &change).await;
    let body = prompt("the whole outage", 400, true);
    let asking = cluster.complete("a", &[], &body);
    let reclaim = async {
        wait_for("the engine to generate", || async {
            (engines[0].0.counters().decoded > 8).then_some(())
        })
        .await;
        platform.list("e1", "leaving", 1, 100);
    };
    let (answer, ()) = tokio::join!(asking, reclaim);
    let text = answer.text();
    let closing = text.split("event: error\ndata: ").nth(1).unwrap();
    let closing: serde_json::Value = serde_json::from_str(closing.trim()).unwrap();
    assert_eq!(closing["error"]["run"], "unknown", "{closing}");
}
