//! Decides how many sessions a host has room for, and which of them is closed for room.
//!
//! Invariants:
//!
//! - A session whose statement runs, or that has a transaction open on an instance, is closed only if
//!   its client does not read answers.
//! - No client that waits for each answer, and sends and reads at the rate of its connection, meets
//!   a limit.

use std::time::Duration;

use persimmon_types::Time;

/// Memory of a host whose settings name none, in bytes: its part for messages is then 16 MiB.
const DEFAULT_MEMORY: usize = 128 << 20;

/// Least memory that the limits assume, in bytes: some messages of the largest size.
const MIN_MEMORY: usize = 32_000_000;

/// Descriptors of a host whose settings name none.
const DEFAULT_MAX_FDS: usize = 8_192;

/// Descriptors of a host that are not for connections.
const RESERVED_FDS: usize = 200;

/// Part of the remaining descriptors that is left to connections to instances and other daemons.
const OTHER_CONNECTIONS_PART: usize = 2;

/// Fewest sessions that are accepted at the same time.
const MIN_SESSIONS: usize = 16;

/// Memory that a session may occupy beside its share of the budgets, in bytes: its buffers.
const SESSION_BYTES: usize = 32 << 10;

/// Part of a host's memory for the buffers of sessions.
const SESSIONS_PART: usize = 4;

/// Part of a host's memory for messages of clients: 14 MB on a host with 112 MB.
const MESSAGES_PART: usize = 8;

/// Part of a host's memory for answers that clients have not read.
const UNREAD_PART: usize = 8;

/// Part of a host's memory for statements that other daemons forward.
const FORWARDED_PART: usize = 8;

/// Part of a host's memory for large messages of other daemons that are incomplete.
const FRAMES_PART: usize = 16;

/// How long a client may take to send the rest of a message: 1 MiB on a connection of 10 Mbit/s that
/// a dozen clients share.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_secs(15);

/// How long a client may take to read what it was sent, so that its next statement is handled.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// Age from which on a connection without a startup message may be closed for room: some round trips
/// of a client in another failure domain.
const STARTING_GRACE: Duration = Duration::from_millis(250);

/// The same of a session with half a message, unread answers, or no request at all.
const STALLED_GRACE: Duration = Duration::from_secs(1);

/// The same of a session that waits for its client's next request.
const IDLE_GRACE: Duration = Duration::from_secs(10);

/// Unread answers up to this size are not worth closing a session for, in bytes.
pub(crate) const SMALL_ANSWER: usize = 16 << 10;

/// What clients may occupy on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Open sessions.
    pub max_sessions: usize,
    /// Messages that are incomplete or whose statements run, in bytes.
    pub message_bytes: usize,
    /// Answers that clients have not read, in bytes.
    pub unread_bytes: usize,
    /// Texts of statements that other daemons forward, in bytes.
    pub forwarded_bytes: usize,
    /// Large messages of other daemons that are incomplete, in bytes.
    pub frame_bytes: usize,
}

impl ClientLimits {
    /// The limits of a host with `memory` bytes and `max_fds` descriptors, as far as they are known.
    #[must_use]
    pub fn new(memory: Option<usize>, max_fds: Option<usize>) -> Self {
        // Without a setting the number of sessions depends on descriptors only.
        let by_memory = memory
            .map_or(usize::MAX, |memory| memory.max(MIN_MEMORY) / SESSIONS_PART / SESSION_BYTES);
        let memory = memory.unwrap_or(DEFAULT_MEMORY).max(MIN_MEMORY);
        let descriptors = max_fds.unwrap_or(DEFAULT_MAX_FDS).saturating_sub(RESERVED_FDS);
        let by_descriptors = descriptors / OTHER_CONNECTIONS_PART;
        Self {
            max_sessions: by_descriptors.min(by_memory).max(MIN_SESSIONS),
            message_bytes: memory / MESSAGES_PART,
            unread_bytes: memory / UNREAD_PART,
            forwarded_bytes: memory / FORWARDED_PART,
            frame_bytes: memory / FRAMES_PART,
        }
    }
}

/// What a session waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// For its startup message.
    Starting,
    /// For its first request.
    Unused,
    /// For its next request, outside a transaction.
    Idle,
    /// For the rest of a message.
    HalfMessage,
    /// For its client to read answers.
    Unread,
    /// For a statement, or for the next one of its transaction.
    Busy,
}

/// A session as the decisions see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionView {
    /// The session's number.
    pub id: u64,
    /// What it waits for.
    pub phase: Phase,
    /// Since when.
    pub since: Time,
    /// Bytes of answers that its client has not read.
    pub unread: usize,
}

impl SessionView {
    /// The order in which sessions of this phase are closed for room, with the age from which on they
    /// may be.
    fn rank(&self) -> Option<(u8, Duration)> {
        match self.phase {
            Phase::Starting => Some((0, STARTING_GRACE)),
            Phase::HalfMessage => Some((1, STALLED_GRACE)),
            Phase::Unread => Some((2, STALLED_GRACE)),
            Phase::Unused => Some((3, STALLED_GRACE)),
            Phase::Idle => Some((4, IDLE_GRACE)),
            Phase::Busy => None,
        }
    }

    /// Whether the client has taken longer than it may to send a message or to read answers.
    #[must_use]
    pub fn is_overdue(&self, now: Time) -> bool {
        let waited = now.since(self.since);
        match self.phase {
            Phase::HalfMessage => waited > MESSAGE_TIMEOUT,
            Phase::Unread => waited > ANSWER_TIMEOUT,
            _ => false,
        }
    }
}

/// The session to close so that another client can open one; `None` if the new client is refused.
#[must_use]
pub fn session_to_close(
    sessions: impl Iterator<Item = SessionView>,
    now: Time,
) -> Option<SessionView> {
    let ranked = sessions.filter_map(|session| {
        let (rank, grace) = session.rank()?;
        (now.since(session.since) >= grace).then_some((rank, session))
    });
    ranked.min_by_key(|(rank, session)| (*rank, session.since)).map(|(_, session)| session)
}

/// The session to close because unread answers exceed their limit: the one that has waited longest.
/// `new`, which was sent an answer last, is never the one, so that a single answer is always delivered.
#[must_use]
pub fn unread_to_close(
    sessions: impl Iterator<Item = SessionView>,
    new: u64,
    limit: usize,
) -> Option<SessionView> {
    let mut total = 0_usize;
    let mut oldest: Option<SessionView> = None;
    for session in sessions {
        total += session.unread;
        if session.unread <= SMALL_ANSWER || session.id == new {
            continue;
        }
        if oldest.is_none_or(|oldest| session.since < oldest.since) {
            oldest = Some(session);
        }
    }
    oldest.filter(|_| total > limit)
}
