//! One connection to a backend server.
//!
//! Invariant: `is_idle` is true only if every message sent has been answered completely, so that a
//! later response cannot belong to an earlier request.

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::codec::Decoder;
use ntex::io::Io;
use ntex::time::{Millis, timeout};
use ntex::util::{Bytes, BytesMut, Either};
use persimmon_pg::{
    ErrorFields, FrameError, Rows, frame_length, parse_error_fields, parse_text_row, query,
    startup_message,
};
use persimmon_types::Term;
use thiserror::Error;

/// Splits a byte stream into protocol messages without decoding them.
#[derive(Clone, Copy, Debug)]
pub struct FrameCodec;

impl Decoder for FrameCodec {
    type Item = Bytes;
    type Error = FrameError;

    fn decode(&self, src: &mut BytesMut) -> Result<Option<Bytes>, FrameError> {
        Ok(frame_length(src)?.map(|length| src.split_to(length)))
    }
}

/// Why a connection can no longer be used.
#[derive(Debug, Error)]
pub enum BackendError {
    /// The connection was refused, reset or closed.
    #[error("refused or reset: {0}")]
    Broken(#[from] io::Error),
    /// No response arrived in time.
    #[error("no answer in time")]
    TimedOut,
    /// The instance refused the startup of the session.
    #[error("{} {}", .0.code, .0.message)]
    Refused(ErrorFields),
    /// The instance violated the protocol.
    #[error("{0}")]
    Protocol(#[from] FrameError),
}

/// The result of a query that the daemon sends for itself: its rows, or the instance's error.
pub type QueryResult = Result<Rows, ErrorFields>;

/// A connection to an instance.
#[derive(Debug)]
pub struct BackendConnection {
    io: Io,
    /// The incarnation of the instance's process, which changes when it restarts; zero if the
    /// instance reported none.
    pub incarnation: u64,
    /// The key that cancels a request on this connection: process ID and secret.
    pub key: (i32, i32),
    /// The address that the instance listens on.
    pub address: SocketAddr,
    /// The hashes of the statements that are prepared on this connection.
    pub prepared: HashSet<u64>,
    /// The term that the instance checks for each statement; `None` if it checks none.
    pub fenced_term: Option<Term>,
    /// Whether every message sent has been answered completely.
    pub is_idle: bool,
}

fn millis(duration: Duration) -> Millis {
    Millis(u32::try_from(duration.as_millis()).unwrap_or(u32::MAX).max(1))
}

impl BackendConnection {
    /// Opens a connection within `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance does not accept the session.
    pub async fn connect(
        address: SocketAddr,
        parameters: &[(&str, &str)],
        limit: Duration,
    ) -> Result<Self, BackendError> {
        let handshake = Self::handshake(address, parameters);
        timeout(millis(limit), handshake).await.unwrap_or(Err(BackendError::TimedOut))
    }

    async fn handshake(
        address: SocketAddr,
        parameters: &[(&str, &str)],
    ) -> Result<Self, BackendError> {
        let io = ntex::rt::tcp_connect(address, SharedCfg::default()).await?;
        let io: Io = io;
        let mut backend = Self {
            io,
            incarnation: 0,
            key: (0, 0),
            address,
            prepared: HashSet::new(),
            fenced_term: None,
            is_idle: true,
        };
        backend.send(&startup_message(parameters))?;
        loop {
            let frame = backend.recv_frame().await?;
            match frame[0] {
                b'E' => return Err(BackendError::Refused(parse_error_fields(&frame))),
                b'S' => backend.apply_parameter_status(&frame),
                b'K' if frame.len() >= 13 => {
                    let read_i32 = |at: usize| {
                        i32::from_be_bytes([frame[at], frame[at + 1], frame[at + 2], frame[at + 3]])
                    };
                    backend.key = (read_i32(5), read_i32(9));
                }
                b'Z' => break,
                _ => {}
            }
        }
        backend.is_idle = true;
        Ok(backend)
    }

    fn apply_parameter_status(&mut self, frame: &[u8]) {
        let mut strings = frame[5..].split(|b| *b == 0);
        let (Some(name), Some(value)) = (strings.next(), strings.next()) else {
            return;
        };
        if name == b"persimmon.incarnation" {
            let value = std::str::from_utf8(value).unwrap_or_default();
            self.incarnation = value.parse().unwrap_or_default();
        }
    }

    /// Sends bytes; the connection has a response outstanding from now on.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.is_idle = false;
        self.io.encode_slice(bytes)
    }

    /// Receives the next message.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks.
    pub async fn recv_frame(&self) -> Result<Bytes, BackendError> {
        match self.io.recv(&FrameCodec).await {
            Ok(Some(frame)) => Ok(frame),
            Ok(None) => Err(BackendError::Broken(io::ErrorKind::UnexpectedEof.into())),
            Err(Either::Left(err)) => Err(BackendError::Protocol(err)),
            Err(Either::Right(err)) => Err(BackendError::Broken(err)),
        }
    }

    /// Whether the instance has closed the connection.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.io.is_closed()
    }

    /// Runs a query that the daemon sends for itself.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks or no response arrives within `limit`.
    pub async fn query(&mut self, sql: &str, limit: Duration) -> Result<QueryResult, BackendError> {
        self.send(&query(sql))?;
        timeout(millis(limit), self.recv_result()).await.unwrap_or(Err(BackendError::TimedOut))
    }

    /// Receives the response to one simple query.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks.
    pub async fn recv_result(&mut self) -> Result<QueryResult, BackendError> {
        let mut rows = Rows::new();
        let mut error = None;
        loop {
            let frame = self.recv_frame().await?;
            match frame[0] {
                b'D' => rows.extend(parse_text_row(&frame)),
                b'E' => {
                    error.get_or_insert_with(|| parse_error_fields(&frame));
                }
                b'Z' => {
                    self.is_idle = true;
                    return Ok(error.map_or(Ok(rows), Err));
                }
                _ => {}
            }
        }
    }
}
