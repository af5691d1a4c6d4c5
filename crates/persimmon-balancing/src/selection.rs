//! Selects the instance that runs a statement.
//!
//! Handles uneven load, slow instances and failing instances. Each daemon ranks instances by what
//! its own statements observed, because a signal shared by all daemons would make them all switch
//! to the same instance at once.

use std::time::Duration;

use persimmon_types::{Position, Time};

/// Weight of a new observation in the moving averages.
const AVERAGE_WEIGHT: f64 = 0.2;

/// Half-life of observations: without new answers they fade towards neutral, so that an avoided
/// instance is tried again.
const OBSERVATION_HALF_LIFE: Duration = Duration::from_secs(2);

/// First pause after an instance could not be reached. One statement tries it afterwards.
const UNREACHABLE_BACKOFF_MIN: Duration = Duration::from_millis(400);

/// Longest pause after repeated failures to reach an instance.
const UNREACHABLE_BACKOFF_MAX: Duration = Duration::from_millis(3_200);

/// First pause after a replica lacked a position. It applies to reads at positions that the replica
/// is not known to have applied.
const LAGGING_BACKOFF_MIN: Duration = Duration::from_millis(60);

/// Longest such pause while the replica keeps lagging.
const LAGGING_BACKOFF_MAX: Duration = Duration::from_millis(240);

/// Cost factor of the primary. Only the primary can serve writes, so replicas take every read that
/// the freshness rules allow until they are slower than the primary by this factor.
const PRIMARY_COST_FACTOR: f64 = 2.5;

/// Added cost, in statements, where a connection must be opened first: the handshake occupies a
/// slot for about as long as a statement, and the statement waits for it.
const HANDSHAKE_COST: f64 = 1.5;

/// The same for a connection that only one workspace can use: it also closes one of another
/// workspace, which has to open it again. The reads of a small workspace then stay at one instance.
const WORKSPACE_HANDSHAKE_COST: f64 = 6.0;

/// What one daemon has observed at one instance.
#[derive(Clone, Debug)]
pub struct InstanceLoad {
    /// Statements in flight from this daemon.
    pub in_flight: u32,
    /// Moving average of statement durations, relative to the route's mean over all instances.
    relative_latency: f64,
    /// Moving average of the share of statements that failed, from 0 to 1.
    failure_rate: f64,
    observed_at: Time,
    avoid_until: Time,
    unreachable_backoff: Duration,
    /// Highest position known to be applied.
    applied: Position,
    lagging_until: Time,
    lagging_backoff: Duration,
}

impl Default for InstanceLoad {
    fn default() -> Self {
        Self::new()
    }
}

impl InstanceLoad {
    /// Creates the load of an instance without observations.
    #[must_use]
    pub fn new() -> Self {
        Self {
            in_flight: 0,
            relative_latency: 1.0,
            failure_rate: 0.0,
            observed_at: Time::ZERO,
            avoid_until: Time::ZERO,
            unreachable_backoff: UNREACHABLE_BACKOFF_MIN,
            applied: Position::default(),
            lagging_until: Time::ZERO,
            lagging_backoff: LAGGING_BACKOFF_MIN,
        }
    }

    /// Records an answer: its duration relative to the route's mean, and whether the statement
    /// failed. Ends the pause of an unreachable instance.
    pub fn record_answer(&mut self, now: Time, relative_latency: f64, has_failed: bool) {
        self.decay(now);
        self.relative_latency +=
            AVERAGE_WEIGHT * (relative_latency.clamp(0.05, 20.0) - self.relative_latency);
        let failed = if has_failed { 1.0 } else { 0.0 };
        self.failure_rate += AVERAGE_WEIGHT * (failed - self.failure_rate);
        self.unreachable_backoff = UNREACHABLE_BACKOFF_MIN;
        self.avoid_until = Time::ZERO;
    }

    /// Records that the instance could not be reached or did not answer. The pause that follows
    /// doubles with each failure.
    pub fn record_unreachable(&mut self, now: Time) {
        self.avoid_until = now + self.unreachable_backoff;
        self.unreachable_backoff = (self.unreachable_backoff * 2).min(UNREACHABLE_BACKOFF_MAX);
    }

