//! The operators' table: a CSV file of sections, validated as a whole into an immutable [`Table`].
//!
//! Invariants:
//!
//! - A [`Table`] exists only if every row passed every check.
//! - The rows of a section keep their order, and an entity id is a row's index in its section.
//! - Parsing is deterministic: the same text always gives an equal table.

mod cell;
mod check;
mod diff;
mod rows;
mod table;

pub use check::{Problem, Problems};
pub use diff::{RowChange, diff};
pub use rows::{
    FailureDomainRow, InstanceRow, InstanceState, RequestClassRow, RequestLength, ServiceRow,
};
pub use table::Table;
