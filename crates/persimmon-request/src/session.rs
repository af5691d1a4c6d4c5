//! Session consistency: the minimum position that the reads of a client session must reflect.
//!
//! Invariants: the minimum position only rises, and it is never lower than the writes that the
//! session has to see.

use persimmon_types::{Position, Time};

/// How the minimum position of a session is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionMode {
    /// The client has one connection at a time. One position sample of the primary, taken after the
    /// client connected, covers what it wrote over earlier connections.
    Exclusive,
    /// The client named its session and may write through another daemon at any time. Each read
    /// needs a position sample taken after the read arrived.
    Shared,
}

/// The session of one client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Session {
    min_position: Position,
    min_position_since: Time,
    mode: SessionMode,
    covers_earlier_writes: bool,
}

impl Session {
    /// Creates a session whose earlier writes are unknown.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            min_position: Position::default(),
            min_position_since: now,
            mode: SessionMode::Exclusive,
            covers_earlier_writes: false,
        }
    }

    /// Sets the mode of the session.
    #[must_use]
    pub fn with_mode(mut self, mode: SessionMode) -> Self {
        self.mode = mode;
        self
    }

    /// Whether a read that has just arrived needs a position sample of the primary.
    #[must_use]
    pub fn needs_sample(&self) -> bool {
        !self.covers_earlier_writes || self.mode == SessionMode::Shared
    }

    /// Raises the minimum position to that of the client's position token.
    ///
    /// The token covers all earlier writes of the session, so no sample is needed.
    pub fn apply_token(&mut self, now: Time, position: Position) {
        self.raise_min_position(now, position);
        self.covers_earlier_writes = true;
    }

    /// Raises the minimum position to a sample of the primary's position, taken after the session
    /// started.
    pub fn apply_sample(&mut self, now: Time, position: Position) {
        self.raise_min_position(now, position);
        self.covers_earlier_writes = true;
    }

    /// Raises the minimum position to that of a write of this session.
    pub fn apply_write(&mut self, now: Time, position: Position) {
        self.raise_min_position(now, position);
    }

    fn raise_min_position(&mut self, now: Time, position: Position) {
        if position > self.min_position {
            self.min_position = position;
            self.min_position_since = now;
        }
    }

    /// The lowest position that a read must reflect.
    #[must_use]
    pub fn min_position(&self) -> Position {
        self.min_position
    }

    /// When the minimum position last rose.
    #[must_use]
    pub fn min_position_since(&self) -> Time {
        self.min_position_since
    }
}
