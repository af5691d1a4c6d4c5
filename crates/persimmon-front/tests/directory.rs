//! What the instance directory says, and for how long.

use std::sync::Arc;
use std::time::Duration;

use persimmon_front::{Directory, View};
use persimmon_ports::{Catalogue, Change, DecodeError, Instance, Listing, Object, Role, Table};
use persimmon_types::Time;
use serde::Deserialize;

const SERVICE: &str = "orders";

/// Entries are instances as they are.
#[derive(Debug)]
struct Plain;

impl Catalogue for Plain {
    fn is_table(&self, _: &Object) -> bool {
        false
    }

    fn table(&self, object: &Object) -> Result<Table, DecodeError> {
        Err(DecodeError { name: Arc::clone(&object.name), problem: "not a table".to_owned() })
    }

    fn instance(&self, object: &Object) -> Result<Instance, DecodeError> {
        Instance::deserialize(&object.value)
            .map_err(|err| DecodeError { name: Arc::clone(&object.name), problem: err.to_string() })
    }
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
    Object { name: Arc::from(id), revision, value }
}

fn at(ms: u64) -> Time {
    Time::from_millis(1_000_000 + ms)
}

fn directory(leaving_limit_ms: u64, objects: Vec<Object>) -> Directory {
    let mut directory = Directory::new(Duration::from_millis(leaving_limit_ms));
    directory.list(&Plain, &Listing { objects, revision: 10 });
    directory
}

fn primary(directory: &Directory) -> Option<Arc<str>> {
    let view = View { services: directory.by_service(), ..View::default() };
    view.self_declared_primary(SERVICE).map(|l| Arc::clone(&l.instance.id))
}

/// How long an entry that disappeared is still listed.
fn kept_for(leaving_limit_ms: u64) -> u64 {
    let mut directory = directory(leaving_limit_ms, vec![entry("i-1", 1, Role::Replica)]);
    directory.tick(at(0), true);
    directory.change(&Plain, &Change::Removed(Arc::from("i-1")));
    (0..20_000).step_by(100).find(|ms| directory.tick(at(*ms), true)).expect("it goes")
}

#[test]
fn of_two_that_call_themselves_primary_the_later_one_counts() {
    let old = entry("i-1", 1, Role::Primary);
    let mut directory = directory(7_000, vec![old, entry("i-2", 2, Role::Replica)]);

    directory.change(&Plain, &Change::Written(entry("i-2", 7, Role::Primary)));

    assert_eq!(primary(&directory).as_deref(), Some("i-2"));
}

#[test]
fn a_primary_whose_entry_is_missing_yields_to_one_that_is_listed() {
    let late = entry("i-1", 9, Role::Primary);
    let mut directory = directory(7_000, vec![late, entry("i-2", 7, Role::Primary)]);

    directory.change(&Plain, &Change::Removed(Arc::from("i-1")));

    assert_eq!(primary(&directory).as_deref(), Some("i-2"));
}

#[test]
fn a_missing_instance_gets_nothing_after_the_limit_for_leaving_instances() {
    for limit_ms in [2_000, 3_000, 7_000, 10_000] {
        let kept_ms = kept_for(limit_ms);

        // A third of the limit may pass before the entry is seen to be missing.
        assert!(kept_ms + limit_ms / 3 < limit_ms, "{kept_ms} of {limit_ms}");
    }
}

#[test]
fn a_missing_instance_may_come_back_where_the_limit_allows_it() {
    let kept_ms = kept_for(7_000);

    assert!(kept_ms > 2_000, "{kept_ms}");
}
