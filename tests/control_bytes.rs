//! What a box's word to the leader and the answer to it weigh, by field, and that they stay small.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use emberturn::decide::allowance::{Grant, TeamDemand};
use emberturn::decide::capacity::OfferedLoad;
use emberturn::decide::engine::EngineModel;
use emberturn::decide::intervals::HEARTBEAT_INTERVAL;
use emberturn::decide::loads::LoadSample;
use emberturn::decide::quarantine::{QuarantineReport, QuarantineUpdate, QuarantinedRequest};
use emberturn::decide::releases::ReleaseUpdate;
use emberturn::decide::throttle::{LimitLease, LimitNotice, LimitReport, Throttles};
use emberturn::ids::{
    BackendId, BoxId, Fingerprint, Incarnation, Revision, ServerKey, ServiceName, Term, Version,
    Window,
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

/// The life that all servers tell.
const LIFE: Incarnation = Incarnation(1_764_720_000_123);

/// What a fleet is like, as far as it tells in the words.
struct Fleet {
    servers: u64,
    /// Teams that come to a box.
    teams: u64,
    /// Parts of the list that a box has.
    parts: u64,
    /// Loads that a box was told since its last word.
    told: u64,
}

/// 70 boxes of 16 teams, and 300.
const FLEETS: [(&str, Fleet); 2] = [
    ("70 boxes, 60 servers", Fleet { servers: 60, teams: 8, parts: 14, told: 6 }),
    ("300 boxes, 3,000 servers", Fleet { servers: 3_000, teams: 5, parts: 30, told: 3 }),
];

/// Bytes a second of control that a box's link bears beside its callers.
const LIMIT: usize = 29_000;

/// Words a second, where a team runs out now and then.
const WORDS: usize = 5;

/// A number with as many digits as one that was worked out.
fn drawn(seed: u64) -> f64 {
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

fn loads(fleet: &Fleet, count: u64) -> Vec<LoadSample> {
    let load = |place: u64| LoadSample {
        server: server(place % fleet.servers),
        incarnation: LIFE,
        requests: (place % 12) as u32,
        age: Millis(place * 37 % 4_000),
    };
    (0..count).map(load).collect()
}

/// Loads of servers of as many parts as they lie in.
fn part_loads(fleet: &Fleet, count: u64) -> Vec<PartLoads> {
    let load = |place: u64| IndexedLoad {
        index: place as u32,
        requests: (place % 12) as u32,
        age: Millis(place * 37 % 4_000),
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
        rate: drawn(seed),
        base: drawn(seed + 1),
        prompt: drawn(seed + 2),
        wait: drawn(seed + 3),
        late: drawn(seed + 4),
        pace: drawn(seed + 5),
        events: drawn(seed + 6),
        weight: 256.0,
    };
    services().zip([1, 20]).map(|(service, seed)| (service, model(seed))).collect()
}

fn beat(fleet: &Fleet) -> BoxHeartbeat {
    let offered = |seed| OfferedLoad {
        prompt_tokens: drawn(seed),
        peak: drawn(seed + 1),
        requests: drawn(seed + 2),
        squared_prompt_tokens: drawn(seed + 3),
        objective_seconds: drawn(seed + 4),
        output_tokens: drawn(seed + 5),
    };
    let demand = |seed| TeamDemand {
        total: drawn(seed),
        refused: 0.0,
        wanted: 0.0,
        demand_rate: drawn(seed + 50),
        leased_rate: drawn(seed + 51),
        remaining: drawn(seed + 52),
    };
    let windows =
        (0..3).map(|window| (Window(353_000_000 + window), by_team(fleet, |team| team + 9)));
    BoxHeartbeat {
        box_id: "10.1.0.35".parse().unwrap(),
        data_centre: Some("egs-hall".parse().unwrap()),
        life: Incarnation(1_764_720_000_000),
        list: Some(ContentHash(0x9e37_79b9_7f4a_7c15)),
        revision: Revision(3),
        document: Version(7),
        whole: false,
        usage: windows.collect(),
        offered: services().zip([70, 90]).map(|(name, seed)| (name, offered(seed))).collect(),
        engines: None,
        samples: BTreeMap::new(),
        models: Some(ContentHash(0x9e37_79b9_7f4a_7c15)),
        demand: by_team(fleet, demand),
        trials: BTreeMap::new(),
        loads: loads(fleet, fleet.told),
        lives: Vec::new(),
        quarantine: QuarantineReport::default(),
        turn: 4_000,
        after: 3_999,
        relays: Some(300),
    }
}

fn reply(fleet: &Fleet) -> HeartbeatReply {
    let allowed = |seed| Grant { amount: drawn(seed), rate: drawn(seed + 9), wait: 0.0 };
    let word = || ReleaseUpdate { in_force: Some("v1".parse().unwrap()), trial: None };
    HeartbeatReply {
        list: None,
        document: Version(7),
        age: Some(40),
        allowed: by_team(fleet, allowed),
        engines: None,
        lacks: false,
        releases: Some(services().map(|name| (name, word())).collect()),
        loads: part_loads(fleet, 48),
        quarantine: None,
        settled: Window(353_000_000),
        relays: 300,
        interval: emberturn::units::Millis(400),
        data_centre: None,
    }
}

fn index(fleet: &Fleet) -> ListIndex {
    let part = |place: u64| {
        let id = PartId {
            service: "huvo11a".parse().unwrap(),
            data_centre: format!("gauteng-{}", place % 4).parse().unwrap(),
            prefix_bits: 6,
            prefix: place,
        };
        (id, ContentHash(place.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
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
        .map(|number| ListedServer { server: listed(number), incarnation: LIFE })
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

/// The whole call with the message, as it is sent.
fn call(message: impl Serialize) -> usize {
    let secret = "0123456789abcdef0123456789abcdef".to_owned();
    let call = Call { secret, body: message };
    let frame = serde_json::json!({
        "jsonrpc": "2.0", "id": 4_000, "method": "relay_beat", "params": [call],
    });
    json(&frame)
}

/// What a box is told of the configuration when nothing is new, with the question.
fn poll() -> (Poll, PollReply) {
    let asked = Poll { from: Revision(3), document: Version(7), wait: 400, unsure: false };
    let told = PollReply {
        age: Some(40),
        work: false,
        news: Update::Changes(Vec::new()),
        document: Version(7),
        members: (10..15).map(|place| format!("10.1.0.{place}").parse().unwrap()).collect(),
        data_centre: Some("gauteng-a".parse().unwrap()),
    };
    (asked, told)
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

fn there_and_back<T: Serialize + DeserializeOwned>(message: T) -> T {
    let text = serde_json::to_string(&Packed(message)).unwrap();
    serde_json::from_str::<Packed<T>>(&text).unwrap().0
}

#[test]
fn usual_words_leave_most_of_a_box_s_link_to_callers() {
    for (title, fleet) in FLEETS {
        println!("--- {title}");
        print_fields("beat", &beat(&fleet));
        print_fields("reply", &reply(&fleet));
        print_fields("reply.list", &index(&fleet));
        println!("frame of a beat: {}", call(()) - 4);
        let whole = call(Packed(beat(&fleet))) + call(Packed(reply(&fleet)));
        println!("both, with their frames: {whole}");
        let (asked, told) = poll();
        println!("poll and answer, with their frames: {}", call(asked) + call(told));
        assert!(whole * WORDS < LIMIT / 2, "{title}: {whole} bytes");
    }
}

#[test]
fn packed_words_come_out_as_they_went_in() {
    let (_, fleet) = &FLEETS[0];
    let word = ModelsUpdate { print: ContentHash(7), models: models() };
    let list = Some(Arc::new(index(fleet)));
    let sent = HeartbeatReply { list, engines: Some(word), ..reply(fleet) };
    let came = there_and_back(sent.clone());
    assert_eq!(serde_json::to_value(&came).unwrap(), serde_json::to_value(&sent).unwrap());
    let sent = BoxHeartbeat { engines: Some(models()), ..beat(fleet) };
    let came = there_and_back(sent.clone());
    assert_eq!(serde_json::to_value(&came).unwrap(), serde_json::to_value(&sent).unwrap());
}

#[test]
fn word_that_is_not_packed_as_here_is_refused() {
    let name: BoxId = "10.1.0.35".parse().unwrap();
    let text = serde_json::to_string(&Packed(name)).unwrap();
    assert!(serde_json::from_str::<Packed<BoxHeartbeat>>(&text).is_err());
    assert!(serde_json::from_str::<Packed<BoxHeartbeat>>("\"?\"").is_err());
}

/// A part of the list goes out with all that it tells, also of servers that stay and of none that can be
/// reclaimed.
#[test]
fn packed_parts_come_out_as_they_went_in() {
    let sent = part("a", 3);
    let came = there_and_back(sent.clone());
    assert_eq!(came, sent);
}

/// Bytes of a longer type read as a shorter one, or of another release, are refused.
#[test]
fn packed_bytes_of_another_type_are_refused() {
    let sent = serde_json::to_string(&Packed((7_u32, 9_u32))).unwrap();
    assert!(serde_json::from_str::<Packed<u32>>(&sent).is_err(), "bytes are left");
    let plain = serde_json::to_string("AAcJ").unwrap();
    assert!(serde_json::from_str::<Packed<(u32, u32)>>(&plain).is_err(), "another layout");
    assert_eq!(serde_json::from_str::<Packed<(u32, u32)>>(&sent).unwrap().0, (7, 9));
}

/// Loads are told by place; whoever has the part has the servers, whoever does not passes them over.
#[test]
fn loads_by_place_are_those_of_the_servers() {
    let ids: Vec<_> = (0..9).map(server).collect();
    let parts: Vec<(ContentHash, Vec<&BackendId>)> = (0..3)
        .map(|part| (ContentHash(part), ids[3 * part as usize..][..3].iter().collect()))
        .collect();
    // Drawn from the eighth on and around, the second of all unheard of.
    let drawn: Vec<_> = [7, 8, 0, 2, 3]
        .map(|place| LoadSample {
            server: server(place),
            incarnation: LIFE,
            requests: 4,
            age: Millis(place),
        })
        .into();
    let sent = to_part_loads(&drawn, &parts);
    let find = |print: ContentHash, place: usize| {
        let id = parts[print.0 as usize].1.get(place).copied().cloned()?;
        Some(ServerKey { id, life: LIFE })
    };
    assert_eq!(to_load_samples(&sent, find), drawn);
    let lacking =
        |print: ContentHash, place| find(print, place).filter(|_| print != ContentHash(0));
    let known: Vec<_> = drawn.iter().filter(|load| load.age.0 >= 3).cloned().collect();
    assert_eq!(to_load_samples(&sent, lacking), known);
}

/// While nothing is held, a word carries the mark of the last answer, and an answer says that there is no news.
#[test]
fn held_requests_cost_nothing_to_speak_of_while_there_are_none() {
    let fleet = &FLEETS[0].1;
    let quarantine = QuarantineReport { known_version: u64::MAX, ..QuarantineReport::default() };
    let more = packed(&BoxHeartbeat { quarantine, ..beat(fleet) }) - packed(&beat(fleet));
    assert!(more <= 12, "{more} bytes");
    let held = |number: u8| QuarantinedRequest {
        request: Fingerprint([number; 16]),
        remaining: Millis(24 * 3_600_000),
    };
    let word = QuarantineUpdate { version: u64::MAX, requests: (0..3).map(held).collect() };
    let told = packed(&HeartbeatReply { quarantine: Some(word), ..reply(fleet) });
    let news = told - packed(&reply(fleet));
    println!("{more} bytes of each word, {news} of an answer that tells three");
    assert!(news <= 200, "{news} bytes");
}

/// Bytes of a request and a reply about as many limited servers as one report holds, sent at the fastest pace of
/// heartbeats: beside those they stay within what a box's link bears for control.
#[test]
fn limits_of_many_servers_leave_a_box_s_link_to_heartbeats_and_callers() {
    let (mut throttles, now) = (Throttles::default(), Instant::now());
    let service = services().next().unwrap();
    let limited = LimitNotice::Limited(RequestRate(1.2));
    for place in 0..500 {
        let server = ServerKey { id: server(place), life: LIFE };
        throttles.record_notice(&server, &service, limited, now);
    }
    let limits = throttles.report(now);
    let lease = |report: &LimitReport| LimitLease {
        server: report.server.clone(),
        limit: report.limit,
        age: Millis(3_999),
        share: drawn(1),
    };
    let leases: Vec<_> = limits.iter().map(lease).collect();
    let clock = LeaderClock { term: Term(12), at: Millis(123_456_789) };
    let box_id: BoxId = "10.128.0.9".parse().unwrap();
    let request =
        ThrottleRequest { version: 1, box_id, life: LIFE, turn: 9, clock: Some(clock), limits };
    let reply = ThrottleReply { version: 1, clock, leases };
    let bytes = call(&request) + json(&reply);
    let a_second = bytes as f64 / HEARTBEAT_INTERVAL.as_secs_f64();
    assert!(a_second < LIMIT as f64 / 2.0, "{bytes} bytes a call, {a_second:.0} a second");
}
