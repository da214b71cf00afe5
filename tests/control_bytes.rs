//! The sizes of heartbeats and their replies by field, bounds on these sizes, and round trips of packed messages.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use emberturn::decide::allowance::{Grant, TeamDemand};
use emberturn::decide::capacity::OfferedLoad;
use emberturn::decide::engine::EngineModel;
use emberturn::decide::intervals::HEARTBEAT_INTERVAL;
use emberturn::decide::loads::LoadSample;
use emberturn::decide::origin_shares::SharedOrigins;
use emberturn::decide::origins::{OriginReport, StreamKey, StreamOrigin};
use emberturn::decide::quarantine::{QuarantineReport, QuarantineUpdate, QuarantinedSuspect};
use emberturn::decide::releases::ReleaseUpdate;
use emberturn::decide::throttle::{LimitLease, LimitNotice, LimitReport, Throttles};
use emberturn::ids::{
    BackendId, BoxId, Fingerprint, Incarnation, Revision, ServerKey, ServiceName, Suspect, Term,
    Version, Window,
};
use emberturn::peer::method::{
    BoxHeartbeat, Call, HeartbeatReply, LeaderClock, ModelsUpdate, Poll, PollReply, ThrottleReply,
    ThrottleRequest, Update,
};
use emberturn::peer::packed::Packed;
use emberturn::relay::list::{
    ContentHash, ListIndex, ListPart, ListVersion, ListedServer, PartId, Server,
};
use emberturn::relay::part_loads::{IndexedLoad, PartLoads, to_load_samples, to_part_loads};
use emberturn::units::{Millis, RequestRate};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// The incarnation that all servers report.
const INCARNATION: Incarnation = Incarnation(1_764_720_000_123);

/// The properties of a fleet that determine the size of its messages.
struct Fleet {
    servers: u64,
    /// Teams that send requests to a box.
    teams: u64,
    /// Parts of the list that a box has.
    parts: u64,
    /// Loads that servers reported to a box since its last heartbeat.
    sampled_loads: u64,
}

/// A fleet of 70 boxes with 16 teams, and one of 300 boxes.
const FLEETS: [(&str, Fleet); 2] = [
    ("70 boxes, 60 servers", Fleet { servers: 60, teams: 8, parts: 14, sampled_loads: 6 }),
    ("300 boxes, 3,000 servers", Fleet { servers: 3_000, teams: 5, parts: 30, sampled_loads: 3 }),
];

/// Bytes per second of control traffic that a box's link has room for beside the callers' traffic.
const MAX_BYTES_PER_SECOND: usize = 29_000;

/// Heartbeats per second if a team runs out of tokens now and then.
const HEARTBEATS_PER_SECOND: usize = 5;

/// A number with as many digits as a computed one.
fn random_value(seed: u64) -> f64 {
    let hash = seed.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (hash >> 11) as f64 / (1_u64 << 40) as f64
}

fn server(seed: u64) -> BackendId {
    format!("i-{:08x}", seed.wrapping_mul(0x9e37_79b1) & 0xffff_ffff).parse().unwrap()
}

fn services() -> impl Iterator<Item = ServiceName> {
    ["huvo11a", "lohu930"].into_iter().map(|name| name.parse().unwrap())
}

fn by_team<T>(fleet: &Fleet, of: impl Fn(u64) -> T) -> BTreeMap<emberturn::ids::TeamName, T> {
    (0..fleet.teams).map(|team| (format!("hule{team:03}").parse().unwrap(), of(team))).collect()
}

fn load_samples(fleet: &Fleet, count: u64) -> Vec<LoadSample> {
    let load = |number: u64| LoadSample {
        server: server(number % fleet.servers),
        incarnation: INCARNATION,
        requests: (number % 12) as u32,
        age: Millis(number * 37 % 4_000),
    };
    (0..count).map(load).collect()
}

/// At least `count` loads, grouped by the parts of the servers.
fn part_loads(fleet: &Fleet, count: u64) -> Vec<PartLoads> {
    let load = |number: u64| IndexedLoad {
        index: number as u32,
        requests: (number % 12) as u32,
        age: Millis(number * 37 % 4_000),
    };
    let size = fleet.servers.min(13 * fleet.parts) / fleet.parts;
    let part = |part: u64| PartLoads {
        part: ContentHash(0x9e37_79b9_7f4a_7c15 ^ part),
        loads: (0..size).map(load).collect(),
    };
    (0..count.div_ceil(size)).map(part).collect()
}

