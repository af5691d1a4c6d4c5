//! Failure evidence about the primary of one group.
//!
//! Invariant: evidence gathered in one term never counts in another.

use std::collections::BTreeMap;
use std::sync::Arc;

use persimmon_kernel::{InstanceStatus, ProbeFailure, Role};
use persimmon_types::{DaemonId, Term, Time};

use crate::config::FailoverConfig;

/// The probe results of a group's instances on this daemon.
#[derive(Debug, Default)]
pub(crate) struct Monitor {
    pub(crate) next_probe_at: Time,
    pub(crate) next_full_probe_at: Time,
    /// Peers whose poll is answered after the next probe.
    pub(crate) pending_polls: Vec<DaemonId>,
    /// The last known status of each instance.
    pub(crate) statuses: BTreeMap<Arc<str>, InstanceStatus>,
    term: Term,
    /// When the term was first observed.
    term_since: Time,
    /// Refused probes since the last healthy answer.
    refused: u32,
    /// Unanswered probes since the last healthy answer.
    timed_out: u32,
    /// Answers of an instance that cannot acknowledge writes, since the last healthy answer.
    unhealthy: u32,
    last_probe_failed: bool,
}

impl Monitor {
    /// Discards evidence of earlier terms; returns whether the term is new.
    pub(crate) fn observe_term(&mut self, now: Time, term: Term) -> bool {
        if self.term == term {
            return false;
        }
        self.term = term;
        self.term_since = now;
        self.clear();
        true
    }

    fn clear(&mut self) {
        self.refused = 0;
        self.timed_out = 0;
        self.unhealthy = 0;
        self.last_probe_failed = false;
    }

    /// Records the outcome of a probe of the primary.
    pub(crate) fn record_probe(
        &mut self,
        now: Time,
        config: &FailoverConfig,
        outcome: &Result<InstanceStatus, ProbeFailure>,
    ) {
        let is_healthy =
            outcome.as_ref().is_ok_and(|status| self.can_acknowledge_writes(now, config, status));
        if is_healthy {
            self.clear();
            return;
        }
        self.last_probe_failed = true;
        match outcome {
            Ok(_) => self.unhealthy += 1,
            Err(ProbeFailure::Refused) => self.refused += 1,
            Err(ProbeFailure::TimedOut) => self.timed_out += 1,
        }
    }

    /// Whether an instance can acknowledge writes in the active term.
    ///
    /// A newly promoted primary has no followers yet. It has as much time to find a majority as any
    /// primary may be without one.
    fn can_acknowledge_writes(
        &self,
        now: Time,
        config: &FailoverConfig,
        status: &InstanceStatus,
    ) -> bool {
        let limit_ms = u64::try_from(config.max_majority_silence.as_millis()).unwrap_or(u64::MAX);
        let is_new = now.since(self.term_since) <= config.max_majority_silence;
        status.role == Role::Primary
            && status.term >= self.term
            && status.sealed_term <= status.term
            && (is_new || status.majority_age_ms <= limit_ms)
    }

    /// The reason why the primary is suspected, or `None` if it is not.
    pub(crate) fn suspicion_reason(&self, config: &FailoverConfig) -> Option<&'static str> {
        if self.refused >= config.refused_probes {
            return Some("it refuses connections");
        }
        if self.timed_out >= config.timed_out_probes {
            return Some("it does not answer");
        }
        if self.unhealthy >= config.refused_probes {
            return Some("it cannot acknowledge writes");
        }
        (self.refused + self.timed_out + self.unhealthy >= config.timed_out_probes)
            .then_some("its probes fail")
    }

    /// Whether the last probe failed.
    pub(crate) fn last_probe_failed(&self) -> bool {
        self.last_probe_failed
    }
}
