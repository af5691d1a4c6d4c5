//! The state machine of one request, from its arrival to its answer or refusal.
//!
//! The driver passes an [`Input`], executes the returned [`Step`] and passes its result as the next
//! input. A step other than [`Step::Send`], [`Step::CheckPosition`] and [`Step::AwaitMajority`]
//! returns the request's connection to the pool.
//!
//! Invariants:
//!
//! - After [`Step::Send`] a write is never sent again, and is never refused as "not run" unless the
//!   instance itself refused it before execution.
//! - A write is reported as successful only after [`Step::AwaitMajority`] has succeeded.

use std::time::Duration;

use persimmon_types::{
    InstanceId, Position, Refusal, RefusalReason, ServiceId, Term, TermHistory, Time,
};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::budget::RetryBudget;
use crate::instance_tracker::{InstanceTracker, PositionReport};
use crate::policy::Policy;
use crate::read_target::{ReadRequirements, ReadTarget, select_read_target};
use crate::session::Session;
use crate::snapshot::RoutingSnapshot;

/// Minimum delay before instance selection is repeated; random jitter at most doubles it.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of times that a read is sent.
const MAX_SENDS: u32 = 3;

/// The kind of access that a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// The request only reads.
    Read,
    /// The request may write.
    Write,
}

/// A safeguard that a test disables to verify that the simulation detects its absence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DisabledSafeguard {
    /// All safeguards are active.
    #[default]
    None,
    /// Reads ignore the session's minimum position.
    MinPosition,
    /// Writes are reported as successful without majority acknowledgement.
    MajorityAcknowledgement,
    /// A write is sent again after its connection broke.
    SendOnce,
    /// A write is refused as "not run" after its connection broke.
    AccurateVerdict,
}

/// One request of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// The service that it addresses.
    pub service: ServiceId,
    /// The access that it needs.
    pub access: Access,
    /// The maximum staleness of the data; zero requires the primary.
    pub max_age: Duration,
    /// The time until which it may wait before it is sent.
    pub wait_until: Time,
}

/// An input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The request arrived.
    Start,
    /// The wait of [`Step::Wait`] ended, or the routing snapshot changed.
    Woken,
    /// The primary returned its position.
    PrimarySampled(Position),
    /// The primary did not return its position.
    SampleFailed,
    /// A connection to the selected instance was checked out; the value is the incarnation of the
    /// instance's process.
    Connected(u64),
    /// No connection could be opened; nothing was sent.
    ConnectFailed,
    /// No connection became free before the wait limit of the request.
    ConnectTimedOut,
    /// Too many requests already wait for a connection.
    QueueFull,
    /// The replica reported its applied position.
    PositionChecked(PositionReport),
    /// The answer is complete and the connection is idle.
    Answered(AnswerKind),
    /// A majority acknowledged the write at this position; `None` if nothing was committed.
    MajorityAcknowledged(Option<Position>),
    /// A majority did not acknowledge the write.
    MajorityNotReached,
    /// The connection broke, or the deadline passed while it was in use.
    Lost,
    /// The client cancelled the request.
    Cancelled,
}

/// The kind of answer that an instance gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// The request ran, successfully or with a SQL error, and no transaction is open.
    Done,
    /// The request ran and a transaction is open.
    InTransaction,
    /// The instance refused the request before execution, because of the connection's term.
    TermRefused,
    /// A replica refused a write before execution.
    ReadOnlyRefused,
}

/// The next operation of the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Request a position sample from the primary, taken after this step.
    SamplePrimary {
        /// The primary.
        primary: InstanceId,
        /// Its term.
        term: Term,
    },
    /// Check out a connection to an instance.
    Connect {
        /// The instance.
        instance: InstanceId,
        /// The term that the connection must have: that of the primary, or `None` for a replica.
        term: Option<Term>,
    },
    /// Request the applied position of the instance.
    CheckPosition,
    /// Send the request on the connection that is checked out.
    Send,
    /// Ask the instance to wait until a majority has acknowledged the write.
    AwaitMajority,
    /// Wait until a time, or until the routing snapshot changes.
    Wait {
        /// The end of the wait.
        until: Time,
    },
    /// Return the answer to the client, with the position of its write.
    Deliver(Option<Position>),
    /// Refuse the request with an error to the client.
    Refuse(Refusal),
}

