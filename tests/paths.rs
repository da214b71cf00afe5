//! Decision logic of lost paths: when a path counts as lost and as back, which box helps which.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use emberturn::backend::Reuse;
use emberturn::decide::completeness::Framing;
use emberturn::decide::paths::{Path, PathChange, Paths};
use emberturn::decide::proxies::{Proxy, ProxyPool};
use emberturn::decide::proxy_directory::{PROXIES_PER_BOX, ProxyDirectory, ProxyReport};
use emberturn::ids::{BackendId, BoxId, DataCentre, ServiceName};
use emberturn::relay::hop::{self, HopAction, HopFault, HopReply, HopRequest};
use hyper::HeaderMap;
use proptest::prelude::*;
use yare::parameterized;

fn service() -> ServiceName {
    "svc".parse().unwrap()
}

fn server(number: usize) -> BackendId {
    format!("i-{number}").parse().unwrap()
}

fn servers(count: usize) -> Vec<BackendId> {
    (0..count).map(server).collect()
}

/// What happens to the paths, one event a tenth of a second.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// Another box reaches a server that this one does not.
    Blocked(usize),
    /// A connection to a server opens.
    Open(usize),
    /// A probe of a server opens a connection, or does not.
    Probe(usize, bool),
}

fn play(listed: usize, events: &[Event]) -> Paths {
    let (mut paths, mut now) = (Paths::default(), Instant::now());
    for event in events {
        now += Duration::from_millis(100);
        match *event {
            Event::Blocked(it) => drop(paths.record_blocked(&service(), &server(it), listed, now)),
            Event::Open(it) => paths.record_open(&service(), &server(it), now),
            Event::Probe(it, opened) => {
                paths.record_probe(&service(), &server(it), opened, listed, now);
            }
        }
    }
    paths
}

use Event::{Blocked, Open, Probe};

#[parameterized(
    one_of_many = { 5, &[Blocked(0)], false },
    two_of_many = { 5, &[Blocked(0), Blocked(1)], true },
    the_same_one_twice = { 5, &[Blocked(0), Blocked(0)], false },
    the_only_one = { 1, &[Blocked(0)], true },
    a_connection_opens_in_between = { 5, &[Blocked(0), Open(2), Blocked(1)], false },
    two_behind_an_open_connection = { 5, &[Blocked(3), Open(2), Blocked(0), Blocked(1)], true },
    too_few_probes = { 5, &[Blocked(0), Blocked(1), Probe(2, true), Probe(3, true)], true },
    enough_probes = { 5, &[Blocked(0), Blocked(1), Probe(2, true), Probe(3, true), Probe(4, true)], false },
    probes_of_the_same_server = { 5, &[Blocked(0), Blocked(1), Probe(2, true), Probe(2, true), Probe(2, true)], true },
    a_probe_that_fails_in_between = { 5, &[Blocked(0), Blocked(1), Probe(2, true), Probe(3, false), Probe(4, true), Probe(0, true)], true },
    lost_again_at_once = { 5, &[Blocked(0), Blocked(1), Probe(2, true), Probe(3, true), Probe(4, true), Blocked(0), Blocked(1), Probe(2, true), Probe(3, true), Probe(4, true)], true },
)]
fn path_is_lost_only_while_other_boxes_reach_what_this_one_does_not(
    listed: usize,
    events: &[Event],
    lost: bool,
) {
    assert_eq!(play(listed, events).is_lost(&service()), lost);
}

#[test]
fn servers_that_probes_reach_are_used_while_the_path_to_others_is_lost() {
    let paths = play(9, &[Blocked(0), Blocked(1), Probe(2, true), Probe(3, false)]);
    let path = |number| paths.path(&service(), &server(number));
    assert_eq!([path(2), path(3), path(0)], [Path::Direct, Path::Proxied, Path::Proxied]);
}

#[test]
fn blocked_server_is_reached_through_another_box_until_a_connection_opens() {
    let mut paths = play(9, &[Blocked(0)]);
    assert_eq!(paths.path(&service(), &server(0)), Path::Proxied);
    assert_eq!(paths.path(&service(), &server(1)), Path::Direct);
    paths.record_probe(&service(), &server(0), true, 9, Instant::now());
    assert_eq!(paths.path(&service(), &server(0)), Path::Direct);
}

#[test]
fn lost_path_is_probed_by_few_connections() {
    let mut paths = play(100, &[Blocked(0), Blocked(1)]);
    let began = Instant::now() + Duration::from_secs(1);
    let mut probes = 0;
    for step in 0..1_000 {
        let now = began + Duration::from_millis(10 * step);
        for (service, server) in paths.due_probes(now, |_| servers(100), || 0.5) {
            probes += 1;
            paths.record_probe(&service, &server, false, 100, now);
        }
    }
    assert!((15..=30).contains(&probes), "{probes} in ten seconds");
}

