//! The promotion coordinator of one database group, driven step by step.

mod fixture;

use std::time::Duration;

use persimmon_interfaces::Role;
use persimmon_promotion::{
    Action, Asked, Input, PrimaryInfo, ProbeFinding, PromotionLockRecord, Request, choose_candidate,
};

use crate::fixture::{Fixture, claimed, draining, findings, id, info, request, silent, status};

#[test]
fn the_lock_holder_promotes_the_replica_that_received_most() {
    let mut fixture = Fixture::with_lock(info("a"));
    fixture.confirm_failure();

    let answers = vec![status("b", Role::Replica, 3, 90), status("c", Role::Replica, 3, 95)];
    let actions = fixture.input(210, Input::Asked(answers));

    assert_eq!(actions, [Action::RequestPromotion(request("c", 7))]);
}

#[test]
fn a_primary_that_fails_only_for_this_daemon_is_not_replaced() {
    let mut fixture = Fixture::with_lock(info("a"));
    assert_eq!(fixture.input(10, Input::Suspected(id("a"))), [Action::Probe]);
    let silent = findings(ProbeFinding::Silent, ProbeFinding::Follows, ProbeFinding::Follows);
    assert_eq!(fixture.input(400, silent), [Action::PollPeers]);

    assert_eq!(fixture.input(450, Input::Canvassed { failing: 1, answered: 4 }), []);

    assert_eq!(fixture.input(500, Input::Tick), []);
    assert_eq!(fixture.coordinator.state_name(), "doubting");
}

#[test]
fn without_peers_missing_answers_are_no_evidence_of_a_failure() {
    let mut fixture = Fixture::with_lock(info("a"));
    assert_eq!(fixture.input(10, Input::Suspected(id("a"))), [Action::Probe]);
    for round in 1..30 {
        let silent = findings(ProbeFinding::Silent, ProbeFinding::Follows, ProbeFinding::Follows);
        assert_eq!(fixture.input(round * 400, silent), [Action::PollPeers]);
        assert_eq!(
            fixture.input(round * 400 + 50, Input::Canvassed { failing: 0, answered: 0 }),
            []
        );
        assert_eq!(fixture.input(round * 400 + 300, Input::Tick), [Action::Probe]);
    }

    assert_eq!(fixture.coordinator.state_name(), "doubting");
}

#[test]
fn a_suspicion_refuted_by_a_probe_is_dropped() {
    let mut fixture = Fixture::with_lock(info("a"));
    assert_eq!(fixture.input(10, Input::Suspected(id("a"))), [Action::Probe]);

    assert_eq!(
        fixture
            .input(20, findings(ProbeFinding::Leads, ProbeFinding::Follows, ProbeFinding::Follows)),
        []
    );

    assert!(fixture.coordinator.is_idle());
}

#[test]
fn a_daemon_without_the_lock_gives_its_holder_time() {
    let mut fixture = Fixture::new(info("a"));

    assert_eq!(fixture.input(10, Input::Suspected(id("a"))), []);
    assert_eq!(fixture.input(700, Input::Tick), []);
    assert_eq!(fixture.input(900, Input::Tick), [Action::Probe]);
}

#[test]
fn a_refused_token_is_never_used_again() {
    let mut fixture = Fixture::with_lock(info("a"));
    fixture.confirm_failure();
    let answers = || vec![status("b", Role::Replica, 3, 90), status("c", Role::Replica, 3, 90)];
    assert!(matches!(
        fixture.input(210, Input::Asked(answers()))[..],
        [Action::RequestPromotion(_)]
    ));

    assert_eq!(fixture.input(220, Input::Refused(request("b", 7))), []);

    assert_eq!(fixture.coordinator.fencing_token(), None);
    let failed = findings(ProbeFinding::Refused, ProbeFinding::Follows, ProbeFinding::Follows);
    assert_eq!(fixture.input(450, Input::Tick), [Action::Probe]);
    assert_eq!(fixture.input(460, failed), [Action::PollPeers]);
    assert_eq!(fixture.input(470, Input::Canvassed { failing: 3, answered: 0 }), []);
    assert_eq!(fixture.input(500, Input::Tick), [Action::AcquireLock]);
    assert_eq!(fixture.input(510, claimed(9)), [Action::QueryInstances]);
    let actions = fixture.input(520, Input::Asked(answers()));
    assert!(
        matches!(&actions[..], [Action::RequestPromotion(Request { fencing_token: 9, .. })]),
        "{actions:?}"
    );
}

