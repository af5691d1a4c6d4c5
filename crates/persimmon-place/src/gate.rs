//! How much new work a daemon sends to one instance.
//!
//! Answers load above an instance's capacity, seen late and in small samples by many daemons that do
//! not know of each other's. A full queue makes every statement late, and a transaction of many
//! statements then never ends in time, so that slots are spent on work that nobody waits for.
//!
//! Two mechanisms together decide. A daemon's share of the instance's slots is admitted whatever the
//! others do, so that no daemon starves on a few unlucky observations. Beyond it, work is admitted
//! with a probability that falls with the wait that statements met: each daemon's estimate is noisy,
//! but the sum over the fleet is not. Short work has the better chance: it holds up others least.
//! Statements of open transactions are never held back, and count as spent.

use std::time::Duration;

use persimmon_types::Time;

/// Statements that wait longer than this on average show that the instance is congested: a fraction
/// of the tightest objective of callers, so that a transaction of several statements still meets it.
const WAIT_TARGET_MS: f64 = 30.0;

/// The weight of a new observation of the wait.
const WAIT_GAIN: f64 = 0.3;

/// A single observation counts as no longer than this: some statements simply take long.
const LONGEST_WAIT_MS: f64 = 300.0;

/// What a refusal says of the wait: the instance's queue is full.
const REFUSED_WAIT_MS: f64 = 150.0;

/// Half of the observed wait is forgotten in this time: a daemon that sends little must not act on
/// what was the case seconds ago.
const WAIT_HALF_LIFE: Duration = Duration::from_millis(3_000);

/// The part of an instance's slots that is divided among all daemons. Callers are spread unevenly,
/// so that some daemons leave a part of their share unused.
const SHARED_SLOTS: f64 = 0.7;

/// What a daemon may save up of its share, as time.
const BURST: Duration = Duration::from_millis(1_000);

/// How fast the open part of the gate follows the wait, a second: its logarithm changes by this times
/// the logarithm of the wait over its target.
const CORRECTION: f64 = 0.5;

/// The same while the wait is below its target: slower, since the fleet opens together.
const RECOVERY: f64 = 0.3;

/// One observation counts as no further from the target than this, as a logarithm.
const LONGEST_STEP: f64 = 1.5;

/// The least part of the gate that stays open, so that the instance's return is noticed.
const LEAST_OPEN: f64 = 0.05;

/// The weight of a new statement in the usual cost of work.
const COST_GAIN: f64 = 0.05;

/// The cost of work at an instance that nothing was sent to, in milliseconds.
const UNKNOWN_COST_MS: f64 = 30.0;

/// Work counts as no shorter than this part of what is usual, and no longer than its inverse.
const SHORTEST: f64 = 0.5;

/// The priority from which on work leaves room to more important work.
const ORDINARY_PRIORITY: u8 = 2;

/// The shortest time after which a caller may come back.
const LEAST_RETRY: Duration = Duration::from_millis(100);

/// The longest such time.
const MOST_RETRY: Duration = Duration::from_millis(1_000);

/// Whether new work may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Now,
    /// Not now; there may be room after this long.
    After(Duration),
}

/// What one daemon knows of the room at one instance.
#[derive(Clone, Debug)]
pub struct Gate {
    wait_ms: f64,
    /// The part of the work beyond the daemon's share that is admitted, before the present wait is
    /// taken into account.
    open: f64,
    /// What work usually costs here, in milliseconds.
    usual_cost_ms: f64,
    /// Milliseconds of slots a second that this daemon may use in any case.
    share: f64,
    /// What is left of the share, in milliseconds of slots; negative after work that cost more.
    tokens: f64,
    /// Until when time has passed for all of these.
    advanced_at: Time,
}

impl Default for Gate {
    fn default() -> Self {
        Self::new()
    }
}

impl Gate {
    /// Creates a gate that holds nothing back.
    #[must_use]
    pub fn new() -> Self {
        Self {
            wait_ms: 0.0,
            open: 1.0,
            usual_cost_ms: UNKNOWN_COST_MS,
            share: 0.0,
            tokens: 0.0,
            advanced_at: Time::ZERO,
        }
    }

    /// Says how many slots the instance has, and how many daemons share them, if known.
    pub fn set_share(&mut self, slots: u32, daemons: Option<usize>) {
        let slot_ms = f64::from(slots) * 1_000.0 * SHARED_SLOTS;
        self.share = daemons.map_or(0.0, |d| slot_ms / d.max(1) as f64);
    }

    /// Whether work is held back.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.open < 1.0 || self.wait_ms > WAIT_TARGET_MS
    }

    /// The wait that statements met there lately, in milliseconds.
    #[must_use]
    pub fn wait_ms(&self) -> f64 {
        self.wait_ms
    }

    /// Asks to send new work of about `cost_ms`; `draw` is a random number from 0 to 1.
    pub fn admit(&mut self, now: Time, cost_ms: f64, priority: u8, draw: f64) -> Admission {
        self.advance(now);
        if !self.is_closed() || self.tokens > 0.0 {
            return Admission::Now;
        }
        let excess = (WAIT_TARGET_MS / self.wait_ms.max(1.0)).min(1.0);
        let ordinary = self.open * excess * excess;
        let size = (cost_ms / self.usual_cost_ms).clamp(SHORTEST, 1.0 / SHORTEST);
        let weight = if priority < ORDINARY_PRIORITY { size / 2.0 } else { size };
        if draw < ordinary.powf(weight) {
            return Admission::Now;
        }
        let debt = Duration::from_secs_f64(-self.tokens / self.share.max(1.0));
        Admission::After(debt.clamp(LEAST_RETRY, MOST_RETRY))
    }

    /// Takes in that work of about `cost_ms` was sent.
    pub fn sent(&mut self, now: Time, cost_ms: f64) {
        self.advance(now);
        self.usual_cost_ms += COST_GAIN * (cost_ms - self.usual_cost_ms);
        // Debts are bounded like savings: one long transaction must not close the gate for long.
        let limit = self.share * BURST.as_secs_f64() * 4.0;
        self.tokens = (self.tokens - cost_ms).max(-limit);
    }

    /// Takes in how long a statement waited for its slot.
    pub fn answered(&mut self, now: Time, wait_ms: f64) {
        self.advance(now);
        self.wait_ms += WAIT_GAIN * (wait_ms.clamp(0.0, LONGEST_WAIT_MS) - self.wait_ms);
    }

    /// Takes in that the instance refused a statement for want of room.
    pub fn refused(&mut self, now: Time) {
        self.advance(now);
        self.wait_ms = self.wait_ms.max(REFUSED_WAIT_MS);
    }

    /// Lets time pass: observations fade, the open part follows the wait, the share is refilled.
    fn advance(&mut self, now: Time) {
        let passed = now.since(self.advanced_at).as_secs_f64();
        self.advanced_at = now;

        let halves = passed / WAIT_HALF_LIFE.as_secs_f64();
        self.wait_ms *= 0.5_f64.powf(halves.min(60.0));

        let over = (self.wait_ms.max(1.0) / WAIT_TARGET_MS).ln();
        let rate = if over > 0.0 { CORRECTION } else { RECOVERY };
        let step = over.clamp(-LONGEST_STEP, LONGEST_STEP) * rate * passed;
        self.open = (self.open * (-step).exp()).clamp(LEAST_OPEN, 1.0);

        self.tokens = (self.tokens + self.share * passed).min(self.share * BURST.as_secs_f64());
    }
}
