//! Policies: their decisions, their limits, and changing them under traffic.

mod support;

use std::collections::BTreeMap;

use emberturn::decide::policy::{Policies, PolicyDecision, PolicyInput};
use emberturn::state::config::Class;
use emberturn::units::{Millis, Tokens};
use emberturn_fakes::engine::{Engine, Options};
use support::{BoxPlan, Cluster, base_change, prompt};
use yare::parameterized;

fn input() -> PolicyInput {
    PolicyInput {
        team: "portal".parse().unwrap(),
        service: "small".parse().unwrap(),
        class: Class::Interactive,
        data_centre: "dc1".parse().unwrap(),
        prompt_tokens: Tokens(100),
        max_tokens: Tokens(50),
        repeatable: true,
        may_wait: false,
    }
}

fn decide(program: &str) -> Result<PolicyDecision, String> {
    let name = "p".parse().unwrap();
    let policies = Policies::compile(&BTreeMap::from([(name, program.to_owned())]));
    let result = policies.decide(&"p".parse().unwrap(), &input());
    result.map_err(|error| error.detail)
}

#[test]
fn ruling_is_read_whole() {
    let program = r#"
        fn decide(request) {
            if request.prompt_tokens > 50 && request.team == "portal" {
                return #{ class: "batch", wait_ms: 500, data_centres: ["dc1", "dc2"], on_demand: true };
            }
            #{}
        }"#;
    let decision = decide(program).unwrap();
    assert_eq!(decision.class, Some(Class::Batch));
    assert_eq!(decision.wait, Some(Millis(500)));
    assert_eq!(decision.data_centres.len(), 2);
    assert!(decision.on_demand && decision.refuse.is_none());
    assert_eq!(decide("fn decide(request) { #{} }"), Ok(PolicyDecision::default()));
}

#[parameterized(
    endless = { "fn decide(request) { loop {} }", "operations" },
    deep = { "fn f(n) { f(n + 1) } fn decide(request) { f(0) }", "Stack" },
    large = { "fn decide(request) { let s = \"x\"; loop { s += s; } }", "too large" },
    missing = { "fn other(request) { #{} }", "defines no fn" },
    malformed = { "fn decide(request) {", "}" },
    not_a_map = { "fn decide(request) { 7 }", "type" },
    unknown_key = { "fn decide(request) { #{ klass: \"batch\" } }", "klass" },
    wrong_type = { "fn decide(request) { #{ wait_ms: \"long\" } }", "wait_ms" },
    negative = { "fn decide(request) { #{ wait_ms: -1 } }", "negative" },
    throws = { "fn decide(request) { throw \"no\" }", "no" },
    evaluates = { "fn decide(request) { eval(\"1\") }", "eval" },
)]
fn bad_program_is_a_fault_and_not_a_ruling(program: &str, part: &str) {
    let error = decide(program).unwrap_err();
    assert!(error.contains(part), "{error}");
}

async fn write_policy(cluster: &Cluster, program: &str) -> String {
    let name = format!("policy-{}.rhai", program.len());
    std::fs::write(cluster.folder.path().join(&name), program).unwrap();
    format!("[policy p]\nfile = {name}\n[service small]\nkind = engine\npolicy = p\n")
}

#[tokio::test(flavor = "multi_thread")]
async fn policy_changes_under_traffic_and_a_runaway_one_falls_back() {
    let (_engine, addr) = Engine::start(Options::default()).await.unwrap();
    let cluster = Cluster::start(&[BoxPlan::replica("a")]).await;
    cluster.apply(&base_change(&[("e1", "small", addr)])).await;
    cluster.wait_revision("a", 1).await;
    let traffic = async {
        for number in 0..80 {
            let body = prompt(&format!("question {number}"), 5, false);
            let answer = cluster.complete("a", &[], &body).await;
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
    };
    let changes = async {
        for program in [
            "fn decide(request) { #{ data_centres: [\"dc1\"] } }",
            "fn decide(request) { loop {} }",
            "fn decide(request) { #{ class: \"batch\" } }",
        ] {
            cluster.apply(&write_policy(&cluster, program).await).await;
        }
    };
    tokio::join!(traffic, changes);
    let refusing = "fn decide(request) { #{ refuse: \"not on Sundays\" } }";
    cluster.apply(&write_policy(&cluster, refusing).await).await;
    cluster.wait_revision("a", 5).await;
    let refused = cluster.complete("a", &[], &prompt("x", 2, false)).await;
    assert_eq!(refused.json()["error"]["code"], "policy_refused");
    assert_eq!(refused.json()["error"]["message"], "not on Sundays");
    let runaway = write_policy(&cluster, "fn decide(request) { loop { } }").await;
    cluster.apply(&runaway).await;
    cluster.wait_revision("a", 6).await;
    assert_eq!(cluster.complete("a", &[], &prompt("x", 2, false)).await.status, 200);
    cluster.boxes["a"].log.wait_from(0, &["event=policy_failed", "policy=p"]).await;
}

#[tokio::test]
async fn check_finds_faults_offline() {
    let folder = tempfile::tempdir().unwrap();
    let check = |name: &str, change: bool, text: &str| {
        let file = folder.path().join(name);
        std::fs::write(&file, text).unwrap();
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_emberturn"));
        command.arg("check");
        if change {
            command.arg("--change");
        }
        let output = command.arg(file).output().unwrap();
        (output.status.code(), String::from_utf8(output.stdout).unwrap())
    };
    std::fs::write(folder.path().join("p.rhai"), "fn decide(request) { request.nope + 1 }")
        .unwrap();
    let (code, text) = check("c.ini", true, "[policy p]\nfile = p.rhai\n");
    assert_eq!(code, Some(2), "{text}");
    assert!(text.contains("policy p"), "{text}");
    let (code, text) = check("d.ini", true, "[team x]\nkey = k\ncolour = red\n[cheese y]\n");
    assert_eq!(code, Some(2));
    assert!(text.contains("[team x] colour is not known") && text.contains("[cheese y]"), "{text}");
    let bad =
        "[node]\nbox_id = a b\nroles = entry, boss\n[entry]\nlisten = here\nlsten = x\n[rubbish]\n";
    let (code, text) = check("n.ini", false, bad);
    assert_eq!(code, Some(2));
    for part in [
        "box_id",
        "data_centre is missing",
        "boss",
        "[entry] listen",
        "lsten",
        "[rubbish]",
        "[replicas]",
    ] {
        assert!(text.contains(part), "{part} is not in {text}");
    }
    let good = "[node]\nbox_id = a\ndata_centre = d\n[replicas]\nb = 127.0.0.1:7080\n";
    let (code, text) = check("g.ini", false, good);
    assert_eq!(code, Some(0), "{text}");
}
