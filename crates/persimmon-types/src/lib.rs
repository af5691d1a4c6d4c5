//! Entities, positions, verdicts and records that every other crate shares.
//!
//! Invariants:
//!
//! - Nothing here performs I/O, except [`clock`], the only place that reads a clock.
//! - A [`Position`] is compared with another only through [`TermStarts`].
//! - A [`Verdict::NotRun`] is a promise: no instance has begun to execute the request.

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
pub use entity::{DaemonId, InstanceId, KindId, PlaceId, ServiceId};
pub use fingerprint::fingerprint;
pub use group::{GroupRecord, Reservation};
pub use position::{Lsn, Position, Term, TermStart, TermStarts};
pub use rendezvous::{rank, ranked, rendezvous_weight};
pub use time::{Stamp, Time};
pub use timeline::{TimelineEvent, TimelineKind};
pub use token::{Token, TokenError};
pub use verdict::{Reason, Refusal, Verdict};
