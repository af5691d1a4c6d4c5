//! Inputs and actions of the promotion coordinator.

use std::sync::Arc;
use std::time::Duration;

use crate::candidate::Asked;

/// Why another primary is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionReason {
    /// Statements failed at the primary.
    Suspected,
    /// The primary has announced that it is draining.
    Draining,
    /// The primary's entry is missing from the instance directory.
    Missing,
    /// No instance is primary.
    NoPrimary,
}

impl PromotionReason {
    /// Whether the primary leaves, and may still answer.
    #[must_use]
    pub fn is_planned(self) -> bool {
        matches!(self, Self::Draining | Self::Missing)
    }
}

/// What a probe of one instance found. The names of its variants appear in log lines and stay the
/// same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeFinding {
    /// It is the primary.
    Leads,
    /// It answers and is not the primary.
    Follows,
    /// Its host answers, but no process listens.
    Refused,
    /// Its host accepts connections, but the answer is late.
    Busy,
    /// Its host does not answer.
    Silent,
}

/// What the instance directory currently says of a group's primary.
#[derive(Clone, Debug, Default)]
pub struct PrimaryInfo {
    /// The instance that is believed to be the primary; `None` if no instance is.
    pub primary: Option<Arc<str>>,
    /// Whether the primary has announced that it is draining.
    pub is_draining: bool,
    /// How long the primary's entry has been missing while the store answered; `None` if the
    /// directory has the entry.
    pub missing_for: Option<Duration>,
}

impl PrimaryInfo {
    /// Whether the primary has to be replaced although it may still answer.
    #[must_use]
    pub fn is_planned(&self) -> bool {
        self.is_draining || self.missing_for.is_some()
    }
}

/// A promotion request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The instance to promote.
    pub candidate: Arc<str>,
    /// The fencing token.
    pub fencing_token: u64,
}

/// An input of the coordinator: the passing of time, an observation, or the result of an
/// [`Action`]. The names of its variants appear in log lines and stay the same.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A statement of this daemon failed at this instance, which it took for the primary.
    Suspected(Arc<str>),
    /// A round of probes ended.
    Probed(Vec<(Arc<str>, ProbeFinding)>),
    /// Peers were polled on whether the primary answers them.
    Canvassed {
        /// Peers whose statements fail there.
        failing: usize,
        /// Peers whose statements are answered.
        answered: usize,
    },
    /// The instances were queried for their status.
    Asked(Vec<Asked>),
    /// A replica receives nothing although this primary has more.
    Standstill(Arc<str>),
    /// Replicas were resumed; `is_complete` unless one did not answer or the lock was not confirmed.
    Resumed {
        /// The only replica that was to be resumed; `None` for all.
        only: Option<Arc<str>>,
        /// Whether every replica has answered.
        is_complete: bool,
    },
    /// The log of the primary's term was closed as far as instances could be reached; contains the
    /// statuses afterwards.
    Closed(Vec<Asked>),
    /// This daemon acquired the promotion lock.
    Claimed {
        /// The fencing token.
        token: u64,
        /// Whether no daemon can have used a token for the group before.
        is_first: bool,
    },
    /// The promotion lock was not acquired, or a query of the instances could not be completed.
    NotClaimed,
    /// The promotion lock was not acquired, because the store did not answer.
    LockUnavailable,
    /// Another daemon has acquired the promotion lock.
    LockLost,
    /// A promotion request was accepted.
    Accepted(Request),
    /// A promotion request was refused.
    Refused(Request),
    /// A promotion request was not carried out and will not be: the authority was unavailable, or the
    /// request rate was exceeded.
    NotDone(Request),
    /// A promotion request had no answer; it may still be carried out.
    Unanswered(Request),
}

/// What the driver of the coordinator is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Probe every instance for whether it is the primary.
    Probe,
    /// Poll peers on whether the primary answers them.
    PollPeers,
    /// Query every instance for its status.
    QueryInstances,
    /// With synchronous replication: keep the primary from acknowledging more commits, and query
    /// every instance for its status afterwards. A primary that can be reached is demoted; where it
    /// cannot be, replicas stop receiving.
    CloseLog,
    /// Tell the old primary to become a replica, now that a promotion was accepted. It may be alive
    /// and out of reach of some daemons.
    DemoteOldPrimary,
    /// Confirm the promotion lock at the store, and let replicas receive again.
    ResumeReplication {
        /// The primary, which is no replica.
        primary: Arc<str>,
        /// The only replica to resume; `None` for all.
        only: Option<Arc<str>>,
    },
    /// Acquire the promotion lock at the store.
    AcquireLock,
    /// Request a promotion. A request that names the present primary changes nothing, but lets the
    /// authority refuse lower tokens from then on.
    RequestPromotion(Request),
}