#[test]
fn after_a_promotion_without_an_answer_the_instances_are_queried_again() {
    let mut fixture = Fixture::with_lock(info("a"));
    fixture.confirm_failure();
    let answers = vec![status("b", Role::Replica, 3, 90), status("c", Role::Replica, 3, 80)];
    assert!(matches!(fixture.input(210, Input::Asked(answers))[..], [Action::RequestPromotion(_)]));
    assert_eq!(fixture.input(220, Input::Unanswered(request("b", 7))), []);

    assert_eq!(fixture.input(1_230, Input::Tick), []);
    assert_eq!(fixture.input(1_300, Input::Tick), [Action::AcquireLock]);
    assert_eq!(fixture.input(1_305, claimed(8)), [Action::QueryInstances]);
    let promoted = vec![status("b", Role::Primary, 4, 90), status("c", Role::Replica, 4, 90)];
    assert_eq!(fixture.input(1_310, Input::Asked(promoted)), []);

    assert!(fixture.coordinator.is_idle());
}

#[test]
fn a_new_primary_found_by_a_probe_ends_the_promotion() {
    let mut fixture = Fixture::with_lock(info("a"));
    fixture.confirm_failure();
    let answers = vec![status("b", Role::Replica, 3, 90)];
    assert!(matches!(fixture.input(210, Input::Asked(answers))[..], [Action::RequestPromotion(_)]));
    assert_eq!(fixture.input(320, Input::Tick), [Action::Probe]);

    let promoted = findings(ProbeFinding::Refused, ProbeFinding::Leads, ProbeFinding::Follows);
    assert_eq!(fixture.input(330, promoted), []);

    assert!(fixture.coordinator.is_idle());
}

#[test]
fn a_new_primary_that_dies_before_it_was_probed_is_replaced_as_soon_as_it_is_suspected() {
    let mut fixture = Fixture::with_lock(info("a"));
    fixture.confirm_failure();
    let answers = vec![status("b", Role::Replica, 3, 90), status("c", Role::Replica, 3, 90)];
    assert!(matches!(fixture.input(210, Input::Asked(answers))[..], [Action::RequestPromotion(_)]));

    fixture.info = info("b");
    assert_eq!(fixture.input(300, Input::Tick), []);

    assert_eq!(fixture.input(310, Input::Suspected(id("b"))), [Action::Probe]);
}

#[test]
fn a_waiting_daemon_that_acquires_the_lock_probes_at_once() {
    let mut fixture = Fixture::new(info("a"));
    assert_eq!(fixture.input(10, Input::Suspected(id("a"))), []);

    assert_eq!(fixture.input(20, claimed(4)), []);

    assert_eq!(fixture.input(30, Input::Tick), [Action::Probe]);
}

#[test]
fn a_draining_primary_is_replaced_once_a_replica_has_caught_up() {
    let mut fixture = Fixture::with_lock(draining("a"));
    assert_eq!(fixture.input(10, Input::Tick), [Action::Probe]);
    assert_eq!(
        fixture
            .input(20, findings(ProbeFinding::Leads, ProbeFinding::Follows, ProbeFinding::Follows)),
        []
    );
    assert_eq!(fixture.input(100, Input::Tick), [Action::QueryInstances]);
    let draining_primary = Asked { is_draining: true, ..status("a", Role::Primary, 3, 500) };
    let lagging = vec![draining_primary.clone(), status("b", Role::Replica, 3, 100), silent("c")];
    assert_eq!(fixture.input(110, Input::Asked(lagging)), []);
    assert_eq!(fixture.input(400, Input::Tick), [Action::QueryInstances]);

    let caught_up = vec![draining_primary, status("b", Role::Replica, 3, 495), silent("c")];
    let actions = fixture.input(410, Input::Asked(caught_up));

    assert_eq!(actions, [Action::RequestPromotion(request("b", 7))]);
}

#[test]
fn a_draining_primary_is_replaced_even_if_no_replica_catches_up() {
    let mut fixture = Fixture::with_lock(draining("a"));
    assert_eq!(fixture.input(10, Input::Tick), [Action::Probe]);
    assert_eq!(
        fixture
            .input(20, findings(ProbeFinding::Leads, ProbeFinding::Follows, ProbeFinding::Follows)),
        []
    );
    let draining_primary = Asked { is_draining: true, ..status("a", Role::Primary, 3, 500) };
    let mut promotion = Vec::new();
    for ms in (100..5_000).step_by(100) {
        let is_query = fixture.input(ms, Input::Tick) == [Action::QueryInstances];
        if is_query {
            let lagging = vec![draining_primary.clone(), status("b", Role::Replica, 3, 100)];
            promotion = fixture.input(ms + 10, Input::Asked(lagging));
        }
        if !promotion.is_empty() {
            break;
        }
    }

    assert_eq!(promotion, [Action::RequestPromotion(request("b", 7))]);
}

