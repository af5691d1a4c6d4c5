//! Admission control: how much new work a daemon sends to one instance.
//!
//! Handles load above an instance's capacity. Many daemons observe the overload late and in small
//! samples, and do not know of each other's load. A full queue makes every statement late; a
//! transaction of several statements then never completes in time, and slots are spent on work
//! whose client has given up.
//!
//! Two mechanisms are combined. A daemon's fair share of the instance's slots is always admitted,
//! so that a few unlucky observations don't starve a daemon. Work beyond the share is admitted with
//! a probability that falls as the observed queueing wait rises: each daemon's estimate is noisy,
//! but the sum over the fleet is not. Short work has a better chance, because it delays other work
//! least. Statements of open transactions are never throttled; they are charged to the share.

use std::time::Duration;

use persimmon_types::Time;

/// Average wait above which the instance counts as congested: a fraction of the tightest latency
/// objective of clients, so that a transaction of several statements still meets it.
const WAIT_TARGET_MS: f64 = 30.0;

/// Weight of a new observation in the average wait.
const WAIT_AVERAGE_WEIGHT: f64 = 0.3;

/// Upper bound of one observed wait, because some statements simply run long.
const MAX_OBSERVED_WAIT_MS: f64 = 300.0;

/// Lower bound of the average wait after a rejection, which means that the instance's queue is
/// full.
const REJECTION_WAIT_MS: f64 = 150.0;

/// Half-life of the average wait: a daemon that sends little must not act on an observation that is
/// seconds old.
const WAIT_HALF_LIFE: Duration = Duration::from_millis(3_000);

/// Fraction of an instance's slots that is divided among all daemons. Clients are spread unevenly,
/// so that some daemons leave a part of their share unused.
const SHARED_SLOT_FRACTION: f64 = 0.7;

/// Largest unused share that a daemon can accumulate, in time at its rate.
const MAX_BURST: Duration = Duration::from_millis(1_000);

/// How fast the admitted fraction falls above the target wait, per second: its logarithm changes by
/// this times the logarithm of the ratio of wait to target.
const DECREASE_RATE: f64 = 0.5;

/// The same below the target wait. It is slower, because all daemons raise their fraction together.
const INCREASE_RATE: f64 = 0.3;

/// Bound of the logarithm of the ratio of wait to target.
const MAX_LOG_DEVIATION: f64 = 1.5;

/// Lowest admitted fraction, so that a recovery of the instance is noticed.
const MIN_ADMITTED_FRACTION: f64 = 0.05;

/// Weight of new work in the average cost.
const COST_AVERAGE_WEIGHT: f64 = 0.05;

/// Average cost before any work was sent to the instance.
const INITIAL_COST_MS: f64 = 30.0;

/// Lower bound of the cost of work relative to the average; its inverse is the upper bound.
const MIN_RELATIVE_COST: f64 = 0.5;

/// Work of this priority value or above yields to more important work (lower values).
const NORMAL_PRIORITY: u8 = 2;

/// Shortest time after which throttled work may be retried.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Longest time after which throttled work may be retried.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Whether new work may be sent to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The work may be sent.
    Admitted,
    /// The work is throttled; a retry may succeed after this time.
    RetryAfter(Duration),
}

/// Admission controller of one daemon for one instance.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    /// Average queueing wait of statements.
    wait_ms: f64,
    /// Fraction of the work beyond the daemon's share that is admitted, from 0 to 1, before the
    /// present wait is taken into account.
    admitted_fraction: f64,
    /// Average cost of work at the instance.
    average_cost_ms: f64,
    /// Slot time that this daemon may always use, in milliseconds per second.
    share_ms_per_s: f64,
    /// Slot time that is left of the share; negative after work that cost more.
    budget_ms: f64,
    /// Time up to which decay and refill have been applied.
    advanced_at: Time,
}

impl Default for AdmissionController {
    fn default() -> Self {
        Self::new()
    }
}

impl AdmissionController {
    /// Creates a controller that throttles nothing and knows no share.
    #[must_use]
    pub fn new() -> Self {
        Self {
            wait_ms: 0.0,
            admitted_fraction: 1.0,
            average_cost_ms: INITIAL_COST_MS,
            share_ms_per_s: 0.0,
            budget_ms: 0.0,
            advanced_at: Time::ZERO,
        }
    }

