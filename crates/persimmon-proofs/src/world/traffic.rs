//! The caller's side of a run: what arrives at its daemon and at the instances.

use std::sync::Arc;
use std::time::Duration;

use persimmon_kernel::Event;
use persimmon_request::{Env, Input, Step, View};
use persimmon_types::{Reason, Refusal, Term, Time, Verdict};
use rand::Rng;

use super::{ANSWER_TIMEOUT, Delivery, World};
use crate::caller::{
    Arrival, DONE, INCARNATION, START, TERM_REFUSED, index, is_final, position, proof,
};
use crate::checker::{Told, Violation};

impl World {
    pub(super) fn next_operation(&mut self) {
        if self.caller.operation.is_some() {
            return;
        }
        let reads = self.caller.last_acknowledged.is_some() && self.sequence.is_multiple_of(2);
        let operation = self.caller.begin(self.now, reads);
        let serial = operation.serial;
        self.caller.operation = Some(operation);
        self.soon(Delivery::Caller(serial, START));
    }

    fn view(&self) -> View {
        View::of(self.kernels[self.caller.daemon].shared(), 1)
    }

    pub(super) fn arrive(&mut self, serial: u64, arrival: Arrival) {
        let daemon = self.caller.daemon;
        if self.frozen_until[daemon] > self.now && matches!(arrival, Arrival::Input(_)) {
            self.at(self.frozen_until[daemon], Delivery::Caller(serial, arrival));
            return;
        }
        if self.caller.operation.as_ref().is_none_or(|o| o.serial != serial) {
            return;
        }
        match arrival {
            Arrival::Input(input) => self.feed(input),
            Arrival::Reply(i, input) => {
                self.feed(if self.instances[i].up { input } else { Input::Lost });
            }
            Arrival::Accept(i, term) => self.accept(serial, i, term),
            Arrival::Execute(i) => self.execute(serial, i),
            Arrival::Check(i) => {
                let instance = &self.instances[i];
                let proof = proof(instance.end(), self.now);
                let input = if instance.up { Input::Checked(proof) } else { Input::Lost };
                self.reply(serial, i, input);
            }
            Arrival::Confirm(i, term, since) => self.confirm(serial, i, term, since),
            Arrival::Hold(i, term, lsn, since) => self.hold(serial, i, term, lsn, since),
        }
    }

    /// The answer of an instance; one that is frozen answers when it wakes.
    fn reply(&mut self, serial: u64, i: usize, input: Input) {
        let frozen = self.instances[i].frozen_until;
        let arrival = Arrival::Reply(i, input);
        if frozen > self.now {
            self.at(frozen, Delivery::Caller(serial, arrival));
            let lost = Arrival::Input(Input::Lost);
            self.at(self.now + ANSWER_TIMEOUT, Delivery::Caller(serial, lost));
            return;
        }
        self.soon(Delivery::Caller(serial, arrival));
    }

    fn is_fit(&self, i: usize, term: Option<Term>) -> bool {
        let instance = &self.instances[i];
        term.is_none_or(|t| instance.may_commit() && instance.term == t)
    }

    fn accept(&mut self, serial: u64, i: usize, term: Option<Term>) {
        let fits = self.instances[i].up && self.is_fit(i, term);
        let frozen = self.instances[i].frozen_until > self.now;
        let input =
            if fits && !frozen { Input::Connected(INCARNATION) } else { Input::ConnectFailed };
        if let Some(operation) = &mut self.caller.operation {
            operation.held = (input == Input::Connected(INCARNATION)).then_some((i, term));
        }
        let event =
            Event::TrafficSuspects { service: Arc::from("s"), term: term.unwrap_or_default() };
        if input == Input::ConnectFailed && term.is_some() {
            self.soon(Delivery::Kernel(self.caller.daemon, event));
        }
        self.soon(Delivery::Caller(serial, Arrival::Input(input)));
    }

    fn execute(&mut self, serial: u64, i: usize) {
        let frozen = self.instances[i].frozen_until;
        if frozen > self.now {
            // The statement waits in the frozen instance's buffers, and runs when it wakes.
            self.at(frozen, Delivery::Caller(serial, Arrival::Execute(i)));
            let lost = Arrival::Input(Input::Lost);
            self.at(self.now + ANSWER_TIMEOUT, Delivery::Caller(serial, lost));
            return;
        }
        let Some(operation) = &mut self.caller.operation else {
            return;
        };
        let term = operation.held.and_then(|(_, term)| term);
        let instance = &mut self.instances[i];
        let fits = term.is_none_or(|t| instance.may_commit() && instance.term == t);
        let input = if !instance.up {
            Input::Lost
        } else if !fits {
            TERM_REFUSED
        } else if operation.is_write {
            instance.log.push((instance.term, operation.id));
            let lsn = instance.log.len() as u64;
            operation.committed = Some(position(instance.term, lsn));
            DONE
        } else {
            operation.shown = instance.log.iter().any(|(_, id)| *id == operation.id);
            DONE
        };
        self.reply(serial, i, input);
    }

