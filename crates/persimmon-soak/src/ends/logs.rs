//! The requests and answers that daemons have logged as cut.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::path::Path;

use serde_json::Value;

/// The log line of a connection that ended under requests.
const REQUESTS_CUT: &str = "a connection ended before its requests were answered";

/// The log line of an answer without a connection.
const ANSWER_CUT: &str = "an answer came after the end of its connection";

/// Reasons of a daemon's own to end a session; each has to wait until every request that has arrived is
/// answered.
const OWN_REASONS: [&str; 4] = ["NoRoom", "HalfMessage", "StartupTimeout", "Shutdown"];

/// The reason of a session whose client has closed its connection.
const CLIENT_LEFT: &str = "ClientLeft";

/// The phase of a session whose client does not read.
const UNREAD_PHASE: &str = "Unread";

/// One log line of a cut.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoggedCut {
    /// Whether an answer was cut; otherwise requests that were not handled.
    pub is_answer: bool,
    /// The reason with which the session ended, if there is one.
    pub reason: String,
    /// What the session waited for, if the line tells.
    pub phase: String,
    /// How many requests or answers.
    pub count: u64,
}

impl LoggedCut {
    /// Reads a log line; `None` if it is about something else.
    #[must_use]
    pub fn parse(line: &str) -> Option<Self> {
        let line: Value = serde_json::from_str(line).ok()?;
        let text = |key: &str| line[key].as_str().unwrap_or_default().to_owned();
        let reason = text("reason");
        let reason = reason.trim_start_matches("Some(").trim_end_matches(')').to_owned();
        let requests = line["requests"].as_u64().unwrap_or_default();
        let (is_answer, count) = match line["message"].as_str()? {
            ANSWER_CUT => (true, 1),
            REQUESTS_CUT if requests > 0 => (false, requests),
            REQUESTS_CUT => (true, 1),
            _ => return None,
        };
        Some(Self { is_answer, reason, phase: text("phase"), count })
    }

    /// Whether the daemon owed an answer: it ended the session for a reason of its own, and the client
    /// was reading; or it takes a client for gone that has yet to read, which none of the soak's is.
    #[must_use]
    pub fn is_violation(&self) -> bool {
        if self.phase == UNREAD_PHASE {
            return self.reason == CLIENT_LEFT;
        }
        OWN_REASONS.contains(&self.reason.as_str())
    }
}

impl fmt::Display for LoggedCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = if self.is_answer { "answer" } else { "request" };
        write!(f, "{what} {}", self.reason)?;
        if self.phase.is_empty() { Ok(()) } else { write!(f, "/{}", self.phase) }
    }
}

/// Reads the cuts in the logs of all processes of a run: a folder each in `log_dir`. Returns how many
/// there were of each kind, and descriptions of the violations.
pub(crate) fn read(log_dir: &Path) -> io::Result<(BTreeMap<String, u64>, Vec<String>)> {
    let mut counts = BTreeMap::new();
    let mut violations = Vec::new();
    for folder in std::fs::read_dir(log_dir)? {
        let folder = folder?.path();
        // The list of violations of an earlier run lies beside the folders.
        if !folder.is_dir() {
            continue;
        }
        for file in std::fs::read_dir(folder)? {
            let path = file?.path();
            if path.extension().is_none_or(|extension| extension != "log") {
                continue;
            }
            let text = std::fs::read(&path)?;
            for line in String::from_utf8_lossy(&text).lines() {
                let Some(cut) = LoggedCut::parse(line) else {
                    continue;
                };
                *counts.entry(cut.to_string()).or_default() += cut.count;
                if cut.is_violation() {
                    violations.push(format!("{}: {cut}: {}", path.display(), cut.count));
                }
            }
        }
    }
    Ok((counts, violations))
}
