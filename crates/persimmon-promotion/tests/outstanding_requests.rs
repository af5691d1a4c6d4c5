//! Promotion requests without an answer, which may be carried out at any later time.

mod fixture;

use persimmon_interfaces::Role;
use persimmon_promotion::{Action, Asked, Input, ProbeFinding};

use crate::fixture::{Fixture, claimed, draining, findings, info, request, silent, status};

fn replicas() -> Vec<Asked> {
    vec![status("b", Role::Replica, 3, 95), status("c", Role::Replica, 3, 90)]
}

/// A holder whose request to promote `b` got no answer, once it wants to repeat it.
fn unanswered_request_for_b() -> Fixture {
    let mut fixture = Fixture::with_lock(info("a"));
    fixture.confirm_failure();
    let actions = fixture.input(210, Input::Asked(replicas()));
    assert_eq!(actions, [Action::RequestPromotion(request("b", 7))]);
    assert_eq!(fixture.input(1_210, Input::Unanswered(request("b", 7))), []);
    assert_eq!(fixture.input(2_220, Input::Tick), []);
    assert_eq!(fixture.input(2_300, Input::Tick), [Action::AcquireLock]);
    fixture
}

#[test]
fn a_request_without_an_answer_is_followed_by_one_of_a_higher_token() {
    let mut fixture = unanswered_request_for_b();
    assert_eq!(fixture.input(2_310, claimed(8)), [Action::QueryInstances]);

    let answers = vec![silent("b"), status("c", Role::Replica, 3, 90)];
    let actions = fixture.input(2_320, Input::Asked(answers));

    assert_eq!(actions, [Action::RequestPromotion(request("c", 8))]);
}

/// While the store is away no higher token can be had.
#[test]
fn without_a_higher_token_only_the_instance_that_was_named_before_is_requested() {
    let mut fixture = unanswered_request_for_b();
    assert_eq!(fixture.input(2_310, Input::LockUnavailable), [Action::QueryInstances]);
    let answers = vec![silent("b"), status("c", Role::Replica, 3, 90)];
    assert_eq!(fixture.input(2_320, Input::Asked(answers)), []);

    let mut fixture = unanswered_request_for_b();
    assert_eq!(fixture.input(2_310, Input::LockUnavailable), [Action::QueryInstances]);
    let actions = fixture.input(2_320, Input::Asked(replicas()));
    assert_eq!(actions, [Action::RequestPromotion(request("b", 7))]);
}

#[test]
fn a_holder_that_lost_the_lock_does_not_repeat_its_request() {
    let mut fixture = unanswered_request_for_b();

    assert_eq!(fixture.input(2_310, Input::LockLost), []);

    assert_eq!(fixture.coordinator.fencing_token(), None);
}

/// A holder whose first request to promote `b` got no answer, and the second one, of the given token,
/// was accepted; `b` is the primary and drains.
fn draining_after_accepted_repeat(token: u64) -> Fixture {
    let mut fixture = unanswered_request_for_b();
    let lock = if token == 7 { Input::LockUnavailable } else { claimed(token) };
    assert_eq!(fixture.input(2_310, lock), [Action::QueryInstances]);
    let actions = fixture.input(2_320, Input::Asked(replicas()));
    assert_eq!(actions, [Action::RequestPromotion(request("b", token))]);
    assert_eq!(fixture.input(2_330, Input::Accepted(request("b", token))), []);
    fixture.info = info("b");
    assert_eq!(fixture.input(3_400, Input::Tick), []);
    fixture.info = draining("b");
    assert_eq!(fixture.input(9_000, Input::Tick), [Action::Probe]);
    let found = findings(ProbeFinding::Refused, ProbeFinding::Leads, ProbeFinding::Follows);
    assert_eq!(fixture.input(9_010, found), []);
    fixture
}

/// Guards against review case 7: the first request is carried out after a later promotion.
#[test]
fn an_answer_to_a_repeated_request_does_not_answer_the_first_one() {
    let mut fixture = draining_after_accepted_repeat(7);

    assert_eq!(fixture.input(9_100, Input::Tick), [Action::AcquireLock]);
}

#[test]
fn an_accepted_request_of_a_higher_token_keeps_earlier_ones_from_taking_effect() {
    let mut fixture = draining_after_accepted_repeat(8);

    assert_eq!(fixture.input(9_100, Input::Tick), [Action::QueryInstances]);
}

/// The authority refuses the request for certain where it says that it is unavailable.
#[test]
fn a_request_that_was_not_carried_out_is_repeated_with_its_token() {
    let mut fixture = Fixture::with_lock(info("a"));
    fixture.confirm_failure();
    fixture.input(210, Input::Asked(replicas()));
    assert_eq!(fixture.input(220, Input::NotDone(request("b", 7))), []);

    assert_eq!(fixture.input(1_230, Input::Tick), []);
    assert_eq!(fixture.input(1_300, Input::Tick), [Action::QueryInstances]);
    let answers = vec![silent("b"), status("c", Role::Replica, 3, 90)];
    let actions = fixture.input(1_310, Input::Asked(answers));

    assert_eq!(actions, [Action::RequestPromotion(request("c", 7))]);
}
