//! Load-balancing policies.

use std::fmt;

use persimmon_table::Table;
use persimmon_types::InstanceId;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::instance_tracker::InstanceTracker;

/// A load-balancing policy: selects one of several instances that can all serve a read.
pub trait Policy: fmt::Debug {
    /// Selects one of `candidates`, which must not be empty.
    fn choose(
        &mut self,
        table: &Table,
        tracker: &InstanceTracker,
        rng: &mut SmallRng,
        candidates: &[InstanceId],
    ) -> InstanceId;
}

/// Weighted round robin over the candidates.
#[derive(Debug, Default)]
pub struct RoundRobin {
    turn: u64,
}

impl RoundRobin {
    /// Creates the policy.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }
}

impl Policy for RoundRobin {
    fn choose(
        &mut self,
        table: &Table,
        _: &InstanceTracker,
        _: &mut SmallRng,
        candidates: &[InstanceId],
    ) -> InstanceId {
        let total_weight: u64 = candidates.iter().map(|id| weight(table, *id)).sum();
        self.turn += 1;
        let mut remaining = self.turn % total_weight.max(1);
        for id in candidates {
            let weight = weight(table, *id);
            if remaining < weight {
                return *id;
            }
            remaining -= weight;
        }
        candidates[0]
    }
}

/// Selects the instance with the fewest outstanding requests relative to its weight.
#[derive(Debug, Default)]
pub struct LeastOutstanding;

impl Policy for LeastOutstanding {
    fn choose(
        &mut self,
        table: &Table,
        tracker: &InstanceTracker,
        _: &mut SmallRng,
        candidates: &[InstanceId],
    ) -> InstanceId {
        let least_loaded = candidates.iter().min_by_key(|id| load(table, tracker, **id));
        least_loaded.copied().unwrap_or(candidates[0])
    }
}

/// Selects the less loaded of two random instances. This avoids herding when several daemons act
/// on the same stale load information.
#[derive(Debug, Default)]
pub struct PowerOfTwo;

impl Policy for PowerOfTwo {
    fn choose(
        &mut self,
        table: &Table,
        tracker: &InstanceTracker,
        rng: &mut SmallRng,
        candidates: &[InstanceId],
    ) -> InstanceId {
        let first = candidates[rng.random_range(0..candidates.len())];
        let second = candidates[rng.random_range(0..candidates.len())];
        if load(table, tracker, second) < load(table, tracker, first) { second } else { first }
    }
}

fn weight(table: &Table, id: InstanceId) -> u64 {
    u64::from(table.instance_row(id).read_weight)
}

/// Outstanding requests, including the one to be sent, in thousandths of the instance's weight.
fn load(table: &Table, tracker: &InstanceTracker, id: InstanceId) -> u64 {
    (u64::from(tracker.outstanding(id)) + 1) * 1_000 / weight(table, id).max(1)
}
