//! `persimmonctl explain` on logs of two daemons.

use std::path::PathBuf;
use std::process::{Command, Output};

const LOG: &str = r#"{"timestamp":"2026-03-01T10:00:00.000000Z","message":"a connection to an instance is lost","service":"svc","instance":"i-1","error":"no answer in time"}
{"timestamp":"2026-03-01T10:00:00.100000Z","message":"the directory changed","service":"other","instance":"i-9"}
{"timestamp":"2026-03-01T10:00:01.000000Z","message":"request","id":"r1","service":"svc","instance":"i-1","outcome":"may have run"}
{"timestamp":"2026-03-01T10:00:01.200000Z","message":"request","id":"r2","service":"svc","instance":"i-1","outcome":"served"}
not a line of JSON
"#;

const OTHER_DAEMON_LOG: &str = r#"   0.7 front-2 {"timestamp":"2026-03-01T09:59:59.000000Z","message":"a promotion was ordered","service":"svc","candidate":"i-2","token":4}
   1.7 front-2 {"timestamp":"2026-03-01T10:00:00.700000Z","message":"connecting to an instance failed","service":"svc","instance":"i-1","error":"refused"}
   1.8 front-2 {"timestamp":"2026-03-01T10:00:00.800000Z","message":"forwarded statement","id":"r9","service":"svc","instance":"i-1"}
   1.9 front-2 {"timestamp":"2026-03-01T10:00:00.900000Z","message":"forwarded statement","id":"r1","service":"svc","instance":"i-1","caller":"10.0.0.1:7440"}
"#;

fn explain(name: &str, id: &str) -> Output {
    let dir = std::env::temp_dir().join(format!("explain-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("create the directory");
    let files: Vec<PathBuf> = [("a.log", LOG), ("b.log", OTHER_DAEMON_LOG)]
        .into_iter()
        .map(|(name, text)| {
            let path = dir.join(name);
            std::fs::write(&path, text).expect("write the log");
            path
        })
        .collect();
    let mut command = Command::new(env!("CARGO_BIN_EXE_persimmonctl"));
    let output = command.arg("explain").arg(id).args(files).output().expect("run persimmonctl");
    std::fs::remove_dir_all(&dir).expect("remove the directory");
    output
}

#[test]
fn explain_prints_a_request_with_related_lines_of_its_daemon_and_fleet_events() {
    let output = explain("found", "r1");

    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success());
    assert!(text.contains("may have run"), "{text}");
    assert!(text.contains("a connection to an instance is lost"), "{text}");
    assert!(text.contains("front-2") && text.contains("a promotion was ordered"), "{text}");
    assert!(!text.contains("i-9") && !text.contains("r2"), "{text}");
}

#[test]
fn explain_follows_a_request_to_the_daemon_that_ran_it() {
    let output = explain("forwarded", "r1");

    let text = String::from_utf8_lossy(&output.stdout);
    assert!(text.contains("10.0.0.1:7440"), "{text}");
    assert!(text.contains("connecting to an instance failed"), "{text}");
    assert!(!text.contains("r9"), "{text}");
}

#[test]
fn explain_fails_if_no_log_contains_the_request_id() {
    let output = explain("missing", "nobody");

    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("nobody"));
}
