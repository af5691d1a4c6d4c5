//! Compares the outcomes reported to clients with the logs of the instances.

use std::collections::{BTreeMap, BTreeSet};

use persimmon_types::Term;

use crate::instance::FakeInstance;

/// The outcome of one write as reported to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedOutcome {
    /// The write was acknowledged.
    Acknowledged,
    /// The write was refused as not run.
    NotRun,
    /// The outcome is indeterminate: the write may have run, or its daemon died.
    MayHaveRun,
}

/// A guarantee that a run violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// An acknowledged write is not in the primary's log.
    Lost(u64),
    /// A write is in a log more than once.
    Doubled(u64),
    /// A write refused as not run is in a log.
    RanDespiteRefusal(u64),
    /// A read did not return an acknowledged write of its session.
    StaleRead(u64),
    /// Two instances were primary in the same term.
    TwoPrimaries(Term),
    /// The table version or the term of a daemon decreased.
    WentBack,
    /// No write was acknowledged after the faults had ended.
    Stuck,
}

/// The reported outcomes, and the violations found so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Checker {
    pub(crate) reported: BTreeMap<u64, ReportedOutcome>,
    pub(crate) violations: BTreeSet<Violation>,
    primaries: BTreeMap<Term, usize>,
}

impl Checker {
    /// Checks that each term has one primary; called after each control command.
    pub(crate) fn observe(&mut self, instances: &[FakeInstance]) {
        for (index, instance) in instances.iter().enumerate() {
            if !instance.is_primary {
                continue;
            }
            let known = *self.primaries.entry(instance.term).or_insert(index);
            if known != index {
                self.violations.insert(Violation::TwoPrimaries(instance.term));
            }
        }
    }

    /// Compares the logs at the end of a run with the reported outcomes.
    pub(crate) fn conclude(&mut self, instances: &[FakeInstance]) -> Vec<Violation> {
        let live = instances.iter().filter(|i| i.is_primary);
        let Some(primary) = live.max_by_key(|i| i.term) else {
            return self.violations.iter().copied().collect();
        };
        let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
        for (_, id) in &primary.log {
            *counts.entry(*id).or_default() += 1;
        }
        for (id, reported) in &self.reported {
            let count = counts.get(id).copied().unwrap_or(0);
            if *reported == ReportedOutcome::Acknowledged && count == 0 {
                self.violations.insert(Violation::Lost(*id));
            }
            if count > 1 {
                self.violations.insert(Violation::Doubled(*id));
            }
            let ran = instances.iter().any(|i| i.log.iter().any(|(_, logged)| logged == id));
            if *reported == ReportedOutcome::NotRun && ran {
                self.violations.insert(Violation::RanDespiteRefusal(*id));
            }
        }
        self.violations.iter().copied().collect()
    }
}