#[test]
fn loss_and_return_are_told_once() {
    let (mut paths, now) = (Paths::default(), Instant::now());
    assert_eq!(paths.record_blocked(&service(), &server(0), 3, now), None);
    let lost = paths.record_blocked(&service(), &server(1), 3, now);
    assert_eq!(lost, Some(PathChange::Lost { blocked: 2 }));
    assert_eq!(paths.record_blocked(&service(), &server(2), 3, now), None);
    let later = now + Duration::from_secs(2);
    let probe = |paths: &mut Paths, it| paths.record_probe(&service(), &server(it), true, 3, later);
    assert_eq!([probe(&mut paths, 0), probe(&mut paths, 1)], [None, None]);
    let restored = PathChange::Restored { after: Duration::from_secs(2) };
    assert_eq!(probe(&mut paths, 2), Some(restored));
    assert_eq!(paths.next_probe(), None);
}

fn proxy(number: usize) -> Proxy {
    let addr = SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7_601));
    Proxy { box_id: format!("box-{number}").parse().unwrap(), addr }
}

#[test]
fn requests_go_to_the_proxy_with_the_fewest() {
    let mut pool = ProxyPool::default();
    pool.assign((0..4).map(proxy).collect());
    let now = Instant::now();
    let leases: Vec<_> = (0..8).map(|_| pool.claim(&[], now, || 0.5).unwrap()).collect();
    let mut counts: BTreeMap<&BoxId, usize> = BTreeMap::new();
    leases.iter().for_each(|lease| *counts.entry(&lease.proxy.box_id).or_default() += 1);
    assert!(counts.len() == 4 && counts.values().all(|count| *count == 2), "{counts:?}");
}

#[test]
fn resting_proxy_gets_no_requests_and_a_silent_leader_takes_none_away() {
    let mut pool = ProxyPool::default();
    pool.assign(vec![proxy(1), proxy(2)]);
    let now = Instant::now();
    pool.rest(&proxy(1).box_id, Duration::from_secs(1), now);
    pool.assign(Vec::new());
    let chosen = |pool: &ProxyPool, at| {
        let claims = (0..4).map(|_| pool.claim(&[], at, rand::random::<f64>).unwrap());
        claims.map(|lease| lease.proxy.box_id.clone()).collect::<BTreeSet<_>>()
    };
    assert_eq!(chosen(&pool, now), BTreeSet::from([proxy(2).box_id]));
    assert!(pool.claim(&[proxy(2).box_id], now, || 0.0).is_none());
    assert!(pool.claim(&[proxy(2).box_id], now + Duration::from_secs(1), || 0.0).is_some());
}

fn report(number: usize, zones: usize, takes: bool) -> ProxyReport {
    let Proxy { box_id, addr } = proxy(number);
    let data_centre: DataCentre = format!("dc-{}", number % zones).parse().unwrap();
    ProxyReport { box_id, data_centre, addr: takes.then_some(addr) }
}

