//! Reports the demand of teams whose requests wait for tokens: a small call beside the heartbeats, sent at once.
//!
//! The leader grants tokens from the same token buckets as in its replies to heartbeats. After a lost call or reply the
//! box keeps what it had; the leader counts a grant as used until the box's next report of the team. Unknown fields are
//! ignored and missing ones have defaults, so that boxes and replicas of neighbouring releases understand each other.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::lead::{self, LeaderState};
use crate::clock;
use crate::decide::allowance::{DemandReport, Grant, TeamDemand};
use crate::group::access::Access;
use crate::group::driver::Unanswered;
use crate::ids::{BoxId, Incarnation, TeamName, Version};
use crate::node::Node;
use crate::relay::Relay;

/// The version of this module's messages. It changes when a field changes its meaning, not with new fields.
pub const VERSION: u32 = 1;

/// Timeout for the call, including the search for the leader. Requests wait for a shorter time; their retries use what
/// a late reply grants.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// A box's demand for some teams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandRequest {
    /// The version of this message.
    #[serde(default)]
    pub version: u32,
    /// The box that sends it.
    pub box_id: BoxId,
    /// The incarnation of the box's process.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The sequence number of this report in the incarnation, shared with the heartbeats.
    #[serde(rename = "turn")]
    pub seq: u64,
    /// The number of relays that share the limits, by the last reply of a leader.
    #[serde(default)]
    pub relays: Option<u32>,
    /// The demand by team.
    #[serde(default)]
    pub teams: BTreeMap<TeamName, TeamDemand>,
}

/// The leader's reply to a [`DemandRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandReply {
    /// The version of this message.
    #[serde(default)]
    pub version: u32,
    /// The grants by team.
    #[serde(default)]
    pub grants: BTreeMap<TeamName, Grant>,
    /// The version of the newest published document. Requests that a grant lets through must not use keys that it
    /// revokes.
    #[serde(default)]
    pub document: Option<Version>,
}

/// Sends the teams' demand whenever that is requested, until the task is dropped.
pub(crate) async fn run(
    relay: Arc<Relay>,
    access: Access,
    box_id: BoxId,
    incarnation: Incarnation,
) {
    loop {
        relay.demand_requested.notified().await;
        let report = relay.allowances().next_demand(clock::now());
        if let Some(report) = report {
            let (relay, access, box_id) = (relay.clone(), access.clone(), box_id.clone());
            tokio::spawn(send(relay, access, box_id, incarnation, report));
        }
    }
}

/// Sends one report and applies the grants.
async fn send(
    relay: Arc<Relay>,
    access: Access,
    box_id: BoxId,
    incarnation: Incarnation,
    mut report: DemandReport,
) {
    let (seq, teams) = (report.seq, std::mem::take(&mut report.teams));
    let relays = relay.known_relay_count();
    let demand = DemandRequest { version: VERSION, box_id, incarnation, seq, relays, teams };
    let answer = access.demand(&demand, REPLY_TIMEOUT).await;
    relay.context.metrics.count_demand(if answer.is_ok() { "answered" } else { "unanswered" });
    match answer {
        Ok(reply) => {
            // Before the grants, which let requests through.
            if let Some(version) = reply.document {
                relay.context.board.record_answer(version, access.leader(), report.sent_at, None);
            }
            relay.allowances().apply_grants(&report, &reply.grants, clock::now());
        }
        Err(error) => {
            tracing::debug!(event = "demand_unanswered", %error, turn = seq);
            relay.allowances().clear_pending(&report);
        }
    }
    relay.leader_replied.notify_waiters();
    // Other requests may wait: those that came meanwhile, and those beyond the limit of reports in flight.
    relay.demand_requested.notify_one();
}

/// Answers a box's demand, if this process leads.
pub(crate) async fn answer(
    node: Arc<Node>,
    demand: DemandRequest,
) -> Result<DemandReply, Unanswered> {
    let term = node.leading_term().await.ok_or(Unanswered::NotLeader(None))?;
    let document = Some(node.board.document().version);
    let tolerance = lead::tolerance(&node);
    let (grants, has_notes) = node.with_lead(term, |lead: &mut LeaderState| {
        let DemandRequest { box_id, incarnation, seq, teams, relays, .. } = &demand;
        lead.record_relay_count(box_id, *incarnation, *relays);
        let grants = lead.grant(box_id, *incarnation, *seq, teams, tolerance);
        (grants, lead.has_pending_notes())
    });
    if has_notes {
        node.lacking.notify_one();
    }
    Ok(DemandReply { version: VERSION, grants, document })
}
