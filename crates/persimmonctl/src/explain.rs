//! What the daemons' logs say of one request.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use serde_json::Value;

use crate::Failure;

/// How long before a request's end its daemon's beliefs may explain it.
const OWN_SPAN: Duration = Duration::from_secs(2);

/// How long before its end a change that another daemon made may explain it.
const FLEET_SPAN: Duration = Duration::from_secs(6);

/// What other daemons do that explains a request here.
const FLEET_MESSAGES: [&str; 2] = ["a promotion was ordered", "this daemon holds the duty"];

/// One line of a log.
struct Line {
    /// The file, and what stands before the line's object, such as a host's name.
    source: String,
    at: SystemTime,
    fields: Value,
    text: String,
}

fn parse(file: &Path, text: &str) -> Option<Line> {
    let start = text.find('{')?;
    let fields: Value = serde_json::from_str(&text[start..]).ok()?;
    let at = humantime::parse_rfc3339_weak(fields["timestamp"].as_str()?).ok()?;
    let host = text[..start].split_whitespace().last().unwrap_or_default();
    let source = format!("{} {host}", file.display());
    Some(Line { source, at, fields, text: text[start..].to_owned() })
}

impl Line {
    fn shares(&self, other: &Self, field: &str) -> bool {
        let value = &self.fields[field];
        !value.is_null() && *value == other.fields[field]
    }

    fn is_within(&self, span: Duration, request: &Self) -> bool {
        request.at.duration_since(self.at).is_ok_and(|before| before <= span)
    }

    /// Whether the line says something that may explain a request.
    fn explains(&self, request: &Self) -> bool {
        if self.fields["id"] == request.fields["id"] {
            return false;
        }
        let concerns = self.shares(request, "instance") || self.shares(request, "service");
        let is_own = self.source == request.source && self.fields["message"] != "request";
        let is_fleet =
            FLEET_MESSAGES.iter().any(|message| self.fields["message"].as_str() == Some(message));
        (concerns && is_own && self.is_within(OWN_SPAN, request))
            || (self.shares(request, "service") && is_fleet && self.is_within(FLEET_SPAN, request))
    }
}

/// Prints what the logs in `files` say of the request `id`.
pub(crate) fn print(id: &str, files: &[PathBuf]) -> Result<(), Failure> {
    let mut lines = Vec::new();
    for file in files {
        for text in BufReader::new(File::open(file)?).lines() {
            lines.extend(parse(file, &text?));
        }
    }
    lines.sort_by_key(|line| line.at);
    let requests: Vec<&Line> = lines.iter().filter(|l| l.fields["id"] == id).collect();
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
