//! The position token, by which a client carries its session's position to another daemon.
//!
//! Invariant: a token that parses was either formatted by [`Token`]'s `Display` or is a position
//! that the client asserts. A minimum position that is too high costs replica reads, never
//! consistency.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

use crate::position::{Lsn, Position, Term};

/// The log position of a session's last write, formatted as `p1-TERM-LSN`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token(pub Position);

/// The text is not a valid position token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a position token reads `p1-TERM-LSN` with two decimal numbers")]
pub struct TokenError;

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "p1-{}-{}", self.0.term, self.0.lsn)
    }
}

impl FromStr for Token {
    type Err = TokenError;

    fn from_str(text: &str) -> Result<Self, TokenError> {
        let rest = text.strip_prefix("p1-").ok_or(TokenError)?;
        let (term, lsn) = rest.split_once('-').ok_or(TokenError)?;
        let term = term.parse().map_err(|_| TokenError)?;
        let lsn = lsn.parse().map_err(|_| TokenError)?;
        Ok(Self(Position::new(Term(term), Lsn(lsn))))
    }
}
