//! Counters that the daemon's threads increment and the control thread reports through `cadence`.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cadence::prelude::*;
use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use serde::Serialize;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// The counters of one daemon since its start.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: AtomicU64,)*
        }

        /// The values of the counters at one instant.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
        pub struct CounterValues {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl Counters {
            /// Reads every counter.
            #[must_use]
            pub fn values(&self) -> CounterValues {
                CounterValues { $($name: self.$name.load(Ordering::Relaxed),)* }
            }
        }

        impl CounterValues {
            fn each(&self, mut f: impl FnMut(&'static str, u64)) {
                $(f(stringify!($name), self.$name);)*
            }
        }
    };
}

counters! {
    /// Client connections accepted.
    callers_accepted,
    /// Client connections that ended.
    callers_ended,
    /// Requests of any kind.
    requests,
    /// Reads served by replicas.
    replica_reads,
    /// Reads that the primary served although a replica was allowed to.
    primary_reads,
    /// Writes acknowledged.
    writes,
    /// Retries of requests.
    retries,
    /// Requests refused with the verdict "not run".
    refused_not_run,
    /// Requests refused with the verdict "may have run".
    refused_may_have_run,
    /// Connections opened to backend servers.
    backend_connects,
    /// Connections to backend servers that failed.
    backend_failures,
    /// Checks of a replica's applied position.
    position_checks,
    /// Samples of a primary's position.
    samples,
    /// Calls to the platform's store; a watch that waits for changes is one call.
    store_calls,
    /// Messages sent to peers.
    peer_messages,
    /// Probes of backend servers.
    probes,
}

impl Counters {
    /// Increments one counter.
    pub fn increment(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Reports the increases of counters to StatsD.
#[derive(Debug)]
pub struct Reporter {
    client: StatsdClient,
    counters: Arc<Counters>,
    last_reported: Vec<(&'static str, u64)>,
}

impl Reporter {
    /// Creates a reporter to a StatsD address; without one, reports are discarded.
    #[must_use]
    pub fn new(counters: Arc<Counters>, address: Option<SocketAddr>) -> Self {
        let client = address
            .and_then(open_client)
            .unwrap_or_else(|| StatsdClient::from_sink("persimmond", NopMetricSink));
        Self { client, counters, last_reported: Vec::new() }
    }

    /// Sends the increase of each counter since the last report.
    pub fn report(&mut self) {
        let mut now = Vec::new();
        self.counters.values().each(|name, value| now.push((name, value)));
        for (index, (name, value)) in now.iter().enumerate() {
            let before = self.last_reported.get(index).map_or(0, |(_, v)| *v);
            if *value > before {
                let delta = i64::try_from(value - before).unwrap_or(i64::MAX);
                // An increase that cannot be sent is lost; the next report does not repeat it.
                let _ = self.client.count(name, delta);
            }
        }
        self.last_reported = now;
    }
}

fn open_client(address: SocketAddr) -> Option<StatsdClient> {
    let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
    socket.set_nonblocking(true).ok()?;
    let sink = UdpMetricSink::from(address, socket).ok()?;
    Some(StatsdClient::from_sink("persimmond", QueuingMetricSink::from(sink)))
}
