//! The position token that travels with a caller from one daemon to another.
//!
//! Invariant: a token that parses was printed by [`Token`]'s `Display`, or names a position that
//! the caller asserts; a floor that is too high costs replica reads, never consistency.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

use crate::position::{Lsn, Position, Term};

/// The last write of a session, printed as `p1-TERM-LSN`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token(pub Position);

/// Why a token was not understood.
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
