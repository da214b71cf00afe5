//! Backend servers that refuse requests and ask a box for a pause.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;

use std::time::{Duration, Instant};

use emberturn::decide::pause::Pauses;
use emberturn::ids::{Incarnation, ServerKey, ServiceName};
use platform::{Act, StandIn, TestRelay};
use yare::parameterized;

/// The requests of one box that may still reach a server during the pause that it asked for.
const PERMITTED: usize = 2;

/// A pause longer than any test, in seconds.
const LONG_PAUSE: &str = "600";

#[tokio::test]
async fn server_gets_no_requests_during_its_pause() {
    let resting = StandIn::start("i-resting", &[Act::Pause(LONG_PAUSE)]).await;
    let other = StandIn::start("i-other", &[Act::Answer]).await;
    let relay = TestRelay::start(&[&resting, &other]).await;
    let mut replies = Vec::new();
    for _ in 0..40 {
        replies.push(relay.ask("POST", "safe").await);
    }
    // The answer to the first request asked for the pause.
    let reached = resting.seen().len().saturating_sub(1);
    assert!(reached <= PERMITTED, "{reached} requests during the pause, {PERMITTED} permitted");
    assert!(replies.iter().all(|reply| reply.status == 200), "{replies:?}");
}

#[tokio::test]
async fn requests_are_refused_at_once_while_all_servers_pause() {
    let resting = StandIn::start("i-resting", &[Act::Pause(LONG_PAUSE)]).await;
    let relay = TestRelay::start(&[&resting]).await;
    for _ in 0..10 {
        let reply = relay.ask("POST", "safe").await;
        assert_eq!(reply.status, 503, "{reply:?}");
        assert!(reply.body.contains("not_run"), "{reply:?}");
        assert!(reply.headers["retry-after"].parse::<f64>().unwrap() > 0.0, "{reply:?}");
    }
    assert_eq!(resting.seen().len(), 1);
}

#[tokio::test]
async fn pause_is_kept_while_the_server_is_not_listed() {
    let resting = StandIn::start("i-resting", &[Act::Pause(LONG_PAUSE)]).await;
    let other = StandIn::start("i-other", &[Act::Answer]).await;
    let relay = TestRelay::start(&[&resting]).await;
    relay.ask("POST", "safe").await;
    relay.list(&[&other]);
    relay.list(&[&resting, &other]);
    for _ in 0..20 {
        assert_eq!(relay.ask("POST", "safe").await.status, 200);
    }
    assert_eq!(resting.seen().len(), 1);
}

/// A value that is not a number of seconds asks for no pause, and the server gets further requests.
#[parameterized(
    text = { "soon" },
    date = { "Thu, 03 Dec 2026 11:00:00 GMT" },
    negative = { "-3" },
    empty = { "" },
)]
fn pause_that_cannot_be_parsed_is_ignored(text: &'static str) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let resting = StandIn::start("i-resting", &[Act::Pause(text), Act::Answer]).await;
        let relay = TestRelay::start(&[&resting]).await;
        assert_eq!(relay.ask("POST", "safe").await.status, 503);
        assert_eq!(relay.ask("POST", "safe").await.status, 200);
    });
}

/// `asked`: pauses in seconds that a server asks for at the same moment, in this order. `left`: seconds until the
/// server gets requests again.
#[parameterized(
    one = { &[3.0], 3.0 },
    shorter = { &[3.0, 1.0], 3.0 },
    longer = { &[1.0, 3.0], 3.0 },
    none = { &[0.0], 0.0 },
    endless = { &[1e300], 3_600.0 },
)]
fn longest_pause_applies(asked: &[f64], left: f64) {
    let (mut pauses, now) = (Pauses::default(), Instant::now());
    let server = ServerKey { id: "i-1".parse().unwrap(), life: Incarnation(7) };
    let service: ServiceName = "svc".parse().unwrap();
    for seconds in asked {
        let pause = Duration::try_from_secs_f64(*seconds).unwrap_or(Duration::MAX);
        pauses.record(&server, &service, pause, now);
    }
    let wait = pauses.wait(&service, now).map_or(0.0, |wait| wait.as_secs_f64());
    assert_eq!(wait, left);
    let end = now + Duration::from_secs_f64(left);
    assert!(pauses.active(&service, end).is_empty());
}
