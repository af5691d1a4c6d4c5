//! A 64-bit hash that is stable across hosts and releases.

use std::hash::Hasher;

use twox_hash::XxHash64;

/// Fixed, so that all processes compute the same hashes, also across releases.
const SEED: u64 = 0x7065_7273_696d;

/// Returns the 64-bit fingerprint of `bytes`.
#[must_use]
pub fn fingerprint(bytes: &[u8]) -> u64 {
    let mut hasher = XxHash64::with_seed(SEED);
    hasher.write(bytes);
    hasher.finish()
}
