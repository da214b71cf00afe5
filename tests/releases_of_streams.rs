//! Tests that no stream holds events of servers of two releases.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;

use std::time::Duration;

use emberturn::relay::list::Server;
use platform::{Act, PATIENCE, Reply, StandIn, TestRelay, as_leaving, document, events, route};

/// How the platform lists a stand-in that runs a release.
fn listed_as(server: &StandIn, release: &str) -> Server {
    Server { release: release.parse().unwrap(), ..server.listed("svc") }
}

/// A relay that prefers the first server to all others, and sends a stream up to four times.
async fn relay_with(servers: &[(&StandIn, &str)]) -> TestRelay {
    let relay = TestRelay::empty().await;
    relay.publish(&document(
        1,
        &[route("resumable", "streaming", 4), route("stream", "streaming", 1)],
    ));
    relay.list_as(servers.iter().map(|(server, release)| listed_as(server, release)).collect());
    // A box that does not know how many others there are retries only once.
    relay.relay.set_relay_count(1);
    servers[1..].iter().for_each(|(server, _)| relay.set_aside(&server.id));
    relay
}

fn assert_broken_off(reply: &Reply, last: u64) {
    assert_eq!((reply.status, reply.body.as_str(), reply.whole), (200, &*events(last), false));
}

fn assert_complete(reply: &Reply, last: u64) {
    assert_eq!((reply.status, reply.body.as_str(), reply.whole), (200, &*events(last), true));
}

#[tokio::test]
async fn stream_is_not_resumed_at_another_release() {
    let first = StandIn::start("i-1", &[Act::CutAfter(3)]).await;
    let other = StandIn::start("i-2", &[Act::Events(6)]).await;
    let relay = relay_with(&[(&first, "v1"), (&other, "v2")]).await;
    assert_broken_off(&relay.ask("POST", "resumable").await, 3);
    assert!(other.seen().is_empty());
}

#[tokio::test]
async fn stream_is_resumed_at_its_own_release_beside_another() {
    let first = StandIn::start("i-1", &[Act::CutAfter(3)]).await;
    let same = StandIn::start("i-2", &[Act::Events(6)]).await;
    let others = [
        StandIn::start("i-3", &[Act::Events(6)]).await,
        StandIn::start("i-4", &[Act::Events(6)]).await,
        StandIn::start("i-5", &[Act::Events(6)]).await,
    ];
    let [a, b, c] = &others;
    let servers = [(&first, "v1"), (&same, "v1"), (a, "v2"), (b, "v2"), (c, "v2")];
    let relay = relay_with(&servers).await;
    assert_complete(&relay.ask("POST", "resumable").await, 6);
    assert_eq!(same.seen()[0].headers["last-event-id"], "3");
    assert!(others.iter().all(|other| other.seen().is_empty()));
}

/// The first server falls silent: a second server that breaks off would have the request quarantined.
#[tokio::test]
async fn stream_resumed_twice_keeps_the_release_that_began_it() {
    let first = StandIn::start("i-1", &[Act::PauseAfterFirst(6, PATIENCE)]).await;
    let second = StandIn::start("i-2", &[Act::CutAfter(4)]).await;
    let other = StandIn::start("i-3", &[Act::Events(6)]).await;
    let relay = relay_with(&[(&first, "v1"), (&second, "v1"), (&other, "v2")]).await;
    assert_broken_off(&relay.ask("POST", "resumable").await, 4);
    assert_eq!((first.seen().len(), second.seen().len(), other.seen().len()), (1, 1, 0));
}

/// A server of the release refuses, so that the choice is made once more.
#[tokio::test]
async fn stream_refused_by_its_own_release_is_not_resumed_at_another() {
    let first = StandIn::start("i-1", &[Act::CutAfter(2)]).await;
    let second = StandIn::start("i-2", &[Act::Refuse]).await;
    let other = StandIn::start("i-3", &[Act::Events(6)]).await;
    let relay = relay_with(&[(&first, "v1"), (&second, "v1"), (&other, "v2")]).await;
    assert_broken_off(&relay.ask("POST", "resumable").await, 2);
    assert_eq!((second.seen().len(), other.seen().len()), (1, 0));
}

