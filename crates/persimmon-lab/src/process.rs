//! Child processes of the harness, ended with it.

use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use serde::de::DeserializeOwned;

/// One child process.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program and reads the line of JSON that it prints first.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started or prints something else.
    pub fn start<T: DeserializeOwned>(program: &Path, args: &[String]) -> io::Result<(Self, T)> {
        let mut command = Command::new(program);
        command.args(args).stdin(Stdio::null()).stdout(Stdio::piped());
        let mut child = command.spawn()?;
        let stdout = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let process = Self { child };
        let first = serde_json::from_str(&line)
            .map_err(|err| io::Error::other(format!("{}: `{line}`: {err}", program.display())))?;
        Ok((process, first))
    }

    /// The process number.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal such as `STOP`.
    pub fn signal(&self, signal: rustix::process::Signal) {
        let Ok(raw) = i32::try_from(self.child.id()) else {
            return;
        };
        if let Some(pid) = rustix::process::Pid::from_raw(raw) {
            // A process that is gone already needs no signal.
            let _ = rustix::process::kill_process(pid, signal);
        }
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        // A process that is gone already needs no kill.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the end of the process; says whether it ended well.
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

/// The program `persimmond` built beside the running one.
///
/// # Errors
///
/// Returns an error if it has not been built.
pub fn daemon_program() -> io::Result<PathBuf> {
    built("persimmond")
}

/// The lab's own program, which runs the stand-ins.
///
/// # Errors
///
/// Returns an error if it has not been built.
pub fn lab_program() -> io::Result<PathBuf> {
    built("examples/lab")
}

fn built(relative: &str) -> io::Result<PathBuf> {
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
