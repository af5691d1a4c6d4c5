//! Access to the host's clocks.
//!
//! Invariant: every lease and timeout is checked against the boot-time clock (`CLOCK_BOOTTIME`),
//! which includes time spent suspended, so that a process that was frozen sees how long it was
//! stopped.

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

use crate::time::Time;

/// The clocks of this host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// The current time on the boot-time clock.
    #[must_use]
    pub fn now(self) -> Time {
        let ts = clock_gettime(ClockId::Boottime);
        let secs = u64::try_from(ts.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(ts.tv_nsec).unwrap_or(0);
        Time::from_micros(secs * 1_000_000 + nanos / 1_000)
    }

    /// Milliseconds since the Unix epoch, for logs and the timeline only.
    #[must_use]
    pub fn wall_ms(self) -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    }
}
