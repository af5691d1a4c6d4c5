//! Guards against statements that are passed on shortly before a daemon stops and never answered.

mod fleet;

use std::time::{Duration, Instant};

use persimmon_lab::line_cluster::{
    Daemon, InstanceProfile, LineClient, LineCluster, loopback_peer_addresses,
};
use rustix::process::Signal;

use crate::fleet::owners::{other_than, setup_with_profile};
use crate::fleet::{CONDITION_TIMEOUT, Setup, TempFolder, holds_within, setup_on};

/// How long a statement takes at an instance.
const STATEMENT_TIME: Duration = Duration::from_millis(1_000);

fn slow_profile() -> InstanceProfile {
    InstanceProfile { statement_time: STATEMENT_TIME, ..InstanceProfile::default() }
}

fn slow_setup(name: &str) -> Setup {
    let cluster = LineCluster::start(1, 3, slow_profile()).expect("the fake platform starts");
    setup_on(name, 1, cluster)
}

/// Starts a daemon that has to exit within `grace_s` seconds.
fn start_with_grace(setup: &Setup, folder: &TempFolder, grace_s: u32) -> Daemon {
    let settings = setup.cluster.settings("stopped", loopback_peer_addresses(1)[0], &[]);
    let settings = settings.replace("grace_s = 6", &format!("grace_s = {grace_s}"));
    Daemon::start(&folder.0, "stopped", &settings).expect("the daemon starts")
}

/// Sends `statement` in a transaction `after` SIGTERM; returns whether it was answered.
fn is_answered(name: &str, grace_s: u32, after: Duration, statement: &str) -> bool {
    let mut setup = slow_setup(name);
    let folder = TempFolder::new(name);
    setup.daemons = vec![start_with_grace(&setup, &folder, grace_s)];
    assert!(holds_within(CONDITION_TIMEOUT, || setup.daemons[0].is_ready()));
    let client = setup.client(0, "p0", "c");
    is_answered_after_stop(&setup, &[0], client, after, statement)
}

/// Begins a transaction of `client`, stops daemons, and sends `statement` `after` that; returns
/// whether it was answered.
fn is_answered_after_stop(
    setup: &Setup,
    stopped: &[usize],
    mut client: LineClient,
    after: Duration,
    statement: &str,
) -> bool {
    for text in ["BEGIN", "WRITE item x"] {
        assert!(client.query(text).expect("a response").result.is_ok());
    }
    let stopped_at = Instant::now();
    for daemon in stopped {
        setup.daemons[*daemon].signal(Signal::TERM);
    }
    // Half of the time the transaction rests: its idle limit is three seconds.
    if after > STATEMENT_TIME * 3 {
        std::thread::sleep(after / 2);
        assert!(client.query("READ item").expect("a response").result.is_ok());
    }
    std::thread::sleep(after.saturating_sub(stopped_at.elapsed()));
    client.query(statement).is_ok()
}

/// Guards against a read of an open transaction that is cut off without an answer.
#[test]
fn statement_late_in_a_shutdown_is_answered() {
    assert!(is_answered("late-read", 6, Duration::from_millis(4_700), "READ item"));
}

/// Guards against a COMMIT that is cut off without an answer.
#[test]
fn commit_late_in_a_shutdown_is_answered() {
    assert!(is_answered("late-commit", 6, Duration::from_millis(4_700), "COMMIT"));
}

/// Guards against the same where the process may take two seconds only.
#[test]
fn statement_late_in_a_short_shutdown_is_answered() {
    assert!(is_answered("late-short", 2, Duration::from_millis(900), "READ item"));
}

/// Guards against the same where another daemon runs the statement, and may stop at the same time.
#[test]
fn statement_that_an_owner_runs_late_in_a_shutdown_is_answered() {
    for stops_owner in [false, true] {
        let name = format!("late-hop-{stops_owner}");
        let (setup, owner) = setup_with_profile(&name, slow_profile());
        let stopped = [other_than(owner), owner];
        let stopped = if stops_owner { &stopped[..] } else { &stopped[..1] };
        let client = setup.client(other_than(owner), "p0", "c");
        let after = Duration::from_millis(4_700);

        assert!(is_answered_after_stop(&setup, stopped, client, after, "READ item"), "{name}");
    }
}

/// Guards against a COMMIT that is cut off while both daemons stop.
#[test]
fn commit_that_an_owner_runs_late_in_a_shutdown_is_answered() {
    let (setup, owner) = setup_with_profile("late-hop-commit", slow_profile());
    let client = setup.client(other_than(owner), "p0", "c");
    let stopped = [owner, other_than(owner)];
    let after = Duration::from_millis(4_700);

    assert!(is_answered_after_stop(&setup, &stopped, client, after, "COMMIT"));
}
