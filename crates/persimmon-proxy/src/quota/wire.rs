//! Quota messages between daemons. Most of their bytes cross failure domains, so fields have short
//! names, absent ones are left out, and a workspace is named once for each exchange.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use persimmon_workspace::quota::{Answer, Claim, FleetSize, Grant, Request, Want};
use serde::{Deserialize, Serialize};

fn is_false(value: &bool) -> bool {
    !value
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
    /// The size of the fleet: registered daemons and the floor.
    #[serde(rename = "n")]
    size: (u32, u32),
    /// The coordinator's incarnation and its stamp.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    claim: Option<(u32, u64)>,
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
            size: (request.size.registered, request.size.floor),
            claim: request.claim.map(|c| (c.incarnation, c.stamp)),
            is_leaving: request.is_leaving,
            wants: wants.collect(),
        }
    }

    /// The request, and the member's address if it knows no index.
    pub(crate) fn received(self) -> (Request, Option<SocketAddr>) {
        let (registered, floor) = self.size;
        let wants = self.wants.into_iter().map(|(workspace, tokens)| Want { workspace, tokens });
        let request = Request {
            index: self.index,
            size: FleetSize { registered, floor },
            claim: self.claim.map(|(incarnation, stamp)| Claim { incarnation, stamp }),
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
    #[serde(rename = "n")]
    size: (u32, u32),
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
            size: (answer.size.registered, answer.size.floor),
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
            size: FleetSize { registered: wire.size.0, floor: wire.size.1 },
            index: wire.index,
            grants: grants.collect(),
        }
    }
}
