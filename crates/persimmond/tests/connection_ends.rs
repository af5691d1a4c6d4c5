//! Guards against requests over the PostgreSQL protocol that get neither a response nor an error when
//! their connection or the daemon ends.

mod common;

use std::net::SocketAddr;

use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use common::{SERVICE, block_on, cluster, code, try_connect};
use persimmon_lab::{Cluster, PgClient};

use rustix::process::Signal;

/// How long a client waits for a response; longer than any shutdown of these tests.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// How long the daemon of these tests may still accept connections after SIGTERM.
const DRAIN_DELAY: Duration = Duration::from_millis(500);

/// How long its shutdown may take.
const DRAIN_LIMIT: Duration = Duration::from_millis(2_000);

/// The SQLSTATE `admin_shutdown`.
const SHUTDOWN: &str = "57P01";

/// The SQLSTATE `cannot_connect_now`.
const CANNOT_CONNECT_NOW: &str = "57P03";

fn daemon() -> Cluster {
    let drain = format!(
        "drain:\n  delay_ms: {}\n  limit_ms: {}",
        DRAIN_DELAY.as_millis(),
        DRAIN_LIMIT.as_millis()
    );
    cluster(|c| c.with_daemons(1).with_settings(&drain))
}

fn connect(address: SocketAddr) -> std::io::Result<PgClient> {
    PgClient::connect(address, &[("user", "check"), ("database", SERVICE)], RESPONSE_TIMEOUT)
}

fn open(cluster: &Cluster) -> PgClient {
    connect(cluster.daemons[0].client_address).expect("the session opens")
}

fn create_table(cluster: &Cluster) {
    let created = open(cluster).query("CREATE TABLE ledger (id TEXT, amount INTEGER)");
    created.expect("a response").expect("the table is created");
}

/// Guards against a response that is dropped with the end of the client's messages.
#[test]
fn request_before_the_end_of_the_clients_messages_is_answered() {
    let cluster = daemon();
    create_table(&cluster);
    let statements =
        ["SELECT pg_sleep(0.2)", "SELECT id FROM ledger", "INSERT INTO ledger VALUES ('a', 1)"];
    for sql in statements {
        let mut client = open(&cluster);

        client.send(sql).expect("the request is sent");
        client.finish_sending().expect("the end is sent");

        let response = client.receive_response();
        assert!(matches!(response, Ok(Ok(_))), "{sql}: {response:?}");
    }
}

/// What a client that sends each request at once on the response to the one before has seen.
#[derive(Debug, Default)]
struct Seen {
    answers: usize,
    refusal: Option<String>,
    cut: Option<String>,
}

fn send_at_once(address: SocketAddr) -> JoinHandle<Seen> {
    std::thread::spawn(move || {
        let mut seen = Seen::default();
        let mut client = connect(address).expect("the session opens");
        loop {
            match client.query("SELECT id FROM ledger") {
                Ok(Ok(_)) => seen.answers += 1,
                Ok(Err((code, _))) => {
                    seen.refusal = Some(code);
                    return seen;
                }
                Err(err) => {
                    seen.cut = Some(err.to_string());
                    return seen;
                }
            }
        }
    })
}

/// Guards against requests that follow at once on a response while a daemon that stops closes its
/// connections.
#[test]
fn requests_that_follow_on_a_response_during_a_shutdown_are_answered() {
    let cluster = daemon();
    create_table(&cluster);
    let clients: Vec<JoinHandle<Seen>> =
        (0..12).map(|_| send_at_once(cluster.daemons[0].client_address)).collect();
    std::thread::sleep(Duration::from_millis(500));

    cluster.daemons[0].process.signal(Signal::TERM);

    for client in clients {
        let seen = client.join().expect("no panic");
        assert!(seen.answers > 0 && seen.refusal.as_deref() == Some(SHUTDOWN), "{seen:?}");
    }
}

/// Guards against a request that is cut as it takes longer than the shutdown may.
#[test]
fn request_that_outlasts_the_shutdown_gets_an_error() {
    let cluster = daemon();
    create_table(&cluster);
    let mut client = open(&cluster);
    client.send("SELECT pg_sleep(6)").expect("the request is sent");
    std::thread::sleep(Duration::from_millis(200));

    let stopped_at = Instant::now();
    cluster.daemons[0].process.signal(Signal::TERM);
    let response = client.receive_response();

    let response = response.expect("a response");
    assert!(response.is_err(), "{response:?}");
    assert!(stopped_at.elapsed() < DRAIN_LIMIT * 2, "{:?}", stopped_at.elapsed());
}

/// Guards against connections that a daemon that stops neither accepts nor refuses.
#[test]
fn clients_that_connect_late_in_a_shutdown_are_refused_at_once() {
    let cluster = daemon();
    create_table(&cluster);
    let mut busy = open(&cluster);
    assert!(busy.query("BEGIN").expect("a response").is_ok());

    cluster.daemons[0].process.signal(Signal::TERM);
    std::thread::sleep(DRAIN_DELAY + Duration::from_millis(300));
    let began = Instant::now();
    let opened = block_on(try_connect(cluster.daemons[0].client_address, ""));
    let took = began.elapsed();

    let code = opened.err().map(|err| code(&err));
    assert_eq!(code.as_deref(), Some(CANNOT_CONNECT_NOW));
    assert!(took < Duration::from_millis(500), "{took:?}");
}
