//! The daemons that this one has heard of.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use persimmon_types::rendezvous_weight;

/// Peers remembered; beyond that the oldest are forgotten.
const KNOWN_LIMIT: usize = 512;

/// Peers by address, the latest sign of life last.
#[derive(Debug)]
pub struct PeerList {
    me: SocketAddr,
    known: Mutex<Vec<SocketAddr>>,
    /// Whether enough peers were met to know about how many there are.
    is_settled: AtomicBool,
}

impl PeerList {
    /// Creates the list of a daemon that knows only the seeds.
    #[must_use]
    pub fn new(me: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let list = Self { me, known: Mutex::default(), is_settled: AtomicBool::new(false) };
        for seed in seeds {
            list.note(*seed);
        }
        list
    }

    fn lock(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in a sign of life.
    pub fn note(&self, peer: SocketAddr) {
        if peer == self.me {
            return;
        }
        let mut known = self.lock();
        known.retain(|p| *p != peer);
        known.push(peer);
        if known.len() > KNOWN_LIMIT {
            known.remove(0);
        }
    }

    /// Takes in peers that another daemon has heard of.
    pub fn learn(&self, peers: &[SocketAddr]) {
        let mut known = self.lock();
        for peer in peers {
            if *peer != self.me && !known.contains(peer) && known.len() < KNOWN_LIMIT {
                known.insert(0, *peer);
            }
        }
    }

    /// Forgets a peer that does not answer.
    pub fn forget(&self, peer: SocketAddr) {
        self.lock().retain(|p| *p != peer);
    }

    /// Notes that enough peers were met.
    pub fn settle(&self) {
        self.is_settled.store(true, Ordering::Relaxed);
    }

    /// How many daemons share what is scarce, this one among them, once that is known: a daemon that
    /// has just started knows the seeds only, and all may have started together.
    #[must_use]
    pub fn daemons(&self) -> Option<usize> {
        self.is_settled.load(Ordering::Relaxed).then(|| self.lock().len() + 1)
    }

    /// Every known peer.
    #[must_use]
    pub fn all(&self) -> Vec<SocketAddr> {
        self.lock().clone()
    }

    /// The daemons that sample a service's primary for others, the first first; most daemons
    /// compute nearly the same.
    #[must_use]
    pub fn samplers(&self, service: &Arc<str>, count: usize) -> Vec<SocketAddr> {
        let mut all = self.all();
        all.push(self.me);
        all.sort_by_cached_key(|peer| {
            std::cmp::Reverse(rendezvous_weight(service, &peer.to_string()))
        });
        all.truncate(count);
        all
    }
}
