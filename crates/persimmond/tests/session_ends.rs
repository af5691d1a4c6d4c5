//! Guards against requests that a daemon has received and that get neither an answer nor a refusal when
//! it ends their session.

mod fleet;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use persimmon_lab::http;
use persimmon_lab::line_cluster::{Daemon, InstanceProfile, LineClient, LineCluster};
use rustix::process::Signal;

use crate::fleet::keys::{FIRST_VERSION, cluster_with, is_active, put_workspaces};
use crate::fleet::{CONDITION_TIMEOUT, Setup, holds_within, setup, setup_on, setup_with_limits};

/// Descriptors of a host with room for a hundred sessions.
const FEW_FDS: usize = 400;

/// Sessions for which such a host has room.
const FEW_SESSIONS: usize = 100;

/// Age from which on an idle session may be closed for room.
const IDLE_GRACE: Duration = Duration::from_secs(10);

/// Age from which on a connection whose startup message is awaited may be closed for room.
const STARTING_GRACE: Duration = Duration::from_millis(250);

/// How long a client may take to send the rest of a message.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(15);

/// How long a client may take to send its startup message.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a host stands still, so that what is due meanwhile and what arrives meanwhile are handled
/// together.
const STILL: Duration = Duration::from_millis(600);

/// Within which time a daemon that is asked to stop ends.
const STOP_LIMIT: Duration = Duration::from_secs(6);

/// Size of an answer that fits neither the client's nor the daemon's socket buffer, in bytes.
const LARGE: usize = 1_000_000;

/// How long a client may take to read what it was sent.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

const KEYS: &[(&str, &[&str])] = &[("amber", &["akey"]), ("birch", &["bkey"])];

const WITHOUT_AKEY: &[(&str, &[&str])] = &[("birch", &["bkey"])];

/// Keeps a daemon's process from running until dropped.
struct Stopped<'a>(&'a Daemon);

impl<'a> Stopped<'a> {
    fn new(daemon: &'a Daemon) -> Self {
        daemon.signal(Signal::STOP);
        Self(daemon)
    }
}

impl Drop for Stopped<'_> {
    fn drop(&mut self) {
        self.0.signal(Signal::CONT);
    }
}

fn setup_with_few_sessions(name: &str) -> Setup {
    let cluster = LineCluster::start(1, 3, InstanceProfile::default());
    let limits = format!("[limits]\nmax_fds = {FEW_FDS}\n");
    setup_with_limits(name, 1, cluster.expect("the fake platform starts"), &limits)
}

/// Guards against a request whose client sends nothing after it, and whose answer is dropped with the
/// end of the client's messages.
#[test]
fn request_before_the_end_of_the_clients_messages_is_answered() {
    let setup = setup("ends-half", 1);
    for statement in ["READ item", "WRITE item x"] {
        let mut client = setup.client(0, "p0", "c");

        client.send(statement).expect("the request is sent");
        client.finish_sending().expect("the end is sent");

        let response = client.receive_response().expect("a response");
        assert!(response.result.is_ok(), "{statement}: {response:?}");
    }
    setup.assert_no_violations();
}

/// Guards against requests that arrive just as their sessions are closed for room.
#[test]
fn requests_of_sessions_that_are_closed_for_room_are_answered() {
    let setup = setup_with_few_sessions("ends-room");
    let mut clients: Vec<LineClient> =
        (0..FEW_SESSIONS).map(|n| setup.client(0, "p0", &format!("c{n}"))).collect();
    for client in &mut clients {
        assert!(client.query("READ item").expect("a response").result.is_ok());
    }
    std::thread::sleep(IDLE_GRACE + Duration::from_millis(200));
    let address = setup.daemons[0].addresses.clients;

    let stopped = Stopped::new(&setup.daemons[0]);
    let mut newcomers: Vec<LineClient> = (0..FEW_SESSIONS / 2)
        .map(|n| LineClient::connect(address, &format!("n{n}")).expect("the connection opens"))
        .collect();
    let (senders, _resting) = clients.split_at_mut(FEW_SESSIONS / 2);
    for client in senders.iter_mut() {
        client.send("READ item").expect("the request is sent");
    }
    drop(stopped);

    let answered = senders.iter_mut().filter_map(|c| c.receive_response().ok()).count();
    assert_eq!(answered, senders.len());
    let starts = |client: &mut LineClient| {
        // A client that was refused has a closed connection.
        let _ = client.send_raw(b"STARTUP p0 n\r\n");
        client.receive_response().is_ok_and(|response| response.result.is_ok())
    };
    let started = newcomers.iter_mut().map(starts).filter(|has_started| *has_started).count();
    assert!(started > FEW_SESSIONS / 4, "{started}");
    setup.assert_no_violations();
}

