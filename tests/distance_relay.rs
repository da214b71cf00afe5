//! Tests of a relay in a fleet over several regions: which servers it chooses, and from where
//! prompts' KV caches are copied.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use emberturn::relay::attempts::CallAttempts;
use emberturn::relay::call::{Call, CallHead, GenerationSize, PromptSegment};
use emberturn::relay::known::{InFlightRequest, KnownServer};
use emberturn::relay::list::Server;
use emberturn::relay::table::Route;
use hyper::{HeaderMap, Method};
use platform::{TestRelay, document, usual_routes};

/// Starts a relay in data centre `here` of region `a`, which also contains `near`. `far` is in
/// region `b`.
async fn relay_of_two_regions() -> TestRelay {
    let relay = TestRelay::empty_with("[regions]\nhere = a\nnear = a\nfar = b\n").await;
    relay.publish(&document(1, &usual_routes()));
    relay
}

fn server(number: usize, data_centre: &str) -> Server {
    Server {
        id: format!("i-{number}").parse().unwrap(),
        service: "svc".parse().unwrap(),
        addr: ([127, 0, 0, 1], 1).into(),
        data_centre: data_centre.parse().unwrap(),
        release: "v1".parse().unwrap(),
        slots: 8,
        leaving: false,
        leaves_in: None,
        spot: false,
    }
}

fn servers(names: &[&str], each: usize) -> Vec<Server> {
    (0..each * names.len()).map(|number| server(number, names[number % names.len()])).collect()
}

/// A call. If `part` is given, its prompt begins with that shared prefix.
fn call(part: Option<u64>) -> Call {
    let shared = part.map(|id| PromptSegment { id, tokens: 5_000 });
    let parts = shared.into_iter().chain([PromptSegment { id: 0, tokens: 1_000 }]).collect();
    let size = Some(GenerationSize { prompt_tokens: 6_000, max_output_tokens: 100 });
    Call {
        head: CallHead { generation: size, prompt_segments: parts, ..CallHead::default() },
        method: Method::POST,
        path: "/stream/x".parse().unwrap(),
        headers: HeaderMap::new(),
        body: Bytes::from(vec![0; 24_000]),
        team: None,
        urgency: 0,
        arrived: Instant::now(),
        deadline: Instant::now() + Duration::from_secs(60),
    }
}

fn stream_route(relay: &TestRelay) -> Arc<Route> {
    relay.relay.table().unwrap().find("app.example", "/stream/x").unwrap().clone()
}

/// The server chosen for a call, and whether it copies the shared prefix from another server.
fn choose_server(relay: &TestRelay, part: Option<u64>) -> (Arc<KnownServer>, bool) {
    let mut attempts = CallAttempts::new("svc".parse().unwrap());
    let known = attempts.next_server(&relay.relay, &call(part), &stream_route(relay)).unwrap();
    (known, attempts.prefix_source().is_some())
}

/// Occupies all slots of the servers in the named data centres.
fn occupy_slots(relay: &TestRelay, names: &[&str]) -> Vec<InFlightRequest> {
    let servers = relay.relay.servers.for_service(&"svc".parse().unwrap());
    let there = servers.iter().filter(|it| names.contains(&it.server.data_centre.as_str()));
    there.flat_map(|known| (0..20).map(|_| known.start_request(0, 0))).collect()
}

/// The data centres that 60 calls go to.
fn destinations(relay: &TestRelay) -> Vec<String> {
    let place = |_| choose_server(relay, None).0.server.data_centre.to_string();
    (0..60).map(place).collect()
}

#[tokio::test]
async fn relay_keeps_requests_in_its_region() {
    for each in [4, 40] {
        let relay = relay_of_two_regions().await;
        relay.list_as(servers(&["here", "near", "far"], each));
        let went = destinations(&relay);
        assert!(!went.contains(&"far".to_owned()), "{went:?}");
    }
}

#[tokio::test]
async fn relay_sends_to_another_region_what_finds_no_place_in_its_own() {
    for each in [4, 40] {
        let relay = relay_of_two_regions().await;
        relay.list_as(servers(&["here", "near", "far"], each));
        let full = occupy_slots(&relay, &["here", "near"]);
        assert!(destinations(&relay).iter().all(|name| name == "far"));
        drop(full);
        assert!(!destinations(&relay).contains(&"far".to_owned()));
    }
}

#[tokio::test]
async fn region_without_servers_is_served_by_others() {
    for each in [4, 80] {
        let relay = relay_of_two_regions().await;
        relay.list_as(servers(&["far"], each));
        assert!(destinations(&relay).iter().all(|name| name == "far"));
    }
}

/// A shared prefix is copied only within a region, from its home server there.
#[tokio::test]
async fn shared_part_has_a_home_in_each_region() {
    let relay = relay_of_two_regions().await;
    relay.list_as(servers(&["here", "near", "far"], 40));
    let mut homes = 0;
    for part in 0..200 {
        let (known, copies) = choose_server(&relay, Some(part));
        assert_ne!(known.server.data_centre.as_str(), "far");
        homes += usize::from(!copies);
    }
    assert!(homes > 100, "{homes} of 200 went to the home of their prefix");
}

#[tokio::test]
async fn run_is_moved_inside_its_region_while_there_is_a_place() {
    let relay = relay_of_two_regions().await;
    relay.list_as(servers(&["here", "near", "far"], 4));
    let all = relay.relay.servers.for_service(&"svc".parse().unwrap());
    let attempts = CallAttempts::new("svc".parse().unwrap());
    let from = |name: &str| {
        let source = all.iter().find(|it| it.server.data_centre.as_str() == name).unwrap();
        attempts.move_target(&relay.relay, source).unwrap().server.data_centre.to_string()
    };
    assert_eq!(from("here"), "near");
    assert_eq!(from("far"), "far");
    let _full = occupy_slots(&relay, &["here", "near"]);
    assert_eq!(from("here"), "far");
}

/// Where a region has few servers, the prefix has one home over all regions: with one per region,
/// each server that comes or goes would move the home of many prefixes.
#[tokio::test]
async fn shared_part_has_one_home_where_there_are_few_servers() {
    let relay = relay_of_two_regions().await;
    relay.list_as(servers(&["here", "near", "far"], 4));
    for part in 0..20 {
        let homes: BTreeSet<_> = (0..10)
            .map(|_| choose_server(&relay, Some(part)))
            .filter(|(_, copies)| !copies)
            .map(|(known, _)| known.server.id.clone())
            .collect();
        assert!(homes.len() <= 1, "{homes:?}");
    }
}
