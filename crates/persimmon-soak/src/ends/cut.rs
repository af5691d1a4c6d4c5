//! Decides whether a request may go without an answer.

use std::time::{Duration, Instant};

/// How long a daemon may take to stop: `grace_s` of its settings.
pub(crate) const STOP_LIMIT: Duration = Duration::from_secs(6);

/// The end of that time, in which a daemon refuses statements and its process exits.
const FINAL_PART: Duration = Duration::from_secs(1);

/// How long after a request was sent its connection may end if the daemon has not passed it on: the
/// request and the close of an idle session cross.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// A request that follows an answer this soon finds its session open: the client was just invited to send
/// it.
const PROMPT: Duration = Duration::from_millis(150);

/// How long a client may leave answers unread on a host without room for further sessions.
pub(crate) const UNREAD_LIMIT: Duration = Duration::from_secs(1);

/// The shortest limit of an idle transaction that a table names.
pub(crate) const MIN_IDLE_TRANSACTION: Duration = Duration::from_millis(300);

/// What happened from outside to one process of a daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Process {
    /// When it was killed.
    pub killed_at: Option<Instant>,
    /// When it was first asked to stop.
    pub stopped_at: Option<Instant>,
    /// When it was last paused.
    pub paused_at: Option<Instant>,
    /// When it last went on after a pause.
    pub resumed_at: Option<Instant>,
}

impl Process {
    /// Whether `share` of the time to stop had passed at `at`.
    fn has_stopped_for(&self, share: Duration, at: Instant) -> bool {
        self.stopped_at.is_some_and(|stopped_at| stopped_at + share <= at)
    }

    /// Whether it was paused before `at` and in the final part of its time to stop, of which nothing was
    /// left then to answer what had arrived meanwhile.
    fn was_paused_in_final_part(&self, at: Instant) -> bool {
        let Some(final_at) = self.stopped_at.map(|at| at + STOP_LIMIT - FINAL_PART) else {
            return false;
        };
        self.paused_at.filter(|paused_at| *paused_at <= at).is_some_and(|paused_at| {
            let resumed_at = self.resumed_at.filter(|resumed_at| *resumed_at >= paused_at);
            resumed_at.is_none_or(|resumed_at| resumed_at >= final_at)
        })
    }
}

/// A request without a complete answer, whose connection has ended.
#[derive(Clone, Debug)]
pub struct Cut {
    /// The request's id.
    pub id: String,
    /// When the client received the answer before, or the session was opened.
    pub answered_at: Instant,
    /// When the client sent the last byte.
    pub sent_at: Instant,
    /// When the client noticed the end of the connection.
    pub ended_at: Instant,
    /// How long the client has left answers unread since it sent the request.
    pub unread_for: Duration,
    /// Whether a transaction was open.
    pub is_in_transaction: bool,
    /// Whether the request has reached an instance.
    pub has_run: bool,
}

/// Why a request may go without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exemption {
    /// The process was killed.
    Killed,
    /// The time to stop had passed, at whose end the platform kills the process.
    StopLimit,
    /// The process was paused when that time ran out.
    PausedAtStopLimit,
    /// The client left answers unread, so that a daemon short of room may close its session.
    Unread,
    /// The session was idle, and its close crossed with a request that the daemon did not pass on.
    Crossed,
}

/// The verdict on a request without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may go without one.
    Exempt(Exemption),
    /// The daemon owed an answer, for this reason.
    Violation(&'static str),
}

/// Decides whether a request may go without an answer, given what happened to the daemon's process.
#[must_use]
pub fn verdict(cut: &Cut, process: Process) -> Verdict {
    if process.killed_at.is_some_and(|killed_at| killed_at <= cut.ended_at) {
        return Verdict::Exempt(Exemption::Killed);
    }
    let is_exiting = process.has_stopped_for(STOP_LIMIT - FINAL_PART, cut.ended_at);
    if is_exiting && process.was_paused_in_final_part(cut.ended_at) {
        return Verdict::Exempt(Exemption::PausedAtStopLimit);
    }
    if process.has_stopped_for(STOP_LIMIT, cut.ended_at) {
        return Verdict::Exempt(Exemption::StopLimit);
    }
    if cut.unread_for >= UNREAD_LIMIT {
        return Verdict::Exempt(Exemption::Unread);
    }
    if cut.has_run {
        return Verdict::Violation("it reached an instance");
    }
    if cut.ended_at.saturating_duration_since(cut.sent_at) > LOSS_SLACK {
        return Verdict::Violation("its connection was open long after it was sent");
    }
    let idle_for = cut.sent_at.saturating_duration_since(cut.answered_at);
    let may_abort = process.has_stopped_for(STOP_LIMIT / 2, cut.ended_at);
    if cut.is_in_transaction && idle_for < MIN_IDLE_TRANSACTION && !may_abort {
        return Verdict::Violation("its transaction was open");
    }
    // In the final part the next request of a client that never rests meets the end of the process.
    if idle_for <= PROMPT && !is_exiting {
        return Verdict::Violation("it followed at once on an answer");
    }
    Verdict::Exempt(Exemption::Crossed)
}
