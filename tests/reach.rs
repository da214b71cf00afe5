//! A box that loses its paths to backend servers which other boxes reach.

#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod fleet;
#[path = "support/link.rs"]
mod link;
#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;

use std::time::{Duration, Instant};

use emberturn::decide::proxies::Proxy;
use emberturn::decide::quarantine::{QuarantineReport, QuarantineUpdate, QuarantinedSuspect};
use emberturn::ids::Suspect;
use emberturn::relay::list::Server;
use emberturn::units::Millis;
use emberturn_fakes::proxy::{Fault, Proxy as FaultProxy};
use fleet::{Fleet, listed_behind, proxy};
use link::{Link, LinkFault};
use platform::{Act, StandIn, TestRelay, run, until};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use yare::parameterized;

/// Requests after a lost path is known, each of which is to be served.
const REQUESTS: usize = 10;

#[parameterized(
    hang_safe = { LinkFault::Hang, "safe" },
    hang_once = { LinkFault::Hang, "once" },
    hang_stream = { LinkFault::Hang, "stream" },
    reset_safe = { LinkFault::Reset, "safe" },
    reset_once = { LinkFault::Reset, "once" },
    reset_resumable = { LinkFault::Reset, "resumable" },
    refuse_safe = { LinkFault::Refuse, "safe" },
    refuse_once = { LinkFault::Refuse, "once" },
    live_safe = { LinkFault::Live, "safe" },
    live_once = { LinkFault::Live, "once" },
    live_stream = { LinkFault::Live, "stream" },
)]
fn box_without_paths_serves_every_request_through_another_box(
    fault: LinkFault,
    route: &'static str,
) {
    run(async move {
        let act = if route == "safe" || route == "once" { Act::Answer } else { Act::Events(5) };
        let mut fleet = Fleet::start(&[act]).await;
        for _ in 0..REQUESTS {
            assert_eq!(fleet.ask(route).await.status, 200);
        }
        if fault == LinkFault::Live {
            // Only further connections show that new ones fail.
            fleet.fail(fault).await;
            let asking = (0..8).map(|_| fleet.ask(route));
            futures_util::future::join_all(asking).await;
        } else {
            fleet.lose(fault).await;
        }
        let before = fleet.arrivals();
        for _ in 0..REQUESTS {
            let reply = fleet.ask(route).await;
            assert!(reply.status == 200 && reply.whole, "{reply:?}");
        }
        assert_eq!(fleet.arrivals(), before + REQUESTS, "each request runs once");
    });
}

#[parameterized(hang = { LinkFault::Hang }, reset = { LinkFault::Reset }, refuse = { LinkFault::Refuse })]
fn path_that_is_back_is_used_again(fault: LinkFault) {
    run(async move {
        let mut fleet = Fleet::start(&[Act::Answer]).await;
        fleet.lose(fault).await;
        fleet.heal().await;
        until("the path is back", || !fleet.is_lost()).await;
        fleet.other.close();
        for _ in 0..REQUESTS {
            assert_eq!(fleet.ask("once").await.status, 200);
        }
    });
}

#[tokio::test]
async fn box_without_paths_blames_no_server_and_no_request() {
    let mut fleet = Fleet::start(&[Act::Silent]).await;
    let cut = &fleet.cut;
    let arrivals = || fleet.servers.iter().map(|server| server.seen().len()).sum::<usize>();
    // One after the other, as the queue of a link's listener has one place: a connect that finds it full would go through
    // the other box.
    let waiting = futures_util::future::join_all((0..3).map(async |number| {
        until("the request before has arrived", || arrivals() >= number).await;
        cut.ask("POST", "once").await
    }));
    let cutting = async {
        until("all requests have arrived", || arrivals() == 3).await;
        for link in &mut fleet.links {
            link.fail(LinkFault::Reset).await;
        }
    };
    let (replies, ()) = tokio::join!(waiting, cutting);
    assert!(replies.iter().all(|reply| reply.status == 502), "{replies:?}");
    until("each broken exchange is followed up", || {
        fleet.servers.iter().filter(|server| !server.seen().is_empty()).all(|server| {
            let known = fleet.cut.known(&server.id);
            fleet.cut.relay.paths().path(&known.server.service, &known.server.id)
                == emberturn::decide::paths::Path::Proxied
        })
    })
    .await;
    let report = fleet.cut.relay.quarantine().report(Instant::now());
    assert!(report.crashes.is_empty(), "{report:?}");
}

