//! The duty of one service, played step by step.

use std::sync::Arc;
use std::time::Duration;

use persimmon_lead::{Action, Asked, Duty, DutyRecord, Finding, Input, Sight, choose_candidate};
use persimmon_ports::{InstanceStatus, Role};
use persimmon_types::{Lsn, Position, Term, Time};

fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

fn id(name: &str) -> Arc<str> {
    Arc::from(name)
}

fn sight(primary: &str) -> Sight {
    Sight { primary: Some(id(primary)), ..Sight::default() }
}

fn draining(primary: &str) -> Sight {
    Sight { is_draining: true, ..sight(primary) }
}

fn findings(a: Finding, b: Finding, c: Finding) -> Input {
    Input::Probed(vec![(id("a"), a), (id("b"), b), (id("c"), c)])
}

fn status(name: &str, role: Role, term: u64, lsn: u64) -> Asked {
    let status = InstanceStatus::new(role, Term(term));
    let status = status.with_received(Position::new(Term(term), Lsn(lsn)));
    Asked { id: id(name), is_draining: false, is_late: false, status: Some(status) }
}

fn silent(name: &str) -> Asked {
    Asked { id: id(name), is_draining: false, is_late: false, status: None }
}

struct Play {
    duty: Duty,
    sight: Sight,
}

impl Play {
    fn new(sight: Sight) -> Self {
        Self { duty: Duty::new(Duration::from_millis(300)), sight }
    }

    fn holder(sight: Sight) -> Self {
        let mut play = Self::new(sight);
        assert_eq!(play.input(0, Input::Claimed { token: 7 }), []);
        play
    }

    fn with_lease(mut self, lease: Duration) -> Self {
        self.duty = self.duty.with_lease(lease);
        self
    }

    fn input(&mut self, ms: u64, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        self.duty.handle(at(ms), &self.sight, input, &mut actions);
        actions
    }

    /// Brings a holder to the point where it asks the instances for their state.
    fn confirm_dead(&mut self) {
        assert_eq!(self.input(10, Input::Suspected(id("a"))), [Action::Probe]);
        let dead = || findings(Finding::Refused, Finding::Follows, Finding::Follows);
        assert_eq!(self.input(20, dead()), []);
        assert_eq!(self.input(130, dead()), [Action::Canvass]);
        assert_eq!(self.input(140, Input::Canvassed { failing: 5, answered: 0 }), []);
        assert_eq!(self.input(200, Input::Tick), [Action::Ask]);
    }
}

#[test]
fn the_holder_orders_the_replica_that_received_most() {
    let mut play = Play::holder(sight("a"));
    play.confirm_dead();

    let asked = vec![status("b", Role::Replica, 3, 90), status("c", Role::Replica, 3, 95)];
    let actions = play.input(210, Input::Asked(asked));

    assert_eq!(actions, [Action::Order { candidate: id("c"), token: 7 }]);
}

#[test]
fn a_primary_that_fails_this_daemon_only_stays() {
    let mut play = Play::holder(sight("a"));
    assert_eq!(play.input(10, Input::Suspected(id("a"))), [Action::Probe]);
    let silent = findings(Finding::Silent, Finding::Follows, Finding::Follows);
    assert_eq!(play.input(400, silent), [Action::Canvass]);

    assert_eq!(play.input(450, Input::Canvassed { failing: 1, answered: 4 }), []);

    assert_eq!(play.input(500, Input::Tick), []);
    assert_eq!(play.duty.state_name(), "doubting");
}

#[test]
fn a_daemon_that_is_alone_takes_silence_for_no_proof() {
    let mut play = Play::holder(sight("a"));
    assert_eq!(play.input(10, Input::Suspected(id("a"))), [Action::Probe]);
    for round in 1..30 {
        let silent = findings(Finding::Silent, Finding::Follows, Finding::Follows);
        assert_eq!(play.input(round * 400, silent), [Action::Canvass]);
        assert_eq!(play.input(round * 400 + 50, Input::Canvassed { failing: 0, answered: 0 }), []);
        assert_eq!(play.input(round * 400 + 300, Input::Tick), [Action::Probe]);
    }

    assert_eq!(play.duty.state_name(), "doubting");
}

