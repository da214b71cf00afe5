//! Servers that fail the requests of a route although they are well otherwise.
//!
//! A server may be well by its health check, and by all other requests, and still fail one kind of
//! them. So faults are kept for each server and route: one that failed is passed over for a while,
//! longer each time, and one success ends it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::BackendId;

/// How long a server is passed over after its first fault; doubled each time up to [`LONGEST`].
const FIRST: Duration = Duration::from_millis(2_000);

/// The longest time a server is passed over.
const LONGEST: Duration = Duration::from_secs(60);

/// Faults remembered at most; the oldest go.
const LIMIT: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct Fault {
    until: Instant,
    streak: u32,
}

/// The faults that this box has seen.
#[derive(Debug, Default)]
pub struct FaultBook {
    faults: HashMap<(BackendId, String), Fault>,
}

impl FaultBook {
    /// Notes that a server failed a request of a route.
    pub fn fail(&mut self, server: &BackendId, route: &str, now: Instant) {
        if self.faults.len() >= LIMIT {
            self.faults.retain(|_, fault| fault.until > now);
        }
        let key = (server.clone(), route.to_owned());
        let streak = self.faults.get(&key).map_or(0, |fault| fault.streak);
        let time = FIRST.saturating_mul(1 << streak.min(8)).min(LONGEST);
        self.faults.insert(key, Fault { until: now + time, streak: streak + 1 });
    }

    /// Notes that a server answered a request of a route well.
    pub fn succeed(&mut self, server: &BackendId, route: &str) {
        if !self.faults.is_empty() {
            self.faults.remove(&(server.clone(), route.to_owned()));
        }
    }

    /// Whether a server is passed over for a route.
    pub fn is_avoided(&self, server: &BackendId, route: &str, now: Instant) -> bool {
        if self.faults.is_empty() {
            return false;
        }
        let fault = self.faults.get(&(server.clone(), route.to_owned()));
        fault.is_some_and(|fault| fault.until > now)
    }
}
