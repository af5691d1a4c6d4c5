//! How one of several suitable instances is chosen.

use std::fmt;

use persimmon_table::Table;
use persimmon_types::InstanceId;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::knowledge::Knowledge;

/// A way to choose among instances that may all serve a read.
pub trait Policy: fmt::Debug {
    /// Chooses one of `suitable`, which is never empty.
    fn choose(
        &mut self,
        table: &Table,
        knowledge: &Knowledge,
        rng: &mut SmallRng,
        suitable: &[InstanceId],
    ) -> InstanceId;
}

/// Weighted round robin.
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
        _: &Knowledge,
        _: &mut SmallRng,
        suitable: &[InstanceId],
    ) -> InstanceId {
        let total: u64 = suitable.iter().map(|id| weight(table, *id)).sum();
        self.turn += 1;
        let mut left = self.turn % total.max(1);
        for id in suitable {
            let weight = weight(table, *id);
            if left < weight {
                return *id;
            }
            left -= weight;
        }
        suitable[0]
    }
}

/// The instance with the fewest outstanding requests for its weight.
#[derive(Debug, Default)]
pub struct LeastOutstanding;

impl Policy for LeastOutstanding {
    fn choose(
        &mut self,
        table: &Table,
        knowledge: &Knowledge,
        _: &mut SmallRng,
        suitable: &[InstanceId],
    ) -> InstanceId {
        let best = suitable.iter().min_by_key(|id| load(table, knowledge, **id));
        best.copied().unwrap_or(suitable[0])
    }
}

/// The less loaded of two instances drawn at random, which does not herd when several daemons act
/// on the same stale signal.
#[derive(Debug, Default)]
pub struct PowerOfTwo;

impl Policy for PowerOfTwo {
    fn choose(
        &mut self,
        table: &Table,
        knowledge: &Knowledge,
        rng: &mut SmallRng,
        suitable: &[InstanceId],
    ) -> InstanceId {
        let one = suitable[rng.random_range(0..suitable.len())];
        let other = suitable[rng.random_range(0..suitable.len())];
        if load(table, knowledge, other) < load(table, knowledge, one) { other } else { one }
    }
}

fn weight(table: &Table, id: InstanceId) -> u64 {
    u64::from(table.instance_row(id).read_weight)
}

/// Outstanding requests in thousandths of the instance's weight.
fn load(table: &Table, knowledge: &Knowledge, id: InstanceId) -> u64 {
    (u64::from(knowledge.outstanding(id)) + 1) * 1_000 / weight(table, id).max(1)
}
