//! The whole path as the users' platform runs it: boxes that know three seeds, published routes, the
//! leader's duties, and what happens when processes end and disks are lost.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;
#[path = "support/system.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod system;

use std::time::Duration;

use emberturn::settings::Settings;
use emberturn::units::ByteSize;
use platform::{Act, StandIn, document, events, route, usual_routes};
use serde_json::json;
use system::{System, fill, template};

#[test]
fn filled_templates_are_valid_settings() {
    let fields = json!({
        "ip": "10.1.0.16", "zone": "egs-hall", "data_dir": "/data/replica", "first_start": true,
        "seeds": ["10.1.0.16:8229", "10.2.0.6:8229", "10.3.0.37:8229"],
        "internal_port_range": [7600, 7615], "fault_tolerance": { "machines": 2 },
        "listen_addresses": {
            "front": "10.1.0.16:8221", "ready": "10.1.0.16:8224", "control": "10.1.0.16:8229",
        },
        "cloud_api": { "address": "10.200.0.35:8225" },
        "limits": { "memory_mb": 120, "file_descriptors": 4100 },
        "bounds": {
            "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_min_retries": 56,
            "budget_window_s": 10, "grace_s": 8, "usage_window_s": 5, "usage_late_s": 10,
            "lease_ms": 3000, "quota_window_s": 8, "quota_overshoot": 0.1, "quota_slack": 140000,
            "ack_timeout_ms": 4000,
        },
    });
    for name in ["relay.ini", "replica.ini"] {
        let settings = Settings::parse(name, &fill(&template(name), &fields)).unwrap();
        assert_eq!(settings.group.seeds.len(), 3);
        assert_eq!(settings.group.voters(), 5);
        let relay = settings.relay.map(|relay| (relay.memory, relay.descriptors));
        assert!(relay.is_none_or(|it| it == (ByteSize(120_000_000), 4_100)), "{relay:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn path_serves_and_duties_are_done() {
    let system = System::start(2).await;
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    system.cloud.list(&server, "svc");
    system.publish(4, &document(3, &usual_routes())).await;
    for relay in [11, 12] {
        system.wait_status(relay, "once", 200).await;
    }
    assert_eq!(system.read(2).await, document(3, &usual_routes()));
    // What ran is reported, once for each window, under one fence.
    let ran = system
        .until("usage is reported", || async {
            let calls = system.cloud.calls("/usage");
            calls.into_iter().find(|(body, _)| body["counts"]["team-a"].as_u64() > Some(0))
        })
        .await;
    assert!(ran.1.is_some());
    let calls = system.cloud.calls("/usage");
    for (body, _) in &calls {
        let same = calls.iter().filter(|(other, _)| other["window_id"] == body["window_id"]);
        assert!(same.clone().all(|(other, _)| other == body), "{calls:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn published_document_survives_the_kill_of_every_process() {
    let mut system = System::start(1).await;
    system.publish(1, &document(8, &usual_routes())).await;
    for place in 1..=5 {
        system.kill(place).await;
    }
    system.kill(11).await;
    for place in 1..=5 {
        system.launch(place, "replica").await;
    }
    system.launch(11, "relay").await;
    assert_eq!(system.read(3).await, document(8, &usual_routes()));
    // It is in force again; without a server, the route is known and nothing runs.
    system.wait_status(11, "once", 503).await;
    system.wait_status(11, "elsewhere", 404).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn replica_without_its_disk_joins_again_and_another_may_be_lost_then() {
    let mut system = System::start(0).await;
    system.publish(1, &document(2, &usual_routes())).await;
    system.kill(2).await;
    system.lose_disk(2);
    let from = system.logged(2);
    system.launch(2, "replica").await;
    system.wait_line(2, from, &["event=group_members", "voters=5 learners=0"]).await;
    // Two others go at once; the box that joined again makes the majority.
    system.kill(1).await;
    system.kill(3).await;
    system.publish(2, &document(5, &usual_routes())).await;
    assert_eq!(system.read(4).await["version"], 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn replica_at_a_new_address_takes_the_place_of_one_that_is_gone() {
    let mut system = System::start(0).await;
    system.publish(5, &document(2, &usual_routes())).await;
    system.kill(5).await;
    system.launch(6, "replica").await;
    system.wait_line(6, 0, &["event=group_members", "voters=5 learners=0"]).await;
    assert_eq!(system.read(6).await["version"], 2);
}

/// Guards against a group that loses its majority for good: a replica that was stopped kept its vote beside the one
/// that had come in its place.
#[tokio::test(flavor = "multi_thread")]
async fn two_may_be_lost_as_soon_as_a_replaced_leader_has_ended() {
    let mut system = System::start(0).await;
    system.publish(1, &document(2, &usual_routes())).await;
    let leader = system.leader().await;
    let from = system.logged(leader);
    system.launch(6, "replica").await;
    system.wait_line(leader, from, &["event=group_members", "voters=5 learners=1"]).await;
    system.signal(leader, "TERM");
    assert_eq!(system.ended(leader).await, Some(0));
    let others: Vec<_> = (1..=5).filter(|place| *place != leader).collect();
    system.kill(others[0]).await;
    system.kill(others[1]).await;
    system.publish(6, &document(5, &usual_routes())).await;
    assert_eq!(system.read(others[2]).await["version"], 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn document_that_is_not_valid_is_refused_and_the_held_one_stays() {
    let system = System::start(0).await;
    system.publish(1, &document(4, &usual_routes())).await;
    let mut bad = document(9, &usual_routes());
    bad["routes"][0]["service"] = "none".into();
    let body = bad.to_string();
    let text = format!(
        "PUT /config HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    let reply = system.call(2, "control", &text).await.unwrap();
    assert_eq!(reply.status, 400);
    // An older version is acknowledged and changes nothing; so is another text of the same version.
    system.publish(3, &document(3, &[])).await;
    system.publish(3, &document(4, &[route("safe", "safe", 2)])).await;
    assert_eq!(system.read(5).await, document(4, &usual_routes()));
}

#[tokio::test(flavor = "multi_thread")]
async fn hangup_reads_the_settings_again_and_stops_nothing() {
    let system = System::start(1).await;
    for place in [1, 11] {
        let from = system.logged(place);
        system.signal(place, "HUP");
        system.wait_line(place, from, &["event=settings_reloaded", "seeds=3"]).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_of_a_relay_cuts_no_stream() {
    let mut system = System::start(1).await;
    let pause = Duration::from_millis(2_800);
    let mut server = StandIn::start("i-1", &[Act::PauseAfterFirst(3, pause)]).await;
    system.cloud.list(&server, "svc");
    system.publish(1, &document(2, &usual_routes())).await;
    system.wait_status(11, "elsewhere", 404).await;
    system
        .until("the server is known", || async {
            let reply = system.ask(11, "POST", "stream").await?;
            (reply.status == 200).then_some(())
        })
        .await;
    let before = server.seen().len();
    let asking = system.ask(11, "POST", "stream");
    let stopping = async {
        server.wait_seen(before + 1).await;
        system.signal(11, "TERM");
    };
    let (reply, ()) = tokio::join!(asking, stopping);
    let reply = reply.unwrap();
    assert_eq!((reply.status, reply.body.as_str(), reply.whole), (200, events(3).as_str(), true));
    assert_eq!(system.ended(11).await, Some(0));
}
