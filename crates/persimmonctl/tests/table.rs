//! The operators' command against real daemons and a platform that misbehaves.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

use persimmon_lab::platform::Faults;
use persimmon_lab::{Cluster, ClusterConfig, Deployment, http, wait_until};

/// The longest time until an accepted edit is in force on every daemon.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

/// One operator with a folder of their own.
struct Operator {
    dir: PathBuf,
    platform: String,
    name: String,
}

impl Operator {
    fn new(cluster: &Cluster, name: &str) -> Self {
        let number = cluster.platform.port();
        let dir = std::env::temp_dir().join(format!("persimmonctl-{number}-{name}"));
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
        // Files that stay behind are in the folder for temporary files.
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn cluster() -> Cluster {
    Cluster::start(ClusterConfig::new(Deployment::Association)).unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn versions(cluster: &Cluster) -> Vec<u64> {
    let status = |d: &persimmon_lab::cluster::DaemonProcess| http::get(d.admin, "/status");
    let all = cluster.daemons.iter().map(|d| status(d).unwrap()["table"].as_u64().unwrap());
    all.collect()
}

fn stored_version(cluster: &Cluster) -> u64 {
    http::get(cluster.platform, "/v1/objects/table").unwrap()["version"].as_u64().unwrap()
}

fn await_version(cluster: &Cluster, version: u64) {
    wait_until(IN_FORCE_LIMIT, "the edit is in force everywhere", || {
        versions(cluster).iter().all(|v| *v == version)
    })
    .unwrap();
}

#[test]
fn of_two_operators_one_is_accepted_and_the_other_is_told_what_changed() {
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
    let told = text(&second.stderr);
    assert!(told.contains("by one") && told.contains("+ kind,default,short,9000"), "{told}");
    assert!(again.status.success(), "a retry of the same edit is recognised");
    await_version(&cluster, stored_version(&cluster));
    let history = text(&one.run(&["table", "history"]).stdout);
    assert!(history.contains("by one: a test"), "{history}");
    let status = one.run(&["table", "status"]);
    assert!(status.status.success(), "{}", text(&status.stdout));
    let timeline = text(&one.run(&["timeline"]).stdout);
    assert!(timeline.contains("table_in_force"), "{timeline}");
}

#[test]
fn an_edit_whose_answer_is_lost_is_found_to_be_accepted() {
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
    await_version(&cluster, stored_version(&cluster));
}

#[test]
fn a_bad_table_is_refused_whole_and_the_one_in_force_stays() {
    // Arrange
    let cluster = cluster();
    let one = Operator::new(&cluster, "one");
    assert!(one.table("pull").status.success());
    let before = versions(&cluster);
    one.edit("default,short,10000", "default,brief,10000");
    let bad = fs::read_to_string(one.file()).unwrap();

    // Act
    let checked = one.table("check");
    let pushed = one.push();
    cluster.put_table(stored_version(&cluster), &bad).unwrap();

    // Assert
    assert_eq!(checked.status.code(), Some(3));
    let told = text(&checked.stderr);
    assert!(told.contains("column `length`: found `brief`, allowed: short or long"), "{told}");
    assert_eq!(pushed.status.code(), Some(3));
    wait_until(IN_FORCE_LIMIT, "the refusal is on the time line", || {
        text(&one.run(&["timeline"]).stdout).contains("table_refused")
    })
    .unwrap();
    assert_eq!(versions(&cluster), before);
}

#[test]
fn a_daemon_that_starts_while_the_store_is_down_learns_the_table_from_a_peer() {
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
    wait_until(Duration::from_secs(5), "the newcomer serves", || {
        let status = http::get(cluster.daemons[index].admin, "/status").unwrap();
        status["table"] == version && status["groups"]["orders"]["primary"].is_string()
    })
    .unwrap();
}
