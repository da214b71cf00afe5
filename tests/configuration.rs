//! An accepted configuration change takes effect on all boxes and is never reverted, also when boxes are
//! killed, partitioned or frozen, or when operators race.

mod support;

use std::time::Duration;

use emberturn::group::driver::Unanswered;
use emberturn::peer::{Peers, method};
use emberturn::state::config::{Change, Class, Edit, KeyDigest, Team};
use emberturn::state::{Command, Reply};
use emberturn::units::{Millis, Tokens};
use emberturn_fakes::engine::{Engine, Options};
use emberturn_fakes::proxy::Fault;
use emberturn_fakes::tokens;
use serde_json::Value;
use support::{BoxPlan, Cluster, backend_section, base_change, prompt, wait_for};
use yare::parameterized;

fn replicas(names: &[&str]) -> Vec<BoxPlan> {
    names.iter().map(|name| BoxPlan::replica(name)).collect()
}

fn json(output: &std::process::Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap_or(Value::Null)
}

fn team_change(number: u64) -> Command {
    let team = Team {
        key: KeyDigest::of(&format!("key-{number}")),
        class: Class::Batch,
        first_token: Millis(600),
        between: Millis(60),
        concurrent: 1,
        budget: Tokens(1),
        weight: 1,
    };
    let name = format!("team-{}", number % 50).parse().unwrap();
    let id = format!("change-{number}").parse().unwrap();
    Command::Change(Change { id, expect: None, edits: vec![Edit::PutTeam(name, team)] })
}

