//! Rendezvous hashing: every daemon computes the same order of candidates without messages.
//!
//! Invariant: removing a candidate changes the order of no others.

use crate::entity::DaemonId;
use crate::fingerprint::fingerprint;

fn weight(key: &str, candidate: &DaemonId) -> u64 {
    fingerprint(format!("{key}\0{candidate}").as_bytes())
}

/// The first `count` candidates for `key`, best first.
#[must_use]
pub fn ranked(key: &str, candidates: &[DaemonId], count: usize) -> Vec<DaemonId> {
    let mut all: Vec<(u64, &DaemonId)> = candidates.iter().map(|c| (weight(key, c), c)).collect();
    all.sort_by(|a, b| b.cmp(a));
    all.into_iter().take(count).map(|(_, c)| c.clone()).collect()
}

/// The rank of `me` for `key` among `candidates`; zero is the owner.
#[must_use]
pub fn rank(key: &str, candidates: &[DaemonId], me: &DaemonId) -> usize {
    let mine = (weight(key, me), me);
    candidates.iter().filter(|c| *c != me && (weight(key, c), *c) > mine).count()
}
