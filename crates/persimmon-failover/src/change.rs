//! One change of a group's primary, from suspicion to promotion.
//!
//! The phases are entered in the order of [`Phase`]; each can be left for [`Phase::Backoff`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use persimmon_kernel::RequestId;
use persimmon_types::{Position, Term, Time};

use crate::rules::{Omission, Rules};

/// Where a change stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum Phase {
    /// No change is under way.
    #[default]
    Idle,
    /// Other holders are asked what they see.
    Asking {
        /// When the suspicion arose.
        since: Time,
        /// Holders that agree.
        agree: u32,
        /// Holders that disagree.
        disagree: u32,
    },
    /// A term is asked of the store.
    Claiming {
        /// The call under way.
        request: RequestId,
        /// When the claim began.
        since: Time,
    },
    /// Instances are ordered to refuse older terms.
    Sealing(Sealing),
    /// The highest instance is ordered to become primary.
    Promoting {
        /// The term.
        term: Term,
        /// The instance.
        target: Arc<str>,
        /// When the phase began.
        since: Time,
        /// When the order was last sent.
        sent: Time,
    },
    /// A change was given up; the next may begin later.
    Backoff {
        /// When.
        until: Time,
    },
}

/// The progress of a seal.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Sealing {
    /// The term.
    pub(crate) term: Term,
    /// When the phase began.
    pub(crate) since: Time,
    /// When the orders were last sent.
    pub(crate) sent: Time,
    /// When a majority was first sealed.
    pub(crate) majority_at: Option<Time>,
    /// The ends of the sealed instances' logs.
    pub(crate) sealed: BTreeMap<Arc<str>, Position>,
    /// The instance that is to be replaced although it lives; it is not sealed and not chosen.
    pub(crate) spared: Option<Arc<str>>,
    /// Instances that did not answer the last order.
    pub(crate) failed: BTreeSet<Arc<str>>,
}

impl Sealing {
    /// Begins to seal a term.
    pub(crate) fn new(term: Term, now: Time, spared: Option<Arc<str>>) -> Self {
        Self { term, since: now, sent: now, spared, ..Self::default() }
    }

    /// Whether the promotion may be decided: a majority is sealed, and the rest has answered, has
    /// failed, or has been given time to.
    pub(crate) fn is_ready(
        &mut self,
        rules: &Rules,
        now: Time,
        members: usize,
        majority: usize,
    ) -> bool {
        if rules.omit == Omission::Seal {
            return !self.sealed.is_empty();
        }
        if self.sealed.len() < majority {
            return false;
        }
        let majority_at = *self.majority_at.get_or_insert(now);
        let spared = usize::from(self.spared.is_some());
        let everybody = self.sealed.len() + self.failed.len() + spared >= members;
        everybody || now.since(majority_at) >= rules.seal_grace
    }

    /// The instance to promote: the highest position, then the one that `prefers` names.
    pub(crate) fn choose(&self, rules: &Rules, prefers: impl Fn(&str) -> bool) -> Option<Arc<str>> {
        if rules.omit == Omission::Highest {
            return self.sealed.keys().next().cloned();
        }
        let best = self.sealed.iter().max_by_key(|(name, position)| (**position, prefers(name)));
        best.map(|(name, _)| Arc::clone(name))
    }
}
