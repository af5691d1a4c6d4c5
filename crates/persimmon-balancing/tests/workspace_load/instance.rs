//! A simulated instance: slots, a queue, and a limit of connections.

use std::collections::VecDeque;

pub const SLOTS: usize = 4;
pub const CAP: usize = 111;
pub const HANDSHAKE_US: u64 = 12_000;

/// Connections of the three owners that vanished, which the instance counts for 3 s more.
const VANISHED: usize = 78;

/// What occupies a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Job {
    Handshake { owner: usize, workspace: usize, began: u64 },
    Statement(usize),
}

pub struct Instance {
    pub queue: VecDeque<Job>,
    pub busy: usize,
    connections: usize,
    vanished: usize,
}

impl Instance {
    pub fn new(has_vanished: bool) -> Self {
        let vanished = if has_vanished { VANISHED } else { 0 };
        Self { queue: VecDeque::new(), busy: 0, connections: 0, vanished }
    }

    pub fn open(&self) -> usize {
        self.connections + self.vanished
    }

    pub fn forget_vanished(&mut self) {
        self.vanished = 0;
    }

    /// Counts a connection if the limit allows it.
    pub fn accept(&mut self) -> bool {
        let accepts = self.open() < CAP;
        self.connections += usize::from(accepts);
        accepts
    }

    pub fn close(&mut self, count: usize) {
        self.connections -= count;
    }

    /// Starts the next job if a slot is free.
    pub fn next(&mut self) -> Option<Job> {
        let job = if self.busy < SLOTS { self.queue.pop_front() } else { None };
        self.busy += usize::from(job.is_some());
        job
    }
}