/// Found by a fault injection run (grown bluemahoe, mix --seed 21003398925): a replica that had
/// been isolated for long was promoted because the busy primary did not answer in time.
#[test]
fn no_instance_is_promoted_while_the_answer_of_a_possible_primary_is_late() {
    let missing = PrimaryInfo { missing_for: Some(Duration::from_secs(3)), ..info("a") };
    let mut fixture = Fixture::with_lock(missing);
    assert_eq!(fixture.input(10, Input::Tick), [Action::Probe]);

    assert_eq!(
        fixture
            .input(20, findings(ProbeFinding::Silent, ProbeFinding::Busy, ProbeFinding::Follows)),
        []
    );

    assert_eq!(fixture.coordinator.state_name(), "doubting");
}

#[test]
fn no_instance_is_promoted_if_the_reason_no_longer_holds() {
    let missing = PrimaryInfo { missing_for: Some(Duration::from_secs(3)), ..info("a") };
    let mut fixture = Fixture::with_lock(missing);
    assert_eq!(fixture.input(10, Input::Tick), [Action::Probe]);

    fixture.info = info("b");
    assert_eq!(
        fixture
            .input(20, findings(ProbeFinding::Silent, ProbeFinding::Silent, ProbeFinding::Follows)),
        [Action::PollPeers]
    );

    assert_eq!(fixture.coordinator.state_name(), "doubting");
}

#[test]
fn a_late_instance_is_awaited_before_one_that_received_less_is_chosen() {
    let mut fixture = Fixture::with_lock(info("a"));
    fixture.confirm_failure();
    let late = Asked { is_late: true, ..silent("b") };
    let answers = || vec![late.clone(), status("c", Role::Replica, 3, 10)];

    assert_eq!(fixture.input(210, Input::Asked(answers())), []);

    assert_eq!(fixture.coordinator.state_name(), "doubting");
}

#[test]
fn an_entry_that_expired_briefly_causes_no_promotion() {
    let missing = PrimaryInfo { missing_for: Some(Duration::from_millis(2_400)), ..info("a") };
    let mut fixture = Fixture::with_lock(missing);

    assert_eq!(fixture.input(10, Input::Tick), []);
    fixture.info.missing_for = Some(Duration::from_millis(2_500));
    assert_eq!(fixture.input(110, Input::Tick), [Action::Probe]);
}

#[test]
fn a_new_lock_holder_waits_for_the_lease_of_the_previous_one() {
    let mut fixture = Fixture::new(info("a")).with_lease(Duration::from_millis(2_000));
    assert_eq!(fixture.input(10, Input::Suspected(id("a"))), []);
    assert_eq!(fixture.input(900, Input::Tick), [Action::Probe]);
    let failed = || findings(ProbeFinding::Refused, ProbeFinding::Follows, ProbeFinding::Follows);
    assert_eq!(fixture.input(910, failed()), []);
    assert_eq!(fixture.input(1_020, failed()), [Action::PollPeers]);
    assert_eq!(fixture.input(1_030, Input::Canvassed { failing: 2, answered: 0 }), []);
    assert_eq!(fixture.input(1_100, Input::Tick), [Action::AcquireLock]);

    assert_eq!(fixture.input(1_110, claimed(3)), []);

    assert_eq!(fixture.input(3_000, Input::Tick), []);
    assert_eq!(fixture.input(3_200, Input::Tick), [Action::QueryInstances]);
}

#[test]
fn with_synchronous_replication_every_replica_must_have_answered() {
    let known = [silent("a"), status("b", Role::Replica, 3, 90), silent("c")];
    assert_eq!(choose_candidate(&known, Some("a"), true), None);
    assert_eq!(choose_candidate(&known, Some("a"), false), Some(id("b")));

    let all = [status("b", Role::Replica, 3, 90), status("c", Role::Replica, 3, 91)];
    assert_eq!(choose_candidate(&all, Some("a"), true), Some(id("c")));
}

#[test]
fn a_draining_replica_is_promoted_only_if_it_alone_has_every_acknowledged_commit() {
    let ahead = Asked { is_draining: true, ..status("b", Role::Replica, 3, 91) };
    let all = [ahead, status("c", Role::Replica, 3, 90)];

    assert_eq!(choose_candidate(&all, Some("a"), true), Some(id("b")));
    assert_eq!(choose_candidate(&all, Some("a"), false), Some(id("c")));
}

