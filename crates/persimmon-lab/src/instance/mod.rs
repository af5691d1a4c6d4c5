//! A fake instance of a database group.
//!
//! It runs real SQL on an embedded engine and enforces what a real instance would: its connection
//! limit, its execution slots, read-only replicas and the term of every statement.

mod engine;
mod functions;
mod replica;
mod session;
mod sql;
mod state;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

pub use state::{Instance, Stats};

/// The configuration of a fake instance.
#[derive(Clone, Debug)]
pub struct InstanceConfig {
    /// The instance's name in the table.
    pub name: String,
    /// The address on which it listens; port zero picks a free port.
    pub listen: SocketAddr,
    /// The number of instances in its group.
    pub group_size: usize,
    /// The address of the primary of term 1; `None` if this instance is that primary.
    pub follow: Option<SocketAddr>,
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Maximum number of statements executed concurrently.
    pub slots: usize,
    /// The delay before a new connection is served.
    pub connect_delay: Duration,
    /// How long after its commit a replica receives an entry.
    pub ship_lag: Duration,
    /// How long after its commit a replica applies an entry.
    pub apply_lag: Duration,
    /// The minimum execution time of every statement.
    pub min_statement_time: Duration,
    /// The directory for its files.
    pub dir: PathBuf,
}

/// Starts an instance on threads of this process and returns it with its listening address.
///
/// # Errors
///
/// Returns an error if it cannot listen or its files cannot be opened.
pub fn start(cfg: InstanceConfig) -> io::Result<(Arc<Instance>, SocketAddr)> {
    let listener = TcpListener::bind(cfg.listen)?;
    let address = listener.local_addr()?;
    let instance = Arc::new(Instance::open(cfg)?);
    replica::spawn(&instance);
    let acceptor = Arc::clone(&instance);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                continue;
            };
            let instance = Arc::clone(&acceptor);
            std::thread::spawn(move || session::serve(&instance, stream));
        }
    });
    Ok((instance, address))
}
