//! Tests daemons while the store comes back from a copy that lacks what it had acknowledged.

mod fleet;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use persimmon_lab::line_cluster::{
    Daemon, InstanceProfile, LineCluster, StoreCopy, StoreFaults, loopback_peer_addresses,
};

use serde_json::{Value, json};

use crate::fleet::{CONDITION_TIMEOUT, Setup, TempFolder, holds_within, setup, setup_on};

/// A fleet that is large enough to have watchers.
const LARGE_FLEET: usize = 33;

/// The time within which a change must be active on the smallest deployment.
const TABLE_LIMIT: Duration = Duration::from_secs(3);

/// Heartbeats of three instances, so that the store's revision rises by hundreds.
const HEARTBEATS: usize = 60;

fn setup_large_fleet(name: &str) -> Setup {
    let cluster =
        LineCluster::start(1, 3, InstanceProfile::default()).expect("the fake platform starts");
    let setup = setup_on(name, LARGE_FLEET, cluster);
    let have_members =
        |daemon| setup.has_logged(daemon, |line| line["message"] == "members were exchanged");
    assert!(holds_within(CONDITION_TIMEOUT, || (0..LARGE_FLEET).all(have_members)));
    setup
}

fn is_active(setup: &Setup, daemon: usize, version: u64) -> bool {
    setup.has_logged(daemon, |line| {
        line["message"] == "table activated" && line["version"] == version
    })
}

fn is_active_everywhere(setup: &Setup, version: u64) -> bool {
    (0..setup.daemons.len()).all(|daemon| is_active(setup, daemon, version))
}

fn set_unavailable(setup: &Setup, is_unavailable: bool) {
    setup.cluster.store.set_faults(StoreFaults { is_unavailable, ..StoreFaults::default() });
}

/// Takes the store away, and brings it back from a copy.
fn restore(setup: &Setup, copy: &StoreCopy) {
    set_unavailable(setup, true);
    setup.cluster.store.restore(copy);
    set_unavailable(setup, false);
}

fn beat(setup: &Setup, times: usize) {
    for _ in 0..times {
        setup.cluster.beat();
    }
}

#[test]
fn table_written_after_a_restore_reaches_daemons_that_follow_watchers() {
    let setup = setup_large_fleet("restore-watchers");
    let copy = setup.cluster.store.copy();
    beat(&setup, HEARTBEATS);
    setup.cluster.put_table(5, &["lost"]);
    assert!(holds_within(CONDITION_TIMEOUT, || is_active_everywhere(&setup, 5)));

    restore(&setup, &copy);
    setup.cluster.put_table(5, &["lost"]);
    setup.cluster.beat();
    let has_listed = |daemon| {
        setup.has_logged(daemon, |line| {
            line["message"] == "the objects in the store were listed"
                && line["kind"] == "Table"
                && !line["before"].is_null()
        })
    };
    assert!(holds_within(CONDITION_TIMEOUT, || (0..LARGE_FLEET).any(has_listed)));
    setup.cluster.put_table(8, &["lost", "fresh"]);

    assert!(holds_within(TABLE_LIMIT, || is_active_everywhere(&setup, 8)));
    setup.assert_no_violations();
}

#[test]
fn table_written_at_a_revision_given_out_again_is_not_missed() {
    let setup = setup("restore-revisions", 3);
    let copy = setup.cluster.store.copy();
    setup.cluster.beat();
    setup.cluster.put_table(5, &["lost"]);
    assert!(holds_within(CONDITION_TIMEOUT, || is_active_everywhere(&setup, 5)));

    set_unavailable(&setup, true);
    let lost = setup.cluster.store.revision();
    setup.cluster.store.restore(&copy);
    setup.cluster.put_table(8, &["lost", "fresh"]);
    while setup.cluster.store.revision() <= lost {
        setup.cluster.beat();
    }
    set_unavailable(&setup, false);

    assert!(holds_within(TABLE_LIMIT, || is_active_everywhere(&setup, 8)));
    setup.assert_no_violations();
}

#[test]
fn fencing_token_of_a_lost_promotion_lock_is_not_used_again() {
    let cluster =
        LineCluster::start(1, 3, InstanceProfile::default()).expect("the fake platform starts");
    let copy = cluster.store.copy();
    let mut setup = setup_on("restore-token", 3, cluster);
    let holds_lock = |setup: &Setup, daemon: usize| {
        setup.has_logged(daemon, |line| line["message"] == "this daemon holds the duty")
    };
    let mut holder = None;
    assert!(holds_within(CONDITION_TIMEOUT, || {
        holder = (0..3).find(|daemon| holds_lock(&setup, *daemon));
        holder.is_some()
    }));
    let holder = holder.unwrap_or_default();
    setup.crash_primary();
    setup.time_to_write((holder + 1) % 3, "first");
    setup.restart_crashed();

    restore(&setup, &copy);
    setup.cluster.beat();
    setup.daemons[holder].kill();
    setup.crash_primary();
    setup.time_to_write((holder + 1) % 3, "second");

    setup.assert_no_violations();
}

