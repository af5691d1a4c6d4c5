//! A daemon is stopped with SIGTERM while a client has a transaction open. Every statement that it
//! accepts and passes on must be answered.

use std::time::{Duration, Instant};

use review_standin::client::Client;
use review_standin::cluster::{Cluster, could_not_run, has_trouble};

/// Statements of the transaction before the last one, with a pause after each: twelve statements are
/// the most that a transaction has.
const SHORT_STATEMENTS: usize = 10;

/// The pause of the client between statements, far below the idle limit of three seconds.
const PAUSE: Duration = Duration::from_millis(460);

/// The last statement: one second of work, of the three that its route allows.
const LAST: &str = "READ w1000-export";

/// When SIGTERM comes after the transaction has begun.
const SIGTERM_AFTER: Duration = Duration::from_millis(100);

fn main() {
    let cluster = Cluster::start("stop", 2);
    let record = cluster.record.clone();
    std::thread::sleep(Duration::from_secs(2));
    let daemon = &cluster.daemons[0];
    let Ok(mut client) = Client::open(daemon.front, "b0", "c0", &record) else {
        could_not_run("the session was refused");
    };
    let answer = client.query("BEGIN READ");
    if !answer.is_ok_and(|a| a.result.is_ok()) {
        could_not_run("the transaction was not begun");
    }
    std::thread::sleep(SIGTERM_AFTER);
    let stopped = Instant::now();
    if has_trouble() {
        daemon.signal("TERM");
        record.line("SIGTERM to daemon 0");
    }
    let mut violations = Vec::new();
    for number in 0..=SHORT_STATEMENTS {
        let text =
            if number == SHORT_STATEMENTS { LAST.to_owned() } else { format!("READ item{number}") };
        let sent = stopped.elapsed().as_millis();
        let answer = client.query(&text);
        let ended = stopped.elapsed().as_millis();
        match answer {
            Ok(answer) if answer.result.is_ok() => {}
            // A refusal is an answer, and the end of the transaction.
            Ok(_) => break,
            Err(err) => {
                let id = format!("c0:{}", number + 2);
                let has_reached = cluster.services[0].0.runs().iter().any(|run| run.id == id);
                let has_begun = cluster.services[0].0.has_begun(&id);
                if has_begun {
                    violations.push(format!(
                        "statement {id}, sent {sent} ms after SIGTERM and passed on to an instance, \
                         ended without an answer at {ended} ms: {err} (run to its end: {has_reached})"
                    ));
                }
                break;
            }
        }
        std::thread::sleep(PAUSE);
    }
    std::thread::sleep(Duration::from_millis(1_500));
    cluster.finish(&violations);
}
