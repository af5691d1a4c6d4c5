//! The workspace for which a daemon opens its first connection. Guards against daemons that choose
//! differently from the same table, and against a choice without quotas.

use std::sync::Arc;

use persimmon_workspace::{Quota, Workspace, WorkspaceDirectory};

fn workspace(name: &str, rate_per_s: Option<f64>) -> Workspace {
    let workspace = Workspace::new(Arc::from(name));
    match rate_per_s {
        Some(rate_per_s) => workspace.with_quota(Quota { rate_per_s, burst: 1.0 }),
        None => workspace,
    }
}

fn largest(workspaces: Vec<Workspace>) -> Option<Arc<str>> {
    let directory = WorkspaceDirectory::new(workspaces);
    directory.largest().map(|workspace| Arc::clone(&workspace.name))
}

#[test]
fn largest_quota_is_found_and_equal_ones_are_told_apart_by_name() {
    let workspaces = vec![
        workspace("b", Some(9.0)),
        workspace("a", Some(9.0)),
        workspace("c", Some(2.0)),
        workspace("d", None),
    ];

    assert_eq!(largest(workspaces).as_deref(), Some("a"));
}

#[test]
fn no_workspace_is_the_largest_without_quotas() {
    assert_eq!(largest(vec![workspace("a", None)]), None);
}
