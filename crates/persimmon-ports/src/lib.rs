//! The interfaces between the product and what surrounds it.
//!
//! Invariants:
//!
//! - Messages are decoded once, by an adapter, into the types of this crate; their fields say what
//!   they hold.
//! - An adapter translates only; it keeps no state beyond a connection and takes no decision.

mod catalogue;
mod promote;
mod protocol;
mod statement;
mod store;

pub use catalogue::{Catalogue, DecodeError, Freshness, Instance, Role, Route, Service, Table};
pub use promote::{PromoteError, PromotionAuthority, PromotionOrder};
pub use protocol::{
    CallerMessage, CallerProtocol, Code, Command, InstanceProtocol, InstanceStatus, ProtocolError,
    Reply, TxStatus,
};
pub use statement::{Access, Query, Statement};
pub use store::{Change, Changes, Kind, Listing, Object, ObjectStore, StoreError};
