//! What a watcher passes on to a caller that received a part of the changes.

use std::sync::Arc;

use persimmon_interfaces::{Change, Changes, Listing, Object, Revision};
use persimmon_ownership::{ChangeFeed, Since};

const ERA: u64 = 3;

fn at(number: u64) -> Revision {
    Revision::new(ERA, number)
}

fn object(name: &str, revision: u64) -> Object {
    Object { name: Arc::from(name), revision: at(revision), value: serde_json::Value::Null.into() }
}

fn written(name: &str, revision: u64) -> Change {
    Change::Written(object(name, revision))
}

fn batch(revision: u64, changes: Vec<Change>) -> Changes {
    Changes { changes, revision: at(revision) }
}

/// A feed that listed one object at revision 10.
fn feed() -> ChangeFeed {
    let mut feed = ChangeFeed::new();
    feed.apply_listing(&Listing { objects: vec![object("a", 4)], revision: at(10) });
    feed
}

fn change_names(since: Since<'_>) -> Vec<String> {
    let Since::Changes(changes) = since else {
        return vec![format!("{since:?}")];
    };
    let name = |change: &&Change| match change {
        Change::Written(object) => format!("+{}", object.name),
        Change::Removed(name) => format!("-{name}"),
    };
    changes.iter().map(name).collect()
}

#[test]
fn caller_receives_every_later_change_in_order() {
    let mut feed = feed();
    feed.apply_changes(&batch(12, vec![written("b", 11), written("c", 12)]));
    feed.apply_changes(&batch(13, vec![Change::Removed(Arc::from("b"))]));

    assert_eq!(change_names(feed.since(at(10))), ["+b", "+c", "-b"]);
    assert_eq!(change_names(feed.since(at(12))), ["-b"]);
}

#[test]
fn caller_between_two_batches_receives_the_whole_one() {
    let mut feed = feed();
    feed.apply_changes(&batch(14, vec![written("b", 11), written("c", 14)]));

    // It received revision 12 from another watcher.
    assert_eq!(change_names(feed.since(at(12))), ["+b", "+c"]);
}

#[test]
fn caller_that_lacks_nothing_or_is_ahead_waits() {
    let feed = feed();

    assert!(matches!(feed.since(at(10)), Since::Nothing));
    assert!(matches!(feed.since(at(15)), Since::Nothing));
}

#[test]
fn caller_before_the_kept_changes_receives_all_objects() {
    let mut feed = feed();
    feed.apply_changes(&batch(11, vec![written("b", 11)]));

    let Since::All(objects) = feed.since(at(9)) else {
        panic!("changes since 9 are not known");
    };
    let names: Vec<&str> = objects.iter().map(|o| &*o.name).collect();
    assert_eq!(names, ["a", "b"]);
}

#[test]
fn caller_far_behind_receives_all_objects() {
    let mut feed = feed();
    for revision in 11..200 {
        feed.apply_changes(&batch(revision, vec![written("a", revision)]));
    }

    assert!(matches!(feed.since(at(10)), Since::All(_)));
    assert_eq!(change_names(feed.since(at(197))), ["+a", "+a"]);
}

#[test]
fn older_changes_of_another_watcher_are_ignored() {
    let mut feed = feed();
    feed.apply_changes(&batch(12, vec![written("b", 12)]));

    feed.apply_changes(&batch(11, vec![Change::Removed(Arc::from("b"))]));

    assert_eq!(feed.revision(), at(12));
    assert_eq!(change_names(feed.since(at(10))), ["+b"]);
}

#[test]
fn feed_of_a_single_large_object_keeps_only_the_object() {
    let mut feed = ChangeFeed::new().with_max_batches(0);
    feed.apply_listing(&Listing { objects: vec![object("main", 4)], revision: at(10) });
    for revision in 11..20 {
        feed.apply_changes(&batch(revision, vec![written("main", revision)]));
    }

    let Since::All(objects) = feed.since(at(18)) else {
        panic!("no change is kept");
    };
    let revisions: Vec<u64> = objects.iter().map(|o| o.revision.number).collect();
    assert_eq!(revisions, [19]);
}

#[test]
fn caller_of_an_earlier_era_receives_all_objects_whatever_its_number() {
    let feed = feed();

    for number in [4, 10, 500] {
        let since = feed.since(Revision::new(ERA - 1, number));
        assert!(matches!(since, Since::All(_)), "{number}: {since:?}");
    }
}

#[test]
fn caller_of_a_later_era_receives_nothing_old() {
    let feed = feed();

    assert!(matches!(feed.since(Revision::new(ERA + 1, 1)), Since::Nothing));
}

#[test]
fn listing_of_an_earlier_era_replaces_nothing() {
    let mut feed = feed();
    let old = Revision::new(ERA - 1, 500);

    feed.apply_listing(&Listing { objects: vec![object("old", 400)], revision: old });
    feed.apply_changes(&Changes { changes: vec![written("old", 401)], revision: old });

    assert_eq!(feed.revision(), at(10));
}

#[test]
fn changes_of_a_later_era_do_not_continue_a_listing() {
    let mut feed = feed();
    let later = Revision::new(ERA + 1, 12);

    feed.apply_changes(&Changes { changes: vec![written("b", 12)], revision: later });

    assert_eq!(feed.revision(), at(10));
}