    /// Sets the share from the instance's number of slots and the number of daemons. If the latter
    /// is unknown (`None`), the daemon has no share.
    pub fn set_share(&mut self, slots: u32, daemons: Option<usize>) {
        let slot_ms = f64::from(slots) * 1_000.0 * SHARED_SLOT_FRACTION;
        self.share_ms_per_s = daemons.map_or(0.0, |d| slot_ms / d.max(1) as f64);
    }

    /// Whether work beyond the share is throttled.
    #[must_use]
    pub fn is_throttling(&self) -> bool {
        self.admitted_fraction < 1.0 || self.wait_ms > WAIT_TARGET_MS
    }

    /// The average queueing wait of recent statements, in milliseconds.
    #[must_use]
    pub fn wait_ms(&self) -> f64 {
        self.wait_ms
    }

    /// Decides whether new work may be sent. `cost_ms` is its expected slot time, a lower
    /// `priority` is more important, and `draw` is a random number from 0 to 1.
    pub fn admit(&mut self, now: Time, cost_ms: f64, priority: u8, draw: f64) -> Admission {
        self.advance(now);
        if !self.is_throttling() || self.budget_ms > 0.0 {
            return Admission::Admitted;
        }
        let target_ratio = (WAIT_TARGET_MS / self.wait_ms.max(1.0)).min(1.0);
        let probability = self.admitted_fraction * target_ratio * target_ratio;
        let relative_cost =
            (cost_ms / self.average_cost_ms).clamp(MIN_RELATIVE_COST, 1.0 / MIN_RELATIVE_COST);
        let exponent = if priority < NORMAL_PRIORITY { relative_cost / 2.0 } else { relative_cost };
        if draw < probability.powf(exponent) {
            return Admission::Admitted;
        }
        let refill_time = Duration::from_secs_f64(-self.budget_ms / self.share_ms_per_s.max(1.0));
        Admission::RetryAfter(refill_time.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }

    /// Records that work with an expected slot time of `cost_ms` was sent.
    pub fn record_sent(&mut self, now: Time, cost_ms: f64) {
        self.advance(now);
        self.average_cost_ms += COST_AVERAGE_WEIGHT * (cost_ms - self.average_cost_ms);
        // Bounds the deficit, so that one long transaction does not use up the share for long.
        let limit = self.share_ms_per_s * MAX_BURST.as_secs_f64() * 4.0;
        self.budget_ms = (self.budget_ms - cost_ms).max(-limit);
    }

    /// Records how long a statement waited for a slot, in milliseconds.
    pub fn record_wait(&mut self, now: Time, wait_ms: f64) {
        self.advance(now);
        self.wait_ms +=
            WAIT_AVERAGE_WEIGHT * (wait_ms.clamp(0.0, MAX_OBSERVED_WAIT_MS) - self.wait_ms);
    }

    /// Records that the instance rejected a statement because its queue was full.
    pub fn record_rejection(&mut self, now: Time) {
        self.advance(now);
        self.wait_ms = self.wait_ms.max(REJECTION_WAIT_MS);
    }

    /// Applies the time since the last call: decays the wait, adjusts the admitted fraction to it
    /// and refills the budget.
    fn advance(&mut self, now: Time) {
        let elapsed_s = now.since(self.advanced_at).as_secs_f64();
        self.advanced_at = now;

        let half_lives = elapsed_s / WAIT_HALF_LIFE.as_secs_f64();
        self.wait_ms *= 0.5_f64.powf(half_lives.min(60.0));

        let deviation = (self.wait_ms.max(1.0) / WAIT_TARGET_MS).ln();
        let rate = if deviation > 0.0 { DECREASE_RATE } else { INCREASE_RATE };
        let step = deviation.clamp(-MAX_LOG_DEVIATION, MAX_LOG_DEVIATION) * rate * elapsed_s;
        self.admitted_fraction =
            (self.admitted_fraction * (-step).exp()).clamp(MIN_ADMITTED_FRACTION, 1.0);

        self.budget_ms = (self.budget_ms + self.share_ms_per_s * elapsed_s)
            .min(self.share_ms_per_s * MAX_BURST.as_secs_f64());
    }
}
