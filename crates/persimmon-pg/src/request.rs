//! Messages from callers, read in place.

use crate::frame::FrameError;

/// One message from a caller, as far as a proxy needs to know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message<'a> {
    /// A simple query.
    Query(&'a str),
    /// A statement to prepare.
    Parse {
        /// Its name, empty for the unnamed one.
        name: &'a str,
        /// Its text.
        sql: &'a str,
    },
    /// A portal to make out of a prepared statement.
    Bind {
        /// The portal's name.
        portal: &'a str,
        /// The statement's name.
        statement: &'a str,
    },
    /// A question for the shape of a statement.
    DescribeStatement(&'a str),
    /// A question for the shape of a portal.
    DescribePortal(&'a str),
    /// A portal to run.
    Execute,
    /// A statement to forget.
    CloseStatement(&'a str),
    /// A portal to forget.
    ClosePortal(&'a str),
    /// The end of a group of messages.
    Sync,
    /// A wish for answers before the end of the group.
    Flush,
    /// The end of the session.
    Terminate,
    /// A part of a bulk copy.
    Copy,
    /// A call of the outdated function protocol.
    FunctionCall,
    /// A password, which nobody asked for.
    Password,
}

fn text(body: &[u8]) -> Result<(&str, &[u8]), FrameError> {
    let end = body.iter().position(|b| *b == 0).ok_or(FrameError::Body)?;
    let text = std::str::from_utf8(&body[..end]).map_err(|_| FrameError::Body)?;
    Ok((text, &body[end + 1..]))
}

fn target(body: &[u8]) -> Result<(u8, &str), FrameError> {
    let (first, rest) = body.split_first().ok_or(FrameError::Body)?;
    Ok((*first, text(rest)?.0))
}

impl<'a> Message<'a> {
    /// Reads one complete message with its header.
    ///
    /// # Errors
    ///
    /// Returns an error if the type is unknown or the body malformed.
    pub fn read(frame: &'a [u8]) -> Result<Self, FrameError> {
        let tag = *frame.first().ok_or(FrameError::Body)?;
        let body = frame.get(5..).ok_or(FrameError::Body)?;
        let message = match tag {
            b'Q' => Self::Query(text(body)?.0),
            b'P' => {
                let (name, rest) = text(body)?;
                Self::Parse { name, sql: text(rest)?.0 }
            }
            b'B' => {
                let (portal, rest) = text(body)?;
                Self::Bind { portal, statement: text(rest)?.0 }
            }
            b'D' => match target(body)? {
                (b'S', name) => Self::DescribeStatement(name),
                (b'P', name) => Self::DescribePortal(name),
                _ => return Err(FrameError::Body),
            },
            b'C' => match target(body)? {
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

/// The same `Parse`, `Bind` or `Describe` message with another statement name.
///
/// # Errors
///
/// Returns an error if the body is malformed or the type names no statement.
pub fn rename(frame: &[u8], name: &str) -> Result<Vec<u8>, FrameError> {
    let tag = *frame.first().ok_or(FrameError::Body)?;
    let body = frame.get(5..).ok_or(FrameError::Body)?;
    let kept = match tag {
        b'P' => 0,
        b'B' => text(body)?.0.len() + 1,
        b'D' | b'C' => 1,
        other => return Err(FrameError::Type(other)),
    };
    let (_, rest) = text(body.get(kept..).ok_or(FrameError::Body)?)?;
    let length = 4 + kept + name.len() + 1 + rest.len();
    let length_field = u32::try_from(length).map_err(|_| FrameError::Length(length))?;
    let mut out = Vec::with_capacity(length + 1);
    out.push(tag);
    out.extend_from_slice(&length_field.to_be_bytes());
    out.extend_from_slice(&body[..kept]);
    out.extend_from_slice(name.as_bytes());
    out.push(0);
    out.extend_from_slice(rest);
    Ok(out)
}
