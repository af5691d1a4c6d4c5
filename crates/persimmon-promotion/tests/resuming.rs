//! Replicas that were stopped for a promotion which nobody needs any more.

mod fixture;

use persimmon_interfaces::Role;
use persimmon_promotion::{Action, Asked, Input, ProbeFinding, StandstillDetector};

use crate::fixture::{Fixture, claimed, draining, findings, id, info, request, silent, status};

fn replicas() -> Vec<Asked> {
    vec![status("b", Role::Replica, 3, 95), status("c", Role::Replica, 3, 90)]
}

fn primary_is_back() -> Input {
    findings(ProbeFinding::Leads, ProbeFinding::Follows, ProbeFinding::Follows)
}

fn resume_all() -> Action {
    Action::ResumeReplication { primary: id("a"), only: None }
}

fn resume_only(replica: &str) -> Action {
    Action::ResumeReplication { primary: id("a"), only: Some(id(replica)) }
}

/// A holder of a synchronous group's lock, whose token the authority has accepted long ago.
fn synchronous_holder() -> Fixture {
    let mut fixture = Fixture::new(info("a"));
    fixture.input(0, Input::Claimed { token: 7, is_first: true });
    fixture.coordinator.set_synchronous(true);
    fixture
}

/// The same, once it has requested the promotion of `b` because `a` has failed.
fn requesting_b() -> Fixture {
    let mut fixture = synchronous_holder();
    fixture.confirm_failure();
    assert_eq!(fixture.input(210, Input::Asked(replicas())), [Action::CloseLog]);
    let actions = fixture.input(220, Input::Closed(replicas()));
    assert_eq!(actions, [Action::RequestPromotion(request("b", 7))]);
    fixture
}

#[test]
fn replicas_are_resumed_when_the_primary_is_back_before_a_candidate_was_chosen() {
    let mut fixture = synchronous_holder();
    fixture.confirm_failure();
    let unknown = || vec![status("b", Role::Replica, 3, 90), silent("c")];
    assert_eq!(fixture.input(210, Input::Asked(unknown())), [Action::CloseLog]);
    assert_eq!(fixture.input(220, Input::Closed(unknown())), []);
    assert_eq!(fixture.input(450, Input::Tick), [Action::Probe]);

    assert_eq!(fixture.input(460, primary_is_back()), []);

    assert_eq!(fixture.input(500, Input::Tick), [resume_all()]);
    let resumed = Input::Resumed { only: None, is_complete: true };
    assert_eq!(fixture.input(510, resumed), []);
    assert!(fixture.coordinator.is_idle());
}

#[test]
fn replicas_are_resumed_when_the_primary_is_back_and_its_promotion_was_not_carried_out() {
    let mut fixture = requesting_b();
    assert_eq!(fixture.input(230, Input::NotDone(request("b", 7))), []);
    assert_eq!(fixture.input(330, Input::Tick), [Action::Probe]);

    assert_eq!(fixture.input(340, primary_is_back()), []);

    assert_eq!(fixture.input(400, Input::Tick), [resume_all()]);
}

#[test]
fn an_accepted_promotion_is_not_given_up() {
    let mut fixture = requesting_b();
    let actions = fixture.input(230, Input::Accepted(request("b", 7)));
    assert_eq!(actions, [Action::DemoteOldPrimary]);
    assert_eq!(fixture.input(330, Input::Tick), [Action::Probe]);

    assert_eq!(fixture.input(340, primary_is_back()), []);

    assert_eq!(fixture.coordinator.state_name(), "ordered");
}

/// A request without an answer may still take effect: what is acknowledged has to be in the log of the
/// instance that it names, until a higher token is known to the authority.
#[test]
fn only_the_instance_that_may_still_be_promoted_is_resumed_before_the_fence_is_raised() {
    let mut fixture = requesting_b();
    assert_eq!(fixture.input(1_230, Input::Unanswered(request("b", 7))), []);
    assert_eq!(fixture.input(1_300, Input::Tick), [Action::Probe]);

    assert_eq!(fixture.input(1_310, primary_is_back()), [resume_only("b")]);

    assert_eq!(fixture.input(1_400, Input::Tick), [Action::AcquireLock]);
    let resumed = Input::Resumed { only: Some(id("b")), is_complete: true };
    assert_eq!(fixture.input(1_405, resumed), []);
    assert_eq!(fixture.input(1_410, claimed(8)), []);
    let raise_fence = Action::RequestPromotion(request("a", 8));
    assert_eq!(fixture.input(1_500, Input::Tick), [raise_fence]);
    assert_eq!(fixture.input(1_510, Input::Accepted(request("a", 8))), []);
    // What was accepted just before may still take effect.
    assert_eq!(fixture.input(3_900, Input::Tick), []);
    assert_eq!(fixture.input(4_100, Input::Tick), [resume_all()]);
}

#[test]
fn a_holder_that_lost_the_lock_resumes_nothing() {
    let mut fixture = requesting_b();
    fixture.input(230, Input::NotDone(request("b", 7)));
    fixture.input(330, Input::Tick);
    fixture.input(340, primary_is_back());
    assert_eq!(fixture.input(400, Input::Tick), [resume_all()]);

    assert_eq!(fixture.input(410, Input::LockLost), []);

    assert!(fixture.coordinator.is_idle());
    assert_eq!(fixture.coordinator.fencing_token(), None);
    assert_eq!(fixture.input(2_000, Input::Tick), []);
}

