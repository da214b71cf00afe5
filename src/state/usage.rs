//! Reported usage of teams, by time window.
//!
//! The counts of a window are fixed here before its first report is sent, so that repeated reports of a
//! window are identical, whichever node sends them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{TeamName, Window};

/// Request counts by window and team.
pub type Counts = BTreeMap<Window, BTreeMap<TeamName, u64>>;

/// The maximum number of windows kept. A window is reported within a few windows of its end.
const MAX_WINDOWS: usize = 64;

/// Fixes the counts of a window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The window.
    pub window: Window,
    /// Requests that started in the window, by team.
    pub counts: BTreeMap<TeamName, u64>,
}

/// The windows whose counts are fixed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageWindows {
    settled: BTreeMap<Window, BTreeMap<TeamName, u64>>,
}

impl UsageWindows {
    /// Fixes the counts of a window unless they are fixed already, and returns the fixed counts.
    pub fn settle(&mut self, settle: &Settle) -> Settle {
        let counts = self.settled.entry(settle.window).or_insert_with(|| settle.counts.clone());
        let settled = Settle { window: settle.window, counts: counts.clone() };
        while self.settled.len() > MAX_WINDOWS {
            self.settled.pop_first();
        }
        settled
    }
}
