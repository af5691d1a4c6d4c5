//! Guards against requests that get neither an answer nor a refusal when the daemon that runs them for
//! another one freezes, ends or is replaced.

mod fleet;

use std::net::{SocketAddr, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

use persimmon_lab::line_cluster::{InstanceProfile, LineClient};
use rustix::process::Signal;
use serde_json::Value;

use crate::fleet::callers::{Callers, Seen};
use crate::fleet::keys::{FIRST_VERSION, cluster_with, is_active_everywhere};
use crate::fleet::owners::{DAEMONS, other_than, setup_with_profile};
use crate::fleet::{CONDITION_TIMEOUT, Setup, holds_within, setup_on};

/// What the clients of each daemon send.
const STATEMENTS: &[&[&str]] = &[
    &["READ item"],
    &["WRITE item x"],
    &["BEGIN", "READ item", "WRITE item y", "COMMIT"],
    &["BEGIN READ", "READ item", "READ other", "COMMIT"],
];

/// How long the clients run before and after a disturbance.
const UNDISTURBED: Duration = Duration::from_millis(1_000);

/// How long an owner is frozen: longer than the timeout of a statement.
const FROZEN: Duration = Duration::from_millis(2_500);

fn setup_with_slow_statements(name: &str) -> (Setup, usize) {
    let statement_time = Duration::from_millis(20);
    setup_with_profile(name, InstanceProfile { statement_time, ..InstanceProfile::default() })
}

/// Starts clients at all daemons but the owner.
fn start_callers(setup: &Setup, owner: usize) -> Callers {
    let addresses: Vec<SocketAddr> = (0..DAEMONS)
        .filter(|daemon| *daemon != owner)
        .map(|daemon| setup.daemons[daemon].addresses.clients)
        .collect();
    let callers = Callers::start(&addresses, "p0", STATEMENTS);
    std::thread::sleep(UNDISTURBED);
    callers
}

fn assert_answered(setup: &Setup, seen: &[Seen]) {
    assert!(seen.iter().all(|s| s.served > 0 && s.cut.is_none()), "{seen:#?}");
    setup.assert_no_violations();
}

#[test]
fn statements_at_an_owner_that_freezes_are_answered() {
    let (setup, owner) = setup_with_slow_statements("ends-owner-frozen");
    let callers = start_callers(&setup, owner);

    setup.daemons[owner].signal(Signal::STOP);
    std::thread::sleep(FROZEN);
    setup.daemons[owner].signal(Signal::CONT);
    std::thread::sleep(UNDISTURBED);

    assert_answered(&setup, &callers.stop());
}

#[test]
fn statements_at_an_owner_that_is_killed_are_answered() {
    let (mut setup, owner) = setup_with_slow_statements("ends-owner-killed");
    let callers = start_callers(&setup, owner);

    setup.daemons[owner].kill();
    std::thread::sleep(UNDISTURBED * 2);

    assert_answered(&setup, &callers.stop());
}

#[test]
fn statements_at_an_owner_that_stops_are_answered() {
    let (mut setup, owner) = setup_with_slow_statements("ends-owner-stopped");
    let callers = start_callers(&setup, owner);

    setup.daemons[owner].signal(Signal::TERM);
    let has_exited = || setup.daemons[owner].try_wait().expect("the process is asked").is_some();
    assert!(holds_within(Duration::from_secs(7), has_exited));
    std::thread::sleep(UNDISTURBED);

    assert_answered(&setup, &callers.stop());
}

#[test]
fn statements_at_a_frozen_owner_are_answered_before_their_daemon_stops() {
    let (mut setup, owner) = setup_with_slow_statements("ends-both");
    let stopping = other_than(owner);
    let callers = Callers::start(&[setup.daemons[stopping].addresses.clients], "p0", STATEMENTS);
    std::thread::sleep(UNDISTURBED);

    setup.daemons[owner].signal(Signal::STOP);
    setup.daemons[stopping].signal(Signal::TERM);
    std::thread::sleep(FROZEN);
    let seen = callers.stop();
    setup.daemons[owner].signal(Signal::CONT);

    assert_answered(&setup, &seen);
    let has_exited = || setup.daemons[stopping].try_wait().expect("the process is asked").is_some();
    assert!(holds_within(Duration::from_secs(7), has_exited));
}

/// Opens sessions of one request each until the daemon does not accept connections any more; returns
/// the requests that were not answered.
fn reconnect(address: SocketAddr, name: String) -> JoinHandle<(usize, Vec<String>)> {
    std::thread::spawn(move || {
        let mut answered = 0;
        let mut cut = Vec::new();
        while TcpStream::connect(address).is_ok() {
            // A session may be refused, or closed before it is open.
            let Ok(mut client) = LineClient::open_with_key(address, "p0", "akey", &name) else {
                continue;
            };
            match client.query("READ item") {
                Ok(_) => answered += 1,
                Err(err) => cut.push(format!("{}: {err}", client.last_id())),
            }
        }
        (answered, cut)
    })
}

/// The daemon to which the quotas of a daemon are leased.
fn coordinator(setup: &Setup, daemon: usize) -> Option<String> {
    let lines = setup.daemons[daemon].log_lines().unwrap_or_default();
    let is_lease = |line: &&Value| {
        line["message"] == "the quota coordinator of this daemon changed"
            || line["message"] == "the lease of this daemon's share ended"
    };
    let last = lines.iter().rev().find(is_lease)?;
    let is_held = last["message"] != "the lease of this daemon's share ended";
    is_held.then(|| last["coordinator"].as_str().unwrap_or_default().to_owned())
}

/// Guards against requests of sessions that open while a process that has no other session ends. It
/// hands its share of the quotas back meanwhile, to a coordinator that does not answer.
#[test]
fn requests_of_sessions_that_open_as_a_daemon_ends_are_answered() {
    let cluster = cluster_with(&[("amber", &["akey"])], 60).with_quota_bounds(5.0, 0.1, 20.0);
    let setup = setup_on("ends-newcomers", 2, cluster);
    assert!(holds_within(CONDITION_TIMEOUT, || is_active_everywhere(&setup, FIRST_VERSION)));
    let own = |daemon: usize| setup.daemons[daemon].addresses.peers.to_string();
    let leases_from = |daemon: usize| coordinator(&setup, daemon) == Some(own(1 - daemon));
    assert!(holds_within(CONDITION_TIMEOUT, || leases_from(0) || leases_from(1)));
    let stopping = usize::from(leases_from(1));
    let address = setup.daemons[stopping].addresses.clients;
    let clients: Vec<_> = (0..6).map(|n| reconnect(address, format!("c{n}"))).collect();
    std::thread::sleep(UNDISTURBED);

    setup.daemons[stopping].signal(Signal::TERM);
    std::thread::sleep(UNDISTURBED);
    setup.daemons[1 - stopping].signal(Signal::STOP);

    let seen: Vec<_> = clients.into_iter().map(|c| c.join().expect("no panic")).collect();
    setup.daemons[1 - stopping].signal(Signal::CONT);
    assert!(seen.iter().all(|(answered, cut)| *answered > 0 && cut.is_empty()), "{seen:?}");
}
