//! The store is silent to one daemon of three for nine seconds. Once it has answered again for
//! longer than the stable window, a new version must be in force everywhere in time.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use review_standin::client::Client;
use review_standin::cluster::{Cluster, could_not_run, has_trouble, table};
use review_standin::store::Fate;

/// The daemon to which the store is silent.
const SILENCED: usize = 1;

/// How long the store is silent to it.
const SILENCE: Duration = Duration::from_secs(9);

/// How long the store has been without disruption when the version is written that counts:
/// `stable_window_ms` and half a second.
const CALM: Duration = Duration::from_millis(4_500);

/// `config_apply_ms` and 200 ms.
const APPLY: Duration = Duration::from_millis(3_200);

/// For how long statements are sent after that.
const SENT_FOR: Duration = Duration::from_secs(6);

fn main() {
    let cluster = Cluster::start("watch", 3);
    let record = cluster.record.clone();
    std::thread::sleep(Duration::from_secs(3));
    let mut before = open(&cluster, 0, "w0");
    if !before.query("WRITE gold before").is_ok_and(|a| a.result.is_ok()) {
        could_not_run("a write was not served");
    }

    cluster.store.put("config", "main", &table(2, 0));
    record.line("operator: version 2 acknowledged, nothing moves");
    std::thread::sleep(Duration::from_millis(100));
    let is_silent = Arc::new(AtomicBool::new(has_trouble()));
    let silent = Arc::clone(&is_silent);
    cluster.store.set_rule(move |call| {
        let is_silenced = call.daemon == SILENCED && silent.load(Ordering::Relaxed);
        if is_silenced { Fate::Ignore } else { Fate::Serve }
    });
    record.line(&format!("the store is silent to daemon {SILENCED}: {}", has_trouble()));
    std::thread::sleep(SILENCE);
    is_silent.store(false, Ordering::Relaxed);
    record.line("the store answers every daemon");
    std::thread::sleep(CALM);

    cluster.store.put("config", "main", &table(3, 1));
    let acknowledged = Instant::now();
    record.line("operator: version 3 acknowledged, p0 moves from ledger-core-0 to ledger-core-1");
    std::thread::sleep(APPLY);
    let sent_from = record.now_ms();
    while acknowledged.elapsed() < APPLY + SENT_FOR {
        for number in 0..cluster.daemons.len() {
            let mut client = open(&cluster, number, &format!("c{number}-{}", record.now_ms()));
            let written = client.query(&format!("WRITE gold by-daemon-{number}"));
            let read = client.query("READ gold");
            if written.is_err() || read.is_err() {
                could_not_run("a statement was not answered");
            }
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    let mut violations = Vec::new();
    for run in cluster.services[0].0.runs() {
        if run.at_ms >= sent_from {
            let late = run.at_ms - sent_from + u64::try_from(APPLY.as_millis()).unwrap_or(0);
            violations.push(format!(
                "{} of the old service ran statement {} of p0, {late} ms after version 3 was acknowledged",
                run.instance, run.id
            ));
        }
    }
    if cluster.services[1].0.runs().is_empty() {
        could_not_run("the new service ran nothing");
    }
    cluster.finish(&violations);
}

fn open(cluster: &Cluster, daemon: usize, name: &str) -> Client {
    let opened = Client::open(cluster.daemons[daemon].front, "p0", name, &cluster.record);
    opened.unwrap_or_else(|_| could_not_run("a session was refused"))
}
