//! A caller that writes and reads back in turn through one daemon, and roams when it dies.

use std::time::Duration;

use persimmon_request::{
    Access, Answer, Exchange, Input, Knowledge, Omission, PowerOfTwo, Proof, Request, RetryBudget,
    Session, Step,
};
use persimmon_types::{InstanceId, Lsn, Position, ServiceId, Term, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// How long a request may wait before it is sent.
pub(crate) const WAIT: Duration = Duration::from_millis(1_500);

/// The state of the caller's daemon that the request machines decide by.
pub(crate) struct TrafficMind {
    pub(crate) knowledge: Knowledge,
    pub(crate) policy: PowerOfTwo,
    pub(crate) rng: SmallRng,
    pub(crate) budget: RetryBudget,
}

impl TrafficMind {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            knowledge: Knowledge::new(),
            policy: PowerOfTwo,
            rng: SmallRng::seed_from_u64(seed),
            budget: RetryBudget::new(),
        }
    }
}

/// One operation under way.
pub(crate) struct Operation {
    pub(crate) id: u64,
    pub(crate) is_write: bool,
    pub(crate) exchange: Exchange,
    /// Tells events of an earlier step from those of the present one.
    pub(crate) serial: u64,
    /// The instance whose connection is held, with the term that it checks.
    pub(crate) held: Option<(usize, Option<Term>)>,
    /// Where the write was committed.
    pub(crate) committed: Option<Position>,
    /// Whether the read showed what it had to.
    pub(crate) shown: bool,
}

/// The caller.
pub(crate) struct Caller {
    pub(crate) daemon: usize,
    pub(crate) session: Session,
    pub(crate) last_acknowledged: Option<u64>,
    pub(crate) next_id: u64,
    pub(crate) operation: Option<Operation>,
    pub(crate) serial: u64,
    pub(crate) omit: Omission,
}

impl Caller {
    pub(crate) fn new(daemon: usize, omit: Omission) -> Self {
        Self {
            daemon,
            session: Session::new(Time::ZERO),
            last_acknowledged: None,
            next_id: 1,
            operation: None,
            serial: 0,
            omit,
        }
    }

    /// Begins the next operation: a write, or the read that follows it.
    pub(crate) fn begin(&mut self, now: Time, reads: bool) -> Operation {
        let access = if reads { Access::Read } else { Access::Write };
        let request = Request {
            service: ServiceId::new(0),
            access,
            max_age: Duration::from_secs(10),
            wait_until: now + WAIT,
        };
        self.serial += 1;
        let id = if reads { self.last_acknowledged.unwrap_or(0) } else { self.next_id };
        if !reads {
            self.next_id += 1;
        }
        Operation {
            id,
            is_write: !reads,
            exchange: Exchange::new(request).with_omission(self.omit),
            serial: self.serial,
            held: None,
            committed: None,
            shown: false,
        }
    }
}

/// What arrives at the caller's daemon for the operation.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Arrival {
    /// The operation begins, or its wait is over.
    Input(Input),
    /// An instance answers; if it is dead by now, its connection breaks instead.
    Reply(usize, Input),
    /// The request reaches the instance.
    Execute(usize),
    /// The daemon asks the instance what it has applied.
    Check(usize),
    /// The daemon asks the primary for a confirmed position, since then.
    Confirm(usize, Term, Time),
    /// The daemon asks whether a majority holds the write.
    Hold(usize, Term, u64, Time),
    /// The instance accepts the connection.
    Accept(usize, Option<Term>),
}

/// The process of every fake instance; one that died does not return.
pub(crate) const INCARNATION: u64 = 1;

/// The answer of an instance that proves its position.
pub(crate) fn proof(end: Position, now: Time) -> Proof {
    Proof { incarnation: INCARNATION, applied: end, age: Duration::from_millis(1), at: now }
}

/// The first step of every operation.
pub(crate) const START: Arrival = Arrival::Input(Input::Start);

/// An answer to a request that ran.
pub(crate) const DONE: Input = Input::Answered(Answer::Done);

/// An answer of an instance that refused the term.
pub(crate) const TERM_REFUSED: Input = Input::Answered(Answer::TermRefused);

/// The position after a commit.
pub(crate) fn position(term: Term, lsn: u64) -> Position {
    Position::new(term, Lsn(lsn))
}

/// The index of an instance of the only service.
pub(crate) fn index(id: InstanceId) -> usize {
    id.index()
}

/// Whether a step ends the operation.
pub(crate) fn is_final(step: Step) -> bool {
    matches!(step, Step::Deliver(_) | Step::Refuse(_))
}
