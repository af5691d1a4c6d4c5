//! Guards against checks of the table that no session waits for, or that one does not get.

use persimmon_proxy::is_check_due;
use persimmon_types::Time;

fn at(ms: u64) -> Time {
    Time::from_millis(1_000_000 + ms)
}

#[test]
fn check_is_due_while_a_session_waits_for_a_proof_younger_than_its_request() {
    assert!(is_check_due(at(10), at(0), None));
    assert!(is_check_due(at(10), at(0), Some(at(0) - std::time::Duration::from_millis(1))));
    assert!(!is_check_due(at(10), at(0), Some(at(0))));
    assert!(!is_check_due(at(10), at(0), Some(at(5))));
}

#[test]
fn request_whose_session_has_been_answered_costs_no_check() {
    assert!(is_check_due(at(499), at(0), None));
    assert!(!is_check_due(at(500), at(0), None));
}
