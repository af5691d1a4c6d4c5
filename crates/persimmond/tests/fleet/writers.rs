//! Clients that write without a pause, in the background.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use persimmon_lab::line_cluster::LineClient;

/// Sessions for each daemon.
const SESSIONS: usize = 3;

/// Pause of a session between two writes.
const THINK_TIME: Duration = Duration::from_millis(10);

/// Writers on several daemons, which end when dropped.
pub struct Writers {
    is_over: Arc<AtomicBool>,
    acknowledged: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

impl Writers {
    /// Starts writers of the database `p0` on every daemon.
    pub fn start(addresses: &[SocketAddr]) -> Self {
        let mut writers =
            Self { is_over: Arc::default(), acknowledged: Arc::default(), threads: Vec::new() };
        for (number, address) in addresses.iter().enumerate() {
            for session in 0..SESSIONS {
                let (address, name) = (*address, format!("writer{number}x{session}"));
                let is_over = Arc::clone(&writers.is_over);
                let acknowledged = Arc::clone(&writers.acknowledged);
                let thread =
                    std::thread::spawn(move || write(address, &name, &is_over, &acknowledged));
                writers.threads.push(thread);
            }
        }
        writers
    }

    /// The number of writes that were acknowledged.
    pub fn acknowledged(&self) -> usize {
        self.acknowledged.load(Ordering::Relaxed)
    }
}

impl Drop for Writers {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A writer's panic would fail its own assertions only.
            let _ = thread.join();
        }
    }
}

fn write(address: SocketAddr, name: &str, is_over: &AtomicBool, acknowledged: &AtomicUsize) {
    let mut session = None;
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        std::thread::sleep(THINK_TIME);
        let opened = session.take().map_or_else(|| LineClient::open(address, "p0", name), Ok);
        let Ok(mut client) = opened else {
            continue;
        };
        number += 1;
        if let Ok(answer) = client.query(&format!("WRITE {name} v{number}")) {
            acknowledged.fetch_add(usize::from(answer.result.is_ok()), Ordering::Relaxed);
            session = Some(client);
        }
    }
}
