//! Message framing: finds the length of the next message in a buffer.

use thiserror::Error;

/// The maximum length of a message accepted from a client or an instance, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// The maximum length of a startup packet in bytes, the same as in the PostgreSQL server.
const MAX_STARTUP_BYTES: usize = 10_000;

/// The length of a message's type byte and length field, in bytes.
const HEADER_BYTES: usize = 5;

/// The reason why bytes are not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The length field is out of bounds.
    #[error("a message claims a length of {0} bytes")]
    Length(usize),
    /// The type byte is unknown.
    #[error("unknown message type 0x{0:02x}")]
    Type(u8),
    /// The body doesn't have the fields that the message type requires.
    #[error("malformed message body")]
    Body,
    /// The startup packet has an unsupported protocol version.
    #[error("unsupported protocol version {0}.{1}")]
    Version(u16, u16),
}

fn be_u32(bytes: &[u8]) -> usize {
    let mut word = [0_u8; 4];
    word.copy_from_slice(&bytes[..4]);
    u32::from_be_bytes(word) as usize
}

/// Returns the length of the first message in `buf`, including its header, or `None` if the message
/// is incomplete.
///
/// # Errors
///
/// Returns an error if the bytes can't be the start of a message.
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

/// Returns the length of the startup packet in `buf`, which has no type byte, or `None` if the
/// packet is incomplete.
///
/// # Errors
///
/// Returns an error if the bytes can't be the start of a startup packet.
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
