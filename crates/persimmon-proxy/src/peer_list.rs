//! The known peer daemons, and the owners of services among them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use persimmon_ownership::{Member, MemberList, OwnerTable, ServiceOwners, needs_owners};
use persimmon_types::Clock;

#[derive(Debug, Default)]
struct Peers {
    members: MemberList,
    owners: OwnerTable,
}

/// The peers, shared by the threads of a daemon.
#[derive(Debug)]
pub struct PeerList {
    own: Member,
    /// Whether daemons of this fleet forward statements to each other.
    is_forwarding: bool,
    seeds: Vec<SocketAddr>,
    peers: Mutex<Peers>,
    /// Whether enough peer lists were exchanged to estimate the number of daemons.
    is_settled: AtomicBool,
}

impl PeerList {
    /// Creates the list of a daemon that knows only the seeds' addresses, and forwards nothing.
    #[must_use]
    pub fn new(own: Member, seeds: &[SocketAddr]) -> Self {
        let seeds = seeds.iter().copied().filter(|seed| *seed != own.address).collect();
        let (peers, is_settled) = (Mutex::default(), AtomicBool::new(false));
        Self { own, is_forwarding: false, seeds, peers, is_settled }
    }

    /// Sets whether daemons of this fleet forward statements to each other.
    #[must_use]
    pub fn with_forwarding(mut self, is_forwarding: bool) -> Self {
        self.is_forwarding = is_forwarding;
        self
    }

    fn lock(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// This daemon.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// The seeds other than this daemon.
    #[must_use]
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// Records that a peer is alive.
    pub fn record_alive(&self, peer: &Member) {
        if peer.address != self.own.address {
            self.lock().members.record_alive(peer);
        }
    }

    /// Merges the peers that another daemon knows.
    pub fn merge(&self, peers: &[Member]) {
        let others: Vec<Member> =
            peers.iter().filter(|p| p.address != self.own.address).cloned().collect();
        self.lock().members.merge(Clock.now(), &others);
    }

    /// Removes a peer that does not answer. A seed's address stays known.
    pub fn forget(&self, peer: SocketAddr) {
        self.lock().members.remove(Clock.now(), peer);
    }

    /// Records that enough peer lists were exchanged.
    pub fn mark_settled(&self) {
        self.is_settled.store(true, Ordering::Relaxed);
    }

    /// Number of daemons, including this one. `None` until it is known: a daemon that has just
    /// started knows only the seeds, and all may have started together.
    #[must_use]
    pub fn daemon_count(&self) -> Option<usize> {
        self.is_settled.load(Ordering::Relaxed).then(|| self.lock().members.len() + 1)
    }

    /// The owners of a service whose instances accept `max_connections`; `None` if every daemon
    /// connects to them, as far as is known.
    ///
    /// A daemon that has just started may know only a part of the fleet. It then connects itself
    /// for the moment until it has met another daemon, instead of making clients wait.
    #[must_use]
    pub fn needed_owners(
        &self,
        service: &Arc<str>,
        max_connections: u32,
    ) -> Option<Arc<ServiceOwners>> {
        let known = self.lock().members.len() + 1;
        let is_needed = self.is_forwarding && needs_owners(max_connections, known);
        is_needed.then(|| self.owners(service))
    }

    /// Number of daemons that share the connections of a service's instances; `None` until it is
    /// known.
    #[must_use]
    pub fn sharer_count(&self, service: &Arc<str>, max_connections: u32) -> Option<usize> {
        let owners = self.needed_owners(service, max_connections);
        owners.map_or_else(|| self.daemon_count(), |owners| Some(owners.count()))
    }

    /// Whether this daemon is one of the owners that a service needs.
    #[must_use]
    pub fn is_owner(&self, service: &Arc<str>, max_connections: u32) -> bool {
        let owners = self.needed_owners(service, max_connections);
        owners.is_some_and(|owners| owners.owners().any(|owner| owner == self.own.address))
    }

    /// Addresses of all known peers.
    #[must_use]
    pub fn all(&self) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = self.lock().members.iter().map(|m| m.address).collect();
        let unknown: Vec<SocketAddr> =
            self.seeds.iter().copied().filter(|seed| !all.contains(seed)).collect();
        all.extend(unknown);
        all
    }

    /// All known members, including this daemon.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let mut all: Vec<Member> = self.lock().members.iter().cloned().collect();
        all.push(self.own.clone());
        all
    }

    /// A number that changes with each change of the known members.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.lock().members.version()
    }

    /// A hash of all known members, including this daemon.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        self.lock().members.fingerprint(self.own.address)
    }

    fn with_owners<T>(&self, f: impl FnOnce(&mut OwnerTable) -> T) -> T {
        let mut peers = self.lock();
        let Peers { members, owners } = &mut *peers;
        let version = members.version();
        if owners.is_outdated(version) {
            let mut all: Vec<Member> = members.iter().cloned().collect();
            all.push(self.own.clone());
            owners.set_members(version, all);
        }
        f(owners)
    }

    /// The owners of a service.
    #[must_use]
    pub fn owners(&self, service: &Arc<str>) -> Arc<ServiceOwners> {
        self.with_owners(|owners| owners.owners(service))
    }

    /// The `count` daemons that come first for `key`, in rendezvous order. Daemons with nearly the
    /// same peers compute nearly the same result.
    #[must_use]
    pub fn top(&self, key: &str, count: usize) -> Vec<SocketAddr> {
        self.with_owners(|owners| owners.top(key, count))
    }
}
