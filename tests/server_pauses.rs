//! A backend server that turns requests away and asks a box for a pause.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;

use platform::{Act, StandIn, TestRelay};

/// Requests of one box that may reach a server in a pause that it asked for.
const ALLOWED: usize = 2;

/// A pause that outlasts each test, in seconds.
const LONG: &str = "600";

#[tokio::test]
async fn server_that_asked_for_a_pause_gets_nothing_until_its_end() {
    let resting = StandIn::start("i-resting", &[Act::Pause(LONG)]).await;
    let other = StandIn::start("i-other", &[Act::Answer]).await;
    let relay = TestRelay::start(&[&resting, &other]).await;
    let mut replies = Vec::new();
    for _ in 0..40 {
        replies.push(relay.ask("POST", "safe").await);
    }
    // The first one asked for the pause.
    let reached = resting.seen().len().saturating_sub(1);
    assert!(reached <= ALLOWED, "{reached} requests in the pause, {ALLOWED} allowed");
    assert!(replies.iter().all(|reply| reply.status == 200), "{replies:?}");
}
