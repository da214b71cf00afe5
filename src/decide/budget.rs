//! Bounds how often requests are sent again, so that trouble at some servers does not turn into a
//! storm at the others.
//!
//! The users' limit is one over all boxes: in each window, a share of a service's requests and a
//! fixed number on top. Each box earns its share by its own requests and holds its part of the fixed
//! number, so the sum keeps the limit without a word between boxes.

use std::collections::HashMap;

use crate::ids::ServiceName;

/// The part of the users' limit that is used. The rest is for windows that catch requests and their
/// repetitions on different sides.
const MARGIN: f64 = 0.7;

/// What the users allow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Repetitions as a share of the requests.
    pub ratio: f64,
    /// Repetitions on top in each window, over all boxes.
    pub floor: f64,
    /// Boxes that share them.
    pub boxes: u32,
}

impl RetryLimit {
    fn ceiling(&self) -> f64 {
        (MARGIN * self.floor / f64::from(self.boxes.max(1))).max(1.0)
    }
}

/// Repetitions that are left to each service.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    left: HashMap<ServiceName, f64>,
}

impl RetryBudgets {
    /// A request to the service begins.
    pub fn earn(&mut self, service: &ServiceName, limit: &RetryLimit) {
        let ceiling = limit.ceiling();
        match self.left.get_mut(service) {
            Some(left) => *left = (*left + MARGIN * limit.ratio).min(ceiling),
            None => drop(self.left.insert(service.clone(), ceiling)),
        }
    }

    /// Takes a repetition, if one is left.
    pub fn spend(&mut self, service: &ServiceName) -> bool {
        match self.left.get_mut(service) {
            Some(left) if *left >= 1.0 => {
                *left -= 1.0;
                true
            }
            _ => false,
        }
    }
}
