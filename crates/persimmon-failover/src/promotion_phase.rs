//! The phases of one failover of a group, from suspicion to promotion.
//!
//! The phases are entered in the order of [`PromotionPhase`]; each can change to
//! [`PromotionPhase::Backoff`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use persimmon_kernel::RequestId;
use persimmon_types::{Position, Term, Time};

use crate::config::{DisabledSafeguard, FailoverConfig};

/// The current phase of a failover.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum PromotionPhase {
    /// No failover is in progress.
    #[default]
    Idle,
    /// The other coordinators are polled for their view of the primary.
    PollingPeers {
        /// When the primary was suspected.
        since: Time,
        /// Number of votes that the primary has failed.
        agree: u32,
        /// Number of votes that it has not failed.
        disagree: u32,
    },
    /// A term is being reserved at the store.
    ReservingTerm {
        /// The outstanding store call.
        request: RequestId,
        /// When the phase began.
        since: Time,
    },
    /// Instances are being sealed, so that they refuse older terms.
    Sealing(SealProgress),
    /// The instance with the highest position is being promoted.
    Promoting {
        /// The term.
        term: Term,
        /// The instance to promote.
        target: Arc<str>,
        /// When the phase began.
        since: Time,
        /// When the command was last sent.
        last_sent: Time,
    },
    /// A failover was abandoned; the next may start after a delay.
    Backoff {
        /// The end of the delay.
        until: Time,
    },
}

/// The progress of sealing one term.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct SealProgress {
    /// The term.
    pub(crate) term: Term,
    /// When the phase began.
    pub(crate) since: Time,
    /// When the seal commands were last sent.
    pub(crate) last_sent: Time,
    /// When a majority was first found sealed.
    pub(crate) majority_at: Option<Time>,
    /// The log ends of the sealed instances.
    pub(crate) sealed_ends: BTreeMap<Arc<str>, Position>,
    /// A healthy primary that is to be replaced because it is draining. It is not sealed and not
    /// selected.
    pub(crate) draining_primary: Option<Arc<str>>,
    /// Instances on which the last seal command failed.
    pub(crate) failed: BTreeSet<Arc<str>>,
}

impl SealProgress {
    /// Starts to seal a term.
    pub(crate) fn new(term: Term, now: Time, draining_primary: Option<Arc<str>>) -> Self {
        Self { term, since: now, last_sent: now, draining_primary, ..Self::default() }
    }

    /// Whether the instance to promote may be selected: a majority is sealed, and every other
    /// instance has answered, has failed, or had time to answer.
    pub(crate) fn is_ready(
        &mut self,
        config: &FailoverConfig,
        now: Time,
        instances: usize,
        majority: usize,
    ) -> bool {
        if config.disabled == DisabledSafeguard::MajoritySeal {
            return !self.sealed_ends.is_empty();
        }
        if self.sealed_ends.len() < majority {
            return false;
        }
        let majority_at = *self.majority_at.get_or_insert(now);
        let skipped = usize::from(self.draining_primary.is_some());
        let is_complete = self.sealed_ends.len() + self.failed.len() + skipped >= instances;
        is_complete || now.since(majority_at) >= config.seal_grace
    }

    /// Selects the instance to promote: the one with the highest position, and among equal ones
    /// one for which `is_preferred` returns `true`.
    pub(crate) fn select_target(
        &self,
        config: &FailoverConfig,
        is_preferred: impl Fn(&str) -> bool,
    ) -> Option<Arc<str>> {
        if config.disabled == DisabledSafeguard::HighestPosition {
            return self.sealed_ends.keys().next().cloned();
        }
        let highest =
            self.sealed_ends.iter().max_by_key(|(name, position)| (**position, is_preferred(name)));
        highest.map(|(name, _)| Arc::clone(name))
    }
}
