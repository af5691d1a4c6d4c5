//! Guards against a process that ends by a panic without a line in its log.

use std::process::Command;

use persimmon_proxy::start_logging;
use serde_json::Value;

/// Set in the process that is to panic.
const PANICS: &str = "PERSIMMON_TEST_PANICS";

const REASON: &str = "a broken invariant";

#[test]
fn panic_is_logged_on_standard_output() {
    if std::env::var_os(PANICS).is_some() {
        let _logs = start_logging("info");
        panic!("{REASON}");
    }
    let name = "panic_is_logged_on_standard_output";
    let program = std::env::current_exe().expect("the path of the test");

    let mut panicking = Command::new(program);
    panicking.args(["--exact", name, "--nocapture"]).env(PANICS, "1");
    let out = panicking.output().expect("the process runs");

    let text = String::from_utf8_lossy(&out.stdout);
    let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let panics: Vec<Value> = lines.filter(|line| line["message"] == "panicked").collect();
    assert_eq!(panics.len(), 1, "{text}");
    assert_eq!(panics[0]["level"], "ERROR");
    assert_eq!(panics[0]["reason"], REASON);
    assert!(panics[0]["location"].as_str().is_some_and(|l| l.contains("logging.rs")), "{text}");
}
