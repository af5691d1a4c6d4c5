//! Entries of the instance directory, and how long missing ones are kept.

use std::sync::Arc;
use std::time::Duration;

use persimmon_interfaces::{
    Change, DecodeError, Instance, Listing, Object, ObjectDecoder, Revision, Role, Table,
};
use persimmon_proxy::{Directory, RoutingSnapshot};
use persimmon_types::Time;
use serde::Deserialize;

const SERVICE: &str = "orders";

/// Decodes objects whose value is a serialized instance.
#[derive(Debug)]
struct IdentityDecoder;

impl ObjectDecoder for IdentityDecoder {
    fn is_table(&self, _: &Object) -> bool {
        false
    }

    fn decode_table(&self, object: &Object) -> Result<Table, DecodeError> {
        Err(DecodeError { name: Arc::clone(&object.name), problem: "not a table".to_owned() })
    }

    fn decode_instance(&self, object: &Object) -> Result<Instance, DecodeError> {
        Instance::deserialize(&object.value)
            .map_err(|err| DecodeError { name: Arc::clone(&object.name), problem: err.to_string() })
    }
}

fn at_revision(number: u64) -> Revision {
    Revision::new(1, number)
}

fn entry(id: &str, revision: u64, role: Role) -> Object {
    let instance = Instance {
        id: Arc::from(id),
        service: Arc::from(SERVICE),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: Arc::from("a"),
        slots: 5,
        is_draining: false,
        role,
        born_ms: 1,
    };
    let value = serde_json::to_value(&instance).expect("an entry");
    Object { name: Arc::from(id), revision: at_revision(revision), value }
}

fn at(ms: u64) -> Time {
    Time::from_millis(1_000_000 + ms)
}

fn directory(drain_limit_ms: u64, objects: Vec<Object>) -> Directory {
    let mut directory = Directory::new(Duration::from_millis(drain_limit_ms));
    directory.apply_listing(&IdentityDecoder, &Listing { objects, revision: at_revision(10) });
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
    directory.apply_change(&IdentityDecoder, &Change::Removed(Arc::from("i-1")));
    (0..20_000)
        .step_by(100)
        .find(|ms| directory.tick(at(*ms), true))
        .expect("the missing instance is removed")
}

#[test]
fn latest_entry_wins_between_two_self_declared_primaries() {
    let old = entry("i-1", 1, Role::Primary);
    let mut directory = directory(7_000, vec![old, entry("i-2", 2, Role::Replica)]);

    directory.apply_change(&IdentityDecoder, &Change::Written(entry("i-2", 7, Role::Primary)));

    assert_eq!(primary(&directory).as_deref(), Some("i-2"));
}

#[test]
fn missing_primary_yields_to_a_listed_one() {
    let late = entry("i-1", 9, Role::Primary);
    let mut directory = directory(7_000, vec![late, entry("i-2", 7, Role::Primary)]);

    directory.apply_change(&IdentityDecoder, &Change::Removed(Arc::from("i-1")));

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
