//! The state machine of one request, driven by inputs.

use std::sync::Arc;
use std::time::Duration;

use persimmon_request::{
    Access, Env, Exchange, GroupView, Input, Knowledge, LeastOutstanding, Proof, Request,
    RetryBudget, Session, Step, View,
};
use persimmon_table::Table;
use persimmon_types::{InstanceId, Lsn, Position, ServiceId, Term, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const NOW: Time = Time::from_millis(1_000);

fn view() -> View {
    let table = Table::parse(include_str!("../../../examples/blue-mahoe/table.csv")).unwrap();
    let primary = Some(InstanceId::new(0));
    let group = GroupView { term: Term(1), primary, ..GroupView::default() };
    View { table: Arc::new(table), groups: vec![group], ..View::default() }
}

/// What follows when a read meets a replica proven by `proven` in a process of `met`.
fn step_after_connect(proven: u64, met: u64) -> Step {
    let (view, mut knowledge) = (view(), Knowledge::new());
    let floor = Position::new(Term(1), Lsn(7));
    let applied = Position::new(Term(1), Lsn(9));
    let proof = Proof { incarnation: proven, applied, age: Duration::ZERO, at: NOW };
    knowledge.prove(InstanceId::new(1), proof);
    let mut session = Session::new(NOW);
    session.take_token(NOW, floor);
    let mut exchange = Exchange::new(Request {
        service: ServiceId::new(0),
        access: Access::Read,
        max_age: Duration::from_secs(10),
        wait_until: NOW + Duration::from_secs(1),
    });
    let mut env = Env {
        now: NOW,
        view: &view,
        knowledge: &mut knowledge,
        policy: &mut LeastOutstanding,
        rng: &mut SmallRng::seed_from_u64(1),
        budget: &mut RetryBudget::new(),
    };
    let step = exchange.handle(&mut env, &mut session, Input::Start);
    assert_eq!(step, Step::Connect { instance: InstanceId::new(1), term: None });
    exchange.handle(&mut env, &mut session, Input::Connected(met))
}

#[test]
fn a_proof_counts_only_for_the_process_that_gave_it() {
    assert_eq!(step_after_connect(5, 5), Step::Send);
    assert_eq!(step_after_connect(5, 6), Step::Check, "the replica restarted since");
}