    fn confirm(&mut self, serial: u64, i: usize, term: Term, since: Time) {
        let instance = &self.instances[i];
        let fits = instance.up && self.is_fit(i, Some(term));
        let is_late = self.now.since(since) > ANSWER_TIMEOUT;
        if !fits || is_late {
            self.soon(Delivery::Caller(serial, Arrival::Input(Input::NotConfirmed)));
        } else if instance.frozen_until <= self.now && instance.is_confirmed(since) {
            let end = instance.end();
            self.soon(Delivery::Caller(serial, Arrival::Input(Input::Confirmed(end))));
        } else {
            self.soon(Delivery::Caller(serial, Arrival::Confirm(i, term, since)));
        }
    }

    fn hold(&mut self, serial: u64, i: usize, term: Term, lsn: u64, since: Time) {
        let instance = &self.instances[i];
        let fits = instance.up && self.is_fit(i, Some(term));
        let is_late = self.now.since(since) > ANSWER_TIMEOUT;
        if !fits || is_late {
            self.soon(Delivery::Caller(serial, Arrival::Reply(i, Input::NotHeld)));
        } else if instance.frozen_until <= self.now && instance.is_held(lsn) {
            let held = Input::Held(Some(position(term, lsn)));
            self.soon(Delivery::Caller(serial, Arrival::Reply(i, held)));
        } else {
            self.soon(Delivery::Caller(serial, Arrival::Hold(i, term, lsn, since)));
        }
    }

    fn feed(&mut self, input: Input) {
        let view = self.view();
        let Some(mut operation) = self.caller.operation.take() else {
            return;
        };
        if matches!(operation.exchange.stage(), "sent" | "holding") && input == Input::Cancelled {
            // A cancel of a running request goes to the instance, and its answer comes as ever.
            self.caller.operation = Some(operation);
            return;
        }
        let mut env = Env {
            now: self.now,
            view: &view,
            knowledge: &mut self.mind.knowledge,
            policy: &mut self.mind.policy,
            rng: &mut self.mind.rng,
            budget: &mut self.mind.budget,
        };
        let step = operation.exchange.handle(&mut env, &mut self.caller.session, input);
        self.caller.serial += 1;
        operation.serial = self.caller.serial;
        if is_final(step) {
            self.conclude(&operation, step);
            return;
        }
        let serial = operation.serial;
        let held = operation.held;
        let committed = operation.committed;
        self.caller.operation = Some(operation);
        self.take_step(serial, step, held.map(|(i, _)| i), committed);
    }

    fn take_step(
        &mut self,
        serial: u64,
        step: Step,
        held: Option<usize>,
        committed: Option<persimmon_types::Position>,
    ) {
        let arrival = match (step, held) {
            (Step::Confirm { primary, term }, _) => {
                Arrival::Confirm(index(primary), term, self.now)
            }
            (Step::Connect { instance, term }, _) => Arrival::Accept(index(instance), term),
            (Step::Check, Some(i)) => Arrival::Check(i),
            (Step::Send, Some(i)) => Arrival::Execute(i),
            (Step::Hold, Some(i)) => match committed {
                Some(at) => Arrival::Hold(i, at.term, at.lsn.0, self.now),
                None => Arrival::Input(Input::Held(None)),
            },
            (Step::Wait { until }, _) => {
                self.at(until, Delivery::Caller(serial, Arrival::Input(Input::Woken)));
                return;
            }
            _ => Arrival::Input(Input::Lost),
        };
        self.soon(Delivery::Caller(serial, arrival));
    }

    fn conclude(&mut self, operation: &crate::caller::Operation, step: Step) {
        match step {
            Step::Deliver(_) if operation.is_write => {
                self.checker.told.insert(operation.id, Told::Acknowledged);
                self.caller.last_acknowledged = Some(operation.id);
                self.last_acknowledged_at = self.now;
            }
            Step::Deliver(_) => {
                self.report.reads += 1;
                if !operation.shown {
                    self.checker.violations.insert(Violation::StaleRead(operation.id));
                }
            }
            Step::Refuse(Refusal { verdict, reason }) if operation.is_write => {
                let told = match verdict {
                    Verdict::NotRun => Told::NotRun,
                    Verdict::MayHaveRun => Told::MayHaveRun,
                };
                debug_assert!(reason != Reason::UnknownService);
                self.checker.told.insert(operation.id, told);
            }
            _ => {}
        }
        let pause = Duration::from_millis(self.rng.random_range(4..16));
        self.at(self.now + pause, Delivery::NextOperation);
    }
}
