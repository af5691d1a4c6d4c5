//! Parsing of startup packets, the first message of a connection.

use std::collections::BTreeMap;

use crate::frame::FrameError;

const CANCEL_REQUEST_CODE: u32 = 80_877_102;
const SSL_REQUEST_CODE: u32 = 80_877_103;
const GSSENC_REQUEST_CODE: u32 = 80_877_104;

/// The startup packet of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartupPacket {
    /// An `SSLRequest` or `GSSENCRequest`, which may be declined.
    EncryptionRequest,
    /// A `CancelRequest`, which cancels the query that another connection is running.
    CancelRequest {
        /// The process ID of the connection to cancel.
        pid: i32,
        /// The secret key of that connection.
        secret: i32,
    },
    /// A `StartupMessage`, which starts a session.
    Startup {
        /// The parameters, such as `user` and `database`.
        parameters: BTreeMap<String, String>,
        /// The minor protocol version; a version above zero must be negotiated down.
        minor: u16,
    },
}

/// Parses a complete startup packet.
///
/// # Errors
///
/// Returns an error if the packet is malformed or its protocol version is unsupported.
pub fn parse_startup_packet(packet: &[u8]) -> Result<StartupPacket, FrameError> {
    let code = packet.get(4..8).ok_or(FrameError::Body)?;
    let code = u32::from_be_bytes([code[0], code[1], code[2], code[3]]);
    match code {
        SSL_REQUEST_CODE | GSSENC_REQUEST_CODE => return Ok(StartupPacket::EncryptionRequest),
        CANCEL_REQUEST_CODE => return parse_cancel_request(packet),
        _ => {}
    }
    let major = u16::try_from(code >> 16).unwrap_or_default();
    let minor = u16::try_from(code & 0xffff).unwrap_or_default();
    if major != 3 {
        return Err(FrameError::Version(major, minor));
    }
    let body = packet[8..].strip_suffix(b"\0").ok_or(FrameError::Body)?;
    let text = std::str::from_utf8(body).map_err(|_| FrameError::Body)?;
    let mut parameters = BTreeMap::new();
    let mut strings = text.split_terminator('\0');
    while let Some(key) = strings.next() {
        let value = strings.next().ok_or(FrameError::Body)?;
        parameters.insert(key.to_owned(), value.to_owned());
    }
    Ok(StartupPacket::Startup { parameters, minor })
}

fn parse_cancel_request(packet: &[u8]) -> Result<StartupPacket, FrameError> {
    let read_i32 = |at: usize| -> Result<i32, FrameError> {
        let bytes = packet.get(at..at + 4).ok_or(FrameError::Body)?;
        Ok(i32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
    };
    Ok(StartupPacket::CancelRequest { pid: read_i32(8)?, secret: read_i32(12)? })
}
