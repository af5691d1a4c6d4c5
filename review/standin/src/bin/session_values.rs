//! An instance fails part of its requests; statements must still run with the values of their
//! session.

use std::time::Duration;

use review_standin::client::Client;
use review_standin::cluster::{Cluster, could_not_run, has_trouble};

/// Sessions, each with one value of its own.
const SESSIONS: usize = 24;

/// Reads of each session.
const READS: usize = 110;

/// The percentage of its requests that one of the nine instances fails, and for how long.
const FAILING_PERCENT: u32 = 40;
const FAILING_FOR: Duration = Duration::from_millis(6_500);

fn main() {
    let cluster = Cluster::start("values", 1);
    let record = cluster.record.clone();
    let front = cluster.daemons[0].front;
    let (group, instances) = &cluster.services[0];
    if has_trouble() {
        record.line(&format!(
            "{} fails {FAILING_PERCENT}% of its requests from now on",
            instances[1].id
        ));
        instances[1].set_failing(FAILING_PERCENT);
    }
    let mut running = Vec::new();
    for number in 0..SESSIONS {
        let record = record.clone();
        running.push(std::thread::spawn(move || {
            let name = format!("c{number}");
            let mut client = Client::open(front, "b0", &name, &record).ok()?;
            client.query(&format!("SET who {name}")).ok()?.result.ok()?;
            let mut served = 0;
            for read in 0..READS {
                let answer = client.query(&format!("READ w25-item{read}"));
                served += usize::from(answer.is_ok_and(|a| a.result.is_ok()));
                std::thread::sleep(Duration::from_millis(40));
            }
            Some(served)
        }));
    }
    std::thread::sleep(FAILING_FOR);
    instances[1].set_failing(0);
    let healthy_from = record.now_ms();
    record.line(&format!("{} fails no request from now on", instances[1].id));
    let served: Vec<Option<usize>> =
        running.into_iter().map(|r| r.join().unwrap_or(None)).collect();
    if served.iter().any(Option::is_none) {
        could_not_run("a session was refused, or its value not acknowledged");
    }
    let served: usize = served.iter().flatten().sum();
    println!("{served} of {} reads served", SESSIONS * READS);
    if served < SESSIONS * READS / 2 {
        could_not_run("less than half of the reads were served");
    }
    let mut violations = Vec::new();
    let mut after_the_end = 0;
    for run in group.runs() {
        let expected = run.id.split(':').next().unwrap_or("");
        let actual = run.values.get("who").map(String::as_str);
        if actual != Some(expected) {
            after_the_end += usize::from(run.at_ms > healthy_from);
            violations.push(format!(
                "{} ran statement {} with who={actual:?}; its client was acknowledged who={expected}",
                run.instance, run.id
            ));
        }
    }
    println!(
        "{} statements with other values, {after_the_end} of them after the failures had ended",
        violations.len()
    );
    cluster.finish(&violations);
}
