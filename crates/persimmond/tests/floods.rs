//! Guards against bytes on a daemon's ports that end its process, or keep it from serving others:
//! damaged messages of peers, half lines, lines that are too long, and connections that say nothing.

mod fleet;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::fleet::{CONDITION_TIMEOUT, Setup, holds_within, setup};

/// The seed of the damage to messages.
const SEED: u64 = 29;

/// Messages that are sent to each port of peers.
const MESSAGES: usize = 400;

/// Connections of clients in each flood.
const CONNECTIONS: usize = 300;

/// Connections of clients that do not read what they ask for.
const SLOW_READERS: usize = 900;

/// How long a statement may take beside a flood: the timeout of the fake platform's routes.
const STATEMENT_LIMIT: Duration = Duration::from_millis(1_500);

/// The memory of the smallest host, in kilobytes.
const MEMORY_LIMIT_KB: u64 = 112 << 10;

/// The body of a valid request for the changes of the table.
fn request() -> String {
    json!({"Request": {
        "context": {
            "deadline": {"secs": 1, "nanos": 0},
            "trace_context": {"trace_id": vec![0; 16], "span_id": 1, "sampling_decision": "Unsampled"},
        },
        "id": 1,
        "message": {"Changes": {"kind": "Table", "revision": [0, 0]}},
    }})
    .to_string()
}

fn damaged(rng: &mut SmallRng) -> Vec<u8> {
    let mut body = request().into_bytes();
    for _ in 0..rng.random_range(0..6) {
        let at = rng.random_range(0..body.len());
        match rng.random_range(0..5) {
            0 => body[at] = rng.random(),
            1 => body.truncate(at.max(1)),
            2 => drop(body.splice(at..at, b"1e400".iter().copied())),
            3 => drop(body.splice(at..at, std::iter::repeat_n(b'[', 100_000))),
            _ => drop(body.splice(at..at, b"\"\xff\"".iter().copied())),
        }
    }
    let length = u32::try_from(body.len()).expect("a short message");
    let length = if rng.random_bool(0.2) { rng.random() } else { length };
    [&length.to_be_bytes()[..], &body].concat()
}

fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).expect("the port accepts connections")
}

/// Opens connections to the port for clients, and sends `bytes` on each.
fn flood(setup: &Setup, connections: usize, bytes: &[u8]) -> Vec<TcpStream> {
    let open = |_| {
        let mut stream = connect(setup.daemons[0].addresses.clients);
        // The daemon may close before everything is written, or stop reading.
        let _ = stream.set_write_timeout(Some(Duration::from_millis(50)));
        let _ = stream.write_all(bytes);
        stream
    };
    (0..connections).map(open).collect()
}

fn assert_serves(setup: &Setup) {
    let mut client = setup.client(0, "r0", "c");
    for text in ["WRITE item x", "READ item"] {
        let began = Instant::now();
        let response = client.query(text).expect("a response");
        assert!(response.result.is_ok(), "{response:?}");
        assert!(began.elapsed() < STATEMENT_LIMIT, "{:?}", began.elapsed());
    }
}

/// The largest memory of a daemon until now, in kilobytes.
fn peak_memory_kb(setup: &Setup) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", setup.daemons[0].id()));
    let status = status.expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("a peak");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("a number")
}

/// A value that the daemon's metrics address serves.
fn metric(setup: &Setup, name: &str) -> String {
    let lines = setup.daemons[0].log_lines().expect("the log is read");
    let address = lines.iter().find_map(|line| line["metrics"].as_str()).expect("an address");
    let mut stream = connect(address.parse().expect("an address"));
    let request = "GET /metrics HTTP/1.1\r\nHost: daemon\r\nConnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).expect("the request is sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("the metrics are read");
    let found = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    found.expect("the metric is served").trim().to_owned()
}

