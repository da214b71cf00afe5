//! Tracks the load offered to each service at this box. The leader sizes the services by it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::call::GenerationSize;
use crate::decide::capacity::{Arrivals, OfferedLoad};
use crate::ids::ServiceName;

/// Arrivals since the last heartbeat and the resulting rates, by service.
#[derive(Debug)]
pub struct OfferedTracker {
    arrivals: BTreeMap<ServiceName, Arrivals>,
    rates: BTreeMap<ServiceName, OfferedLoad>,
    at: Instant,
}

impl Default for OfferedTracker {
    fn default() -> Self {
        Self { arrivals: BTreeMap::new(), rates: BTreeMap::new(), at: Instant::now() }
    }
}

impl OfferedTracker {
    /// Counts a call for a service.
    pub fn count(&mut self, service: &ServiceName, size: GenerationSize, objective: Duration) {
        let (tokens, output) = (size.prompt_tokens as f64, size.max_output_tokens as f64);
        let objective = objective.as_secs_f64();
        match self.arrivals.get_mut(service) {
            Some(arrivals) => arrivals.record(tokens, output, objective),
            None => {
                let mut arrivals = Arrivals::default();
                arrivals.record(tokens, output, objective);
                self.arrivals.insert(service.clone(), arrivals);
            }
        }
    }

    /// Updates the rates with the arrivals since the last call and returns them.
    pub fn rates(&mut self, now: Instant) -> BTreeMap<ServiceName, OfferedLoad> {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let arrivals = std::mem::take(&mut self.arrivals);
        for service in arrivals.keys() {
            self.rates.entry(service.clone()).or_default();
        }
        for (service, rate) in &mut self.rates {
            rate.record(elapsed, arrivals.get(service).copied().unwrap_or_default());
        }
        self.rates.clone()
    }
}
