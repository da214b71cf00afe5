//! Several failures at once, under load.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use emberturn_fakes::engine::{Engine, Options};
use emberturn_fakes::platform::Platform;
use emberturn_fakes::proxy::Fault;
use emberturn_fakes::service::Service;
use emberturn_fakes::tokens;
use serde_json::json;
use support::{BoxPlan, Cluster, base_change, call, prompt, streamed_text, wait_for};

/// A wave of reclaims with one engine dying before its notice is over, the leader killed, another
/// replica silently cut off, and operators changing the configuration: streams are whole, filings run
/// once, accepted changes are there.
#[tokio::test(flavor = "multi_thread")]
async fn wave_dead_leader_and_silent_cut_at_once_lose_and_double_nothing() {
    let options = Options { decode: Duration::from_millis(12), ..Options::default() };
    let mut engines = Vec::new();
    for _ in 0..4 {
        engines.push(Engine::start_mortal(options.clone()).await.unwrap());
    }
    let (service, desk) = Service::start(Duration::from_millis(3)).await.unwrap();
    let (platform, watched) = Platform::start().await.unwrap();
    let watching = format!("[platform]\naddr = {watched}\npoll = 50ms\n");
    let mut plans: Vec<_> = ["a", "b", "c", "d", "e"].map(BoxPlan::replica).into();
    plans.push(BoxPlan::diskless("f").extra(&watching));
    let mut cluster = Cluster::start(&plans).await;
    let names = ["e1", "e2", "e3", "e4"];
    let mut list: Vec<_> =
        names.iter().zip(&engines).map(|(name, it)| (*name, "small", it.1)).collect();
    list.push(("d1", "desk", desk));
    cluster.apply(&base_change(&list)).await;
    for plan in &plans {
        cluster.wait_revision(&plan.name, 1).await;
    }
    wait_for("the watcher to know the others", || async {
        let status = cluster.status("f").await;
        (status["boxes"].as_object()?.len() == 6).then_some(())
    })
    .await;

    // Callers use boxes that neither die nor are cut off.
    let leader = cluster.leader().await;
    let cut = ["a", "b", "c", "d", "e"].into_iter().find(|name| *name != leader).unwrap();
    let steady: Vec<_> = ["a", "b", "c", "d", "e", "f"]
        .into_iter()
        .filter(|it| *it != leader && *it != cut)
        .collect();
    let entries: Vec<_> = steady.iter().map(|name| cluster.entry(name)).collect();

    let streams: Vec<_> = (0..16)
        .map(|number| {
            let (entry, question) = (entries[number % 4], format!("history {number}"));
            tokio::spawn(async move {
                let answer =
                    call(entry, "/v1/completions", &[], &prompt(&question, 160, true)).await;
                (question, answer.unwrap())
            })
        })
        .collect();
    let filings: Vec<_> = (0..40)
        .map(|number| {
            let entries = entries.clone();
            tokio::spawn(async move {
                let key = format!("filing-{number}");
                let body = json!({ "filing": number });
                for turn in 0..200 {
                    let entry = entries[(number + turn) % 4];
                    let headers = [("idempotency-key", key.as_str())];
                    let answer = call(entry, "/services/desk/file", &headers, &body).await.unwrap();
                    if answer.status == 200 {
                        return body.to_string();
                    }
                    assert_ne!(answer.json()["error"]["code"], "outcome_unknown");
                }
                panic!("filing {number} was never answered");
            })
        })
        .collect();

    wait_for("every engine to generate", || async {
        engines.iter().all(|(engine, ..)| engine.counters().decoded > 10).then_some(())
    })
    .await;
    platform.list("e1", "leaving", 1, 1_000);
    platform.list("e2", "leaving", 1, 5_000);
    cluster.kill(&leader).await;
    cluster.cut_off(cut, Fault::Silent);
    // The second box of the wave goes long before its notice is over.
    engines[1].2.abort();
    let rest: Vec<_> = steady.iter().filter(|it| **it != "f").map(ToString::to_string).collect();
    for number in 0..5 {
        let text = format!("[team late{number}]\nkey = late{number}\n");
        let output = cluster.try_apply_at(&text, &[], &rest).await;
        assert!(output.status.success(), "{output:?}");
    }

    for stream in streams {
        let (question, answer) = stream.await.unwrap();
        assert_eq!(
            streamed_text(&answer),
            (tokens::answer(&question, 160), true),
            "{}",
            answer.text()
        );
    }
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    let mut answered = Vec::new();
    for filing in filings {
        answered.push(filing.await.unwrap());
    }
    for body in service.journal() {
        *runs.entry(body).or_default() += 1;
    }
    assert!(answered.iter().all(|body| runs.get(body) == Some(&1)), "{runs:?}");
    assert_eq!(runs.len(), 40);

    cluster.cut_off(cut, Fault::None);
    cluster.launch(&leader).await;
    for plan in &plans {
        cluster.wait_revision(&plan.name, 6).await;
    }
}
