//! The instance: slots and a queue in order of arrival.

use std::collections::VecDeque;

use rand::Rng;

use super::{Event, Simulation};

/// Slots and queue length of an instance.
pub const SLOTS: usize = 4;
const QUEUE: usize = 32;

/// Slot time of a handshake.
const HANDSHAKE_US: u64 = 12_000;

/// What occupies a slot.
#[derive(Clone, Copy, Debug)]
pub enum Work {
    Statement { id: usize, sent: u64 },
    Handshake { owner: usize },
}

#[derive(Debug, Default)]
pub struct Instance {
    busy: usize,
    queue: VecDeque<Work>,
}

impl Simulation {
    /// Gives work to the instance; returns whether it accepts it.
    pub(super) fn submit(&mut self, now: u64, work: Work) -> bool {
        if self.instance.busy < SLOTS {
            self.start(now, work);
            return true;
        }
        // Handshakes wait for a slot but not in the queue of statements.
        let is_accepted =
            self.instance.queue.len() < QUEUE || matches!(work, Work::Handshake { .. });
        if is_accepted {
            self.instance.queue.push_back(work);
        }
        is_accepted
    }

    fn start(&mut self, now: u64, work: Work) {
        self.instance.busy += 1;
        match work {
            Work::Statement { id, sent } => {
                let mean_us = self.operations[id].statement_ms * 1_000.0;
                let end_us = self.load.seconds * 1_000_000;
                let is_slow = (end_us / 4..end_us * 3 / 4).contains(&now);
                let factor = if is_slow { self.load.slowdown } else { 1.0 };
                let took = (mean_us * factor * self.rng.random_range(0.5..1.5)) as u64;
                self.push(now + took, Event::Done { id, sent });
            }
            Work::Handshake { owner } => self.push(now + HANDSHAKE_US, Event::Connected { owner }),
        }
    }

    /// Frees a slot.
    pub(super) fn free_slot(&mut self, now: u64) {
        self.instance.busy -= 1;
        if let Some(next) = self.instance.queue.pop_front() {
            self.start(now, next);
        }
    }
}
