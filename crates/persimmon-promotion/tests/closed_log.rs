//! Promotions of a group whose commits wait for one replica: the old primary acknowledges no more
//! commits before a candidate is chosen.

mod fixture;

use persimmon_interfaces::Role;
use persimmon_promotion::{Action, Asked, Input, ProbeFinding, choose_from_closed_log};

use crate::fixture::{Fixture, draining, findings, id, request, silent, status};

fn leaving(name: &str, role: Role, lsn: u64) -> Asked {
    Asked { is_draining: true, ..status(name, role, 3, lsn) }
}

/// A synchronous group whose primary `a` drains, once its instances are queried.
fn querying_for_draining_primary() -> Fixture {
    let mut fixture = Fixture::with_lock(draining("a"));
    fixture.coordinator.set_synchronous(true);
    assert_eq!(fixture.input(10, Input::Tick), [Action::Probe]);
    let found = findings(ProbeFinding::Leads, ProbeFinding::Follows, ProbeFinding::Follows);
    assert_eq!(fixture.input(20, found), []);
    assert_eq!(fixture.input(100, Input::Tick), [Action::QueryInstances]);
    fixture
}

#[test]
fn a_draining_primary_acknowledges_nothing_before_its_successor_is_chosen() {
    let mut fixture = querying_for_draining_primary();
    let caught_up = vec![
        leaving("a", Role::Primary, 500),
        status("b", Role::Replica, 3, 499),
        status("c", Role::Replica, 3, 500),
    ];
    let raise_fence = Action::RequestPromotion(request("a", 7));
    assert_eq!(fixture.input(110, Input::Asked(caught_up)), [raise_fence]);
    assert_eq!(fixture.input(115, Input::Accepted(request("a", 7))), [Action::CloseLog]);

    let closed = vec![
        leaving("a", Role::Replica, 510),
        status("b", Role::Replica, 3, 509),
        status("c", Role::Replica, 3, 510),
    ];
    let actions = fixture.input(120, Input::Closed(closed));

    assert_eq!(actions, [Action::RequestPromotion(request("c", 7))]);
}

#[test]
fn a_draining_primary_is_not_demoted_before_a_replica_has_caught_up_and_all_have_answered() {
    let mut fixture = querying_for_draining_primary();
    let lagging = vec![
        leaving("a", Role::Primary, 500),
        status("b", Role::Replica, 3, 100),
        status("c", Role::Replica, 3, 100),
    ];
    assert_eq!(fixture.input(110, Input::Asked(lagging)), []);
    assert_eq!(fixture.input(400, Input::Tick), [Action::QueryInstances]);
    let incomplete =
        vec![leaving("a", Role::Primary, 500), status("b", Role::Replica, 3, 500), silent("c")];
    assert_eq!(fixture.input(410, Input::Asked(incomplete)), []);
    assert_eq!(fixture.input(700, Input::Tick), [Action::QueryInstances]);

    let complete = vec![
        leaving("a", Role::Primary, 600),
        status("b", Role::Replica, 3, 590),
        status("c", Role::Replica, 3, 100),
    ];

    let raise_fence = Action::RequestPromotion(request("a", 7));
    assert_eq!(fixture.input(710, Input::Asked(complete)), [raise_fence]);
}

/// A service without a primary would have to wait for the promotion API otherwise.
#[test]
fn a_draining_primary_is_not_demoted_while_promotions_are_unavailable() {
    let mut fixture = querying_for_draining_primary();
    let caught_up = || {
        vec![
            leaving("a", Role::Primary, 500),
            status("b", Role::Replica, 3, 500),
            status("c", Role::Replica, 3, 500),
        ]
    };
    let raise_fence = || Action::RequestPromotion(request("a", 7));
    assert_eq!(fixture.input(110, Input::Asked(caught_up())), [raise_fence()]);
    assert_eq!(fixture.input(120, Input::NotDone(request("a", 7))), []);

    assert_eq!(fixture.input(1_000, Input::Tick), []);
    assert_eq!(fixture.input(1_200, Input::Tick), [Action::QueryInstances]);
    assert_eq!(fixture.input(1_210, Input::Asked(caught_up())), [raise_fence()]);
}

/// An instance that has ended and is still listed does not hold up a promotion.
#[test]
fn a_replica_with_the_whole_log_of_a_demoted_primary_is_chosen_without_the_others() {
    let answers =
        [leaving("a", Role::Replica, 500), status("b", Role::Replica, 3, 500), silent("c")];

    assert_eq!(choose_from_closed_log(&answers, Some("a"), None, false), Some(id("b")));
}

/// A replica that does not answer may be the only one with an acknowledged commit.
#[test]
fn a_demoted_primary_leads_again_if_no_replica_surely_has_every_acknowledged_commit() {
    let answers =
        [leaving("a", Role::Replica, 500), status("b", Role::Replica, 3, 499), silent("c")];

    assert_eq!(choose_from_closed_log(&answers, Some("a"), None, false), None);
    assert_eq!(choose_from_closed_log(&answers, Some("a"), None, true), Some(id("a")));
}

#[test]
fn a_replica_that_lacks_unacknowledged_commits_is_chosen_if_all_have_answered() {
    let answers = [
        leaving("a", Role::Replica, 500),
        status("b", Role::Replica, 3, 498),
        status("c", Role::Replica, 3, 499),
    ];

    assert_eq!(choose_from_closed_log(&answers, Some("a"), None, false), Some(id("c")));
}

#[test]
fn a_primary_that_was_not_demoted_is_no_proof_of_what_was_acknowledged() {
    let answers =
        [leaving("a", Role::Primary, 500), status("b", Role::Replica, 3, 500), silent("c")];

    assert_eq!(choose_from_closed_log(&answers, Some("a"), None, true), None);
}

/// Two instances that were named by requests of one group may lead one after the other.
#[test]
fn of_equal_replicas_the_one_is_chosen_that_an_earlier_request_names() {
    let answers = [
        leaving("a", Role::Replica, 500),
        status("b", Role::Replica, 3, 500),
        status("c", Role::Replica, 3, 500),
    ];

    assert_eq!(choose_from_closed_log(&answers, Some("a"), Some("c"), false), Some(id("c")));
    assert_eq!(choose_from_closed_log(&answers, Some("a"), Some("b"), false), Some(id("b")));
    assert_eq!(choose_from_closed_log(&answers, Some("a"), None, false), Some(id("b")));
}

#[test]
fn the_first_holder_of_the_lock_has_no_earlier_request_to_fear() {
    let mut fixture = querying_for_draining_primary();
    fixture.input(105, Input::Claimed { token: 1, is_first: true });
    let caught_up = vec![
        leaving("a", Role::Primary, 500),
        status("b", Role::Replica, 3, 500),
        status("c", Role::Replica, 3, 500),
    ];

    assert_eq!(fixture.input(110, Input::Asked(caught_up)), [Action::CloseLog]);
}
