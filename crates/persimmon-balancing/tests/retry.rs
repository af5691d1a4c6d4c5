//! What follows a failed attempt: the guarantees of error codes that clients rely on.

use persimmon_balancing::{
    AttemptFailure, AttemptKind, RetryDecision, after_failure, final_error_code,
};
use persimmon_interfaces::ErrorCode;

const ATTEMPTS: [AttemptKind; 6] = [
    AttemptKind::Read,
    AttemptKind::Write,
    AttemptKind::FirstInTransaction,
    AttemptKind::LaterInTransaction,
    AttemptKind::Commit,
    AttemptKind::ReadOnlyCommit,
];

fn had_no_effect(code: &ErrorCode) -> bool {
    code.is_not_run() || *code == ErrorCode::Aborted
}

#[test]
fn a_write_that_may_have_run_is_not_retried_and_is_reported_as_such() {
    for attempt in [AttemptKind::Write, AttemptKind::Commit] {
        for has_time in [true, false] {
            let next = after_failure(attempt, &AttemptFailure::Lost, has_time);

            assert_eq!(next, RetryDecision::Refuse(ErrorCode::MayHaveRun), "{attempt:?}");
        }
    }
}

#[test]
fn a_lost_connection_rolls_an_uncommitted_transaction_back() {
    for attempt in [
        AttemptKind::FirstInTransaction,
        AttemptKind::LaterInTransaction,
        AttemptKind::ReadOnlyCommit,
    ] {
        let next = after_failure(attempt, &AttemptFailure::Lost, true);

        assert_eq!(next, RetryDecision::Refuse(ErrorCode::Aborted), "{attempt:?}");
    }
}

#[test]
fn a_lost_read_is_retried_before_its_deadline() {
    assert_eq!(after_failure(AttemptKind::Read, &AttemptFailure::Lost, true), RetryDecision::Retry);
    let late = after_failure(AttemptKind::Read, &AttemptFailure::Lost, false);
    assert_eq!(late, RetryDecision::Refuse(ErrorCode::TimedOut));
}

#[test]
fn a_statement_that_did_not_run_is_refused_with_a_code_that_says_so() {
    let codes =
        [ErrorCode::Busy, ErrorCode::Behind, ErrorCode::ReadOnly, ErrorCode::NoSuchPrepared];
    let mut failures: Vec<AttemptFailure> =
        codes.into_iter().map(AttemptFailure::Answered).collect();
    failures.push(AttemptFailure::NotSent);
    for attempt in ATTEMPTS {
        for failure in &failures {
            let next = after_failure(attempt, failure, false);

            let RetryDecision::Refuse(code) = next else {
                panic!("{attempt:?} after {failure:?} without time: {next:?}");
            };
            assert!(had_no_effect(&code), "{attempt:?} after {failure:?}: {code:?}");
        }
    }
}

#[test]
fn a_later_statement_never_moves_to_another_instance() {
    for attempt in
        [AttemptKind::LaterInTransaction, AttemptKind::Commit, AttemptKind::ReadOnlyCommit]
    {
        let next = after_failure(attempt, &AttemptFailure::NotSent, true);

        assert_eq!(next, RetryDecision::Refuse(ErrorCode::Aborted), "{attempt:?}");
    }
}

#[test]
fn the_answer_to_a_statement_that_ran_and_failed_is_returned() {
    for attempt in ATTEMPTS {
        for code in [ErrorCode::Failed, ErrorCode::TimedOut] {
            assert_eq!(
                after_failure(attempt, &AttemptFailure::Answered(code), true),
                RetryDecision::ReturnToClient
            );
        }
    }
}

#[test]
fn a_write_that_a_replica_refused_is_retried_at_the_primary() {
    for attempt in [AttemptKind::Write, AttemptKind::FirstInTransaction] {
        let next = after_failure(attempt, &AttemptFailure::Answered(ErrorCode::ReadOnly), true);

        assert_eq!(next, RetryDecision::FindPrimary);
    }
}

#[test]
fn a_read_that_was_lost_once_is_not_reported_as_not_run() {
    let code = final_error_code(ErrorCode::Busy, true);

    assert_eq!(code, ErrorCode::TimedOut);
}

#[test]
fn a_read_that_no_instance_received_is_reported_as_not_run() {
    let code = final_error_code(ErrorCode::Busy, false);

    assert_eq!(code, ErrorCode::Busy);
}
