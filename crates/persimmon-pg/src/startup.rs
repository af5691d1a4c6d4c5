//! The first message of a connection.

use std::collections::BTreeMap;

use crate::frame::FrameError;

const CANCEL_CODE: u32 = 80_877_102;
const SSL_CODE: u32 = 80_877_103;
const GSS_CODE: u32 = 80_877_104;

/// What a new connection asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Opening {
    /// Encryption, which may be declined.
    Encryption,
    /// To cancel what another connection runs.
    Cancel {
        /// The process number of that connection.
        pid: i32,
        /// Its secret.
        secret: i32,
    },
    /// To begin a session.
    Session {
        /// The parameters, such as `user` and `database`.
        parameters: BTreeMap<String, String>,
        /// The protocol's minor version, above zero if it must be negotiated down.
        minor: u16,
    },
}

/// Reads a complete first message.
///
/// # Errors
///
/// Returns an error if the message is malformed or of an unknown version.
pub fn opening(message: &[u8]) -> Result<Opening, FrameError> {
    let code = message.get(4..8).ok_or(FrameError::Body)?;
    let code = u32::from_be_bytes([code[0], code[1], code[2], code[3]]);
    match code {
        SSL_CODE | GSS_CODE => return Ok(Opening::Encryption),
        CANCEL_CODE => return cancel(message),
        _ => {}
    }
    let major = u16::try_from(code >> 16).unwrap_or_default();
    let minor = u16::try_from(code & 0xffff).unwrap_or_default();
    if major != 3 {
        return Err(FrameError::Version(major, minor));
    }
    let body = message[8..].strip_suffix(b"\0").ok_or(FrameError::Body)?;
    let text = std::str::from_utf8(body).map_err(|_| FrameError::Body)?;
    let mut parameters = BTreeMap::new();
    let mut words = text.split_terminator('\0');
    while let Some(key) = words.next() {
        let value = words.next().ok_or(FrameError::Body)?;
        parameters.insert(key.to_owned(), value.to_owned());
    }
    Ok(Opening::Session { parameters, minor })
}

fn cancel(message: &[u8]) -> Result<Opening, FrameError> {
    let word = |at: usize| -> Result<i32, FrameError> {
        let bytes = message.get(at..at + 4).ok_or(FrameError::Body)?;
        Ok(i32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
    };
    Ok(Opening::Cancel { pid: word(8)?, secret: word(12)? })
}
