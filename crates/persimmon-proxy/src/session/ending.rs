//! The first message of a session, and its end.
//!
//! Invariant: every accepted connection that had room ends in [`end`], which counts what its client is
//! still owed. It may have been closed before: without a whole message, or with answers that are not read.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use ntex::util::BytesMut;
use persimmon_interfaces::{ClientMessage, ErrorCode, ProtocolError, Reply};
use persimmon_types::Clock;
use persimmon_workspace::ClientKey;

use crate::client_limits::Phase;
use crate::metrics::Metrics;
use crate::session::codec::ClientCodec;
use crate::session::registry::Entry;
use crate::session::{Session, Tx, error, refusal};
use crate::statement_job::RETRY_AFTER;
use crate::traffic::{ShutdownStage, Worker};

/// How long a client may take to send its startup message.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after an answer within which a client's next request is awaited before its session is ended:
/// some round trips of a client in another failure domain.
const REST_TIME: Duration = Duration::from_millis(250);

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
/// Returns why the session ends if there is none; the client is told what was wrong with its message.
pub(super) async fn receive_startup(
    entry: &Entry,
    codec: &ClientCodec,
) -> Result<(Arc<str>, ClientKey), EndReason> {
    let connection = entry.connection();
    loop {
        let received = tokio::time::timeout(STARTUP_TIMEOUT, connection.receive(codec)).await;
        let reply = match received {
            Ok(Ok(Some(ClientMessage::Open { database, key }))) => return Ok((database, key)),
            Ok(Ok(None | Some(ClientMessage::Terminate))) => return Err(EndReason::ClientLeft),
            Ok(Ok(Some(ClientMessage::Query(_)))) => {
                error(ErrorCode::Malformed, "no session is open")
            }
            Ok(Err(err)) => violation(&err),
            // The rest of the message may have arrived with the end of the time.
            Err(_) if !connection.try_close() => continue,
            Err(_) => return Err(EndReason::StartupTimeout),
        };
        let mut buf = BytesMut::new();
        codec.protocol.encode(&reply, &mut buf);
        connection.send(buf);
        return Err(EndReason::ProtocolViolation);
    }
}

/// The last reply to a client that violated the protocol.
pub(super) fn violation(err: &ProtocolError) -> Reply {
    match err {
        ProtocolError::NoRoom => refusal(ErrorCode::Busy, RETRY_AFTER),
        _ => error(ErrorCode::Malformed, &err.to_string()),
    }
}

/// Sends what is left of a session's answers, closes its connection, and counts and logs the requests
/// that were not handled and the answers that were not sent.
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
    let (requests, answers) = (connection.drop_requests(), connection.unsent_answers());
    if requests == 0 && answers == 0 {
        return;
    }
    let failure = connection.failure();
    let has_left = matches!(failure, Some(ErrorKind::ConnectionReset | ErrorKind::BrokenPipe));
    if has_left {
        Metrics::add(&worker.metrics.answers_abandoned, answers);
    } else {
        Metrics::add(&worker.metrics.requests_cut, requests);
        Metrics::add(&worker.metrics.answers_cut, answers);
    }
    if worker.log.should_log(true) {
        tracing::warn!(reason = ?entry.end(), ?failure, phase = ?entry.phase(), requests, answers,
            unsent = connection.dropped(), "a connection ended before its requests were answered");
    }
}

impl Session {
    /// Whether open transactions are rolled back, as the process stops.
    pub(super) fn is_aborting(&self) -> bool {
        *self.worker.stage.borrow() >= ShutdownStage::AbortingTransactions
    }

    /// Time until the session ends if no message arrives; `None` if it does not end.
    pub(super) fn time_to_end(&self, stage: ShutdownStage) -> Option<Duration> {
        let ends = match stage {
            ShutdownStage::Serving | ShutdownStage::NotReady => false,
            ShutdownStage::ClosingIdle => matches!(self.tx, Tx::None),
            ShutdownStage::AbortingTransactions => true,
        };
        ends.then(|| (self.answered_at + REST_TIME).since(Clock.now()))
    }

    /// Closes the connection unless a message has arrived; returns whether the session ends. A message
    /// that is arriving is waited for, unless the process is about to end.
    pub(super) fn try_end(&mut self) -> bool {
        if self.connection.unsent() > 0 {
            return true;
        }
        if self.connection.has_partial_message() && !self.is_aborting() {
            self.answered_at = Clock.now();
            return false;
        }
        self.connection.try_close()
    }

    /// Why a session ends whose client has not read its answers.
    pub(super) fn unflushed_reason(&self) -> EndReason {
        if self.is_aborting() { EndReason::Shutdown } else { EndReason::ClientLeft }
    }
}
