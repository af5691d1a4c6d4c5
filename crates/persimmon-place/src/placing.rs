//! Which instance runs a statement.
//!
//! Answers uneven load, slow instances and instances that fail: each daemon ranks instances by what
//! its own statements met there, so that no shared signal makes all daemons move together.

use std::time::Duration;

use persimmon_types::{Position, Time};

/// The weight of one new observation in a moving average.
const GAIN: f64 = 0.2;

/// After this long without an answer, half of what was observed is forgotten, so that an avoided
/// instance is tried again.
const FORGET_AFTER: Duration = Duration::from_secs(2);

/// An instance that could not be reached is left alone this long, then tried by one statement.
const AVOID: Duration = Duration::from_millis(400);

/// The longest pause after repeated failures to reach an instance.
const AVOID_MAX: Duration = Duration::from_millis(3_200);

/// A copy that lacked a position is left alone this long for positions it is not known to hold.
const BEHIND_PAUSE: Duration = Duration::from_millis(60);

/// The longest such pause while the copy stays behind.
const BEHIND_PAUSE_MAX: Duration = Duration::from_millis(240);

/// How much more a read costs at the primary, which alone serves writes: copies take every read that
/// the rules allow, until they are this many times as slow.
const PRIMARY_BIAS: f64 = 2.5;

/// How much a statement costs more, in statements, where a connection has to be opened first: the
/// greeting occupies a slot about as long as a statement, and the statement waits for it.
const GREETING_COST: f64 = 1.5;

/// What one daemon has observed at one instance.
#[derive(Clone, Debug)]
pub struct Load {
    /// Statements in flight from this daemon.
    pub in_flight: u32,
    /// Time taken, relative to what the route's statements take on all instances.
    slowness: f64,
    /// The share of statements that failed there.
    failing: f64,
    observed_at: Time,
    avoid_until: Time,
    avoid: Duration,
    applied: Position,
    behind_until: Time,
    behind: Duration,
}

impl Default for Load {
    fn default() -> Self {
        Self::new()
    }
}

impl Load {
    /// The load of an instance that nothing is known of.
    #[must_use]
    pub fn new() -> Self {
        Self {
            in_flight: 0,
            slowness: 1.0,
            failing: 0.0,
            observed_at: Time::ZERO,
            avoid_until: Time::ZERO,
            avoid: AVOID,
            applied: Position::default(),
            behind_until: Time::ZERO,
            behind: BEHIND_PAUSE,
        }
    }

    /// Takes in an answer: how long it took relative to the route's mean, and whether it failed.
    pub fn answered(&mut self, now: Time, relative: f64, has_failed: bool) {
        self.forget(now);
        self.slowness += GAIN * (relative.clamp(0.05, 20.0) - self.slowness);
        let failed = if has_failed { 1.0 } else { 0.0 };
        self.failing += GAIN * (failed - self.failing);
        self.avoid = AVOID;
        self.avoid_until = Time::ZERO;
    }

    /// Takes in that the instance could not be reached or gave no answer.
    pub fn unreachable(&mut self, now: Time) {
        self.avoid_until = now + self.avoid;
        self.avoid = (self.avoid * 2).min(AVOID_MAX);
    }

    /// Takes in a position that the instance has applied.
    pub fn has_applied(&mut self, position: Position) {
        if position > self.applied || position.term > self.applied.term {
            self.applied = position;
            self.behind = BEHIND_PAUSE;
            self.behind_until = Time::ZERO;
        }
    }

    /// Takes in that the instance's log lacked a position.
    pub fn was_behind(&mut self, now: Time) {
        self.behind_until = now + self.behind;
        self.behind = (self.behind * 2).min(BEHIND_PAUSE_MAX);
    }

    /// Whether the instance is left alone for now.
    #[must_use]
    pub fn is_avoided(&self, now: Time) -> bool {
        now < self.avoid_until
    }

    /// Whether the instance is expected to lack `floor`.
    #[must_use]
    pub fn is_behind(&self, now: Time, floor: Position) -> bool {
        let holds = self.applied.term == floor.term && self.applied.lsn >= floor.lsn;
        !holds && now < self.behind_until
    }

    fn forget(&mut self, now: Time) {
        let halves = now.since(self.observed_at).as_secs_f64() / FORGET_AFTER.as_secs_f64();
        let kept = 0.5_f64.powf(halves.min(60.0));
        self.slowness = 1.0 + (self.slowness - 1.0) * kept;
        self.failing *= kept;
        self.observed_at = now;
    }

    /// The expected cost of one more statement.
    #[must_use]
    pub fn cost(&self, now: Time) -> f64 {
        let mut aged = self.clone();
        aged.forget(now);
        let retries = 1.0 / (1.0 - aged.failing.min(0.9)).powi(2);
        aged.slowness * f64::from(aged.in_flight + 1) * retries
    }
}

/// An instance that may run a statement.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its place in the caller's list.
    pub index: usize,
    /// What was observed there.
    pub load: &'a Load,
    /// Whether it is believed to lead.
    pub is_primary: bool,
    /// Whether it stands in this daemon's failure domain.
    pub is_near: bool,
    /// Whether this statement has been there already.
    pub was_tried: bool,
    /// Whether a connection is ready.
    pub is_connected: bool,
}

/// Chooses the instance with the lowest expected cost, or none if every one is avoided.
///
/// The search begins at `start`, which the caller draws at random: among equals, all daemons would
/// otherwise choose the same.
#[must_use]
pub fn choose(
    now: Time,
    floor: Position,
    candidates: &[Candidate<'_>],
    start: usize,
) -> Option<usize> {
    let mut best: Option<(f64, usize)> = None;
    let (before, after) = candidates.split_at(start.min(candidates.len()));
    for candidate in after.iter().chain(before) {
        if candidate.was_tried || candidate.load.is_avoided(now) {
            continue;
        }
        if !candidate.is_primary && candidate.load.is_behind(now, floor) {
            continue;
        }
        let mut cost = candidate.load.cost(now);
        if candidate.is_primary {
            cost *= PRIMARY_BIAS;
        }
        if !candidate.is_near {
            // Bytes between failure domains are dear; a nearly equal instance at home is better.
            cost *= 1.1;
        }
        if !candidate.is_connected {
            cost += GREETING_COST;
        }
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, candidate.index));
        }
    }
    best.map(|(_, index)| index)
}
