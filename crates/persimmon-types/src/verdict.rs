//! The verdict on a refused request: whether it may have run.
//!
//! Invariant: [`Verdict::NotRun`] is returned only if no byte of the request can have reached an
//! instance, or if the instance itself refused the request before execution.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// No instance has begun, or will begin, to execute the request.
    NotRun,
    /// The outcome is indeterminate: an instance may have executed the request, or may yet do so.
    MayHaveRun,
}

impl Verdict {
    /// The SQLSTATE by which clients see the verdict.
    #[must_use]
    pub fn sqlstate(self) -> &'static str {
        match self {
            Self::NotRun => "PN001",
            Self::MayHaveRun => "PM001",
        }
    }

    /// The text in the error's detail field, which client programs read.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not run",
            Self::MayHaveRun => "may have run",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
pub enum RefusalReason {
    /// The wait limit of the request class would be exceeded before the request began.
    #[error("no connection became free within the allowed waiting")]
    #[serde(rename = "Waited")]
    WaitTimedOut,
    /// Too many requests are already queued for the service.
    #[error("the queue of the service is full")]
    QueueFull,
    /// The service has no usable primary.
    #[error("the service has no usable primary")]
    NoPrimary,
    /// Replication lag: a majority of the group's instances does not keep up with the primary.
    #[error("replicas of the service do not keep up with its primary")]
    NotReplicated,
    /// The write was executed, but a majority of instances did not acknowledge it in time.
    #[error("a majority of the service's instances did not confirm the write in time")]
    NotConfirmed,
    /// The connection to the instance was lost.
    #[error("the connection to the backend server broke")]
    ConnectionLost,
    /// The instance refused the statement's term.
    #[error("the backend server follows another primary")]
    TermRefused,
    /// The client cancelled the request.
    #[error("cancelled by the caller")]
    Cancelled,
    /// The table of this daemon has no such service.
    #[error("the table has no such service")]
    UnknownService,
    /// The daemon is shutting down.
    #[error("this daemon is shutting down")]
    Draining,
    /// The daemon is isolated from the store and its peers, so its table may be out of date.
    #[error("this daemon has had no contact with the platform or its peers")]
    #[serde(rename = "CutOff")]
    Isolated,
}

/// The refusal of a request: a verdict and a reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
#[error("{reason} ({verdict})")]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why the request was refused.
    pub reason: RefusalReason,
}

impl Refusal {
    /// Refuses a request that has not run.
    #[must_use]
    pub fn not_run(reason: RefusalReason) -> Self {
        Self { verdict: Verdict::NotRun, reason }
    }

    /// Refuses a request that may have run.
    #[must_use]
    pub fn may_have_run(reason: RefusalReason) -> Self {
        Self { verdict: Verdict::MayHaveRun, reason }
    }
}
