//! Reports the request limits that backend servers set, and leases shares of them: a small call beside the heartbeats,
//! made only while a box knows a limit.
//!
//! The leader divides each limit ([`crate::decide::limit_leases`]). After a lost call or reply the box keeps its leases
//! until they end, and the leader counts them for as long. Unknown fields are ignored and missing ones have defaults,
//! so that boxes and replicas of neighbouring releases understand each other.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::lead::LeaderState;
use crate::clock;
use crate::decide::limit_leases::ReportOrigin;
use crate::decide::throttle::{LimitLease, LimitReport};
use crate::group::access::Access;
use crate::group::driver::Unanswered;
use crate::ids::{BoxId, Incarnation, Term};
use crate::node::Node;
use crate::relay::Relay;
use crate::units::Millis;

/// The version of this module's messages. It changes when a field changes its meaning, not with new fields.
const VERSION: u32 = 1;

/// Timeout for the call, including the search for the leader.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// Minimum time between two calls, also when a limit has just been set.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(60);

/// A box's report of the limits that it knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ThrottleRequest {
    /// The version of this message.
    #[serde(default)]
    pub version: u32,
    /// The box that sends it.
    pub box_id: BoxId,
    /// The incarnation of the box's process.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The sequence number of this request in the incarnation.
    #[serde(rename = "turn")]
    pub seq: u64,
    /// The leader's clock when the request was sent, if the box knows it.
    #[serde(default)]
    pub clock: Option<LeaderClock>,
    /// The limits that servers set for the box.
    #[serde(default)]
    pub limits: Vec<LimitReport>,
}

/// A point in time by the clock of the leader of one term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderClock {
    /// The leader's term.
    pub term: Term,
    /// The time since the leader started its term.
    pub at: Millis,
}

/// The leader's reply to a [`ThrottleRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ThrottleReply {
    /// The version of this message.
    #[serde(default)]
    pub version: u32,
    /// The leader's clock when the reply was made.
    pub clock: LeaderClock,
    /// The box's shares of the limits that it reported.
    #[serde(default)]
    pub leases: Vec<LimitLease>,
}

/// The state that a box keeps between its calls.
struct Reporter {
    relay: Arc<Relay>,
    access: Access,
    box_id: BoxId,
    incarnation: Incarnation,
    /// The leader's clock in its last reply, and when that arrived.
    clock: Option<(LeaderClock, Instant)>,
}

/// Reports limits until the task is dropped; makes no calls while no limit is known.
pub(crate) async fn run(
    relay: Arc<Relay>,
    access: Access,
    box_id: BoxId,
    incarnation: Incarnation,
) {
    let mut reporter = Reporter { relay: relay.clone(), access, box_id, incarnation, clock: None };
    loop {
        if relay.throttles().is_empty() {
            relay.limit_changed.notified().await;
        }
        reporter.exchange().await;
        tokio::time::sleep(MIN_CALL_INTERVAL).await;
        let pause = relay.heartbeat_interval().saturating_sub(MIN_CALL_INTERVAL);
        let _ = tokio::time::timeout(pause, relay.limit_changed.notified()).await;
    }
}

impl Reporter {
    /// Reports the known limits, if any, and applies the leases of the reply.
    async fn exchange(&mut self) {
        let sent = clock::now();
        let Some(request) = self.request(sent) else {
            return;
        };
        match self.access.throttle(&request, REPLY_TIMEOUT).await {
            Ok(reply) => {
                let now = clock::now();
                self.clock = Some((reply.clock, now));
                self.relay.throttles().apply_leases(&reply.leases, sent, now);
            }
            Err(error) => {
                tracing::debug!(event = "throttle_unanswered", %error, turn = request.seq)
            }
        }
    }

    /// The next request; `None` if there is nothing to report.
    fn request(&mut self, now: Instant) -> Option<ThrottleRequest> {
        let limits = {
            let mut throttles = self.relay.throttles();
            throttles.retain(|id| self.relay.servers.find(id).is_some(), now);
            throttles.report(now)
        };
        if limits.is_empty() {
            return None;
        }
        // Kept with the relay: the leader passes over a lower number of the same incarnation.
        let seq = self.relay.limit_report.fetch_add(1, Ordering::Relaxed) + 1;
        let clock = self.clock.map(|(LeaderClock { term, at }, received_at)| LeaderClock {
            term,
            at: Millis::from(at.duration() + now.saturating_duration_since(received_at)),
        });
        let (box_id, incarnation) = (self.box_id.clone(), self.incarnation);
        Some(ThrottleRequest { version: VERSION, box_id, incarnation, seq, clock, limits })
    }
}

/// Answers a box's report, if this process leads.
pub(crate) async fn answer(
    node: Arc<Node>,
    request: ThrottleRequest,
) -> Result<ThrottleReply, Unanswered> {
    let term = node.leading_term().await.ok_or(Unanswered::NotLeader(None))?;
    let now = clock::now();
    let (at, leases) = node.with_lead(term, |lead: &mut LeaderState| {
        let ThrottleRequest { box_id, incarnation, seq, clock, limits, .. } = &request;
        let own_clock = clock.filter(|clock| clock.term == term);
        let sent_at = own_clock.map(|clock| lead.started_at + clock.at.duration());
        let origin = ReportOrigin { box_id, incarnation: *incarnation, seq: *seq, sent_at };
        let at = Millis::from(now.saturating_duration_since(lead.started_at));
        (at, lead.lease_limits(origin, limits, now))
    });
    Ok(ThrottleReply { version: VERSION, clock: LeaderClock { term, at }, leases })
}
