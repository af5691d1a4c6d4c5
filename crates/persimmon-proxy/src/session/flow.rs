//! What a session does when there is no room for its messages, or its client does not read.

use std::io::Read;
use std::rc::Rc;

use ntex::util::BytesMut;
use persimmon_interfaces::{ErrorCode, Query, Statement};
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::client_limits::{Phase, SMALL_ANSWER};
use crate::metrics::Metrics;
use crate::session::{Session, Tx, ready, refusal};
use crate::statement_job::RETRY_AFTER;
use crate::traffic::{ShutdownStage, Worker};

/// Most bytes that are read of a client's first message before it is refused.
const MAX_STARTUP: usize = 1 << 10;

/// Refuses a client for which there is no room.
pub(crate) fn refuse(worker: &Worker, stream: &TcpStream) {
    let mut buf = BytesMut::with_capacity(64);
    worker.client_protocol.encode(&refusal(ErrorCode::Busy, RETRY_AFTER), &mut buf);
    // Closing a connection with unread bytes resets it, which may discard the reply.
    let _ = (&*SockRef::from(stream)).read(&mut [0; MAX_STARTUP]);
    // The connection is closed whether or not the client learns why.
    let _ = stream.try_write(&buf);
}

impl Session {
    /// What the session waits for before its next request, of which `handled` counts the number.
    pub(super) fn waiting_phase(&self, handled: u32) -> Phase {
        match self.tx {
            Tx::Open { .. } => Phase::Busy,
            Tx::None if handled <= 1 => Phase::Unused,
            Tx::None | Tx::Begun { .. } | Tx::Failed => Phase::Idle,
        }
    }

    /// Refuses a request because messages occupy too much memory.
    pub(super) fn refuse_for_memory(&mut self, query: &Query) {
        let metrics = &self.worker.metrics;
        Metrics::increment(&metrics.messages_refused);
        Metrics::increment(&metrics.statements_not_run);
        if self.worker.log.should_log(true) {
            tracing::info!(id = %query.id, database = %self.database, bytes = query.text.len(),
                total_bytes = self.codec.total(), "not run: messages occupy too much memory");
        }
        let has_transaction = !matches!(self.tx, Tx::None);
        let code = if has_transaction { ErrorCode::Aborted } else { ErrorCode::Busy };
        self.rollback_detached();
        let is_commit = query.statement == Statement::Commit;
        self.tx = if has_transaction && !is_commit { Tx::Failed } else { Tx::None };
        self.send(&[refusal(code, RETRY_AFTER), ready(self.status(), None)]);
    }

    /// Waits until the client's side has taken its answers, if they are large; returns whether the session
    /// continues. A client that takes too long is closed by the sweep of sessions.
    pub(super) async fn await_reader(&mut self) -> bool {
        let unread = self.connection.unsent();
        if unread < SMALL_ANSWER {
            return true;
        }
        let worker = Rc::clone(&self.worker);
        let entry = Rc::clone(&self.codec.entry);
        entry.set_phase(Phase::Unread);
        worker.open_sessions.record_unread(&entry, unread, &worker.log);
        let continues = self.flush().await;
        worker.open_sessions.record_unread(&entry, 0, &worker.log);
        continues
    }

    async fn flush(&mut self) -> bool {
        let mut stage = self.worker.stage.clone();
        loop {
            if *stage.borrow_and_update() >= ShutdownStage::AbortingTransactions {
                return false;
            }
            let idle_left = self.idle_time_left();
            let flushed = tokio::select! {
                biased;
                is_open = self.connection.flush() => Some(is_open),
                _ = stage.changed() => None,
                () = tokio::time::sleep(idle_left.unwrap_or_default()), if idle_left.is_some() => {
                    None
                }
            };
            if let Some(is_open) = flushed {
                return is_open;
            }
            if self.idle_time_left().is_some_and(|left| left.is_zero()) {
                self.end_idle_transaction();
            }
        }
    }
}
