//! Members as they travel between daemons.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use persimmon_ownership::Member;
use serde::{Deserialize, Serialize};

/// One member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct WireMember {
    address: SocketAddr,
    domain: Arc<str>,
    /// Thousandths of a core.
    capacity: u32,
}

impl From<&Member> for WireMember {
    fn from(member: &Member) -> Self {
        let Member { address, domain, capacity } = member;
        Self { address: *address, domain: Arc::clone(domain), capacity: *capacity }
    }
}

impl From<WireMember> for Member {
    fn from(wire: WireMember) -> Self {
        Self { address: wire.address, domain: wire.domain, capacity: wire.capacity }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Group {
    domain: Arc<str>,
    capacity: u32,
    addresses: Vec<SocketAddr>,
}

/// Several members, grouped by what they have in common, because lists of hundreds are exchanged.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct WireMembers(Vec<Group>);

impl From<&[Member]> for WireMembers {
    fn from(members: &[Member]) -> Self {
        let mut groups: BTreeMap<(Arc<str>, u32), Vec<SocketAddr>> = BTreeMap::new();
        for member in members {
            let key = (Arc::clone(&member.domain), member.capacity);
            groups.entry(key).or_default().push(member.address);
        }
        let groups = groups.into_iter();
        Self(
            groups
                .map(|((domain, capacity), addresses)| Group { domain, capacity, addresses })
                .collect(),
        )
    }
}

impl From<WireMembers> for Vec<Member> {
    fn from(wire: WireMembers) -> Self {
        let mut members = Self::new();
        for Group { domain, capacity, addresses } in wire.0 {
            for address in addresses {
                members.push(Member { address, domain: Arc::clone(&domain), capacity });
            }
        }
        members
    }
}
