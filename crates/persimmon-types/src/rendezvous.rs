//! Rendezvous hashing: every daemon computes the same order of candidates without communication.
//!
//! Invariant: removing a candidate doesn't change the relative order of the others.

use crate::entity::DaemonId;
use crate::fingerprint::fingerprint;

/// Returns the weight of a candidate for `key`; the candidate of highest weight owns the key.
#[must_use]
pub fn rendezvous_weight(key: &str, candidate: &str) -> u64 {
    fingerprint(format!("{key}\0{candidate}").as_bytes())
}

fn weight(key: &str, candidate: &DaemonId) -> u64 {
    rendezvous_weight(key, &candidate.to_string())
}

/// Returns the `count` candidates of highest weight for `key`, in descending order.
#[must_use]
pub fn rendezvous_top(key: &str, candidates: &[DaemonId], count: usize) -> Vec<DaemonId> {
    let mut all: Vec<(u64, &DaemonId)> = candidates.iter().map(|c| (weight(key, c), c)).collect();
    all.sort_by(|a, b| b.cmp(a));
    // `collect` would reuse the allocation for all candidates for the few that are returned.
    let mut top = Vec::with_capacity(count.min(all.len()));
    for (_, candidate) in all.into_iter().take(count) {
        top.push(candidate.clone());
    }
    top
}

/// Returns the rank of `me` for `key` among `candidates`; rank zero is the owner.
#[must_use]
pub fn rendezvous_rank(key: &str, candidates: &[DaemonId], me: &DaemonId) -> usize {
    let mine = (weight(key, me), me);
    candidates.iter().filter(|c| *c != me && (weight(key, c), *c) > mine).count()
}
