//! Which teams' levels may be below their reserve.
//!
//! Noted before a level goes below it, so that a new leader, which does not know what was used before
//! it, knows of which teams it must take everything to be used.

use std::collections::BTreeSet;

use crate::ids::TeamName;

/// The teams whose levels may be low.
pub type LowTeams = BTreeSet<TeamName>;
