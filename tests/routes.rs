//! The routing table: looking up routes, and every way in which a table can be invalid.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;

use emberturn::decide::choose::{BackendCandidate, choose, choose_weighted, expected_wait};
use emberturn::decide::distance::Distance;
use emberturn::decide::engine::EngineModel;
use emberturn::platform::document as wire;
use emberturn::relay::table::Repeat;
use platform::{document as base, route, usual_routes};
use serde_json::{Value, json};
use yare::parameterized;

fn with_prefix(name: &str, prefix: &str) -> Value {
    let mut value = route(name, "safe", 1);
    value["path_prefix"] = prefix.into();
    value
}

#[parameterized(
    longest = { "app.example", "/a/b/c", Some("long") },
    shorter = { "app.example", "/a/x", Some("short") },
    no_part_of_a_segment = { "app.example", "/a/bc", Some("short") },
    prefix_itself = { "app.example", "/a/b/", Some("long") },
    none = { "app.example", "/b/", None },
    case_of_host = { "APP.Example", "/a/", Some("short") },
    port_of_host = { "app.example:8080", "/a/", Some("short") },
    other_host = { "other.example", "/a/", None },
)]
fn longest_prefix_of_the_host_wins(host: &str, path: &str, found: Option<&str>) {
    let routes = [with_prefix("short", "/a/"), with_prefix("long", "/a/b/")];
    let table = wire::read(&base(1, &routes).to_string()).unwrap();
    assert_eq!(table.find(host, path).map(|route| route.name.as_str()), found);
}

fn broken(change: impl FnOnce(&mut Value)) -> Result<(), String> {
    let mut value = base(3, &usual_routes());
    change(&mut value);
    wire::read(&value.to_string()).map(drop)
}

#[test]
fn every_invalid_document_is_refused() {
    let team = json!({ "name": "team-b", "api_keys": ["key-a"] });
    let split = json!([{ "service": "svc", "weight": 0 }]);
    broken(|_| ()).unwrap();
    broken(|value| value["routes"][0]["service"] = "none".into()).unwrap_err();
    broken(|value| value["routes"][0]["timeout_ms"] = 0.into()).unwrap_err();
    broken(|value| value["routes"][0]["path_prefix"] = "/once/".into()).unwrap_err();
    broken(|value| value["routes"][0]["kind"] = "other".into()).unwrap_err();
    broken(|value| value["routes"][0]["service"] = Value::Null).unwrap_err();
    broken(|value| value["tenants"].as_array_mut().unwrap().push(team)).unwrap_err();
    broken(|value| {
        value["routes"][0]["service"] = Value::Null;
        value["routes"][0]["traffic_split"] = split;
    })
    .unwrap_err();
    broken(|value| drop(value.as_object_mut().unwrap().remove("limits"))).unwrap_err();
    let text = base(1, &usual_routes()).to_string();
    wire::read(&text[..text.len() / 2]).unwrap_err();
}

#[test]
fn kinds_say_what_may_be_repeated() {
    let table = wire::read(&base(1, &usual_routes()).to_string()).unwrap();
    let repeat = |name: &str| table.find("app.example", &format!("/{name}/x")).unwrap().repeat;
    assert_eq!(repeat("safe"), Repeat::Safe);
    assert_eq!(repeat("once"), Repeat::Once);
    assert_eq!(repeat("stream"), Repeat::Stream);
    assert_eq!(repeat("resumable"), Repeat::ResumableStream);
    assert!(!Repeat::Stream.is_repeatable() && Repeat::ResumableStream.is_repeatable());
}

#[parameterized(
    first = { &[90, 10], 0.0, Some(0) },
    last_of_first = { &[90, 10], 0.899, Some(0) },
    second = { &[90, 10], 0.9, Some(1) },
    none = { &[0, 0], 0.5, None },
    weightless_is_never_taken = { &[0, 5], 0.0, Some(1) },
    end_of_range = { &[5, 0], 1.0, Some(0) },
)]
fn split_follows_the_weights(weights: &[u32], random: f64, place: Option<usize>) {
    assert_eq!(choose_weighted(weights, random), place);
}

const MODEL: EngineModel = EngineModel {
    rate: 50_000.0,
    base: 0.02,
    prompt: 3_000.0,
    wait: 0.0,
    late: 0.0,
    pace: 0.0,
    events: 0.0,
    weight: 100.0,
};

const IDLE: BackendCandidate = BackendCandidate {
    requests: 0.0,
    slots: 8,
    residence_time: 0.0,
    queued_prompt_tokens: 0,
    uncached_prompt_tokens: 1_000,
    distance: Distance { rtt_ms: 0.0, byte_cost_ms: 0.0 },
    memory_full: false,
    ejected: false,
};

#[test]
fn the_server_expected_to_begin_first_is_chosen() {
    let worse = [
        BackendCandidate { requests: 9.0, ..IDLE },
        BackendCandidate { queued_prompt_tokens: 50_000, ..IDLE },
        BackendCandidate { uncached_prompt_tokens: 4_000, ..IDLE },
        BackendCandidate { ejected: true, ..IDLE },
    ];
    for other in worse {
        assert!(expected_wait(&MODEL, &other) > expected_wait(&MODEL, &IDLE), "{other:?}");
        assert_eq!(choose(&MODEL, &[other, IDLE], || 0.5), Some(1), "{other:?}");
    }
    assert_eq!(choose(&MODEL, &[], || 0.5), None);
    let ejected = BackendCandidate { ejected: true, ..IDLE };
    assert_eq!(choose(&MODEL, &[ejected], || 0.5), Some(0));
}
