//! How much new work a daemon sends to one instance.
//!
//! Answers load above an instance's capacity, seen late and shared by daemons that do not know of
//! each other. A full queue makes every statement late, and a transaction of many statements then
//! never ends in time, so that slots are spent on work that nobody waits for. Each daemon therefore
//! lets in a budget of work, in milliseconds of slots a second, once an instance has refused a
//! statement; it shrinks while statements wait and grows while they do not. Statements of open
//! transactions are never held back here.

use std::time::Duration;

use persimmon_types::Time;

/// Statements that wait longer than this on average show that the instance is congested: a fraction
/// of the tightest objective of callers, so that a transaction of several statements still meets it.
const WAIT_TARGET_MS: f64 = 30.0;

/// The weight of a new observation of the wait.
const WAIT_GAIN: f64 = 0.3;

/// A single observation counts as no longer than this: some statements simply take long.
const LONGEST_WAIT_MS: f64 = 300.0;

/// Half of the observed wait is forgotten in this time: a daemon that sends little must not act on
/// what was the case seconds ago.
const WAIT_HALF_LIFE: Duration = Duration::from_millis(1_500);

/// The budget changes at most this often, so that one shortage is answered once.
const CHANGE_EVERY: Duration = Duration::from_millis(250);

/// The share of the budget that is kept when the instance is congested.
const SHRINK: f64 = 0.85;

/// The growth of the budget while statements wait less than the target.
const GROW: f64 = 1.04;

/// The growth while they hardly wait.
const GROW_FAST: f64 = 1.15;

/// The least budget, in milliseconds of slots a second: a statement every few seconds still shows
/// whether the instance has room again.
const LEAST_BUDGET: f64 = 10.0;

/// What a budget may save up, as time.
const BURST: Duration = Duration::from_millis(400);

/// The time over which work sent is averaged.
const MEMORY: Duration = Duration::from_secs(2);

/// The rate of a daemon that has just begun is taken over at least this time.
const LEAST_AGE: Duration = Duration::from_millis(300);

/// The growth since the last change counts at most so many times.
const MOST_STEPS: f64 = 8.0;

/// A budget this many times what is asked for holds nothing back and is dropped.
const AMPLE: f64 = 3.0;

/// The priority from which on work leaves the last part of the budget to more important work.
const ORDINARY_PRIORITY: u8 = 2;

/// Whether new work may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Now,
    /// It may after this long.
    After(Duration),
}

/// The budget of one instance.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    /// Milliseconds of slots a second; none while nothing is held back.
    budget: Option<f64>,
    tokens: f64,
    refilled_at: Time,
    /// Work sent lately, decaying over [`MEMORY`].
    sent: f64,
    sent_at: Time,
    began: Option<Time>,
    wait_ms: f64,
    waited_at: Time,
    changed_at: Time,
}

impl Gate {
    /// Creates a gate that holds nothing back.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The budget in milliseconds of slots a second, while work is held back.
    #[must_use]
    pub fn budget(&self) -> Option<f64> {
        self.budget
    }

    /// Whether work is held back.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.budget.is_some()
    }

    fn sent_rate(&mut self, now: Time) -> f64 {
        let passed = now.since(self.sent_at).as_secs_f64() / MEMORY.as_secs_f64();
        self.sent *= (-passed).exp();
        self.sent_at = now;
        // A daemon that has just begun has not filled its memory yet.
        let age = now.since(*self.began.get_or_insert(now)).as_secs_f64();
        self.sent / MEMORY.as_secs_f64().min(age.max(LEAST_AGE.as_secs_f64()))
    }

    fn refill(&mut self, now: Time, budget: f64) {
        let passed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + budget * passed).min(budget * BURST.as_secs_f64());
    }

    /// Asks to send work that takes about `cost_ms`; what is admitted is counted.
    pub fn admit(&mut self, now: Time, cost_ms: f64, priority: u8) -> Admission {
        self.sent_rate(now);
        if let Some(budget) = self.budget {
            self.recover(now, budget);
        }
        let Some(budget) = self.budget else {
            self.sent += cost_ms;
            return Admission::Now;
        };
        self.refill(now, budget);
        let kept =
            if priority >= ORDINARY_PRIORITY { budget * BURST.as_secs_f64() / 4.0 } else { 0.0 };
        let lacking = kept - self.tokens;
        if lacking >= 0.0 {
            return Admission::After(Duration::from_secs_f64((lacking + 0.1) / budget));
        }
        // Debts are allowed: work that costs more than the budget saves up still gets its turn.
        self.tokens -= cost_ms;
        self.sent += cost_ms;
        Admission::Now
    }

    fn forget(&mut self, now: Time) {
        let halves = now.since(self.waited_at).as_secs_f64() / WAIT_HALF_LIFE.as_secs_f64();
        self.wait_ms *= 0.5_f64.powf(halves.min(60.0));
        self.waited_at = now;
    }

    /// Without any answer the budget still grows, so that a quiet daemon finds its way back.
    fn recover(&mut self, now: Time, budget: f64) {
        self.forget(now);
        if now.since(self.changed_at) >= CHANGE_EVERY * 4 {
            self.grow(now, budget);
        }
    }

    /// Takes in how long a statement waited for its slot.
    pub fn answered(&mut self, now: Time, wait_ms: f64) {
        self.forget(now);
        self.wait_ms += WAIT_GAIN * (wait_ms.clamp(0.0, LONGEST_WAIT_MS) - self.wait_ms);
        // Statements differ in length: only a refusal shows for certain that there is no room.
        let Some(budget) = self.budget else {
            return;
        };
        if self.wait_ms > WAIT_TARGET_MS {
            self.congested(now);
        } else if now.since(self.changed_at) >= CHANGE_EVERY {
            self.grow(now, budget);
        }
    }

    /// Takes in that the instance refused a statement for want of room.
    pub fn refused(&mut self, now: Time) {
        self.wait_ms = self.wait_ms.max(WAIT_TARGET_MS);
        self.congested(now);
    }

    fn congested(&mut self, now: Time) {
        if now.since(self.changed_at) < CHANGE_EVERY {
            return;
        }
        let sent = self.sent_rate(now);
        let budget = self.budget.map_or(sent, |b| b.min(sent.max(LEAST_BUDGET)));
        if self.budget.is_none() {
            self.tokens = 0.0;
            self.refilled_at = now;
        }
        self.budget = Some((budget * SHRINK).max(LEAST_BUDGET));
        self.changed_at = now;
    }

    fn grow(&mut self, now: Time, budget: f64) {
        let passed = now.since(self.changed_at).as_secs_f64() / CHANGE_EVERY.as_secs_f64();
        self.changed_at = now;
        let hardly_waits = self.wait_ms < WAIT_TARGET_MS / 3.0;
        let step = if hardly_waits { GROW_FAST } else { GROW };
        let grown = budget * step.powf(passed.clamp(1.0, MOST_STEPS));
        let asked = self.sent_rate(now).max(LEAST_BUDGET);
        self.budget = (grown < asked * AMPLE).then_some(grown);
    }
}