#[test]
fn damaged_messages_of_peers_end_only_their_connection() {
    let setup = setup("flood-peers", 2);
    let peers = setup.daemons[0].addresses.peers;
    let mut rng = SmallRng::seed_from_u64(SEED);

    for port in [peers.port(), peers.port() + 1] {
        for _ in 0..MESSAGES {
            let mut stream = connect(SocketAddr::new(peers.ip(), port));
            // The daemon may close before everything is written.
            let _ = stream.write_all(&damaged(&mut rng));
        }
    }

    assert_serves(&setup);
    assert!(peak_memory_kb(&setup) < MEMORY_LIMIT_KB, "{} KB", peak_memory_kb(&setup));
    setup.assert_no_violations();
}

#[test]
fn connections_that_say_nothing_do_not_keep_others_from_being_served() {
    let setup = setup("flood-silent", 1);

    let silent = flood(&setup, CONNECTIONS, b"");
    let half_open = flood(&setup, CONNECTIONS, b"STARTUP r0");
    let half_asked = flood(&setup, CONNECTIONS, b"STARTUP r0 u\r\nQUERY 1 READ");

    assert_serves(&setup);
    assert!(peak_memory_kb(&setup) < MEMORY_LIMIT_KB, "{} KB", peak_memory_kb(&setup));
    drop((silent, half_open, half_asked));
    setup.assert_no_violations();
}

#[test]
fn clients_that_do_not_read_do_not_keep_others_from_being_served() {
    let setup = setup("flood-readers", 1);
    let requests = "QUERY 1 SET name value\r\n".repeat(8_000);

    let slow = flood(&setup, SLOW_READERS, format!("STARTUP r0 u\r\n{requests}").as_bytes());

    assert_serves(&setup);
    assert!(peak_memory_kb(&setup) < MEMORY_LIMIT_KB, "{} KB", peak_memory_kb(&setup));
    drop(slow);
    setup.assert_no_violations();
}

#[test]
fn line_that_is_too_long_ends_its_session() {
    let setup = setup("flood-line", 1);
    let mut stream = connect(setup.daemons[0].addresses.clients);
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout is set");

    // The daemon may close before everything is written.
    let _ = stream.write_all(b"STARTUP r0 u\r\nQUERY 1 WRITE item ");
    let _ = stream.write_all(&vec![b'x'; 3 << 20]);
    let mut received = Vec::new();
    // A reset closes the connection as well as an orderly end does.
    let _ = stream.read_to_end(&mut received);

    assert!(received.starts_with(b"READY I -\r\n"));
    assert_serves(&setup);
    setup.assert_no_violations();
}

/// Guards against clients that take a host's memory with values of their sessions.
#[test]
fn values_of_sessions_do_not_exceed_the_memory_of_a_host() {
    let setup = setup("flood-values", 1);
    let value = "x".repeat(1_000_000);
    let mut sessions = Vec::new();
    let mut refused = 0;

    for number in 0..10 {
        let mut client = setup.client(0, "r0", &format!("c{number}"));
        for value_number in 0..20 {
            let text = format!("SET v{value_number} {value}");
            let set = client.query(&text).expect("a refused value leaves the session open");
            refused += usize::from(set.result.is_err());
        }
        assert!(client.query("READ item").expect("a response").result.is_ok());
        sessions.push(client);
    }

    assert!(refused > 100, "{refused}");
    assert_serves(&setup);
    assert!(peak_memory_kb(&setup) < MEMORY_LIMIT_KB, "{} KB", peak_memory_kb(&setup));
    assert_ne!(metric(&setup, "persimmon_session_state_bytes"), "0");
    drop(sessions);
    let is_released = || metric(&setup, "persimmon_session_state_bytes") == "0";
    assert!(holds_within(CONDITION_TIMEOUT, is_released), "the metric still counts ended sessions");
    setup.assert_no_violations();
}

#[test]
fn half_lines_of_many_sessions_do_not_exceed_the_memory_of_a_host() {
    let setup = setup("flood-lines", 1);
    let half = [b"STARTUP r0 u\r\nQUERY 1 WRITE item ", &*vec![b'x'; 900 << 10]].concat();

    let open = flood(&setup, CONNECTIONS, &half);

    assert_serves(&setup);
    assert!(peak_memory_kb(&setup) < MEMORY_LIMIT_KB, "{} KB", peak_memory_kb(&setup));
    drop(open);
    setup.assert_no_violations();
}
