//! The cost of a daemon's control plane, from the operating system and from counters.

use std::fs;
use std::io;
use std::time::Instant;

use serde::Serialize;

use crate::cluster::Cluster;
use crate::http;

/// Clock ticks per second in `/proc`, fixed by the ABI of the Linux kernel.
const TICKS_PER_SECOND: f64 = 100.0;

/// The most common size of a message between daemons on the wire.
const PEER_MESSAGE_BYTES: f64 = 250.0;

/// The size of an instance probe with its response.
const PROBE_BYTES: f64 = 290.0;

/// The size of a store call with its response, while nothing changes.
const STORE_CALL_BYTES: f64 = 420.0;

/// The control plane's cost per daemon, averaged over the daemons of a deployment.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ControlCost {
    /// Processor time of the control thread, in percent of a core.
    pub control_cpu_pct: f64,
    /// Bytes per second, from counted messages and their sizes.
    pub control_bytes_per_s: f64,
    /// Resident memory of the whole daemon, in megabytes.
    pub control_rss_mb: f64,
    /// Store calls per second over all daemons, as counted by the store.
    pub store_calls_per_s: f64,
    /// Messages to peers per second.
    pub peer_messages_per_s: f64,
    /// Instance probes per second.
    pub probes_per_s: f64,
}

/// The counters at one time, summed over the daemons.
#[derive(Clone, Copy, Debug)]
struct Reading {
    at: Instant,
    cpu_s: f64,
    rss_mb: f64,
    store_calls: u64,
    peer_messages: f64,
    probes: f64,
}

fn control_cpu(pid: u32) -> io::Result<f64> {
    for task in fs::read_dir(format!("/proc/{pid}/task"))? {
        let path = task?.path();
        if fs::read_to_string(path.join("comm"))?.trim() != "control" {
            continue;
        }
        let stat = fs::read_to_string(path.join("stat"))?;
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
        let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
        return Ok((ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_SECOND);
    }
    Err(io::Error::other("the daemon has no control thread"))
}

fn rss_mb(pid: u32) -> io::Result<f64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or_default();
    let kilobytes = line.split_whitespace().nth(1).and_then(|n| n.parse::<f64>().ok());
    Ok(kilobytes.unwrap_or(0.0) / 1_024.0)
}

fn read_counters(cluster: &Cluster) -> io::Result<Reading> {
    let mut reading = Reading {
        at: Instant::now(),
        cpu_s: 0.0,
        rss_mb: 0.0,
        store_calls: cluster.platform_stats()?.calls,
        peer_messages: 0.0,
        probes: 0.0,
    };
    for daemon in &cluster.daemons {
        let pid = daemon.process.id();
        reading.cpu_s += control_cpu(pid)?;
        reading.rss_mb += rss_mb(pid)?;
        let counters = &http::get(daemon.admin, "/status")?["counters"];
        reading.peer_messages += counters["peer_messages"].as_f64().unwrap_or(0.0);
        reading.probes += counters["probes"].as_f64().unwrap_or(0.0);
    }
    Ok(reading)
}

/// Measures the cost of the control plane while `body` runs.
///
/// # Errors
///
/// Returns an error if the statistics of a process cannot be read.
pub async fn control_cost<F: Future>(
    cluster: &Cluster,
    body: F,
) -> io::Result<(F::Output, ControlCost)> {
    let before = read_counters(cluster)?;
    let output = body.await;
    let after = read_counters(cluster)?;
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let daemons = f64::from(u32::try_from(cluster.daemons.len()).unwrap_or(u32::MAX));
    let calls = after.store_calls - before.store_calls;
    let store_calls_per_s = f64::from(u32::try_from(calls).unwrap_or(u32::MAX)) / seconds;
    let peer_messages_per_s = (after.peer_messages - before.peer_messages) / seconds / daemons;
    let probes_per_s = (after.probes - before.probes) / seconds / daemons;
    let cost = ControlCost {
        control_cpu_pct: (after.cpu_s - before.cpu_s) / seconds / daemons * 100.0,
        control_bytes_per_s: 2.0 * peer_messages_per_s * PEER_MESSAGE_BYTES
            + probes_per_s * PROBE_BYTES
            + store_calls_per_s / daemons * STORE_CALL_BYTES,
        control_rss_mb: after.rss_mb / daemons,
        store_calls_per_s,
        peer_messages_per_s,
        probes_per_s,
    };
    Ok((output, cost))
}
