//! Entries of the instance directory, and how long missing ones are kept.

use std::sync::Arc;
use std::time::Duration;

use persimmon_interfaces::{
    Change, DecodeError, Instance, InstanceReport, Listing, Object, ObjectDecoder, Revision, Role,
    Table,
};
use persimmon_proxy::{Directory, DrainNotice, EntryVersion, RoutingSnapshot};
use persimmon_types::Time;

const SERVICE: &str = "orders";

/// Decodes objects whose value is a serialized instance with its sequence number.
#[derive(Debug)]
struct IdentityDecoder;

impl ObjectDecoder for IdentityDecoder {
    fn is_table(&self, _: &Object) -> bool {
        false
    }

    fn decode_table(&self, object: &Object) -> Result<Table, DecodeError> {
        Err(DecodeError { name: Arc::clone(&object.name), problem: "not a table".to_owned() })
    }

    fn decode_instance(&self, object: &Object) -> Result<InstanceReport, DecodeError> {
        let (instance, sequence) = object.value.decode().map_err(|err| DecodeError {
            name: Arc::clone(&object.name),
            problem: err.to_string(),
        })?;
        Ok(InstanceReport { instance, sequence })
    }
}

fn at_revision(number: u64) -> Revision {
    Revision::new(1, number)
}

fn entry(id: &str, revision: u64, role: Role) -> Object {
    report(at_revision(revision), instance(id, role, false), revision)
}

fn report(revision: Revision, instance: Instance, sequence: u64) -> Object {
    let name = Arc::clone(&instance.id);
    let value = serde_json::to_value((instance, sequence)).expect("an entry").into();
    Object { name, revision, value }
}

fn instance(id: &str, role: Role, is_draining: bool) -> Instance {
    Instance {
        id: Arc::from(id),
        service: Arc::from(SERVICE),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: Arc::from("a"),
        slots: 5,
        is_draining,
        role,
        born_ms: 1,
    }
}

fn at(ms: u64) -> Time {
    Time::from_millis(1_000_000 + ms)
}

fn directory(drain_limit_ms: u64, objects: Vec<Object>) -> Directory {
    let mut directory = Directory::new(Duration::from_millis(drain_limit_ms));
    let listing = Listing { objects, revision: at_revision(10) };
    directory.apply_listing(&IdentityDecoder, &listing, at(0));
    directory
}

fn primary(directory: &Directory) -> Option<Arc<str>> {
    let snapshot =
        RoutingSnapshot { services: directory.by_service(), ..RoutingSnapshot::default() };
    snapshot.self_declared_primary(SERVICE).map(|e| Arc::clone(&e.instance.id))
}

/// Milliseconds for which a missing entry is still listed.
fn retention_ms(drain_limit_ms: u64) -> u64 {
    let mut directory = directory(drain_limit_ms, vec![entry("i-1", 1, Role::Replica)]);
    directory.tick(at(0), true);
    directory.apply_change(&IdentityDecoder, &Change::Removed(Arc::from("i-1")), at(0));
    (0..20_000)
        .step_by(100)
        .find(|ms| directory.tick(at(*ms), true))
        .expect("the missing instance is removed")
}

#[test]
fn latest_entry_wins_between_two_self_declared_primaries() {
    let old = entry("i-1", 1, Role::Primary);
    let mut directory = directory(7_000, vec![old, entry("i-2", 2, Role::Replica)]);

    directory.apply_change(
        &IdentityDecoder,
        &Change::Written(entry("i-2", 7, Role::Primary)),
        at(0),
    );

    assert_eq!(primary(&directory).as_deref(), Some("i-2"));
}

#[test]
fn missing_primary_yields_to_a_listed_one() {
    let late = entry("i-1", 9, Role::Primary);
    let mut directory = directory(7_000, vec![late, entry("i-2", 7, Role::Primary)]);

    directory.apply_change(&IdentityDecoder, &Change::Removed(Arc::from("i-1")), at(0));

    assert_eq!(primary(&directory).as_deref(), Some("i-2"));
}

#[test]
fn missing_instance_is_removed_before_the_drain_limit() {
    for limit_ms in [2_000, 3_000, 7_000, 10_000] {
        let kept_ms = retention_ms(limit_ms);

        // A third of the limit may pass before the missing entry is noticed.
        assert!(kept_ms + limit_ms / 3 < limit_ms, "{kept_ms} of {limit_ms}");
    }
}

