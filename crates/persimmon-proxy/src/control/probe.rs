//! Probes instances for the primary and queries their status, on the control thread's own
//! connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use persimmon_interfaces::{Command, ErrorCode, InstanceStatus};
use persimmon_promotion::{Asked, ProbeFinding};

use crate::connection::{BackendConnection, Begin, ConnectionError, DesiredState};
use crate::control::Control;
use crate::snapshot::DirectoryEntry;

/// How long an instance may take to answer whether it is primary: the handshake queues behind the
/// statements that occupy its slots.
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);

/// How long an instance may take to report its status, which waits for a slot.
const STATUS_TIMEOUT: Duration = Duration::from_millis(450);

/// Connections of the control thread, kept open while a service's primary is suspected.
#[derive(Debug, Default)]
pub(crate) struct ProbeConnections {
    idle: RefCell<HashMap<Arc<str>, BackendConnection>>,
}

impl ProbeConnections {
    /// Closes the connections.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    async fn checkout(
        &self,
        control: &Control,
        entry: &DirectoryEntry,
        limit: Duration,
    ) -> Result<BackendConnection, ConnectionError> {
        let idle = self.idle.borrow_mut().remove(&entry.instance.id);
        if let Some(backend) = idle.filter(BackendConnection::is_idle) {
            return Ok(backend);
        }
        BackendConnection::open(&control.instance_protocol, &entry.instance, limit).await
    }

    fn put_back(&self, entry: &DirectoryEntry, backend: BackendConnection) {
        if backend.is_idle() {
            self.idle.borrow_mut().insert(Arc::clone(&entry.instance.id), backend);
        }
    }

    /// Asks every instance whether it is primary.
    pub(crate) async fn probe(
        &self,
        control: &Control,
        entries: &[DirectoryEntry],
    ) -> Vec<(Arc<str>, ProbeFinding)> {
        let queries = entries.iter().map(|entry| async {
            (Arc::clone(&entry.instance.id), self.probe_one(control, entry).await)
        });
        join_all(queries).await
    }

    async fn probe_one(&self, control: &Control, entry: &DirectoryEntry) -> ProbeFinding {
        let mut backend = match self.checkout(control, entry, PROBE_TIMEOUT).await {
            Ok(backend) => backend,
            Err(err) => return finding(&err),
        };
        let begin = Some(Begin { is_read_only: false, after: None });
        let desired = DesiredState { begin, ..DesiredState::default() };
        let found = match backend.apply_state(&desired, PROBE_TIMEOUT).await {
            Ok(Some(answer)) if answer.result.is_ok() => ProbeFinding::Leads,
            Ok(Some(answer)) if answer.code() == Some(&ErrorCode::ReadOnly) => {
                ProbeFinding::Follows
            }
            // It answers without saying whether it is the primary.
            Ok(_) => ProbeFinding::Busy,
            Err(err) => return finding(&err),
        };
        if backend.has_transaction {
            let ended = match backend.send(&[Command::Rollback]) {
                Ok(()) => backend.answer(PROBE_TIMEOUT).await.map(|_| ()),
                Err(err) => Err(err),
            };
            if let Err(err) = ended {
                tracing::debug!(instance = %entry.instance.id, error = %err,
                    "the rollback of a probe failed");
            }
        }
        self.put_back(entry, backend);
        found
    }

    /// Sends every instance a command that is answered with its status.
    pub(crate) async fn query_status(
        &self,
        control: &Control,
        entries: &[DirectoryEntry],
        command: Command<'_>,
    ) -> Vec<Asked> {
        let queries = entries.iter().map(|entry| async move {
            let mut is_late = false;
            let status = match self.query_one(control, entry, command).await {
                Ok(status) => status,
                Err(err) => {
                    is_late = matches!(err, ConnectionError::TimedOut);
                    tracing::info!(instance = %entry.instance.id, ?command, error = %err,
                        "querying the status of an instance failed");
                    None
                }
            };
            let is_draining = entry.instance.is_draining || entry.missing_for.is_some();
            Asked { id: Arc::clone(&entry.instance.id), is_draining, is_late, status }
        });
        join_all(queries).await
    }

    async fn query_one(
        &self,
        control: &Control,
        entry: &DirectoryEntry,
        command: Command<'_>,
    ) -> Result<Option<InstanceStatus>, ConnectionError> {
        let mut backend = self.checkout(control, entry, STATUS_TIMEOUT).await?;
        backend.send(&[command])?;
        let answer = backend.answer(STATUS_TIMEOUT).await?;
        let status =
            answer.rows.first().and_then(|row| control.instance_protocol.parse_status(row));
        self.put_back(entry, backend);
        Ok(status)
    }
}

fn finding(err: &ConnectionError) -> ProbeFinding {
    match err {
        // The host accepts connections; the answer is waiting for a slot.
        ConnectionError::TimedOut => ProbeFinding::Busy,
        ConnectionError::Broken(err) if err.kind() == io::ErrorKind::TimedOut => {
            ProbeFinding::Silent
        }
        // Another instance answers at the address.
        ConnectionError::Refused(ErrorCode::WrongInstance, _) => ProbeFinding::Refused,
        ConnectionError::Refused(..) => ProbeFinding::Busy,
        ConnectionError::Broken(_) | ConnectionError::Protocol(_) => ProbeFinding::Refused,
    }
}