/// Guards against a message whose rest arrives just as the client has taken too long to send it.
#[test]
fn request_completed_as_its_time_runs_out_is_answered() {
    let setup = setup("ends-half-message", 1);
    let mut client = setup.client(0, "p0", "c");
    client.send_raw(b"QUERY c:h READ ").expect("half of the request is sent");
    std::thread::sleep(MESSAGE_TIMEOUT - STILL / 2);

    let stopped = Stopped::new(&setup.daemons[0]);
    client.send_raw(b"item\r\n").expect("the rest is sent");
    std::thread::sleep(STILL);
    drop(stopped);

    assert!(client.receive_response().expect("a response").result.is_ok());
}

/// Guards against a startup message whose rest arrives just as the client has taken too long.
#[test]
fn startup_completed_as_its_time_runs_out_is_answered() {
    let setup = setup("ends-startup", 1);
    let mut client =
        LineClient::connect(setup.daemons[0].addresses.clients, "c").expect("it opens");
    client.send_raw(b"STARTUP p0 ").expect("half of the startup message is sent");
    std::thread::sleep(STARTUP_TIMEOUT - STILL / 2);

    let stopped = Stopped::new(&setup.daemons[0]);
    client.send_raw(b"c\r\n").expect("the rest is sent");
    std::thread::sleep(STILL);
    drop(stopped);

    assert_eq!(client.receive_response().expect("a response").state, "I");
}

/// Guards against a request that follows on the refusal of a removed key and finds its session ended.
#[test]
fn requests_that_follow_on_the_refusal_of_a_removed_key_are_refused_too() {
    let cluster = cluster_with(KEYS, 60);
    let setup = setup_on("ends-key", 1, cluster);
    let mut clients: Vec<LineClient> = (0..40).map(|_| setup.client(0, "p0", "akey")).collect();
    for client in &mut clients {
        assert!(client.query("READ item").expect("a response").result.is_ok());
    }
    put_workspaces(&setup, FIRST_VERSION + 1, WITHOUT_AKEY);
    assert!(holds_within(CONDITION_TIMEOUT, || is_active(&setup, 0, FIRST_VERSION + 1)));

    for client in &mut clients {
        for _ in 0..5 {
            let response = client.query("READ item").expect("a response");
            assert_eq!(response.code(), Some("NOAUTH"), "{response:?}");
        }
    }
}

/// Guards against a startup message that is received, and whose session is closed for room while its key
/// is looked up.
#[test]
fn startup_is_answered_although_its_place_is_needed() {
    let cluster = cluster_with(KEYS, 60);
    let limits = format!("[limits]\nmax_fds = {FEW_FDS}\n");
    let setup = setup_with_limits("ends-lookup", 1, cluster, &limits);
    let _others: Vec<LineClient> =
        (1..FEW_SESSIONS).map(|_| setup.client(0, "p0", "akey")).collect();
    setup.cluster.store_proxy.stall_responses(true);
    let address = setup.daemons[0].addresses.clients;
    let mut client = LineClient::connect(address, "c").expect("the connection opens");
    client.send_raw(b"STARTUP p0 nokey\r\n").expect("the startup message is sent");
    std::thread::sleep(STARTING_GRACE + Duration::from_millis(50));

    let _newcomer = LineClient::connect(address, "n").expect("the connection opens");

    assert_eq!(client.receive_refusal().expect("a refusal"), "NOAUTH");
}

/// What a client that sends each request at once on the answer to the one before has seen.
#[derive(Debug, Default)]
struct Seen {
    answers: usize,
    cut: usize,
    refused: usize,
}

