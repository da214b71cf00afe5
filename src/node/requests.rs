//! What a node keeps of its requests: what they reserve, the retries they allow, and the generations
//! held under callers' keys.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{GenerationKey, Node};
use crate::decide::admission::{TeamLimit, TeamUsage};
use crate::entry::generation::Generation;
use crate::error::{Failure, Kind};
use crate::ids::{RequestKey, TeamName};
use crate::sync::lock;
use crate::units::Tokens;

/// How long a finished generation stays, for callers that come back.
const KEEP_TIME: Duration = Duration::from_secs(60);

/// Generations held under keys at most.
const KEEP_COUNT: usize = 10_000;

impl Node {
    /// Admits a request; dropping the guard gives back what it reserved.
    ///
    /// # Errors
    /// The limit that stands in its way.
    pub fn admit(
        self: &Arc<Self>,
        team: &TeamName,
        tokens: Tokens,
        limit: TeamLimit,
    ) -> Result<AdmissionGuard, Failure> {
        let admitted = lock(&self.admission).admit(team, tokens, limit);
        admitted.map_err(|kind| {
            let text = match kind {
                Kind::BudgetLimit => format!("team {team} has its tokens in flight"),
                _ => format!("team {team} has its requests in flight"),
            };
            Failure::new(kind, text)
        })?;
        Ok(AdmissionGuard { node: self.clone(), team: team.clone(), tokens })
    }

    /// Adds a request's share to the retry budget.
    pub fn earn_retry(&self, percent: u32) {
        lock(&self.retries).deposit(percent);
    }

    /// Takes an attempt from the retry budget, if it has one.
    pub fn spend_retry(&self) -> bool {
        lock(&self.retries).try_withdraw()
    }

    /// The teams' demand since last asked.
    pub(crate) fn take_demand(&self) -> BTreeMap<TeamName, (TeamUsage, u32)> {
        lock(&self.admission).take_demand()
    }

    /// The generation held under a team's key.
    pub fn find_generation(&self, team: &TeamName, key: &RequestKey) -> Option<Arc<Generation>> {
        lock(&self.generations).get(&(team.clone(), key.clone())).cloned()
    }

    /// Holds a generation under a team's key until some time after its end.
    pub fn keep_generation(
        self: &Arc<Self>,
        team: &TeamName,
        key: &RequestKey,
        generation: &Arc<Generation>,
    ) {
        let place = (team.clone(), key.clone());
        let mut held = lock(&self.generations);
        if held.len() >= KEEP_COUNT {
            return;
        }
        held.insert(place.clone(), generation.clone());
        drop(held);
        tokio::spawn(forget_later(self.clone(), place, generation.clone()));
    }

    /// The generations under keys that have not ended.
    pub(crate) fn open_generations(&self) -> Vec<(TeamName, RequestKey, Arc<Generation>)> {
        let held = lock(&self.generations);
        let open = held.iter().filter(|(_, generation)| generation.end().is_none());
        open.map(|((team, key), it)| (team.clone(), key.clone(), it.clone())).collect()
    }
}

async fn forget_later(node: Arc<Node>, place: GenerationKey, generation: Arc<Generation>) {
    generation.ended().await;
    tokio::time::sleep(KEEP_TIME).await;
    let mut held = lock(&node.generations);
    if held.get(&place).is_some_and(|it| Arc::ptr_eq(it, &generation)) {
        held.remove(&place);
    }
}

/// What an admitted request reserved.
pub struct AdmissionGuard {
    node: Arc<Node>,
    team: TeamName,
    tokens: Tokens,
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        lock(&self.node.admission).release(&self.team, self.tokens);
    }
}
