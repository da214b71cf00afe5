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
    /// Boxes that share them; `None` before the leader has told how many do.
    pub boxes: Option<u32>,
}

impl RetryLimit {
    /// Repetitions that one box may save up. Any number of boxes may start at the same moment, so one that does not
    /// know how many there are has the least.
    fn ceiling(&self) -> f64 {
        let part = self.boxes.map_or(0.0, |boxes| self.floor / f64::from(boxes.max(1)));
        (MARGIN * part).max(1.0)
    }
}

/// Repetitions of one service.
#[derive(Debug, Clone, Copy)]
struct Budget {
    left: f64,
    /// The highest ceiling so far: a box is given its part of the floor once.
    given: f64,
}

/// Repetitions that are left to each service.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    services: HashMap<ServiceName, Budget>,
}

impl RetryBudgets {
    /// A request to the service begins.
    pub fn earn(&mut self, service: &ServiceName, limit: &RetryLimit) {
        let ceiling = limit.ceiling();
        if let Some(budget) = self.services.get_mut(service) {
            let part = (ceiling - budget.given).max(0.0);
            budget.given += part;
            budget.left = (budget.left + part + MARGIN * limit.ratio).min(ceiling);
            return;
        }
        self.services.insert(service.clone(), Budget { left: ceiling, given: ceiling });
    }

    /// Takes a repetition, if one is left.
    pub fn spend(&mut self, service: &ServiceName) -> bool {
        match self.services.get_mut(service) {
            Some(budget) if budget.left >= 1.0 => {
                budget.left -= 1.0;
                true
            }
            _ => false,
        }
    }
}
