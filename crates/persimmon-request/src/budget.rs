//! Bounds retries to a share of requests, so that a failure does not multiply the load.

/// Retries allowed for each request seen, in hundredths.
const CREDIT_PER_REQUEST: u32 = 10;

/// What one retry costs, in the same unit.
const COST_OF_RETRY: u32 = 100;

/// The most credit that is kept: 20 retries.
const MAX_CREDIT: u32 = 2_000;

/// The retries that one traffic thread may still make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    credit: u32,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new() -> Self {
        Self { credit: MAX_CREDIT }
    }

    /// Counts one request.
    pub fn request(&mut self) {
        self.credit = (self.credit + CREDIT_PER_REQUEST).min(MAX_CREDIT);
    }

    /// Takes one retry out of the budget; says whether it was there.
    #[must_use]
    pub fn retry(&mut self) -> bool {
        if self.credit < COST_OF_RETRY {
            return false;
        }
        self.credit -= COST_OF_RETRY;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
