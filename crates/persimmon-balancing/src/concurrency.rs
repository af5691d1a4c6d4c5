//! The interface to a limit of the statements that a daemon has in flight at one instance.

use std::fmt::Debug;
use std::time::Duration;

use persimmon_interfaces::Access;
use persimmon_types::Time;

/// How an instance answered one statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran the statement.
    Served,
    /// It ran the statement, which failed.
    Failed,
    /// It refused the statement because its queue was full.
    Rejected,
    /// No answer came in time.
    Unanswered,
}

/// What a daemon saw of one statement at an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// Whether the statement may write.
    pub access: Access,
    /// The time from sending it to its answer.
    pub took: Duration,
    /// The time that such statements take without queueing.
    pub expected: Duration,
    /// This daemon's statements at the instance when it was sent, itself included.
    pub in_flight: u32,
    /// How the instance answered.
    pub outcome: Outcome,
}

/// Limits the statements that a daemon has in flight at one instance.
pub trait ConcurrencyLimit: Debug {
    /// The present limit; a fraction is met on average.
    fn limit(&self, now: Time) -> f64;

    /// Records one answered statement.
    fn record(&mut self, now: Time, observation: &Observation);
}