#[tokio::test]
async fn server_that_no_box_reaches_has_ended() {
    let mut fleet = Fleet::start(&[Act::Answer]).await;
    fleet.other.ask("POST", "safe").await;
    let server = fleet.servers.remove(0);
    let id = server.id.clone();
    server.end().await;
    fleet.links[0].fail(LinkFault::Reset).await;
    for _ in 0..REQUESTS {
        assert_eq!(fleet.ask("safe").await.status, 200);
    }
    let path = fleet.cut.relay.paths().path(&"svc".parse().unwrap(), &id.parse().unwrap());
    assert_eq!(path, emberturn::decide::paths::Path::Direct);
}

#[tokio::test]
async fn caller_that_leaves_frees_the_server_behind_another_box() {
    let mut fleet = Fleet::start(&[Act::Answer]).await;
    fleet.lose(LinkFault::Reset).await;
    let mut silent = StandIn::start("i-4", &[Act::Silent]).await;
    fleet.other.list(&[&silent]);
    let link = Link::start(silent.addr).await;
    fleet.cut.list_as(listed_behind(std::slice::from_ref(&silent), std::slice::from_ref(&link)));
    let mut caller = TcpStream::connect(fleet.cut.addr).await.unwrap();
    let text = "POST /once/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r-9\r\nDeadline-Ms: 8000\r\n\
                Api-Key: key-a\r\nContent-Length: 0\r\n\r\n";
    caller.write_all(text.as_bytes()).await.unwrap();
    silent.wait_seen(1).await;
    drop(caller);
    silent.wait_gone(1).await;
}

/// The link between the two boxes breaks behind each number of bytes, in each direction.
#[parameterized(request = { Fault::CutRequest }, answer = { Fault::CutAnswer })]
fn unrepeatable_request_runs_at_most_once_wherever_the_link_between_boxes_breaks(
    fault: fn(u64) -> Fault,
) {
    run(async move {
        for bytes in (0..900).step_by(45) {
            let mut fleet = Fleet::start(&[Act::Answer]).await;
            fleet.lose(LinkFault::Reset).await;
            let between = FaultProxy::start(fleet.other.relay.forward_addr.get().copied()).await;
            let between = between.unwrap();
            between.set(fault(bytes));
            let (box_id, addr) = ("between".parse().unwrap(), between.addr);
            fleet.cut.relay.proxies().assign(vec![Proxy { box_id, addr }]);
            let before = fleet.arrivals();
            let reply = fleet.ask("once").await;
            let runs = fleet.arrivals() - before;
            let seen: Vec<_> = fleet.servers.iter().map(StandIn::seen).collect();
            assert!(runs <= 1, "{runs} runs, cut behind {bytes} bytes, {reply:?}, {seen:#?}");
            if matches!(reply.status, 408 | 421 | 429 | 503) {
                assert_eq!(runs, 0, "{reply:?}, cut behind {bytes} bytes");
            }
            if reply.status == 200 {
                assert!(reply.whole && reply.body == "answer", "{reply:?}");
            }
        }
    });
}

/// The link between the other box and the server breaks behind each number of bytes, in each direction.
#[parameterized(request = { Fault::CutRequest }, answer = { Fault::CutAnswer })]
fn unrepeatable_request_runs_at_most_once_wherever_the_other_boxs_link_breaks(
    fault: fn(u64) -> Fault,
) {
    run(async move {
        for bytes in (0..600).step_by(45) {
            let mut fleet = Fleet::start(&[Act::Answer]).await;
            fleet.lose(LinkFault::Refuse).await;
            let mut listed = Vec::new();
            for server in &fleet.servers {
                let link = FaultProxy::start(Some(server.addr)).await.unwrap();
                link.set(fault(bytes));
                listed.push(Server { addr: link.addr, ..server.listed("svc") });
            }
            fleet.other.list_as(listed);
            let before = fleet.arrivals();
            let reply = fleet.ask("once").await;
            let runs = fleet.arrivals() - before;
            let seen: Vec<_> = fleet.servers.iter().map(StandIn::seen).collect();
            assert!(runs <= 1, "{runs} runs, cut behind {bytes} bytes, {reply:?}, {seen:#?}");
            if matches!(reply.status, 408 | 421 | 429 | 503) {
                assert_eq!(runs, 0, "{reply:?}, cut behind {bytes} bytes");
            }
        }
    });
}

