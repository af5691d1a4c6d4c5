//! Guards against statements that run for a workspace whose key was removed or moved meanwhile.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use persimmon_interfaces::{CallerMismatch, Freshness, Route, Table};
use persimmon_workspace::{ClientKey, Workspace, WorkspaceDirectory};

const KEY: &str = "a key";

fn route(is_public: bool) -> Route {
    Route {
        database: Arc::from("p0"),
        service: Arc::from("svc0"),
        freshness: Freshness::Latest,
        statement_timeout: Duration::from_secs(1),
        target: Duration::from_millis(100),
        priority: 0,
        is_public,
    }
}

/// Version 5, in which the workspace holds the key; `None` for a table without workspaces.
fn table(holder: Option<&str>, is_public: bool) -> Table {
    let workspaces = holder.map(|name| {
        let workspace = Workspace::new(Arc::from(name)).with_key(ClientKey::digest(KEY));
        Arc::new(WorkspaceDirectory::new(vec![workspace]))
    });
    let routes = HashMap::from([(Arc::from("p0"), Arc::new(route(is_public)))]);
    Table { version: 5, routes, workspaces, ..Table::default() }
}

fn amber() -> Option<(&'static str, ClientKey)> {
    Some(("amber", ClientKey::digest(KEY)))
}

#[test]
fn owner_runs_a_statement_for_the_workspace_that_holds_the_key() {
    for sender in [4, 5, 6] {
        assert_eq!(
            table(Some("amber"), false).check_forwarded(&route(false), amber(), sender),
            Ok(())
        );
    }
}

#[test]
fn owner_with_a_table_as_new_refuses_an_unknown_key_and_another_workspace() {
    let unknown = Some(("amber", ClientKey::digest("another key")));
    for sender in [0, 4, 5] {
        let table = table(Some("birch"), false);
        let check = |caller| table.check_forwarded(&route(false), caller, sender);
        assert_eq!(check(unknown), Err(CallerMismatch::UnknownKey));
        assert_eq!(check(amber()), Err(CallerMismatch::OtherWorkspace));
        assert_eq!(check(None), Err(CallerMismatch::OtherWorkspace));
    }
}

#[test]
fn owner_with_an_older_table_trusts_the_sender() {
    let table = table(Some("birch"), false);

    assert_eq!(table.check_forwarded(&route(false), amber(), 6), Ok(()));
    assert_eq!(table.check_forwarded(&route(true), None, 6), Ok(()));
}

#[test]
fn owners_own_route_decides_whether_a_workspace_is_needed() {
    assert_eq!(table(Some("birch"), true).check_forwarded(&route(false), None, 4), Ok(()));
    let closed = table(Some("birch"), false).check_forwarded(&route(true), None, 4);
    assert_eq!(closed, Err(CallerMismatch::OtherWorkspace));
    assert_eq!(table(None, false).check_forwarded(&route(false), None, 5), Ok(()));
}

#[test]
fn older_table_restores_no_key_that_a_newer_one_removed() {
    let older = table(Some("amber"), false);
    let moved = older.clone().without_removed_keys(&table(Some("birch"), false));
    let kept = older.without_removed_keys(&table(Some("amber"), false));
    let before_workspaces = table(None, false).without_removed_keys(&table(Some("amber"), false));

    assert!(moved.workspace(&route(false), ClientKey::digest(KEY)).is_err());
    assert!(kept.workspace(&route(false), ClientKey::digest(KEY)).is_ok());
    assert!(before_workspaces.workspaces.is_some());
}
