//! Zero-copy parsing of messages from clients.

use crate::frame::FrameError;

/// A message from a client, with the fields that the proxy uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrontendMessage<'a> {
    /// A simple query.
    Query(&'a str),
    /// Prepares a statement.
    Parse {
        /// The statement's name, empty for the unnamed statement.
        name: &'a str,
        /// The SQL text.
        sql: &'a str,
    },
    /// Creates a portal from a prepared statement.
    Bind {
        /// The portal's name.
        portal: &'a str,
        /// The statement's name.
        statement: &'a str,
    },
    /// Requests the parameter and row description of a statement.
    DescribeStatement(&'a str),
    /// Requests the row description of a portal.
    DescribePortal(&'a str),
    /// Executes a portal.
    Execute,
    /// Closes a prepared statement.
    CloseStatement(&'a str),
    /// Closes a portal.
    ClosePortal(&'a str),
    /// Ends a series of extended-protocol messages.
    Sync,
    /// Requests the pending responses before the next `Sync`.
    Flush,
    /// Ends the session.
    Terminate,
    /// A message of a `COPY`: `CopyData`, `CopyDone` or `CopyFail`.
    Copy,
    /// A call of the deprecated function call protocol.
    FunctionCall,
    /// An authentication response, which the proxy never requests.
    Password,
}

fn take_cstr(body: &[u8]) -> Result<(&str, &[u8]), FrameError> {
    let end = body.iter().position(|b| *b == 0).ok_or(FrameError::Body)?;
    let text = std::str::from_utf8(&body[..end]).map_err(|_| FrameError::Body)?;
    Ok((text, &body[end + 1..]))
}

fn describe_or_close_target(body: &[u8]) -> Result<(u8, &str), FrameError> {
    let (kind, rest) = body.split_first().ok_or(FrameError::Body)?;
    Ok((*kind, take_cstr(rest)?.0))
}

impl<'a> FrontendMessage<'a> {
    /// Parses a complete message, given with its header.
    ///
    /// # Errors
    ///
    /// Returns an error if the type is unknown or the body is malformed.
    pub fn parse(frame: &'a [u8]) -> Result<Self, FrameError> {
        let tag = *frame.first().ok_or(FrameError::Body)?;
        let body = frame.get(5..).ok_or(FrameError::Body)?;
        let message = match tag {
            b'Q' => Self::Query(take_cstr(body)?.0),
            b'P' => {
                let (name, rest) = take_cstr(body)?;
                Self::Parse { name, sql: take_cstr(rest)?.0 }
            }
            b'B' => {
                let (portal, rest) = take_cstr(body)?;
                Self::Bind { portal, statement: take_cstr(rest)?.0 }
            }
            b'D' => match describe_or_close_target(body)? {
                (b'S', name) => Self::DescribeStatement(name),
                (b'P', name) => Self::DescribePortal(name),
                _ => return Err(FrameError::Body),
            },
            b'C' => match describe_or_close_target(body)? {
                (b'S', name) => Self::CloseStatement(name),
                (b'P', name) => Self::ClosePortal(name),
                _ => return Err(FrameError::Body),
            },
            b'E' => Self::Execute,
            b'S' => Self::Sync,
            b'H' => Self::Flush,
            b'X' => Self::Terminate,
            b'd' | b'c' | b'f' => Self::Copy,
            b'F' => Self::FunctionCall,
            b'p' => Self::Password,
            other => return Err(FrameError::Type(other)),
        };
        Ok(message)
    }
}

/// Returns a copy of a `Parse`, `Bind`, `Describe` or `Close` message with another statement name.
///
/// # Errors
///
/// Returns an error if the body is malformed or the message type has no statement name.
pub fn rename_statement(frame: &[u8], name: &str) -> Result<Vec<u8>, FrameError> {
    let tag = *frame.first().ok_or(FrameError::Body)?;
    let prefix_len = match FrontendMessage::parse(frame)? {
        FrontendMessage::Parse { .. } => 0,
        FrontendMessage::Bind { portal, .. } => portal.len() + 1,
        FrontendMessage::DescribeStatement(_) | FrontendMessage::CloseStatement(_) => 1,
        _ => return Err(FrameError::Type(tag)),
    };
    let body = frame.get(5..).ok_or(FrameError::Body)?;
    let (_, rest) = take_cstr(body.get(prefix_len..).ok_or(FrameError::Body)?)?;
    let length = 4 + prefix_len + name.len() + 1 + rest.len();
    let length_field = u32::try_from(length).map_err(|_| FrameError::Length(length))?;
    let mut out = Vec::with_capacity(length + 1);
    out.push(tag);
    out.extend_from_slice(&length_field.to_be_bytes());
    out.extend_from_slice(&body[..prefix_len]);
    out.extend_from_slice(name.as_bytes());
    out.push(0);
    out.extend_from_slice(rest);
    Ok(out)
}