#[tokio::test]
async fn stream_that_breaks_behind_another_box_does_not_look_complete() {
    let mut fleet = Fleet::start(&[Act::Answer, Act::Answer]).await;
    fleet.lose(LinkFault::Reset).await;
    let cutting = StandIn::start("i-4", &[Act::CutAfter(3)]).await;
    fleet.other.list(&[&cutting]);
    let link = Link::start(cutting.addr).await;
    fleet.cut.list_as(listed_behind(std::slice::from_ref(&cutting), std::slice::from_ref(&link)));
    let reply = fleet.ask("stream").await;
    assert!(reply.status == 200 && !reply.whole, "{reply:?}");
}

#[tokio::test]
async fn box_that_stops_hands_over_to_a_third_one() {
    let mut fleet = Fleet::start(&[Act::Answer]).await;
    let third = TestRelay::start(&fleet.servers.iter().collect::<Vec<_>>()).await;
    fleet.lose(LinkFault::Reset).await;
    fleet.cut.relay.proxies().assign(vec![proxy(&fleet.other, "other"), proxy(&third, "third")]);
    fleet.other.close();
    for _ in 0..REQUESTS {
        assert_eq!(fleet.ask("once").await.status, 200);
    }
}

/// Guards against requests of other boxes that a stopping box forwards although they may outlast it.
#[parameterized(before = { 60, true }, behind = { 4, false })]
fn box_that_stops_forwards_only_what_ends_before_it_does(stop_s: u64, is_forwarded: bool) {
    run(async move {
        let mut fleet = Fleet::start(&[Act::Answer]).await;
        fleet.lose(LinkFault::Reset).await;
        // The deadline of each request is 8 s.
        fleet.other.relay.stopping.begin(Instant::now() + Duration::from_secs(stop_s));
        let before = fleet.arrivals();
        let reply = fleet.ask("once").await;
        assert_eq!(reply.status, if is_forwarded { 200 } else { 503 }, "{reply:?}");
        assert_eq!(fleet.arrivals() - before, usize::from(is_forwarded));
        assert_eq!(fleet.other.has_counted("busy"), !is_forwarded);
    });
}

#[tokio::test]
async fn request_that_no_box_takes_is_rejected_at_once_as_not_run() {
    let mut fleet = Fleet::start(&[Act::Answer]).await;
    fleet.lose(LinkFault::Hang).await;
    let before = fleet.arrivals();
    fleet.other.close();
    let reply = fleet.ask("once").await;
    assert_eq!(reply.status, 503, "{reply:?}");
    assert!(reply.body.contains("not_run"), "{reply:?}");
    assert!(reply.headers.contains_key("retry-after"), "{reply:?}");
    assert_eq!(fleet.arrivals(), before);
}

#[tokio::test]
async fn two_boxes_without_paths_do_not_hand_a_request_back_and_forth() {
    let mut fleet = Fleet::start(&[Act::Answer]).await;
    fleet.lose(LinkFault::Reset).await;
    fleet.other.list_as(listed_behind(&fleet.servers, &fleet.links));
    fleet.other.relay.proxies().assign(vec![proxy(&fleet.cut, "cut")]);
    let before = fleet.arrivals();
    let reply = fleet.ask("once").await;
    assert_eq!(reply.status, 503, "{reply:?}");
    assert_eq!(fleet.arrivals(), before);
}

#[tokio::test]
async fn box_of_another_release_is_not_taken_for_one_that_forwards() {
    let mut fleet = Fleet::start(&[Act::Answer]).await;
    fleet.lose(LinkFault::Reset).await;
    let before = fleet.arrivals();
    let stranger = StandIn::start("stranger", &[Act::Answer]).await;
    let proxy = Proxy { box_id: "stranger".parse().unwrap(), addr: stranger.addr };
    fleet.cut.relay.proxies().assign(vec![proxy]);
    let reply = fleet.ask("once").await;
    assert_eq!(reply.status, 502, "{reply:?}");
    assert_eq!((stranger.seen().len(), fleet.arrivals()), (1, before));
}

