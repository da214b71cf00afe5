//! Reports the limits that backend servers named, and leases shares of them: a small call of its own beside the
//! heartbeats, made only while a box knows a limit.
//!
//! Who decides: the leader ([`crate::decide::limit_leases`]). A lost call or reply leaves the box with its leases until
//! they end; the leader counts them for as long. Fields that a side does not know are skipped, and those that it lacks
//! have defaults, so that boxes and replicas of neighbouring releases understand each other.

use std::sync::Arc;
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

/// The version of the messages here. It changes with the meaning of a field, not with new fields.
const VERSION: u32 = 1;

/// How long the leader may take, with the search for it.
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// Least time between two calls, also when a limit is new.
const LEAST_TIME: Duration = Duration::from_millis(60);

/// What a box knows of limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ThrottleRequest {
    /// The version of this message.
    #[serde(default)]
    pub version: u32,
    /// The box.
    pub box_id: BoxId,
    /// The life of its process.
    pub life: Incarnation,
    /// Which of the requests of this life this is.
    pub turn: u64,
    /// The leader's clock at the moment of the request, where the box knows it.
    #[serde(default)]
    pub clock: Option<LeaderClock>,
    /// The limits that servers named to it.
    #[serde(default)]
    pub limits: Vec<LimitReport>,
}

/// A moment by the clock of the leader of one term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderClock {
    /// The term.
    pub term: Term,
    /// The time since the leader of that term began.
    pub at: Millis,
}

/// What the leader leases.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ThrottleReply {
    /// The version of this message.
    #[serde(default)]
    pub version: u32,
    /// The leader's clock at the moment of the reply.
    pub clock: LeaderClock,
    /// The shares of the limits that the box reported.
    #[serde(default)]
    pub leases: Vec<LimitLease>,
}

/// A box's side of the calls.
struct Reporter {
    relay: Arc<Relay>,
    access: Access,
    box_id: BoxId,
    life: Incarnation,
    turn: u64,
    /// The leader's clock by its last reply, and when that came.
    clock: Option<(LeaderClock, Instant)>,
}

/// Reports until the task is dropped; waits while no limit is known.
pub(crate) async fn run(relay: Arc<Relay>, access: Access, box_id: BoxId, life: Incarnation) {
    let mut reporter =
        Reporter { relay: relay.clone(), access, box_id, life, turn: 0, clock: None };
    loop {
        if relay.throttles().is_empty() {
            relay.limit_changed.notified().await;
        }
        reporter.exchange().await;
        tokio::time::sleep(LEAST_TIME).await;
        let pause = relay.heartbeat_interval().saturating_sub(LEAST_TIME);
        let _ = tokio::time::timeout(pause, relay.limit_changed.notified()).await;
    }
}

impl Reporter {
    async fn exchange(&mut self) {
        let sent = clock::now();
        let Some(request) = self.request(sent) else {
            return;
        };
        match self.access.throttle(&request, ANSWER_TIME).await {
            Ok(reply) => {
                let now = clock::now();
                self.clock = Some((reply.clock, now));
                self.relay.throttles().apply_leases(&reply.leases, sent, now);
            }
            Err(error) => tracing::debug!(event = "throttle_unanswered", %error, turn = self.turn),
        }
    }

    /// The next request; `None` where there is nothing to report.
    fn request(&mut self, now: Instant) -> Option<ThrottleRequest> {
        let limits = {
            let mut throttles = self.relay.throttles();
            throttles.retain(|id| self.relay.servers.find(id).is_some(), now);
            throttles.report(now)
        };
        if limits.is_empty() {
            return None;
        }
        self.turn += 1;
        let clock = self.clock.map(|(LeaderClock { term, at }, came)| LeaderClock {
            term,
            at: Millis::from(at.duration() + now.saturating_duration_since(came)),
        });
        let (box_id, life, turn) = (self.box_id.clone(), self.life, self.turn);
        Some(ThrottleRequest { version: VERSION, box_id, life, turn, clock, limits })
    }
}

/// Answers a box, if this process leads.
pub(crate) async fn answer(
    node: Arc<Node>,
    request: ThrottleRequest,
) -> Result<ThrottleReply, Unanswered> {
    let term = node.leading_term().await.ok_or(Unanswered::NotLeader(None))?;
    let now = clock::now();
    let (at, leases) = node.with_lead(term, |lead: &mut LeaderState| {
        let ThrottleRequest { box_id, life, turn, clock, limits, .. } = &request;
        let dated = clock.filter(|clock| clock.term == term);
        let sent = dated.map(|clock| lead.started_at + clock.at.duration());
        let origin = ReportOrigin { box_id, incarnation: *life, seq: *turn, sent_at: sent };
        let at = Millis::from(now.saturating_duration_since(lead.started_at));
        (at, lead.lease_limits(origin, limits, now))
    });
    Ok(ThrottleReply { version: VERSION, clock: LeaderClock { term, at }, leases })
}
