//! `persimmonctl` against real daemons and a fake platform with injected faults.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

use persimmon_lab::platform::Faults;
use persimmon_lab::{Cluster, ClusterConfig, Deployment, http, wait_until};

/// How long an accepted edit may take until it is active on every daemon.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(2);

/// An operator with a working directory of its own.
struct Operator {
    dir: PathBuf,
    platform: String,
    name: String,
}

impl Operator {
    fn new(cluster: &Cluster, name: &str) -> Self {
        let port = cluster.platform.port();
        let dir = std::env::temp_dir().join(format!("persimmonctl-{port}-{name}"));
        fs::create_dir_all(&dir).unwrap();
        let platform = format!("http://{}", cluster.platform);
        Self { dir, platform, name: name.to_owned() }
    }

    fn file(&self) -> PathBuf {
        self.dir.join("table.csv")
    }

    fn run(&self, args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_persimmonctl"));
        command.arg("--platform").arg(&self.platform).args(args);
        command.output().unwrap()
    }

    fn table(&self, action: &str) -> Output {
        self.run(&["table", action, self.file().to_str().unwrap()])
    }

    fn push(&self) -> Output {
        let file = self.file();
        let file = file.to_str().unwrap();
        self.run(&["table", "push", file, "--author", &self.name, "--note", "a test"])
    }

    fn edit(&self, from: &str, to: &str) {
        let text = fs::read_to_string(self.file()).unwrap();
        assert!(text.contains(from), "{text}");
        fs::write(self.file(), text.replace(from, to)).unwrap();
    }
}

impl Drop for Operator {
    fn drop(&mut self) {
        // Files that cannot be removed stay in the directory for temporary files.
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn cluster() -> Cluster {
    Cluster::start(ClusterConfig::new(Deployment::Association)).unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn active_versions(cluster: &Cluster) -> Vec<u64> {
    let status = |d: &persimmon_lab::cluster::DaemonProcess| http::get(d.admin, "/status");
    let all = cluster.daemons.iter().map(|d| status(d).unwrap()["table"].as_u64().unwrap());
    all.collect()
}

fn stored_version(cluster: &Cluster) -> u64 {
    http::get(cluster.platform, "/v1/objects/table").unwrap()["version"].as_u64().unwrap()
}

fn wait_for_active_version(cluster: &Cluster, version: u64) {
    wait_until(ACTIVATION_TIMEOUT, "the edit is active on every daemon", || {
        active_versions(cluster).iter().all(|v| *v == version)
    })
    .unwrap();
}

#[test]
fn concurrent_edits_accept_one_and_report_its_changes_to_the_other() {
    // Arrange
    let cluster = cluster();
    let one = Operator::new(&cluster, "one");
    let two = Operator::new(&cluster, "two");
    assert!(one.table("pull").status.success());
    assert!(two.table("pull").status.success());
    one.edit("default,short,10000", "default,short,9000");
    two.edit("default,short,10000", "default,short,8000");

    // Act
    let first = one.push();
    let second = two.push();
    let again = one.push();

    // Assert
    assert!(first.status.success(), "{}", text(&first.stderr));
    assert!(text(&first.stdout).contains("accepted"));
    assert_eq!(second.status.code(), Some(4));
    let stderr = text(&second.stderr);
    assert!(stderr.contains("by one") && stderr.contains("+ kind,default,short,9000"), "{stderr}");
    assert!(again.status.success(), "a retry of the same edit is recognized");
    wait_for_active_version(&cluster, stored_version(&cluster));
    let history = text(&one.run(&["table", "history"]).stdout);
    assert!(history.contains("by one: a test"), "{history}");
    let status = one.run(&["table", "status"]);
    assert!(status.status.success(), "{}", text(&status.stdout));
    let timeline = text(&one.run(&["timeline"]).stdout);
    assert!(timeline.contains("table_in_force"), "{timeline}");
}

#[test]
fn push_with_a_lost_response_finds_its_edit_accepted() {
    // Arrange
    let cluster = cluster();
    let one = Operator::new(&cluster, "one");
    assert!(one.table("pull").status.success());
    one.edit("default,short,10000", "default,short,9000");
    cluster.set_faults(Faults { lose_answers: true, ..Faults::default() }).unwrap();

    // Act
    let pushed = one.push();

    // Assert
    assert!(pushed.status.success(), "{}", text(&pushed.stderr));
    wait_for_active_version(&cluster, stored_version(&cluster));
}

#[test]
fn invalid_table_is_rejected_and_the_active_table_stays() {
    // Arrange
    let cluster = cluster();
    let one = Operator::new(&cluster, "one");
    assert!(one.table("pull").status.success());
    let before = active_versions(&cluster);
    one.edit("default,short,10000", "default,brief,10000");
    let bad = fs::read_to_string(one.file()).unwrap();

    // Act
    let checked = one.table("check");
    let pushed = one.push();
    cluster.put_table(stored_version(&cluster), &bad).unwrap();

    // Assert
    assert_eq!(checked.status.code(), Some(3));
    let stderr = text(&checked.stderr);
    assert!(stderr.contains("column `length`: found `brief`, allowed: short or long"), "{stderr}");
    assert_eq!(pushed.status.code(), Some(3));
    wait_until(ACTIVATION_TIMEOUT, "the refusal is on the time line", || {
        text(&one.run(&["timeline"]).stdout).contains("table_refused")
    })
    .unwrap();
    assert_eq!(active_versions(&cluster), before);
}

#[test]
fn daemon_started_during_a_store_outage_gets_the_table_from_a_peer() {
    // Arrange
    let mut cluster = cluster();
    let seed = cluster.daemons[0].peers;
    cluster.config.settings = format!("seeds: [\"{seed}\"]");
    let version = stored_version(&cluster);
    let index = cluster.start_daemon().unwrap();
    drop(cluster.daemons.remove(index));
    cluster.set_faults(Faults { down: true, ..Faults::default() }).unwrap();

    // Act
    let index = cluster.start_daemon().unwrap();

    // Assert
    wait_until(Duration::from_secs(5), "the new daemon has the table and a primary", || {
        let status = http::get(cluster.daemons[index].admin, "/status").unwrap();
        status["table"] == version && status["groups"]["orders"]["primary"].is_string()
    })
    .unwrap();
}
