//! Shares of the teams' limits: each node asks the leader by its demand, the leader leases.

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

/// Time between two questions.
const ASK_TIME: Duration = Duration::from_millis(1_000);

/// How long the leader may take.
const ANSWER_TIME: Duration = Duration::from_millis(800);

/// What a refused request counts as, in requests wanted.
const REFUSED_WEIGHT: u32 = 2;

/// Tokens a refused request counts as.
const REFUSED_TOKENS: u64 = 4_096;

/// A node's demand beyond its even part.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ShareRequest {
    pub(crate) box_id: BoxId,
    pub(crate) wanted: BTreeMap<TeamName, Share>,
}

/// What the leader leases.
pub(crate) type ShareReply = Result<BTreeMap<TeamName, Share>, Unanswered>;

/// Asks the leader until the task is dropped. A lease ends by this node's clock, counted from before
/// the question went out.
pub(crate) async fn run(node: Arc<Node>) {
    let mut timer = tokio::time::interval(ASK_TIME);
    let mut until = clock::now();
    loop {
        timer.tick().await;
        let configuration = node.board.in_force().configuration.clone();
        let request = ShareRequest {
            box_id: node.settings.node.box_id.clone(),
            wanted: wanted(&configuration, &node.take_demand()),
        };
        if !is_needed(&request, &node.board.shares.load()) {
            continue;
        }
        let asked = clock::now();
        match node.access.lease_shares(&request, ANSWER_TIME).await {
            Ok(leased) => {
                node.board.shares.store(Arc::new(Shares { leased }));
                until = asked + Duration::from_millis(LEASE_MS);
            }
            Err(_) if clock::now() >= until => {
                node.board.shares.store(Arc::default());
            }
            Err(_) => {}
        }
    }
}

/// Whether the leader is to be asked: something is wanted beyond the even part, or held and to be
/// given back.
fn is_needed(request: &ShareRequest, shares: &Shares) -> bool {
    let wants = request.wanted.values().any(|share| *share != Share::default());
    wants || shares.leased.values().any(|share| *share != Share::default())
}

fn wanted(
    configuration: &Configuration,
    demand: &BTreeMap<TeamName, (TeamUsage, u32)>,
) -> BTreeMap<TeamName, Share> {
    let boxes = configuration.limits.entry_boxes;
    let of_team = |(name, (used, refused)): (&TeamName, &(TeamUsage, u32))| {
        let team = configuration.teams.get(name)?;
        let even = even_share(whole(team), boxes);
        let concurrent = used.concurrent + used.concurrent / 4 + refused * REFUSED_WEIGHT;
        let budget = used.budget.0 + used.budget.0 / 4 + u64::from(*refused) * REFUSED_TOKENS;
        let share = Share {
            concurrent: concurrent.saturating_sub(even.concurrent),
            budget: Tokens(budget).less(even.budget),
        };
        Some((name.clone(), share))
    };
    demand.iter().filter_map(of_team).collect()
}

/// A team's limits over the whole fleet.
pub(crate) fn whole(team: &Team) -> Share {
    Share { concurrent: team.concurrent, budget: team.budget }
}

/// Answers a node's question at the leader.
pub(crate) async fn lease(node: Arc<Node>, request: ShareRequest) -> Result<ShareReply, String> {
    let Some(term) = node.leading_term().await else {
        return Ok(Err(Unanswered::NotLeader(None)));
    };
    let configuration = node.board.in_force().configuration.clone();
    let mut leased = BTreeMap::new();
    node.with_lessor(term, |now, lessor| {
        for (name, wanted) in &request.wanted {
            if let Some(team) = configuration.teams.get(name) {
                let share = lessor.grant(now, &request.box_id, name, whole(team), *wanted);
                leased.insert(name.clone(), share);
            }
        }
    });
    Ok(Ok(leased))
}
