//! The failover machine alone, driven by events.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use persimmon_failover::{Failover, Omission, Rules};
use persimmon_kernel::{
    Action, Event, GroupSeen, Kernel, Order, OrderFailure, ProbeFailure, TableSeen,
};
use persimmon_rollout::Rollout;
use persimmon_types::{DaemonId, GroupRecord, Lsn, Position, Term, Time};

const TABLE: &str = "\
[place],name,region
place,p,r
[service],name,replica_reads,staleness_ms,queue,daemons
service,s,yes,10000,100,3
[instance],name,service,place,address,read_weight,connections,slots,state
instance,i0,s,p,127.0.0.1:7000,100,70,5,serving
instance,i1,s,p,127.0.0.1:7001,100,70,5,serving
instance,i2,s,p,127.0.0.1:7002,100,70,5,serving
[kind],name,length,wait_ms,deadline_ms
kind,default,short,1000,30000
";

/// A kernel whose daemon holds the first reservation, and what it asked for.
struct Machine {
    kernel: Kernel,
    now: Time,
    actions: Vec<Action>,
}

impl Machine {
    fn new(omit: Omission) -> Self {
        let me = DaemonId::new("d0");
        let address = SocketAddr::from(([127, 0, 0, 1], 8_000));
        let rules = Rules::new().with_omission(omit);
        let kernel = Kernel::with_plugins(
            me.clone(),
            address,
            7,
            vec![Box::new(Rollout::new()), Box::new(Failover::with_rules(rules))],
        );
        let mut machine = Self { kernel, now: Time::from_millis(1_000), actions: Vec::new() };
        machine.tell(Event::Table(TableSeen { version: 1, text: Arc::from(TABLE) }));
        let mut record = GroupRecord::new("s", "i0");
        record.reserve(&[me]);
        machine.tell(Event::Group(GroupSeen { version: 2, record }));
        machine
    }

    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.kernel.handle(self.now, &event, &mut actions);
        self.actions.extend(actions);
    }

    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + Duration::from_millis(20);
            self.tell(Event::Tick);
        }
    }

    /// Lets the primary refuse every probe until a seal is ordered.
    fn lose_primary(&mut self) {
        for _ in 0..50 {
            self.pass(Duration::from_millis(20));
            let sent = self.now;
            let outcome = Err(ProbeFailure::Refused);
            self.tell(Event::Probed { instance: Arc::from("i0"), sent, outcome });
            if !self.orders().is_empty() {
                return;
            }
        }
    }

    /// The orders since the last call, with their instances.
    fn orders(&mut self) -> Vec<(String, Order)> {
        let mut orders = Vec::new();
        for action in self.actions.drain(..) {
            if let Action::Order { instance, order, .. } = action {
                orders.push((instance.to_string(), order));
            }
        }
        orders
    }

    fn sealed(&mut self, instance: &str, lsn: u64) {
        let outcome = Ok(Position::new(Term(1), Lsn(lsn)));
        self.tell(Event::Sealed { instance: Arc::from(instance), term: Term(2), outcome });
    }

    /// The instances whose promotion was ordered under a term since the last call.
    fn promotions(&mut self, wanted: Term) -> Vec<String> {
        let orders = self.orders().into_iter();
        let promotions = orders
            .filter(|(_, order)| matches!(order, Order::Promote { term, .. } if *term == wanted));
        promotions.map(|(instance, _)| instance).collect()
    }
}

#[test]
fn a_promotion_follows_the_seal_of_a_majority_and_goes_to_the_highest() {
    // Arrange
    let mut machine = Machine::new(Omission::Nothing);
    machine.lose_primary();

    // Act and assert: one sealed instance is no majority.
    machine.sealed("i1", 5);
    machine.pass(Duration::from_millis(400));
    assert!(machine.promotions(Term(2)).is_empty());

    // Act and assert: two are, and the higher one is chosen.
    machine.sealed("i2", 7);
    machine.pass(Duration::from_millis(200));
    let promoted = machine.promotions(Term(2));
    assert!(!promoted.is_empty() && promoted.iter().all(|i| i == "i2"), "{promoted:?}");
}

/// The instances promoted under one term when the first does not answer and the old primary
/// returns.
fn promoted_when_the_first_is_silent(omit: Omission) -> Vec<String> {
    let mut machine = Machine::new(omit);
    machine.lose_primary();
    machine.sealed("i1", 5);
    machine.sealed("i2", 7);
    let mut promoted = Vec::new();
    for _ in 0..20 {
        machine.pass(Duration::from_millis(200));
        promoted.extend(machine.promotions(Term(2)));
        let outcome = Err(OrderFailure::Unknown);
        let instance = Arc::from("i2");
        machine.tell(Event::Promoted { instance, term: Term(2), outcome });
        // A second seal of the same term finds the other two.
        machine.sealed("i0", 5);
        machine.sealed("i1", 5);
    }
    promoted.sort();
    promoted.dedup();
    promoted
}

#[test]
fn under_one_term_only_one_instance_is_ever_promoted() {
    assert_eq!(promoted_when_the_first_is_silent(Omission::Nothing), ["i2"]);
    assert!(promoted_when_the_first_is_silent(Omission::OneTargetPerTerm).len() > 1);
}

#[test]
fn a_term_that_was_superseded_is_given_up() {
    // Arrange
    let mut machine = Machine::new(Omission::Nothing);
    machine.lose_primary();

    // Act
    let outcome = Err(OrderFailure::Superseded(Term(9)));
    machine.tell(Event::Sealed { instance: Arc::from("i1"), term: Term(2), outcome });
    machine.sealed("i1", 5);
    machine.sealed("i2", 5);
    machine.pass(Duration::from_millis(200));

    // Assert
    assert!(machine.promotions(Term(2)).is_empty());
}
