//! The daemons' side of a run: calls to instances and to the store, peer messages and replication.

use std::sync::Arc;
use std::time::Duration;

use persimmon_kernel::{Action, CommandFailure, ControlCommand, Event, ProbeFailure, StoreOutcome};
use persimmon_types::Time;

use super::{
    COMMAND_TIMEOUT, DAEMONS, Delivery, PROBE_TIMEOUT, REPLICATION_INTERVAL, STORE_DELAY,
    STORE_TIMEOUT, Simulation, daemon, instance_name,
};

impl Simulation {
    fn start_call(&mut self, k: usize, limit: Duration, on_timeout: Event) -> u64 {
        self.sequence += 1;
        let call = self.sequence;
        self.pending_calls.insert(call, false);
        self.schedule_at(self.now + limit, Delivery::Timeout(k, call, on_timeout));
        call
    }

    pub(super) fn execute_action(&mut self, k: usize, action: Action) {
        match action {
            Action::Probe { instance, address } => {
                let i = usize::from(address.port()) - 7_000;
                let sent = self.now;
                let outcome = Err(ProbeFailure::TimedOut);
                let on_timeout = Event::Probed { instance, sent, outcome };
                let call = self.start_call(k, PROBE_TIMEOUT, on_timeout);
                if !self.loses_requests(k) {
                    self.schedule_soon(Delivery::Probe(k, i, sent, call));
                }
            }
            Action::Command { instance, address, command } => {
                let i = usize::from(address.port()) - 7_000;
                let outcome = Err(CommandFailure::Unknown);
                let on_timeout = match &command {
                    ControlCommand::Seal { term, .. } => {
                        Event::Sealed { instance, term: *term, outcome }
                    }
                    ControlCommand::Promote { term, .. } => {
                        Event::Promoted { instance, term: *term, outcome }
                    }
                    ControlCommand::Follow { .. } => Event::Tick,
                };
                let call = self.start_call(k, COMMAND_TIMEOUT, on_timeout);
                if !self.loses_requests(k) {
                    self.schedule_soon(Delivery::Command(k, i, command, call));
                }
            }
            Action::StoreWrite { request, .. } | Action::StoreRead { request, .. } => {
                let outcome = StoreOutcome::Unavailable;
                let call = self.start_call(k, STORE_TIMEOUT, Event::Store { request, outcome });
                self.schedule_soon(Delivery::Store(k, action, call));
            }
            Action::Send { to, message, .. } => {
                let target = (0..DAEMONS).find(|i| daemon(*i) == to);
                let Some(target) = target.filter(|t| !self.dead[*t]) else {
                    self.schedule_soon(Delivery::Kernel(k, Event::PeerUnreachable(to)));
                    return;
                };
                if self.peers_partitioned_until > self.now {
                    self.schedule_soon(Delivery::Kernel(k, Event::PeerUnreachable(to)));
                    return;
                }
                let from = daemon(k);
                self.schedule_soon(Delivery::Kernel(target, Event::Peer { from, message }));
            }
            Action::Record(kind) => {
                self.report.timeline.push((self.now.as_micros() / 1_000, k, kind));
            }
            Action::Watch(_) | Action::Publish => {}
        }
    }

    fn loses_requests(&self, k: usize) -> bool {
        self.coordinator_requests_lost_until > self.now && k == self.coordinator()
    }

    fn respond(&mut self, k: usize, call: u64, event: Event) {
        if self.coordinator_responses_lost_until > self.now && k == self.coordinator() {
            return;
        }
        self.schedule_soon(Delivery::Response(k, call, event));
    }

    pub(super) fn run_command(&mut self, k: usize, i: usize, command: ControlCommand, call: u64) {
        if !self.instances[i].is_up {
            return;
        }
        if self.instances[i].frozen_until > self.now {
            // A command that reaches a frozen instance takes effect when the instance resumes.
            self.schedule_at(
                self.instances[i].frozen_until,
                Delivery::Command(k, i, command, call),
            );
            return;
        }
        let instance: Arc<str> = Arc::from(instance_name(i));
        let target = &mut self.instances[i];
        let event = match command {
            ControlCommand::Seal { term, coordinator } => {
                let outcome = target.seal(term, coordinator.as_str());
                Event::Sealed { instance, term, outcome }
            }
            ControlCommand::Promote { term, coordinator } => {
                let outcome = target.promote(term, coordinator.as_str());
                Event::Promoted { instance, term, outcome }
            }
            ControlCommand::Follow { term, address, .. } => {
                target.follow(term, usize::from(address.port()) - 7_000);
                Event::Tick
            }
        };
        self.checker.observe(&self.instances);
        self.respond(k, call, event);
    }

    pub(super) fn probe(&mut self, k: usize, i: usize, sent: Time, call: u64) {
        let instance: Arc<str> = Arc::from(instance_name(i));
        if self.instances[i].frozen_until > self.now {
            return;
        }
        let outcome = if self.instances[i].is_up {
            Ok(self.instances[i].status(self.now))
        } else {
            Err(ProbeFailure::Refused)
        };
        self.respond(k, call, Event::Probed { instance, sent, outcome });
    }

    pub(super) fn store_call(&mut self, k: usize, action: &Action, call: u64) {
        if self.store.down_until > self.now {
            return;
        }
        let (request, outcome) = match action {
            Action::StoreWrite { request, key, expect, value } => {
                let outcome = self.store.write(key, *expect, value);
                if self.store.responses_lost_until > self.now {
                    return;
                }
                (*request, outcome)
            }
            Action::StoreRead { request, key } => (*request, self.store.read(key)),
            _ => return,
        };
        let event = Event::Store { request, outcome };
        if self.store.slow_until > self.now {
            self.schedule_at(self.now + STORE_DELAY, Delivery::Response(k, call, event));
            return;
        }
        self.respond(k, call, event);
    }

    pub(super) fn replicate(&mut self, f: usize) {
        self.schedule_at(self.now + REPLICATION_INTERVAL, Delivery::Replicate(f));
        let follower = &self.instances[f];
        let Some(p) = follower.follows.filter(|_| !follower.is_primary) else {
            return;
        };
        let primary = &self.instances[p];
        let is_connected = follower.is_up
            && primary.is_up
            && follower.frozen_until <= self.now
            && primary.frozen_until <= self.now
            && primary.replication_cut_until <= self.now;
        let is_same_term = primary.is_primary
            && primary.term == follower.term
            && follower.sealed_term <= follower.term;
        if !is_connected || !is_same_term {
            return;
        }
        // The request acknowledges the follower's log; the response carries the new entries.
        let mut follower = std::mem::take(&mut self.instances[f]);
        let primary = &mut self.instances[p];
        let acknowledged =
            if follower.is_prefix_of(primary) { follower.log.len() as u64 } else { 0 };
        primary.followers.insert(f, (acknowledged, self.now));
        if follower.lagging_until <= self.now {
            follower.copy_log(primary);
        }
        self.instances[f] = follower;
    }
}
