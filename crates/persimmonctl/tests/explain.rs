//! From a request's id to what explains it.

use std::path::PathBuf;
use std::process::{Command, Output};

const LOG: &str = r#"{"timestamp":"2026-03-01T10:00:00.000000Z","message":"a connection to an instance is lost","service":"svc","instance":"i-1","error":"no answer in time"}
{"timestamp":"2026-03-01T10:00:00.100000Z","message":"the directory changed","service":"other","instance":"i-9"}
{"timestamp":"2026-03-01T10:00:01.000000Z","message":"request","id":"r1","service":"svc","instance":"i-1","outcome":"may have run"}
{"timestamp":"2026-03-01T10:00:01.200000Z","message":"request","id":"r2","service":"svc","instance":"i-1","outcome":"served"}
not a line of JSON
"#;

const OTHER: &str = r#"   0.7 front-2 {"timestamp":"2026-03-01T09:59:59.000000Z","message":"a promotion was ordered","service":"svc","candidate":"i-2","token":4}
"#;

fn explain(name: &str, id: &str) -> Output {
    let folder = std::env::temp_dir().join(format!("explain-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let files: Vec<PathBuf> = [("a.log", LOG), ("b.log", OTHER)]
        .into_iter()
        .map(|(name, text)| {
            let path = folder.join(name);
            std::fs::write(&path, text).expect("a file");
            path
        })
        .collect();
    let mut command = Command::new(env!("CARGO_BIN_EXE_persimmonctl"));
    let output = command.arg("explain").arg(id).args(files).output().expect("a run");
    std::fs::remove_dir_all(&folder).expect("the folder goes");
    output
}

#[test]
fn a_request_is_shown_with_what_its_daemon_believed_and_the_fleet_did() {
    let output = explain("found", "r1");

    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success());
    assert!(text.contains("may have run"), "{text}");
    assert!(text.contains("a connection to an instance is lost"), "{text}");
    assert!(text.contains("front-2") && text.contains("a promotion was ordered"), "{text}");
    assert!(!text.contains("i-9") && !text.contains("r2"), "{text}");
}

#[test]
fn an_id_that_no_log_names_is_an_error() {
    let output = explain("missing", "nobody");

    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("nobody"));
}
