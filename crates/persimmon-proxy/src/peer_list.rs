//! The known peer daemons.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use persimmon_types::rendezvous_weight;

/// Maximum number of peers kept; beyond that, the ones seen longest ago are removed.
const MAX_PEERS: usize = 512;

/// Peers by address, the most recently seen last.
#[derive(Debug)]
pub struct PeerList {
    own_address: SocketAddr,
    known: Mutex<Vec<SocketAddr>>,
    /// Whether enough peer lists were exchanged to estimate the number of daemons.
    is_settled: AtomicBool,
}

impl PeerList {
    /// Creates the list of a daemon that knows only the seeds.
    #[must_use]
    pub fn new(own_address: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let list =
            Self { own_address, known: Mutex::default(), is_settled: AtomicBool::new(false) };
        for seed in seeds {
            list.record_alive(*seed);
        }
        list
    }

    fn lock(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a peer is alive.
    pub fn record_alive(&self, peer: SocketAddr) {
        if peer == self.own_address {
            return;
        }
        let mut known = self.lock();
        known.retain(|p| *p != peer);
        known.push(peer);
        if known.len() > MAX_PEERS {
            known.remove(0);
        }
    }

    /// Merges the peers that another daemon knows.
    pub fn merge(&self, peers: &[SocketAddr]) {
        let mut known = self.lock();
        for peer in peers {
            if *peer != self.own_address && !known.contains(peer) && known.len() < MAX_PEERS {
                known.insert(0, *peer);
            }
        }
    }

    /// Removes a peer that does not answer.
    pub fn forget(&self, peer: SocketAddr) {
        self.lock().retain(|p| *p != peer);
    }

    /// Records that enough peer lists were exchanged.
    pub fn mark_settled(&self) {
        self.is_settled.store(true, Ordering::Relaxed);
    }

    /// Number of daemons that share limited resources, including this one. `None` until it is
    /// known: a daemon that has just started knows only the seeds, and all may have started
    /// together.
    #[must_use]
    pub fn daemon_count(&self) -> Option<usize> {
        self.is_settled.load(Ordering::Relaxed).then(|| self.lock().len() + 1)
    }

    /// All known peers.
    #[must_use]
    pub fn all(&self) -> Vec<SocketAddr> {
        self.lock().clone()
    }

    /// The `count` daemons that sample a service's primary for others, in rendezvous order. Daemons
    /// with nearly the same peer lists compute nearly the same result.
    #[must_use]
    pub fn samplers(&self, service: &Arc<str>, count: usize) -> Vec<SocketAddr> {
        let mut all = self.all();
        all.push(self.own_address);
        all.sort_by_cached_key(|peer| {
            std::cmp::Reverse(rendezvous_weight(service, &peer.to_string()))
        });
        all.truncate(count);
        all
    }
}