fn models() -> BTreeMap<ServiceName, EngineModel> {
    let model = |seed| EngineModel {
        rate: random_value(seed),
        base: random_value(seed + 1),
        prompt: random_value(seed + 2),
        wait: random_value(seed + 3),
        late: random_value(seed + 4),
        pace: random_value(seed + 5),
        events: random_value(seed + 6),
        weight: 256.0,
    };
    services().zip([1, 20]).map(|(service, seed)| (service, model(seed))).collect()
}

fn heartbeat(fleet: &Fleet) -> BoxHeartbeat {
    let offered = |seed| OfferedLoad {
        prompt_tokens: random_value(seed),
        peak: random_value(seed + 1),
        requests: random_value(seed + 2),
        squared_prompt_tokens: random_value(seed + 3),
        objective_seconds: random_value(seed + 4),
        output_tokens: random_value(seed + 5),
    };
    let demand = |seed| TeamDemand {
        total: random_value(seed),
        refused: 0.0,
        wanted: 0.0,
        demand_rate: random_value(seed + 50),
        leased_rate: random_value(seed + 51),
        remaining: random_value(seed + 52),
    };
    let windows =
        (0..3).map(|window| (Window(353_000_000 + window), by_team(fleet, |team| team + 9)));
    BoxHeartbeat {
        box_id: "10.1.0.35".parse().unwrap(),
        data_centre: Some("egs-hall".parse().unwrap()),
        incarnation: Incarnation(1_764_720_000_000),
        index_hash: Some(ContentHash(0x9e37_79b9_7f4a_7c15)),
        revision: Revision(3),
        document: Version(7),
        is_full: false,
        usage: windows.collect(),
        offered: services().zip([70, 90]).map(|(name, seed)| (name, offered(seed))).collect(),
        engines: None,
        samples: BTreeMap::new(),
        models_hash: Some(ContentHash(0x9e37_79b9_7f4a_7c15)),
        demand: by_team(fleet, demand),
        shared: BTreeSet::new(),
        streams: Vec::new(),
        trials: BTreeMap::new(),
        loads: load_samples(fleet, fleet.sampled_loads),
        incarnations: Vec::new(),
        quarantine: QuarantineReport::default(),
        seq: 4_000,
        base_seq: 3_999,
        relays: Some(300),
    }
}

fn reply(fleet: &Fleet) -> HeartbeatReply {
    let grant =
        |seed| Grant { amount: random_value(seed), rate: random_value(seed + 9), wait: 0.0 };
    let release = || ReleaseUpdate {
        in_force: Some("v1".parse().unwrap()),
        is_sole: true,
        ..ReleaseUpdate::default()
    };
    HeartbeatReply {
        list: None,
        document: Version(7),
        age: Some(40),
        grants: by_team(fleet, grant),
        engines: None,
        needs_full: false,
        releases: Some(services().map(|name| (name, release())).collect()),
        loads: part_loads(fleet, 48),
        quarantine: None,
        settled: Window(353_000_000),
        relays: 300,
        interval: emberturn::units::Millis(400),
        data_centre: None,
    }
}

