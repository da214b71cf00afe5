//! What each team may use on this box.
//!
//! A team's limit is one over all boxes. The leader keeps its level and, with every answer to a beat,
//! allows this box an amount until the next one. What is used is told with the next beat. An amount
//! that is not used lapses, so none sits where it is not wanted.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::table::{RouteTable, Team, Unit};
use crate::ids::TeamName;

/// After this time without word from the leader a box goes on with an even part of the rate.
const OVERDUE: Duration = Duration::from_millis(900);

/// Seconds of its even part that a team may use on a box that has not heard from the leader yet.
const START_TIME: f64 = 2.0;

/// The longest and shortest wait told to a caller whose team is over its limit.
const WAIT_LIMITS: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(4));

/// What one request counts against its team's limit.
pub fn cost(team: &Team, tokens: Option<u64>) -> f64 {
    match team.unit {
        Unit::Requests => 1.0,
        Unit::Tokens(plain) => tokens.unwrap_or(plain) as f64,
    }
}

/// What a box tells the leader of one team.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamDemand {
    /// Used since the last beat that was answered.
    pub used: f64,
    /// Asked for beyond the allowance, and refused.
    pub refused: f64,
}

/// What the leader allows a box of one team's limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Allowed {
    /// The amount, until the next beat.
    pub amount: f64,
    /// Seconds until the team's level is positive again, 0 if it is.
    pub wait: f64,
}

#[derive(Debug, Clone, Copy)]
struct Allowance {
    left: f64,
    wait: f64,
    demand: TeamDemand,
    /// The demand that is under way to the leader.
    told: TeamDemand,
    /// Until when it was filled while the leader was silent.
    filled: Instant,
}

/// The allowances of all teams on this box.
#[derive(Debug)]
pub struct Allowances {
    teams: BTreeMap<TeamName, Allowance>,
    heard: Instant,
    /// Whether a team ran out of its amount that, by the leader's last word, had something left.
    runs_out: bool,
}

impl Default for Allowances {
    fn default() -> Self {
        Self { teams: BTreeMap::new(), heard: Instant::now(), runs_out: false }
    }
}

impl Allowances {
    /// Keeps the teams of a table, and begins with an even part for new ones.
    pub fn follow(&mut self, table: &RouteTable) {
        self.teams.retain(|name, _| table.teams.contains_key(name));
        for (name, team) in &table.teams {
            let start = team.rate.unwrap_or(0.0) * START_TIME / f64::from(super::RELAYS_GUESSED);
            let none = TeamDemand::default();
            let fresh = Allowance {
                left: start,
                wait: 0.0,
                demand: none,
                told: none,
                filled: Instant::now(),
            };
            self.teams.entry(name.clone()).or_insert(fresh);
        }
    }

    /// Takes `cost` of a team's allowance, if anything of it is left; what is taken too much is told
    /// to the leader with the rest.
    ///
    /// # Errors
    /// How long to wait, when nothing is left.
    pub fn take(
        &mut self,
        team: &Team,
        cost: f64,
        boxes: u32,
        now: Instant,
    ) -> Result<(), Duration> {
        let Some(rate) = team.rate else {
            return Ok(());
        };
        self.fill(team, rate / f64::from(boxes.max(1)), now);
        let Some(allowance) = self.teams.get_mut(&team.name) else {
            return Err(WAIT_LIMITS.0);
        };
        if allowance.left > 0.0 {
            allowance.left -= cost;
            allowance.demand.used += cost;
            return Ok(());
        }
        allowance.demand.refused += cost;
        self.runs_out |= allowance.wait == 0.0;
        let wait = Duration::from_secs_f64(allowance.wait.clamp(0.0, 60.0));
        Err(wait.clamp(WAIT_LIMITS.0, WAIT_LIMITS.1))
    }

    /// Gives an amount back: the request was not run.
    pub fn give_back(&mut self, team: &TeamName, cost: f64) {
        if let Some(allowance) = self.teams.get_mut(team) {
            allowance.left += cost;
            allowance.demand.used -= cost;
        }
    }

    /// While the leader is silent, a team gets an even part of its rate instead.
    fn fill(&mut self, team: &Team, even: f64, now: Instant) {
        let overdue = self.heard + OVERDUE;
        let Some(allowance) = self.teams.get_mut(&team.name).filter(|_| now > overdue) else {
            return;
        };
        let since = allowance.filled.max(overdue);
        let passed = now.saturating_duration_since(since).as_secs_f64();
        allowance.left = (allowance.left + even * passed).min(even * START_TIME);
        allowance.filled = now;
    }

    /// Whether the leader is to be asked at once: it may well have more for a team that runs out.
    pub fn runs_out(&self) -> bool {
        self.runs_out
    }

    /// The demand to tell the leader: everything since its last answer.
    pub fn tell(&mut self) -> BTreeMap<TeamName, TeamDemand> {
        self.runs_out = false;
        let mut told = BTreeMap::new();
        for (name, allowance) in &mut self.teams {
            allowance.told = allowance.demand;
            if allowance.demand != TeamDemand::default() {
                told.insert(name.clone(), allowance.demand);
            }
        }
        told
    }

    /// Takes the leader's answer to what was told. What was used meanwhile counts against it.
    pub fn hear(&mut self, allowed: &BTreeMap<TeamName, Allowed>, now: Instant) {
        self.heard = now;
        for (name, allowance) in &mut self.teams {
            allowance.demand.used -= allowance.told.used;
            allowance.demand.refused -= allowance.told.refused;
            allowance.told = TeamDemand::default();
            if let Some(allowed) = allowed.get(name) {
                allowance.left = allowed.amount - allowance.demand.used;
                allowance.wait = allowed.wait;
            }
        }
    }
}
