//! Starts and ends sessions: every end of a client's connection that is not the client's own goes through
//! this file or [`Sessions::close_if_idle`](crate::session::registry::Sessions).

use std::sync::Arc;
use std::time::Duration;

use persimmon_interfaces::ClientMessage;
use persimmon_workspace::ClientKey;

use crate::client_limits::Phase;
use crate::metrics::Metrics;
use crate::session::codec::ClientCodec;
use crate::session::registry::Entry;
use crate::session::{Session, Tx};
use crate::traffic::{ShutdownStage, Worker};

/// How long a client may take to send its startup message.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(5);

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

/// Receives the startup message of a client.
///
/// # Errors
///
/// Returns why the session ends if there is none.
pub(super) async fn receive_startup(
    entry: &Entry,
    codec: &ClientCodec,
) -> Result<(Arc<str>, ClientKey), EndReason> {
    let connection = entry.connection();
    loop {
        let received = tokio::time::timeout(STARTUP_TIMEOUT, connection.receive(codec)).await;
        return match received {
            Ok(Ok(Some(ClientMessage::Open { database, key }))) => Ok((database, key)),
            Ok(Ok(None)) => Err(EndReason::ClientLeft),
            Ok(Ok(Some(_)) | Err(_)) => Err(EndReason::ProtocolViolation),
            // The rest of the message may have arrived with the end of the time.
            Err(_) if !connection.close() => continue,
            Err(_) => Err(EndReason::StartupTimeout),
        };
    }
}

/// Sends what is left of a session's answers and closes its connection.
pub(super) async fn end(worker: &Worker, entry: &Entry, reason: EndReason) {
    let connection = entry.connection();
    entry.record_end(reason);
    if connection.unsent() > 0 && !connection.is_closed() {
        // The sweep of sessions bounds the wait.
        entry.set_phase(Phase::Unread);
        worker.open_sessions.record_unread(entry, connection.unsent(), &worker.log);
        connection.flush().await;
    }
    connection.abort();
    let (requests, unsent) = (connection.unhandled(), connection.unsent());
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

impl Session {
    /// Whether open transactions are rolled back, as the process stops.
    pub(super) fn is_aborting(&self) -> bool {
        *self.worker.stage.borrow() >= ShutdownStage::AbortingTransactions
    }

    /// Why the session ends as soon as its connection is at rest; `None` if it does not.
    pub(super) fn end_at_rest(&self, stage: ShutdownStage) -> Option<EndReason> {
        let is_idle = matches!(self.tx, Tx::None);
        if stage >= ShutdownStage::AbortingTransactions
            || (stage >= ShutdownStage::ClosingIdle && is_idle)
        {
            return Some(EndReason::Shutdown);
        }
        (self.is_key_refused && is_idle).then_some(EndReason::KeyRevoked)
    }

    /// Why a session ends whose client has not read its answers.
    pub(super) fn unflushed_reason(&self) -> EndReason {
        if self.is_aborting() { EndReason::Shutdown } else { EndReason::ClientLeft }
    }
}
