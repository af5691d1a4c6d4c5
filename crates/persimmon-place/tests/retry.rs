//! What follows a failure: the promises that callers rely on.

use persimmon_place::{Attempt, Failure, Next, after_failure, refused_with};
use persimmon_ports::Code;

const ATTEMPTS: [Attempt; 6] = [
    Attempt::Read,
    Attempt::Write,
    Attempt::First,
    Attempt::Later,
    Attempt::Commit,
    Attempt::ReadOnlyCommit,
];

fn promises(code: &Code) -> bool {
    code.is_not_run() || *code == Code::Aborted
}

#[test]
fn a_write_that_may_have_run_is_never_sent_again_nor_promised() {
    for attempt in [Attempt::Write, Attempt::Commit] {
        for has_time in [true, false] {
            let next = after_failure(attempt, &Failure::Lost, has_time);

            assert_eq!(next, Next::Refuse(Code::MayHaveRun), "{attempt:?}");
        }
    }
}

#[test]
fn a_lost_connection_rolls_an_uncommitted_transaction_back() {
    for attempt in [Attempt::First, Attempt::Later, Attempt::ReadOnlyCommit] {
        let next = after_failure(attempt, &Failure::Lost, true);

        assert_eq!(next, Next::Refuse(Code::Aborted), "{attempt:?}");
    }
}

#[test]
fn a_read_is_sent_again_while_there_is_time() {
    assert_eq!(after_failure(Attempt::Read, &Failure::Lost, true), Next::Retry);
    let late = after_failure(Attempt::Read, &Failure::Lost, false);
    assert_eq!(late, Next::Refuse(Code::TimedOut));
}

#[test]
fn every_refusal_of_a_statement_that_did_not_run_is_a_promise() {
    let codes = [Code::Busy, Code::Behind, Code::ReadOnly, Code::NoSuchPrepared];
    let mut failures: Vec<Failure> = codes.into_iter().map(Failure::Answered).collect();
    failures.push(Failure::NotSent);
    for attempt in ATTEMPTS {
        for failure in &failures {
            let next = after_failure(attempt, failure, false);

            let Next::Refuse(code) = next else {
                panic!("{attempt:?} after {failure:?} without time: {next:?}");
            };
            assert!(promises(&code), "{attempt:?} after {failure:?}: {code:?}");
        }
    }
}

#[test]
fn a_later_statement_never_moves_to_another_instance() {
    for attempt in [Attempt::Later, Attempt::Commit, Attempt::ReadOnlyCommit] {
        let next = after_failure(attempt, &Failure::NotSent, true);

        assert_eq!(next, Next::Refuse(Code::Aborted), "{attempt:?}");
    }
}

#[test]
fn an_answer_that_the_statement_ran_and_failed_is_passed_on() {
    for attempt in ATTEMPTS {
        for code in [Code::Failed, Code::TimedOut] {
            assert_eq!(after_failure(attempt, &Failure::Answered(code), true), Next::Deliver);
        }
    }
}

#[test]
fn an_instance_that_does_not_lead_sends_writes_to_look_for_the_primary() {
    for attempt in [Attempt::Write, Attempt::First] {
        let next = after_failure(attempt, &Failure::Answered(Code::ReadOnly), true);

        assert_eq!(next, Next::FindPrimary);
    }
}

#[test]
fn a_read_that_was_lost_once_is_never_said_not_to_have_run() {
    let code = refused_with(Code::Busy, true);

    assert_eq!(code, Code::TimedOut);
}

#[test]
fn a_read_that_no_instance_received_is_said_not_to_have_run() {
    let code = refused_with(Code::Busy, false);

    assert_eq!(code, Code::Busy);
}
