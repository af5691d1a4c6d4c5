//! The daemons' side of a run: calls of instances and of the store, messages and replication.

use std::sync::Arc;
use std::time::Duration;

use persimmon_kernel::{Action, Event, Order, OrderFailure, ProbeFailure, StoreOutcome};
use persimmon_types::Time;

use super::{
    DAEMONS, Delivery, ORDER_TIMEOUT, PROBE_TIMEOUT, REPLICATION, STORE_SLOWNESS, STORE_TIMEOUT,
    World, daemon, instance_name,
};

impl World {
    fn call(&mut self, k: usize, limit: Duration, otherwise: Event) -> u64 {
        self.sequence += 1;
        let call = self.sequence;
        self.answered.insert(call, false);
        self.at(self.now + limit, Delivery::Timeout(k, call, otherwise));
        call
    }

    pub(super) fn carry_out(&mut self, k: usize, action: Action) {
        match action {
            Action::Probe { instance, address } => {
                let i = usize::from(address.port()) - 7_000;
                let sent = self.now;
                let outcome = Err(ProbeFailure::TimedOut);
                let otherwise = Event::Probed { instance, sent, outcome };
                let call = self.call(k, PROBE_TIMEOUT, otherwise);
                if !self.is_cut_out(k) {
                    self.soon(Delivery::Probe(k, i, sent, call));
                }
            }
            Action::Order { instance, address, order } => {
                let i = usize::from(address.port()) - 7_000;
                let outcome = Err(OrderFailure::Unknown);
                let otherwise = match &order {
                    Order::Seal { term, .. } => Event::Sealed { instance, term: *term, outcome },
                    Order::Promote { term, .. } => {
                        Event::Promoted { instance, term: *term, outcome }
                    }
                    Order::Follow { .. } => Event::Tick,
                };
                let call = self.call(k, ORDER_TIMEOUT, otherwise);
                if !self.is_cut_out(k) {
                    self.soon(Delivery::Order(k, i, order, call));
                }
            }
            Action::StoreWrite { request, .. } | Action::StoreRead { request, .. } => {
                let outcome = StoreOutcome::Unavailable;
                let call = self.call(k, STORE_TIMEOUT, Event::Store { request, outcome });
                self.soon(Delivery::Store(k, action, call));
            }
            Action::Send { to, message, .. } => {
                let target = (0..DAEMONS).find(|i| daemon(*i) == to);
                let Some(target) = target.filter(|t| !self.dead[*t]) else {
                    self.soon(Delivery::Kernel(k, Event::PeerLost(to)));
                    return;
                };
                if self.cut_peers_until > self.now {
                    self.soon(Delivery::Kernel(k, Event::PeerLost(to)));
                    return;
                }
                let from = daemon(k);
                self.soon(Delivery::Kernel(target, Event::Peer { from, message }));
            }
            Action::Record(kind) => {
                self.report.timeline.push((self.now.as_micros() / 1_000, k, kind));
            }
            Action::Watch(_) | Action::Publish => {}
        }
    }

    fn is_cut_out(&self, k: usize) -> bool {
        self.cut_out_until > self.now && k == self.decider()
    }

    fn answer(&mut self, k: usize, call: u64, event: Event) {
        if self.cut_in_until > self.now && k == self.decider() {
            return;
        }
        self.soon(Delivery::Answer(k, call, event));
    }

    pub(super) fn order(&mut self, k: usize, i: usize, order: Order, call: u64) {
        if !self.instances[i].up {
            return;
        }
        if self.instances[i].frozen_until > self.now {
            // What arrives at a frozen instance takes effect when it wakes.
            self.at(self.instances[i].frozen_until, Delivery::Order(k, i, order, call));
            return;
        }
        let instance: Arc<str> = Arc::from(instance_name(i));
        let target = &mut self.instances[i];
        let event = match order {
            Order::Seal { term, decider } => {
                let outcome = target.seal(term, decider.as_str());
                Event::Sealed { instance, term, outcome }
            }
            Order::Promote { term, decider } => {
                let outcome = target.promote(term, decider.as_str());
                Event::Promoted { instance, term, outcome }
            }
            Order::Follow { term, address, .. } => {
                target.follow(term, usize::from(address.port()) - 7_000);
                Event::Tick
            }
        };
        self.checker.observe(&self.instances);
        self.answer(k, call, event);
    }

    pub(super) fn probe(&mut self, k: usize, i: usize, sent: Time, call: u64) {
        let instance: Arc<str> = Arc::from(instance_name(i));
        if self.instances[i].frozen_until > self.now {
            return;
        }
        let outcome = if self.instances[i].up {
            Ok(self.instances[i].status(self.now))
        } else {
            Err(ProbeFailure::Refused)
        };
        self.answer(k, call, Event::Probed { instance, sent, outcome });
    }

    pub(super) fn store_call(&mut self, k: usize, action: &Action, call: u64) {
        if self.store.down_until > self.now {
            return;
        }
        let (request, outcome) = match action {
            Action::StoreWrite { request, key, expect, value } => {
                let outcome = self.store.write(key, *expect, value);
                if self.store.lose_until > self.now {
                    return;
                }
                (*request, outcome)
            }
            Action::StoreRead { request, key } => (*request, self.store.read(key)),
            _ => return,
        };
        let event = Event::Store { request, outcome };
        if self.store.slow_until > self.now {
            self.at(self.now + STORE_SLOWNESS, Delivery::Answer(k, call, event));
            return;
        }
        self.answer(k, call, event);
    }

    pub(super) fn replicate(&mut self, f: usize) {
        self.at(self.now + REPLICATION, Delivery::Replicate(f));
        let follower = &self.instances[f];
        let Some(p) = follower.follows.filter(|_| !follower.primary) else {
            return;
        };
        let primary = &self.instances[p];
        let is_connected = follower.up
            && primary.up
            && follower.frozen_until <= self.now
            && primary.frozen_until <= self.now
            && primary.cut_until <= self.now;
        let is_same_term =
            primary.primary && primary.term == follower.term && follower.sealed <= follower.term;
        if !is_connected || !is_same_term {
            return;
        }
        // The call confirms what the follower holds; the answer brings what is new.
        let mut follower = std::mem::take(&mut self.instances[f]);
        let primary = &mut self.instances[p];
        let held = if follower.is_prefix_of(primary) { follower.log.len() as u64 } else { 0 };
        primary.followers.insert(f, (held, self.now));
        if follower.behind_until <= self.now {
            follower.take_log(primary);
        }
        self.instances[f] = follower;
    }
}
