//! How long a route's statements usually take at an instance that has room.
//!
//! What a statement took beyond that is how long it waited, which is what placing and admission go
//! by. Only answers of instances with room may raise the estimate: under a long overload the wait
//! would otherwise become what is usual, and no longer count as a wait.

/// The duration that is taken for a route that nothing is known of, in milliseconds.
const UNKNOWN_MS: f64 = 40.0;

/// The least weight of a new observation.
const LEAST_GAIN: f64 = 0.05;

/// One observation counts as no more than this many times the estimate: a few statements are long.
const LONGEST: f64 = 3.0;

/// The usual duration of one route's statements.
#[derive(Clone, Copy, Debug)]
pub struct Typical {
    ms: f64,
    seen: u32,
}

impl Default for Typical {
    fn default() -> Self {
        Self::new()
    }
}

impl Typical {
    /// The estimate for a route that nothing is known of.
    #[must_use]
    pub fn new() -> Self {
        Self { ms: UNKNOWN_MS, seen: 0 }
    }

    /// The usual duration in milliseconds.
    #[must_use]
    pub fn ms(&self) -> f64 {
        self.ms
    }

    /// Takes in how long a statement took, and whether its instance had room.
    pub fn observe(&mut self, took_ms: f64, has_room: bool) {
        if took_ms > self.ms && !has_room {
            return;
        }
        self.seen = self.seen.saturating_add(1);
        let gain = (1.0 / f64::from(self.seen.saturating_add(1))).max(LEAST_GAIN);
        self.ms += gain * (took_ms.min(self.ms * LONGEST) - self.ms);
    }
}
