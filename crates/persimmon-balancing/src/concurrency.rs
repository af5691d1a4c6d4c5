//! The interface to a limit of the statements that a daemon has in flight at one instance.

use std::fmt::Debug;

use persimmon_types::Time;

/// Limits the statements that a daemon has in flight at one instance.
pub trait ConcurrencyLimit: Debug {
    /// The present limit; a fraction is met on average.
    fn limit(&self, now: Time) -> f64;
}
