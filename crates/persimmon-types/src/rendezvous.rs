//! Rendezvous hashing: every daemon computes the same order of candidates without messages.
//!
//! Invariant: removing a candidate changes the order of no others.

use std::hash::Hasher;

use twox_hash::XxHash64;

use crate::entity::DaemonId;

/// The seed is fixed so that all daemons agree, also across releases.
const SEED: u64 = 0x7065_7273_696d;

fn weight(key: &str, candidate: &DaemonId) -> u64 {
    let mut hasher = XxHash64::with_seed(SEED);
    hasher.write(key.as_bytes());
    hasher.write_u8(0);
    hasher.write(candidate.as_str().as_bytes());
    hasher.finish()
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
