//! Admission control: whether a request may run now, within its team's limits.
//!
//! The checks follow "How admission works" of async-bulkhead-llm: first the requests in flight, then the tokens in
//! flight, each failing at once. A request reserves its estimated input plus its largest output, and returns both when
//! it completes. Later changes of the limits don't affect a request that was admitted.

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
pub struct TeamUsage {
    /// Requests in flight.
    pub concurrent: u32,
    /// Tokens reserved by them.
    pub budget: Tokens,
}

/// The usage of all teams on this node.
#[derive(Debug, Clone, Default)]
pub struct Admission {
    teams: BTreeMap<TeamName, TeamUsage>,
    /// Requests refused since the last [`Admission::take_demand`].
    refused: BTreeMap<TeamName, u32>,
}

impl Admission {
    /// Admits a request that reserves `tokens`.
    ///
    /// # Errors
    /// [`Kind::ConcurrencyLimit`] or [`Kind::BudgetLimit`], for the limit that the request would exceed.
    pub fn admit(&mut self, team: &TeamName, tokens: Tokens, limit: TeamLimit) -> Result<(), Kind> {
        let usage = self.usage(team);
        let refusal = if usage.concurrent >= limit.concurrent {
            Some(Kind::ConcurrencyLimit)
        } else if usage.budget + tokens > limit.budget {
            Some(Kind::BudgetLimit)
        } else {
            None
        };
        if let Some(kind) = refusal {
            *self.refused.entry(team.clone()).or_default() += 1;
            return Err(kind);
        }
        let next = TeamUsage { concurrent: usage.concurrent + 1, budget: usage.budget + tokens };
        self.teams.insert(team.clone(), next);
        Ok(())
    }

    /// Releases the reservation of a completed request.
    pub fn release(&mut self, team: &TeamName, tokens: Tokens) {
        let Some(usage) = self.teams.get_mut(team) else {
            return;
        };
        usage.concurrent = usage.concurrent.saturating_sub(1);
        usage.budget = usage.budget.less(tokens);
    }

    /// What a team uses now.
    pub fn usage(&self, team: &TeamName) -> TeamUsage {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// Each team's usage, and the number of its requests refused since the last call.
    pub fn take_demand(&mut self) -> BTreeMap<TeamName, (TeamUsage, u32)> {
        let refused = std::mem::take(&mut self.refused);
        let names = self.teams.keys().chain(refused.keys());
        let demand = names.map(|team| {
            let refused = refused.get(team).copied().unwrap_or(0);
            (team.clone(), (self.usage(team), refused))
        });
        demand.collect()
    }
}
