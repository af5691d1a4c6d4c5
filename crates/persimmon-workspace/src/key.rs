//! Digests of client keys.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Bytes of the digest that are kept; collisions remain out of reach.
const DIGEST_BYTES: usize = 16;

/// The digest of a client's key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ClientKey([u8; DIGEST_BYTES]);

/// The error for a text that is not an encoded digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not the digest of a key")]
pub struct InvalidKey;

impl ClientKey {
    /// Returns the digest of a key's text.
    #[must_use]
    pub fn digest(text: &str) -> Self {
        let digest = Sha256::digest(text.as_bytes());
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&digest[..DIGEST_BYTES]);
        Self(bytes)
    }
}

// Neither the digest nor the text appears in logs.
impl fmt::Debug for ClientKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClientKey")
    }
}

impl From<ClientKey> for String {
    fn from(key: ClientKey) -> Self {
        key.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl TryFrom<String> for ClientKey {
    type Error = InvalidKey;

    fn try_from(text: String) -> Result<Self, InvalidKey> {
        if text.len() != DIGEST_BYTES * 2 || !text.is_ascii() {
            return Err(InvalidKey);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| InvalidKey)?;
        }
        Ok(Self(bytes))
    }
}
