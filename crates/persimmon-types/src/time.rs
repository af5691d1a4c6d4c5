//! Instants on a daemon's own clock, and hybrid logical clock (HLC) timestamps that order events
//! across processes.
//!
//! Invariant: a [`Time`] is never compared with one taken on another host.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// An instant in microseconds on a clock that keeps counting while the host is suspended.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(u64);

impl Time {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);

    /// Creates an instant from microseconds since the clock's origin.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates an instant from milliseconds since the clock's origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Microseconds since the clock's origin.
    #[must_use]
    pub fn as_micros(self) -> u64 {
        self.0
    }

    /// The time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)))
    }
}

/// A hybrid logical clock timestamp: wall-clock milliseconds and a tie-breaking counter.
///
/// A process that merges every timestamp it receives into its own orders a cause before its effect
/// even if the hosts' wall clocks differ.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HlcTimestamp {
    /// Milliseconds since the Unix epoch, never less than that of any timestamp received.
    pub wall_ms: u64,
    /// Orders timestamps within one millisecond.
    pub counter: u32,
}

impl HlcTimestamp {
    /// Returns the timestamp of a new local event at wall-clock time `wall_ms`; it is greater than
    /// `self`.
    #[must_use]
    pub fn next(self, wall_ms: u64) -> Self {
        if wall_ms > self.wall_ms {
            return Self { wall_ms, counter: 0 };
        }
        Self { wall_ms: self.wall_ms, counter: self.counter + 1 }
    }

    /// Returns the timestamp after receiving `other` at wall-clock time `wall_ms`.
    #[must_use]
    pub fn merge(self, other: Self, wall_ms: u64) -> Self {
        self.max(other).next(wall_ms)
    }
}
