//! Guards against the texts of client keys in logs, metrics, error texts and messages between daemons.

mod fleet;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use persimmon_lab::line_cluster::LineClient;
use serde_json::json;

use crate::fleet::keys::{FIRST_VERSION, is_active_everywhere, proxied_fleet, workspaces};
use crate::fleet::owners::{DAEMONS, other_than};
use crate::fleet::{CONDITION_TIMEOUT, Setup, holds_within};

/// The length of a part of a key that must not appear either.
const PART: usize = 8;

const VALID: &str = "Vk3xQ9mZt7Lw2RbN";
const REMOVED: &str = "Rm8cYd5HsJ4uEfPa";
const UNKNOWN: &str = "Un6gTzW1oXqKi0Bv";
const NAMED: &str = "Nm2pDr9SgUj7Cy4h";
const MISPLACED: &str = "Mp5eLo3ViFw8Ax1k";

const SECRETS: [&str; 5] = [VALID, REMOVED, UNKNOWN, NAMED, MISPLACED];

/// The first part of a key's text that occurs in some bytes.
fn find_part(bytes: &[u8]) -> Option<&'static str> {
    SECRETS.iter().find_map(|key| {
        (0..=key.len() - PART)
            .map(|start| &key[start..start + PART])
            .find(|part| bytes.windows(PART).any(|window| window == part.as_bytes()))
    })
}

fn metrics(address: SocketAddr) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).expect("the metrics are served");
    stream.set_read_timeout(Some(CONDITION_TIMEOUT)).expect("a timeout is set");
    stream
        .write_all(b"GET /metrics HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n")
        .expect("the request is sent");
    let mut body = Vec::new();
    stream.read_to_end(&mut body).expect("the metrics are read");
    body
}

/// Requests the table from a daemon in the form of its peers, as daemons that follow a watcher do; what
/// the daemon answers passes its proxy.
fn request_table(peers: SocketAddr) -> usize {
    let request = json!({"Request": {
        "context": {
            "deadline": {"secs": 5, "nanos": 0},
            "trace_context": {"trace_id": vec![0; 16], "span_id": 1, "sampling_decision": "Unsampled"},
        },
        "id": 1,
        "message": {"Changes": {"kind": "Table", "revision": [0, 0]}},
    }});
    let body = request.to_string();
    let mut stream = TcpStream::connect(peers).expect("a peer");
    stream.set_read_timeout(Some(CONDITION_TIMEOUT)).expect("a timeout is set");
    let length = u32::try_from(body.len()).expect("a short message").to_be_bytes();
    stream.write_all(&[&length, body.as_bytes()].concat()).expect("the request is sent");
    let mut length = [0; 4];
    stream.read_exact(&mut length).expect("a response");
    let mut response = vec![0; usize::try_from(u32::from_be_bytes(length)).expect("a length")];
    stream.read_exact(&mut response).expect("a whole response");
    response.len()
}

/// Lets every daemon pass its table on.
fn request_tables(setup: &Setup) {
    for daemon in &setup.daemons {
        assert!(request_table(daemon.addresses.peers) > 100, "a daemon passes no table on");
    }
}

#[test]
fn no_key_appears_in_logs_metrics_errors_or_messages_between_daemons() {
    let fleet = proxied_fleet("ws-secret", &[("amber", &[VALID, REMOVED])]);
    let setup = &fleet.setup;
    let open = |daemon: usize, key: &str| {
        LineClient::open_with_key(setup.daemons[daemon].addresses.clients, "p0", key, "c")
    };
    let mut errors = Vec::new();
    let mut removed = open(other_than(fleet.owner), REMOVED).expect("the key is known");
    for daemon in 0..DAEMONS {
        let mut client = open(daemon, VALID).expect("the key is known");
        assert!(client.query("WRITE item x").expect("a response").result.is_ok());
        errors.push(open(daemon, UNKNOWN).expect_err("the key is unknown").to_string());
        // A client that sends the two words in the wrong order.
        let address = setup.daemons[daemon].addresses.clients;
        let swapped = LineClient::open_with_key(address, VALID, "p0", "c");
        errors.push(swapped.expect_err("no such database").to_string());
    }

    // Versions with keys where no key belongs, and one that no daemon can read.
    let mut odd = workspaces(&[("amber", &[VALID])]);
    let entries = odd.as_array_mut().expect("a list");
    entries.push(json!({"name": NAMED, "api_keys": [NAMED]}));
    entries.push(json!({"name": "birch", "api_keys": MISPLACED}));
    entries.push(json!({"name": "cedar", "api_key": MISPLACED, "burst": MISPLACED}));
    entries.push(json!([MISPLACED]));
    entries.push(json!(MISPLACED));
    entries.push(json!({"name": "elm", "api_keys": [VALID]}));
    setup.cluster.set_workspaces(odd);
    setup.cluster.put_table(FIRST_VERSION + 1, &[]);
    let is_first = || is_active_everywhere(setup, FIRST_VERSION + 1);
    assert!(holds_within(Duration::from_secs(3), is_first));
    request_tables(setup);
    let response = removed.query("WRITE item x").expect("a response");
    errors.push(format!("{response:?}"));
    setup.cluster.set_workspaces(json!(MISPLACED));
    setup.cluster.put_table(FIRST_VERSION + 2, &[]);
    let is_second = || is_active_everywhere(setup, FIRST_VERSION + 2);
    assert!(holds_within(Duration::from_secs(3), is_second));
    request_tables(setup);
    setup.cluster.store.put_raw(
        "config",
        "main",
        format!("{{\"version\": 9, \"tenants\": \"{MISPLACED}\", \"routes\": 5}}").as_bytes(),
    );
    let is_refused = || {
        (0..DAEMONS).all(|daemon| {
            setup.has_logged(daemon, |line| {
                line["message"] == "the table in the store is invalid and ignored"
            })
        })
    };
    assert!(holds_within(Duration::from_secs(3), is_refused));
    request_tables(setup);

    for (index, daemon) in setup.daemons.iter().enumerate() {
        let log = std::fs::read(&daemon.log).expect("the log is read");
        assert!(!log.is_empty());
        assert_eq!(find_part(&log), None, "the log of daemon {index}");
        let lines = daemon.log_lines().expect("the log is read");
        let started = lines.iter().find(|line| line["message"] == "started").expect("a start");
        let address = started["metrics"].as_str().and_then(|text| text.parse().ok());
        let metrics = metrics(address.expect("an address"));
        assert!(String::from_utf8_lossy(&metrics).contains("persimmon_unknown_keys"));
        assert_eq!(find_part(&metrics), None, "the metrics of daemon {index}");
        for (port, proxy) in [("peers", &fleet.peers[index]), ("owner", &fleet.forwarding[index])] {
            for stream in proxy.recorded() {
                assert_eq!(find_part(&stream), None, "{port} of daemon {index}");
            }
        }
    }
    let has_passed = |proxies: &[persimmon_lab::fault_proxy::FaultProxy], text: &str| {
        proxies
            .iter()
            .flat_map(|proxy| proxy.recorded())
            .any(|stream| stream.windows(text.len()).any(|window| window == text.as_bytes()))
    };
    // What is searched contains the messages in question.
    assert!(has_passed(&fleet.forwarding, "WRITE item x"));
    assert!(has_passed(&fleet.peers, "amber"));
    for error in errors {
        assert_eq!(find_part(error.as_bytes()), None, "{error}");
    }
}
