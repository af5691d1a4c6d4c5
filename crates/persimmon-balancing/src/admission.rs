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
//!
//! A daemon with a large share, such as the owner of a service that sends the work of all others,
//! observes the wait soon and in large samples. It limits its statements in flight instead: the
//! limit falls while they wait for longer than the target, and rises otherwise.

use std::time::Duration;

use persimmon_types::Time;

use crate::concurrency::ConcurrencyLimit;

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

/// Share above which a daemon limits its statements in flight: half of a slot. A smaller share is
/// less than one statement at a time.
const LARGE_SHARE_MS_PER_S: f64 = 500.0;

/// Lowest limit of statements in flight, so that a recovery of the instance is noticed.
const MIN_IN_FLIGHT: f64 = 0.8;

/// Highest limit of statements in flight, the length of an instance's queue.
const MAX_IN_FLIGHT: f64 = 40.0;

/// How fast the limit of statements in flight follows the wait, per second, as for
/// [`DECREASE_RATE`]: few daemons follow it, and each observes much of the load.
const IN_FLIGHT_RATE: f64 = 2.0;

/// Factor of the limit for important work.
const IMPORTANT_WORK_FACTOR: f64 = 1.5;

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
    /// Statements in flight up to which a daemon with a large share admits new work.
    in_flight_limit: f64,
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
            in_flight_limit: MAX_IN_FLIGHT,
            advanced_at: Time::ZERO,
        }
    }

    /// Sets the share from the instance's number of slots and the number of daemons. If the latter
    /// is unknown (`None`), the daemon has no share.
    pub fn set_share(&mut self, slots: u32, daemons: Option<usize>) {
        let slot_ms = f64::from(slots) * 1_000.0 * SHARED_SLOT_FRACTION;
        self.share_ms_per_s = daemons.map_or(0.0, |d| slot_ms / d.max(1) as f64);
    }

    /// Whether the daemon's share is so large that it limits its statements in flight.
    #[must_use]
    pub fn limits_in_flight(&self) -> bool {
        self.share_ms_per_s >= LARGE_SHARE_MS_PER_S
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
    /// `priority` is more important, `in_flight` is the number of this daemon's statements at the
    /// instance, and `draw` is a random number from 0 to 1.
    pub fn admit(
        &mut self,
        now: Time,
        cost_ms: f64,
        priority: u8,
        in_flight: u32,
        draw: f64,
    ) -> Admission {
        self.advance(now);
        if self.limits_in_flight() {
            return self.admit_by_in_flight(priority, in_flight, draw);
        }
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

    /// Admits new work while few statements are in flight. A fractional limit is met on average.
    fn admit_by_in_flight(&self, priority: u8, in_flight: u32, draw: f64) -> Admission {
        let factor = if priority < NORMAL_PRIORITY { IMPORTANT_WORK_FACTOR } else { 1.0 };
        if f64::from(in_flight) + draw < self.in_flight_limit * factor {
            return Admission::Admitted;
        }
        let spread = MAX_RETRY_AFTER.saturating_sub(MIN_RETRY_AFTER) / 2;
        Admission::RetryAfter(MIN_RETRY_AFTER + spread.mul_f64(draw))
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

        let deviation = deviation.clamp(-MAX_LOG_DEVIATION, MAX_LOG_DEVIATION);
        let step = deviation * IN_FLIGHT_RATE * elapsed_s;
        self.in_flight_limit =
            (self.in_flight_limit * (-step).exp()).clamp(MIN_IN_FLIGHT, MAX_IN_FLIGHT);

        self.budget_ms = (self.budget_ms + self.share_ms_per_s * elapsed_s)
            .min(self.share_ms_per_s * MAX_BURST.as_secs_f64());
    }
}

/// The limit by the observed wait.
impl ConcurrencyLimit for AdmissionController {
    fn limit(&self, now: Time) -> f64 {
        let mut advanced = self.clone();
        advanced.advance(now);
        advanced.in_flight_limit
    }
}
