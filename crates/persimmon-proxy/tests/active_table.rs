//! Which version of the table is active when the store or a peer offers another one.

use std::sync::Arc;
use std::time::Duration;

use persimmon_interfaces::Table;
use persimmon_proxy::{ActiveTable, LOST_TABLE_RETENTION, TableOutcome};
use persimmon_types::Time;
use persimmon_workspace::{ClientKey, Workspace, WorkspaceDirectory};

fn at(ms: u64) -> Time {
    Time::from_millis(1_000_000 + ms)
}

fn table(version: u64) -> Table {
    Table { version, ..Table::default() }
}

/// A daemon with version 13, which the restored store of era 2 has lost since 1 s.
fn after_restore() -> ActiveTable {
    let mut active = ActiveTable::new();
    active.receive_stored(at(0), 1, table(13));
    active.receive_stored(at(1_000), 2, table(6));
    active
}

fn retention_ms() -> u64 {
    u64::try_from(LOST_TABLE_RETENTION.as_millis()).expect("milliseconds")
}

#[test]
fn table_in_force_does_not_come_back_older_from_a_restored_store() {
    let mut active = after_restore();

    assert_eq!(active.version(), 13);
    assert_eq!(active.receive_stored(at(2_000), 2, table(10)), TableOutcome::KeptUnconfirmed);
    assert!(!active.tick(at(retention_ms()), 2));
    assert_eq!(active.version(), 13);
}

#[test]
fn table_that_is_not_written_again_after_a_restore_is_given_up() {
    let mut active = after_restore();
    active.receive_stored(at(2_000), 2, table(10));

    assert!(active.tick(at(1_000 + retention_ms()), 2));

    assert_eq!(active.version(), 10);
    let offered = active.receive_from_peer(at(70_000), 1, Duration::ZERO, table(13));
    assert_eq!(offered, TableOutcome::Kept);
    assert_eq!(active.version(), 10);
}

#[test]
fn table_that_is_written_again_after_a_restore_stays() {
    let mut active = after_restore();

    active.receive_stored(at(3_000), 2, table(13));

    assert_eq!(active.lost_since(), None);
    assert!(!active.tick(at(1_000 + retention_ms() * 2), 2));
    assert_eq!((active.version(), active.era()), (13, 2));
}

#[test]
fn newer_table_of_a_restored_store_is_activated() {
    let mut active = after_restore();

    assert_eq!(active.receive_stored(at(3_000), 2, table(16)), TableOutcome::Activated);
    assert_eq!((active.version(), active.lost_since()), (16, None));
}

#[test]
fn version_used_again_for_another_table_after_a_restore_replaces_it() {
    let mut active = after_restore();
    let other = Table { tx_idle: Duration::from_secs(9), ..table(13) };

    assert_eq!(active.receive_stored(at(3_000), 2, other.clone()), TableOutcome::Activated);

    assert_eq!(active.table().map(|t| (**t).clone()), Some(other));
}

#[test]
fn late_answer_of_an_earlier_era_changes_nothing() {
    let mut active = ActiveTable::new();
    active.receive_stored(at(0), 2, table(6));

    assert_eq!(active.receive_stored(at(100), 1, table(5)), TableOutcome::Kept);
    assert_eq!((active.version(), active.lost_since()), (6, None));
}

#[test]
fn daemon_that_started_after_a_restore_takes_the_lost_table_from_a_peer() {
    let mut active = ActiveTable::new();
    active.receive_stored(at(0), 2, table(6));
    let lost_for = Duration::from_secs(20);

    let offered = active.receive_from_peer(at(100), 1, lost_for, table(13));

    assert_eq!((offered, active.version()), (TableOutcome::Activated, 13));
    // The time that it was lost at the peer counts, so that daemons do not keep it for each other.
    assert!(!active.tick(at(retention_ms() - 21_000), 2));
    assert!(active.tick(at(retention_ms() - 19_000), 2));
    assert_eq!(active.version(), 6);
}

#[test]
fn peer_with_a_newer_table_of_the_present_era_is_followed() {
    let mut active = after_restore();

    active.receive_from_peer(at(2_000), 2, Duration::ZERO, table(16));

    assert_eq!((active.version(), active.lost_since()), (16, None));
}

/// A version in which the workspace holds these keys.
fn table_with_keys(version: u64, keys: &[&str]) -> Table {
    let workspace = keys.iter().fold(Workspace::new(Arc::from("amber")), |workspace, key| {
        workspace.with_key(ClientKey::digest(key))
    });
    let workspaces = Some(Arc::new(WorkspaceDirectory::new(vec![workspace])));
    Table { workspaces, ..table(version) }
}

#[test]
fn table_that_is_given_up_leaves_the_keys_removed_that_it_removed() {
    let mut active = ActiveTable::new();
    active.receive_stored(at(0), 1, table_with_keys(13, &["kept"]));
    active.receive_stored(at(1_000), 2, table_with_keys(6, &["kept", "removed"]));

    assert!(active.tick(at(1_000 + retention_ms()), 2));

    assert_eq!(active.version(), 6);
    let workspaces = active.table().and_then(|t| t.workspaces.as_ref()).expect("workspaces");
    assert!(workspaces.find(ClientKey::digest("kept")).is_some());
    assert!(workspaces.find(ClientKey::digest("removed")).is_none());
}
