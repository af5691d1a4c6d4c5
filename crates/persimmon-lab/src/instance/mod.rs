//! The stand-in of one instance of a database group.
//!
//! It runs real SQL on an embedded engine and enforces what a real instance would: its connection
//! cap, its slots, read-only replicas and the term of every statement.

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

/// How a stand-in instance behaves.
#[derive(Clone, Debug)]
pub struct InstanceConfig {
    /// Its name in the table.
    pub name: String,
    /// Where it listens; port zero picks a free one.
    pub listen: SocketAddr,
    /// How many instances its group has.
    pub members: usize,
    /// The primary of term 1, unless it is that primary itself.
    pub follow: Option<SocketAddr>,
    /// How many connections it accepts.
    pub connections: usize,
    /// How many statements it executes at once.
    pub slots: usize,
    /// How long it takes to accept a connection.
    pub connect_delay: Duration,
    /// How much later than its commit a replica receives an entry.
    pub ship_lag: Duration,
    /// How much later than its commit a replica applies an entry.
    pub apply_lag: Duration,
    /// How long every statement takes at the least.
    pub statement_time: Duration,
    /// Where it keeps its files.
    pub dir: PathBuf,
}

/// Starts an instance on threads of this process and returns it with its address.
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
