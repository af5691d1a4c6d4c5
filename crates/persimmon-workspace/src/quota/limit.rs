//! The limit that follows from a quota and the bounds of a deployment.

use std::time::Duration;

use crate::workspace::Quota;

/// How long a share is leased to a coordinator after the coordinator's stamp on which the lease
/// rests.
pub const LEASE_TIME: Duration = Duration::from_millis(1_200);

/// How long after its proof a registration is valid, by the clock of its daemon. A daemon that gets no
/// proof has ended its leases by then.
pub const REGISTRATION_TIME: Duration = Duration::from_millis(3_000);

/// How long a coordinator with a majority of the votes proves registrations without a version of the
/// record that was current.
pub const RECORD_TIME: Duration = Duration::from_secs(300);

/// The longest time for which a token is valid. Longer ones save few messages.
pub const MAX_VALIDITY: Duration = Duration::from_secs(2);

/// The shortest validity that leaves time for a round trip and for a wait at an instance.
const MIN_VALIDITY: Duration = Duration::from_millis(300);

/// The time before its expiry from which a token is not given to a new statement, at most.
const MAX_MIN_LEFT: Duration = Duration::from_millis(250);

/// Capacity that serves random arrivals near the rate: tokens, and standard deviations of the
/// arrivals of a second.
const RANDOM_CAPACITY: (f64, f64) = (6.0, 3.0);

/// Part of the burst that capacity covers at least. Statements that wait for a token get the rest.
const BURST_PART: f64 = 0.25;

/// Part of what the bound allows beyond the rate that capacity may use; the rest is for the validity
/// of tokens and a higher rate. With 0.5, loads of 0.6 of a rate of 2 to 9 a second that came in threes
/// were refused in 1.4 % of cases.
const CAPACITY_PART: f64 = 0.75;

/// Part of that rest for the validity of tokens, which saves messages. What is left raises the rate: a
/// workspace that never exceeds the bound of a window may exceed the rate of its quota for long.
const VALIDITY_PART: f64 = 0.3;

/// Part of the slack that lease starts may add: a whole token for each start at a window of 5 s and a
/// slack of 20.
const START_PART: f64 = 0.35;

/// Part of the slack kept for statements that a daemon sends late, because it was frozen between
/// the check of the token and the call of the operating system: one for each frozen daemon.
const LATE_PART: f64 = 0.1;

/// How far the operations of a workspace may exceed its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The length of the sliding window over which a quota holds.
    pub window: Duration,
    /// The part of the quota by which it may be exceeded.
    pub overage: f64,
    /// The operations by which it may be exceeded besides.
    pub slack: f64,
}

impl Bounds {
    /// The largest number of operations in a window.
    #[must_use]
    pub fn max_operations(&self, quota: Quota) -> f64 {
        let window = self.window.as_secs_f64();
        (quota.rate_per_s * window + quota.burst) * (1.0 + self.overage) + self.slack
    }

    /// The time within which tokens that are spent in one window can be granted.
    #[must_use]
    pub fn grant_span(&self) -> Duration {
        self.window + MAX_VALIDITY
    }
}

/// What the coordinators may grant of one workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Tokens per second at a fill of one.
    pub rate: f64,
    /// The most tokens that a bucket holds at a fill of one.
    pub capacity: f64,
    /// Tokens that a coordinator's bucket gains when the leases of the whole fleet start there.
    pub start_credit: f64,
    /// The time from a request to the end of the tokens that it is granted.
    pub validity: Duration,
}

impl Limit {
    /// Computes the limit of a quota.
    ///
    /// The tokens spent in one window were granted within `window + validity`, so that
    /// `capacity + rate x (window + validity) + starts x start_credit` is at most the bound.
    #[must_use]
    pub fn new(quota: Quota, bounds: &Bounds) -> Self {
        let window = bounds.window.as_secs_f64();
        let usable = bounds.max_operations(quota) - bounds.slack * (START_PART + LATE_PART);
        let random = RANDOM_CAPACITY.0 + RANDOM_CAPACITY.1 * quota.rate_per_s.sqrt();
        let allowance = (usable - quota.rate_per_s * window).max(0.0);
        let for_rate = allowance - quota.rate_per_s * MIN_VALIDITY.as_secs_f64();
        let most = for_rate.clamp(0.0, CAPACITY_PART * allowance);
        let wanted = random.max(BURST_PART * quota.burst).min(most);
        // Without a whole token nothing could be granted.
        let capacity = wanted.max(usable.clamp(0.0, 1.0));
        let rest = (allowance - capacity).max(0.0);
        let validity = VALIDITY_PART * rest / quota.rate_per_s;
        let validity = if validity.is_finite() { validity } else { MAX_VALIDITY.as_secs_f64() };
        let validity = validity.clamp(MIN_VALIDITY.as_secs_f64(), MAX_VALIDITY.as_secs_f64());
        let rate = if quota.rate_per_s > 0.0 {
            (usable - capacity).max(0.0) / (window + validity)
        } else {
            0.0
        };
        let starts = max_lease_starts(window + validity);
        Self {
            rate,
            capacity,
            start_credit: bounds.slack * START_PART / starts,
            validity: Duration::from_secs_f64(validity),
        }
    }

    /// The time before its expiry from which a token is no longer given to a new statement, so that
    /// the statement has time to reach an instance.
    #[must_use]
    pub fn min_left(&self) -> Duration {
        MAX_MIN_LEFT.min(self.validity / 2)
    }
}

/// The largest number of leases of one member that start within `span` seconds: it starts them at
/// least [`LEASE_TIME`] apart, and each starts within [`LEASE_TIME`] of when it was sent.
fn max_lease_starts(span: f64) -> f64 {
    ((span + LEASE_TIME.as_secs_f64()) / LEASE_TIME.as_secs_f64()).floor() + 1.0
}
