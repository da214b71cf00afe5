//! Demand for the teams that requests wait for: a small call of its own beside the heartbeats, sent at
//! once.
//!
//! Who decides: the leader, from the same token buckets that its replies to heartbeats lease from. A lost
//! call or reply leaves the box with what it had; the leader counts what it granted until the box's next
//! report of the team. Fields that a side does not know are skipped, and those that it lacks have
//! defaults, so that boxes and replicas of neighbouring releases understand each other.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::lead::{self, LeaderState};
use crate::clock;
use crate::decide::allowance::{DemandReport, Grant, TeamDemand};
use crate::group::access::Access;
use crate::group::driver::Unanswered;
use crate::ids::{BoxId, Incarnation, TeamName};
use crate::node::Node;
use crate::relay::Relay;

/// The version of the messages here. It changes with the meaning of a field, not with new fields.
pub const VERSION: u32 = 1;

/// How long the leader may take, with the search for it. Requests wait for a shorter time, and find what
/// a late reply brought with their retries.
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// A box's demand for some teams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandRequest {
    /// The version of this message.
    #[serde(default)]
    pub version: u32,
    /// The box.
    pub box_id: BoxId,
    /// The life of its process.
    pub life: Incarnation,
    /// Which of the reports of this life this is, heartbeats counted.
    pub turn: u64,
    /// Relays that share the limits, as a leader said last.
    #[serde(default)]
    pub relays: Option<u32>,
    /// The demand by team.
    #[serde(default)]
    pub teams: BTreeMap<TeamName, TeamDemand>,
}

/// What the leader grants.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandReply {
    /// The version of this message.
    #[serde(default)]
    pub version: u32,
    /// The grants by team.
    #[serde(default)]
    pub grants: BTreeMap<TeamName, Grant>,
}

/// Sends demands until the task is dropped.
pub(crate) async fn run(relay: Arc<Relay>, access: Access, box_id: BoxId, life: Incarnation) {
    loop {
        relay.demand_requested.notified().await;
        let report = relay.allowances().next_demand(clock::now());
        if let Some(report) = report {
            let (relay, access, box_id) = (relay.clone(), access.clone(), box_id.clone());
            tokio::spawn(send(relay, access, box_id, life, report));
        }
    }
}

async fn send(
    relay: Arc<Relay>,
    access: Access,
    box_id: BoxId,
    life: Incarnation,
    mut report: DemandReport,
) {
    let (turn, teams) = (report.seq, std::mem::take(&mut report.teams));
    let relays = relay.known_relay_count();
    let demand = DemandRequest { version: VERSION, box_id, life, turn, relays, teams };
    let answer = access.demand(&demand, ANSWER_TIME).await;
    relay.context.metrics.count_demand(if answer.is_ok() { "answered" } else { "unanswered" });
    match answer {
        Ok(reply) => relay.allowances().apply_grants(&report, &reply.grants, clock::now()),
        Err(error) => {
            tracing::debug!(event = "demand_unanswered", %error, turn);
            relay.allowances().clear_pending(&report);
        }
    }
    relay.leader_replied.notify_waiters();
    // Requests that came meanwhile, or found more demands waiting than may.
    relay.demand_requested.notify_one();
}

/// Answers a box's demand, if this process leads.
pub(crate) async fn answer(
    node: Arc<Node>,
    demand: DemandRequest,
) -> Result<DemandReply, Unanswered> {
    let term = node.leading_term().await.ok_or(Unanswered::NotLeader(None))?;
    let tolerance = lead::tolerance(&node);
    let (grants, notes) = node.with_lead(term, |lead: &mut LeaderState| {
        let DemandRequest { box_id, life, turn, teams, relays, .. } = &demand;
        lead.record_relay_count(box_id, *life, *relays);
        let grants = lead.grant(box_id, *life, *turn, teams, tolerance);
        (grants, lead.has_pending_notes())
    });
    if notes {
        node.lacking.notify_one();
    }
    Ok(DemandReply { version: VERSION, grants })
}