/// The state that the request state machine reads and updates.
pub struct RequestContext<'a> {
    /// The current time.
    pub now: Time,
    /// The active routing snapshot.
    pub snapshot: &'a RoutingSnapshot,
    /// The tracked state of the instances.
    pub tracker: &'a mut InstanceTracker,
    /// The load-balancing policy.
    pub policy: &'a mut dyn Policy,
    /// The seeded random number generator.
    pub rng: &'a mut SmallRng,
    /// The retry budget of the traffic thread.
    pub budget: &'a mut RetryBudget,
}

/// When an instance's position must be checked before the request is sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PositionCheck {
    /// Never: it is the primary, or the instance already has the transaction open.
    Never,
    /// Only if the instance has restarted since its last position report, which is valid only for
    /// the process that gave it.
    IfRestarted,
    /// Always: the last position report is missing or not fresh enough.
    Always,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    New,
    Sampling,
    Waiting,
    Connecting { instance: InstanceId, check: PositionCheck },
    Checking { instance: InstanceId },
    Sent { instance: InstanceId },
    AwaitingMajority,
    Ended,
}

/// The state machine of one request.
#[derive(Clone, Debug)]
pub struct RequestMachine {
    req: Request,
    stage: Stage,
    has_sample: bool,
    needs_primary: bool,
    sends: u32,
    disabled: DisabledSafeguard,
}

impl RequestMachine {
    /// Creates the state machine of a request that has just arrived.
    #[must_use]
    pub fn new(req: Request) -> Self {
        let needs_primary = req.access == Access::Write;
        Self {
            req,
            stage: Stage::New,
            has_sample: false,
            needs_primary,
            sends: 0,
            disabled: DisabledSafeguard::None,
        }
    }

    /// Creates the state machine of a statement in a transaction, whose connection is already
    /// checked out.
    #[must_use]
    pub fn with_connection(req: Request, instance: InstanceId) -> Self {
        let mut machine = Self::new(req);
        machine.stage = Stage::Connecting { instance, check: PositionCheck::Never };
        machine
    }

    /// Disables one safeguard, for tests.
    #[must_use]
    pub fn with_disabled_safeguard(mut self, disabled: DisabledSafeguard) -> Self {
        self.disabled = disabled;
        self
    }

