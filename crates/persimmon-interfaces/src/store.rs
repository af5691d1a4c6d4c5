//! Interface to the platform's object store.
//!
//! Invariant: a write that returns [`StoreError::Unavailable`] may have taken effect, or may still
//! take effect.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use serde_json::Value;
use thiserror::Error;

use crate::encoded_value::EncodedValue;
use crate::revision::Revision;

/// The kinds of objects that the proxy uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ObjectKind {
    /// The operators' table of routes and services.
    Table,
    /// The entries of the instance directory.
    Instances,
    /// The promotion lock of each service. Only the proxy itself uses this kind.
    Duties,
    /// The record of the fleet, on which the shares of quotas rest. Only the proxy itself uses this
    /// kind.
    Fleet,
}

/// A stored object.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// The object's name, unique within its kind.
    pub name: Arc<str>,
    /// The store's revision at the object's last change, in the era of the answer that contained it.
    pub revision: Revision,
    /// The object's value.
    pub value: EncodedValue,
}

/// All objects of a kind at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// The objects.
    pub objects: Vec<Object>,
    /// The store's revision; a watch continues from it.
    pub revision: Revision,
}

/// A change of one object.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The object was created or updated.
    Written(Object),
    /// The object of this name was deleted.
    Removed(Arc<str>),
}

/// The changes of a kind since a revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// The store's revision; the next watch continues from it.
    pub revision: Revision,
}

/// What reading one object found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReadResult {
    /// The store's era when it answered.
    pub era: u64,
    /// The object; `None` if it does not exist.
    pub object: Option<Object>,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum StoreError {
    /// The object is not at the expected revision. Contains the current object, if the store
    /// returned it.
    #[error("the object is not at the expected revision")]
    Conflict(Option<Object>),
    /// The store no longer has the changes since this revision; list the objects again.
    #[error("the store no longer has the changes since this revision")]
    HistoryGone,
    /// The store refused the call because of the call rate or the calling host; nothing was done.
    #[error("the store refused the call: {0}")]
    Refused(String),
    /// No valid answer came. A write may have taken effect or may still take effect.
    #[error("the store is unavailable: {0}")]
    Unavailable(String),
}

/// A client of the object store, used by one thread.
pub trait ObjectStore: Debug {
    /// Lists all objects of a kind. A listing that may be stale costs less; a watch from its
    /// revision returns the changes that it lacks.
    fn list(
        &self,
        kind: ObjectKind,
        may_be_stale: bool,
    ) -> LocalBoxFuture<'_, Result<Listing, StoreError>>;

    /// Waits up to `wait` for changes of a kind after `revision`.
    ///
    /// Fails with [`StoreError::HistoryGone`] if `revision` is too old. If the returned changes have
    /// another era than `revision`, changes between the two may be missing.
    fn watch(
        &self,
        kind: ObjectKind,
        revision: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Changes, StoreError>>;

    /// Reads one object.
    fn read(
        &self,
        kind: ObjectKind,
        name: Arc<str>,
    ) -> LocalBoxFuture<'_, Result<ReadResult, StoreError>>;

    /// Writes an object on the condition that it has the revision `expect`, or with `None` that it
    /// does not exist. Returns the written object.
    ///
    /// Fails with [`StoreError::Conflict`] if the condition does not hold.
    fn write(
        &self,
        kind: ObjectKind,
        name: Arc<str>,
        expect: Option<Revision>,
        value: Value,
    ) -> LocalBoxFuture<'_, Result<Object, StoreError>>;
}
