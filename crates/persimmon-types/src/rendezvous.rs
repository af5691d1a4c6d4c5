//! Rendezvous hashing: every daemon computes the same order of candidates without messages.
//!
//! Invariant: removing a candidate changes the order of no others.

use crate::entity::DaemonId;
use crate::fingerprint::fingerprint;

/// The weight of a candidate for `key`; the highest owns it.
#[must_use]
pub fn rendezvous_weight(key: &str, candidate: &str) -> u64 {
    fingerprint(format!("{key}\0{candidate}").as_bytes())
}

fn weight(key: &str, candidate: &DaemonId) -> u64 {
    rendezvous_weight(key, &candidate.to_string())
}

/// The first `count` candidates for `key`, best first.
#[must_use]
pub fn ranked(key: &str, candidates: &[DaemonId], count: usize) -> Vec<DaemonId> {
    let mut all: Vec<(u64, &DaemonId)> = candidates.iter().map(|c| (weight(key, c), c)).collect();
    all.sort_by(|a, b| b.cmp(a));
    // Collecting would keep the allocation for all candidates behind the few that are returned.
    let mut first = Vec::with_capacity(count.min(all.len()));
    for (_, candidate) in all.into_iter().take(count) {
        first.push(candidate.clone());
    }
    first
}

/// The rank of `me` for `key` among `candidates`; zero is the owner.
#[must_use]
pub fn rank(key: &str, candidates: &[DaemonId], me: &DaemonId) -> usize {
    let mine = (weight(key, me), me);
    candidates.iter().filter(|c| *c != me && (weight(key, c), *c) > mine).count()
}
