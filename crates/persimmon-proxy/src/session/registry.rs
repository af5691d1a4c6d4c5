//! The open sessions of the traffic thread, and closing those for which there is no room.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use persimmon_types::{Clock, Time};

use crate::client_connection::ClientConnection;
use crate::client_limits::{ClientLimits, Phase, SessionView, session_to_close, unread_to_close};
use crate::logging::LogBudget;
use crate::metrics::Metrics;
use crate::session::ending::EndReason;

/// Sessions that are tried for room before a client is refused.
const MAX_CLOSE_TRIES: usize = 16;

/// One session.
#[derive(Debug)]
pub(crate) struct Entry {
    id: u64,
    connection: Rc<ClientConnection>,
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

    /// The client's connection.
    pub(crate) fn connection(&self) -> &Rc<ClientConnection> {
        &self.connection
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
        let mut views = self.views();
        for _ in 0..MAX_CLOSE_TRIES {
            let Some(victim) = session_to_close(views.iter().copied(), now) else {
                break;
            };
            if self.try_close(victim, EndReason::NoRoom, log) {
                Metrics::increment(&self.metrics.sessions_closed_for_room);
                return true;
            }
            views.retain(|view| view.id != victim.id);
        }
        Metrics::increment(&self.metrics.sessions_refused);
        if log.should_log(true) {
            tracing::warn!(
                max_sessions = self.limits.max_sessions,
                "session refused: too many sessions are open"
            );
        }
        false
    }

    /// Adds a session.
    pub(crate) fn add(&self, connection: ClientConnection) -> Rc<Entry> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let entry = Rc::new(Entry {
            id,
            connection: Rc::new(connection),
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
            if !self.try_close(victim, EndReason::Unread, log) {
                break;
            }
        }
    }

    /// Closes the sessions whose clients take too long to send a message or to read answers.
    pub(crate) fn close_overdue(&self, now: Time, log: &LogBudget) {
        for session in self.views() {
            if !session.is_overdue(now) {
                continue;
            }
            let (reason, counter) = if session.phase == Phase::Unread {
                (EndReason::Unread, &self.metrics.sessions_closed_unread)
            } else {
                (EndReason::HalfMessage, &self.metrics.sessions_closed_half_message)
            };
            if self.try_close(session, reason, log) {
                Metrics::increment(counter);
            }
        }
    }

    fn views(&self) -> Vec<SessionView> {
        self.entries.borrow().values().map(|entry| entry.view()).collect()
    }

    /// Closes the connection of a session that waits for its client, unless the client has sent a message,
    /// or read answers for which another session needs its place, that the session has not noticed yet;
    /// returns whether it is closed.
    pub(crate) fn try_close(
        &self,
        session: SessionView,
        reason: EndReason,
        log: &LogBudget,
    ) -> bool {
        let Some(entry) = self.entries.borrow().get(&session.id).map(Rc::clone) else {
            return true;
        };
        if session.phase == Phase::Unread {
            // Time in which the host stood still is not the client's.
            if reason == EndReason::NoRoom && entry.connection.send_pending() {
                entry.since.set(Clock.now());
                return false;
            }
            // Its client would not read the answers to further messages.
            entry.connection.abort();
        } else if !entry.connection.try_close() {
            entry.set_phase(Phase::Busy);
            return false;
        }
        entry.record_end(reason);
        self.remove(&entry);
        if log.should_log(true) {
            tracing::info!(?reason, phase = ?session.phase, unread = session.unread,
                ms = u64::try_from(Clock.now().since(session.since).as_millis()).unwrap_or(u64::MAX),
                "session closed");
        }
        true
    }
}
