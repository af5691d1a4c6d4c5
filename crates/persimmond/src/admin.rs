//! Health, status, counters and the timeline over HTTP.

#![expect(missing_docs, reason = "the route attributes make items without documentation")]

use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener;
use std::sync::Arc;

use ntex::server::Server;
use ntex::web::{self, App, HttpResponse, HttpServer};
use persimmon_types::Term;
use serde::Serialize;

use crate::control::ControlHandles;
use crate::counters::CounterValues;

/// The state of one daemon, as served at `/status`.
#[derive(Debug, Serialize)]
pub struct StatusReport {
    /// The daemon's name.
    pub name: Arc<str>,
    /// Its failure domain.
    pub place: Arc<str>,
    /// The version of the active table; 0 if none is active yet.
    pub table: u64,
    /// Whether the daemon accepts new work.
    pub ready: bool,
    /// Whether the daemon is shutting down.
    pub draining: bool,
    /// Whether the daemon is isolated, so that its table may be out of date.
    pub cut_off: bool,
    /// The term and primary of each service's group, by service name.
    pub groups: BTreeMap<Arc<str>, GroupReport>,
    /// The values of the daemon's counters.
    pub counters: CounterValues,
}

/// The active term and primary of one group.
#[derive(Debug, Serialize)]
pub struct GroupReport {
    /// The term.
    pub term: Term,
    /// The primary's name, if one is known.
    pub primary: Option<Arc<str>>,
}

/// Serves the administration API on a listener.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub fn serve(handles: ControlHandles, listener: TcpListener) -> io::Result<Server> {
    let server = HttpServer::new(async move || {
        App::new().state(handles.clone()).service((get_live, get_ready, get_status, get_timeline))
    });
    Ok(server.workers(1).disable_signals().listen(listener)?.run())
}

fn report(handles: &ControlHandles) -> StatusReport {
    let snapshot = handles.snapshots.load();
    let mut groups = BTreeMap::new();
    for (service, group) in snapshot.table.services.iter().zip(&snapshot.groups) {
        let primary = group.primary.map(|id| Arc::clone(&snapshot.table.instance_row(id).name));
        groups.insert(Arc::clone(&service.name), GroupReport { term: group.term, primary });
    }
    StatusReport {
        name: Arc::clone(&handles.settings.name),
        place: Arc::clone(&handles.settings.failure_domain),
        table: snapshot.version,
        ready: snapshot.version > 0 && !snapshot.is_draining && !snapshot.is_isolated,
        draining: snapshot.is_draining,
        cut_off: snapshot.is_isolated,
        groups,
        counters: handles.counters.values(),
    }
}

/// Answers whether the process runs.
#[web::get("/live")]
async fn get_live() -> HttpResponse {
    HttpResponse::Ok().body("live\n")
}

/// Answers whether the daemon accepts new work.
#[web::get("/ready")]
async fn get_ready(handles: web::types::State<ControlHandles>) -> HttpResponse {
    if report(&handles).ready {
        return HttpResponse::Ok().body("ready\n");
    }
    HttpResponse::ServiceUnavailable().body("not ready\n")
}

/// Answers with a [`StatusReport`].
#[web::get("/status")]
async fn get_status(handles: web::types::State<ControlHandles>) -> HttpResponse {
    HttpResponse::Ok().json(&report(&handles))
}

/// Answers with the timeline events that the daemon retains.
#[web::get("/timeline")]
async fn get_timeline(handles: web::types::State<ControlHandles>) -> HttpResponse {
    HttpResponse::Ok().json(&handles.journal.events())
}
