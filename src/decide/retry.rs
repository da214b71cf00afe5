//! The retry budget of an entry node: further attempts are limited to a percentage of the requests, so that the loss of
//! a data centre doesn't cause a retry storm.

/// The most credit that the budget holds, in hundredths of an attempt.
const MAX_CREDIT: u64 = 2_000;

/// The cost of one attempt, in hundredths.
const ATTEMPT_COST: u64 = 100;

/// The credit of a node that has just started, in hundredths of an attempt.
const INITIAL_CREDIT: u64 = 1_000;

/// The budget: each request adds a part of an attempt, each further attempt costs a whole one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    /// In hundredths of an attempt.
    credit: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { credit: INITIAL_CREDIT }
    }
}

impl RetryBudget {
    /// Adds what a new request earns: `percent` of an attempt.
    pub fn deposit(&mut self, percent: u32) {
        self.credit = (self.credit + u64::from(percent)).min(MAX_CREDIT);
    }

    /// Takes one attempt from the budget. Returns `false` if there is none.
    pub fn try_withdraw(&mut self) -> bool {
        if self.credit < ATTEMPT_COST {
            return false;
        }
        self.credit -= ATTEMPT_COST;
        true
    }

    /// The number of whole attempts left.
    pub fn available(&self) -> u64 {
        self.credit / ATTEMPT_COST
    }
}
