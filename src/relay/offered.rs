//! What callers bring for each service at this box, for the leader to size services by.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::call::GenerationSize;
use crate::decide::capacity::{Arrivals, OfferedLoad};
use crate::ids::ServiceName;

/// What came by service, since the last word and as a rate.
#[derive(Debug)]
pub struct OfferedTracker {
    came: BTreeMap<ServiceName, Arrivals>,
    rates: BTreeMap<ServiceName, OfferedLoad>,
    at: Instant,
}

impl Default for OfferedTracker {
    fn default() -> Self {
        Self { came: BTreeMap::new(), rates: BTreeMap::new(), at: Instant::now() }
    }
}

impl OfferedTracker {
    /// A call for a service arrived.
    pub fn count(&mut self, service: &ServiceName, size: GenerationSize, objective: Duration) {
        let (tokens, output) = (size.prompt_tokens as f64, size.max_output_tokens as f64);
        let objective = objective.as_secs_f64();
        match self.came.get_mut(service) {
            Some(came) => came.record(tokens, output, objective),
            None => {
                let mut came = Arrivals::default();
                came.record(tokens, output, objective);
                self.came.insert(service.clone(), came);
            }
        }
    }

    /// The rates up to now.
    pub fn rates(&mut self, now: Instant) -> BTreeMap<ServiceName, OfferedLoad> {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let came = std::mem::take(&mut self.came);
        for service in came.keys() {
            self.rates.entry(service.clone()).or_default();
        }
        for (service, rate) in &mut self.rates {
            rate.record(passed, came.get(service).copied().unwrap_or_default());
        }
        self.rates.clone()
    }
}