#[test]
fn a_suspicion_that_a_probe_refutes_changes_nothing() {
    let mut play = Play::holder(sight("a"));
    assert_eq!(play.input(10, Input::Suspected(id("a"))), [Action::Probe]);

    assert_eq!(play.input(20, findings(Finding::Leads, Finding::Follows, Finding::Follows)), []);

    assert!(play.duty.is_calm());
}

#[test]
fn a_daemon_without_the_duty_leaves_the_holder_time() {
    let mut play = Play::new(sight("a"));

    assert_eq!(play.input(10, Input::Suspected(id("a"))), []);
    assert_eq!(play.input(700, Input::Tick), []);
    assert_eq!(play.input(900, Input::Tick), [Action::Probe]);
}

#[test]
fn a_refused_token_is_never_used_again() {
    let mut play = Play::holder(sight("a"));
    play.confirm_dead();
    let asked = || vec![status("b", Role::Replica, 3, 90), status("c", Role::Replica, 3, 90)];
    assert!(matches!(play.input(210, Input::Asked(asked()))[..], [Action::Order { .. }]));

    assert_eq!(play.input(220, Input::Refused), []);

    assert_eq!(play.duty.token(), None);
    let dead = findings(Finding::Refused, Finding::Follows, Finding::Follows);
    assert_eq!(play.input(450, Input::Tick), [Action::Probe]);
    assert_eq!(play.input(460, dead), [Action::Canvass]);
    assert_eq!(play.input(470, Input::Canvassed { failing: 3, answered: 0 }), []);
    assert_eq!(play.input(500, Input::Tick), [Action::Claim]);
    assert_eq!(play.input(510, Input::Claimed { token: 9 }), [Action::Ask]);
    let actions = play.input(520, Input::Asked(asked()));
    assert!(matches!(&actions[..], [Action::Order { token: 9, .. }]), "{actions:?}");
}

#[test]
fn an_order_without_an_answer_is_decided_anew_from_the_instances() {
    let mut play = Play::holder(sight("a"));
    play.confirm_dead();
    let asked = vec![status("b", Role::Replica, 3, 90), status("c", Role::Replica, 3, 80)];
    assert!(matches!(play.input(210, Input::Asked(asked))[..], [Action::Order { .. }]));
    assert_eq!(play.input(220, Input::Unanswered), []);

    assert_eq!(play.input(1_230, Input::Tick), []);
    assert_eq!(play.input(1_300, Input::Tick), [Action::Ask]);
    let led = vec![status("b", Role::Primary, 4, 90), status("c", Role::Replica, 4, 90)];
    assert_eq!(play.input(1_310, Input::Asked(led)), []);

    assert!(play.duty.is_calm());
}

#[test]
fn a_new_leader_ends_the_duty() {
    let mut play = Play::holder(sight("a"));
    play.confirm_dead();
    let asked = vec![status("b", Role::Replica, 3, 90)];
    assert!(matches!(play.input(210, Input::Asked(asked))[..], [Action::Order { .. }]));
    assert_eq!(play.input(320, Input::Tick), [Action::Probe]);

    let led = findings(Finding::Refused, Finding::Leads, Finding::Follows);
    assert_eq!(play.input(330, led), []);

    assert!(play.duty.is_calm());
}

#[test]
fn a_new_primary_that_dies_before_it_was_probed_is_replaced_as_soon_as_it_is_suspected() {
    let mut play = Play::holder(sight("a"));
    play.confirm_dead();
    let asked = vec![status("b", Role::Replica, 3, 90), status("c", Role::Replica, 3, 90)];
    assert!(matches!(play.input(210, Input::Asked(asked))[..], [Action::Order { .. }]));

    play.sight = sight("b");
    assert_eq!(play.input(300, Input::Tick), []);

    assert_eq!(play.input(310, Input::Suspected(id("b"))), [Action::Probe]);
}

