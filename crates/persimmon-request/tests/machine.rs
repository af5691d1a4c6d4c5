//! The state machine of one request, driven by inputs.

use std::sync::Arc;
use std::time::Duration;

use persimmon_request::{
    Access, GroupSnapshot, Input, InstanceTracker, LeastOutstanding, PositionReport, Request,
    RequestContext, RequestMachine, RetryBudget, RoutingSnapshot, Session, Step,
};
use persimmon_table::Table;
use persimmon_types::{InstanceId, Lsn, Position, ServiceId, Term, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const NOW: Time = Time::from_millis(1_000);

fn routing_snapshot() -> RoutingSnapshot {
    let table = Table::parse(include_str!("../../../examples/blue-mahoe/table.csv")).unwrap();
    let primary = Some(InstanceId::new(0));
    let group = GroupSnapshot { term: Term(1), primary, ..GroupSnapshot::default() };
    RoutingSnapshot { table: Arc::new(table), groups: vec![group], ..RoutingSnapshot::default() }
}

/// The step after a read got a connection to a replica: the replica's last position report comes
/// from incarnation `reported`, the connection leads to incarnation `connected`.
fn step_after_connect(reported: u64, connected: u64) -> Step {
    let (snapshot, mut tracker) = (routing_snapshot(), InstanceTracker::new());
    let min_position = Position::new(Term(1), Lsn(7));
    let applied = Position::new(Term(1), Lsn(9));
    let report =
        PositionReport { incarnation: reported, applied, age: Duration::ZERO, requested_at: NOW };
    tracker.record_report(InstanceId::new(1), report);
    let mut session = Session::new(NOW);
    session.apply_token(NOW, min_position);
    let mut machine = RequestMachine::new(Request {
        service: ServiceId::new(0),
        access: Access::Read,
        max_age: Duration::from_secs(10),
        wait_until: NOW + Duration::from_secs(1),
    });
    let mut cx = RequestContext {
        now: NOW,
        snapshot: &snapshot,
        tracker: &mut tracker,
        policy: &mut LeastOutstanding,
        rng: &mut SmallRng::seed_from_u64(1),
        budget: &mut RetryBudget::new(),
    };
    let step = machine.handle(&mut cx, &mut session, Input::Start);
    assert_eq!(step, Step::Connect { instance: InstanceId::new(1), term: None });
    machine.handle(&mut cx, &mut session, Input::Connected(connected))
}

#[test]
fn position_report_is_valid_only_for_the_process_that_gave_it() {
    assert_eq!(step_after_connect(5, 5), Step::Send);
    assert_eq!(step_after_connect(5, 6), Step::CheckPosition, "the replica restarted since");
}
