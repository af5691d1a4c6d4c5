//! Whether a refused request may have run.
//!
//! Invariant: [`Verdict::NotRun`] is given only if no byte of the request can have reached an
//! instance, or the instance itself refused it before execution.

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Whether a request that was refused may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// No instance has begun, or will begin, to execute the request.
    NotRun,
    /// An instance may have executed the request, or may yet.
    MayHaveRun,
}

impl Verdict {
    /// The SQLSTATE under which callers see the verdict.
    #[must_use]
    pub fn sqlstate(self) -> &'static str {
        match self {
            Self::NotRun => "PN001",
            Self::MayHaveRun => "PM001",
        }
    }

    /// The text that programs read from the error's detail field.
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
pub enum Reason {
    /// The kind's allowed waiting would be exceeded before the request began.
    #[error("no connection became free within the allowed waiting")]
    Waited,
    /// Too many requests wait already.
    #[error("the queue of the service is full")]
    QueueFull,
    /// The service has no primary that can be used.
    #[error("the service has no usable primary")]
    NoPrimary,
    /// A majority of the group's instances does not keep up with the primary.
    #[error("replicas of the service do not keep up with its primary")]
    NotReplicated,
    /// The write was executed, but a majority did not confirm that it holds it.
    #[error("a majority of the service's instances did not confirm the write in time")]
    NotConfirmed,
    /// The connection to the instance broke.
    #[error("the connection to the backend server broke")]
    ConnectionLost,
    /// The instance refused the statement's term.
    #[error("the backend server follows another primary")]
    TermRefused,
    /// The caller cancelled the request.
    #[error("cancelled by the caller")]
    Cancelled,
    /// The daemon knows no such service.
    #[error("the table has no such service")]
    UnknownService,
    /// The daemon is shutting down.
    #[error("this daemon is shutting down")]
    Draining,
    /// The daemon cannot know that its table is current.
    #[error("this daemon has had no contact with the platform or its peers")]
    CutOff,
}

/// A refusal: the verdict and the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
#[error("{reason} ({verdict})")]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why it was refused.
    pub reason: Reason,
}

impl Refusal {
    /// A refusal of a request that has not run.
    #[must_use]
    pub fn not_run(reason: Reason) -> Self {
        Self { verdict: Verdict::NotRun, reason }
    }

    /// A refusal of a request that may have run.
    #[must_use]
    pub fn may_have_run(reason: Reason) -> Self {
        Self { verdict: Verdict::MayHaveRun, reason }
    }
}