#[test]
fn a_daemon_that_gets_the_duty_looks_at_once_at_what_it_left_to_the_holder() {
    let mut play = Play::new(sight("a"));
    assert_eq!(play.input(10, Input::Suspected(id("a"))), []);

    assert_eq!(play.input(20, Input::Claimed { token: 4 }), []);

    assert_eq!(play.input(30, Input::Tick), [Action::Probe]);
}

#[test]
fn a_leaving_primary_is_replaced_once_a_replica_has_caught_up() {
    let mut play = Play::holder(draining("a"));
    assert_eq!(play.input(10, Input::Tick), [Action::Probe]);
    assert_eq!(play.input(20, findings(Finding::Leads, Finding::Follows, Finding::Follows)), []);
    assert_eq!(play.input(100, Input::Tick), [Action::Ask]);
    let leaving = Asked { is_draining: true, ..status("a", Role::Primary, 3, 500) };
    let behind = vec![leaving.clone(), status("b", Role::Replica, 3, 100), silent("c")];
    assert_eq!(play.input(110, Input::Asked(behind)), []);
    assert_eq!(play.input(400, Input::Tick), [Action::Ask]);

    let level = vec![leaving, status("b", Role::Replica, 3, 495), silent("c")];
    let actions = play.input(410, Input::Asked(level));

    assert_eq!(actions, [Action::Order { candidate: id("b"), token: 7 }]);
}

#[test]
fn a_leaving_primary_does_not_wait_for_ever() {
    let mut play = Play::holder(draining("a"));
    assert_eq!(play.input(10, Input::Tick), [Action::Probe]);
    assert_eq!(play.input(20, findings(Finding::Leads, Finding::Follows, Finding::Follows)), []);
    let leaving = Asked { is_draining: true, ..status("a", Role::Primary, 3, 500) };
    let mut ordered = Vec::new();
    for ms in (100..5_000).step_by(100) {
        let asks = play.input(ms, Input::Tick) == [Action::Ask];
        if asks {
            let behind = vec![leaving.clone(), status("b", Role::Replica, 3, 100)];
            ordered = play.input(ms + 10, Input::Asked(behind));
        }
        if !ordered.is_empty() {
            break;
        }
    }

    assert_eq!(ordered, [Action::Order { candidate: id("b"), token: 7 }]);
}

/// Found by a hunt: grown bluemahoe, mix --seed 21003398925. A copy that had been cut off for long was
/// promoted because the primary, which led and was busy, did not answer in time.
#[test]
fn nobody_is_promoted_while_an_instance_that_may_lead_is_late() {
    let missing = Sight { missing_for: Some(Duration::from_secs(3)), ..sight("a") };
    let mut play = Play::holder(missing);
    assert_eq!(play.input(10, Input::Tick), [Action::Probe]);

    assert_eq!(play.input(20, findings(Finding::Silent, Finding::Busy, Finding::Follows)), []);

    assert_eq!(play.duty.state_name(), "doubting");
}

#[test]
fn a_reason_that_has_passed_promotes_nobody() {
    let missing = Sight { missing_for: Some(Duration::from_secs(3)), ..sight("a") };
    let mut play = Play::holder(missing);
    assert_eq!(play.input(10, Input::Tick), [Action::Probe]);

    play.sight = sight("b");
    assert_eq!(
        play.input(20, findings(Finding::Silent, Finding::Silent, Finding::Follows)),
        [Action::Canvass]
    );

    assert_eq!(play.duty.state_name(), "doubting");
}

#[test]
fn a_late_instance_is_waited_for_before_one_that_holds_less_is_chosen() {
    let mut play = Play::holder(sight("a"));
    play.confirm_dead();
    let late = Asked { is_late: true, ..silent("b") };
    let asked = || vec![late.clone(), status("c", Role::Replica, 3, 10)];

    assert_eq!(play.input(210, Input::Asked(asked())), []);

    assert_eq!(play.duty.state_name(), "doubting");
}

#[test]
fn an_entry_that_lapsed_briefly_is_no_reason() {
    let missing = Sight { missing_for: Some(Duration::from_millis(2_400)), ..sight("a") };
    let mut play = Play::holder(missing);

    assert_eq!(play.input(10, Input::Tick), []);
    play.sight.missing_for = Some(Duration::from_millis(2_500));
    assert_eq!(play.input(110, Input::Tick), [Action::Probe]);
}