#[test]
fn holder_of_a_lost_promotion_lock_acquires_it_again() {
    let cluster =
        LineCluster::start(1, 3, InstanceProfile::default()).expect("the fake platform starts");
    let copy = cluster.store.copy();
    let setup = setup_on("restore-holder", 3, cluster);
    let holds_lock_in = |daemon: usize, era: u64| {
        setup.has_logged(daemon, |line| {
            line["message"] == "this daemon holds the duty" && line["era"] == era
        })
    };
    let holders =
        |era: u64| (0..3).filter(|daemon| holds_lock_in(*daemon, era)).collect::<Vec<_>>();
    assert!(holds_within(CONDITION_TIMEOUT, || !holders(1).is_empty()));

    restore(&setup, &copy);
    setup.cluster.beat();

    assert!(holds_within(CONDITION_TIMEOUT, || !holders(2).is_empty()));
    assert_eq!(holders(2), holders(1));
    setup.assert_no_violations();
}

#[test]
fn daemon_started_before_the_table_is_written_again_serves_the_one_in_force() {
    let setup = setup("restore-newcomer", 3);
    let copy = setup.cluster.store.copy();
    setup.cluster.put_table(5, &["added"]);
    assert!(holds_within(CONDITION_TIMEOUT, || is_active_everywhere(&setup, 5)));

    restore(&setup, &copy);
    let folder = TempFolder::new("restore-late");
    let seeds: Vec<_> = setup.daemons.iter().map(|d| d.addresses.peers).collect();
    let settings = setup.cluster.settings("late", loopback_peer_addresses(1)[0], &seeds);
    let late = Daemon::start(&folder.0, "late", &settings).expect("the daemon starts");

    let has_table = || {
        let lines = late.log_lines().unwrap_or_default();
        lines.iter().any(|line| line["message"] == "table activated" && line["version"] == 5)
    };
    assert!(holds_within(TABLE_LIMIT, has_table));
    assert!((0..3).all(|daemon| !setup.has_logged(daemon, |line| line["before"] == 5)));
    setup.assert_no_violations();
}

/// Requests the changes of the table since `revision` from a daemon, in the form of its peers.
fn request_changes(setup: &Setup, daemon: usize, revision: &Value) -> Value {
    let request = json!({"Request": {
        "context": {
            "deadline": {"secs": 5, "nanos": 0},
            "trace_context": {"trace_id": vec![0; 16], "span_id": 1, "sampling_decision": "Unsampled"},
        },
        "id": 1,
        "message": {"Changes": {"kind": "Table", "revision": revision}},
    }});
    let body = request.to_string();
    let mut stream = TcpStream::connect(setup.daemons[daemon].addresses.peers).expect("a peer");
    stream.set_read_timeout(Some(CONDITION_TIMEOUT)).expect("a timeout is set");
    let length = u32::try_from(body.len()).expect("a short message").to_be_bytes();
    stream.write_all(&[&length, body.as_bytes()].concat()).expect("the request is sent");
    let mut length = [0; 4];
    stream.read_exact(&mut length).expect("a response");
    let mut response = vec![0; usize::try_from(u32::from_be_bytes(length)).expect("a length")];
    stream.read_exact(&mut response).expect("a whole response");
    let response: Value = serde_json::from_slice(&response).expect("JSON");
    response["message"]["Ok"]["Changes"].clone()
}

#[test]
fn daemon_of_a_build_without_eras_receives_plain_numbers() {
    let setup = setup("restore-upgrade", 1);

    let old = request_changes(&setup, 0, &json!(0));
    let new = request_changes(&setup, 0, &json!([0, 0]));

    let number = &old["Listing"]["revision"];
    assert!(number.is_u64(), "{old}");
    assert!(old["Listing"]["objects"][0]["revision"].is_u64(), "{old}");
    assert_eq!(new["Listing"]["revision"], json!([1, number]), "{new}");
    // It waits as before where it has everything, instead of receiving all objects at once.
    let changes = request_changes(&setup, 0, number);
    assert_eq!(changes["Changes"]["revision"], *number, "{changes}");
}
