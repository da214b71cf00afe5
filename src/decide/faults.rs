//! Servers that fail the requests of a route although they are well otherwise.
//!
//! A server may be well by its health check, and by all other requests, and still fail one kind of
//! them. So faults are kept for each server, in its life, and route: one that failed is passed over for a
//! while, longer each time, and one success ends it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long a server is passed over after its first fault; doubled each time up to [`MAX_AVOID_TIME`].
const INITIAL_AVOID_TIME: Duration = Duration::from_millis(2_000);

/// The longest time a server is passed over.
const MAX_AVOID_TIME: Duration = Duration::from_secs(60);

/// Routes of one server above which those whose time is over are forgotten.
const MAX_ROUTES: usize = 256;

#[derive(Debug, Clone, Copy)]
struct RouteFault {
    until: Instant,
    consecutive: u32,
}

/// The faults that this box has seen of one server in one life, by route.
#[derive(Debug, Default)]
pub struct FaultTracker {
    faults: HashMap<String, RouteFault>,
}

impl FaultTracker {
    /// Notes that the server failed a request of a route.
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

    /// Notes that the server answered a request of a route well.
    pub fn record_success(&mut self, route: &str) {
        self.faults.remove(route);
    }

    /// Whether the server is passed over for a route.
    pub fn is_avoided(&self, route: &str, now: Instant) -> bool {
        self.faults.get(route).is_some_and(|fault| fault.until > now)
    }
}
