//! What was reported of the teams' use, by window of time.
//!
//! A window's counts are fixed here before the first report goes out, so that whoever reports it,
//! and however often, says the same.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{TeamName, Window};

/// Counts by window and team.
pub type Counts = BTreeMap<Window, BTreeMap<TeamName, u64>>;

/// Windows remembered. A window is reported within a few windows of its end.
const MAX_WINDOWS: usize = 64;

/// A window's counts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The window.
    pub window: Window,
    /// Requests that began to run in it, by team.
    pub counts: BTreeMap<TeamName, u64>,
}

/// The windows whose counts are fixed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageWindows {
    settled: BTreeMap<Window, BTreeMap<TeamName, u64>>,
}

impl UsageWindows {
    /// Fixes a window's counts; the first that come stand, and are answered.
    pub fn settle(&mut self, settle: &Settle) -> Settle {
        let counts = self.settled.entry(settle.window).or_insert_with(|| settle.counts.clone());
        let settled = Settle { window: settle.window, counts: counts.clone() };
        while self.settled.len() > MAX_WINDOWS {
            self.settled.pop_first();
        }
        settled
    }
}
