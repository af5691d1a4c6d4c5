//! Child processes of the test harness, killed when dropped.

use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use serde::de::DeserializeOwned;

/// One child process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program and parses the first line of its output as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started or its first line is not the expected
    /// JSON.
    pub fn start<T: DeserializeOwned>(program: &Path, args: &[String]) -> io::Result<(Self, T)> {
        let mut command = Command::new(program);
        command.args(args).stdin(Stdio::null()).stdout(Stdio::piped());
        let mut child = command.spawn()?;
        let stdout = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let process = Self { child };
        let value = serde_json::from_str(&line)
            .map_err(|err| io::Error::other(format!("{}: `{line}`: {err}", program.display())))?;
        Ok((process, value))
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, such as `SIGSTOP`, to the process.
    pub fn signal(&self, signal: rustix::process::Signal) {
        let Ok(raw) = i32::try_from(self.child.id()) else {
            return;
        };
        if let Some(pid) = rustix::process::Pid::from_raw(raw) {
            // The signal fails if the process has already exited.
            let _ = rustix::process::kill_process(pid, signal);
        }
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) {
        // `kill` fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits; returns whether it exited successfully.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be waited for.
    pub fn wait(&mut self) -> io::Result<bool> {
        Ok(self.child.wait()?.success())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The environment variable that names another build of the daemon to run the same tests on.
const DAEMON_VARIABLE: &str = "PERSIMMON_LAB_DAEMON";

/// Returns the path of the `persimmond` binary in the build directory of the running program, or the
/// path in `PERSIMMON_LAB_DAEMON`.
///
/// # Errors
///
/// Returns an error if it is not built.
pub fn daemon_program() -> io::Result<PathBuf> {
    match std::env::var_os(DAEMON_VARIABLE) {
        Some(path) => Ok(PathBuf::from(path)),
        None => find_built_program("persimmond"),
    }
}

/// Returns the path of the lab's own program, which runs the fake instances and platform.
///
/// # Errors
///
/// Returns an error if it is not built.
pub fn lab_program() -> io::Result<PathBuf> {
    find_built_program("examples/lab")
}

fn find_built_program(relative: &str) -> io::Result<PathBuf> {
    let exe = std::env::current_exe()?;
    for folder in exe.ancestors().skip(1).take(3) {
        let path = folder.join(relative);
        if path.is_file() {
            return Ok(path);
        }
    }
    Err(io::Error::other(format!(
        "{relative} is not built; run `cargo build --workspace --all-targets`"
    )))
}