fn index(fleet: &Fleet) -> ListIndex {
    let part = |index: u64| {
        let id = PartId {
            service: "huvo11a".parse().unwrap(),
            data_centre: format!("gauteng-{}", index % 4).parse().unwrap(),
            prefix_bits: 6,
            prefix: index,
        };
        (id, ContentHash(index.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
    };
    ListIndex::new(
        ListVersion { term: Term(4), sequence: 12 },
        (0..fleet.parts).map(part).collect(),
    )
}

fn part(name: &str, count: u64) -> ListPart {
    let listed = |number: u64| Server {
        id: server(number),
        service: "svc".parse().unwrap(),
        addr: "10.1.2.3:8080".parse().unwrap(),
        data_centre: name.parse().unwrap(),
        release: "v1".parse().unwrap(),
        slots: 12,
        leaving: number == 1,
        leaves_in: (number == 1).then_some(Millis(3_000)),
        spot: number == 2,
    };
    let servers: Vec<_> = (0..count)
        .map(|number| ListedServer { server: listed(number), incarnation: INCARNATION })
        .collect();
    let id = format!("svc/{name}/0/0").parse().unwrap();
    ListPart::new(id, ContentHash::of(&servers), &servers, Millis(0))
}

fn json(message: &impl Serialize) -> usize {
    serde_json::to_vec(message).unwrap().len()
}

fn packed(message: &impl Serialize) -> usize {
    json(&Packed(message))
}

/// The size of the JSON-RPC call that sends the message.
fn call(message: impl Serialize) -> usize {
    let secret = "0123456789abcdef0123456789abcdef".to_owned();
    let call = Call { secret, body: message };
    let frame = serde_json::json!({
        "jsonrpc": "2.0", "id": 4_000, "method": "relay_beat", "params": [call],
    });
    json(&frame)
}

/// A poll for the configuration and the reply to it when nothing has changed.
fn poll() -> (Poll, PollReply) {
    let request = Poll { from: Revision(3), document: Version(7), wait: 400, unsure: false };
    let reply = PollReply {
        age: Some(40),
        work: false,
        news: Update::Changes(Vec::new()),
        document: Version(7),
        members: (10..15).map(|index| format!("10.1.0.{index}").parse().unwrap()).collect(),
        data_centre: Some("gauteng-a".parse().unwrap()),
    };
    (request, reply)
}

fn print_fields(name: &str, message: &impl Serialize) {
    let Value::Object(fields) = serde_json::to_value(message).unwrap() else {
        unreachable!("a message is an object")
    };
    for (field, value) in fields {
        println!("{name}.{field}: {} as JSON", field.len() + 4 + json(&value));
    }
    println!("{name}: {} as JSON, {} packed", json(message), packed(message));
}

fn round_trip<T: Serialize + DeserializeOwned>(message: T) -> T {
    let text = serde_json::to_string(&Packed(message)).unwrap();
    serde_json::from_str::<Packed<T>>(&text).unwrap().0
}

#[test]
fn heartbeats_and_replies_use_less_than_half_of_the_control_bandwidth() {
    for (title, fleet) in FLEETS {
        println!("--- {title}");
        print_fields("heartbeat", &heartbeat(&fleet));
        print_fields("reply", &reply(&fleet));
        print_fields("reply.list", &index(&fleet));
        println!("frame of a heartbeat: {}", call(()) - 4);
        let bytes = call(Packed(heartbeat(&fleet))) + call(Packed(reply(&fleet)));
        println!("heartbeat and reply, with their frames: {bytes}");
        let (request, poll_reply) = poll();
        println!("poll and reply, with their frames: {}", call(request) + call(poll_reply));
        assert!(bytes * HEARTBEATS_PER_SECOND < MAX_BYTES_PER_SECOND / 2, "{title}: {bytes} bytes");
    }
}

#[test]
fn packed_heartbeats_and_replies_survive_a_round_trip() {
    let (_, fleet) = &FLEETS[0];
    let update = ModelsUpdate { hash: ContentHash(7), models: models() };
    let list = Some(Arc::new(index(fleet)));
    let sent = HeartbeatReply { list, engines: Some(update), ..reply(fleet) };
    let received = round_trip(sent.clone());
    assert_eq!(serde_json::to_value(&received).unwrap(), serde_json::to_value(&sent).unwrap());
    let sent = BoxHeartbeat { engines: Some(models()), ..heartbeat(fleet) };
    let received = round_trip(sent.clone());
    assert_eq!(serde_json::to_value(&received).unwrap(), serde_json::to_value(&sent).unwrap());
}

#[test]
fn packed_message_of_another_type_or_encoding_is_refused() {
    let name: BoxId = "10.1.0.35".parse().unwrap();
    let text = serde_json::to_string(&Packed(name)).unwrap();
    assert!(serde_json::from_str::<Packed<BoxHeartbeat>>(&text).is_err());
    assert!(serde_json::from_str::<Packed<BoxHeartbeat>>("\"?\"").is_err());
}

/// A list part keeps all its fields, both of servers that are leaving or on spot capacity and of others.
#[test]
fn packed_list_part_survives_a_round_trip() {
    let sent = part("a", 3);
    let received = round_trip(sent.clone());
    assert_eq!(received, sent);
}

/// Bytes of a longer type that are read as a shorter one are refused, and so is another layout.
#[test]
fn packed_bytes_of_another_type_are_refused() {
    let sent = serde_json::to_string(&Packed((7_u32, 9_u32))).unwrap();
    assert!(serde_json::from_str::<Packed<u32>>(&sent).is_err(), "bytes are left");
    let plain = serde_json::to_string("AAcJ").unwrap();
    assert!(serde_json::from_str::<Packed<(u32, u32)>>(&plain).is_err(), "another layout");
    assert_eq!(serde_json::from_str::<Packed<(u32, u32)>>(&sent).unwrap().0, (7, 9));
}

/// Loads are sent with the server's index in its list part. A box that has the part finds the server by it; a box
/// without the part skips the loads.
#[test]
fn loads_by_index_resolve_to_the_servers() {
    let ids: Vec<_> = (0..9).map(server).collect();
    let parts: Vec<(ContentHash, Vec<&BackendId>)> = (0..3)
        .map(|part| (ContentHash(part), ids[3 * part as usize..][..3].iter().collect()))
        .collect();
    // Sampled from the eighth server on, wrapping around; nothing is known of the second one's load.
    let sampled: Vec<_> = [7, 8, 0, 2, 3]
        .map(|index| LoadSample {
            server: server(index),
            incarnation: INCARNATION,
            requests: 4,
            age: Millis(index),
        })
        .into();
    let sent = to_part_loads(&sampled, &parts);
    let find = |part_hash: ContentHash, index: usize| {
        let id = parts[part_hash.0 as usize].1.get(index).copied().cloned()?;
        Some(ServerKey { id, life: INCARNATION })
    };
    assert_eq!(to_load_samples(&sent, find), sampled);
    let find_without_first = |part_hash: ContentHash, index| {
        find(part_hash, index).filter(|_| part_hash != ContentHash(0))
    };
    let known: Vec<_> = sampled.iter().filter(|load| load.age.0 >= 3).cloned().collect();
    assert_eq!(to_load_samples(&sent, find_without_first), known);
}

/// While no request is quarantined, a heartbeat carries only the version of the last update, and a reply says that
/// there is none. An update of three requests stays small too.
#[test]
fn quarantine_adds_few_bytes_to_heartbeats_and_replies() {
    let fleet = &FLEETS[0].1;
    let quarantine = QuarantineReport { known_version: u64::MAX, ..QuarantineReport::default() };
    let heartbeat_bytes =
        packed(&BoxHeartbeat { quarantine, ..heartbeat(fleet) }) - packed(&heartbeat(fleet));
    assert!(heartbeat_bytes <= 12, "{heartbeat_bytes} bytes");
    let quarantined = |number: u8| QuarantinedSuspect {
        suspect: Suspect::Request(Fingerprint([number; 16])),
        remaining: Millis(24 * 3_600_000),
    };
    let update = QuarantineUpdate {
        version: u64::MAX,
        suspects: (0..3).map(quarantined).collect(),
        watched: Vec::new(),
    };
    let with_update = packed(&HeartbeatReply { quarantine: Some(update), ..reply(fleet) });
    let reply_bytes = with_update - packed(&reply(fleet));
    println!(
        "{heartbeat_bytes} bytes of a heartbeat, {reply_bytes} of a reply with three requests"
    );
    assert!(reply_bytes <= 200, "{reply_bytes} bytes");
}

/// While several releases of a service serve, the leader passes the origin of each stream on to each other replica.
#[test]
fn origin_that_is_passed_on_takes_less_than_a_hundred_bytes() {
    let report = |number: u32| OriginReport {
        key: StreamKey::new(Some(&"team-0001".parse().unwrap()), &format!("request-{number}")),
        origin: StreamOrigin {
            service: services().next().unwrap(),
            release: "2026-12-04".parse().unwrap(),
        },
        left: Millis(24_000),
    };
    let shared = |count: u32| packed(&SharedOrigins { streams: (0..count).map(report).collect() });
    let bytes = (shared(1_000) - shared(0)) / 1_000;
    println!("{bytes} bytes a stream");
    assert!(bytes < 100, "{bytes} bytes");
}

/// A request and a reply about as many limited servers as one report may have, sent at the shortest interval of
/// heartbeats, use less than half of the bandwidth for control traffic.
#[test]
fn limit_reports_use_less_than_half_of_the_control_bandwidth() {
    let (mut throttles, now) = (Throttles::default(), Instant::now());
    let service = services().next().unwrap();
    let limited = LimitNotice::Limited(RequestRate(1.2));
    for index in 0..500 {
        let server = ServerKey { id: server(index), life: INCARNATION };
        throttles.record_notice(&server, &service, limited, now);
    }
    let limits = throttles.report(now);
    let lease = |report: &LimitReport| LimitLease {
        server: report.server.clone(),
        limit: report.limit,
        age: Millis(3_999),
        share: random_value(1),
    };
    let leases: Vec<_> = limits.iter().map(lease).collect();
    let clock = LeaderClock { term: Term(12), at: Millis(123_456_789) };
    let box_id: BoxId = "10.128.0.9".parse().unwrap();
    let request = ThrottleRequest {
        version: 1,
        box_id,
        incarnation: INCARNATION,
        seq: 9,
        clock: Some(clock),
        limits,
    };
    let reply = ThrottleReply { version: 1, clock, leases };
    let bytes = call(&request) + json(&reply);
    let bytes_per_second = bytes as f64 / HEARTBEAT_INTERVAL.as_secs_f64();
    assert!(
        bytes_per_second < MAX_BYTES_PER_SECOND as f64 / 2.0,
        "{bytes} bytes a call, {bytes_per_second:.0} a second"
    );
}
