//! The failover plug-in in a kernel, driven by events.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use persimmon_failover::{DisabledSafeguard, Failover, FailoverConfig};
use persimmon_kernel::{
    Action, CommandFailure, ControlCommand, Event, Kernel, ProbeFailure, VersionedGroupRecord,
    VersionedTable,
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

/// A kernel whose daemon has the first reserved term, and the actions that it requested.
struct Machine {
    kernel: Kernel,
    now: Time,
    actions: Vec<Action>,
}

impl Machine {
    fn new(disabled: DisabledSafeguard) -> Self {
        let me = DaemonId::new("d0");
        let address = SocketAddr::from(([127, 0, 0, 1], 8_000));
        let config = FailoverConfig::new().with_disabled_safeguard(disabled);
        let kernel = Kernel::with_plugins(
            me.clone(),
            address,
            7,
            vec![Box::new(Rollout::new()), Box::new(Failover::with_config(config))],
        );
        let mut machine = Self { kernel, now: Time::from_millis(1_000), actions: Vec::new() };
        machine.handle_event(Event::Table(VersionedTable { version: 1, text: Arc::from(TABLE) }));
        let mut record = GroupRecord::new("s", "i0");
        record.reserve_terms(&[me]);
        machine.handle_event(Event::Group(VersionedGroupRecord { version: 2, record }));
        machine
    }

    fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.kernel.handle(self.now, &event, &mut actions);
        self.actions.extend(actions);
    }

    fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + Duration::from_millis(20);
            self.handle_event(Event::Tick);
        }
    }

    /// Fails every probe of the primary until control commands are sent.
    fn fail_primary(&mut self) {
        for _ in 0..50 {
            self.advance(Duration::from_millis(20));
            let sent = self.now;
            let outcome = Err(ProbeFailure::Refused);
            self.handle_event(Event::Probed { instance: Arc::from("i0"), sent, outcome });
            if !self.take_commands().is_empty() {
                return;
            }
        }
    }

    /// The control commands since the last call, with their instances.
    fn take_commands(&mut self) -> Vec<(String, ControlCommand)> {
        let mut commands = Vec::new();
        for action in self.actions.drain(..) {
            if let Action::Command { instance, command, .. } = action {
                commands.push((instance.to_string(), command));
            }
        }
        commands
    }

    fn report_sealed(&mut self, instance: &str, lsn: u64) {
        let outcome = Ok(Position::new(Term(1), Lsn(lsn)));
        self.handle_event(Event::Sealed { instance: Arc::from(instance), term: Term(2), outcome });
    }

    /// The instances that were sent a promote command in a term since the last call.
    fn take_promotions(&mut self, expected: Term) -> Vec<String> {
        let commands = self.take_commands().into_iter();
        let promotions = commands.filter(
            |(_, c)| matches!(c, ControlCommand::Promote { term, .. } if *term == expected),
        );
        promotions.map(|(instance, _)| instance).collect()
    }
}

#[test]
fn highest_of_a_sealed_majority_is_promoted() {
    // Arrange
    let mut machine = Machine::new(DisabledSafeguard::None);
    machine.fail_primary();

    // Act and assert: one sealed instance is not a majority.
    machine.report_sealed("i1", 5);
    machine.advance(Duration::from_millis(400));
    assert!(machine.take_promotions(Term(2)).is_empty());

    // Act and assert: two are a majority, and the one with the higher position is promoted.
    machine.report_sealed("i2", 7);
    machine.advance(Duration::from_millis(200));
    let promoted = machine.take_promotions(Term(2));
    assert!(!promoted.is_empty() && promoted.iter().all(|i| i == "i2"), "{promoted:?}");
}

/// The instances promoted in one term if the first one does not answer and the old primary returns.
fn promoted_if_first_does_not_answer(disabled: DisabledSafeguard) -> Vec<String> {
    let mut machine = Machine::new(disabled);
    machine.fail_primary();
    machine.report_sealed("i1", 5);
    machine.report_sealed("i2", 7);
    let mut promoted = Vec::new();
    for _ in 0..20 {
        machine.advance(Duration::from_millis(200));
        promoted.extend(machine.take_promotions(Term(2)));
        let outcome = Err(CommandFailure::Unknown);
        let instance = Arc::from("i2");
        machine.handle_event(Event::Promoted { instance, term: Term(2), outcome });
        // A second attempt in the same term would seal the other two instances.
        machine.report_sealed("i0", 5);
        machine.report_sealed("i1", 5);
    }
    promoted.sort();
    promoted.dedup();
    promoted
}

#[test]
fn only_one_instance_is_promoted_per_term() {
    assert_eq!(promoted_if_first_does_not_answer(DisabledSafeguard::None), ["i2"]);
    assert!(promoted_if_first_does_not_answer(DisabledSafeguard::OneTargetPerTerm).len() > 1);
}

#[test]
fn superseded_term_is_abandoned() {
    // Arrange
    let mut machine = Machine::new(DisabledSafeguard::None);
    machine.fail_primary();

    // Act
    let outcome = Err(CommandFailure::Superseded(Term(9)));
    machine.handle_event(Event::Sealed { instance: Arc::from("i1"), term: Term(2), outcome });
    machine.report_sealed("i1", 5);
    machine.report_sealed("i2", 5);
    machine.advance(Duration::from_millis(200));

    // Assert
    assert!(machine.take_promotions(Term(2)).is_empty());
}
