//! The store is silent to one daemon of three for nine seconds, just after an entry of the directory
//! has changed. Long after that an instance announces that it leaves; it must receive no new work
//! after the drain limit.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use review_standin::client::Client;
use review_standin::cluster::{Cluster, could_not_run, has_trouble};
use review_standin::store::Fate;

/// The daemon to which the store is silent.
const SILENCED: usize = 1;

/// How long the store is silent to it.
const SILENCE: Duration = Duration::from_secs(9);

/// How long the store has been without disruption when the instance leaves: `stable_window_ms` and
/// half a second.
const CALM: Duration = Duration::from_millis(4_500);

/// `drain_ms` and 200 ms.
const DRAIN: Duration = Duration::from_millis(7_200);

/// For how long statements are sent after that.
const SENT_FOR: Duration = Duration::from_secs(3);

/// Sessions at each daemon.
const SESSIONS: usize = 6;

fn main() {
    let cluster = Cluster::start("leaving", 3);
    let record = cluster.record.clone();
    std::thread::sleep(Duration::from_secs(3));

    let other = &cluster.services[2].1[2];
    cluster.store.put("servers", &other.id, &other.entry("draining", 2));
    record.line(&format!("the store accepts that {} leaves", other.id));
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

    let (group, instances) = &cluster.services[0];
    let leaving = &instances[2];
    cluster.store.put("servers", &leaving.id, &leaving.entry("draining", 2));
    let acknowledged = Instant::now();
    record.line(&format!("the store accepts that {} leaves", leaving.id));
    std::thread::sleep(DRAIN);
    let sent_from = record.now_ms();
    let mut sessions = Vec::new();
    for number in 0..cluster.daemons.len() * SESSIONS {
        let front = cluster.daemons[number / SESSIONS].front;
        let record = record.clone();
        sessions.push(std::thread::spawn(move || {
            let name = format!("c{}-{number}", number / SESSIONS);
            let mut client = Client::open(front, "b0", &name, &record).ok()?;
            let mut served = 0;
            while acknowledged.elapsed() < DRAIN + SENT_FOR {
                served += usize::from(client.query("READ w20-gold").ok()?.result.is_ok());
                std::thread::sleep(Duration::from_millis(50));
            }
            Some(served)
        }));
    }
    let served: Vec<Option<usize>> =
        sessions.into_iter().map(|s| s.join().unwrap_or(None)).collect();
    if served.iter().any(|served| served.is_none_or(|served| served == 0)) {
        could_not_run("a session was not served");
    }
    let mut violations = Vec::new();
    for run in group.runs() {
        if run.instance == leaving.id && run.at_ms >= sent_from {
            let late = run.at_ms - sent_from + u64::try_from(DRAIN.as_millis()).unwrap_or(0);
            violations.push(format!(
                "statement {} reached {} {late} ms after the store had accepted that it leaves",
                run.id, run.instance
            ));
        }
    }
    cluster.finish(&violations);
}
