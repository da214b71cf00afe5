//! A backend server that names the requests a second that it takes from all boxes together: real processes, five
//! replicas and three relays.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;
#[path = "support/system.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod system;

use std::time::Duration;

use platform::{Act, Reply, StandIn, document, usual_routes};
use system::System;

/// The boxes that callers ask.
const BOXES: [u8; 3] = [11, 12, 13];

/// The limit that a server names, in requests a second.
const LIMIT: f64 = 1.0;

/// The window in which arrivals are counted, in seconds.
const WINDOW: f64 = 4.0;

/// What the users allow in a window: one and a half times the limit, and five requests.
const ALLOWED: f64 = 1.5 * LIMIT * WINDOW + 5.0;

/// Starts the boxes with these servers.
async fn start(servers: &[&StandIn]) -> System {
    let system = System::start(BOXES.len() as u8).await;
    for server in servers {
        system.cloud.list(server, "svc");
    }
    system.publish(1, &document(1, &usual_routes())).await;
    for place in BOXES {
        system.wait_status(place, "safe", 200).await;
    }
    system
}

/// Asks the boxes in turn; the answers.
async fn ask(system: &System, count: usize) -> Vec<Reply> {
    let mut replies = Vec::new();
    for place in BOXES.iter().cycle().take(count) {
        replies.extend(system.ask(*place, "POST", "safe").await);
    }
    replies
}

/// The most requests that reached a server in one window.
fn most_in_window(server: &StandIn) -> usize {
    let arrived: Vec<_> = server.seen().iter().map(|seen| seen.at).collect();
    let window = Duration::from_secs_f64(WINDOW);
    let in_window = |from: &usize| {
        let behind = arrived[*from..].iter();
        behind.take_while(|at| **at < arrived[*from] + window).count()
    };
    (0..arrived.len()).map(|from| in_window(&from)).max().unwrap_or(0)
}

fn assert_kept(server: &StandIn) {
    let most = most_in_window(server);
    assert!(most as f64 <= ALLOWED, "{most} requests in {WINDOW} s for {ALLOWED} allowed");
}

#[tokio::test(flavor = "multi_thread")]
async fn boxes_together_send_a_server_no_more_than_it_names_and_others_take_the_work() {
    let limited = StandIn::start("i-limited", &[Act::Naming("1")]).await;
    let other = StandIn::start("i-other", &[Act::Answer]).await;
    let system = start(&[&limited, &other]).await;
    let replies = ask(&system, 300).await;
    assert!(replies.iter().all(|reply| reply.status == 200), "{replies:?}");
    assert!(!limited.seen().is_empty());
    assert_kept(&limited);
}

#[tokio::test(flavor = "multi_thread")]
async fn limit_is_kept_while_the_leader_is_killed_and_boxes_restart() {
    let limited = StandIn::start("i-limited", &[Act::Naming("1")]).await;
    let other = StandIn::start("i-other", &[Act::Answer]).await;
    let mut system = start(&[&limited, &other]).await;
    ask(&system, 60).await;
    let leader = system.leader().await;
    system.kill(leader).await;
    ask(&system, 60).await;
    system.kill(BOXES[0]).await;
    system.launch(BOXES[0], "relay").await;
    system.wait_status(BOXES[0], "safe", 200).await;
    let replies = ask(&system, 180).await;
    assert!(replies.iter().all(|reply| reply.status == 200), "{replies:?}");
    assert_kept(&limited);
}

#[tokio::test(flavor = "multi_thread")]
async fn what_no_server_takes_is_refused_as_not_run_and_the_limit_is_used() {
    let limited = StandIn::start("i-limited", &[Act::Naming("20")]).await;
    let system = start(&[&limited]).await;
    let is_refused = |reply: &&Reply| reply.status == 503;
    let refused = system
        .until("some are served and some refused", || async {
            let replies = ask(&system, 30).await;
            let refused = replies.iter().filter(is_refused).count();
            assert!(replies.iter().all(|it| [200, 503].contains(&it.status)), "{replies:?}");
            let all_wait = replies.iter().filter(is_refused).all(|reply| {
                let wait = reply.headers["retry-after"].parse::<f64>().unwrap();
                reply.body.contains("not_run") && wait > 0.0
            });
            assert!(all_wait, "{replies:?}");
            (limited.seen().len() > 20 && refused > 0).then_some(refused)
        })
        .await;
    assert!(refused > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn limit_ends_at_all_boxes_once_the_server_names_none() {
    let mut acts = vec![Act::Naming("5"); 8];
    acts.push(Act::Answer);
    let mut limited = StandIn::start("i-limited", &acts).await;
    let system = start(&[&limited]).await;
    for place in BOXES {
        system.wait_status(place, "safe", 200).await;
    }
    system
        .until("every box is served again", || async {
            let replies = ask(&system, 30).await;
            (replies.iter().all(|reply| reply.status == 200)).then_some(())
        })
        .await;
    limited.wait_seen(30).await;
}
