//! What members and coordinators tell each other.

use std::sync::Arc;
use std::time::Duration;

use crate::quota::fleet::FleetSize;

/// The lease of a member's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The coordinator's process for which the lease is meant.
    pub incarnation: u32,
    /// The stamp of that coordinator, on its own clock in microseconds, from which the lease runs.
    pub stamp: u64,
}

/// The tokens of one workspace that a member requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Want {
    /// The workspace's name.
    pub workspace: Arc<str>,
    /// The number of tokens.
    pub tokens: u32,
}

/// A message of a member to a coordinator.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// The member's index, if it knows it.
    pub index: Option<u32>,
    /// The size of the fleet that it knows.
    pub size: FleetSize,
    /// The lease of its share; `None` if it leases nothing with this message.
    pub claim: Option<Claim>,
    /// Whether its lease ends with this message.
    pub is_leaving: bool,
    /// The tokens that it requests.
    pub wants: Vec<Want>,
}

/// What a coordinator grants of one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Grant {
    /// The number of tokens.
    pub tokens: u32,
    /// After which time to request more; zero if everything requested was granted.
    pub retry_after: Duration,
}

/// The answer of a coordinator.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// The coordinator's process.
    pub incarnation: u32,
    /// The time of the answer on the coordinator's clock in microseconds.
    pub stamp: u64,
    /// The size of the fleet that it knows.
    pub size: FleetSize,
    /// The member's index, if the member did not know it.
    pub index: Option<u32>,
    /// What is granted, in the order of the request.
    pub grants: Vec<Grant>,
}
