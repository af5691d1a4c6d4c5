//! Pauses between calls to the store that fail.

use std::time::Duration;

use persimmon_interfaces::ObjectKind;
use rand::Rng;

/// Initial retry delay after a failed call; it doubles with each failure and is jittered.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Maximum retry delay for the table: half of the time within which a change must become active
/// after a store outage.
const TABLE_MAX_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Maximum retry delay for the directory: entries that expired during a store outage return two
/// seconds after it.
const DIRECTORY_MAX_RETRY_DELAY: Duration = Duration::from_millis(2_500);

/// The pauses between calls about one kind of objects that fail in a row.
pub(super) struct Backoff {
    max_pause: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates the pauses after a call that succeeded.
    pub(super) fn new(kind: ObjectKind) -> Self {
        let max_pause = if kind == ObjectKind::Table {
            TABLE_MAX_RETRY_DELAY
        } else {
            DIRECTORY_MAX_RETRY_DELAY
        };
        Self { max_pause, failures: 0 }
    }

    /// Waits after a failure.
    pub(super) async fn pause(&mut self) {
        let max_pause = INITIAL_RETRY_DELAY * 2_u32.saturating_pow(self.failures.min(6));
        let max_pause = max_pause.min(self.max_pause);
        self.failures += 1;
        let pause = max_pause.mul_f64(rand::rng().random_range(0.6..1.0));
        tokio::time::sleep(pause).await;
    }
}