    /// Records a position that the instance has applied.
    pub fn record_applied(&mut self, position: Position) {
        if position > self.applied || position.term > self.applied.term {
            self.applied = position;
            self.lagging_backoff = LAGGING_BACKOFF_MIN;
            self.lagging_until = Time::ZERO;
        }
    }

    /// Records that the instance's log lacked a position that a read required.
    pub fn record_lagging(&mut self, now: Time) {
        self.lagging_until = now + self.lagging_backoff;
        self.lagging_backoff = (self.lagging_backoff * 2).min(LAGGING_BACKOFF_MAX);
    }

    /// Whether the instance is paused after it could not be reached.
    #[must_use]
    pub fn is_avoided(&self, now: Time) -> bool {
        now < self.avoid_until
    }

    /// Whether the instance is expected to lack `min_position`.
    #[must_use]
    pub fn is_lagging(&self, now: Time, min_position: Position) -> bool {
        let has_applied =
            self.applied.term == min_position.term && self.applied.lsn >= min_position.lsn;
        !has_applied && now < self.lagging_until
    }

    fn decay(&mut self, now: Time) {
        let half_lives =
            now.since(self.observed_at).as_secs_f64() / OBSERVATION_HALF_LIFE.as_secs_f64();
        let remaining = 0.5_f64.powf(half_lives.min(60.0));
        self.relative_latency = 1.0 + (self.relative_latency - 1.0) * remaining;
        self.failure_rate *= remaining;
        self.observed_at = now;
    }

    /// The expected cost of one more statement: 1 for an idle instance of average speed without
    /// failures.
    #[must_use]
    pub fn cost(&self, now: Time) -> f64 {
        let mut decayed = self.clone();
        decayed.decay(now);
        let retry_factor = 1.0 / (1.0 - decayed.failure_rate.min(0.9)).powi(2);
        decayed.relative_latency * f64::from(decayed.in_flight + 1) * retry_factor
    }
}

/// An instance that may run a statement.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its index in the caller's list, which [`choose_instance`] returns.
    pub index: usize,
    /// This daemon's observations of the instance.
    pub load: &'a InstanceLoad,
    /// Whether it is believed to be the primary.
    pub is_primary: bool,
    /// Whether it is in this daemon's failure domain.
    pub is_local: bool,
    /// Whether an earlier attempt of this statement went to it.
    pub was_tried: bool,
    /// Whether an open connection is available, or will be sooner than a new one.
    pub is_connected: bool,
    /// Whether a new connection could be used by one workspace only.
    pub is_for_workspace: bool,
}

/// Chooses the instance with the lowest expected cost for a statement that must read at
/// `min_position` or above.
///
/// Returns the index of the candidate, or `None` if every candidate was tried, is unreachable or is
/// expected to lag. The search begins at `start`, which the caller draws at random: otherwise all
/// daemons would choose the same one among equals.
#[must_use]
pub fn choose_instance(
    now: Time,
    min_position: Position,
    candidates: &[Candidate<'_>],
    start: usize,
) -> Option<usize> {
    let mut best: Option<(f64, usize)> = None;
    let (before, after) = candidates.split_at(start.min(candidates.len()));
    for candidate in after.iter().chain(before) {
        if candidate.was_tried || candidate.load.is_avoided(now) {
            continue;
        }
        if !candidate.is_primary && candidate.load.is_lagging(now, min_position) {
            continue;
        }
        let mut cost = candidate.load.cost(now);
        if candidate.is_primary {
            cost *= PRIMARY_COST_FACTOR;
        }
        if !candidate.is_local {
            // Traffic between failure domains is expensive: prefer a local instance that costs
            // nearly the same.
            cost *= 1.1;
        }
        if !candidate.is_connected {
            cost +=
                if candidate.is_for_workspace { WORKSPACE_HANDSHAKE_COST } else { HANDSHAKE_COST };
        }
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, candidate.index));
        }
    }
    best.map(|(_, index)| index)
}
