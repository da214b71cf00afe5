//! Notes: what a leader stores in the group for its successor.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::decide::engine::EngineModel;
use crate::decide::hazard::OutageHistory;
use crate::ids::{ServiceName, TeamName};

/// Teams whose level may be below their reserve. Stored before a level falls below it: a new leader does
/// not know earlier usage and assumes that these teams have used up everything.
pub type LowTeams = BTreeSet<TeamName>;

/// The learned engine models of each service, stored so that they survive a loss of power on all boxes.
pub type Models = BTreeMap<ServiceName, EngineModel>;

/// The spot outages observed for each service, stored so that a new leader can forecast the next one.
pub type OutageHistories = BTreeMap<ServiceName, OutageHistory>;

/// All notes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Notes {
    /// Teams whose level may be below their reserve.
    #[serde(rename = "low")]
    pub low_teams: LowTeams,
    /// The number of relays.
    #[serde(default)]
    pub relays: u32,
    /// The learned engine models.
    pub engines: Models,
    /// The observed spot outages.
    #[serde(rename = "spells", default)]
    pub outages: OutageHistories,
}
