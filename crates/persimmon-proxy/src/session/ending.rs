//! Why sessions end, and what their clients are still owed then.

use ntex::codec::Decoder;
use ntex::io::Io;
use persimmon_interfaces::ClientMessage;

use crate::metrics::Metrics;
use crate::session::codec::ClientCodec;
use crate::session::registry::Entry;
use crate::traffic::Worker;

/// Why a session ends. The names of the variants appear in log lines and stay the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndReason {
    /// The client closed the connection, or asked to.
    ClientLeft,
    /// The client sent something that the protocol does not allow.
    ProtocolViolation,
    /// The client took too long to send its startup message.
    StartupTimeout,
    /// The client's startup message was refused.
    StartRefused,
    /// The client's key does not identify a workspace any more.
    KeyRevoked,
    /// Another client needs its place.
    NoRoom,
    /// The client took too long to send the rest of a message.
    HalfMessage,
    /// The client did not read its answers.
    Unread,
    /// The process stops.
    Shutdown,
}

/// Counts the requests that were received and not handled, and the answers that were not sent, when a
/// connection ends, and logs them.
pub(super) fn record(worker: &Worker, entry: &Entry, io: &Io, codec: &ClientCodec) {
    let requests = io.with_read_buf(|buf| {
        let mut count = 0_u64;
        // What follows bytes that cannot be decoded is no request.
        while let Ok(Some(message)) = codec.decode(buf) {
            count += u64::from(matches!(message, ClientMessage::Query(_)));
        }
        count
    });
    let unsent = io.with_write_dst_buf(|buf| buf.len());
    Metrics::add(&worker.metrics.requests_cut, requests);
    if unsent > 0 {
        Metrics::increment(&worker.metrics.answers_cut);
    }
    if (requests > 0 || unsent > 0) && worker.log.should_log(true) {
        tracing::warn!(reason = ?entry.end(), phase = ?entry.phase(), requests, unsent,
            "a connection ended before its requests were answered");
    }
}

impl Entry {
    /// Counts and logs an answer of `bytes` that came after the end of its connection.
    pub(super) fn record_undelivered(&self, worker: &Worker, bytes: usize) {
        Metrics::increment(&worker.metrics.answers_cut);
        if worker.log.should_log(true) {
            tracing::warn!(reason = ?self.end(), bytes,
                "an answer came after the end of its connection");
        }
    }
}
