//! How many connections a daemon opens, and how many at once.
//!
//! Answers the start of a whole fleet: every daemon greets every instance, each greeting occupies a
//! slot, and statements wait behind the greetings. A statement that waits holds its connection
//! longer, which is a reason to open more and makes the wait longer still.

use crate::typical::Typical;

/// Connections to all instances that are being opened at once, while greetings are answered without
/// a wait.
const AT_ONCE: u32 = 3;

/// The same while greetings wait for slots.
const AT_ONCE_WAITING: u32 = 1;

/// Connections to one instance that are being opened at once.
const AT_ONCE_EACH: usize = 1;

/// A greeting that took so much longer than usual has waited for a slot: a fraction of the wait at
/// which an instance counts as congested.
const WAIT_MS: f64 = 20.0;

/// What greetings tell of the fleet's load.
#[derive(Clone, Copy, Debug)]
pub struct Greetings {
    usual: Typical,
    is_waiting: bool,
}

impl Default for Greetings {
    fn default() -> Self {
        Self::new()
    }
}

impl Greetings {
    /// What is known at the start: greetings may wait, since all daemons may have started together.
    #[must_use]
    pub fn new() -> Self {
        Self { usual: Typical::new(), is_waiting: true }
    }

    /// The most connections that are being opened at once to all instances.
    #[must_use]
    pub fn most_at_once() -> u32 {
        AT_ONCE
    }

    /// How many may be opened at once now.
    #[must_use]
    pub fn at_once(&self) -> u32 {
        if self.is_waiting { AT_ONCE_WAITING } else { AT_ONCE }
    }

    /// Takes in how long a greeting took; returns how long of it was a wait, in milliseconds.
    pub fn answered(&mut self, took_ms: f64, has_room: bool) -> f64 {
        let wait_ms = took_ms - self.usual.ms();
        self.is_waiting = wait_ms > WAIT_MS;
        self.usual.observe(took_ms, has_room);
        wait_ms
    }
}

/// The connections of one daemon to one instance that are not idle.
#[derive(Clone, Copy, Debug, Default)]
pub struct InUse {
    /// Those that sessions hold.
    pub lent: usize,
    /// Those among them that open transactions keep, also while their callers pause.
    pub pinned: usize,
    /// Those that are being opened.
    pub opening: usize,
}

impl InUse {
    /// Whether no connection is lent or being opened.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lent + self.opening == 0
    }

    /// Whether one more may be opened to an instance that takes `cap` from all daemons.
    ///
    /// Where statements wait for slots, a second connection only makes the queue longer, and its
    /// greeting takes a slot from a statement. One daemon alone must not take the whole cap.
    #[must_use]
    pub fn may_open(&self, cap: usize, is_congested: bool) -> bool {
        let is_within_cap = self.lent + self.opening < (cap / 2).max(1);
        let busy = self.lent.saturating_sub(self.pinned) + self.opening;
        self.opening < AT_ONCE_EACH && is_within_cap && (busy == 0 || !is_congested)
    }
}
