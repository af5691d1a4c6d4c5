//! The state machine of one request, from its arrival to its answer or refusal.
//!
//! The host feeds an [`Input`], carries out the [`Step`] that comes back, and feeds its result.
//! A step other than `Send`, `Check` and `Hold` gives back the connection that the request holds.
//!
//! Invariants:
//!
//! - After [`Step::Send`] a write is never sent again, and is never refused as "not run" unless the
//!   instance itself refused it before execution.
//! - A write is delivered only after [`Step::Hold`] has succeeded.

use std::time::Duration;

use persimmon_types::{InstanceId, Position, Reason, Refusal, ServiceId, Term, TermStarts, Time};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::budget::RetryBudget;
use crate::knowledge::{Knowledge, Proof};
use crate::policy::Policy;
use crate::route::{Route, Wanted, route};
use crate::session::Session;
use crate::view::View;

/// How long a request pauses before it tries a failed instance again, at the least.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// How often a read is sent at most.
const MAX_SENDS: u32 = 3;

/// What a request needs of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// It only reads.
    Read,
    /// It may write.
    Write,
}

/// A mechanism that a test leaves out to show that the proofs notice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Omission {
    /// Nothing is left out.
    #[default]
    Nothing,
    /// Reads ignore the session's floor.
    Floor,
    /// Writes are delivered without waiting for a majority.
    Hold,
    /// A write whose connection broke is sent again.
    SendOnce,
    /// A write whose connection broke is refused as "not run".
    HonestVerdict,
}

/// One request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// The service it is for.
    pub service: ServiceId,
    /// What it needs.
    pub access: Access,
    /// How old the data may be; zero means the primary's.
    pub max_age: Duration,
    /// Until when it may wait before it is sent.
    pub wait_until: Time,
}

/// What happened to the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// It arrived.
    Start,
    /// The time of [`Step::Wait`] has passed, or the view changed.
    Woken,
    /// The primary confirmed its position.
    Confirmed(Position),
    /// The primary did not confirm its position.
    NotConfirmed,
    /// A connection to the wanted instance is held, in the process of this incarnation.
    Connected(u64),
    /// No connection could be made; nothing was sent.
    ConnectFailed,
    /// Every connection stayed in use until the allowed waiting had passed.
    ConnectTimedOut,
    /// Too many requests wait for a connection.
    QueueFull,
    /// The replica answered the check.
    Checked(Proof),
    /// The answer is complete and the connection is at rest.
    Answered(Answer),
    /// A majority holds the write at this position, or nothing was committed.
    Held(Option<Position>),
    /// A majority did not confirm the write.
    NotHeld,
    /// The connection broke, or the deadline passed while it was in use.
    Lost,
    /// The caller cancelled.
    Cancelled,
}

/// What kind of answer an instance gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request ran, with or without an error of its own, and no transaction is open.
    Done,
    /// The request ran and a transaction is open.
    InTransaction,
    /// The instance refused the connection's term before execution.
    TermRefused,
    /// A replica refused to write, before execution.
    ReadOnlyRefused,
}

/// What the host is to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask the primary to confirm its position after now.
    Confirm {
        /// The primary.
        primary: InstanceId,
        /// Its term.
        term: Term,
    },
    /// Hold a connection to an instance.
    Connect {
        /// The instance.
        instance: InstanceId,
        /// The term that the connection is for: the primary's, or nothing for a replica.
        term: Option<Term>,
    },
    /// Ask the instance what it has applied.
    Check,
    /// Send the request on the connection held.
    Send,
    /// Ask the instance whether a majority holds the write.
    Hold,
    /// Wait until then, or until the view changes.
    Wait {
        /// When.
        until: Time,
    },
    /// Give the answer to the caller, with the position of its write.
    Deliver(Option<Position>),
    /// Refuse the request.
    Refuse(Refusal),
}

/// What the machine decides by.
pub struct Env<'a> {
    /// The present time.
    pub now: Time,
    /// The snapshot in force.
    pub view: &'a View,
    /// What is known of instances.
    pub knowledge: &'a mut Knowledge,
    /// How an instance is chosen.
    pub policy: &'a mut dyn Policy,
    /// The seeded generator.
    pub rng: &'a mut SmallRng,
    /// The retries left.
    pub budget: &'a mut RetryBudget,
}

/// What an instance must have proved before a request is sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Need {
    /// Nothing: it is the primary, or the transaction is there already.
    Nothing,
    /// A proof is known, which counts only for the process that gave it.
    KnownProof,
    /// A proof must be asked for.
    NewProof,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    New,
    Sampling,
    Waiting,
    Connecting { instance: InstanceId, need: Need },
    Checking { instance: InstanceId },
    Sent { instance: InstanceId },
    Holding,
    Ended,
}

