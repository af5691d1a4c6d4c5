//! The open sessions of the traffic thread, and closing those for which there is no room.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use ntex::io::{Io, IoRef};
use persimmon_types::{Clock, Time};

use crate::client_limits::{ClientLimits, Phase, SessionView, session_to_close, unread_to_close};
use crate::logging::LogBudget;
use crate::metrics::Metrics;
use crate::session::ending::EndReason;

/// One session.
#[derive(Debug)]
pub(crate) struct Entry {
    id: u64,
    io: IoRef,
    phase: Cell<Phase>,
    since: Cell<Time>,
    unread: Cell<usize>,
    /// Why the session ends; the first reason counts.
    end: Cell<Option<EndReason>>,
}

impl Entry {
    /// Records what the session waits for.
    pub(crate) fn set_phase(&self, phase: Phase) {
        if self.phase.replace(phase) != phase {
            self.since.set(Clock.now());
        }
    }

    /// What the session waits for.
    pub(crate) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Records why the session ends, unless a reason is recorded already.
    pub(crate) fn record_end(&self, reason: EndReason) {
        self.end.set(self.end.get().or(Some(reason)));
    }

    /// Why the session ends.
    pub(crate) fn end(&self) -> Option<EndReason> {
        self.end.get()
    }

    fn view(&self) -> SessionView {
        SessionView {
            id: self.id,
            phase: self.phase.get(),
            since: self.since.get(),
            unread: self.unread.get(),
        }
    }
}

/// The open sessions.
#[derive(Debug)]
pub(crate) struct Sessions {
    limits: ClientLimits,
    metrics: Arc<Metrics>,
    next_id: Cell<u64>,
    entries: RefCell<HashMap<u64, Rc<Entry>>>,
}

impl Sessions {
    /// Creates an empty set of sessions.
    pub(crate) fn new(limits: ClientLimits, metrics: Arc<Metrics>) -> Self {
        Self { limits, metrics, next_id: Cell::new(0), entries: RefCell::default() }
    }

    /// Whether there is no room for one more session.
    pub(crate) fn is_full(&self) -> bool {
        self.entries.borrow().len() >= self.limits.max_sessions
    }

    /// Closes a session so that there is room for one more; returns whether one could be closed.
    pub(crate) fn make_room(&self, log: &LogBudget) -> bool {
        let now = Clock.now();
        let views = self.views();
        let Some(victim) = session_to_close(views.into_iter(), now) else {
            Metrics::increment(&self.metrics.sessions_refused);
            if log.should_log(true) {
                tracing::warn!(
                    max_sessions = self.limits.max_sessions,
                    "session refused: too many sessions are open"
                );
            }
            return false;
        };
        Metrics::increment(&self.metrics.sessions_closed_for_room);
        self.close(victim, EndReason::NoRoom, log, "session closed: its place is needed");
        true
    }

    /// Adds a session.
    pub(crate) fn add(&self, io: &Io) -> Rc<Entry> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let entry = Rc::new(Entry {
            id,
            io: io.get_ref(),
            phase: Cell::new(Phase::Starting),
            since: Cell::new(Clock.now()),
            unread: Cell::new(0),
            end: Cell::new(None),
        });
        self.entries.borrow_mut().insert(id, Rc::clone(&entry));
        entry
    }

    /// Removes a session that ended.
    pub(crate) fn remove(&self, entry: &Entry) {
        self.entries.borrow_mut().remove(&entry.id);
    }

    /// Records the bytes of answers that a session's client has not read, and closes other sessions
    /// while those of all exceed their limit.
    pub(crate) fn record_unread(&self, entry: &Entry, bytes: usize, log: &LogBudget) {
        let before = entry.unread.replace(bytes);
        if bytes <= before {
            return;
        }
        while let Some(victim) =
            unread_to_close(self.views().into_iter(), entry.id, self.limits.unread_bytes)
        {
            Metrics::increment(&self.metrics.sessions_closed_unread);
            let reason = "session closed: unread answers exceed their limit";
            self.close(victim, EndReason::Unread, log, reason);
        }
    }

    /// Closes the sessions whose clients take too long to send a message or to read answers.
    pub(crate) fn close_overdue(&self, now: Time, log: &LogBudget) {
        for session in self.views() {
            if !session.is_overdue(now) {
                continue;
            }
            let is_unread = session.phase == Phase::Unread;
            Metrics::increment(if is_unread {
                &self.metrics.sessions_closed_unread
            } else {
                &self.metrics.sessions_closed_half_message
            });
            let end = if is_unread { EndReason::Unread } else { EndReason::HalfMessage };
            self.close(session, end, log, "session closed: its client took too long");
        }
    }

    fn views(&self) -> Vec<SessionView> {
        self.entries.borrow().values().map(|entry| entry.view()).collect()
    }

    fn close(&self, session: SessionView, end: EndReason, log: &LogBudget, reason: &str) {
        if log.should_log(true) {
            tracing::info!(phase = ?session.phase, unread = session.unread,
                ms = u64::try_from(Clock.now().since(session.since).as_millis()).unwrap_or(u64::MAX),
                "{reason}");
        }
        let entry = self.entries.borrow_mut().remove(&session.id);
        if let Some(entry) = entry {
            entry.record_end(end);
            entry.io.terminate();
        }
    }
}
