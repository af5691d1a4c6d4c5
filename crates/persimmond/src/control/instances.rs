//! Probes of instances, each over one lasting connection.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use persimmon_kernel::{Event, ProbeFailure, Role, Status};
use persimmon_pg::{Rows, sqlstate};
use persimmon_types::{Clock, Lsn, Position, Term};

use crate::backend::{Backend, BackendError};
use crate::control::Links;

/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// How long the connection for probes may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The connection for probes of one instance; absent while a probe uses it.
#[derive(Debug, Default)]
struct Link {
    backend: Option<Backend>,
    busy: bool,
}

/// The connections for probes.
pub(crate) struct Instances {
    links: Links,
    open: Rc<RefCell<HashMap<SocketAddr, Link>>>,
}

impl Instances {
    pub(crate) fn new(links: &Links) -> Self {
        Self { links: links.clone(), open: Rc::default() }
    }

    /// Probes an instance unless a probe of it is under way.
    pub(crate) fn probe(&self, instance: Arc<str>, address: SocketAddr) {
        let backend = {
            let mut open = self.open.borrow_mut();
            let link = open.entry(address).or_default();
            if link.busy {
                return;
            }
            link.busy = true;
            link.backend.take()
        };
        let (links, open) = (self.links.clone(), Rc::clone(&self.open));
        ntex::rt::spawn(async move {
            let sent = Clock.now();
            let (backend, result) = probe(backend, address).await;
            if let Some(link) = open.borrow_mut().get_mut(&address) {
                link.backend = backend;
                link.busy = false;
            }
            let outcome = match result {
                Ok(status) => Ok(status),
                Err(BackendError::Broken(_)) => Err(ProbeFailure::Refused),
                // An instance that is full is alive; its state stays unknown.
                Err(BackendError::Refused(fields))
                    if fields.code == sqlstate::TOO_MANY_CONNECTIONS =>
                {
                    return;
                }
                Err(_) => Err(ProbeFailure::TimedOut),
            };
            // The control thread is gone only when the process ends.
            let _ = links.events.send(Event::Probed { instance, sent, outcome });
        });
    }
}

async fn probe(
    backend: Option<Backend>,
    address: SocketAddr,
) -> (Option<Backend>, Result<Status, BackendError>) {
    let kept = backend.filter(|b| !b.is_closed());
    let mut backend = match kept {
        Some(backend) => backend,
        None => {
            let parameters = [("user", "persimmon"), ("application_name", "probe")];
            match Backend::connect(address, &parameters, CONNECT_TIMEOUT).await {
                Ok(backend) => backend,
                Err(err) => return (None, Err(err)),
            }
        }
    };
    match backend.query("SELECT persimmon_status()", PROBE_TIMEOUT).await {
        Ok(Ok(rows)) => match status(&rows) {
            Some(status) => (Some(backend), Ok(status)),
            None => (None, Err(BackendError::TimedOut)),
        },
        Ok(Err(fields)) => (Some(backend), Err(BackendError::Refused(fields))),
        Err(err) => (None, Err(err)),
    }
}

fn status(rows: &Rows) -> Option<Status> {
    let row = rows.first()?;
    let number = |index: usize| row.get(index)?.parse::<u64>().ok();
    Some(Status {
        role: if row.first()? == "primary" { Role::Primary } else { Role::Replica },
        term: Term(number(1)?),
        sealed: Term(number(2)?),
        end: Position::new(Term(number(3)?), Lsn(number(4)?)),
        majority_age_ms: number(5)?,
    })
}
