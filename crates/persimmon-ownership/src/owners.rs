//! The owners of each service: weighted rendezvous hashing within each failure domain, so that
//! daemons with nearly the same members compute nearly the same owners, and a member that leaves
//! moves only what it owned.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use persimmon_types::rendezvous_weight;

use crate::member::Member;

/// Owners of a service in each failure domain. The instances of a service then have as many callers
/// as there are failure domains, whatever the size of the fleet.
const OWNERS_PER_DOMAIN: usize = 1;

/// Members of a failure domain that are known as candidates; the ones after the owner replace it
/// while it does not answer.
const CANDIDATES_PER_DOMAIN: usize = 6;

/// Largest fleet that connects directly with a single idle connection for each daemon. Each daemon
/// still sees enough of an instance's load to limit its own, and saves the hop.
const SMALL_FLEET: usize = 30;

/// Whether a service needs owners: whether half of the connections that an instance accepts give
/// each daemon fewer than it needs.
#[must_use]
pub fn needs_owners(max_connections: u32, daemons: usize) -> bool {
    let min_share = if daemons <= SMALL_FLEET { 1 } else { 2 };
    max_connections as usize / 2 / daemons.max(1) < min_share
}

/// The owners of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceOwners {
    /// The candidates of each failure domain, the owners first.
    by_domain: BTreeMap<Arc<str>, Vec<SocketAddr>>,
}

impl ServiceOwners {
    /// The candidates of a failure domain in the order in which they are tried.
    #[must_use]
    pub fn candidates(&self, domain: &str) -> &[SocketAddr] {
        self.by_domain.get(domain).map_or(&[], Vec::as_slice)
    }

    /// The first member of each failure domain other than `domain`.
    #[must_use]
    pub fn first_elsewhere(&self, domain: &str) -> Vec<SocketAddr> {
        let others = self.by_domain.iter().filter(|(name, _)| &***name != domain);
        others.filter_map(|(_, candidates)| candidates.first().copied()).collect()
    }

    /// The owners in all failure domains.
    pub fn owners(&self) -> impl Iterator<Item = SocketAddr> {
        self.by_domain.values().flat_map(|c| c.iter().take(OWNERS_PER_DOMAIN).copied())
    }

    /// The number of owners in all failure domains.
    #[must_use]
    pub fn count(&self) -> usize {
        self.owners().count()
    }
}

/// Computes owners from the members, and keeps them until the members change.
#[derive(Clone, Debug, Default)]
pub struct OwnerTable {
    version: Option<u64>,
    members: Vec<Member>,
    services: HashMap<Arc<str>, Arc<ServiceOwners>>,
}

impl OwnerTable {
    /// Creates a table without members.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether the table was computed from another version of the members.
    #[must_use]
    pub fn is_outdated(&self, version: u64) -> bool {
        self.version != Some(version)
    }

    /// Replaces the members, which include this daemon.
    pub fn set_members(&mut self, version: u64, members: Vec<Member>) {
        self.version = Some(version);
        self.members = members;
        self.services.clear();
    }

    /// The owners of a service.
    pub fn owners(&mut self, service: &Arc<str>) -> Arc<ServiceOwners> {
        if let Some(owners) = self.services.get(service) {
            return Arc::clone(owners);
        }
        let owners = Arc::new(compute_owners(service, &self.members));
        self.services.insert(Arc::clone(service), Arc::clone(&owners));
        owners
    }

    /// The `count` members that come first for `key` in all failure domains together.
    #[must_use]
    pub fn top(&self, key: &str, count: usize) -> Vec<SocketAddr> {
        let mut ranked: Vec<(Reverse<u64>, SocketAddr)> =
            self.members.iter().map(|m| (rank(key, m), m.address)).collect();
        ranked.sort_unstable();
        ranked.into_iter().take(count).map(|(_, address)| address).collect()
    }
}

fn compute_owners(service: &str, members: &[Member]) -> ServiceOwners {
    let mut ranked: BTreeMap<Arc<str>, Vec<(Reverse<u64>, SocketAddr)>> = BTreeMap::new();
    for member in members {
        let in_domain = ranked.entry(Arc::clone(&member.domain)).or_default();
        in_domain.push((rank(service, member), member.address));
    }
    let by_domain = ranked.into_iter().map(|(domain, mut in_domain)| {
        in_domain.sort_unstable();
        let first = in_domain.into_iter().take(CANDIDATES_PER_DOMAIN);
        (domain, first.map(|(_, address)| address).collect())
    });
    ServiceOwners { by_domain: by_domain.collect() }
}

/// The rank of a member for a key, lowest first. The probability that a member comes first is
/// proportional to its capacity.
fn rank(key: &str, member: &Member) -> Reverse<u64> {
    /// Scales a score to a whole number, which has a total order.
    const SCORE_SCALE: f64 = 1e6;
    let hash = rendezvous_weight(key, &member.address.to_string());
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    let score = f64::from(member.capacity.max(1)) / -uniform.ln();
    Reverse((score * SCORE_SCALE) as u64)
}
