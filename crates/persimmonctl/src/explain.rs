//! Finds the log lines of one request and the earlier lines that may explain its outcome.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use serde_json::Value;

use crate::Failure;

/// How long before a request's end a line of the same daemon may explain it.
const SAME_DAEMON_WINDOW: Duration = Duration::from_secs(2);

/// How long before a request's end an event on any daemon may explain it.
const FLEET_WINDOW: Duration = Duration::from_secs(6);

/// Log messages of events that may explain a request on any daemon of the fleet. They match the log
/// lines that daemons write on the users' platform.
const FLEET_MESSAGES: [&str; 2] = ["a promotion was ordered", "this daemon holds the duty"];

/// Log messages of single statements, of which only those of the request itself are printed.
const REQUEST_MESSAGES: [&str; 2] = ["request", "forwarded statement"];

/// One JSON line of a log.
struct LogLine {
    /// The file's path, and the word before the JSON object, such as a host's name.
    source: String,
    at: SystemTime,
    fields: Value,
    text: String,
}

fn parse(file: &Path, text: &str) -> Option<LogLine> {
    let start = text.find('{')?;
    let fields: Value = serde_json::from_str(&text[start..]).ok()?;
    let at = humantime::parse_rfc3339_weak(fields["timestamp"].as_str()?).ok()?;
    let host = text[..start].split_whitespace().last().unwrap_or_default();
    let source = format!("{} {host}", file.display());
    Some(LogLine { source, at, fields, text: text[start..].to_owned() })
}

impl LogLine {
    fn shares_field(&self, other: &Self, field: &str) -> bool {
        let value = &self.fields[field];
        !value.is_null() && *value == other.fields[field]
    }

    fn is_within(&self, window: Duration, request: &Self) -> bool {
        request.at.duration_since(self.at).is_ok_and(|before| before <= window)
    }

    /// Whether the line may explain a request's outcome.
    fn explains(&self, request: &Self) -> bool {
        if self.fields["id"] == request.fields["id"] {
            return false;
        }
        let is_related =
            self.shares_field(request, "instance") || self.shares_field(request, "service");
        let is_request = |m: &str| self.fields["message"].as_str() == Some(m);
        let is_same_daemon =
            self.source == request.source && !REQUEST_MESSAGES.iter().any(|m| is_request(m));
        let is_fleet_event =
            FLEET_MESSAGES.iter().any(|message| self.fields["message"].as_str() == Some(message));
        (is_related && is_same_daemon && self.is_within(SAME_DAEMON_WINDOW, request))
            || (self.shares_field(request, "service")
                && is_fleet_event
                && self.is_within(FLEET_WINDOW, request))
    }
}

/// Prints the lines of the request `id` in the log files, each with the earlier lines that may
/// explain it.
pub(crate) fn print(id: &str, files: &[PathBuf]) -> Result<(), Failure> {
    let mut lines = Vec::new();
    for file in files {
        for text in BufReader::new(File::open(file)?).lines() {
            lines.extend(parse(file, &text?));
        }
    }
    lines.sort_by_key(|line| line.at);
    let requests: Vec<&LogLine> = lines.iter().filter(|l| l.fields["id"] == id).collect();
    if requests.is_empty() {
        return Err(Failure::Other(format!("no line of these logs names request {id}")));
    }
    for request in requests {
        println!("request {id}, on {}:", request.source.trim());
        println!("  {}", request.text);
        for line in lines.iter().filter(|line| line.explains(request)) {
            println!("  before: {} {}", line.source.trim(), line.text);
        }
    }
    Ok(())
}
