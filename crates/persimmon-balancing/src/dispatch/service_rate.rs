//! The rate at which waiting statements are served, and how much longer they take than expected.

use std::time::Duration;

use persimmon_types::Time;

/// Time constant of the rate while statements wait, in milliseconds: long enough for some
/// statements at one at a time, short enough that a slow instance is noticed within half a second.
const BUSY_DECAY_MS: f64 = 300.0;

/// Time constant with which an observed rate is forgotten while none waits, in milliseconds.
const IDLE_DECAY_MS: f64 = 1_000.0;

/// Weight of the rate before observations, in milliseconds of observation.
const PRIOR_MS: f64 = 60.0;

/// Lowest rate, in milliseconds of slot time per millisecond.
const MIN_PER_MS: f64 = 0.01;

/// Weight of a new observation of how much longer a statement took.
const SLOWDOWN_WEIGHT: f64 = 0.1;

/// Bound of that factor.
const MAX_SLOWDOWN: f64 = 10.0;

/// Half-life of that factor: without answers, the instance may have recovered.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_secs(1);

/// Slot time that was dispatched while statements waited.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceRate {
    work_ms: f64,
    time_ms: f64,
    advanced_at: Time,
}

impl ServiceRate {
    /// Applies the time since the last call, during which statements waited if `is_busy`.
    pub(super) fn advance(&mut self, now: Time, is_busy: bool) {
        let elapsed_ms = now.since(self.advanced_at).as_secs_f64() * 1_000.0;
        self.advanced_at = now;
        let decay = (-elapsed_ms / if is_busy { BUSY_DECAY_MS } else { IDLE_DECAY_MS }).exp();
        self.work_ms *= decay;
        self.time_ms *= decay;
        if is_busy {
            // The elapsed time, decayed as it passes.
            self.time_ms += BUSY_DECAY_MS * (1.0 - decay);
        }
    }

    /// Records the slot time of a statement that was dispatched, in milliseconds.
    pub(super) fn record(&mut self, cost_ms: f64) {
        self.work_ms += cost_ms;
    }

    /// Slot time dispatched per unit of time; `prior` before any was observed.
    pub(super) fn per_ms(&self, prior: f64) -> f64 {
        ((self.work_ms + prior * PRIOR_MS) / (self.time_ms + PRIOR_MS)).max(MIN_PER_MS)
    }
}

/// How much longer statements take at the instance than their slot time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Slowdown {
    factor: f64,
    recorded_at: Time,
}

impl Default for Slowdown {
    fn default() -> Self {
        Self { factor: 1.0, recorded_at: Time::ZERO }
    }
}

impl Slowdown {
    /// The factor, at least 1.
    pub(super) fn factor(&self, now: Time) -> f64 {
        let half_lives =
            now.since(self.recorded_at).as_secs_f64() / SLOWDOWN_HALF_LIFE.as_secs_f64();
        1.0 + (self.factor - 1.0) * 0.5_f64.powf(half_lives.min(60.0))
    }

    /// Records an answer.
    pub(super) fn record(&mut self, now: Time, cost: Duration, took: Duration) {
        let observed = took.as_secs_f64() / cost.as_secs_f64().max(0.001);
        let before = self.factor(now);
        self.factor = before + SLOWDOWN_WEIGHT * (observed.clamp(1.0, MAX_SLOWDOWN) - before);
        self.recorded_at = now;
    }
}
