//! Whether a service's requests leave the region in numbers: told once when that begins and once when it
//! ends, for operators. Nothing is decided by it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::topology::Reach;
use crate::ids::ServiceName;

/// Requests are counted in windows of this length. A line for a service at most each window.
const WINDOW: Duration = Duration::from_secs(5);

/// The part of a window's requests that leaves the region when a spill has begun. Well above what leaves
/// where two regions are about as full as each other.
const BEGIN_PART: f64 = 0.2;

/// The part below which it has ended; the gap keeps lines from alternating.
const END_PART: f64 = 0.05;

/// Requests of a window that have to leave for a spill to begin: fewer are no burst.
const LEAST: u32 = 8;

/// What a window of a service showed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpillNews {
    /// Whether a spill has begun; else it has ended.
    pub begun: bool,
    /// The part of the window's requests that left the region.
    pub part: f64,
    /// The window's requests.
    pub requests: u32,
}

#[derive(Debug)]
struct Window {
    began: Instant,
    requests: u32,
    left: u32,
    spills: bool,
}

impl Window {
    fn close(&mut self, now: Instant) -> Option<SpillNews> {
        let part = f64::from(self.left) / f64::from(self.requests.max(1));
        let news = SpillNews { begun: !self.spills, part, requests: self.requests };
        let changes = match self.spills {
            false => part >= BEGIN_PART && self.left >= LEAST,
            true => part < END_PART,
        };
        self.spills ^= changes;
        (self.began, self.requests, self.left) = (now, 0, 0);
        changes.then_some(news)
    }
}

/// The services' windows on one box.
#[derive(Debug, Default)]
pub struct SpillTracker {
    windows: BTreeMap<ServiceName, Window>,
}

impl SpillTracker {
    /// Takes where a request goes; what the window that has ended before it showed, if that is news.
    pub fn note(&mut self, service: &ServiceName, reach: Reach, now: Instant) -> Option<SpillNews> {
        if !self.windows.contains_key(service) {
            let window = Window { began: now, requests: 0, left: 0, spills: false };
            self.windows.insert(service.clone(), window);
        }
        let window = self.windows.get_mut(service)?;
        let is_over = now.saturating_duration_since(window.began) >= WINDOW;
        let news = if is_over { window.close(now) } else { None };
        window.requests += 1;
        window.left += u32::from(reach == Reach::Remote);
        news
    }
}
