//! The session settings that the daemon handles itself: `SET persimmon.NAME = VALUE`.

use persimmon_request::{Session, SessionMode};
use persimmon_types::{Clock, PositionToken};
use thiserror::Error;

/// The settings of a session.
#[derive(Clone, Debug, Default)]
pub(crate) struct SessionSettings {
    /// The request class of statements whose hint names none.
    pub(crate) request_class: Option<String>,
}

/// Why a setting was refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum SettingError {
    /// The daemon has no setting of this name.
    #[error("unknown setting `persimmon.{0}`; known are session, token and kind")]
    Unknown(String),
    /// The value is not allowed: the setting's name and the reason.
    #[error("persimmon.{0}: {1}")]
    Value(String, String),
}

/// Applies one setting.
///
/// # Errors
///
/// Returns an error if the name or the value is not allowed.
pub(crate) fn apply(
    session: &mut Session,
    settings: &mut SessionSettings,
    name: &str,
    value: &str,
) -> Result<(), SettingError> {
    match name {
        "session" => *session = session.with_mode(SessionMode::Shared),
        "token" => {
            let token: PositionToken =
                value.parse().map_err(|err: persimmon_types::PositionTokenError| {
                    SettingError::Value(name.to_owned(), err.to_string())
                })?;
            session.apply_token(Clock.now(), token.0);
        }
        "kind" => settings.request_class = Some(value.to_owned()),
        _ => return Err(SettingError::Unknown(name.to_owned())),
    }
    Ok(())
}

/// Returns the name and value of a `SET persimmon.NAME = VALUE` statement.
pub(crate) fn parse(sql: &str) -> Option<(String, String)> {
    let start = sql.to_ascii_lowercase().find("persimmon.")?;
    let rest = &sql[start + "persimmon.".len()..];
    let end = rest.find(|c: char| !c.is_ascii_alphanumeric() && c != '_')?;
    let (name, rest) = rest.split_at(end);
    let rest = rest.trim_start();
    let value = match rest.strip_prefix('=') {
        Some(value) => value,
        None if rest.get(..3).is_some_and(|w| w.eq_ignore_ascii_case("to ")) => &rest[3..],
        None => return None,
    };
    let value = value.trim().trim_end_matches(';').trim().trim_matches('\'');
    Some((name.to_ascii_lowercase(), value.to_owned()))
}

/// Returns the settings in a startup message: parameters named `persimmon.NAME`, and
/// `-c persimmon.NAME=VALUE` in `options`.
pub(crate) fn from_startup<'a>(
    parameters: impl Iterator<Item = (&'a String, &'a String)>,
) -> Vec<(String, String)> {
    let mut settings = Vec::new();
    for (key, value) in parameters {
        if let Some(name) = key.strip_prefix("persimmon.") {
            settings.push((name.to_owned(), value.clone()));
        } else if key == "options" {
            for word in value.split_whitespace() {
                let word = word.strip_prefix("-c").unwrap_or(word);
                let pair = word.strip_prefix("persimmon.").and_then(|w| w.split_once('='));
                settings.extend(pair.map(|(name, value)| (name.to_owned(), value.to_owned())));
            }
        }
    }
    settings
}