    /// The name of the current stage, which lets the simulation inject faults at every stage.
    #[must_use]
    pub fn stage(&self) -> &'static str {
        match self.stage {
            Stage::New => "new",
            Stage::Sampling => "sampling",
            Stage::Waiting => "waiting",
            Stage::Connecting { .. } => "connecting",
            Stage::Checking { .. } => "checking",
            Stage::Sent { .. } => "sent",
            Stage::AwaitingMajority => "holding",
            Stage::Ended => "ended",
        }
    }

    /// Processes an input and returns the next step.
    pub fn handle(
        &mut self,
        cx: &mut RequestContext<'_>,
        session: &mut Session,
        input: Input,
    ) -> Step {
        let step = self.decide(cx, session, input);
        if matches!(step, Step::Deliver(_) | Step::Refuse(_)) {
            self.stage = Stage::Ended;
        }
        step
    }

    fn decide(&mut self, cx: &mut RequestContext<'_>, session: &mut Session, input: Input) -> Step {
        match input {
            Input::Start | Input::Woken => self.select_instance(cx, session),
            Input::PrimarySampled(position) => {
                self.has_sample = true;
                session.apply_sample(cx.now, position);
                self.select_instance(cx, session)
            }
            Input::SampleFailed => self.wait_or_refuse(cx, RefusalReason::NoPrimary),
            Input::Connected(incarnation) => self.on_connected(cx, incarnation),
            Input::ConnectFailed => self.on_connect_failed(cx, session),
            Input::ConnectTimedOut => self.refuse_not_run(RefusalReason::WaitTimedOut),
            Input::QueueFull => self.refuse_not_run(RefusalReason::QueueFull),
            Input::PositionChecked(report) => self.on_position_report(cx, session, report),
            Input::Answered(answer) => self.on_answer(cx, session, answer),
            Input::MajorityAcknowledged(position) => {
                if let Some(position) = position {
                    session.apply_write(cx.now, position);
                }
                Step::Deliver(position)
            }
            Input::MajorityNotReached => {
                Step::Refuse(Refusal::may_have_run(RefusalReason::NotConfirmed))
            }
            Input::Lost => self.on_connection_lost(cx, session),
            Input::Cancelled => self.on_cancelled(),
        }
    }

    /// Whether the request may have reached an instance.
    fn is_sent(&self) -> bool {
        matches!(self.stage, Stage::Sent { .. } | Stage::AwaitingMajority)
    }

    fn refuse_not_run(&self, reason: RefusalReason) -> Step {
        debug_assert!(!self.is_sent());
        Step::Refuse(Refusal::not_run(reason))
    }

    fn wait_or_refuse(&mut self, cx: &mut RequestContext<'_>, reason: RefusalReason) -> Step {
        if cx.now >= self.req.wait_until {
            return self.refuse_not_run(reason);
        }
        self.stage = Stage::Waiting;
        let jitter = cx.rng.random_range(1.0..2.0);
        let until = (cx.now + MIN_RETRY_DELAY.mul_f64(jitter)).min(self.req.wait_until);
        Step::Wait { until }
    }

    fn select_instance(&mut self, cx: &mut RequestContext<'_>, session: &Session) -> Step {
        if cx.snapshot.is_isolated {
            return self.refuse_not_run(RefusalReason::Isolated);
        }
        let Some((primary, term)) = cx.snapshot.primary(self.req.service) else {
            return self.wait_or_refuse(cx, RefusalReason::NoPrimary);
        };
        if session.min_position().term > term {
            // The session has seen a later term than this daemon has.
            return self.wait_or_refuse(cx, RefusalReason::NoPrimary);
        }
        if self.req.access == Access::Read && self.needs_sample(session) {
            self.stage = Stage::Sampling;
            return Step::SamplePrimary { primary, term };
        }
        if !self.needs_primary
            && let Some(step) = self.select_replica(cx, session)
        {
            return step;
        }
        self.stage = Stage::Connecting { instance: primary, check: PositionCheck::Never };
        Step::Connect { instance: primary, term: Some(term) }
    }

    fn needs_sample(&self, session: &Session) -> bool {
        !self.has_sample
            && session.needs_sample()
            && self.disabled != DisabledSafeguard::MinPosition
    }

    fn select_replica(&mut self, cx: &mut RequestContext<'_>, session: &Session) -> Option<Step> {
        let unconstrained = Session::new(cx.now);
        let session =
            if self.disabled == DisabledSafeguard::MinPosition { &unconstrained } else { session };
        let requirements =
            ReadRequirements { service: self.req.service, max_age: self.req.max_age, session };
        let target = select_read_target(cx, &requirements);
        let (instance, check) = match target {
            ReadTarget::Replica(instance) => (instance, PositionCheck::IfRestarted),
            ReadTarget::CheckReplica(instance) => (instance, PositionCheck::Always),
            ReadTarget::Primary => return None,
        };
        self.stage = Stage::Connecting { instance, check };
        Some(Step::Connect { instance, term: None })
    }

    fn on_connected(&mut self, cx: &RequestContext<'_>, incarnation: u64) -> Step {
        let Stage::Connecting { instance, check } = self.stage else {
            return self.refuse_not_run(RefusalReason::ConnectionLost);
        };
        let last_report = cx.tracker.last_report(instance);
        let may_send = match check {
            PositionCheck::Never => true,
            // A restarted process may have applied less than the process before it.
            PositionCheck::IfRestarted => last_report.is_some_and(|r| r.incarnation == incarnation),
            PositionCheck::Always => false,
        };
        if may_send {
            return self.send(instance);
        }
        self.stage = Stage::Checking { instance };
        Step::CheckPosition
    }

    fn send(&mut self, instance: InstanceId) -> Step {
        self.stage = Stage::Sent { instance };
        self.sends += 1;
        Step::Send
    }

    fn on_connect_failed(&mut self, cx: &mut RequestContext<'_>, session: &Session) -> Step {
        if let Stage::Connecting { instance, .. } = self.stage {
            cx.tracker.record_failure(instance, cx.now);
        }
        if self.req.access == Access::Read && !self.needs_primary {
            self.needs_primary = true;
            return self.select_instance(cx, session);
        }
        self.wait_or_refuse(cx, RefusalReason::NoPrimary)
    }

    fn on_position_report(
        &mut self,
        cx: &mut RequestContext<'_>,
        session: &Session,
        report: PositionReport,
    ) -> Step {
        let Stage::Checking { instance } = self.stage else {
            return self.select_instance(cx, session);
        };
        cx.tracker.record_report(instance, report);
        let no_history = TermHistory::new();
        let term_history =
            cx.snapshot.group(self.req.service).map_or(&no_history, |g| &g.term_history);
        let ignores_min_position = self.disabled == DisabledSafeguard::MinPosition;
        let min_position =
            if ignores_min_position { Position::default() } else { session.min_position() };
        let max_age = self.req.max_age;
        if cx.tracker.is_fresh_enough(instance, cx.now, term_history, min_position, max_age) {
            return self.send(instance);
        }
        cx.tracker.record_lagging(instance, cx.now, min_position);
        self.needs_primary = true;
        self.select_instance(cx, session)
    }

    fn on_answer(
        &mut self,
        cx: &mut RequestContext<'_>,
        session: &Session,
        answer: AnswerKind,
    ) -> Step {
        match answer {
            AnswerKind::InTransaction => Step::Deliver(None),
            AnswerKind::Done if self.req.access == Access::Read => Step::Deliver(None),
            AnswerKind::Done if self.disabled == DisabledSafeguard::MajorityAcknowledgement => {
                Step::Deliver(None)
            }
            AnswerKind::Done => {
                self.stage = Stage::AwaitingMajority;
                Step::AwaitMajority
            }
            AnswerKind::TermRefused => {
                self.stage = Stage::Waiting;
                self.wait_or_refuse(cx, RefusalReason::TermRefused)
            }
            AnswerKind::ReadOnlyRefused => {
                self.stage = Stage::Waiting;
                self.needs_primary = true;
                self.req.access = Access::Write;
                self.select_instance(cx, session)
            }
        }
    }

    fn on_connection_lost(&mut self, cx: &mut RequestContext<'_>, session: &Session) -> Step {
        let Stage::Sent { instance } = self.stage else {
            return match self.stage {
                Stage::AwaitingMajority => {
                    Step::Refuse(Refusal::may_have_run(RefusalReason::NotConfirmed))
                }
                _ => self.on_connect_failed(cx, session),
            };
        };
        cx.tracker.record_failure(instance, cx.now);
        let may_retry =
            self.req.access == Access::Read || self.disabled == DisabledSafeguard::SendOnce;
        if may_retry && self.sends < MAX_SENDS && cx.budget.withdraw() {
            self.stage = Stage::Waiting;
            return self.select_instance(cx, session);
        }
        if self.disabled == DisabledSafeguard::AccurateVerdict {
            return Step::Refuse(Refusal::not_run(RefusalReason::ConnectionLost));
        }
        Step::Refuse(Refusal::may_have_run(RefusalReason::ConnectionLost))
    }

    fn on_cancelled(&self) -> Step {
        if self.is_sent() {
            return Step::Refuse(Refusal::may_have_run(RefusalReason::Cancelled));
        }
        self.refuse_not_run(RefusalReason::Cancelled)
    }
}
