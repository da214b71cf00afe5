//! Regions that lose each other: every call from one region to another goes through a proxy.
//!
//! Two replicas and a relay lie in `a` and in `b`, one replica in `c`.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;
#[path = "support/system.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod system;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Instant;

use emberturn_fakes::proxy::{Fault, Proxy};
use platform::{Act, StandIn, document, usual_routes};
use serde_json::{Value, json};
use system::System;

/// The boxes, with their data centres; the first letter is the region.
const SITES: [(u8, &str); 7] =
    [(1, "a1"), (2, "a2"), (3, "b1"), (4, "b2"), (5, "c1"), (11, "a1"), (12, "b2")];

fn region(place: u8) -> char {
    let site = SITES.iter().find(|(it, _)| *it == place).unwrap().1;
    site.chars().next().unwrap()
}

struct Fleet {
    system: System,
    server: StandIn,
    /// The ways from a region to a replica of another one.
    ways: BTreeMap<(char, u8), Proxy>,
}

impl Fleet {
    /// A fleet that serves at both relays.
    async fn start() -> Self {
        Self::start_with(System::new().await, &document(1, &usual_routes())).await
    }

    async fn start_with(mut system: System, document: &Value) -> Self {
        let regions = json!({ "a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c" });
        system.lie_in(SITES.into(), regions);
        let mut ways = BTreeMap::new();
        for from in ['a', 'b', 'c'] {
            for to in (1..=5).filter(|to| region(*to) != from) {
                let proxy = Proxy::start(Some(system.peer_addr(to))).await.unwrap();
                ways.insert((from, to), proxy);
            }
        }
        let server = StandIn::start("i-1", &[Act::Answer]).await;
        system.cloud.list(&server, "svc");
        let mut fleet = Self { system, server, ways };
        for place in 1..=5 {
            fleet.launch(place, "replica").await;
        }
        let nodes: Vec<_> = (2..=5).map(|to| fleet.system.peer_addr(to).to_string()).collect();
        let mut words = vec!["form"];
        words.extend(nodes.iter().flat_map(|node| ["--node", node.as_str()]));
        // On a busy machine a connection may take longer than an operator's command waits for it.
        let formed = loop {
            let formed = fleet.system.operator(1, &words).await;
            if !String::from_utf8_lossy(&formed.stderr).contains("cannot be reached") {
                break formed;
            }
        };
        assert!(formed.status.success(), "{formed:?}");
        fleet.system.publish(1, document).await;
        for place in [11, 12] {
            fleet.launch(place, "relay").await;
            fleet.system.wait_status(place, "once", 200).await;
        }
        fleet
    }

    async fn launch(&mut self, place: u8, role: &'static str) {
        let from = region(place);
        let addr = |to: u8| match self.ways.get(&(from, to)) {
            Some(way) => way.addr,
            None => self.system.peer_addr(to),
        };
        let replicas: BTreeMap<IpAddr, SocketAddr> =
            (1..=5).map(|to| (self.system.ip(to), addr(to))).collect();
        self.system.launch_to(place, role, &replicas).await;
    }

    /// What happens to all that goes from or to a region.
    fn set(&self, region_cut: char, fault: Fault) {
        let crossing = |(from, to): &&(char, u8)| *from == region_cut || region(*to) == region_cut;
        for (_, way) in self.ways.iter().filter(|(way, _)| crossing(way)) {
            way.set(fault);
        }
    }

    /// The replica that a relay heard as the leader last.
    async fn leader(&self, relay: u8) -> u8 {
        let line = self.system.wait_line(relay, 0, &["event=leader_followed"]).await;
        (1..=5).find(|place| line.contains(&format!("replica={}", self.system.ip(*place)))).unwrap()
    }

    fn fences(&self) -> Vec<u64> {
        self.system.cloud.calls("/usage").into_iter().filter_map(|(_, fence)| fence).collect()
    }
}

/// The document without the key that callers have.
fn without_key(version: u64) -> Value {
    let mut document = document(version, &usual_routes());
    document["tenants"][0]["api_keys"] = json!(["key-b"]);
    document
}

/// It serves by what it has, as long as a key cannot have been revoked for longer than it may be, and
/// goes by the newest document once it is back.
#[tokio::test(flavor = "multi_thread")]
async fn region_cut_off_serves_until_a_key_may_be_revoked() {
    let fleet = Fleet::start().await;
    let leader = fleet.leader(11).await;
    let (relay, other, cut) = if region(leader) == 'b' { (11, 3, 'a') } else { (12, 5, 'b') };
    let from = fleet.system.logged(relay);
    fleet.set(cut, Fault::Silent);
    fleet.system.wait_line(relay, from, &["event=leader_heard", "heard=false"]).await;
    // No timing is asked for here: either answer is in order, another is not.
    let status = fleet.system.ask(relay, "POST", "once").await.unwrap().status;
    assert!([200, 503].contains(&status), "{status}");
    fleet.system.publish(other, &without_key(2)).await;
    // Other refusals come sooner, as that no leader says what the team may use; until this one the key holds.
    let doubted = "whether the key still holds is not known";
    let doubts = || async {
        let reply = fleet.system.ask(relay, "POST", "once").await?;
        (reply.status == 503 && reply.body.contains(doubted)).then_some(())
    };
    fleet.system.until("the key is doubted", doubts).await;
    let ran = fleet.server.seen().len();
    for _ in 0..20 {
        let reply = fleet.system.ask(relay, "POST", "once").await.unwrap();
        assert_eq!(reply.status, 503);
        assert!(reply.body.contains(doubted), "{reply:?}");
    }
    fleet.set(cut, Fault::None);
    fleet.system.wait_line(relay, from, &["event=leader_heard", "heard=true"]).await;
    fleet.system.wait_status(relay, "once", 401).await;
    assert_eq!(fleet.server.seen().len(), ran, "a revoked key was served");
}

