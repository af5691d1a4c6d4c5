//! Clients that send each request at once on the answer to the one before.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use persimmon_lab::line_cluster::LineClient;

/// What such a client has seen.
#[derive(Debug, Default)]
pub struct Seen {
    /// Requests that succeeded.
    pub served: usize,
    /// Requests that were answered with an error.
    pub refused: usize,
    /// The request that was not answered, and why not.
    pub cut: Option<String>,
}

/// Clients that run until they are stopped or one of their requests is not answered.
pub struct Callers {
    stops: Arc<AtomicBool>,
    running: Vec<JoinHandle<Seen>>,
}

impl Callers {
    /// Starts clients that each send the statements in turn, again and again.
    pub fn start(addresses: &[SocketAddr], database: &str, statements: &[&[&str]]) -> Self {
        let stops = Arc::new(AtomicBool::new(false));
        let mut running = Vec::new();
        for (number, address) in addresses.iter().enumerate() {
            for (kind, texts) in statements.iter().enumerate() {
                let texts: Vec<String> = texts.iter().map(|text| (*text).to_owned()).collect();
                let name = format!("c{number}-{kind}");
                let client = LineClient::open(*address, database, &name).expect("a session");
                let stops = Arc::clone(&stops);
                running.push(std::thread::spawn(move || run(client, &texts, &stops)));
            }
        }
        Self { stops, running }
    }

    /// Stops the clients, each after the answer to its last request.
    pub fn stop(self) -> Vec<Seen> {
        self.stops.store(true, Ordering::Relaxed);
        self.running.into_iter().map(|client| client.join().expect("no panic")).collect()
    }
}

fn run(mut client: LineClient, texts: &[String], stops: &AtomicBool) -> Seen {
    let mut seen = Seen::default();
    while !stops.load(Ordering::Relaxed) {
        for text in texts {
            match client.query(text) {
                Ok(response) if response.result.is_ok() => seen.served += 1,
                Ok(_) => seen.refused += 1,
                Err(err) => {
                    seen.cut = Some(format!("{} {text}: {err}", client.last_id()));
                    return seen;
                }
            }
        }
    }
    seen
}