#[tokio::test]
async fn pause_that_a_server_asks_of_the_other_box_holds_for_both() {
    let mut fleet = Fleet::start(&[Act::Answer]).await;
    fleet.lose(LinkFault::Reset).await;
    let resting = StandIn::start("i-4", &[Act::Pause("600")]).await;
    fleet.other.list(&[&resting]);
    let link = Link::start(resting.addr).await;
    fleet.cut.list_as(listed_behind(std::slice::from_ref(&resting), std::slice::from_ref(&link)));
    assert_eq!(fleet.ask("safe").await.status, 503);
    assert_eq!(fleet.other.ask("POST", "safe").await.status, 503);
    assert_eq!(resting.seen().len(), 1);
}

#[tokio::test]
async fn server_that_says_to_the_other_box_that_it_leaves_gets_nothing_more_from_both() {
    let mut fleet = Fleet::start(&[Act::Answer]).await;
    fleet.lose(LinkFault::Reset).await;
    let leaving = StandIn::start("i-4", &[Act::Leaving]).await;
    fleet.other.list(&[&leaving]);
    let link = Link::start(leaving.addr).await;
    fleet.cut.list_as(listed_behind(std::slice::from_ref(&leaving), std::slice::from_ref(&link)));
    assert_eq!(fleet.ask("safe").await.status, 200);
    assert_eq!(fleet.ask("safe").await.status, 503);
    assert_eq!(fleet.other.ask("POST", "safe").await.status, 503);
    assert_eq!(leaving.seen().len(), 1);
}

/// The box without paths does not know of it.
#[tokio::test]
async fn segment_that_is_quarantined_at_the_other_box_reaches_no_server_through_it() {
    let mut fleet = Fleet::start(&[Act::Answer]).await;
    fleet.lose(LinkFault::Reset).await;
    let suspect = QuarantinedSuspect {
        suspect: Suspect::Segment("svc/bad".parse().unwrap()),
        remaining: Millis(600_000),
    };
    let update = QuarantineUpdate { version: 1, suspects: vec![suspect], watched: Vec::new() };
    let (report, now) = (QuarantineReport::default(), Instant::now());
    fleet.other.relay.quarantine().apply_reply(&report, Some(update), false, now);
    let before = fleet.arrivals();
    for (segment, status, arrivals) in [("bad", 503, 0), ("ab", 200, 1)] {
        fleet.refresh();
        let headers = format!("Api-Key: key-a\r\nPrompt-Prefix: c0:100,{segment}:50,1:10\r\n");
        let reply = fleet.cut.ask_with("POST", "once", &headers).await;
        assert_eq!((reply.status, fleet.arrivals() - before), (status, arrivals), "{reply:?}");
    }
}

#[tokio::test]
async fn revoked_key_and_reached_limit_hold_at_a_box_without_paths() {
    let mut fleet = Fleet::start(&[Act::Answer]).await;
    fleet.lose(LinkFault::Reset).await;
    let before = fleet.arrivals();
    fleet.cut.allow_only(0.0);
    assert_eq!(fleet.cut.ask("POST", "once").await.status, 429);
    let mut document = platform::document(2, &platform::usual_routes());
    document["tenants"][0]["api_keys"] = json!(["key-b"]);
    fleet.cut.publish(&document);
    assert_eq!(fleet.cut.ask("POST", "once").await.status, 401);
    assert_eq!(fleet.arrivals(), before);
}

#[tokio::test]
async fn request_through_another_box_is_charged_and_counted_once() {
    let mut fleet = Fleet::start(&[Act::Answer]).await;
    fleet.lose(LinkFault::Reset).await;
    let team = "team-a".parse().unwrap();
    let usage = |relay: &TestRelay| -> u64 {
        relay.relay.usage().counts().values().filter_map(|teams| teams.get(&team)).sum()
    };
    let (cut, other) = (usage(&fleet.cut), usage(&fleet.other));
    assert_eq!(fleet.ask("once").await.status, 200);
    assert_eq!((usage(&fleet.cut), usage(&fleet.other)), (cut + 1, other));
}
