//! What members and coordinators tell each other.

use std::sync::Arc;
use std::time::Duration;

use crate::quota::fleet::Fleet;

/// The lease of a member's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The coordinator's process for which the lease is meant.
    pub incarnation: u32,
    /// The stamp of that coordinator, on its own clock in microseconds, from which the lease runs.
    pub stamp: u64,
    /// Whether the member's registration is proved until the lease ends, so that its share counts.
    pub is_valid: bool,
    /// Whether the member knows a version of the record that was current after its start, so that its
    /// vote counts.
    pub is_voter: bool,
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
    /// The version of the fleet that it knows.
    pub version: u64,
    /// That version, if the coordinator is known to have an earlier one.
    pub fleet: Option<Arc<Fleet>>,
    /// How long ago that version was not yet outdated; `None` if unknown, or if the coordinator needs no
    /// proof.
    pub proof_age: Option<Duration>,
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
    /// The version of the fleet that it knows.
    pub version: u64,
    /// That version, if the member has an earlier one.
    pub fleet: Option<Arc<Fleet>>,
    /// How long ago that version was not yet outdated; `None` if unknown, or if the member needs no
    /// proof.
    pub proof_age: Option<Duration>,
    /// Whether it has a majority of the votes, so that no daemon is removed without its knowledge.
    pub is_majority: bool,
    /// The member's index, if the member did not know it.
    pub index: Option<u32>,
    /// What is granted, in the order of the request.
    pub grants: Vec<Grant>,
}
