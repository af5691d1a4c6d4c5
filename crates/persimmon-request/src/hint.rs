//! What a caller says about one statement in a leading comment.
//!
//! `/* persimmon: kind=export, once, max_age=2s, read */`

use std::time::Duration;

use thiserror::Error;

/// What a leading comment says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hint {
    /// The kind of work.
    pub kind: Option<String>,
    /// The request is not repeatable.
    pub once: bool,
    /// The request only reads, whatever its text looks like.
    pub read: bool,
    /// How old the data may be.
    pub max_age: Option<Duration>,
}

/// Why a hint was refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("unknown hint `{0}`; allowed are kind=NAME, once, read and max_age=DURATION")]
pub struct HintError(pub String);

impl Hint {
    /// Reads the hint at the beginning of a statement; without one, everything is unset.
    ///
    /// # Errors
    ///
    /// Returns the first word that is not understood, so that a misspelt `once` is not ignored.
    pub fn parse(sql: &str) -> Result<Self, HintError> {
        let mut hint = Self::default();
        let Some(rest) = sql.trim_start().strip_prefix("/*") else {
            return Ok(hint);
        };
        let Some((comment, _)) = rest.split_once("*/") else {
            return Ok(hint);
        };
        let Some(list) = comment.trim().strip_prefix("persimmon:") else {
            return Ok(hint);
        };
        for word in list.split(',').map(str::trim).filter(|word| !word.is_empty()) {
            hint.take_in(word)?;
        }
        Ok(hint)
    }

    fn take_in(&mut self, word: &str) -> Result<(), HintError> {
        let unknown = || HintError(word.to_owned());
        match word.split_once('=') {
            None if word == "once" => self.once = true,
            None if word == "read" => self.read = true,
            Some(("kind", name)) => self.kind = Some(name.to_owned()),
            Some(("max_age", age)) => self.max_age = Some(duration(age).ok_or_else(unknown)?),
            _ => return Err(unknown()),
        }
        Ok(())
    }
}

/// Parses a duration such as `250ms` or `2s`.
fn duration(text: &str) -> Option<Duration> {
    if let Some(millis) = text.strip_suffix("ms") {
        return millis.parse().ok().map(Duration::from_millis);
    }
    text.strip_suffix('s')?.parse().ok().map(Duration::from_secs)
}
