//! The client's side of a run: what arrives at its daemon and at the instances.

use std::sync::Arc;
use std::time::Duration;

use persimmon_kernel::Event;
use persimmon_request::{Input, RequestContext, RoutingSnapshot, Step};
use persimmon_types::{Refusal, RefusalReason, Term, Time, Verdict};
use rand::Rng;

use super::{Delivery, RESPONSE_TIMEOUT, Simulation};
use crate::checker::{ReportedOutcome, Violation};
use crate::client::{
    Arrival, DONE, INCARNATION, START, TERM_REFUSED, index, is_final, position, position_report,
};

impl Simulation {
    pub(super) fn start_operation(&mut self) {
        if self.client.operation.is_some() {
            return;
        }
        let is_read = self.client.last_acknowledged.is_some() && self.sequence.is_multiple_of(2);
        let operation = self.client.begin(self.now, is_read);
        let serial = operation.serial;
        self.client.operation = Some(operation);
        self.schedule_soon(Delivery::Client(serial, START));
    }

    fn snapshot(&self) -> RoutingSnapshot {
        RoutingSnapshot::new(self.kernels[self.client.daemon].state(), 1)
    }

    pub(super) fn handle_arrival(&mut self, serial: u64, arrival: Arrival) {
        let daemon = self.client.daemon;
        if self.frozen_until[daemon] > self.now && matches!(arrival, Arrival::Input(_)) {
            self.schedule_at(self.frozen_until[daemon], Delivery::Client(serial, arrival));
            return;
        }
        if self.client.operation.as_ref().is_none_or(|o| o.serial != serial) {
            return;
        }
        match arrival {
            Arrival::Input(input) => self.handle_input(input),
            Arrival::Response(i, input) => {
                self.handle_input(if self.instances[i].is_up { input } else { Input::Lost });
            }
            Arrival::Accept(i, term) => self.accept_connection(serial, i, term),
            Arrival::Execute(i) => self.execute(serial, i),
            Arrival::CheckPosition(i) => {
                let instance = &self.instances[i];
                let report = position_report(instance.log_end(), self.now);
                let input =
                    if instance.is_up { Input::PositionChecked(report) } else { Input::Lost };
                self.reply(serial, i, input);
            }
            Arrival::SamplePrimary(i, term, since) => self.sample_primary(serial, i, term, since),
            Arrival::AwaitMajority(i, term, lsn, since) => {
                self.await_majority(serial, i, term, lsn, since);
            }
        }
    }

    /// Schedules the response of an instance; a frozen instance responds when it resumes.
    fn reply(&mut self, serial: u64, i: usize, input: Input) {
        let frozen_until = self.instances[i].frozen_until;
        let arrival = Arrival::Response(i, input);
        if frozen_until > self.now {
            self.schedule_at(frozen_until, Delivery::Client(serial, arrival));
            let lost = Arrival::Input(Input::Lost);
            self.schedule_at(self.now + RESPONSE_TIMEOUT, Delivery::Client(serial, lost));
            return;
        }
        self.schedule_soon(Delivery::Client(serial, arrival));
    }

    fn accepts_term(&self, i: usize, term: Option<Term>) -> bool {
        let instance = &self.instances[i];
        term.is_none_or(|t| instance.may_commit() && instance.term == t)
    }

    fn accept_connection(&mut self, serial: u64, i: usize, term: Option<Term>) {
        let is_accepted = self.instances[i].is_up && self.accepts_term(i, term);
        let is_frozen = self.instances[i].frozen_until > self.now;
        let input = if is_accepted && !is_frozen {
            Input::Connected(INCARNATION)
        } else {
            Input::ConnectFailed
        };
        if let Some(operation) = &mut self.client.operation {
            operation.connection = (input == Input::Connected(INCARNATION)).then_some((i, term));
        }
        let event = Event::PrimaryConnectionFailed {
            service: Arc::from("s"),
            term: term.unwrap_or_default(),
        };
        if input == Input::ConnectFailed && term.is_some() {
            self.schedule_soon(Delivery::Kernel(self.client.daemon, event));
        }
        self.schedule_soon(Delivery::Client(serial, Arrival::Input(input)));
    }

    fn execute(&mut self, serial: u64, i: usize) {
        let frozen_until = self.instances[i].frozen_until;
        if frozen_until > self.now {
            // The statement stays in the frozen instance's receive buffer and runs when it resumes.
            self.schedule_at(frozen_until, Delivery::Client(serial, Arrival::Execute(i)));
            let lost = Arrival::Input(Input::Lost);
            self.schedule_at(self.now + RESPONSE_TIMEOUT, Delivery::Client(serial, lost));
            return;
        }
        let Some(operation) = &mut self.client.operation else {
            return;
        };
        let term = operation.connection.and_then(|(_, term)| term);
        let instance = &mut self.instances[i];
        let is_accepted = term.is_none_or(|t| instance.may_commit() && instance.term == t);
        let input = if !instance.is_up {
            Input::Lost
        } else if !is_accepted {
            TERM_REFUSED
        } else if operation.is_write {
            instance.log.push((instance.term, operation.id));
            let lsn = instance.log.len() as u64;
            operation.committed = Some(position(instance.term, lsn));
            DONE
        } else {
            operation.saw_write = instance.log.iter().any(|(_, id)| *id == operation.id);
            DONE
        };
        self.reply(serial, i, input);
    }

