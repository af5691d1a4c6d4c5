//! What a duty sees, and what it asks for.

use std::sync::Arc;
use std::time::Duration;

use crate::candidate::Asked;

/// Why another primary is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Statements failed at the primary.
    Suspected,
    /// The primary has said that it is leaving.
    Draining,
    /// The directory has lost the primary's entry.
    Missing,
    /// No instance leads.
    Leaderless,
}

/// What a probe of one instance found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// It leads.
    Leads,
    /// It answers and does not lead.
    Follows,
    /// Its host answers, and no process listens.
    Refused,
    /// Its host accepts connections, and the answer is late.
    Busy,
    /// Its host does not answer.
    Silent,
}

/// What the directory says at this moment.
#[derive(Clone, Debug, Default)]
pub struct Sight {
    /// The instance that is believed to lead.
    pub primary: Option<Arc<str>>,
    /// Whether it has said that it is leaving.
    pub is_draining: bool,
    /// How long its entry has been missing while the store answered.
    pub missing_for: Option<Duration>,
}

impl Sight {
    /// Whether the primary still answers but has to be replaced.
    #[must_use]
    pub fn is_planned(&self) -> bool {
        self.is_draining || self.missing_for.is_some()
    }
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A statement of this daemon failed at the primary.
    Suspected(Arc<str>),
    /// A round of probes ended.
    Probed(Vec<(Arc<str>, Finding)>),
    /// Peers were asked whether the primary answers them.
    Canvassed {
        /// Peers whose statements fail there.
        failing: usize,
        /// Peers whose statements are answered.
        answered: usize,
    },
    /// The instances were asked for their state.
    Asked(Vec<Asked>),
    /// A claim took effect.
    Claimed {
        /// The token.
        token: u64,
    },
    /// Another daemon holds the duty and is acting, or the store did not answer.
    NotClaimed,
    /// An order was accepted.
    Accepted,
    /// An order was refused.
    Refused,
    /// An order had no answer, or the rate was exceeded.
    Unanswered,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask every instance whether it leads.
    Probe,
    /// Ask peers whether the primary answers them.
    Canvass,
    /// Ask every instance for its state; with synchronous replication, stop them from receiving.
    Ask,
    /// Claim the duty at the store.
    Claim,
    /// Order a promotion.
    Order {
        /// The instance that is to lead.
        candidate: Arc<str>,
        /// The fencing token.
        token: u64,
    },
}
