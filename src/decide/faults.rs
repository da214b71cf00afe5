//! Tracks servers that fail the requests of one route while they are healthy otherwise.
//!
//! A server may pass its health check and answer all other requests, and still fail one kind of
//! request. So faults are tracked per route, for each server in its current incarnation. After a
//! failure the server is avoided for the route for a while, longer after each consecutive failure;
//! one success ends it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long a server is avoided after its first failure; doubled after each further one up to
/// [`MAX_AVOID_TIME`].
const INITIAL_AVOID_TIME: Duration = Duration::from_millis(2_000);

/// Maximum time for which a server is avoided.
const MAX_AVOID_TIME: Duration = Duration::from_secs(60);

/// Number of routes per server from which expired entries are removed.
const MAX_ROUTES: usize = 256;

#[derive(Debug, Clone, Copy)]
struct RouteFault {
    until: Instant,
    consecutive: u32,
}

/// Faults of one server in one incarnation, as seen by this box, by route.
#[derive(Debug, Default)]
pub struct FaultTracker {
    faults: HashMap<String, RouteFault>,
}

impl FaultTracker {
    /// Records that the server failed a request on a route.
    pub fn record_failure(&mut self, route: &str, now: Instant) {
        if self.faults.len() >= MAX_ROUTES {
            self.faults.retain(|_, fault| fault.until > now);
        }
        let consecutive = self.faults.get(route).map_or(0, |fault| fault.consecutive);
        let time = INITIAL_AVOID_TIME.saturating_mul(1 << consecutive.min(8)).min(MAX_AVOID_TIME);
        self.faults.insert(
            route.to_owned(),
            RouteFault { until: now + time, consecutive: consecutive + 1 },
        );
    }

    /// Records that the server answered a request on a route successfully.
    pub fn record_success(&mut self, route: &str) {
        self.faults.remove(route);
    }

    /// Whether the server is avoided for a route.
    pub fn is_avoided(&self, route: &str, now: Instant) -> bool {
        self.faults.get(route).is_some_and(|fault| fault.until > now)
    }
}
