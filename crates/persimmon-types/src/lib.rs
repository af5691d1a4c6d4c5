//! Types shared by every other crate: entities, log positions, verdicts and stored records.
//!
//! Invariants:
//!
//! - Nothing in this crate performs I/O, except [`clock`], the only module that reads a clock.
//! - Two [`Position`]s are compared only through [`TermHistory`].
//! - [`Verdict::NotRun`] guarantees that no instance has begun to execute the request.

pub mod clock;
pub mod entity;
pub mod fingerprint;
pub mod group;
pub mod position;
pub mod rendezvous;
pub mod time;
pub mod timeline;
pub mod token;
pub mod verdict;

pub use clock::Clock;
pub use entity::{DaemonId, FailureDomainId, InstanceId, RequestClassId, ServiceId};
pub use fingerprint::fingerprint;
pub use group::{GroupRecord, TermReservation};
pub use position::{Lsn, Position, Term, TermHistory, TermStart};
pub use rendezvous::{rendezvous_rank, rendezvous_top, rendezvous_weight};
pub use time::{HlcTimestamp, Time};
pub use timeline::{TimelineEvent, TimelineKind};
pub use token::{PositionToken, PositionTokenError};
pub use verdict::{Refusal, RefusalReason, Verdict};
