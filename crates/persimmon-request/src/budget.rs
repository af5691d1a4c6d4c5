//! Limits retries to a fraction of the requests, so that a failure does not multiply the load.

/// Credit that each request adds, in hundredths of a retry.
const CREDIT_PER_REQUEST: u32 = 10;

/// Credit that one retry uses.
const CREDIT_PER_RETRY: u32 = 100;

/// Maximum credit: 20 retries.
const MAX_CREDIT: u32 = 2_000;

/// The retry budget of one traffic thread.
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

    /// Adds the credit of one request, up to the maximum.
    pub fn deposit(&mut self) {
        self.credit = (self.credit + CREDIT_PER_REQUEST).min(MAX_CREDIT);
    }

    /// Takes one retry out of the budget. Returns `false` if the credit is too low.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        if self.credit < CREDIT_PER_RETRY {
            return false;
        }
        self.credit -= CREDIT_PER_RETRY;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
