//! Probes of instances, each over one persistent connection.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use persimmon_kernel::{Event, InstanceStatus, ProbeFailure, Role};
use persimmon_pg::{Rows, sqlstate};
use persimmon_types::{Clock, Lsn, Position, Term};

use crate::backend::{BackendConnection, BackendError};
use crate::control::ControlHandles;

/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// How long the handshake of a probe connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The probe connection of one instance. A probe takes it out and puts it back if it can be reused.
#[derive(Debug, Default)]
struct ProbeSlot {
    connection: Option<BackendConnection>,
    is_busy: bool,
}

/// Probes instances over one connection each.
pub(crate) struct InstanceProber {
    handles: ControlHandles,
    slots: Rc<RefCell<HashMap<SocketAddr, ProbeSlot>>>,
}

impl InstanceProber {
    pub(crate) fn new(handles: &ControlHandles) -> Self {
        Self { handles: handles.clone(), slots: Rc::default() }
    }

    /// Probes an instance unless a probe of it is in progress.
    pub(crate) fn probe(&self, instance: Arc<str>, address: SocketAddr) {
        let connection = {
            let mut slots = self.slots.borrow_mut();
            let slot = slots.entry(address).or_default();
            if slot.is_busy {
                return;
            }
            slot.is_busy = true;
            slot.connection.take()
        };
        let (handles, slots) = (self.handles.clone(), Rc::clone(&self.slots));
        ntex::rt::spawn(async move {
            let sent = Clock.now();
            let (connection, result) = probe(connection, address).await;
            if let Some(slot) = slots.borrow_mut().get_mut(&address) {
                slot.connection = connection;
                slot.is_busy = false;
            }
            let outcome = match result {
                Ok(status) => Ok(status),
                Err(BackendError::Broken(_)) => Err(ProbeFailure::Refused),
                // An instance at its connection limit is alive, but its state is unknown.
                Err(BackendError::Refused(fields))
                    if fields.code == sqlstate::TOO_MANY_CONNECTIONS =>
                {
                    return;
                }
                Err(_) => Err(ProbeFailure::TimedOut),
            };
            // The control thread lives as long as the process, so a failed send needs no handling.
            let _ = handles.events.send(Event::Probed { instance, sent, outcome });
        });
    }
}

async fn probe(
    connection: Option<BackendConnection>,
    address: SocketAddr,
) -> (Option<BackendConnection>, Result<InstanceStatus, BackendError>) {
    let reusable = connection.filter(|c| !c.is_closed());
    let mut connection = match reusable {
        Some(connection) => connection,
        None => {
            let parameters = [("user", "persimmon"), ("application_name", "probe")];
            match BackendConnection::connect(address, &parameters, CONNECT_TIMEOUT).await {
                Ok(connection) => connection,
                Err(err) => return (None, Err(err)),
            }
        }
    };
    match connection.query("SELECT persimmon_status()", PROBE_TIMEOUT).await {
        Ok(Ok(rows)) => match parse_status(&rows) {
            Some(status) => (Some(connection), Ok(status)),
            None => (None, Err(BackendError::TimedOut)),
        },
        Ok(Err(fields)) => (Some(connection), Err(BackendError::Refused(fields))),
        Err(err) => (None, Err(err)),
    }
}

fn parse_status(rows: &Rows) -> Option<InstanceStatus> {
    let row = rows.first()?;
    let number = |index: usize| row.get(index)?.parse::<u64>().ok();
    Some(InstanceStatus {
        role: if row.first()? == "primary" { Role::Primary } else { Role::Replica },
        term: Term(number(1)?),
        sealed_term: Term(number(2)?),
        log_end: Position::new(Term(number(3)?), Lsn(number(4)?)),
        majority_age_ms: number(5)?,
    })
}
