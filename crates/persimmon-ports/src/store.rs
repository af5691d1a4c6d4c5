//! The platform's object store.
//!
//! Invariant: [`StoreError::Unavailable`] of a write means that it may have taken effect, or may yet.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use serde_json::Value;
use thiserror::Error;

/// The kinds of object that the product uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The operators' table.
    Table,
    /// The instance directory.
    Instances,
    /// Who holds the duty of promoting each service's primary; a kind of this project.
    Duties,
}

/// One object.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Its name within its kind.
    pub name: Arc<str>,
    /// The store's revision of its last change.
    pub revision: u64,
    /// Its value.
    pub value: Value,
}

/// All objects of a kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// The objects.
    pub objects: Vec<Object>,
    /// The store's revision, to watch from.
    pub revision: u64,
}

/// A change of one object.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// It was written.
    Written(Object),
    /// It was removed.
    Removed(Arc<str>),
}

/// What has changed since a revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// The store's revision, to watch from next.
    pub revision: u64,
}

/// Why a call did not succeed.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum StoreError {
    /// The object is not at the expected revision; here it is, if the store says so.
    #[error("the object is at another revision")]
    Conflict(Option<Object>),
    /// The changes since this revision are no longer kept.
    #[error("the history since this revision is gone")]
    HistoryGone,
    /// The store refused the call for its rate or for this host; nothing was done.
    #[error("the store refused the call: {0}")]
    Refused(String),
    /// No proper answer came.
    #[error("the store is unavailable: {0}")]
    Unavailable(String),
}

/// A client of the object store that belongs to one thread.
pub trait ObjectStore: Debug {
    /// Lists all objects of a kind. A listing that may be stale costs less; what it misses is in the
    /// history after its revision.
    fn list(
        &self,
        kind: Kind,
        may_be_stale: bool,
    ) -> LocalBoxFuture<'_, Result<Listing, StoreError>>;

    /// Waits up to `wait` for changes of a kind after `revision`.
    fn watch(
        &self,
        kind: Kind,
        revision: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Changes, StoreError>>;

    /// Reads one object; `None` if there is none.
    fn read(
        &self,
        kind: Kind,
        name: Arc<str>,
    ) -> LocalBoxFuture<'_, Result<Option<Object>, StoreError>>;

    /// Writes an object that has the revision `expect`, or that does not exist.
    fn write(
        &self,
        kind: Kind,
        name: Arc<str>,
        expect: Option<u64>,
        value: Value,
    ) -> LocalBoxFuture<'_, Result<Object, StoreError>>;
}