#[test]
fn a_resumption_that_is_not_complete_is_repeated() {
    let mut fixture = requesting_b();
    fixture.input(230, Input::NotDone(request("b", 7)));
    fixture.input(330, Input::Tick);
    fixture.input(340, primary_is_back());
    assert_eq!(fixture.input(400, Input::Tick), [resume_all()]);

    fixture.input(410, Input::Resumed { only: None, is_complete: false });

    assert_eq!(fixture.input(1_300, Input::Tick), []);
    assert_eq!(fixture.input(1_400, Input::Tick), [resume_all()]);
}

#[test]
fn a_primary_that_fails_again_is_replaced_before_replicas_are_resumed() {
    let mut fixture = requesting_b();
    fixture.input(230, Input::NotDone(request("b", 7)));
    fixture.input(330, Input::Tick);
    fixture.input(340, primary_is_back());

    assert_eq!(fixture.input(350, Input::Suspected(id("a"))), [Action::Probe]);
    let failed = findings(ProbeFinding::Refused, ProbeFinding::Follows, ProbeFinding::Follows);
    assert_eq!(fixture.input(360, failed), [Action::Probe]);
    assert_eq!(fixture.coordinator.state_name(), "doubting");
}

/// Found by the soak (seed 4905): writes that wait for a replica make every daemon suspect the primary.
#[test]
fn suspicions_of_a_primary_that_leads_do_not_keep_replicas_from_being_resumed() {
    let mut fixture = Fixture::with_lock(info("a"));
    fixture.coordinator.set_synchronous(true);
    let raise_fence = Action::RequestPromotion(request("a", 7));
    assert_eq!(fixture.input(5, Input::Tick), [raise_fence]);
    fixture.input(6, Input::Accepted(request("a", 7)));
    assert_eq!(fixture.input(4_000, Input::Suspected(id("a"))), [Action::Probe]);

    fixture.input(4_010, Input::Standstill(id("a")));
    assert_eq!(fixture.input(4_020, Input::Suspected(id("a"))), [Action::Probe]);
    assert_eq!(fixture.input(4_030, primary_is_back()), []);

    assert_eq!(fixture.input(4_100, Input::Tick), [resume_all()]);
}

/// Guards against review case 9: the process that stopped the replicas is gone.
#[test]
fn replicas_that_stand_still_are_resumed_by_a_daemon_that_did_not_stop_them() {
    let mut fixture = Fixture::new(info("a"));
    fixture.coordinator.set_synchronous(true);
    assert_eq!(fixture.input(10, Input::Standstill(id("a"))), []);

    assert_eq!(fixture.input(100, Input::Tick), [Action::AcquireLock]);
    assert_eq!(fixture.input(110, claimed(9)), []);
    let raise_fence = Action::RequestPromotion(request("a", 9));
    assert_eq!(fixture.input(200, Input::Tick), [raise_fence]);
    assert_eq!(fixture.input(210, Input::Accepted(request("a", 9))), []);
    assert_eq!(fixture.input(2_600, Input::Tick), []);
    assert_eq!(fixture.input(2_800, Input::Tick), [resume_all()]);
}

#[test]
fn a_standstill_is_no_reason_to_resume_while_the_primary_is_being_replaced() {
    let mut fixture = Fixture::with_lock(draining("a"));
    fixture.coordinator.set_synchronous(true);
    assert_eq!(fixture.input(10, Input::Tick), [Action::Probe]);

    fixture.input(20, Input::Standstill(id("a")));

    assert_eq!(fixture.coordinator.state_name(), "doubting");
}

/// The fence is raised while there is time, so that it need not be when a promotion is given up.
#[test]
fn a_new_holder_of_the_lock_raises_the_fence_while_the_group_is_at_rest() {
    let mut fixture = Fixture::with_lock(info("a"));
    assert_eq!(fixture.input(10, Input::Tick), [], "the group is not synchronous");
    fixture.coordinator.set_synchronous(true);

    let raise_fence = Action::RequestPromotion(request("a", 7));
    assert_eq!(fixture.input(100, Input::Tick), [raise_fence]);
    assert_eq!(fixture.input(110, Input::Accepted(request("a", 7))), []);

    assert_eq!(fixture.input(9_000, Input::Tick), []);
}

fn round(primary: u64, b: u64, c: u64) -> Vec<Asked> {
    vec![
        status("a", Role::Primary, 3, primary),
        status("b", Role::Replica, 3, b),
        status("c", Role::Replica, 3, c),
    ]
}

#[test]
fn a_replica_stands_still_if_it_receives_nothing_though_the_primary_had_more() {
    let mut detector = StandstillDetector::default();
    assert_eq!(detector.observe(&round(100, 90, 100), 2), None);
    assert_eq!(detector.observe(&round(110, 90, 110), 2), None);

    assert_eq!(detector.observe(&round(110, 90, 110), 2), Some(id("a")));
}

#[test]
fn a_replica_that_is_behind_and_receives_or_has_everything_does_not_stand_still() {
    let mut detector = StandstillDetector::default();
    for number in 0..10 {
        let answers = round(100 + number * 10, 50 + number, 100 + number * 10);
        assert_eq!(detector.observe(&answers, 2), None);
    }
    let mut detector = StandstillDetector::default();
    for _ in 0..10 {
        assert_eq!(detector.observe(&round(100, 100, 100), 2), None);
    }
}

#[test]
fn another_primary_starts_the_comparison_anew() {
    let mut detector = StandstillDetector::default();
    detector.observe(&round(100, 90, 100), 2);
    detector.observe(&round(100, 90, 100), 2);
    let promoted = vec![status("b", Role::Primary, 4, 100), status("c", Role::Replica, 4, 90)];

    assert_eq!(detector.observe(&promoted, 2), None);
    assert_eq!(detector.observe(&promoted, 2), None);
    assert_eq!(detector.observe(&promoted, 2), Some(id("b")));
}
