//! The daemon's settings, checked once and kept in an immutable struct.
//!
//! Invariant: [`Settings`] exists only if every key is known and every value is allowed.

use std::collections::BTreeSet;
use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use thiserror::Error;

use crate::logging::LogFormat;

/// How one of several eligible replicas is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyName {
    /// The less loaded of two replicas drawn at random.
    PowerOfTwo,
    /// The replica with the fewest outstanding requests.
    LeastOutstanding,
    /// Weighted round robin.
    RoundRobin,
}

/// The settings of one daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The daemon's name, unique among hosts.
    pub name: Arc<str>,
    /// The failure domain of the host, as listed in the table.
    pub failure_domain: Arc<str>,
    /// The address that clients connect to.
    pub clients: SocketAddr,
    /// The address that operators and health checks connect to.
    pub admin: SocketAddr,
    /// The address that other daemons connect to.
    pub peers: SocketAddr,
    /// Peers to ask for the table while the platform does not answer.
    pub seeds: Vec<SocketAddr>,
    /// The platform's base address.
    pub platform: Arc<str>,
    /// The number of traffic threads.
    pub traffic_threads: usize,
    /// How long a call to the platform's store may take.
    pub store_timeout: Duration,
    /// How long a draining daemon that already reports itself as not ready still accepts
    /// connections.
    pub drain_delay: Duration,
    /// How long a graceful shutdown may take.
    pub drain_limit: Duration,
    /// How long a write may wait until a majority of the group has it.
    pub majority_timeout: Duration,
    /// How replicas are chosen.
    pub policy: PolicyName,
    /// The StatsD address for metrics; none are sent if absent.
    pub statsd: Option<SocketAddr>,
    /// The format of log lines.
    pub log_format: LogFormat,
    /// The filter of log lines, such as `info` or `persimmond=debug`.
    pub log_level: Arc<str>,
}

/// Every problem of a settings file, one per entry, which names the key's path.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct Problems(pub Vec<String>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for problem in &self.0 {
            writeln!(f, "  {problem}")?;
        }
        Ok(())
    }
}

/// Reads values by key path and collects every problem.
struct Reader<'a> {
    root: &'a Value,
    known: BTreeSet<&'static str>,
    problems: Vec<String>,
}

impl Reader<'_> {
    fn lookup(&mut self, path: &'static str) -> Option<Value> {
        self.known.insert(path);
        let mut value = self.root;
        for key in path.split('.') {
            value = value.get(key)?;
        }
        Some(value.clone())
    }

    fn add_problem(&mut self, path: &str, found: &Value, allowed: &str) {
        self.problems.push(format!("{path}: found {found}, allowed: {allowed}"));
    }

    fn text(&mut self, path: &'static str, default: Option<&str>) -> Arc<str> {
        match self.lookup(path) {
            Some(Value::String(text)) if !text.is_empty() => Arc::from(text),
            Some(other) => {
                self.add_problem(path, &other, "a non-empty string");
                Arc::from("")
            }
            None => {
                if default.is_none() {
                    self.problems.push(format!("{path}: missing"));
                }
                Arc::from(default.unwrap_or_default())
            }
        }
    }

    fn address(&mut self, path: &'static str, default: Option<&str>) -> SocketAddr {
        let text = self.text(path, default);
        let Ok(address) = text.parse() else {
            if !text.is_empty() {
                let found = Value::from(&*text);
                self.add_problem(path, &found, "an IP address and port, such as 192.0.2.7:5432");
            }
            return SocketAddr::from(([0, 0, 0, 0], 0));
        };
        address
    }

    fn addresses(&mut self, path: &'static str) -> Vec<SocketAddr> {
        let Some(found) = self.lookup(path) else {
            return Vec::new();
        };
        let items = found.as_array().cloned().unwrap_or_default();
        let addresses: Vec<SocketAddr> =
            items.iter().filter_map(|item| item.as_str()?.parse().ok()).collect();
        if !found.is_array() || addresses.len() != items.len() {
            self.add_problem(path, &found, "a list of IP addresses and ports");
        }
        addresses
    }

    fn number(&mut self, path: &'static str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let Some(found) = self.lookup(path) else {
            return default;
        };
        let number = found.as_u64().filter(|n| range.contains(n));
        number.unwrap_or_else(|| {
            let allowed = format!("a whole number from {} to {}", range.start(), range.end());
            self.add_problem(path, &found, &allowed);
            default
        })
    }

    fn millis(&mut self, path: &'static str, default: u64, range: RangeInclusive<u64>) -> Duration {
        Duration::from_millis(self.number(path, default, range))
    }

    fn choice<T: Copy>(&mut self, path: &'static str, choices: &[(&str, T)]) -> T {
        let text = self.text(path, Some(choices[0].0));
        for (word, value) in choices {
            if *text == **word {
                return *value;
            }
        }
        let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
        self.add_problem(path, &Value::from(&*text), &words.join(" or "));
        choices[0].1
    }

    fn report_unknown_keys(&mut self, prefix: &str, value: &Value) {
        let Value::Object(map) = value else {
            return;
        };
        for (key, value) in map {
            let path = if prefix.is_empty() { key.clone() } else { format!("{prefix}.{key}") };
            let is_section = self.known.iter().any(|k| k.starts_with(&format!("{path}.")));
            if is_section {
                self.report_unknown_keys(&path, value);
            } else if !self.known.contains(path.as_str()) {
                self.problems.push(format!("{path}: unknown key"));
            }
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns every problem found.
    pub fn load(path: &Path) -> Result<Self, Problems> {
        let text = fs::read_to_string(path).map_err(|err| Problems(vec![err.to_string()]))?;
        Self::parse(&text)
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns every problem found.
    pub fn parse(text: &str) -> Result<Self, Problems> {
        let root: Value =
            serde_saphyr::from_str(text).map_err(|err| Problems(vec![err.to_string()]))?;
        let mut reader = Reader { root: &root, known: BTreeSet::new(), problems: Vec::new() };
        let settings = Self::read(&mut reader);
        reader.report_unknown_keys("", &root);
        if reader.problems.is_empty() { Ok(settings) } else { Err(Problems(reader.problems)) }
    }

    fn read(reader: &mut Reader<'_>) -> Self {
        Self {
            name: reader.text("name", None),
            failure_domain: reader.text("place", None),
            clients: reader.address("listen.callers", None),
            admin: reader.address("listen.admin", None),
            peers: reader.address("listen.peers", None),
            seeds: reader.addresses("seeds"),
            platform: reader.text("platform.address", None),
            store_timeout: reader.millis("platform.timeout_ms", 1_000, 10..=60_000),
            traffic_threads: usize::try_from(reader.number("traffic.threads", 1, 1..=64))
                .unwrap_or(1),
            majority_timeout: reader.millis("traffic.held_timeout_ms", 5_000, 10..=600_000),
            policy: reader.choice(
                "traffic.policy",
                &[
                    ("power-of-two", PolicyName::PowerOfTwo),
                    ("least-outstanding", PolicyName::LeastOutstanding),
                    ("round-robin", PolicyName::RoundRobin),
                ],
            ),
            drain_delay: reader.millis("drain.delay_ms", 2_000, 0..=600_000),
            drain_limit: reader.millis("drain.limit_ms", 60_000, 0..=3_600_000),
            statsd: reader
                .lookup("metrics.statsd")
                .is_some()
                .then(|| reader.address("metrics.statsd", None)),
            log_format: reader
                .choice("log.format", &[("human", LogFormat::Human), ("json", LogFormat::Json)]),
            log_level: reader.text("log.level", Some("info")),
        }
    }
}
