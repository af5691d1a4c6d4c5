//! Wire types and client of the platform's object API.
//!
//! Invariants:
//!
//! - A write that returns [`StoreError::Unavailable`] may have taken effect.
//! - A conditional write takes effect only if the object has the expected version.

mod client;
mod table;
mod wire;

pub use client::{StoreClient, StoreError};
pub use table::{AcceptedEdit, TableEdit, TableObject};
pub use wire::{Changes, Host, Hosts, Object, PutReply, PutRequest};
