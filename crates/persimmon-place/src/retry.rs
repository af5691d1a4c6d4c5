//! What follows a failed attempt.
//!
//! Invariants:
//!
//! - [`Next::Refuse`] with a code that promises that nothing is kept is returned only if no instance
//!   ran the statement, or its transaction cannot commit any more.
//! - A write is sent again only after an instance has said that it did not run it.

use persimmon_ports::Code;

/// What was attempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// A read outside a transaction.
    Read,
    /// A write outside a transaction.
    Write,
    /// The first statement of a transaction, or its opening.
    First,
    /// A later statement of a transaction.
    Later,
    /// The commit of a transaction that has written.
    Commit,
    /// The commit of a transaction that only read.
    ReadOnlyCommit,
}

/// How the attempt failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent: no connection could be had.
    NotSent,
    /// The connection broke, or no answer came, after the statement was sent.
    Lost,
    /// The instance answered with a code.
    Answered(Code),
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Try another instance, or the same one later.
    Retry,
    /// Find out who leads, then try there.
    FindPrimary,
    /// Answer the caller with this code.
    Refuse(Code),
    /// Pass the instance's answer on.
    Deliver,
}

/// Decides what follows a failure; `has_time` tells whether another attempt can still end in time.
#[must_use]
pub fn after_failure(attempt: Attempt, failure: &Failure, has_time: bool) -> Next {
    match failure {
        Failure::NotSent => not_run(attempt, &Code::Busy, has_time),
        Failure::Lost => lost(attempt, has_time),
        Failure::Answered(code) if code.is_not_run() => not_run(attempt, code, has_time),
        Failure::Answered(_) => Next::Deliver,
    }
}

fn lost(attempt: Attempt, has_time: bool) -> Next {
    match attempt {
        Attempt::Read if has_time => Next::Retry,
        Attempt::Read => Next::Refuse(Code::TimedOut),
        // The connection is closed, which rolls the transaction back.
        Attempt::First | Attempt::Later | Attempt::ReadOnlyCommit => Next::Refuse(Code::Aborted),
        Attempt::Write | Attempt::Commit => Next::Refuse(Code::MayHaveRun),
    }
}

fn not_run(attempt: Attempt, code: &Code, has_time: bool) -> Next {
    match attempt {
        // Its earlier statements ran on that connection alone.
        Attempt::Later | Attempt::Commit | Attempt::ReadOnlyCommit => Next::Refuse(Code::Aborted),
        _ if !has_time => Next::Refuse(Code::Busy),
        _ if *code == Code::ReadOnly => Next::FindPrimary,
        Attempt::Read | Attempt::Write | Attempt::First => Next::Retry,
    }
}

/// The code with which a statement is refused in the end, where `was_lost` tells whether an earlier
/// attempt was sent and had no answer: it may have run, so that no promise holds.
#[must_use]
pub fn refused_with(code: Code, was_lost: bool) -> Code {
    if was_lost && code.is_not_run() { Code::TimedOut } else { code }
}