#[test]
fn missing_instance_is_kept_long_enough_to_return() {
    let kept_ms = retention_ms(7_000);

    assert!(kept_ms > 2_000, "{kept_ms}");
}

#[test]
fn time_for_which_an_entry_is_missing_advances_without_further_news() {
    let mut directory = directory(7_000, vec![entry("i-1", 1, Role::Primary)]);
    directory.tick(at(0), true);
    directory.apply_change(&IdentityDecoder, &Change::Removed(Arc::from("i-1")), at(0));

    directory.tick(at(2_500), true);

    assert_eq!(directory.missing_for("i-1"), Some(Duration::from_millis(2_500)));
}

#[test]
fn removal_noticed_late_leaves_only_the_time_in_which_an_entry_returns() {
    let mut directory = directory(7_000, vec![entry("i-1", 1, Role::Replica)]);
    directory.tick(at(9_000), true);
    directory.apply_change(&IdentityDecoder, &Change::Removed(Arc::from("i-1")), at(0));

    let kept_until = (9_000..20_000).step_by(100).find(|ms| directory.tick(at(*ms), true));

    assert_eq!(kept_until, Some(11_500));
}

/// A directory that received "draining" from `i-1` and the lead of `i-2` after the copy was made
/// with which [`restored`] begins.
fn directory_before_restore() -> Directory {
    let copied = vec![entry("i-1", 1, Role::Primary), entry("i-2", 2, Role::Replica)];
    let mut directory = directory(7_000, copied);
    let draining = report(at_revision(8), instance("i-1", Role::Replica, true), 8);
    let leading = report(at_revision(9), instance("i-2", Role::Primary, false), 9);
    for written in [draining, leading] {
        directory.apply_change(&IdentityDecoder, &Change::Written(written), at(0));
    }
    directory
}

fn restored(number: u64) -> Revision {
    Revision::new(2, number)
}

fn restored_listing() -> Listing {
    let objects = vec![
        report(restored(1), instance("i-1", Role::Primary, false), 1),
        report(restored(2), instance("i-2", Role::Replica, false), 2),
    ];
    Listing { objects, revision: restored(5) }
}

fn is_draining(directory: &Directory, id: &str) -> Option<bool> {
    let services = directory.by_service();
    services[SERVICE].iter().find(|e| &*e.instance.id == id).map(|e| e.instance.is_draining)
}

#[test]
fn restored_listing_does_not_bring_a_draining_instance_back() {
    let mut directory = directory_before_restore();

    directory.apply_listing(&IdentityDecoder, &restored_listing(), at(0));

    assert_eq!(is_draining(&directory, "i-1"), Some(true));
    assert_eq!(primary(&directory).as_deref(), Some("i-2"));
}

#[test]
fn reports_written_after_a_restore_are_taken_whatever_their_number() {
    let mut directory = directory_before_restore();
    directory.apply_listing(&IdentityDecoder, &restored_listing(), at(0));

    // The next number of the restored store is below those of before.
    let ready = report(restored(6), instance("i-1", Role::Replica, false), 10);
    directory.apply_change(&IdentityDecoder, &Change::Written(ready), at(0));

    assert_eq!(is_draining(&directory, "i-1"), Some(false));
}

#[test]
fn listing_with_a_report_written_after_a_restore_is_taken() {
    let mut directory = directory_before_restore();
    let ready = report(restored(6), instance("i-1", Role::Replica, false), 10);
    let listing = Listing { objects: vec![ready], revision: restored(6) };

    directory.apply_listing(&IdentityDecoder, &listing, at(0));

    assert_eq!(is_draining(&directory, "i-1"), Some(false));
}

#[test]
fn instance_removed_before_a_restore_does_not_return_from_the_copy() {
    let mut directory = directory_before_restore();
    directory.tick(at(0), true);
    directory.apply_change(&IdentityDecoder, &Change::Removed(Arc::from("i-1")), at(0));
    directory.tick(at(10_000), true);

    directory.apply_listing(&IdentityDecoder, &restored_listing(), at(0));

    assert_eq!(is_draining(&directory, "i-1"), None);
}

#[test]
fn instance_that_left_does_not_return_with_its_last_report() {
    let mut directory = directory_before_restore();
    directory.tick(at(0), true);
    directory.apply_change(&IdentityDecoder, &Change::Removed(Arc::from("i-1")), at(0));
    directory.tick(at(10_000), true);
    let last = report(restored(3), instance("i-1", Role::Replica, true), 8);
    let listing = Listing { objects: vec![last], revision: restored(5) };

    directory.apply_listing(&IdentityDecoder, &listing, at(0));

    assert_eq!(is_draining(&directory, "i-1"), None);
}

