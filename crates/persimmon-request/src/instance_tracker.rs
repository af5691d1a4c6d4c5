//! Tracks the positions, failures and outstanding requests of instances, per traffic thread.
//!
//! Nothing is polled: instances report their positions on connections that carry traffic, so the
//! cost depends on the traffic and not on the number of databases.
//!
//! Invariant: a [`PositionReport`] is a lower bound on the applied position and an upper bound on
//! the staleness, valid only for the instance process that reported it.

use std::time::Duration;

use persimmon_types::{InstanceId, Position, TermHistory, Time};

/// An applied position as a replica reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PositionReport {
    /// Identifies the process of the instance; changes when the instance restarts.
    pub incarnation: u64,
    /// The position that the replica had applied.
    pub applied: Position,
    /// The staleness of its data.
    pub age: Duration,
    /// When the position was requested.
    pub requested_at: Time,
}

/// The state of one instance.
#[derive(Clone, Debug, Default)]
struct TrackedInstance {
    last_report: Option<PositionReport>,
    outstanding: u32,
    avoid_until: Time,
    next_check_at: Time,
    /// The lowest minimum position that the instance was recently found not to have applied.
    lowest_unapplied: Position,
}

/// The state of all instances, as one traffic thread has seen it on its own requests.
#[derive(Clone, Debug, Default)]
pub struct InstanceTracker {
    instances: Vec<TrackedInstance>,
}

/// How long a failed instance is avoided if another one can serve the read.
const FAILURE_AVOIDANCE: Duration = Duration::from_millis(1_000);

/// Minimum delay between two position checks of a lagging instance.
const MIN_CHECK_DELAY: Duration = Duration::from_millis(5);

/// Maximum delay between two position checks of a lagging instance.
const MAX_CHECK_DELAY: Duration = Duration::from_millis(500);

impl InstanceTracker {
    /// Creates an empty tracker.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn entry(&mut self, id: InstanceId) -> &mut TrackedInstance {
        if self.instances.len() <= id.index() {
            self.instances.resize_with(id.index() + 1, TrackedInstance::default);
        }
        &mut self.instances[id.index()]
    }

    fn get(&self, id: InstanceId) -> Option<&TrackedInstance> {
        self.instances.get(id.index())
    }

    /// Removes all state. Needed for each new table, because instance ids are assigned anew.
    pub fn clear(&mut self) {
        self.instances.clear();
    }

    /// Records a position report and ends the avoidance after a failure. An older report does not
    /// replace a newer one.
    pub fn record_report(&mut self, id: InstanceId, report: PositionReport) {
        let entry = self.entry(id);
        let is_newer =
            entry.last_report.is_none_or(|last| report.requested_at >= last.requested_at);
        if is_newer {
            entry.last_report = Some(report);
        }
        entry.avoid_until = Time::ZERO;
    }

    /// Records that an instance has not applied `min_position`, which delays the next check for
    /// this or a later position.
    pub fn record_lagging(&mut self, id: InstanceId, now: Time, min_position: Position) {
        let entry = self.entry(id);
        let is_check_delayed = entry.next_check_at > now;
        entry.lowest_unapplied =
            if is_check_delayed { entry.lowest_unapplied.min(min_position) } else { min_position };
        let age = entry.last_report.map(|report| report.age).unwrap_or_default();
        entry.next_check_at = now + (age / 4).clamp(MIN_CHECK_DELAY, MAX_CHECK_DELAY);
    }

    /// Records a failed request: the instance is avoided for a while and its report is dropped.
    pub fn record_failure(&mut self, id: InstanceId, now: Time) {
        let entry = self.entry(id);
        entry.avoid_until = now + FAILURE_AVOIDANCE;
        entry.last_report = None;
    }

    /// Records the start of a request to an instance.
    pub fn record_start(&mut self, id: InstanceId) {
        self.entry(id).outstanding += 1;
    }

    /// Records the end of a request to an instance.
    pub fn record_end(&mut self, id: InstanceId) {
        let entry = self.entry(id);
        entry.outstanding = entry.outstanding.saturating_sub(1);
    }

    /// The number of outstanding requests of this thread on an instance.
    #[must_use]
    pub fn outstanding(&self, id: InstanceId) -> u32 {
        self.get(id).map_or(0, |i| i.outstanding)
    }

    /// Whether an instance failed recently and is to be avoided.
    #[must_use]
    pub fn is_avoided(&self, id: InstanceId, now: Time) -> bool {
        self.get(id).is_some_and(|i| i.avoid_until > now)
    }

    /// Whether the last report shows that an instance has applied `min_position` and that its
    /// staleness is at most `max_age`.
    #[must_use]
    pub fn is_fresh_enough(
        &self,
        id: InstanceId,
        now: Time,
        term_history: &TermHistory,
        min_position: Position,
        max_age: Duration,
    ) -> bool {
        let Some(report) = self.get(id).and_then(|i| i.last_report) else {
            return false;
        };
        term_history.has_applied(report.applied, min_position)
            && report.age + now.since(report.requested_at) <= max_age
    }

    /// Whether to check the position of an instance against `min_position`, which was raised at
    /// `min_position_since`.
    ///
    /// An instance is expected to apply a write within the staleness that it last reported. An
    /// earlier check costs a round trip, and the read goes to the primary anyway.
    #[must_use]
    pub fn is_worth_checking(
        &self,
        id: InstanceId,
        now: Time,
        min_position: Position,
        min_position_since: Time,
    ) -> bool {
        let Some(entry) = self.get(id) else {
            return true;
        };
        if entry.next_check_at > now && min_position >= entry.lowest_unapplied {
            return false;
        }
        let expected_lag = entry.last_report.map(|report| report.age).unwrap_or_default();
        now.since(min_position_since) >= expected_lag
    }

    /// The last position report of an instance.
    #[must_use]
    pub fn last_report(&self, id: InstanceId) -> Option<PositionReport> {
        self.get(id).and_then(|i| i.last_report)
    }
}
