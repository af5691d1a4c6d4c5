//! How often a workspace needs a connection to an instance, and what one more connection is worth.

use std::time::Duration;

use persimmon_types::Time;

/// Half-life of observed arrivals: long against the gaps between the statements of one session, short
/// against the life of sessions, which move the load of a small workspace between daemons.
const ARRIVAL_HALF_LIFE: Duration = Duration::from_secs(15);

/// Weight of a new observation in the average time for which a statement holds a connection.
const HOLD_WEIGHT: f64 = 0.2;

/// Average hold time before any was observed.
const INITIAL_HOLD_MS: f64 = 15.0;

/// The demand of one workspace at one instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    /// Arrivals, each weighted by its age.
    weighted_arrivals: f64,
    counted_at: Time,
    hold_ms: f64,
}

impl Default for Demand {
    fn default() -> Self {
        Self { weighted_arrivals: 0.0, counted_at: Time::ZERO, hold_ms: INITIAL_HOLD_MS }
    }
}

impl Demand {
    /// Records a statement, or a transaction, that needs a connection.
    pub(crate) fn record_arrival(&mut self, now: Time) {
        self.weighted_arrivals = self.decayed(now) + 1.0;
        self.counted_at = now;
    }

    /// Records for how long one held its connection, without pauses of the client in a transaction.
    pub(crate) fn record_hold(&mut self, held: Duration) {
        self.hold_ms += HOLD_WEIGHT * (held.as_secs_f64() * 1_000.0 - self.hold_ms);
    }

    /// The average hold time in milliseconds.
    pub(crate) fn hold_ms(&self) -> f64 {
        self.hold_ms
    }

    /// Arrivals per second.
    pub(crate) fn rate_per_s(&self, now: Time) -> f64 {
        self.decayed(now) * std::f64::consts::LN_2 / ARRIVAL_HALF_LIFE.as_secs_f64()
    }

    /// Arrivals per second that find an idle connection only because there are `count` connections
    /// instead of one fewer, by Erlang's loss formula. `slots` bounds the connections that are busy
    /// on average: beyond the slots of the instance, a longer hold time is waiting.
    pub(crate) fn marginal_value(&self, now: Time, count: usize, slots: usize) -> f64 {
        let rate = self.rate_per_s(now);
        let offered = (rate * self.hold_ms / 1_000.0).min(slots.max(1) as f64);
        let (mut lost_before, mut lost) = (1.0, 1.0);
        for servers in 1..=count {
            lost_before = lost;
            lost = offered * lost / (servers as f64 + offered * lost);
        }
        rate * (lost_before - lost)
    }

    fn decayed(&self, now: Time) -> f64 {
        let half_lives = now.since(self.counted_at).as_secs_f64() / ARRIVAL_HALF_LIFE.as_secs_f64();
        self.weighted_arrivals * 0.5_f64.powf(half_lives.min(60.0))
    }
}
