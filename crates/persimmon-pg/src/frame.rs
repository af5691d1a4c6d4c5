//! Finds where messages end.

use thiserror::Error;

/// The longest message accepted from a caller or an instance, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// The longest first message, in bytes, as the protocol's reference server allows.
const MAX_STARTUP_BYTES: usize = 10_000;

/// The length of a message's type and length fields, in bytes.
const HEADER_BYTES: usize = 5;

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The length field is out of bounds.
    #[error("a message claims a length of {0} bytes")]
    Length(usize),
    /// The type byte is none of the protocol's.
    #[error("unknown message type 0x{0:02x}")]
    Type(u8),
    /// The body does not have the parts that its type demands.
    #[error("malformed message body")]
    Body,
    /// The first message has an unknown protocol version.
    #[error("unsupported protocol version {0}.{1}")]
    Version(u16, u16),
}

fn be_u32(bytes: &[u8]) -> usize {
    let mut word = [0_u8; 4];
    word.copy_from_slice(&bytes[..4]);
    u32::from_be_bytes(word) as usize
}

/// The length of the first message in `buf` with its header, or nothing until it is complete.
///
/// # Errors
///
/// Returns an error if the bytes cannot begin a message.
pub fn frame_length(buf: &[u8]) -> Result<Option<usize>, FrameError> {
    let Some(tag) = buf.first() else {
        return Ok(None);
    };
    if !tag.is_ascii_alphanumeric() {
        return Err(FrameError::Type(*tag));
    }
    if buf.len() < HEADER_BYTES {
        return Ok(None);
    }
    let length = be_u32(&buf[1..]);
    if !(4..=MAX_FRAME_BYTES).contains(&length) {
        return Err(FrameError::Length(length));
    }
    Ok((buf.len() > length).then_some(length + 1))
}

/// The length of the first message of a connection, which has no type byte.
///
/// # Errors
///
/// Returns an error if the bytes cannot begin such a message.
pub fn startup_length(buf: &[u8]) -> Result<Option<usize>, FrameError> {
    if buf.len() < 4 {
        return Ok(None);
    }
    let length = be_u32(buf);
    if !(8..=MAX_STARTUP_BYTES).contains(&length) {
        return Err(FrameError::Length(length));
    }
    Ok((buf.len() >= length).then_some(length))
}