    fn sample_primary(&mut self, serial: u64, i: usize, term: Term, since: Time) {
        let instance = &self.instances[i];
        let is_accepted = instance.is_up && self.accepts_term(i, Some(term));
        let is_late = self.now.since(since) > RESPONSE_TIMEOUT;
        if !is_accepted || is_late {
            self.schedule_soon(Delivery::Client(serial, Arrival::Input(Input::SampleFailed)));
        } else if instance.frozen_until <= self.now && instance.heard_majority_since(since) {
            let end = instance.log_end();
            self.schedule_soon(Delivery::Client(
                serial,
                Arrival::Input(Input::PrimarySampled(end)),
            ));
        } else {
            self.schedule_soon(Delivery::Client(serial, Arrival::SamplePrimary(i, term, since)));
        }
    }

    fn await_majority(&mut self, serial: u64, i: usize, term: Term, lsn: u64, since: Time) {
        let instance = &self.instances[i];
        let is_accepted = instance.is_up && self.accepts_term(i, Some(term));
        let is_late = self.now.since(since) > RESPONSE_TIMEOUT;
        if !is_accepted || is_late {
            self.schedule_soon(Delivery::Client(
                serial,
                Arrival::Response(i, Input::MajorityNotReached),
            ));
        } else if instance.frozen_until <= self.now && instance.has_majority_at(lsn) {
            let acknowledged = Input::MajorityAcknowledged(Some(position(term, lsn)));
            self.schedule_soon(Delivery::Client(serial, Arrival::Response(i, acknowledged)));
        } else {
            self.schedule_soon(Delivery::Client(
                serial,
                Arrival::AwaitMajority(i, term, lsn, since),
            ));
        }
    }

    fn handle_input(&mut self, input: Input) {
        let snapshot = self.snapshot();
        let Some(mut operation) = self.client.operation.take() else {
            return;
        };
        if matches!(operation.machine.stage(), "sent" | "holding") && input == Input::Cancelled {
            // The cancellation of a running request goes to the instance, which still responds.
            self.client.operation = Some(operation);
            return;
        }
        let mut context = RequestContext {
            now: self.now,
            snapshot: &snapshot,
            tracker: &mut self.traffic.tracker,
            policy: &mut self.traffic.policy,
            rng: &mut self.traffic.rng,
            budget: &mut self.traffic.budget,
        };
        let step = operation.machine.handle(&mut context, &mut self.client.session, input);
        self.client.serial += 1;
        operation.serial = self.client.serial;
        if is_final(step) {
            self.finish_operation(&operation, step);
            return;
        }
        let serial = operation.serial;
        let connection = operation.connection;
        let committed = operation.committed;
        self.client.operation = Some(operation);
        self.start_step(serial, step, connection.map(|(i, _)| i), committed);
    }

    fn start_step(
        &mut self,
        serial: u64,
        step: Step,
        connection: Option<usize>,
        committed: Option<persimmon_types::Position>,
    ) {
        let arrival = match (step, connection) {
            (Step::SamplePrimary { primary, term }, _) => {
                Arrival::SamplePrimary(index(primary), term, self.now)
            }
            (Step::Connect { instance, term }, _) => Arrival::Accept(index(instance), term),
            (Step::CheckPosition, Some(i)) => Arrival::CheckPosition(i),
            (Step::Send, Some(i)) => Arrival::Execute(i),
            (Step::AwaitMajority, Some(i)) => match committed {
                Some(at) => Arrival::AwaitMajority(i, at.term, at.lsn.0, self.now),
                None => Arrival::Input(Input::MajorityAcknowledged(None)),
            },
            (Step::Wait { until }, _) => {
                self.schedule_at(until, Delivery::Client(serial, Arrival::Input(Input::Woken)));
                return;
            }
            _ => Arrival::Input(Input::Lost),
        };
        self.schedule_soon(Delivery::Client(serial, arrival));
    }

    fn finish_operation(&mut self, operation: &crate::client::Operation, step: Step) {
        match step {
            Step::Deliver(_) if operation.is_write => {
                self.checker.reported.insert(operation.id, ReportedOutcome::Acknowledged);
                self.client.last_acknowledged = Some(operation.id);
                self.last_acknowledged_at = self.now;
            }
            Step::Deliver(_) => {
                self.report.reads += 1;
                if !operation.saw_write {
                    self.checker.violations.insert(Violation::StaleRead(operation.id));
                }
            }
            Step::Refuse(Refusal { verdict, reason }) if operation.is_write => {
                let reported = match verdict {
                    Verdict::NotRun => ReportedOutcome::NotRun,
                    Verdict::MayHaveRun => ReportedOutcome::MayHaveRun,
                };
                debug_assert!(reason != RefusalReason::UnknownService);
                self.checker.reported.insert(operation.id, reported);
            }
            _ => {}
        }
        let pause = Duration::from_millis(self.rng.random_range(4..16));
        self.schedule_at(self.now + pause, Delivery::NextOperation);
    }
}