/// Sends requests until one is refused or the connection ends.
fn send_at_once(address: SocketAddr, name: String, stops: &'static AtomicBool) -> JoinHandle<Seen> {
    std::thread::spawn(move || {
        let mut seen = Seen::default();
        let mut client = LineClient::open(address, "p0", &name).expect("the session opens");
        while !stops.load(Ordering::Relaxed) {
            match client.query("READ item") {
                Ok(response) if response.result.is_ok() => seen.answers += 1,
                Ok(_) => {
                    seen.refused += 1;
                    break;
                }
                Err(_) => {
                    seen.cut += 1;
                    break;
                }
            }
        }
        seen
    })
}

/// Guards against requests that follow at once on an answer while the idle sessions of a daemon that
/// stops are closed.
#[test]
fn requests_that_follow_on_an_answer_during_a_shutdown_are_answered() {
    static STOPS: AtomicBool = AtomicBool::new(false);
    let mut setup = setup("ends-shutdown", 1);
    let address = setup.daemons[0].addresses.clients;
    let clients: Vec<JoinHandle<Seen>> =
        (0..12).map(|n| send_at_once(address, format!("c{n}"), &STOPS)).collect();
    std::thread::sleep(Duration::from_secs(1));

    let stopped_at = Instant::now();
    setup.daemons[0].signal(Signal::TERM);

    let seen: Vec<Seen> = clients.into_iter().map(|c| c.join().expect("no panic")).collect();
    assert!(seen.iter().all(|s| s.answers > 0 && s.cut == 0), "{seen:?}");
    let daemon = &mut setup.daemons[0];
    let has_exited = || daemon.try_wait().expect("the process is asked").is_some();
    let left = STOP_LIMIT.saturating_sub(stopped_at.elapsed());
    assert!(holds_within(left, has_exited), "{:?}", stopped_at.elapsed());
    setup.assert_no_violations();
}

/// A value that the daemon's metrics address serves.
fn metric(daemon: &Daemon, name: &str) -> u64 {
    let lines = daemon.log_lines().expect("the log is readable");
    let address = lines.iter().find_map(|line| line["metrics"].as_str()).expect("an address");
    let text = http::get_text(address.parse().expect("an address"), "/metrics").expect("metrics");
    let prefix = format!("persimmon_{name} ");
    let value = text.lines().find_map(|line| line.strip_prefix(&prefix));
    value.and_then(|value| value.trim().parse().ok()).expect("the metric is served")
}

/// Opens a session that has requested ten large answers.
fn client_with_large_answers(setup: &Setup) -> LineClient {
    let mut client = setup.client(0, "p0", "c");
    let written = client.query(&format!("WRITE item {}", "x".repeat(LARGE)));
    assert!(written.expect("a response").result.is_ok());
    for _ in 0..10 {
        client.send("READ item").expect("the request is sent");
    }
    client
}

/// Guards against a limit on unacknowledged data that is shorter than the time that a client has for
/// reading its answers: data counts as unacknowledged while the client's window is full.
#[test]
fn client_that_reads_late_receives_every_answer() {
    let setup = setup("ends-late-reader", 1);
    for pause in [Duration::from_secs(4), ANSWER_TIMEOUT - Duration::from_secs(3)] {
        let mut client = client_with_large_answers(&setup);

        std::thread::sleep(pause);

        for number in 0..10 {
            let response = client.receive_response();
            let sizes: Option<Vec<usize>> =
                response.as_ref().ok().map(|r| r.rows.iter().map(String::len).collect());
            assert_eq!(sizes, Some(vec![LARGE]), "{number} after {pause:?}: {:?}", response.err());
        }
    }
    setup.assert_no_violations();
}

/// Guards against clients that vanish and whose answers are kept.
#[test]
fn client_that_never_reads_is_closed() {
    let setup = setup("ends-no-reader", 1);
    let client = client_with_large_answers(&setup);

    let has_ended = || {
        metric(&setup.daemons[0], "sessions_opened") == metric(&setup.daemons[0], "sessions_closed")
    };
    assert!(holds_within(ANSWER_TIMEOUT + Duration::from_secs(3), has_ended));
    drop(client);
    setup.assert_no_violations();
}
