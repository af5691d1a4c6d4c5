//! Health, status, counters and the time line over HTTP.

#![expect(missing_docs, reason = "the route attributes make items without documentation")]

use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener;
use std::sync::Arc;

use ntex::server::Server;
use ntex::web::{self, App, HttpResponse, HttpServer};
use persimmon_types::Term;
use serde::Serialize;

use crate::control::Links;
use crate::counters::CounterValues;

/// What one daemon says of itself at `/status`.
#[derive(Debug, Serialize)]
pub struct StatusReport {
    /// The daemon's name.
    pub name: Arc<str>,
    /// Its failure domain.
    pub place: Arc<str>,
    /// The table's version in force.
    pub table: u64,
    /// Whether it takes new work.
    pub ready: bool,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Whether it may be without the table in force.
    pub cut_off: bool,
    /// The term and primary of each service.
    pub groups: BTreeMap<Arc<str>, GroupReport>,
    /// What it has counted.
    pub counters: CounterValues,
}

/// What is in force for one group.
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
pub fn serve(links: Links, listener: TcpListener) -> io::Result<Server> {
    let server = HttpServer::new(async move || {
        App::new().state(links.clone()).service((get_live, get_ready, get_status, get_timeline))
    });
    Ok(server.workers(1).disable_signals().listen(listener)?.run())
}

fn report(links: &Links) -> StatusReport {
    let view = links.snapshots.load();
    let mut groups = BTreeMap::new();
    for (service, group) in view.table.services.iter().zip(&view.groups) {
        let primary = group.primary.map(|id| Arc::clone(&view.table.instance_row(id).name));
        groups.insert(Arc::clone(&service.name), GroupReport { term: group.term, primary });
    }
    StatusReport {
        name: Arc::clone(&links.settings.name),
        place: Arc::clone(&links.settings.place),
        table: view.version,
        ready: view.version > 0 && !view.draining && !view.cut_off,
        draining: view.draining,
        cut_off: view.cut_off,
        groups,
        counters: links.counters.values(),
    }
}

/// Answers whether the process runs.
#[web::get("/live")]
async fn get_live() -> HttpResponse {
    HttpResponse::Ok().body("live\n")
}

/// Answers whether the daemon takes new work.
#[web::get("/ready")]
async fn get_ready(links: web::types::State<Links>) -> HttpResponse {
    if report(&links).ready {
        return HttpResponse::Ok().body("ready\n");
    }
    HttpResponse::ServiceUnavailable().body("not ready\n")
}

/// Answers with a [`StatusReport`].
#[web::get("/status")]
async fn get_status(links: web::types::State<Links>) -> HttpResponse {
    HttpResponse::Ok().json(&report(&links))
}

/// Answers with the events that the daemon keeps.
#[web::get("/timeline")]
async fn get_timeline(links: web::types::State<Links>) -> HttpResponse {
    HttpResponse::Ok().json(&links.journal.events())
}
