//! Detects when a significant fraction of a service's requests leaves the region, and when that
//! ends. It is logged for operators; no decision depends on it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::topology::Reach;
use crate::ids::ServiceName;

/// The length of the windows in which requests are counted. A service logs at most one line per
/// window.
const WINDOW: Duration = Duration::from_secs(5);

/// The fraction of a window's requests that must leave the region for a spill to begin. Well above
/// the fraction that leaves when two regions are about equally loaded.
const BEGIN_FRACTION: f64 = 0.2;

/// The fraction below which a spill ends. The gap between both keeps the state from flapping.
const END_FRACTION: f64 = 0.05;

/// How many requests of a window must leave the region for a spill to begin. Fewer are noise.
const MIN_REMOTE_REQUESTS: u32 = 8;

/// The beginning or end of a spill, as found in a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpillChange {
    /// `true` if a spill began, `false` if it ended.
    pub begun: bool,
    /// The fraction of the window's requests that left the region.
    pub fraction: f64,
    /// The number of requests in the window.
    pub requests: u32,
}

#[derive(Debug)]
struct Window {
    began: Instant,
    requests: u32,
    remote_requests: u32,
    is_spilling: bool,
}

impl Window {
    fn close(&mut self, now: Instant) -> Option<SpillChange> {
        let fraction = f64::from(self.remote_requests) / f64::from(self.requests.max(1));
        let change = SpillChange { begun: !self.is_spilling, fraction, requests: self.requests };
        let changed = match self.is_spilling {
            false => fraction >= BEGIN_FRACTION && self.remote_requests >= MIN_REMOTE_REQUESTS,
            true => fraction < END_FRACTION,
        };
        self.is_spilling ^= changed;
        (self.began, self.requests, self.remote_requests) = (now, 0, 0);
        changed.then_some(change)
    }
}

/// The current window of each service on this box.
#[derive(Debug, Default)]
pub struct SpillTracker {
    windows: BTreeMap<ServiceName, Window>,
}

impl SpillTracker {
    /// Records the destination of a request. Returns the change that the preceding window showed,
    /// if it is over and showed one.
    pub fn record(
        &mut self,
        service: &ServiceName,
        reach: Reach,
        now: Instant,
    ) -> Option<SpillChange> {
        if !self.windows.contains_key(service) {
            let window = Window { began: now, requests: 0, remote_requests: 0, is_spilling: false };
            self.windows.insert(service.clone(), window);
        }
        let window = self.windows.get_mut(service)?;
        let is_over = now.saturating_duration_since(window.began) >= WINDOW;
        let change = if is_over { window.close(now) } else { None };
        window.requests += 1;
        window.remote_requests += u32::from(reach == Reach::Remote);
        change
    }
}
