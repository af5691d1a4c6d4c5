//! Readiness and metrics over HTTP.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;

use ntex::server::Server;
use ntex::web::{self, App, HttpResponse, HttpServer};
use tokio::sync::watch;

use crate::metrics::Metrics;
use crate::snapshot::RoutingSnapshot;
use crate::traffic::ShutdownStage;

/// Shared state of the HTTP handlers.
#[derive(Clone)]
pub(crate) struct HttpState {
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) snapshot: watch::Receiver<Arc<RoutingSnapshot>>,
    pub(crate) stage: watch::Receiver<ShutdownStage>,
}

impl HttpState {
    /// A daemon accepts clients once it has the table and the directory, until shutdown starts.
    fn is_ready(&self) -> bool {
        let snapshot = self.snapshot.borrow();
        *self.stage.borrow() == ShutdownStage::Serving
            && snapshot.table.is_some()
            && snapshot.has_directory
    }
}

/// Serves readiness and metrics.
///
/// # Errors
///
/// Returns an error if a listener cannot be used.
pub(crate) fn serve(
    state: HttpState,
    readiness: TcpListener,
    metrics: Option<TcpListener>,
) -> io::Result<Server> {
    let server = HttpServer::new(async move || {
        App::new().state(state.clone()).service((get_ready, get_metrics))
    });
    let mut server = server.workers(1).disable_signals().listen(readiness)?;
    if let Some(metrics) = metrics {
        server = server.listen(metrics)?;
    }
    Ok(server.run())
}

/// Reports whether the daemon accepts new clients.
#[web::get("/ready")]
async fn get_ready(state: web::types::State<HttpState>) -> HttpResponse {
    if state.is_ready() {
        return HttpResponse::Ok().body("ready\n");
    }
    HttpResponse::ServiceUnavailable().body("not ready\n")
}

/// Returns the counters and histograms.
#[web::get("/metrics")]
async fn get_metrics(state: web::types::State<HttpState>) -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(state.metrics.render())
}
