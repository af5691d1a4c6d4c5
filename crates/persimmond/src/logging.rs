//! Structured logs on standard error.

use tracing_subscriber::EnvFilter;

/// The format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    Human,
    /// One JSON object per line.
    Json,
}

/// Starts logging; `level` is a filter such as `info` or `persimmond=debug`, and `info` is used if
/// it is invalid.
pub fn start(format: LogFormat, level: &str) {
    let filter = EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match format {
        LogFormat::Human => builder.init(),
        LogFormat::Json => builder.json().flatten_event(true).init(),
    }
}
