//! Servers that fail the requests of a route although they are well otherwise.
//!
//! A server may be well by its health check, and by all other requests, and still fail one kind of
//! them. So faults are kept for each server, in its life, and route: one that failed is passed over for a
//! while, longer each time, and one success ends it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long a server is passed over after its first fault; doubled each time up to [`LONGEST`].
const FIRST: Duration = Duration::from_millis(2_000);

/// The longest time a server is passed over.
const LONGEST: Duration = Duration::from_secs(60);

/// Routes of one server above which those whose time is over are forgotten.
const LIMIT: usize = 256;

#[derive(Debug, Clone, Copy)]
struct Fault {
    until: Instant,
    streak: u32,
}

/// The faults that this box has seen of one server in one life, by route.
#[derive(Debug, Default)]
pub struct FaultTracker {
    faults: HashMap<String, Fault>,
}

impl FaultTracker {
    /// Notes that the server failed a request of a route.
    pub fn fail(&mut self, route: &str, now: Instant) {
        if self.faults.len() >= LIMIT {
            self.faults.retain(|_, fault| fault.until > now);
        }
        let streak = self.faults.get(route).map_or(0, |fault| fault.streak);
        let time = FIRST.saturating_mul(1 << streak.min(8)).min(LONGEST);
        self.faults.insert(route.to_owned(), Fault { until: now + time, streak: streak + 1 });
    }

    /// Notes that the server answered a request of a route well.
    pub fn succeed(&mut self, route: &str) {
        self.faults.remove(route);
    }

    /// Whether the server is passed over for a route.
    pub fn is_avoided(&self, route: &str, now: Instant) -> bool {
        self.faults.get(route).is_some_and(|fault| fault.until > now)
    }
}
