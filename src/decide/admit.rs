//! Admission: whether a request may run now, within its team's limits.
//!
//! The checks stand in the order of the admission paper (async-bulkhead-llm, "How admission
//! works"): concurrency, then tokens in flight, each failing at once. Tokens are reserved as the
//! estimated input plus the largest output, and given back at completion. A request keeps the
//! revision of the limits that admitted it.

use std::collections::BTreeMap;

use crate::error::Kind;
use crate::ids::TeamName;
use crate::units::Tokens;

/// What this node may use of a team's limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TeamLimit {
    /// Requests in flight.
    pub concurrent: u32,
    /// Tokens in flight.
    pub budget: Tokens,
}

/// What a team uses on this node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TeamUse {
    /// Requests in flight.
    pub concurrent: u32,
    /// Tokens reserved.
    pub budget: Tokens,
}

/// The use of every team on this node.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    teams: BTreeMap<TeamName, TeamUse>,
    refused: BTreeMap<TeamName, u32>,
}

impl Admission {
    /// Admits a request that reserves `tokens`, or says which limit stands in its way.
    ///
    /// # Errors
    /// [`Kind::ConcurrencyLimit`] or [`Kind::BudgetLimit`].
    pub fn admit(&mut self, team: &TeamName, tokens: Tokens, limit: TeamLimit) -> Result<(), Kind> {
        let held = self.teams.get(team).copied().unwrap_or_default();
        let refusal = if held.concurrent >= limit.concurrent {
            Some(Kind::ConcurrencyLimit)
        } else if held.budget + tokens > limit.budget {
            Some(Kind::BudgetLimit)
        } else {
            None
        };
        if let Some(kind) = refusal {
            *self.refused.entry(team.clone()).or_default() += 1;
            return Err(kind);
        }
        let next = TeamUse { concurrent: held.concurrent + 1, budget: held.budget + tokens };
        self.teams.insert(team.clone(), next);
        Ok(())
    }

    /// Gives back what a request reserved.
    pub fn release(&mut self, team: &TeamName, tokens: Tokens) {
        let Some(held) = self.teams.get_mut(team) else {
            return;
        };
        held.concurrent = held.concurrent.saturating_sub(1);
        held.budget = held.budget.less(tokens);
    }

    /// What a team uses.
    pub fn used(&self, team: &TeamName) -> TeamUse {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// The teams' use and how many requests were refused since last asked: the demand.
    pub fn take_demand(&mut self) -> BTreeMap<TeamName, (TeamUse, u32)> {
        let refused = std::mem::take(&mut self.refused);
        let names = self.teams.keys().chain(refused.keys());
        let demand = names.map(|team| {
            let refused = refused.get(team).copied().unwrap_or(0);
            (team.clone(), (self.used(team), refused))
        });
        demand.collect()
    }
}
