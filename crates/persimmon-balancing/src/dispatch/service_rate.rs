//! The rate at which waiting statements are served, and how long they take at the instance.

use std::time::Duration;

use persimmon_types::Time;

/// Time constant of the rate of all classes while statements wait, in milliseconds: long enough for
/// some statements at one at a time, short enough that a slow instance is noticed within half a
/// second.
const BUSY_DECAY_MS: f64 = 300.0;

/// The same of one class: one that receives only its guaranteed share is served seldom.
const CLASS_BUSY_DECAY_MS: f64 = 800.0;

/// Time constant with which an observed rate is forgotten while none waits, in milliseconds.
const IDLE_DECAY_MS: f64 = 1_000.0;

/// Weight of the rate before observations, in milliseconds of observation.
const PRIOR_MS: f64 = 60.0;

/// The same of one class: the rate of all classes is far above that of a class with its guaranteed
/// share.
const CLASS_PRIOR_MS: f64 = 30.0;

/// Lowest rate, in milliseconds of slot time per millisecond.
const MIN_PER_MS: f64 = 0.01;

/// Weight of a new observation in the averages of the delay.
const DELAY_WEIGHT: f64 = 0.2;

/// Bound of one observed delay, in milliseconds, because some statements simply run long.
const MAX_DELAY_MS: f64 = 1_000.0;

/// Half-life of the delay: without answers, the instance may have recovered.
const DELAY_HALF_LIFE: Duration = Duration::from_secs(1);

/// Deviations of the delay that are allowed for when a statement is to be answered in time.
const ALLOWED_DEVIATIONS: f64 = 1.0;

/// Slot time that was dispatched while statements waited.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceRate {
    busy_decay_ms: f64,
    prior_ms: f64,
    work_ms: f64,
    time_ms: f64,
    advanced_at: Time,
}

impl ServiceRate {
    /// The rate of all classes.
    pub(super) fn of_all() -> Self {
        Self::new(BUSY_DECAY_MS, PRIOR_MS)
    }

    /// The rate of one class.
    pub(super) fn of_class() -> Self {
        Self::new(CLASS_BUSY_DECAY_MS, CLASS_PRIOR_MS)
    }

    fn new(busy_decay_ms: f64, prior_ms: f64) -> Self {
        Self { busy_decay_ms, prior_ms, work_ms: 0.0, time_ms: 0.0, advanced_at: Time::ZERO }
    }

    /// Applies the time since the last call, during which statements waited if `is_busy`.
    pub(super) fn advance(&mut self, now: Time, is_busy: bool) {
        let elapsed_ms = now.since(self.advanced_at).as_secs_f64() * 1_000.0;
        self.advanced_at = now;
        let decay = (-elapsed_ms / if is_busy { self.busy_decay_ms } else { IDLE_DECAY_MS }).exp();
        self.work_ms *= decay;
        self.time_ms *= decay;
        if is_busy {
            // The elapsed time, decayed as it passes.
            self.time_ms += self.busy_decay_ms * (1.0 - decay);
        }
    }

    /// Records the slot time of a statement that was dispatched, in milliseconds.
    pub(super) fn record(&mut self, cost_ms: f64) {
        self.work_ms += cost_ms;
    }

    /// Slot time dispatched per unit of time; `prior` before any was observed.
    pub(super) fn per_ms(&self, prior: f64) -> f64 {
        ((self.work_ms + prior * self.prior_ms) / (self.time_ms + self.prior_ms)).max(MIN_PER_MS)
    }
}

/// How much longer statements take at the instance than their slot time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Delay {
    mean_ms: f64,
    deviation_ms: f64,
    recorded_at: Time,
}

impl Delay {
    fn decayed(&self, now: Time) -> Self {
        let half_lives = now.since(self.recorded_at).as_secs_f64() / DELAY_HALF_LIFE.as_secs_f64();
        let left = 0.5_f64.powf(half_lives.min(60.0));
        let (mean_ms, deviation_ms) = (self.mean_ms * left, self.deviation_ms * left);
        Self { mean_ms, deviation_ms, recorded_at: now }
    }

    /// The mean with an allowance for its variation.
    pub(super) fn with_allowance(&self, now: Time) -> Duration {
        let Self { mean_ms, deviation_ms, .. } = self.decayed(now);
        Duration::from_secs_f64((mean_ms + ALLOWED_DEVIATIONS * deviation_ms) / 1_000.0)
    }

    /// Records an answer.
    pub(super) fn record(&mut self, now: Time, cost: Duration, took: Duration) {
        *self = self.decayed(now);
        let observed_ms = took.saturating_sub(cost).as_secs_f64() * 1_000.0;
        let difference_ms = observed_ms.min(MAX_DELAY_MS) - self.mean_ms;
        self.mean_ms += DELAY_WEIGHT * difference_ms;
        self.deviation_ms += DELAY_WEIGHT * (difference_ms.abs() - self.deviation_ms);
    }
}
