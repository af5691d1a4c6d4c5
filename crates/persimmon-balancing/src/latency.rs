//! Latency baseline: how long statements of a route take without queueing.
//!
//! Time beyond the baseline is queueing wait, which instance selection and admission control use.
//! Only answers of instances with spare capacity may raise the estimate: otherwise a long overload
//! would raise the baseline to include the wait, which then would no longer be detected.

/// Estimate for a route without observations.
const INITIAL_MS: f64 = 40.0;

/// Lowest weight of a new observation.
const MIN_WEIGHT: f64 = 0.05;

/// Upper bound of one observation, relative to the estimate, because a few statements run long.
const MAX_RELATIVE_OBSERVATION: f64 = 3.0;

/// Duration of one route's statements without queueing.
#[derive(Clone, Copy, Debug)]
pub struct LatencyBaseline {
    ms: f64,
    observations: u32,
}

impl Default for LatencyBaseline {
    fn default() -> Self {
        Self::new()
    }
}

impl LatencyBaseline {
    /// Creates the estimate for a route without observations.
    #[must_use]
    pub fn new() -> Self {
        Self { ms: INITIAL_MS, observations: 0 }
    }

    /// The baseline in milliseconds.
    #[must_use]
    pub fn ms(&self) -> f64 {
        self.ms
    }

    /// Records how long a statement took, in milliseconds, and whether its instance had spare
    /// capacity.
    pub fn record(&mut self, took_ms: f64, has_capacity: bool) {
        if took_ms > self.ms && !has_capacity {
            return;
        }
        self.observations = self.observations.saturating_add(1);
        let weight = (1.0 / f64::from(self.observations.saturating_add(1))).max(MIN_WEIGHT);
        self.ms += weight * (took_ms.min(self.ms * MAX_RELATIVE_OBSERVATION) - self.ms);
    }
}
