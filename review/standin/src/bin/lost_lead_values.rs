//! A primary is cut off from three of five daemons and replaced, while clients of the other two have
//! transactions open on it. Their statements must run with the values that were acknowledged to them,
//! then and later.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use review_standin::client::Client;
use review_standin::cluster::{Cluster, could_not_run, has_trouble};
use review_standin::proxy::Proxy;

/// Clients, each with one session.
const CLIENTS: usize = 10;

/// The daemons, and how many of them the primary is cut off from.
const DAEMONS: u8 = 5;
const CUT_DAEMONS: usize = 3;

/// How long.
const CUT: Duration = Duration::from_secs(7);

/// How long clients go on after that.
const AFTERWARDS: Duration = Duration::from_secs(3);

/// Statements of a transaction, and the pause after each.
const STATEMENTS: usize = 10;
const PAUSE: Duration = Duration::from_millis(200);

/// The time between the starts of two clients, so that their transactions are at different statements.
const STAGGER: Duration = Duration::from_millis(210);

/// Reads after a transaction that was aborted.
const LATER_READS: usize = 60;

fn main() {
    let mut proxies = Vec::new();
    let cluster = Cluster::start_with("lead", DAEMONS, |store, services| {
        let primary = services[0].1[0].address;
        for daemon in 0..CUT_DAEMONS {
            let proxy = Proxy::start(primary);
            store.show(daemon, primary, proxy.address);
            proxies.push(proxy);
        }
    });
    let record = cluster.record.clone();
    std::thread::sleep(Duration::from_secs(3));
    let (group, instances) = &cluster.services[0];
    let old = group.primary();

    let ends = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (record, ends) = (record.clone(), Arc::clone(&ends));
        let daemon = CUT_DAEMONS + number % (usize::from(DAEMONS) - CUT_DAEMONS);
        let front = cluster.daemons[daemon].front;
        clients.push(std::thread::spawn(move || {
            std::thread::sleep(STAGGER * u32::try_from(number).unwrap_or(0));
            let client = Client::open(front, "r0", &format!("c{number}"), &record);
            client.is_ok_and(|mut client| run_client(&mut client, number, &ends))
        }));
    }
    // The cut daemons have work of their own, by which they notice the cut.
    for daemon in 0..CUT_DAEMONS {
        let (record, ends) = (record.clone(), Arc::clone(&ends));
        let front = cluster.daemons[daemon].front;
        std::thread::spawn(move || {
            while !ends.load(Ordering::Relaxed) {
                let name = format!("d{daemon}-{}", record.now_ms());
                if let Ok(mut client) = Client::open(front, "p0", &name, &record) {
                    // What these clients are told is not part of the rule.
                    let _ = client.query(&format!("WRITE draw-{daemon} {name}"));
                }
                std::thread::sleep(Duration::from_millis(150));
            }
        });
    }

    std::thread::sleep(STAGGER * u32::try_from(CLIENTS).unwrap_or(0));
    if has_trouble() {
        record.line(&format!(
            "{} is cut off from daemons 0 to {}",
            instances[old].id,
            CUT_DAEMONS - 1
        ));
        let began = Instant::now();
        proxies.iter().for_each(|proxy| proxy.set_cut(true));
        while group.primary() == old && began.elapsed() < CUT {
            std::thread::sleep(Duration::from_millis(5));
        }
        let new = group.primary();
        if new == old {
            could_not_run("no instance was promoted");
        }
        record.line(&format!("{} leads", instances[new].id));
        for index in [new, old] {
            cluster.store.put("servers", &instances[index].id, &instances[index].entry("ready", 2));
        }
        std::thread::sleep(CUT.saturating_sub(began.elapsed()));
        proxies.iter().for_each(|proxy| proxy.set_cut(false));
        record.line("the cut has ended");
    } else {
        std::thread::sleep(CUT);
    }
    std::thread::sleep(AFTERWARDS);
    ends.store(true, Ordering::Relaxed);
    if !clients.into_iter().all(|client| client.join().unwrap_or(false)) {
        could_not_run("a session was refused, broken off, or had a value refused");
    }

    let mut violations = Vec::new();
    for run in group.runs().iter().filter(|run| run.id.starts_with('c')) {
        // The statement's item names the value that its client was acknowledged last.
        let expected = run.text.rsplit('/').next().unwrap_or("");
        let actual = run.values.get("op").map(String::as_str);
        if actual != Some(expected) {
            violations.push(format!(
                "{} ran {} ({}) with op={actual:?}; its client was acknowledged op={expected}",
                run.instance, run.id, run.text
            ));
        }
    }
    println!("{} of {} statements with other values", violations.len(), group.runs().len());
    cluster.finish(&violations);
}

/// Runs transactions in which each statement has a value of its own. After one that was aborted, reads
/// with the last value that was acknowledged.
fn run_client(client: &mut Client, number: usize, ends: &AtomicBool) -> bool {
    let mut step = 0;
    while !ends.load(Ordering::Relaxed) {
        if !client.query("BEGIN").is_ok_and(|a| a.result.is_ok()) {
            return false;
        }
        let mut value = String::new();
        let mut has_failed = false;
        for _ in 0..STATEMENTS {
            step += 1;
            value = format!("c{number}-{step}");
            if !client.query(&format!("SET op {value}")).is_ok_and(|a| a.result.is_ok()) {
                return false;
            }
            match client.query(&format!("READ w10-gold/{value}")) {
                Ok(answer) => has_failed = answer.result.is_err(),
                Err(_) => return false,
            }
            if has_failed {
                break;
            }
            std::thread::sleep(PAUSE);
        }
        let end = if has_failed { "ROLLBACK" } else { "COMMIT" };
        if client.query(end).is_err() {
            return false;
        }
        for _ in 0..if has_failed { LATER_READS } else { 2 } {
            if client.query(&format!("READ w10-gold/{value}")).is_err() {
                return false;
            }
            std::thread::sleep(Duration::from_millis(60));
        }
    }
    true
}