/// Proposes a change for each number at the leader, 100 concurrently.
async fn propose_changes(cluster: &Cluster, range: std::ops::Range<u64>) {
    let leader = cluster.leader().await;
    let addr = cluster.boxes[&leader].peer.addr;
    let peers = Peers::new("test-secret");
    let numbers: Vec<_> = range.collect();
    for chunk in numbers.chunks(100) {
        let calls = chunk.iter().map(|number| {
            let (peers, command) = (peers.clone(), team_change(*number));
            async move {
                let limit = Duration::from_secs(20);
                peers
                    .call::<_, Result<Reply, Unanswered>>(addr, method::PROPOSE, &command, limit)
                    .await
            }
        });
        for reply in futures_util::future::join_all(calls).await {
            assert!(matches!(reply, Ok(Ok(Reply::Change(_)))), "{reply:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn of_operators_racing_with_equal_numbers_one_wins_and_the_others_learn_who() {
    let cluster = Cluster::start(&replicas(&["a", "b", "c"])).await;
    cluster.apply(&base_change(&[])).await;
    for round in 1..4_u64 {
        let expect = round.to_string();
        let texts: Vec<_> = (0..5)
            .map(|racer| format!("[team t{round}-{racer}]\nkey = k{round}-{racer}\n"))
            .collect();
        let ids: Vec<_> = (0..5).map(|racer| format!("r{round}-{racer}")).collect();
        let extras: Vec<_> = ids.iter().map(|id| ["--id", id, "--expect", &expect]).collect();
        let races = texts.iter().zip(&extras).map(|(text, extra)| cluster.try_apply(text, extra));
        let outputs = futures_util::future::join_all(races).await;
        let winners: Vec<_> =
            outputs.iter().map(json).filter(|it| it["answer"]["accepted"] == round + 1).collect();
        assert_eq!(winners.len(), 1, "{outputs:?}");
        for output in &outputs {
            let answer = json(output);
            if answer["answer"]["accepted"].is_u64() {
                continue;
            }
            assert_eq!(output.status.code(), Some(3));
            assert_eq!(answer["answer"]["conflict"]["winner"], winners[0]["id"]);
        }
        // The accepted change, sent again as after a lost answer, gets its first answer.
        let winner = winners[0]["id"].as_str().unwrap();
        let index = ids.iter().position(|id| id == winner).unwrap();
        let again = cluster.try_apply(&texts[index], &extras[index]).await;
        assert_eq!(json(&again)["answer"]["accepted"], round + 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_killed_between_changes_loses_none() {
    let mut cluster = Cluster::start(&replicas(&["a", "b", "c"])).await;
    cluster.apply(&base_change(&[])).await;
    let mut revision = 1;
    for round in 0..3 {
        let leader = cluster.leader().await;
        cluster.kill(&leader).await;
        let change = format!("[team t{round}]\nkey = key{round}\n");
        let answer = cluster.apply(&change).await;
        revision += 1;
        assert_eq!(answer["answer"]["accepted"], revision);
        cluster.launch(&leader).await;
        cluster.wait_revision(&leader, revision).await;
    }
    let get = cluster.operator(&["get"], &cluster.replicas()).await;
    let teams = json(&get)["teams"].as_object().unwrap().len();
    assert_eq!(teams, 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_boxes_never_serve_an_older_configuration() {
    let (_engine, addr) = Engine::start(Options::default()).await.unwrap();
    // `on_stale = serve` allows serving a stale configuration, but not one that was never confirmed since
    // the start.
    let mut plans = replicas(&["a", "b", "c"]);
    plans.push(BoxPlan::diskless("d"));
    let plans: Vec<_> = plans.into_iter().map(|it| it.extra("on_stale = serve\n")).collect();
    let mut cluster = Cluster::start(&plans).await;
    cluster.apply(&base_change(&[("e1", "small", addr)])).await;
    for name in ["a", "d"] {
        cluster.wait_revision(name, 1).await;
        cluster.kill(name).await;
    }
    // The engine is removed while they are down, so a box that still uses it serves the old revision.
    cluster.apply("[remove backend_server e1]\n").await;
    for name in ["a", "d"] {
        cluster.launch(name).await;
    }
    for name in ["a", "d"] {
        wait_for(&format!("{name} to take work"), || async {
            let answer = cluster.complete(name, &[], &prompt("hello", 2, false)).await;
            assert_ne!(answer.status, 200, "{name} served an old configuration");
            match answer.json()["error"]["code"].as_str().unwrap() {
                "no_backend" => Some(()),
                "stale_configuration" => None,
                other => panic!("{other}"),
            }
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn boxes_silently_cut_off_stop_serving_and_come_back_with_the_newest() {
    let (_engine, addr) = Engine::start(Options::default()).await.unwrap();
    let lease = "config_lease = 1500ms\n";
    let mut plans: Vec<_> =
        replicas(&["a", "b", "c"]).into_iter().map(|it| it.extra(lease)).collect();
    plans.push(BoxPlan::diskless("d").extra(lease));
    let cluster = Cluster::start(&plans).await;
    cluster.apply(&base_change(&[("e1", "small", addr)])).await;
    for name in ["a", "b", "c", "d"] {
        cluster.wait_revision(name, 1).await;
    }
    let leader = cluster.leader().await;
    for name in [leader.as_str(), "d"] {
        cluster.cut_off(name, Fault::Silent);
    }
    let rest: Vec<_> = cluster.replicas().into_iter().filter(|name| *name != leader).collect();
    let change = cluster.try_apply_at("[remove backend_server e1]\n", &[], &rest).await;
    assert_eq!(json(&change)["answer"]["accepted"], 2, "{change:?}");
    for name in [leader.as_str(), "d"] {
        wait_for(&format!("{name} to refuse"), || async {
            let answer = cluster.complete(name, &[], &prompt("hello", 2, false)).await;
            (answer.json()["error"]["code"] == "stale_configuration").then_some(())
        })
        .await;
    }
    for name in [leader.as_str(), "d"] {
        cluster.cut_off(name, Fault::None);
    }
    for name in [leader.as_str(), "d"] {
        cluster.wait_revision(name, 2).await;
        let answer = cluster.complete(name, &[], &prompt("hello", 2, false)).await;
        assert_eq!(answer.json()["error"]["code"], "no_backend");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_box_does_not_serve_what_it_knew_before() {
    let (_engine, addr) = Engine::start(Options::default()).await.unwrap();
    let mut plans = replicas(&["a", "b", "c"]);
    let lease = Duration::from_millis(800);
    plans.push(BoxPlan::diskless("d").extra("config_lease = 800ms\n"));
    let cluster = Cluster::start(&plans).await;
    cluster.apply(&base_change(&[("e1", "small", addr)])).await;
    cluster.wait_revision("d", 1).await;
    assert_eq!(cluster.complete("d", &[], &prompt("x", 2, false)).await.status, 200);
    cluster.signal("d", "STOP");
    // The sleep is the fault under test: the freeze outlasts the lease. The answer to the box's pending
    // poll was sent before the change, so the box reads an outdated answer when it continues.
    tokio::time::sleep(lease).await;
    cluster.apply("[remove backend_server e1]\n").await;
    let entry = cluster.entry("d");
    let asking = tokio::spawn(async move {
        support::call(entry, "/v1/completions", &[], &prompt("x", 2, false)).await
    });
    cluster.signal("d", "CONT");
    let answer = asking.await.unwrap().unwrap();
    let code = answer.json()["error"]["code"].clone();
    assert!(code == "stale_configuration" || code == "no_backend", "{}", answer.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn second_box_lost_right_after_a_repair_loses_nothing() {
    let mut cluster = Cluster::start(&replicas(&["a", "b", "c", "d", "e"])).await;
    cluster.apply(&base_change(&[])).await;
    let mut accepted = 1;
    let first = cluster.leader().await;
    let second = cluster.replicas().into_iter().find(|name| *name != first).unwrap();
    for lost in [&first, &second] {
        cluster.kill(lost).await;
        cluster.lose_disk(lost);
        let change = format!("[team while-{lost}-is-away]\nkey = {lost}\n");
        cluster.apply(&change).await;
        accepted += 1;
        cluster.launch(lost).await;
        // Until the member is replaced, a box with an empty disk is not part of the group and must not vote.
        let status = cluster.status(lost).await;
        assert_eq!(status["group"]["formed"], false, "{status}");
        let removed = cluster.operator(&["members", "remove", lost], &cluster.replicas()).await;
        assert!(removed.status.success(), "{removed:?}");
        let addr = cluster.boxes[lost].peer.addr.to_string();
        let added = cluster.operator(&["members", "add", &addr], &cluster.replicas()).await;
        assert!(added.status.success(), "{added:?}");
    }
    // Two more are killed at once; the two repaired boxes are part of the remaining majority.
    let others: Vec<_> =
        cluster.replicas().into_iter().filter(|name| *name != first && *name != second).collect();
    for name in &others[..2] {
        cluster.kill(name).await;
    }
    let answer = cluster.apply("[team last]\nkey = last\n").await;
    assert_eq!(answer["answer"]["accepted"], accepted + 1);
    let get = json(&cluster.operator(&["get"], std::slice::from_ref(&first)).await);
    for team in ["portal", &format!("while-{first}-is-away"), &format!("while-{second}-is-away")] {
        assert!(get["teams"][team].is_object(), "{team} is lost");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn emptied_disk_alone_never_makes_a_majority() {
    let mut cluster = Cluster::start(&replicas(&["a", "b", "c"])).await;
    cluster.apply(&base_change(&[])).await;
    for name in ["a", "b"] {
        cluster.kill(name).await;
        cluster.lose_disk(name);
        cluster.launch(name).await;
    }
    // Only one of three still has the state: it must not accept changes, and no new group may be formed.
    let formed = cluster.operator(&["form"], &cluster.replicas()).await;
    assert_eq!(formed.status.code(), Some(3), "{formed:?}");
    wait_for("the last member to lose its leader", || async {
        let status = cluster.status("c").await;
        (status["group"]["role"] != "leader" && status["group"]["leader"].is_null()).then_some(())
    })
    .await;
    for name in ["a", "b"] {
        assert_eq!(cluster.status(name).await["group"]["formed"], false);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn box_that_missed_hundreds_of_changes_catches_up() {
    let mut cluster = Cluster::start(&replicas(&["a", "b", "c"])).await;
    cluster.apply(&base_change(&[])).await;
    let leader = cluster.leader().await;
    let away = cluster.replicas().into_iter().find(|name| *name != leader).unwrap();
    cluster.kill(&away).await;
    propose_changes(&cluster, 0..700).await;
    cluster.launch(&away).await;
    cluster.wait_revision(&away, 701).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn box_that_missed_more_than_the_log_holds_gets_a_snapshot() {
    let mut plans = replicas(&["a", "b", "c"]);
    plans.push(BoxPlan::diskless("d"));
    let mut cluster = Cluster::start(&plans).await;
    cluster.apply(&base_change(&[])).await;
    let leader = cluster.leader().await;
    let away = cluster.replicas().into_iter().find(|name| *name != leader).unwrap();
    for name in [away.as_str(), "d"] {
        cluster.kill(name).await;
    }
    propose_changes(&cluster, 0..9_000).await;
    let leader = cluster.leader().await;
    cluster.boxes[&leader].log.wait_from(0, &["event=log_compacted"]).await;
    for name in [away.as_str(), "d"] {
        cluster.launch(name).await;
        cluster.wait_revision(name, 9_001).await;
    }
    // The former leader restarts from a snapshot and the log entries after it.
    cluster.kill(&leader).await;
    cluster.launch(&leader).await;
    cluster.wait_revision(&leader, 9_001).await;
}

/// After a crash the database verifies its own file; after an orderly stop only emberturn's checksums
/// detect corruption.
#[parameterized(
    after_a_crash = { false },
    after_an_orderly_stop = { true },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn corrupt_storage_is_refused_by_name(orderly: bool) {
    let mut cluster = Cluster::start(&replicas(&["a", "b", "c"])).await;
    cluster.apply(&base_change(&[])).await;
    let leader = cluster.leader().await;
    let victim = cluster.replicas().into_iter().find(|name| *name != leader).unwrap();
    match orderly {
        true => {
            cluster.signal(&victim, "TERM");
            assert_eq!(cluster.ended(&victim).await, Some(0));
        }
        false => cluster.kill(&victim).await,
    }
    let file = cluster.boxes[&victim].folder.join("data/group-0.redb");
    let mut bytes = std::fs::read(&file).unwrap();
    // Corrupts every copy of the team's name, which includes the one in the log entry.
    let needle = b"portal";
    let offsets: Vec<_> = (0..bytes.len() - needle.len())
        .filter(|offset| bytes[*offset..].starts_with(needle))
        .collect();
    assert!(!offsets.is_empty());
    for offset in offsets {
        bytes[offset] ^= 0x20;
    }
    std::fs::write(&file, bytes).unwrap();
    let running = tokio::process::Command::new(env!("CARGO_BIN_EXE_emberturn"))
        .arg("node")
        .arg(cluster.boxes[&victim].folder.join("node.ini"))
        .kill_on_drop(true)
        .output();
    let output = tokio::time::timeout(support::PATIENCE, running).await;
    let output = output.expect("the node refuses to start").unwrap();
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("group-0.redb") && text.contains("corrupt"), "{text}");
    // The other members still accept changes.
    cluster.apply(&backend_section("e9", "small", "127.0.0.1:9".parse().unwrap())).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn change_under_traffic_drops_and_misroutes_nothing() {
    let (first, addr1) = Engine::start(Options::default()).await.unwrap();
    let (second, addr2) = Engine::start(Options::default()).await.unwrap();
    let cluster = Cluster::start(&[BoxPlan::replica("a"), BoxPlan::diskless("b")]).await;
    cluster.apply(&base_change(&[("e1", "small", addr1)])).await;
    cluster.wait_revision("b", 1).await;
    let traffic = async {
        for number in 0..60 {
            let question = format!("question {number}");
            let name = ["a", "b"][number % 2];
            let answer = cluster.complete(name, &[], &prompt(&question, 10, true)).await;
            assert_eq!(support::streamed_text(&answer), (tokens::answer(&question, 10), true));
        }
    };
    let changes = async {
        for _ in 0..4 {
            cluster.apply(&backend_section("e2", "small", addr2)).await;
            cluster.apply("[remove backend_server e1]\n").await;
            cluster.apply(&backend_section("e1", "small", addr1)).await;
            cluster.apply("[remove backend_server e2]\n").await;
        }
    };
    tokio::join!(traffic, changes);
    assert!(first.counters().requests > 0 && second.counters().requests > 0);
}
