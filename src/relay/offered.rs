//! Counts the prompt tokens that callers bring for each service, until the leader has heard of them.

use std::collections::BTreeMap;

use crate::ids::ServiceName;

/// Prompt tokens by service that the leader has not heard of.
#[derive(Debug, Default)]
pub struct Offered {
    tokens: BTreeMap<ServiceName, u64>,
}

impl Offered {
    /// A call for a service arrived.
    pub fn count(&mut self, service: &ServiceName, tokens: u64) {
        match self.tokens.get_mut(service) {
            Some(sum) => *sum += tokens,
            None => drop(self.tokens.insert(service.clone(), tokens)),
        }
    }

    /// What the leader is to hear.
    pub fn tell(&self) -> BTreeMap<ServiceName, u64> {
        self.tokens.clone()
    }

    /// The leader has heard this much.
    pub fn forget(&mut self, heard: &BTreeMap<ServiceName, u64>) {
        for (service, tokens) in heard {
            if let Some(sum) = self.tokens.get_mut(service) {
                *sum = sum.saturating_sub(*tokens);
            }
        }
    }
}
