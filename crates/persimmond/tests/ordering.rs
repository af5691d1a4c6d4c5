//! Tests the order of statements at an instance with too little room. Guards against urgent
//! statements that wait behind others, against clients that are held until their deadline, and
//! against refusals that are not true.

mod fleet;

use std::thread;
use std::time::{Duration, Instant};

use persimmon_lab::line_cluster::InstanceProfile;
use serde_json::json;

use crate::fleet::{CONDITION_TIMEOUT, Setup, holds_within, setup_with};

/// The time limit of a statement, as in the table.
const STATEMENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time of a statement at the only slot: far fewer than the clients' statements fit into the limit.
const STATEMENT_TIME: Duration = Duration::from_millis(100);

/// Clients that send a statement of the lower class at once.
const CLIENTS: usize = 40;

/// Version of the table whose routes differ in priority.
const VERSION: u64 = 7;

/// Starts a daemon in front of instances with one slot, and waits until it knows that it is alone.
fn setup_with_priorities(name: &str) -> Setup {
    let profile =
        InstanceProfile { statement_time: STATEMENT_TIME, slots: 1, ..InstanceProfile::default() };
    let setup = setup_with(name, 1, profile);
    let route = |database: &str, priority: u8| {
        json!({
            "name": format!("r-{database}"), "host": database, "path_prefix": "/",
            "type": "primary", "timeout_ms": 1_500, "latency_target_ms": 600,
            "priority": priority, "service": setup.cluster.groups[0].0.name, "max_attempts": 2,
            "max_staleness_ms": 1_000,
        })
    };
    setup.cluster.store.put(
        "config",
        "main",
        json!({
            "version": VERSION, "routes": [route("p0", 2), route("u0", 0)],
            "services": [{
                "name": setup.cluster.groups[0].0.name, "max_conns": 60, "sync_replicas": 0,
            }],
            "limits": {"tx_idle_ms": 3_000},
        }),
    );
    let is_active = || {
        setup.has_logged(0, |line| {
            line["message"] == "table activated" && line["version"] == VERSION
        })
    };
    assert!(holds_within(CONDITION_TIMEOUT, is_active), "the table is not active");
    let is_alone = || setup.has_logged(0, |line| line["message"] == "members were exchanged");
    assert!(holds_within(CONDITION_TIMEOUT, is_alone), "the daemon does not know the fleet");
    setup
}

#[test]
fn urgent_statements_are_served_beside_a_crowd_that_is_refused_at_once() {
    let setup = setup_with_priorities("ordering");
    for database in ["p0", "u0"] {
        let mut client = setup.client(0, database, "warm");
        for _ in 0..3 {
            assert!(client.query("WRITE warm x").expect("a response").result.is_ok());
        }
    }

    let crowd: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let mut client = setup.client(0, "p0", &format!("crowd{number}"));
            thread::spawn(move || {
                let began = Instant::now();
                let response = client.query("WRITE item crowd").expect("a response");
                (response, began.elapsed())
            })
        })
        .collect();
    let mut urgent = setup.client(0, "u0", "urgent");
    for _ in 0..3 {
        let response = urgent.query("WRITE item urgent").expect("a response");
        assert!(response.result.is_ok(), "{response:?}");
    }
    let responses: Vec<_> = crowd.into_iter().map(|c| c.join().expect("the client")).collect();

    // At most 15 statements of 100 ms fit into the limit of 1,500 ms.
    let refused: Vec<_> = responses.iter().filter(|(r, _)| r.result.is_err()).collect();
    assert!(refused.len() >= CLIENTS - 15, "{} refused", refused.len());
    assert!(refused.len() < CLIENTS, "all refused");
    assert!(refused.iter().all(|(r, _)| r.code() == Some("BUSY")), "{refused:?}");
    let first = refused.iter().map(|(_, took)| *took).min().expect("some are refused");
    assert!(first < STATEMENT_TIMEOUT, "the first refusal came after {first:?}");
    let has_logged = |decision: &str, class: u64| {
        setup.has_logged(0, |line| {
            line["message"] == "request"
                && line["queue"] == decision
                && line["queue_class"] == class
                && line["queue_position"].is_u64()
                && line["queue_predicted_ms"].is_u64()
        })
    };
    assert!(holds_within(CONDITION_TIMEOUT, || has_logged("TooLate", 2)), "no refusal is logged");
    assert!(!has_logged("TooLate", 0) && !has_logged("QueueFull", 0), "an urgent one was refused");
    // The fakes record a statement that ran although its client was told that it had not.
    setup.assert_no_violations();
}