/// The units of a request without a model.
const UNITS: f64 = 200.0;

/// A limit of few requests, in units a second and at once.
const LIMIT: (f64, f64) = (400.0, 4_000.0);

/// The part by which these fleets may pass a limit.
const OVERSHOOT: f64 = 0.1;

/// While a region is cut off both sides serve by what they have on lease, and no more than the limit
/// together.
#[tokio::test(flavor = "multi_thread")]
async fn regions_that_lose_each_other_keep_a_limit_together() {
    let mut limited = document(1, &usual_routes());
    limited["tenants"][0]["rate_per_s"] = json!(LIMIT.0);
    limited["tenants"][0]["burst"] = json!(LIMIT.1);
    let mut system = System::new().await;
    system.slack = 0;
    let begun = Instant::now();
    let fleet = Fleet::start_with(system, &limited).await;
    let leader = fleet.leader(11).await;
    let (relay, cut) = if region(leader) == 'b' { (11, 'a') } else { (12, 'b') };
    fleet.set(cut, Fault::Silent);
    let asking = async |place: u8| {
        loop {
            let reply = fleet.system.ask(place, "POST", "once").await.unwrap();
            // The region that is cut off ends when its keys may have been revoked.
            if place == relay && reply.status == 503 {
                return;
            }
            assert!([200, 429, 503].contains(&reply.status), "{reply:?}");
        }
    };
    let patience = tokio::time::sleep(platform::PATIENCE);
    tokio::select! {
        () = asking(relay) => {}
        () = asking(23 - relay) => {}
        () = patience => panic!("the region that is cut off goes on serving"),
    }
    let most = (1.0 + OVERSHOOT) * (LIMIT.1 + LIMIT.0 * begun.elapsed().as_secs_f64());
    let ran = fleet.server.seen().len() as f64 * UNITS;
    assert!(ran > 0.0 && ran <= most, "{ran} units of {most}");
}

/// The others elect a leader and serve on. The former one acts no more, and goes by the new one's word once
/// it is back.
#[tokio::test(flavor = "multi_thread")]
async fn region_with_the_leader_cut_off_leaves_the_others_serving() {
    let fleet = Fleet::start().await;
    let leader = fleet.leader(11).await;
    let cut = region(leader);
    let relay = if cut == 'a' { 12 } else { 11 };
    let from = fleet.system.logged(relay);
    fleet.set(cut, Fault::Silent);
    fleet.system.wait_line(relay, from, &["event=leader_followed"]).await;
    fleet.system.wait_status(relay, "once", 200).await;
    let elsewhere = (1..=5).find(|place| region(*place) != cut).unwrap();
    fleet.system.publish(elsewhere, &without_key(2)).await;
    fleet.system.wait_status(relay, "once", 401).await;
    fleet.set(cut, Fault::None);
    assert_eq!(fleet.system.read(leader).await, without_key(2));
    assert!(fleet.fences().is_sorted(), "{:?}", fleet.fences());
}

/// Calls of one region are lost on their way out, those from elsewhere arrive. Its boxes stop taking a key that
/// is revoked meanwhile, the others don't notice, and all go by the newest document afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn region_whose_calls_are_lost_one_way_takes_no_revoked_key() {
    let fleet = Fleet::start().await;
    for (_, way) in fleet.ways.iter().filter(|((from, _), _)| *from == 'b') {
        way.set(Fault::Silent);
    }
    fleet.system.publish(5, &without_key(2)).await;
    fleet.system.wait_status(11, "once", 401).await;
    fleet
        .system
        .until("the key is taken no more", || async {
            let status = fleet.system.ask(12, "POST", "once").await?.status;
            [401, 503].contains(&status).then_some(())
        })
        .await;
    let ran = fleet.server.seen().len();
    for _ in 0..20 {
        let status = fleet.system.ask(12, "POST", "once").await.unwrap().status;
        assert!([401, 503].contains(&status), "{status}");
    }
    fleet.ways.values().for_each(|way| way.set(Fault::None));
    fleet.system.wait_status(12, "once", 401).await;
    assert_eq!(fleet.server.seen().len(), ran);
}

/// A relay follows a replica of its region while there is one, any other one meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn relay_without_the_replicas_of_its_region_follows_others_until_they_are_back() {
    let mut fleet = Fleet::start().await;
    fleet.system.wait_line(12, 0, &["event=region_reached"]).await;
    let from = fleet.system.logged(12);
    for place in [3, 4] {
        fleet.system.kill(place).await;
    }
    fleet.system.wait_line(12, from, &["event=region_lost"]).await;
    fleet.system.wait_status(12, "once", 200).await;
    let from = fleet.system.logged(12);
    for place in [3, 4] {
        fleet.launch(place, "replica").await;
    }
    fleet.system.wait_line(12, from, &["event=region_reached"]).await;
    fleet.system.wait_status(12, "once", 200).await;
}
