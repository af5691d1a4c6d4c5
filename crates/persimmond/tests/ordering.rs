//! Tests the order of statements at an instance with too little room. Guards against urgent
//! statements that wait behind others, against clients that are held until their deadline, and
//! against refusals that are not true.

mod fleet;

use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use persimmon_lab::line_cluster::{InstanceProfile, LineResponse};
use serde_json::json;

use crate::fleet::owners::{FEW_CONNECTIONS, other_than, setup_with_profile};
use crate::fleet::{CONDITION_TIMEOUT, Setup, holds_within, setup_with};

/// The time limit of a statement, as in the table.
const STATEMENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time of a statement at the only slot: far fewer than the clients' statements fit into the limit.
const STATEMENT_TIME: Duration = Duration::from_millis(100);

/// Clients that send a statement of the lower class at once.
const CLIENTS: usize = 40;

/// Version of the table whose routes differ in priority.
const VERSION: u64 = 7;

/// Instances with one slot.
fn profile() -> InstanceProfile {
    InstanceProfile { statement_time: STATEMENT_TIME, slots: 1, ..InstanceProfile::default() }
}

/// Activates a table with workspaces in which the public route of `u0` is more urgent than that of `p0`, and waits until
/// every daemon has it.
fn activate_priorities(setup: &Setup, max_connections: usize) {
    let service = &setup.cluster.groups[0].0.name;
    let route = |database: &str, priority: u8| {
        json!({
            "name": format!("r-{database}"), "host": database, "path_prefix": "/",
            "type": "primary", "timeout_ms": 1_500, "latency_target_ms": 600,
            "priority": priority, "service": service, "max_attempts": 2, "max_staleness_ms": 1_000,
            "public": true,
        })
    };
    let table = json!({
        "version": VERSION, "routes": [route("p0", 2), route("u0", 0)],
        "services": [{"name": service, "max_conns": max_connections, "sync_replicas": 0}],
        "limits": {"tx_idle_ms": 3_000}, "tenants": [],
    });
    setup.cluster.store.put("config", "main", table);
    let is_active = || {
        (0..setup.daemons.len()).all(|daemon| {
            setup.has_logged(daemon, |line| {
                line["message"] == "table activated" && line["version"] == VERSION
            })
        })
    };
    assert!(holds_within(CONDITION_TIMEOUT, is_active), "the table is not active");
}

/// Starts one daemon, and waits until it knows that it is alone.
fn setup_alone(name: &str) -> Setup {
    let setup = setup_with(name, 1, profile());
    activate_priorities(&setup, profile().max_connections);
    let is_alone = || setup.has_logged(0, |line| line["message"] == "members were exchanged");
    assert!(holds_within(CONDITION_TIMEOUT, is_alone), "the daemon does not know the fleet");
    setup
}

/// Sends one write of the lower class from each of many clients at once; returns the responses and
/// how long they took.
fn start_crowd(setup: &Setup, daemon: usize) -> Vec<JoinHandle<(LineResponse, Duration)>> {
    let start = |number| {
        let mut client = setup.client(daemon, "p0", &format!("crowd{number}"));
        thread::spawn(move || {
            let began = Instant::now();
            let response = client.query("WRITE item crowd").expect("a response");
            (response, began.elapsed())
        })
    };
    (0..CLIENTS).map(start).collect()
}

/// Asserts that the responses are those of an instance that runs at most 15 statements of 100 ms
/// within the limit of 1,500 ms.
fn assert_some_refused(crowd: Vec<JoinHandle<(LineResponse, Duration)>>) {
    let responses: Vec<_> = crowd.into_iter().map(|c| c.join().expect("the client")).collect();
    let refused: Vec<_> = responses.iter().filter(|(r, _)| r.result.is_err()).collect();
    assert!(refused.len() >= CLIENTS - 15, "{} refused", refused.len());
    assert!(refused.len() < CLIENTS, "all refused");
    assert!(refused.iter().all(|(r, _)| r.code() == Some("BUSY")), "{refused:?}");
    let first = refused.iter().map(|(_, took)| *took).min().expect("some are refused");
    assert!(first < STATEMENT_TIMEOUT, "the first refusal came after {first:?}");
}

#[test]
fn urgent_statements_are_served_beside_a_crowd_that_is_refused_at_once() {
    let setup = setup_alone("ordering");
    for database in ["p0", "u0"] {
        let mut client = setup.client(0, database, "warm");
        for _ in 0..3 {
            assert!(client.query("WRITE warm x").expect("a response").result.is_ok());
        }
    }

    let crowd = start_crowd(&setup, 0);
    let mut urgent = setup.client(0, "u0", "urgent");
    for _ in 0..3 {
        let response = urgent.query("WRITE item urgent").expect("a response");
        assert!(response.result.is_ok(), "{response:?}");
    }

    assert_some_refused(crowd);
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

/// Guards against a decision of the owner that cannot be found from the daemon with the client.
#[test]
fn decision_of_an_owner_is_logged_where_the_client_is() {
    let (setup, owner) = setup_with_profile("ordering-owner", profile());
    activate_priorities(&setup, FEW_CONNECTIONS);
    let daemon = other_than(owner);

    let crowd = start_crowd(&setup, daemon);

    assert_some_refused(crowd);
    let owner_address = setup.daemons[owner].addresses.peers.to_string();
    let is_logged = || {
        setup.has_logged(daemon, |line| {
            line["message"] == "request"
                && line["queue"] == "TooLate"
                && line["owner"] == *owner_address
                && line["code"] == "Busy"
        })
    };
    assert!(holds_within(CONDITION_TIMEOUT, is_logged), "the owner's decision is not logged");
    setup.assert_no_violations();
}
