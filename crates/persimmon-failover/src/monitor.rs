//! Evidence about the primary of one group.
//!
//! Invariant: evidence gathered about one term never counts against another.

use std::collections::BTreeMap;
use std::sync::Arc;

use persimmon_kernel::{ProbeFailure, Role, Status};
use persimmon_types::{DaemonId, Term, Time};

use crate::rules::Rules;

/// What this daemon has seen of a group's instances.
#[derive(Debug, Default)]
pub(crate) struct Monitor {
    pub(crate) next_probe: Time,
    pub(crate) next_survey: Time,
    /// Peers that wait for the result of the next probe.
    pub(crate) asked_by: Vec<DaemonId>,
    /// The last status of each instance.
    pub(crate) statuses: BTreeMap<Arc<str>, Status>,
    term: Term,
    /// When the term was first observed.
    since: Time,
    refused: u32,
    silent: u32,
    unfit: u32,
    last_failed: bool,
}

impl Monitor {
    /// Forgets evidence of earlier terms; says whether the term is new.
    pub(crate) fn observe_term(&mut self, now: Time, term: Term) -> bool {
        if self.term == term {
            return false;
        }
        self.term = term;
        self.since = now;
        self.clear();
        true
    }

    fn clear(&mut self) {
        self.refused = 0;
        self.silent = 0;
        self.unfit = 0;
        self.last_failed = false;
    }

    /// Takes in a probe of the primary.
    pub(crate) fn take_in(
        &mut self,
        now: Time,
        rules: &Rules,
        outcome: &Result<Status, ProbeFailure>,
    ) {
        let healthy = outcome.as_ref().is_ok_and(|status| self.is_fit(now, rules, status));
        if healthy {
            self.clear();
            return;
        }
        self.last_failed = true;
        match outcome {
            Ok(_) => self.unfit += 1,
            Err(ProbeFailure::Refused) => self.refused += 1,
            Err(ProbeFailure::TimedOut) => self.silent += 1,
        }
    }

    /// Whether an instance can acknowledge writes in the term in force.
    ///
    /// A primary that was promoted just now has no followers yet; it is given as long to find them
    /// as any primary is to miss them.
    fn is_fit(&self, now: Time, rules: &Rules, status: &Status) -> bool {
        let limit = u64::try_from(rules.majority_silence.as_millis()).unwrap_or(u64::MAX);
        let is_new = now.since(self.since) <= rules.majority_silence;
        status.role == Role::Primary
            && status.term >= self.term
            && status.sealed <= status.term
            && (is_new || status.majority_age_ms <= limit)
    }

    /// Why the primary is suspected, if it is.
    pub(crate) fn suspicion(&self, rules: &Rules) -> Option<&'static str> {
        if self.refused >= rules.refused_probes {
            return Some("it refuses connections");
        }
        if self.silent >= rules.silent_probes {
            return Some("it does not answer");
        }
        if self.unfit >= rules.refused_probes {
            return Some("it cannot acknowledge writes");
        }
        (self.refused + self.silent + self.unfit >= rules.silent_probes)
            .then_some("its probes fail")
    }

    /// Whether the last probe failed.
    pub(crate) fn last_failed(&self) -> bool {
        self.last_failed
    }
}
