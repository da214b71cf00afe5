//! Which teams use their limits ahead of their rates ([`crate::decide::ahead`]), so that a new leader
//! does not allow them again what they have used.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::TeamName;

/// The teams ahead of their rates, and by whom that is known.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AheadNote {
    /// The teams.
    pub teams: BTreeSet<TeamName>,
    /// Boxes that let their requests in.
    pub boxes: usize,
}