#[test]
fn a_new_holder_waits_for_the_lease_of_the_one_before() {
    let mut play = Play::new(sight("a")).with_lease(Duration::from_millis(2_000));
    assert_eq!(play.input(10, Input::Suspected(id("a"))), []);
    assert_eq!(play.input(900, Input::Tick), [Action::Probe]);
    let dead = || findings(Finding::Refused, Finding::Follows, Finding::Follows);
    assert_eq!(play.input(910, dead()), []);
    assert_eq!(play.input(1_020, dead()), [Action::Canvass]);
    assert_eq!(play.input(1_030, Input::Canvassed { failing: 2, answered: 0 }), []);
    assert_eq!(play.input(1_100, Input::Tick), [Action::Claim]);

    assert_eq!(play.input(1_110, Input::Claimed { token: 3 }), []);

    assert_eq!(play.input(3_000, Input::Tick), []);
    assert_eq!(play.input(3_200, Input::Tick), [Action::Ask]);
}

#[test]
fn replicas_that_were_stopped_get_a_promotion_even_if_the_primary_turns_out_to_live() {
    let mut play = Play::holder(sight("a"));
    play.duty.set_synchronous(true);
    play.confirm_dead();
    let unknown = vec![status("b", Role::Replica, 3, 90), silent("c")];
    assert_eq!(play.input(210, Input::Asked(unknown)), []);
    assert_eq!(play.input(450, Input::Tick), [Action::Probe]);

    assert_eq!(play.input(460, findings(Finding::Leads, Finding::Follows, Finding::Follows)), []);

    assert_eq!(play.input(500, Input::Tick), [Action::Ask]);
    let known = vec![status("b", Role::Replica, 3, 90), status("c", Role::Replica, 3, 91)];
    let ordered = play.input(510, Input::Asked(known));
    assert_eq!(ordered, [Action::Order { candidate: id("c"), token: 7 }]);
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
fn a_leaving_replica_leads_only_if_it_alone_holds_every_acknowledged_commit() {
    let ahead = Asked { is_draining: true, ..status("b", Role::Replica, 3, 91) };
    let all = [ahead, status("c", Role::Replica, 3, 90)];

    assert_eq!(choose_candidate(&all, Some("a"), true), Some(id("b")));
    assert_eq!(choose_candidate(&all, Some("a"), false), Some(id("c")));
}

#[test]
fn each_claim_raises_the_token_and_names_its_process() {
    let first = DutyRecord::claimed(None, &id("x"), 1, 10);
    let second = DutyRecord::claimed(Some(&first), &id("x"), 2, 20);

    assert_eq!((first.token, second.token), (1, 2));
    assert!(second.is_of("x", 2));
    assert!(!second.is_of("x", 1));
}

#[test]
fn the_instance_in_doubt_stays_the_same_when_the_directory_names_another() {
    let mut play = Play::holder(sight("a"));
    play.confirm_dead();

    play.sight = sight("b");
    play.input(205, Input::Tick);

    assert_eq!(play.duty.failed(), Some(&id("a")));
}

#[test]
fn a_candidate_that_the_directory_calls_primary_is_not_passed_over_for_one_that_lacks_commits() {
    let mut play = Play::holder(sight("a"));
    play.duty.set_synchronous(true);
    play.confirm_dead();
    play.sight = sight("b");

    let asked = vec![status("b", Role::Replica, 1, 9), status("c", Role::Replica, 1, 5)];
    let actions = play.input(210, Input::Asked(asked));

    assert_eq!(actions, [Action::Order { candidate: id("b"), token: 7 }]);
}

#[test]
fn nobody_is_promoted_over_a_successor_that_another_daemon_has_ordered() {
    let mut play = Play::holder(sight("a"));
    play.confirm_dead();
    play.sight = sight("b");

    let asked = vec![status("b", Role::Primary, 2, 9), status("c", Role::Replica, 2, 5)];
    let actions = play.input(210, Input::Asked(asked));

    assert_eq!(actions, []);
    assert!(play.duty.is_calm());
}
