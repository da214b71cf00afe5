//! Tests of a backend server that announces in its answers that it is shutting down.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;

use emberturn::units::UnixMillis;
use platform::{Act, StandIn, Tells, TestRelay};

/// Starts a relay with a server that announces its shutdown in its first answer, although its
/// reports and the list do not mention it, and a second server.
async fn start_relay() -> (TestRelay, StandIn, StandIn) {
    let addr = "127.0.0.1:0".parse().unwrap();
    let leaving =
        StandIn::start_at("i-leaving", addr, Tells::Life(5), &[Act::Leaving, Act::Answer]).await;
    let other = StandIn::start("i-other", &[Act::Answer]).await;
    let relay = TestRelay::start(&[&leaving]).await;
    assert_eq!(relay.ask("POST", "safe").await.status, 200);
    (relay, leaving, other)
}

async fn assert_unused(relay: &TestRelay, leaving: &StandIn) {
    for _ in 0..20 {
        let reply = relay.ask("POST", "safe").await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    assert_eq!(leaving.seen().len(), 1, "requests after it announced its shutdown");
}

#[tokio::test]
async fn server_that_says_it_leaves_gets_nothing_more() {
    let (relay, leaving, other) = start_relay().await;
    relay.list(&[&leaving, &other]);
    assert_unused(&relay, &leaving).await;
}

#[tokio::test]
async fn report_that_says_less_does_not_bring_a_leaving_server_back() {
    let (relay, mut leaving, other) = start_relay().await;
    relay.list(&[&leaving, &other]);
    relay.relay.servers.mark_suspect(&relay.known("i-leaving"));
    leaving.wait_reports(1).await;
    relay.wait_life("i-leaving", 5).await;
    assert_unused(&relay, &leaving).await;
}

#[tokio::test]
async fn leaving_server_stays_left_over_a_list_without_it() {
    let (relay, leaving, other) = start_relay().await;
    relay.list(&[&other]);
    relay.list(&[&leaving, &other]);
    assert_unused(&relay, &leaving).await;
}

/// A later incarnation under the same id receives requests again.
#[tokio::test]
async fn server_that_has_started_again_takes_work() {
    let (relay, leaving, _) = start_relay().await;
    // An incarnation that began after the box first saw the server is a new one.
    let later = UnixMillis::now().0 + 60_000;
    relay.tell_life(&leaving, later);
    relay.list(&[&leaving]);
    relay.wait_life("i-leaving", later).await;
    assert_eq!(relay.ask("POST", "safe").await.status, 200);
    assert_eq!(leaving.seen().len(), 2);
}
