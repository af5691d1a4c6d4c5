//! Counters that traffic threads raise and the control thread reports through `cadence`.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cadence::prelude::*;
use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use serde::Serialize;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// What one daemon has counted since it began.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: AtomicU64,)*
        }

        /// The counters at one instant.
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
    /// Caller connections accepted.
    callers_accepted,
    /// Caller connections that ended.
    callers_ended,
    /// Requests of any kind.
    requests,
    /// Reads served by replicas.
    replica_reads,
    /// Reads that the rules allowed a replica to serve, but the primary served.
    primary_reads,
    /// Writes acknowledged.
    writes,
    /// Requests sent again.
    retries,
    /// Requests refused as not run.
    refused_not_run,
    /// Requests refused as may have run.
    refused_may_have_run,
    /// Connections opened to backend servers.
    backend_connects,
    /// Connections to backend servers that failed.
    backend_failures,
    /// Checks of a replica's position.
    position_checks,
    /// Samples of a primary's position.
    samples,
    /// Calls of the platform's store; a waiting watch is one.
    store_calls,
    /// Messages sent to peers.
    peer_messages,
    /// Probes of backend servers.
    probes,
}

impl Counters {
    /// Raises one counter.
    pub fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Reports counters as they rise.
#[derive(Debug)]
pub struct Reporter {
    client: StatsdClient,
    counters: Arc<Counters>,
    last: Vec<(&'static str, u64)>,
}

impl Reporter {
    /// Creates a reporter to a StatsD address, or to nowhere.
    #[must_use]
    pub fn new(counters: Arc<Counters>, address: Option<SocketAddr>) -> Self {
        let client = address
            .and_then(open)
            .unwrap_or_else(|| StatsdClient::from_sink("persimmond", NopMetricSink));
        Self { client, counters, last: Vec::new() }
    }

    /// Sends what has been counted since the last report.
    pub fn report(&mut self) {
        let mut now = Vec::new();
        self.counters.values().each(|name, value| now.push((name, value)));
        for (index, (name, value)) in now.iter().enumerate() {
            let before = self.last.get(index).map_or(0, |(_, v)| *v);
            if *value > before {
                let delta = i64::try_from(value - before).unwrap_or(i64::MAX);
                // A metric that cannot be sent is lost; the next report carries only what is new.
                let _ = self.client.count(name, delta);
            }
        }
        self.last = now;
    }
}

fn open(address: SocketAddr) -> Option<StatsdClient> {
    let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
    socket.set_nonblocking(true).ok()?;
    let sink = UdpMetricSink::from(address, socket).ok()?;
    Some(StatsdClient::from_sink("persimmond", QueuingMetricSink::from(sink)))
}