#[tokio::test]
async fn stream_without_events_may_begin_at_another_release() {
    let first = StandIn::start("i-1", &[Act::Close]).await;
    let other = StandIn::start("i-2", &[Act::Events(6)]).await;
    let relay = relay_with(&[(&first, "v1"), (&other, "v2")]).await;
    assert_complete(&relay.ask("POST", "resumable").await, 6);
    assert_eq!((first.seen().len(), other.seen().len()), (1, 1));
}

/// The first server delivers nothing, so the second one begins the stream.
#[tokio::test]
async fn release_of_a_stream_is_that_of_its_first_event() {
    let first = StandIn::start("i-1", &[Act::Refuse]).await;
    let beginner = StandIn::start("i-2", &[Act::CutAfter(3)]).await;
    let other = StandIn::start("i-3", &[Act::Events(6)]).await;
    let relay = relay_with(&[(&first, "v1"), (&beginner, "v2"), (&other, "v1")]).await;
    relay.known("i-2").state.succeed(0.01);
    assert_broken_off(&relay.ask("POST", "resumable").await, 3);
    assert!(other.seen().is_empty());
}

/// Asks for a stream at a server that leaves as soon as it has the request, beside a server of a release.
async fn ask_while_leaving(act: Act, release: &str) -> (Reply, StandIn, StandIn) {
    let mut first = StandIn::start("i-1", &[act]).await;
    let second = StandIn::start("i-2", &[Act::Events(6)]).await;
    let relay = relay_with(&[(&first, "v1")]).await;
    let headers = "Api-Key: key-a\r\nToken-Usage: 1000,100000\r\n";
    let request = relay.ask_with("POST", "stream", headers);
    let leaving = async {
        first.wait_seen(1).await;
        relay.list_as(vec![as_leaving(listed_as(&first, "v1")), listed_as(&second, release)]);
    };
    let (reply, ()) = tokio::join!(request, leaving);
    (reply, first, second)
}

#[tokio::test]
async fn stream_is_moved_to_its_own_release() {
    let (reply, _, second) = ask_while_leaving(Act::UntilMoved(2), "v1").await;
    assert_complete(&reply, 6);
    assert_eq!(second.seen()[0].headers["last-event-id"], "2");
}

#[tokio::test]
async fn stream_without_a_target_of_its_release_finishes_where_it_is() {
    let pause = Duration::from_millis(500);
    let (reply, _, second) = ask_while_leaving(Act::PauseUnlessMoved(4, pause), "v2").await;
    assert_complete(&reply, 4);
    assert!(second.seen().is_empty());
}

/// Asks twice with a shared prompt prefix; the first server is overloaded by then. Returns from where the other one,
/// of a release, was told to copy the prefix.
async fn prefix_source_of(release: &str) -> (Option<String>, StandIn) {
    let first = StandIn::start("i-1", &[Act::Events(1)]).await;
    let second = StandIn::start("i-2", &[Act::Events(1)]).await;
    let relay = relay_with(&[(&first, "v1")]).await;
    let headers = "Api-Key: key-a\r\nToken-Usage: 5000,10\r\nPrompt-Prefix: aa:4000,bb:1000\r\n";
    assert_eq!(relay.ask_with("POST", "stream", headers).await.status, 200);
    relay.list_as(vec![listed_as(&first, "v1"), listed_as(&second, release)]);
    relay.known("i-1").state.report(50, 50, Duration::ZERO);
    assert_eq!(relay.ask_with("POST", "stream", headers).await.status, 200);
    (second.seen()[0].headers.get("kv-fetch").cloned(), first)
}

#[tokio::test]
async fn prefix_is_copied_within_a_release() {
    let (source, first) = prefix_source_of("v1").await;
    assert_eq!(source, Some(first.addr.to_string()));
}

#[tokio::test]
async fn prefix_is_not_copied_between_releases() {
    let (source, _first) = prefix_source_of("v2").await;
    assert_eq!(source, None);
}
