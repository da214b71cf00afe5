//! The retry budgets of services: they bound how often a box retries requests, so that failures of some servers don't
//! cause a retry storm at the others.
//!
//! The users' limit applies to all boxes together: in each window, a ratio of a service's requests plus a fixed number.
//! Each box earns retries by its own requests and has its part of the fixed number, so the sum stays within the limit
//! without any message between boxes.

use std::collections::HashMap;

use crate::ids::ServiceName;

/// The part of the users' limit that is used. The rest covers windows that contain retries but not the requests that
/// earned them.
const USABLE_PART: f64 = 0.7;

/// The users' limit on retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Retries as a ratio of the requests.
    pub ratio: f64,
    /// Retries in addition in each window, over all boxes.
    pub floor: f64,
    /// The number of boxes that share them; `None` before the leader has said it.
    pub boxes: Option<u32>,
}

impl RetryLimit {
    /// The most retries that one box may accumulate. Any number of boxes may start at the same moment, so a box that
    /// does not know their number gets the least.
    fn capacity(&self) -> f64 {
        let part = self.boxes.map_or(0.0, |boxes| self.floor / f64::from(boxes.max(1)));
        (USABLE_PART * part).max(1.0)
    }
}

/// The budget of one service, in retries.
#[derive(Debug, Clone, Copy)]
struct Budget {
    available: f64,
    /// The highest capacity so far. The budget grows with the capacity only beyond this, so that a box gets its part
    /// of the floor once.
    max_capacity: f64,
}

/// The retry budgets of all services on this box.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    services: HashMap<ServiceName, Budget>,
}

impl RetryBudgets {
    /// Adds what a new request to the service earns.
    pub fn deposit(&mut self, service: &ServiceName, limit: &RetryLimit) {
        let capacity = limit.capacity();
        if let Some(budget) = self.services.get_mut(service) {
            let growth = (capacity - budget.max_capacity).max(0.0);
            budget.max_capacity += growth;
            let earned = budget.available + growth + USABLE_PART * limit.ratio;
            budget.available = earned.min(capacity);
            return;
        }
        let budget = Budget { available: capacity, max_capacity: capacity };
        self.services.insert(service.clone(), budget);
    }

    /// Takes one retry from the service's budget. Returns `false` if there is none.
    pub fn try_withdraw(&mut self, service: &ServiceName) -> bool {
        match self.services.get_mut(service) {
            Some(budget) if budget.available >= 1.0 => {
                budget.available -= 1.0;
                true
            }
            _ => false,
        }
    }
}