/// A hash as even as that of box ids.
fn hash(number: usize) -> u64 {
    (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

proptest! {
    /// A box is never its own proxy, boxes without paths are nobody's, and each gets as many as there are.
    #[test]
    fn only_boxes_that_reach_the_servers_are_assigned(
        boxes in 1_usize..120,
        zones in 1_usize..5,
        cut_percent in 0_usize..100,
    ) {
        let (mut directory, now) = (ProxyDirectory::default(), Instant::now());
        let takes = |number: usize| (number * 37) % 100 >= cut_percent;
        for number in 0..boxes {
            directory.record(&report(number, zones, takes(number)), hash(number), now);
        }
        let able = (0..boxes).filter(|number| takes(*number)).count();
        for number in 0..boxes {
            let own = report(number, zones, takes(number));
            let assigned = directory.assign(&own, hash(number), &BTreeMap::new());
            let distinct: BTreeSet<_> = assigned.iter().map(|it| it.box_id.clone()).collect();
            prop_assert_eq!(distinct.len(), assigned.len());
            prop_assert!(!distinct.contains(&own.box_id));
            let others = able - usize::from(takes(number));
            prop_assert_eq!(assigned.len(), PROXIES_PER_BOX.min(others));
            for it in &assigned {
                let index: usize = it.box_id.as_str()[4..].parse().unwrap();
                prop_assert!(takes(index));
            }
        }
    }
}

#[test]
fn boxes_that_help_are_spread_when_45_of_80_lose_their_paths() {
    let (mut directory, now) = (ProxyDirectory::default(), Instant::now());
    let takes = |number: usize| number >= 45;
    for number in 0..80 {
        directory.record(&report(number, 4, takes(number)), hash(number), now);
    }
    let mut counts: BTreeMap<BoxId, usize> = BTreeMap::new();
    for number in 0..45 {
        for it in directory.assign(&report(number, 4, false), hash(number), &BTreeMap::new()) {
            *counts.entry(it.box_id).or_default() += 1;
        }
    }
    let even = 45 * PROXIES_PER_BOX / 35;
    let most = counts.values().max().unwrap();
    assert!(counts.len() > 30 && *most <= 4 * even, "{most} for one box of {}", counts.len());
}

#[test]
fn box_that_no_longer_reports_is_assigned_to_nobody() {
    let (mut directory, now) = (ProxyDirectory::default(), Instant::now());
    directory.record(&report(1, 1, true), hash(1), now);
    let later = now + Duration::from_secs(11);
    directory.record(&report(2, 1, true), hash(2), later);
    assert!(directory.assign(&report(2, 1, true), hash(2), &BTreeMap::new()).is_empty());
    assert_eq!(directory.len(), 1);
}

#[parameterized(
    any = { Reuse::Any },
    rested = { Reuse::Rested(Duration::from_millis(2_000)) },
    never = { Reuse::Never },
)]
fn what_a_box_asks_of_another_is_read_as_it_was_written(reuse: Reuse) {
    let time_left = Duration::from_millis(1_234);
    let asked = HopRequest { action: HopAction::Send, server: server(1), time_left, reuse };
    let mut headers = HeaderMap::new();
    headers.insert("request-id", "r-1".parse().unwrap());
    asked.write(&mut headers, "secret");
    assert_eq!(HopRequest::take(&mut headers.clone(), "other"), Err(HopFault::Unauthorized));
    assert_eq!(HopRequest::take(&mut headers, "secret"), Ok(asked));
    assert_eq!(headers.len(), 1, "{headers:?}");
}

/// The first line of an answer that a box forwards.
const FORWARDED: (&str, &str) = ("emberturn-hop-forwarded", "1");

#[parameterized(
    nothing = { &[], HopReply::Unknown },
    former_release = { &[("emberturn-hop-forwarded", "1")], HopReply::Forwarded(Framing::Close) },
    length = { &[FORWARDED, ("emberturn-hop-forwarded", "length")], HopReply::Forwarded(Framing::Length) },
    unknown_framing = { &[FORWARDED, ("emberturn-hop-forwarded", "datagram")], HopReply::Forwarded(Framing::Close) },
    framing_alone = { &[("emberturn-hop-forwarded", "chunked")], HopReply::Unknown },
    framing_before_version = { &[("emberturn-hop-forwarded", "chunked"), FORWARDED], HopReply::Unknown },
    of_a_later_release = { &[("emberturn-hop-forwarded", "2")], HopReply::Unknown },
    fault = { &[("emberturn-hop-fault", "not_sent")], HopReply::Failed(HopFault::NotSent) },
    unknown_fault = { &[("emberturn-hop-fault", "tired")], HopReply::Unknown },
    both = { &[("emberturn-hop-fault", "busy"), FORWARDED], HopReply::Unknown },
)]
fn answer_that_a_box_does_not_understand_proves_nothing(
    headers: &[(&'static str, &str)],
    wanted: HopReply,
) {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.append(*name, value.parse().unwrap());
    }
    assert_eq!(HopReply::take(&mut map), wanted);
    assert!(map.is_empty(), "{map:?}");
}

#[parameterized(length = { Framing::Length }, chunked = { Framing::Chunked }, close = { Framing::Close })]
fn framing_of_a_forwarded_answer_is_read_as_it_was_written(framing: Framing) {
    let mut headers = HeaderMap::new();
    HopReply::Forwarded(framing).write(&mut headers);
    assert_eq!(HopReply::take(&mut headers.clone()), HopReply::Forwarded(framing));
    // A box of the former release reads the first value, and forwards no header of another name.
    assert_eq!(headers.remove("emberturn-hop-forwarded").unwrap(), "1");
    assert!(headers.is_empty(), "{headers:?}");
}

#[test]
fn headers_of_this_kind_are_removed_from_the_answer_of_a_server() {
    let mut headers = HeaderMap::new();
    headers.append("emberturn-hop-forwarded", "1".parse().unwrap());
    headers.append("emberturn-hop-forwarded", "length".parse().unwrap());
    hop::strip(&mut headers);
    assert!(headers.is_empty(), "{headers:?}");
}
