//! Stops a node without cutting a request off.
//!
//! 1. The node says that it is leaving and is not ready; the platform's balancer gets time to see
//!    that, and callers that still come are served.
//! 2. New requests are refused as not run; those under way finish. A replica's vote goes to a learner.
//! 3. What outlasts the drain time and came under a key is handed over to a peer.
//! 4. A planned stop waits for the rest to end. A relay has the platform's grace for it. A reclaimed box has no such
//!    time: step 3 begins as long before the end of its notice as the handing over may take.
//! 5. Requests that have no answer by the end of the grace or the notice are told that their outcome is unknown.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::hand_over;
use crate::blackboard::Phase;
use crate::node::Node;
use crate::settings::Role;

/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(10);

/// Time kept for handing over before a reclaimed box goes.
const HAND_OVER_TIME: Duration = Duration::from_millis(2_000);

/// Time for the platform's balancer to miss two answers, asking once a second, with a margin: callers
/// that come until then are served.
const UNREADY_TIME: Duration = Duration::from_millis(2_300);

/// Part of the platform's grace that is left when a relay ends.
const GRACE_MARGIN: Duration = Duration::from_millis(600);

/// Time for requests without an answer to be told so at the end of the grace.
const LAST_ANSWERS: Duration = Duration::from_millis(250);

/// Time for the last bytes to leave.
const LAST_BYTES: Duration = Duration::from_millis(50);

/// Drains the node.
pub(crate) async fn run(node: &Arc<Node>) {
    tracing::info!(event = "draining", requests = node.board.requests());
    let began = Instant::now();
    node.board.set_phase(Phase::Draining);
    node.say_leaving();
    let limits = Limits::of(node, began);
    node.stopping.begin(limits.end);
    if let Some(relay) = node.relay() {
        relay.stopping.begin(limits.end);
    }
    if node.settings.has(Role::Entry) || node.settings.has(Role::Relay) {
        tokio::time::sleep_until(limits.refuse.into()).await;
    }
    node.close_connections();
    tokio::join!(node.hand_over_vote(), wait_for_requests(node, limits.hand_over));
    hand_over_rest(node).await;
    wait_for_requests(node, limits.end).await;
    answer_rest(node).await;
    tokio::time::sleep(LAST_BYTES).await;
    tracing::info!(event = "drained", left = node.board.requests());
}

/// When each step ends.
struct Limits {
    refuse: Instant,
    hand_over: Instant,
    end: Instant,
}

impl Limits {
    fn of(node: &Node, began: Instant) -> Self {
        if let Some(relay) = &node.settings.relay {
            // The rest of the grace is for the last bytes and the way out.
            let end = began + relay.grace.duration().saturating_sub(GRACE_MARGIN);
            return Self { refuse: (began + UNREADY_TIME).min(end), hand_over: end, end };
        }
        let settings = &node.settings.entry;
        let refuse = began + settings.balancer_time.duration();
        let hand_over = refuse + settings.drain_time.duration();
        // No request outlives its deadline, so a planned stop ends.
        let end = hand_over + super::request::DEADLINE_LIMIT;
        match node.stop_by() {
            None => Self { refuse, hand_over, end },
            Some(gone) => {
                let last = gone.checked_sub(HAND_OVER_TIME).unwrap_or(began);
                let hand_over = hand_over.min(last).max(began);
                let end = gone.checked_sub(LAST_ANSWERS + LAST_BYTES).unwrap_or(began);
                Self { refuse: refuse.min(hand_over), hand_over, end: end.max(hand_over) }
            }
        }
    }
}

async fn wait_for_requests(node: &Node, until: Instant) {
    while node.board.requests() > 0 && Instant::now() < until {
        tokio::time::sleep(LOOK).await;
    }
}

/// Has requests that have no answer be told that their outcome is unknown.
async fn answer_rest(node: &Node) {
    tracing::info!(event = "stop_ended", requests = node.board.requests());
    node.stopping.end();
    if let Some(relay) = node.relay() {
        relay.stopping.end();
    }
    wait_for_requests(node, Instant::now() + LAST_ANSWERS).await;
}

async fn hand_over_rest(node: &Arc<Node>) {
    let open = node.open_generations();
    let handing = open.into_iter().map(|(team, key, generation)| {
        let node = node.clone();
        tokio::spawn(async move { hand_over::give(&node, &team, &key, &generation).await })
    });
    for task in handing.collect::<Vec<_>>() {
        let _ = task.await;
    }
}
