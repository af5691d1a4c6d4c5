//! Per-statement hints that a client gives in a leading comment.
//!
//! `/* persimmon: kind=export, once, max_age=2s, read */`

use std::time::Duration;

use thiserror::Error;

/// The hints of one statement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hint {
    /// The name of the request class, given as `kind`.
    pub request_class: Option<String>,
    /// The request must not be sent again, even if it only reads.
    pub once: bool,
    /// The request only reads, regardless of how its text is classified.
    pub read: bool,
    /// The maximum staleness of the data.
    pub max_age: Option<Duration>,
}

/// An unknown or malformed hint option.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("unknown hint `{0}`; allowed are kind=NAME, once, read and max_age=DURATION")]
pub struct HintError(pub String);

impl Hint {
    /// Parses the hint comment at the start of a statement; without one, all fields are unset.
    ///
    /// # Errors
    ///
    /// Returns the first option that is not valid, so that a misspelt `once` is not ignored.
    pub fn parse(sql: &str) -> Result<Self, HintError> {
        let mut hint = Self::default();
        let Some(rest) = sql.trim_start().strip_prefix("/*") else {
            return Ok(hint);
        };
        let Some((comment, _)) = rest.split_once("*/") else {
            return Ok(hint);
        };
        let Some(options) = comment.trim().strip_prefix("persimmon:") else {
            return Ok(hint);
        };
        for option in options.split(',').map(str::trim).filter(|option| !option.is_empty()) {
            hint.apply_option(option)?;
        }
        Ok(hint)
    }

    fn apply_option(&mut self, option: &str) -> Result<(), HintError> {
        let invalid = || HintError(option.to_owned());
        match option.split_once('=') {
            None if option == "once" => self.once = true,
            None if option == "read" => self.read = true,
            Some(("kind", name)) => self.request_class = Some(name.to_owned()),
            Some(("max_age", age)) => self.max_age = Some(parse_duration(age).ok_or_else(invalid)?),
            _ => return Err(invalid()),
        }
        Ok(())
    }
}

/// Parses a duration such as `250ms` or `2s`.
fn parse_duration(text: &str) -> Option<Duration> {
    if let Some(millis) = text.strip_suffix("ms") {
        return millis.parse().ok().map(Duration::from_millis);
    }
    text.strip_suffix('s')?.parse().ok().map(Duration::from_secs)
}
