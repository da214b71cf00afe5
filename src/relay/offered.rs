//! What callers bring for each service at this box, for the leader to size services by.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::decide::spend::Offered;
use crate::ids::ServiceName;

/// Prompt tokens by service, since the last beat and as a rate.
#[derive(Debug)]
pub struct OfferedBook {
    tokens: BTreeMap<ServiceName, u64>,
    rates: BTreeMap<ServiceName, Offered>,
    at: Instant,
}

impl Default for OfferedBook {
    fn default() -> Self {
        Self { tokens: BTreeMap::new(), rates: BTreeMap::new(), at: Instant::now() }
    }
}

impl OfferedBook {
    /// A call for a service arrived.
    pub fn count(&mut self, service: &ServiceName, tokens: u64) {
        match self.tokens.get_mut(service) {
            Some(sum) => *sum += tokens,
            None => drop(self.tokens.insert(service.clone(), tokens)),
        }
    }

    /// The rates up to now.
    pub fn rates(&mut self, now: Instant) -> BTreeMap<ServiceName, Offered> {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let tokens = std::mem::take(&mut self.tokens);
        for service in tokens.keys() {
            self.rates.entry(service.clone()).or_default();
        }
        for (service, rate) in &mut self.rates {
            rate.note(passed, tokens.get(service).copied().unwrap_or(0) as f64);
        }
        self.rates.clone()
    }
}
