//! Decides what follows a failed attempt to run a statement.
//!
//! Invariants:
//!
//! - [`RetryDecision::Refuse`] with a code which says that nothing took effect is returned only if
//!   no instance ran the statement, or its transaction can no longer commit.
//! - A write is sent again only after an instance reported that it did not run it.

use persimmon_interfaces::ErrorCode;

/// What was attempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// A read outside a transaction.
    Read,
    /// A write outside a transaction.
    Write,
    /// The start of a transaction, or its first statement.
    FirstInTransaction,
    /// A later statement of a transaction.
    LaterInTransaction,
    /// The commit of a transaction that has written.
    Commit,
    /// The commit of a transaction that only read.
    ReadOnlyCommit,
}

/// How an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection was available, and nothing was sent.
    NotSent,
    /// The statement was sent; then the connection failed or no answer came.
    Lost,
    /// The instance answered with an error code.
    Answered(ErrorCode),
}

/// What the proxy does after a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another instance, or the same one later.
    Retry,
    /// Find the primary, then try there.
    FindPrimary,
    /// Return this error code to the client.
    Refuse(ErrorCode),
    /// Return the instance's answer to the client.
    ReturnToClient,
}

/// Decides what follows a failed attempt; `has_time` says whether another attempt can complete
/// before the deadline.
#[must_use]
pub fn after_failure(
    attempt: AttemptKind,
    failure: &AttemptFailure,
    has_time: bool,
) -> RetryDecision {
    match failure {
        AttemptFailure::NotSent => after_not_run(attempt, &ErrorCode::Busy, has_time),
        AttemptFailure::Lost => after_lost(attempt, has_time),
        AttemptFailure::Answered(code) if code.is_not_run() => {
            after_not_run(attempt, code, has_time)
        }
        AttemptFailure::Answered(_) => RetryDecision::ReturnToClient,
    }
}

fn after_lost(attempt: AttemptKind, has_time: bool) -> RetryDecision {
    match attempt {
        AttemptKind::Read if has_time => RetryDecision::Retry,
        AttemptKind::Read => RetryDecision::Refuse(ErrorCode::TimedOut),
        // The connection is closed, which rolls the transaction back.
        AttemptKind::FirstInTransaction
        | AttemptKind::LaterInTransaction
        | AttemptKind::ReadOnlyCommit => RetryDecision::Refuse(ErrorCode::Aborted),
        AttemptKind::Write | AttemptKind::Commit => RetryDecision::Refuse(ErrorCode::MayHaveRun),
    }
}

fn after_not_run(attempt: AttemptKind, code: &ErrorCode, has_time: bool) -> RetryDecision {
    match attempt {
        // The earlier statements of the transaction ran on that connection only.
        AttemptKind::LaterInTransaction | AttemptKind::Commit | AttemptKind::ReadOnlyCommit => {
            RetryDecision::Refuse(ErrorCode::Aborted)
        }
        _ if !has_time => RetryDecision::Refuse(ErrorCode::Busy),
        _ if *code == ErrorCode::ReadOnly => RetryDecision::FindPrimary,
        AttemptKind::Read | AttemptKind::Write | AttemptKind::FirstInTransaction => {
            RetryDecision::Retry
        }
    }
}

/// The error code that the client gets in the end. If an earlier attempt was sent and lost
/// (`was_lost`), the statement may have run, so a code which says that it did not run is replaced.
#[must_use]
pub fn final_error_code(code: ErrorCode, was_lost: bool) -> ErrorCode {
    if was_lost && code.is_not_run() { ErrorCode::TimedOut } else { code }
}
