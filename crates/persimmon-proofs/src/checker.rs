//! Compares what callers were told with what the instances hold.

use std::collections::{BTreeMap, BTreeSet};

use persimmon_types::Term;

use crate::instance::FakeInstance;

/// What a caller was told of one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// It was acknowledged.
    Acknowledged,
    /// It was refused as not run.
    NotRun,
    /// It was refused as perhaps run, or its daemon died.
    MayHaveRun,
}

/// How a run broke a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// An acknowledged write is not in the primary's log.
    Lost(u64),
    /// A write is in a log more than once.
    Doubled(u64),
    /// A write refused as not run is in a log.
    RanDespiteRefusal(u64),
    /// A read did not show an acknowledged write of its session.
    StaleRead(u64),
    /// Two instances were primary of one term.
    TwoPrimaries(Term),
    /// The version of the table or a term went back on a daemon.
    WentBack,
    /// No write was acknowledged after the faults had passed.
    Stuck,
}

/// What callers were told and what was seen on the way.
#[derive(Clone, Debug, Default)]
pub(crate) struct Checker {
    pub(crate) told: BTreeMap<u64, Told>,
    pub(crate) violations: BTreeSet<Violation>,
    primaries: BTreeMap<Term, usize>,
}

impl Checker {
    /// Looks at the instances after an order took effect.
    pub(crate) fn observe(&mut self, instances: &[FakeInstance]) {
        for (index, instance) in instances.iter().enumerate() {
            if !instance.primary {
                continue;
            }
            let known = *self.primaries.entry(instance.term).or_insert(index);
            if known != index {
                self.violations.insert(Violation::TwoPrimaries(instance.term));
            }
        }
    }

    /// Compares the end of a run with what callers were told.
    pub(crate) fn conclude(&mut self, instances: &[FakeInstance]) -> Vec<Violation> {
        let live = instances.iter().filter(|i| i.primary);
        let Some(primary) = live.max_by_key(|i| i.term) else {
            return self.violations.iter().copied().collect();
        };
        let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
        for (_, id) in &primary.log {
            *counts.entry(*id).or_default() += 1;
        }
        for (id, told) in &self.told {
            let count = counts.get(id).copied().unwrap_or(0);
            if *told == Told::Acknowledged && count == 0 {
                self.violations.insert(Violation::Lost(*id));
            }
            if count > 1 {
                self.violations.insert(Violation::Doubled(*id));
            }
            let ran = instances.iter().any(|i| i.log.iter().any(|(_, held)| held == id));
            if *told == Told::NotRun && ran {
                self.violations.insert(Violation::RanDespiteRefusal(*id));
            }
        }
        self.violations.iter().copied().collect()
    }
}
