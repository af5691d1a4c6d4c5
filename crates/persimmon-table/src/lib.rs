//! The operators' table: one CSV file of sections, checked whole into an immutable [`Table`].
//!
//! Invariants:
//!
//! - A [`Table`] exists only if every row passed every check.
//! - A section's rows keep their order, and an entity is a row's position in its section.
//! - Parsing the text that a table was parsed from always gives an equal table.

mod cell;
mod check;
mod diff;
mod rows;
mod table;

pub use check::{Problem, Problems};
pub use diff::{Change, diff};
pub use rows::{InstanceRow, InstanceState, KindRow, Length, PlaceRow, ServiceRow};
pub use table::Table;
