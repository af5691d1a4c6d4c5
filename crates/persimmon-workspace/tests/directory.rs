//! Guards against keys that identify the wrong workspace, and against invalid entries that cost others.

use std::sync::Arc;

use persimmon_workspace::{ClientKey, Quota, RejectedEntry, Workspace, WorkspaceDirectory};

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    let workspace = Workspace::new(Arc::from(name));
    keys.iter().fold(workspace, |workspace, key| workspace.with_key(ClientKey::digest(key)))
}

fn found<'a>(directory: &'a WorkspaceDirectory, key: &str) -> Option<&'a str> {
    directory.find(ClientKey::digest(key)).map(|workspace| &*workspace.name)
}

#[test]
fn key_identifies_the_workspace_that_holds_it() {
    let directory = WorkspaceDirectory::new(vec![
        workspace("amber", &["a1", "a1", "a2"]),
        workspace("birch", &[]),
    ]);

    assert_eq!(found(&directory, "a1"), Some("amber"));
    assert_eq!(found(&directory, "a2"), Some("amber"));
    assert_eq!(found(&directory, "amber"), None);
    assert_eq!(found(&directory, ""), None);
    assert_eq!(directory.rejected(), []);
}

#[test]
fn key_of_several_workspaces_identifies_none_and_costs_no_other_key() {
    let directory = WorkspaceDirectory::new(vec![
        workspace("amber", &["shared", "a"]),
        workspace("birch", &["shared", "b"]),
        workspace("cedar", &["shared", "c"]),
    ]);

    assert_eq!(found(&directory, "shared"), None);
    for (key, name) in [("a", "amber"), ("b", "birch"), ("c", "cedar")] {
        assert_eq!(found(&directory, key), Some(name));
    }
    let is_shared = |entry: &RejectedEntry| matches!(entry, RejectedEntry::SharedKey(..));
    assert!(directory.rejected().iter().all(is_shared) && directory.rejected().len() == 2);
}

#[test]
fn invalid_workspace_is_left_out_alone() {
    let quota = |rate_per_s, burst| Quota { rate_per_s, burst };
    let directory = WorkspaceDirectory::new(vec![
        workspace("", &["k1"]),
        workspace("two words", &["k2"]),
        workspace("line\r\nfeed", &["k3"]),
        workspace("negative", &["k4"]).with_quota(quota(-1.0, 0.0)),
        workspace("nan", &["k5"]).with_quota(quota(1.0, f64::NAN)),
        workspace("amber", &["a"]).with_quota(quota(0.0, 0.0)),
        workspace("amber", &["k6"]),
    ]);

    assert_eq!(directory.len(), 1);
    assert_eq!(directory.rejected().len(), 6);
    assert_eq!(found(&directory, "a"), Some("amber"));
    for key in ["k1", "k2", "k3", "k4", "k5", "k6"] {
        assert_eq!(found(&directory, key), None);
    }
}

#[test]
fn thousands_of_keys_are_found() {
    let keys: Vec<String> = (0..20_000).map(|number| format!("key-{number}")).collect();
    let keys: Vec<&str> = keys.iter().map(String::as_str).collect();

    let directory = WorkspaceDirectory::new(vec![workspace("amber", &keys)]);

    assert!(keys.iter().all(|key| found(&directory, key) == Some("amber")));
    let older = directory
        .without_removed_keys(&WorkspaceDirectory::new(vec![workspace("amber", &keys[..10])]));
    assert_eq!(found(&older, keys[9]), Some("amber"));
    assert_eq!(found(&older, keys[10]), None);
}

#[test]
fn debug_output_shows_nothing_of_a_key() {
    let key = ClientKey::digest("Vk3xQ9mZt7Lw2RbN");
    let digest = String::from(key);

    let shown =
        format!("{:?}", WorkspaceDirectory::new(vec![workspace("amber", &["Vk3xQ9mZt7Lw2RbN"])]));

    assert!(!shown.contains("Vk3x") && !shown.contains(&digest[..8]), "{shown}");
}

#[test]
fn directory_survives_the_way_between_daemons() {
    let directory = WorkspaceDirectory::new(vec![workspace("amber", &["a"])]);

    let text = serde_json::to_string(&directory).expect("JSON");
    let received: WorkspaceDirectory = serde_json::from_str(&text).expect("a directory");

    assert_eq!(received, directory);
    assert_eq!(found(&received, "a"), Some("amber"));
}
