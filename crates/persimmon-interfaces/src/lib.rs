//! Interfaces between the proxy and the platform that it runs on.
//!
//! An adapter implements them: the wire protocols of clients and instances, the object store and
//! the promotion authority.
//!
//! Invariants:
//!
//! - Messages are decoded once, by an adapter, into the types of this crate.
//! - An adapter only translates: it keeps no state beyond a connection and makes no decisions.

mod encoded_value;
mod promote;
mod protocol;
mod revision;
mod statement;
mod store;
mod topology;

pub use encoded_value::EncodedValue;
pub use promote::{PromoteError, PromotionAuthority, PromotionRequest};
pub use protocol::{
    ClientMessage, ClientProtocol, Command, ErrorCode, InstanceProtocol, InstanceStatus,
    ProtocolError, Reply, TxStatus,
};
pub use revision::Revision;
pub use statement::{Access, Query, Statement};
pub use store::{
    Change, Changes, Listing, Object, ObjectKind, ObjectStore, ReadResult, StoreError,
};
pub use topology::{
    CallerMismatch, DecodeError, Freshness, Instance, InstanceReport, ObjectDecoder, Role, Route,
    Service, Table, UnknownKey,
};