#[test]
fn entry_written_again_unchanged_after_a_restore_is_present() {
    let mut directory = directory_before_restore();
    directory.tick(at(0), true);
    let lost = Listing { objects: Vec::new(), revision: restored(5) };
    directory.apply_listing(&IdentityDecoder, &lost, at(0));
    let again = report(restored(6), instance("i-2", Role::Primary, false), 9);
    let listing = Listing { objects: vec![again], revision: restored(6) };

    directory.apply_listing(&IdentityDecoder, &listing, at(0));

    let services = directory.by_service();
    let is_present =
        |id: &str| services[SERVICE].iter().any(|e| &*e.instance.id == id && e.accepts_work());
    assert!(is_present("i-2") && !is_present("i-1"));
}

#[test]
fn daemon_that_started_after_a_restore_takes_newer_reports_of_peers() {
    let mut newcomer = Directory::new(Duration::from_millis(7_000));
    newcomer.apply_listing(&IdentityDecoder, &restored_listing(), at(0));
    let peer = directory_before_restore();

    for (version, instance) in peer.entries() {
        newcomer.merge_entry(version, instance, at(0));
    }

    assert_eq!(is_draining(&newcomer, "i-1"), Some(true));
    assert_eq!(primary(&newcomer).as_deref(), Some("i-2"));
}

#[test]
fn process_started_later_wins_over_a_restored_report_of_the_one_before() {
    let mut directory = directory_before_restore();
    let version = EntryVersion { revision: at_revision(12), born_ms: 500, sequence: 1 };
    let reborn = Instance { born_ms: 500, ..instance("i-1", Role::Replica, false) };
    assert!(directory.merge_entry(version, reborn, at(0)));

    directory.apply_listing(&IdentityDecoder, &restored_listing(), at(0));

    let services = directory.by_service();
    let entry = services[SERVICE].iter().find(|e| &*e.instance.id == "i-1").expect("an entry");
    assert_eq!(entry.instance.born_ms, 500);
}

/// When `i-1` receives no new work any more.
fn drain_deadline(directory: &Directory) -> Option<Time> {
    let services = directory.by_service();
    services[SERVICE].iter().find(|e| &*e.instance.id == "i-1").and_then(|e| e.drain_deadline)
}

fn draining_at(number: u64) -> Change {
    Change::Written(report(at_revision(number), instance("i-1", Role::Primary, true), number))
}

#[test]
fn drain_limit_counts_from_the_first_report_and_not_from_a_heartbeat() {
    let mut directory = directory(7_000, vec![entry("i-1", 1, Role::Primary)]);
    assert_eq!(drain_deadline(&directory), None);

    directory.apply_change(&IdentityDecoder, &draining_at(11), at(1_000));
    let deadline = drain_deadline(&directory).expect("a deadline");
    directory.apply_change(&IdentityDecoder, &draining_at(12), at(5_000));

    assert_eq!(drain_deadline(&directory), Some(deadline));
    assert!(deadline < at(8_000), "the limit includes what is in flight");
}

#[test]
fn drain_limit_counts_from_the_announcement_that_a_peer_knows() {
    let mut newcomer = directory(7_000, vec![entry("i-1", 1, Role::Primary)]);
    let since = at(1_000);
    newcomer.merge_drain_notice(DrainNotice { instance: Arc::from("i-1"), born_ms: 1, since });

    newcomer.apply_change(&IdentityDecoder, &draining_at(11), at(6_000));

    assert!(drain_deadline(&newcomer).expect("a deadline") < at(8_000));
}

#[test]
fn announcement_of_a_former_process_does_not_drain_the_next_one() {
    let mut directory = directory(7_000, vec![entry("i-1", 1, Role::Primary)]);
    directory.apply_change(&IdentityDecoder, &draining_at(11), at(1_000));
    let reborn = Instance { born_ms: 500, ..instance("i-1", Role::Replica, false) };
    let written = Change::Written(report(at_revision(12), reborn.clone(), 1));
    directory.apply_change(&IdentityDecoder, &written, at(9_000));
    assert_eq!(drain_deadline(&directory), None);

    let leaving = Instance { is_draining: true, ..reborn };
    let written = Change::Written(report(at_revision(13), leaving, 2));
    directory.apply_change(&IdentityDecoder, &written, at(20_000));

    assert!(drain_deadline(&directory).expect("a deadline") > at(20_000));
}
