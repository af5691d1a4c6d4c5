//! Workspaces: which one a client's key identifies, and how much each may do. No I/O.
//!
//! Invariants:
//!
//! - The text of a key is never kept: a [`ClientKey`] is its digest, and shows nothing of it in logs.
//! - A key identifies at most one workspace.

mod directory;
mod key;
pub mod quota;
mod workspace;

pub use directory::{RejectedEntry, WorkspaceDirectory};
pub use key::{ClientKey, InvalidKey};
pub use workspace::{Quota, Workspace};
