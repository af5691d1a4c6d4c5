//! The session of a caller: the position below which its reads must not look.
//!
//! Invariants: the floor only rises; it is never guessed too low.

use persimmon_types::{Position, Time};

/// How the floor of a session becomes known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionMode {
    /// The caller has one connection at a time. What it wrote elsewhere before it arrived is
    /// bounded by one sample of the primary's position taken after the arrival.
    Exclusive,
    /// The caller named its session, and may write through another daemon at any moment; each read
    /// is bounded by a sample taken after the read arrived.
    Shared,
}

/// The session of one caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Session {
    floor: Position,
    floor_at: Time,
    mode: SessionMode,
    arrival_known: bool,
}

impl Session {
    /// A session that has just arrived, from nobody knows where.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            floor: Position::default(),
            floor_at: now,
            mode: SessionMode::Exclusive,
            arrival_known: false,
        }
    }

    /// The same session in another mode.
    #[must_use]
    pub fn with_mode(mut self, mode: SessionMode) -> Self {
        self.mode = mode;
        self
    }

    /// Whether the floor must be sampled before a read that arrived now.
    #[must_use]
    pub fn needs_sample(&self) -> bool {
        !self.arrival_known || self.mode == SessionMode::Shared
    }

    /// Raises the floor to a position that the caller's own token names.
    ///
    /// The token covers all that the session did before, so no sample is needed.
    pub fn take_token(&mut self, now: Time, position: Position) {
        self.raise(now, position);
        self.arrival_known = true;
    }

    /// Raises the floor to a sample of the primary's position taken after the session arrived.
    pub fn take_sample(&mut self, now: Time, position: Position) {
        self.raise(now, position);
        self.arrival_known = true;
    }

    /// Raises the floor to a write of this session.
    pub fn take_write(&mut self, now: Time, position: Position) {
        self.raise(now, position);
    }

    fn raise(&mut self, now: Time, position: Position) {
        if position > self.floor {
            self.floor = position;
            self.floor_at = now;
        }
    }

    /// The position that a read must show.
    #[must_use]
    pub fn floor(&self) -> Position {
        self.floor
    }

    /// When the floor last rose.
    #[must_use]
    pub fn floor_at(&self) -> Time {
        self.floor_at
    }
}
