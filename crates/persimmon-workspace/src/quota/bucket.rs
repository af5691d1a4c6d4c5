//! Token buckets whose fill varies with the leases of a coordinator.

use std::collections::VecDeque;
use std::time::Duration;

use persimmon_types::Time;

use crate::quota::limit::Limit;

/// Changes of the fill that are remembered for buckets that are created later.
const MAX_HISTORY: usize = 64;

/// What flowed into every bucket since the coordinator started, in units of its limit.
#[derive(Clone, Copy, Debug, Default)]
struct Inflow {
    /// The integral of the fill in seconds; times the rate, the tokens.
    filled: f64,
    /// The sum of the parts of the fleet whose leases started; times the start credit, the tokens.
    started: f64,
}

impl Inflow {
    fn tokens_since(&self, earlier: &Self, limit: &Limit) -> f64 {
        limit.rate * (self.filled - earlier.filled)
            + limit.start_credit * (self.started - earlier.started)
    }
}

/// A change of the fill.
#[derive(Debug)]
struct Change {
    at: Time,
    inflow: Inflow,
    /// The fill from then on.
    fill: f64,
}

/// The inflow that is common to all buckets of a coordinator.
#[derive(Debug)]
pub(super) struct Supply {
    fill: f64,
    inflow: Inflow,
    /// Recent changes, oldest first.
    history: VecDeque<Change>,
    /// The time within which tokens that are spent in one window can be granted.
    span: Duration,
}

impl Supply {
    /// Creates the supply of a coordinator without leases.
    pub(super) fn new(now: Time, span: Duration) -> Self {
        let start = Change { at: now, inflow: Inflow::default(), fill: 0.0 };
        Self { fill: 0.0, inflow: Inflow::default(), history: VecDeque::from([start]), span }
    }

    /// The current fill.
    pub(super) fn fill(&self) -> f64 {
        self.fill
    }

    /// Adds the inflow of `seconds` at the current fill.
    pub(super) fn accrue(&mut self, seconds: f64) {
        self.inflow.filled += seconds * self.fill;
    }

    /// Changes the fill; `started` is the part of the fleet whose leases start with it. All buckets
    /// must have been settled.
    pub(super) fn set_fill(&mut self, now: Time, fill: f64, started: f64) {
        self.fill = fill;
        self.history.push_back(Change { at: now, inflow: self.inflow, fill });
        self.inflow.started += started;
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    /// The level of a bucket that was empty at the oldest remembered change and from which nothing
    /// was taken since.
    fn untouched_level(&self, limit: &Limit) -> f64 {
        let ends = self.history.iter().skip(1).map(|c| c.inflow).chain([self.inflow]);
        self.history.iter().zip(ends).fold(0.0, |level: f64, (from, until)| {
            let cap = limit.capacity * from.fill;
            (level.min(cap) + until.tokens_since(&from.inflow, limit)).min(cap)
        })
    }

    /// The least fill within the last `span`. A bucket from which nothing was granted for so long
    /// may be filled up to it: no window contains its grants from before and after.
    fn least_fill(&self, now: Time) -> f64 {
        let from = now - self.span;
        if self.history.front().is_none_or(|oldest| oldest.at > from) {
            return 0.0;
        }
        let last_before = self.history.partition_point(|c| c.at <= from).saturating_sub(1);
        self.history.range(last_before..).map(|c| c.fill).fold(f64::INFINITY, f64::min)
    }
}

/// The bucket of one workspace.
#[derive(Debug)]
pub(super) struct Bucket {
    limit: Limit,
    level: f64,
    seen: Inflow,
    /// When tokens were last granted.
    granted_at: Time,
    /// When tokens were last requested.
    pub(super) used_at: Time,
    /// Tokens that were requested and not granted, with the time of the latest request.
    unmet: f64,
    unmet_at: Time,
}

impl Bucket {
    pub(super) fn new(limit: Limit, supply: &Supply, now: Time) -> Self {
        let full = limit.capacity * supply.least_fill(now);
        Self {
            limit,
            level: supply.untouched_level(&limit).max(full),
            seen: supply.inflow,
            granted_at: now,
            used_at: now,
            unmet: 0.0,
            unmet_at: now,
        }
    }

    /// Adds the inflow since the last call. Called before each change of the fill, and after it.
    pub(super) fn settle(&mut self, supply: &Supply) {
        let gained = supply.inflow.tokens_since(&self.seen, &self.limit);
        self.level = (self.level + gained).min(self.limit.capacity * supply.fill);
        self.seen = supply.inflow;
    }

    /// Uses another limit from now on.
    pub(super) fn set_limit(&mut self, limit: Limit, supply: &Supply) {
        if self.limit != limit {
            self.settle(supply);
            self.limit = limit;
            self.settle(supply);
        }
    }

    /// Takes up to `wanted` whole tokens.
    pub(super) fn take(&mut self, wanted: u32, supply: &Supply, now: Time) -> u32 {
        self.settle(supply);
        self.used_at = now;
        if now.since(self.granted_at) > supply.span {
            self.level = self.level.max(self.limit.capacity * supply.least_fill(now));
        }
        let available = self.level.clamp(0.0, f64::from(u32::MAX)).floor();
        let taken = f64::from(wanted).min(available);
        self.level -= taken;
        if taken > 0.0 {
            self.granted_at = now;
        }
        self.record_unmet(f64::from(wanted) - taken, now);
        // The value is whole and at most `wanted`.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let taken = taken as u32;
        taken
    }

    fn record_unmet(&mut self, missing: f64, now: Time) {
        // Requests are repeated within this time.
        const MEMORY_S: f64 = 0.2;
        let age = now.since(self.unmet_at).as_secs_f64();
        self.unmet = self.unmet * (1.0 - age / MEMORY_S).max(0.0) + missing;
        self.unmet_at = now;
    }

    /// Seconds until the unmet requests could be met.
    pub(super) fn seconds_to_meet(&self, supply: &Supply) -> f64 {
        let rate = self.limit.rate * supply.fill;
        if rate > 0.0 { (self.unmet.max(1.0) - self.level) / rate } else { f64::MAX }
    }
}
