//! Whether another attempt may be made: a budget as a share of requests, so that a lost data centre
//! does not turn into a storm of retries.

/// Attempts the budget holds at most, in hundredths.
const FULL: u64 = 2_000;

/// What one attempt costs, in hundredths.
const COST: u64 = 100;

/// Attempts a node that has just started may make, in hundredths.
const START: u64 = 1_000;

/// The budget: each request adds a share of an attempt, each further attempt takes a whole one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    held: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { held: START }
    }
}

impl RetryBudget {
    /// A request begins; `percent` of an attempt is added.
    pub fn earn(&mut self, percent: u32) {
        self.held = (self.held + u64::from(percent)).min(FULL);
    }

    /// Takes an attempt, if the budget has one.
    pub fn spend(&mut self) -> bool {
        if self.held < COST {
            return false;
        }
        self.held -= COST;
        true
    }

    /// Whole attempts left.
    pub fn left(&self) -> u64 {
        self.held / COST
    }
}
