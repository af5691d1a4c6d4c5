//! A client that writes and reads back through one daemon, and moves to another when that one
//! dies.

use std::time::Duration;

use persimmon_request::{
    Access, AnswerKind, DisabledSafeguard, Input, InstanceTracker, PositionReport, PowerOfTwo,
    Request, RequestMachine, RetryBudget, Session, Step,
};
use persimmon_types::{InstanceId, Lsn, Position, ServiceId, Term, Time};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// How long a request may wait before it is sent to an instance.
pub(crate) const MAX_WAIT: Duration = Duration::from_millis(1_500);

/// The state of the client's daemon that its request state machines share.
pub(crate) struct TrafficState {
    pub(crate) tracker: InstanceTracker,
    pub(crate) policy: PowerOfTwo,
    pub(crate) rng: SmallRng,
    pub(crate) budget: RetryBudget,
}

impl TrafficState {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            tracker: InstanceTracker::new(),
            policy: PowerOfTwo,
            rng: SmallRng::seed_from_u64(seed),
            budget: RetryBudget::new(),
        }
    }
}

/// The operation in progress.
pub(crate) struct Operation {
    pub(crate) id: u64,
    pub(crate) is_write: bool,
    pub(crate) machine: RequestMachine,
    /// Number of the current step; events with another number are stale.
    pub(crate) serial: u64,
    /// The instance that the operation is connected to, and the term that the connection checks.
    pub(crate) connection: Option<(usize, Option<Term>)>,
    /// The position at which the write was committed.
    pub(crate) committed: Option<Position>,
    /// Whether the read returned the write that it must see.
    pub(crate) saw_write: bool,
}

/// The client and its session.
pub(crate) struct Client {
    pub(crate) daemon: usize,
    pub(crate) session: Session,
    pub(crate) last_acknowledged: Option<u64>,
    pub(crate) next_id: u64,
    pub(crate) operation: Option<Operation>,
    pub(crate) serial: u64,
    pub(crate) disabled: DisabledSafeguard,
}

impl Client {
    pub(crate) fn new(daemon: usize, disabled: DisabledSafeguard) -> Self {
        Self {
            daemon,
            session: Session::new(Time::ZERO),
            last_acknowledged: None,
            next_id: 1,
            operation: None,
            serial: 0,
            disabled,
        }
    }

    /// Begins the next operation: a write, or the read that follows it.
    pub(crate) fn begin(&mut self, now: Time, is_read: bool) -> Operation {
        let access = if is_read { Access::Read } else { Access::Write };
        let request = Request {
            service: ServiceId::new(0),
            access,
            max_age: Duration::from_secs(10),
            wait_until: now + MAX_WAIT,
        };
        self.serial += 1;
        let id = if is_read { self.last_acknowledged.unwrap_or(0) } else { self.next_id };
        if !is_read {
            self.next_id += 1;
        }
        Operation {
            id,
            is_write: !is_read,
            machine: RequestMachine::new(request).with_disabled_safeguard(self.disabled),
            serial: self.serial,
            connection: None,
            committed: None,
            saw_write: false,
        }
    }
}

/// An event of the operation, at the client's daemon or at an instance.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Arrival {
    /// An input to the request state machine, such as its start or the end of a wait.
    Input(Input),
    /// The response of an instance; if it has died since, the connection breaks instead.
    Response(usize, Input),
    /// The request reaches the instance.
    Execute(usize),
    /// The daemon asks the instance for its applied position.
    CheckPosition(usize),
    /// The daemon samples the primary's position, from the given time on.
    SamplePrimary(usize, Term, Time),
    /// The daemon asks whether a majority has the write.
    AwaitMajority(usize, Term, u64, Time),
    /// The instance accepts the connection.
    Accept(usize, Option<Term>),
}

/// The incarnation of every fake instance; a killed one does not restart.
pub(crate) const INCARNATION: u64 = 1;

/// The position report of an instance.
pub(crate) fn position_report(end: Position, now: Time) -> PositionReport {
    PositionReport {
        incarnation: INCARNATION,
        applied: end,
        age: Duration::from_millis(1),
        requested_at: now,
    }
}

/// The first step of every operation.
pub(crate) const START: Arrival = Arrival::Input(Input::Start);

/// The response to a request that ran.
pub(crate) const DONE: Input = Input::Answered(AnswerKind::Done);

/// The response of an instance that refused the term.
pub(crate) const TERM_REFUSED: Input = Input::Answered(AnswerKind::TermRefused);

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