/// The state machine of one request.
#[derive(Clone, Debug)]
pub struct Exchange {
    req: Request,
    stage: Stage,
    sampled: bool,
    needs_primary: bool,
    sends: u32,
    omit: Omission,
}

impl Exchange {
    /// Creates the machine of a request that has just arrived.
    #[must_use]
    pub fn new(req: Request) -> Self {
        let needs_primary = req.access == Access::Write;
        Self {
            req,
            stage: Stage::New,
            sampled: false,
            needs_primary,
            sends: 0,
            omit: Omission::Nothing,
        }
    }

    /// Creates the machine of a statement inside a transaction, whose connection is held already.
    #[must_use]
    pub fn with_connection(req: Request, instance: InstanceId) -> Self {
        let mut exchange = Self::new(req);
        exchange.stage = Stage::Connecting { instance, need: Need::Nothing };
        exchange
    }

    /// The same machine with one mechanism left out.
    #[must_use]
    pub fn with_omission(mut self, omit: Omission) -> Self {
        self.omit = omit;
        self
    }

    /// The name of the stage, for enumerating faults at every step.
    #[must_use]
    pub fn stage(&self) -> &'static str {
        match self.stage {
            Stage::New => "new",
            Stage::Sampling => "sampling",
            Stage::Waiting => "waiting",
            Stage::Connecting { .. } => "connecting",
            Stage::Checking { .. } => "checking",
            Stage::Sent { .. } => "sent",
            Stage::Holding => "holding",
            Stage::Ended => "ended",
        }
    }

    /// Takes in what happened and says what to do next.
    pub fn handle(&mut self, env: &mut Env<'_>, session: &mut Session, input: Input) -> Step {
        let step = self.decide(env, session, input);
        if matches!(step, Step::Deliver(_) | Step::Refuse(_)) {
            self.stage = Stage::Ended;
        }
        step
    }

    fn decide(&mut self, env: &mut Env<'_>, session: &mut Session, input: Input) -> Step {
        match input {
            Input::Start | Input::Woken => self.choose(env, session),
            Input::Confirmed(position) => {
                self.sampled = true;
                session.take_sample(env.now, position);
                self.choose(env, session)
            }
            Input::NotConfirmed => self.pause(env, Reason::NoPrimary),
            Input::Connected(incarnation) => self.connected(env, incarnation),
            Input::ConnectFailed => self.connect_failed(env, session),
            Input::ConnectTimedOut => self.not_run(Reason::Waited),
            Input::QueueFull => self.not_run(Reason::QueueFull),
            Input::Checked(proof) => self.checked(env, session, proof),
            Input::Answered(answer) => self.answered(env, session, answer),
            Input::Held(position) => {
                if let Some(position) = position {
                    session.take_write(env.now, position);
                }
                Step::Deliver(position)
            }
            Input::NotHeld => Step::Refuse(Refusal::may_have_run(Reason::NotConfirmed)),
            Input::Lost => self.lost(env, session),
            Input::Cancelled => self.cancelled(),
        }
    }

    /// Whether the request may have reached an instance.
    fn is_sent(&self) -> bool {
        matches!(self.stage, Stage::Sent { .. } | Stage::Holding)
    }

    fn not_run(&self, reason: Reason) -> Step {
        debug_assert!(!self.is_sent());
        Step::Refuse(Refusal::not_run(reason))
    }

    fn pause(&mut self, env: &mut Env<'_>, reason: Reason) -> Step {
        if env.now >= self.req.wait_until {
            return self.not_run(reason);
        }
        self.stage = Stage::Waiting;
        let jitter = env.rng.random_range(1.0..2.0);
        let until = (env.now + RETRY_PAUSE.mul_f64(jitter)).min(self.req.wait_until);
        Step::Wait { until }
    }

    fn choose(&mut self, env: &mut Env<'_>, session: &Session) -> Step {
        if env.view.cut_off {
            return self.not_run(Reason::CutOff);
        }
        let Some((primary, term)) = env.view.primary(self.req.service) else {
            return self.pause(env, Reason::NoPrimary);
        };
        if session.floor().term > term {
            // The session has seen a later primary than this daemon has.
            return self.pause(env, Reason::NoPrimary);
        }
        if self.req.access == Access::Read && self.needs_sample(session) {
            self.stage = Stage::Sampling;
            return Step::Confirm { primary, term };
        }
        if !self.needs_primary
            && let Some(step) = self.choose_replica(env, session)
        {
            return step;
        }
        self.stage = Stage::Connecting { instance: primary, need: Need::Nothing };
        Step::Connect { instance: primary, term: Some(term) }
    }

    fn needs_sample(&self, session: &Session) -> bool {
        !self.sampled && session.needs_sample() && self.omit != Omission::Floor
    }

    fn choose_replica(&mut self, env: &mut Env<'_>, session: &Session) -> Option<Step> {
        let fresh = Session::new(env.now);
        let session = if self.omit == Omission::Floor { &fresh } else { session };
        let wanted = Wanted { service: self.req.service, max_age: self.req.max_age, session };
        let chosen = route(env, &wanted);
        let (instance, need) = match chosen {
            Route::Replica(instance) => (instance, Need::KnownProof),
            Route::Ask(instance) => (instance, Need::NewProof),
            Route::Primary => return None,
        };
        self.stage = Stage::Connecting { instance, need };
        Some(Step::Connect { instance, term: None })
    }

    fn connected(&mut self, env: &Env<'_>, incarnation: u64) -> Step {
        let Stage::Connecting { instance, need } = self.stage else {
            return self.not_run(Reason::ConnectionLost);
        };
        let proof = env.knowledge.proof(instance);
        let is_proven = match need {
            Need::Nothing => true,
            // A process that began since may have applied less than the one before it.
            Need::KnownProof => proof.is_some_and(|p| p.incarnation == incarnation),
            Need::NewProof => false,
        };
        if is_proven {
            return self.send(instance);
        }
        self.stage = Stage::Checking { instance };
        Step::Check
    }

    fn send(&mut self, instance: InstanceId) -> Step {
        self.stage = Stage::Sent { instance };
        self.sends += 1;
        Step::Send
    }

    fn connect_failed(&mut self, env: &mut Env<'_>, session: &Session) -> Step {
        if let Stage::Connecting { instance, .. } = self.stage {
            env.knowledge.failed(instance, env.now);
        }
        if self.req.access == Access::Read && !self.needs_primary {
            self.needs_primary = true;
            return self.choose(env, session);
        }
        self.pause(env, Reason::NoPrimary)
    }

    fn checked(&mut self, env: &mut Env<'_>, session: &Session, proof: Proof) -> Step {
        let Stage::Checking { instance } = self.stage else {
            return self.choose(env, session);
        };
        env.knowledge.prove(instance, proof);
        let no_starts = TermStarts::new();
        let starts = env.view.group(self.req.service).map_or(&no_starts, |g| &g.starts);
        let is_floorless = self.omit == Omission::Floor;
        let floor = if is_floorless { Position::default() } else { session.floor() };
        let max_age = self.req.max_age;
        if env.knowledge.is_proven(instance, env.now, starts, floor, max_age) {
            return self.send(instance);
        }
        env.knowledge.found_behind(instance, env.now, floor);
        self.needs_primary = true;
        self.choose(env, session)
    }

    fn answered(&mut self, env: &mut Env<'_>, session: &Session, answer: Answer) -> Step {
        match answer {
            Answer::InTransaction => Step::Deliver(None),
            Answer::Done if self.req.access == Access::Read => Step::Deliver(None),
            Answer::Done if self.omit == Omission::Hold => Step::Deliver(None),
            Answer::Done => {
                self.stage = Stage::Holding;
                Step::Hold
            }
            Answer::TermRefused => {
                self.stage = Stage::Waiting;
                self.pause(env, Reason::TermRefused)
            }
            Answer::ReadOnlyRefused => {
                self.stage = Stage::Waiting;
                self.needs_primary = true;
                self.req.access = Access::Write;
                self.choose(env, session)
            }
        }
    }

    fn lost(&mut self, env: &mut Env<'_>, session: &Session) -> Step {
        let Stage::Sent { instance } = self.stage else {
            return match self.stage {
                Stage::Holding => Step::Refuse(Refusal::may_have_run(Reason::NotConfirmed)),
                _ => self.connect_failed(env, session),
            };
        };
        env.knowledge.failed(instance, env.now);
        let may_repeat = self.req.access == Access::Read || self.omit == Omission::SendOnce;
        if may_repeat && self.sends < MAX_SENDS && env.budget.retry() {
            self.stage = Stage::Waiting;
            return self.choose(env, session);
        }
        if self.omit == Omission::HonestVerdict {
            return Step::Refuse(Refusal::not_run(Reason::ConnectionLost));
        }
        Step::Refuse(Refusal::may_have_run(Reason::ConnectionLost))
    }

    fn cancelled(&self) -> Step {
        if self.is_sent() {
            return Step::Refuse(Refusal::may_have_run(Reason::Cancelled));
        }
        self.not_run(Reason::Cancelled)
    }
}
