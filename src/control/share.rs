//! Shares of the teams' limits: each node requests shares by its demand, and the leader leases them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::decide::admission::TeamUsage;
use crate::decide::share::{LEASE_MS, Share, Shares, even_share};
use crate::group::driver::Unanswered;
use crate::ids::{BoxId, TeamName};
use crate::node::Node;
use crate::state::config::{Configuration, Team};
use crate::units::Tokens;

/// Time between two requests to the leader.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Timeout for a request to the leader.
const REPLY_TIMEOUT: Duration = Duration::from_millis(800);

/// Concurrent requests that a refused request adds to the demand.
const REFUSED_CONCURRENCY: u32 = 2;

/// Tokens that a refused request adds to the demand.
const REFUSED_BUDGET: u64 = 4_096;

/// A node's demand beyond its even share.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ShareRequest {
    pub(crate) box_id: BoxId,
    pub(crate) wanted: BTreeMap<TeamName, Share>,
}

/// The leader's reply to a [`ShareRequest`].
pub(crate) type ShareReply = Result<BTreeMap<TeamName, Share>, Unanswered>;

/// Renews the node's shares until the task is dropped. The duration of a lease counts from before its request was
/// sent, by this node's clock, so that it ends here no later than at the leader.
pub(crate) async fn run(node: Arc<Node>) {
    let mut timer = tokio::time::interval(RENEWAL_INTERVAL);
    let mut lease_end = clock::now();
    loop {
        timer.tick().await;
        let configuration = node.board.in_force().configuration.clone();
        let request = ShareRequest {
            box_id: node.settings.node.box_id.clone(),
            wanted: wanted_shares(&configuration, &node.take_demand()),
        };
        if !should_request(&request, &node.board.shares.load()) {
            continue;
        }
        let sent_at = clock::now();
        match node.access.lease_shares(&request, REPLY_TIMEOUT).await {
            Ok(leased) => {
                node.board.shares.store(Arc::new(Shares { leased }));
                lease_end = sent_at + Duration::from_millis(LEASE_MS);
            }
            Err(_) if clock::now() >= lease_end => {
                node.board.shares.store(Arc::default());
            }
            Err(_) => {}
        }
    }
}

/// Whether to send the request: the node wants more than its even share, or holds leases to renew or to return.
fn should_request(request: &ShareRequest, shares: &Shares) -> bool {
    let wants = request.wanted.values().any(|share| *share != Share::default());
    wants || shares.leased.values().any(|share| *share != Share::default())
}

/// What the node wants of each team's limits beyond its even share: its usage with a quarter to spare, and the refused
/// requests.
fn wanted_shares(
    configuration: &Configuration,
    demand: &BTreeMap<TeamName, (TeamUsage, u32)>,
) -> BTreeMap<TeamName, Share> {
    let boxes = configuration.limits.entry_boxes;
    let of_team = |(name, (used, refused)): (&TeamName, &(TeamUsage, u32))| {
        let team = configuration.teams.get(name)?;
        let even = even_share(team_limits(team), boxes);
        let concurrent = used.concurrent + used.concurrent / 4 + refused * REFUSED_CONCURRENCY;
        let budget = used.budget.0 + used.budget.0 / 4 + u64::from(*refused) * REFUSED_BUDGET;
        let share = Share {
            concurrent: concurrent.saturating_sub(even.concurrent),
            budget: Tokens(budget).less(even.budget),
        };
        Some((name.clone(), share))
    };
    demand.iter().filter_map(of_team).collect()
}

/// A team's limits over all nodes.
pub(crate) fn team_limits(team: &Team) -> Share {
    Share { concurrent: team.concurrent, budget: team.budget }
}

/// Answers a node's request, if this process leads.
pub(crate) async fn lease(node: Arc<Node>, request: ShareRequest) -> Result<ShareReply, String> {
    let Some(term) = node.leading_term().await else {
        return Ok(Err(Unanswered::NotLeader(None)));
    };
    let configuration = node.board.in_force().configuration.clone();
    let mut leased = BTreeMap::new();
    node.with_lessor(term, |now, lessor| {
        for (name, wanted) in &request.wanted {
            if let Some(team) = configuration.teams.get(name) {
                let share = lessor.grant(now, &request.box_id, name, team_limits(team), *wanted);
                leased.insert(name.clone(), share);
            }
        }
    });
    Ok(Ok(leased))
}
