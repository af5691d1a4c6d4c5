//! Quota messages between daemons. Most of their bytes cross failure domains, so fields have short
//! names, absent ones are left out, and a workspace is named once for each exchange.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use persimmon_workspace::quota::{Answer, Claim, Fleet, Grant, Request, Want};
use serde::{Deserialize, Serialize};

fn is_false(value: &bool) -> bool {
    !value
}

/// An age in whole milliseconds, never less than it is.
fn age_millis(age: Duration) -> u64 {
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX).saturating_add(1)
}

/// A request, see [`Request`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct WireQuotaRequest {
    /// The member's index.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    index: Option<u32>,
    /// The member's address for other daemons, if it knows no index.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    member: Option<SocketAddr>,
    /// The version of the fleet that it knows.
    #[serde(rename = "v")]
    version: u64,
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    fleet: Option<Arc<Fleet>>,
    /// The age of the proof of that version, in milliseconds.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    proof_age: Option<u64>,
    /// The coordinator's incarnation and its stamp.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    claim: Option<(u32, u64)>,
    /// Whether the claim's share does not count.
    #[serde(rename = "s", default, skip_serializing_if = "is_false")]
    has_no_share: bool,
    /// Whether the claim's vote does not count.
    #[serde(rename = "u", default, skip_serializing_if = "is_false")]
    has_no_vote: bool,
    #[serde(rename = "l", default, skip_serializing_if = "is_false")]
    is_leaving: bool,
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    wants: Vec<(Arc<str>, u32)>,
}

impl WireQuotaRequest {
    /// The form in which a member sends a request.
    pub(crate) fn new(request: &Request, own: SocketAddr) -> Self {
        let wants = request.wants.iter().map(|w| (Arc::clone(&w.workspace), w.tokens));
        Self {
            index: request.index,
            member: request.index.is_none().then_some(own),
            version: request.version,
            fleet: request.fleet.clone(),
            proof_age: request.proof_age.map(age_millis),
            claim: request.claim.map(|c| (c.incarnation, c.stamp)),
            has_no_share: request.claim.is_some_and(|c| !c.is_valid),
            has_no_vote: request.claim.is_some_and(|c| !c.is_voter),
            is_leaving: request.is_leaving,
            wants: wants.collect(),
        }
    }

    /// The request, and the member's address if it knows no index.
    pub(crate) fn received(self) -> (Request, Option<SocketAddr>) {
        let (is_valid, is_voter) = (!self.has_no_share, !self.has_no_vote);
        let claim = |(incarnation, stamp)| Claim { incarnation, stamp, is_valid, is_voter };
        let wants = self.wants.into_iter().map(|(workspace, tokens)| Want { workspace, tokens });
        let request = Request {
            index: self.index,
            version: self.version,
            fleet: self.fleet,
            proof_age: self.proof_age.map(Duration::from_millis),
            claim: self.claim.map(claim),
            is_leaving: self.is_leaving,
            wants: wants.collect(),
        };
        (request, self.member)
    }
}

/// An answer, see [`Answer`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct WireQuotaAnswer {
    /// The coordinator's incarnation and its stamp.
    #[serde(rename = "c")]
    stamp: (u32, u64),
    /// The version of the fleet that it knows.
    #[serde(rename = "v")]
    version: u64,
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    fleet: Option<Arc<Fleet>>,
    /// The age of the proof of that version, in milliseconds.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    proof_age: Option<u64>,
    /// Whether it has no majority of the votes.
    #[serde(rename = "a", default, skip_serializing_if = "is_false")]
    is_minority: bool,
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    index: Option<u32>,
    /// Tokens and milliseconds after which to ask again, in the order of the request.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    grants: Vec<(u32, u32)>,
}

impl From<Answer> for WireQuotaAnswer {
    fn from(answer: Answer) -> Self {
        let millis = |d: Duration| u32::try_from(d.as_millis()).unwrap_or(u32::MAX);
        let grants = answer.grants.iter().map(|g| (g.tokens, millis(g.retry_after)));
        Self {
            stamp: (answer.incarnation, answer.stamp),
            version: answer.version,
            fleet: answer.fleet,
            proof_age: answer.proof_age.map(age_millis),
            is_minority: !answer.is_majority,
            index: answer.index,
            grants: grants.collect(),
        }
    }
}

impl From<WireQuotaAnswer> for Answer {
    fn from(wire: WireQuotaAnswer) -> Self {
        let grants = wire
            .grants
            .into_iter()
            .map(|(tokens, ms)| Grant { tokens, retry_after: Duration::from_millis(ms.into()) });
        Self {
            incarnation: wire.stamp.0,
            stamp: wire.stamp.1,
            version: wire.version,
            fleet: wire.fleet,
            proof_age: wire.proof_age.map(Duration::from_millis),
            is_majority: !wire.is_minority,
            index: wire.index,
            grants: grants.collect(),
        }
    }
}
