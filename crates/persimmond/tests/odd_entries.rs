//! Guards against entries of another writer that no daemon can read: they must not end a daemon, nor
//! keep it from following the other entries and the table.

mod fleet;

use std::time::Duration;

use persimmon_lab::line_cluster::{Daemon, InstanceProfile, LineClient, LineCluster, StoreFaults};
use serde_json::json;

use crate::fleet::{CONDITION_TIMEOUT, Setup, holds_within, setup, setup_on};

/// A fleet that is large enough to have watchers.
const LARGE_FLEET: usize = 33;

/// The time within which a change must be active on the smallest deployment.
const TABLE_LIMIT: Duration = Duration::from_secs(3);

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

/// An entry that is valid but for one field.
fn entry_with(field: &str, text: &str) -> Vec<u8> {
    let mut entry = json!({
        "service": "svc0", "address": "127.0.0.1:9", "zone": "z1", "version": "v1", "slots": 5,
        "state": "ready", "cold_ms": 0, "db_role": "primary", "born": 1, "seq": 1,
    });
    entry[field] = json!("placeholder");
    entry.to_string().replace("\"placeholder\"", text).into_bytes()
}

/// Values that another writer may store, by name.
fn odd_entries() -> Vec<(String, Vec<u8>)> {
    let mut entries: Vec<(String, Vec<u8>)> = [
        ("depth-100", entry_with("extra", &nested(100))),
        ("depth-120", entry_with("extra", &nested(120))),
        ("depth-200", entry_with("extra", &nested(200))),
        ("depth-100000", entry_with("extra", &nested(100_000))),
        ("number", entry_with("seq", "1e400")),
        ("integer", entry_with("slots", "99999999999999999999999999")),
        ("no-slots", entry_with("slots", "0")),
        ("many-slots", entry_with("slots", "4294967295")),
        ("port", entry_with("address", "\"127.0.0.1:70000\"")),
        ("no-port", entry_with("address", "\"127.0.0.1:0\"")),
        ("surrogate", entry_with("version", "\"\\ud800\"")),
        ("not-utf-8", entry_with("version", "\"\u{1}\"")),
        ("control", entry_with("version", "\"\u{2}\"")),
        ("large", entry_with("extra", &format!("\"{}\"", "x".repeat(1 << 19)))),
        ("key", entry_with("extra", r#"{"a":1,"$serde_json::private::RawValue":"x"}"#)),
        ("null", b"null".to_vec()),
        ("list", b"[1]".to_vec()),
    ]
    .into_iter()
    .map(|(name, text)| (format!("i-odd-{name}"), text))
    .collect();
    for (_, text) in &mut entries {
        // Byte 1 stands for one that no UTF-8 text contains.
        text.iter_mut().filter(|byte| **byte == 1).for_each(|byte| *byte = 0xff);
    }
    entries.push(("i odd\r\nQUERY - RESET".to_owned(), entry_with("seq", "1")));
    entries
}

fn put_odd_entries(cluster: &LineCluster) {
    for (name, text) in odd_entries() {
        cluster.store.put_raw("servers", &name, &text);
    }
}

fn set_unavailable(setup: &Setup, is_unavailable: bool) {
    setup.cluster.store.set_faults(StoreFaults { is_unavailable, ..StoreFaults::default() });
}

fn is_odd(line: &serde_json::Value) -> bool {
    line["instance"].as_str().is_some_and(|id| id.contains("odd"))
}

/// Whether a daemon serves writes and reads.
fn serves(daemon: &Daemon) -> bool {
    ["p0", "r0"].iter().all(|database| {
        let Ok(mut client) = LineClient::open(daemon.addresses.clients, database, "c") else {
            return false;
        };
        ["WRITE item x", "READ item"]
            .iter()
            .all(|text| client.query(text).is_ok_and(|response| response.result.is_ok()))
    })
}

/// Asserts that the daemons use every instance of the group but no odd one.
fn assert_uses_only_instances(setup: &Setup) {
    for daemon in 0..setup.daemons.len() {
        assert!(!setup.has_logged(daemon, |line| {
            line["message"] == "the directory changed" && is_odd(line)
        }));
        for id in ["i-0-0", "i-0-1", "i-0-2"] {
            let is_known = |line: &serde_json::Value| {
                line["message"] == "the directory changed" && line["instance"] == id
            };
            assert!(setup.has_logged(daemon, is_known), "{id} at daemon {daemon}");
        }
    }
}

fn is_active(setup: &Setup, daemon: usize, version: u64) -> bool {
    setup.has_logged(daemon, |line| {
        line["message"] == "table activated" && line["version"] == version
    })
}

#[test]
fn daemon_starts_beside_entries_that_it_cannot_read() {
    let cluster =
        LineCluster::start(1, 3, InstanceProfile::default()).expect("the fake platform starts");
    put_odd_entries(&cluster);

    let setup = setup_on("odd-start", 1, cluster);

    assert!(serves(&setup.daemons[0]));
    assert_uses_only_instances(&setup);
    setup.assert_no_violations();
}

#[test]
fn listing_continues_behind_a_page_of_entries_that_cannot_be_read() {
    let cluster =
        LineCluster::start(1, 3, InstanceProfile::default()).expect("the fake platform starts");
    for number in 0..4 {
        cluster.store.put_raw("servers", &format!("a odd&{number}"), nested(200).as_bytes());
    }
    cluster.store.set_page_size(2);

    let setup = setup_on("odd-pages", 1, cluster);

    assert!(serves(&setup.daemons[0]));
    assert_uses_only_instances(&setup);
}

#[test]
fn running_fleet_keeps_following_when_entries_cannot_be_read() {
    let cluster =
        LineCluster::start(1, 3, InstanceProfile::default()).expect("the fake platform starts");
    let mut setup = setup_on("odd-fleet", LARGE_FLEET, cluster);
    let have_members =
        |daemon| setup.has_logged(daemon, |line| line["message"] == "members were exchanged");
    assert!(holds_within(CONDITION_TIMEOUT, || (0..LARGE_FLEET).all(have_members)));

    put_odd_entries(&setup.cluster);
    setup.cluster.put_table(5, &["fresh"]);
    let is_active_everywhere =
        |version| (0..LARGE_FLEET).all(|daemon| is_active(&setup, daemon, version));
    assert!(holds_within(TABLE_LIMIT, || is_active_everywhere(5)));
    setup.cluster.publish_with_draining(&[2]);

    let knows_leaving = |daemon| {
        setup.has_logged(daemon, |line| line["instance"] == "i-0-2" && line["draining"] == true)
    };
    assert!(holds_within(CONDITION_TIMEOUT, || (0..LARGE_FLEET).all(knows_leaving)));
    assert!(setup.daemons.iter().all(serves));
    assert_uses_only_instances(&setup);
    let has_lost_watcher =
        |line: &serde_json::Value| line["message"] == "a watcher of the store does not answer";
    assert!((0..LARGE_FLEET).all(|daemon| !setup.has_logged(daemon, has_lost_watcher)));
    let is_running = |daemon: &mut Daemon| daemon.try_wait().is_ok_and(|ended| ended.is_none());
    assert!(setup.daemons.iter_mut().all(is_running));
    setup.assert_no_violations();
}

#[test]
fn changes_that_are_too_large_for_one_answer_do_not_stop_a_daemon() {
    let setup = setup("odd-size", 1);
    let large = format!("\"{}\"", "x".repeat(1 << 20)).into_bytes();
    setup.cluster.store.set_page_size(4);
    set_unavailable(&setup, true);
    for number in 0..10 {
        setup.cluster.store.put_raw("servers", &format!("i-odd-{number}"), &large);
    }
    setup.cluster.publish_with_draining(&[2]);
    set_unavailable(&setup, false);

    let knows_leaving =
        || setup.has_logged(0, |line| line["instance"] == "i-0-2" && line["draining"] == true);
    assert!(holds_within(CONDITION_TIMEOUT, knows_leaving));
}

#[test]
fn entry_that_cannot_be_read_is_logged_once_for_each_change() {
    let setup = setup("odd-log", 1);
    setup.cluster.store.put_raw("servers", "i-odd", &entry_with("slots", "0"));
    let reports = || {
        let lines = setup.daemons[0].log_lines().unwrap_or_default();
        let is_report = |line: &&serde_json::Value| {
            line["level"] == "WARN" && line["problem"].as_str().is_some_and(|p| p.contains("i-odd"))
        };
        lines.iter().filter(is_report).count()
    };
    assert!(holds_within(CONDITION_TIMEOUT, || reports() == 1));

    let listings = || {
        let lines = setup.daemons[0].log_lines().unwrap_or_default();
        let is_listing = |line: &&serde_json::Value| {
            line["message"] == "the objects in the store were listed" && line["kind"] == "Instances"
        };
        lines.iter().filter(is_listing).count()
    };
    setup.cluster.store.clear_history();
    assert!(holds_within(CONDITION_TIMEOUT, || listings() == 2));
    assert_eq!(reports(), 1);

    setup.cluster.store.put_raw("servers", "i-odd", &entry_with("slots", "\"many\""));
    assert!(holds_within(CONDITION_TIMEOUT, || reports() == 2));
}

#[test]
fn daemon_that_starts_beside_a_promotion_lock_that_it_cannot_read_replaces_a_primary() {
    let cluster =
        LineCluster::start(1, 3, InstanceProfile::default()).expect("the fake platform starts");
    cluster.store.put_raw("persimmon-duties", "svc0", nested(200).as_bytes());
    let setup = setup_on("odd-lock", 2, cluster);
    setup.time_to_write(0, "before");

    setup.crash_primary();
    setup.time_to_write(0, "after");

    setup.assert_no_violations();
}

#[test]
fn promotion_lock_with_a_token_that_no_daemon_gave_is_replaced() {
    let cluster =
        LineCluster::start(1, 3, InstanceProfile::default()).expect("the fake platform starts");
    let record = json!({
        "holder": "odd", "incarnation": 1, "token": u64::MAX, "ordered_ms": 0,
    });
    cluster.store.put_raw("persimmon-duties", "svc0", record.to_string().as_bytes());
    let setup = setup_on("odd-token", 2, cluster);

    setup.crash_primary();
    setup.time_to_write(0, "after");

    let holds_lock = |line: &serde_json::Value| {
        line["message"] == "this daemon holds the duty" && line["token"] == u64::MAX
    };
    assert!((0..2).all(|daemon| !setup.has_logged(daemon, holds_lock)));
    setup.assert_no_violations();
}
