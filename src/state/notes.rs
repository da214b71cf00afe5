//! What a leader has the group remember for the next one.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::decide::engine::EngineModel;
use crate::decide::hazard::OutageHistory;
use crate::ids::{ServiceName, TeamName};

/// Teams whose levels may be below their reserve. Noted before a level goes below it: a new leader does
/// not know what was used before it, and takes everything of these teams to be used.
pub type LowTeams = BTreeSet<TeamName>;

/// What was learned of the engines of each service, so that it outlives a loss of all power.
pub type Models = BTreeMap<ServiceName, EngineModel>;

/// What was learned of the dry spells of each service, so that a new leader is as well prepared for the
/// next one.
pub type OutageHistories = BTreeMap<ServiceName, OutageHistory>;

/// All notes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Notes {
    /// Teams whose levels may be low.
    #[serde(rename = "low")]
    pub low_teams: LowTeams,
    /// How many relays there are.
    #[serde(default)]
    pub relays: u32,
    /// What is known of engines.
    pub engines: Models,
    /// What is known of dry spells.
    #[serde(rename = "spells", default)]
    pub outages: OutageHistories,
}
