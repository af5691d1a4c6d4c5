//! Readiness and metrics over HTTP.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;

use ntex::server::Server;
use ntex::web::{self, App, HttpResponse, HttpServer};
use tokio::sync::watch;

use crate::metrics::Metrics;
use crate::traffic::Stage;
use crate::view::View;

/// What the answers are made of.
#[derive(Clone)]
pub(crate) struct Ops {
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) stage: watch::Receiver<Stage>,
}

impl Ops {
    /// A daemon takes callers once it knows the table and the instances, until it is to stop.
    fn is_ready(&self) -> bool {
        let view = self.view.borrow();
        *self.stage.borrow() == Stage::Serving && view.table.is_some() && view.has_directory
    }
}

/// Serves readiness and metrics.
///
/// # Errors
///
/// Returns an error if a listener cannot be used.
pub(crate) fn serve(
    ops: Ops,
    readiness: TcpListener,
    metrics: Option<TcpListener>,
) -> io::Result<Server> {
    let server = HttpServer::new(async move || {
        App::new().state(ops.clone()).service((get_ready, get_metrics))
    });
    let mut server = server.workers(1).disable_signals().listen(readiness)?;
    if let Some(metrics) = metrics {
        server = server.listen(metrics)?;
    }
    Ok(server.run())
}

/// Answers whether the daemon takes new callers.
#[web::get("/ready")]
async fn get_ready(ops: web::types::State<Ops>) -> HttpResponse {
    if ops.is_ready() {
        return HttpResponse::Ok().body("ready\n");
    }
    HttpResponse::ServiceUnavailable().body("not ready\n")
}

/// Answers with the counters and histograms.
#[web::get("/metrics")]
async fn get_metrics(ops: web::types::State<Ops>) -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(ops.metrics.render())
}
