//! Counts the requests that began to run, by team and time window.
//!
//! A window's counts are kept until the leader confirms that its report is final, so a change of
//! leader loses none.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::ids::{TeamName, Window};

pub use crate::state::usage::Counts;

/// How many windows are kept. Reports are due long before a window is dropped.
const MAX_WINDOWS: usize = 24;

/// The usage counts of one box.
#[derive(Debug)]
pub struct UsageCounter {
    length: Duration,
    counts: Counts,
}

/// The window that contains `time`.
pub fn window_at(time: SystemTime, length: Duration) -> Window {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    Window((since.as_millis() / length.as_millis().max(1)) as u64)
}

impl UsageCounter {
    /// Creates an empty counter with windows of `length`.
    pub fn new(length: Duration) -> Self {
        Self { length, counts: Counts::new() }
    }

    /// Counts a request of the team that began to run at `time`.
    pub fn count(&mut self, team: &TeamName, time: SystemTime) {
        let window = window_at(time, self.length);
        let teams = self.counts.entry(window).or_default();
        match teams.get_mut(team) {
            Some(count) => *count += 1,
            None => drop(teams.insert(team.clone(), 1)),
        }
        while self.counts.len() > MAX_WINDOWS {
            if let Some((window, _)) = self.counts.pop_first() {
                tracing::warn!(event = "usage_dropped", window = %window);
            }
        }
    }

    /// The counts of all windows kept.
    pub fn counts(&self) -> Counts {
        self.counts.clone()
    }

    /// Drops the windows up to `settled`, whose reports are final.
    pub fn forget(&mut self, settled: Window) {
        self.counts.retain(|window, _| *window > settled);
    }
}