#[test]
fn each_lock_acquisition_raises_the_token_and_names_its_process() {
    let first = PromotionLockRecord::acquired(None, 0, &id("x"), 1, 10);
    let second = PromotionLockRecord::acquired(Some(&first), 0, &id("x"), 2, 20);

    assert_eq!((first.token, second.token), (1, 2));
    assert!(second.is_held_by("x", 2));
    assert!(!second.is_held_by("x", 1));
}

#[test]
fn the_suspected_primary_stays_the_same_when_the_directory_names_another() {
    let mut fixture = Fixture::with_lock(info("a"));
    fixture.confirm_failure();

    fixture.info = info("b");
    fixture.input(205, Input::Tick);

    assert_eq!(fixture.coordinator.suspected_primary(), Some(&id("a")));
}

#[test]
fn a_candidate_listed_as_primary_is_preferred_over_one_that_lacks_commits() {
    let mut fixture = Fixture::with_lock(info("a"));
    fixture.coordinator.set_synchronous(true);
    fixture.confirm_failure();
    fixture.info = info("b");

    let answers = || vec![status("b", Role::Replica, 1, 9), status("c", Role::Replica, 1, 5)];
    assert_eq!(fixture.input(210, Input::Asked(answers())), [Action::CloseLog]);
    let actions = fixture.input(220, Input::Closed(answers()));

    assert_eq!(actions, [Action::RequestPromotion(request("b", 7))]);
}

#[test]
fn no_instance_is_promoted_over_a_successor_promoted_by_another_daemon() {
    let mut fixture = Fixture::with_lock(info("a"));
    fixture.confirm_failure();
    fixture.info = info("b");

    let answers = vec![status("b", Role::Primary, 2, 9), status("c", Role::Replica, 2, 5)];
    let actions = fixture.input(210, Input::Asked(answers));

    assert_eq!(actions, []);
    assert!(fixture.coordinator.is_idle());
}

#[test]
fn a_primary_that_was_listed_after_the_query_began_is_not_replaced() {
    let mut fixture = Fixture::with_lock(info("a"));
    fixture.confirm_failure();
    fixture.info = info("d");

    let answers = vec![status("b", Role::Replica, 1, 9), status("c", Role::Replica, 1, 5)];
    let actions = fixture.input(210, Input::Asked(answers));

    assert_eq!(actions, []);
}

/// Drives the lock's holder to the point where it has requested the promotion of `c`.
fn promoting_c() -> Fixture {
    let mut fixture = Fixture::with_lock(info("a"));
    fixture.confirm_failure();
    let answers = vec![status("b", Role::Replica, 3, 90), status("c", Role::Replica, 3, 95)];
    fixture.input(210, Input::Asked(answers));
    fixture.input(215, Input::Accepted(request("c", 7)));
    fixture
}

#[test]
fn a_candidate_that_crashes_before_it_is_seen_as_primary_is_replaced_at_once() {
    let mut fixture = promoting_c();
    let crashed = || findings(ProbeFinding::Follows, ProbeFinding::Follows, ProbeFinding::Refused);
    assert_eq!(fixture.input(310, Input::Tick), [Action::Probe]);
    assert_eq!(fixture.input(315, crashed()), []);
    assert_eq!(fixture.input(410, Input::Tick), [Action::Probe]);

    assert_eq!(fixture.input(415, crashed()), [Action::PollPeers]);
    assert_eq!(fixture.coordinator.suspected_primary(), Some(&id("c")));
    fixture.input(420, Input::Canvassed { failing: 3, answered: 0 });

    assert_eq!(fixture.input(510, Input::Tick), [Action::QueryInstances]);
}

#[test]
fn a_candidate_that_is_refused_only_to_this_daemon_keeps_its_promotion() {
    let mut fixture = promoting_c();
    let refused = || findings(ProbeFinding::Follows, ProbeFinding::Follows, ProbeFinding::Refused);
    for ms in [315, 415] {
        fixture.input(ms - 5, Input::Tick);
        fixture.input(ms, refused());
    }

    fixture.input(420, Input::Canvassed { failing: 1, answered: 4 });

    assert_eq!(fixture.coordinator.state_name(), "ordered");
    assert_eq!(fixture.input(510, Input::Tick), [Action::Probe]);
}

#[test]
fn a_candidate_that_does_not_lead_yet_keeps_its_promotion() {
    let mut fixture = promoting_c();
    let waiting = || findings(ProbeFinding::Refused, ProbeFinding::Follows, ProbeFinding::Follows);

    for round in 0..8 {
        fixture.input(310 + round * 100, Input::Tick);
        assert_eq!(fixture.input(315 + round * 100, waiting()), []);
    }

    assert_eq!(fixture.coordinator.state_name(), "ordered");
}
