//! Callers that write without a pause, each write under an identity of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;
use tokio_postgres::{Client, Config, NoTls};

use crate::history::{History, Told};

/// The pause after a refusal or a lost connection.
const PAUSE: Duration = Duration::from_millis(10);

/// Running callers.
#[derive(Debug)]
pub struct Writers {
    /// What they saw.
    pub history: History,
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

/// Connects a real driver to a daemon.
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
        // The end of the connection shows at the client.
        let _ = connection.await;
    });
    Ok(client)
}

/// What an error means for the request that met it.
#[must_use]
pub fn told(err: &tokio_postgres::Error) -> Told {
    match err.code().map(tokio_postgres::error::SqlState::code) {
        // The daemon's own verdict, and refusals before execution.
        Some("PN001" | "57P01" | "3D000" | "53300" | "25P02") => Told::NotRun,
        _ => Told::MayHaveRun,
    }
}

impl Writers {
    /// Starts `count` callers that spread over the daemons and read back what they write.
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
                write(writer, &daemons, &service, &history, &stop).await;
            }));
        }
        Self { history, stop, tasks }
    }

    /// Stops the callers and waits until each has its last answer.
    pub async fn stop(self) -> History {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            // A caller that panicked shows in what it did not note.
            let _ = task.await;
        }
        self.history
    }
}

async fn write(
    writer: usize,
    daemons: &[SocketAddr],
    service: &str,
    history: &History,
    stop: &AtomicBool,
) {
    let mut turn = writer;
    let mut client = None;
    let mut last: Option<String> = None;
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let Some(connected) = connected(&mut client, daemons[turn % daemons.len()], service).await
        else {
            turn += 1;
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        if let Some(id) = &last {
            read_back(connected, history, id).await;
            // The daemon may have let the session go together with the answer.
            if connected.is_closed() {
                turn += 1;
                continue;
            }
        }
        let id = format!("w{writer}-{number}");
        let sql = format!("/* persimmon: once */ INSERT INTO ledger VALUES ('{id}', {number})");
        let sent = Instant::now();
        match connected.batch_execute(&sql).await {
            Ok(()) => {
                history.wrote(&id, sent, Told::Acknowledged);
                last = Some(id);
            }
            Err(err) => {
                history.wrote(&id, sent, told(&err));
                turn += 1;
                // The session moves on to another daemon, where it must still see its writes.
                client = None;
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

async fn connected<'a>(
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
    // A read that was refused shows nothing wrong.
    if let Ok(rows) = client.simple_query(&sql).await {
        let shown = rows.iter().any(|m| matches!(m, tokio_postgres::SimpleQueryMessage::Row(_)));
        history.read(id, shown);
    }
}
