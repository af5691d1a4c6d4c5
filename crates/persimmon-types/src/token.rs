//! The position token, by which a client carries its session's position to another daemon.
//!
//! Invariant: a token that parses was either formatted by [`PositionToken`]'s `Display` or is a
//! position that the client asserts. A minimum position that is too high costs replica reads, never
//! consistency.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

use crate::position::{Lsn, Position, Term};

/// The log position of a session's last write, formatted as `p1-TERM-LSN`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PositionToken(pub Position);

/// The text is not a valid position token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a position token reads `p1-TERM-LSN` with two decimal numbers")]
pub struct PositionTokenError;

impl fmt::Display for PositionToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "p1-{}-{}", self.0.term, self.0.lsn)
    }
}

impl FromStr for PositionToken {
    type Err = PositionTokenError;

    fn from_str(text: &str) -> Result<Self, PositionTokenError> {
        let rest = text.strip_prefix("p1-").ok_or(PositionTokenError)?;
        let (term, lsn) = rest.split_once('-').ok_or(PositionTokenError)?;
        let term = term.parse().map_err(|_| PositionTokenError)?;
        let lsn = lsn.parse().map_err(|_| PositionTokenError)?;
        Ok(Self(Position::new(Term(term), Lsn(lsn))))
    }
}
