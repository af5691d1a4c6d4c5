//! Clients that write continuously, each write with a unique identifier.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;
use tokio_postgres::{Client, Config, NoTls};

use crate::history::{History, ReportedOutcome};

/// Delay before the next attempt after a refusal or a lost connection.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Running clients.
#[derive(Debug)]
pub struct Writers {
    /// The results that they observed.
    pub history: History,
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

/// Connects to a daemon with a real PostgreSQL driver.
///
/// # Errors
///
/// Returns an error if the daemon cannot be reached or refuses the session.
pub async fn connect(address: SocketAddr, service: &str) -> Result<Client, tokio_postgres::Error> {
    let mut config = Config::new();
    config.host(address.ip().to_string()).port(address.port()).user("lab").dbname(service);
    config.connect_timeout(Duration::from_secs(2));
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(async move {
        // The client reports the end of the connection.
        let _ = connection.await;
    });
    Ok(client)
}

/// The outcome that an error reports for its request.
#[must_use]
pub fn reported_outcome(err: &tokio_postgres::Error) -> ReportedOutcome {
    match err.code().map(tokio_postgres::error::SqlState::code) {
        // The daemon's verdict "not run", and errors raised before execution.
        Some("PN001" | "57P01" | "3D000" | "53300" | "25P02") => ReportedOutcome::NotRun,
        _ => ReportedOutcome::MayHaveRun,
    }
}

impl Writers {
    /// Starts `count` clients, spread over the daemons, that read back each acknowledged write.
    #[must_use]
    pub fn start(daemons: &[SocketAddr], service: &str, count: usize) -> Self {
        let history = History::new();
        let stop = Arc::new(AtomicBool::new(false));
        let mut tasks = Vec::new();
        for writer in 0..count {
            let daemons = daemons.to_vec();
            let service = service.to_owned();
            let (history, stop) = (history.clone(), Arc::clone(&stop));
            tasks.push(tokio::spawn(async move {
                run_writer(writer, &daemons, &service, &history, &stop).await;
            }));
        }
        Self { history, stop, tasks }
    }

    /// Stops the clients and waits for the response to each one's last request.
    pub async fn stop(self) -> History {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            // The writes of a client that panicked are missing in the history.
            let _ = task.await;
        }
        self.history
    }
}

async fn run_writer(
    writer: usize,
    daemons: &[SocketAddr],
    service: &str,
    history: &History,
    stop: &AtomicBool,
) {
    let mut daemon_index = writer;
    let mut client = None;
    let mut last_id: Option<String> = None;
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let Some(session) =
            connected_client(&mut client, daemons[daemon_index % daemons.len()], service).await
        else {
            daemon_index += 1;
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        if let Some(id) = &last_id {
            read_back(session, history, id).await;
            // The daemon may have closed the session right after the response.
            if session.is_closed() {
                daemon_index += 1;
                continue;
            }
        }
        let id = format!("w{writer}-{number}");
        let sql = format!("/* persimmon: once */ INSERT INTO ledger VALUES ('{id}', {number})");
        let sent = Instant::now();
        match session.batch_execute(&sql).await {
            Ok(()) => {
                history.record_write(&id, sent, ReportedOutcome::Acknowledged);
                last_id = Some(id);
            }
            Err(err) => {
                history.record_write(&id, sent, reported_outcome(&err));
                daemon_index += 1;
                // The client moves to another daemon, where it must still see its writes.
                client = None;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn connected_client<'a>(
    client: &'a mut Option<Client>,
    address: SocketAddr,
    service: &str,
) -> Option<&'a Client> {
    if client.as_ref().is_none_or(Client::is_closed) {
        *client = connect(address, service).await.ok();
    }
    client.as_ref()
}

async fn read_back(client: &Client, history: &History, id: &str) {
    let sql = format!("SELECT id FROM ledger WHERE id = '{id}'");
    // A refused read violates no guarantee.
    if let Ok(rows) = client.simple_query(&sql).await {
        let is_found = rows.iter().any(|m| matches!(m, tokio_postgres::SimpleQueryMessage::Row(_)));
        history.record_read(id, is_found);
    }
}
