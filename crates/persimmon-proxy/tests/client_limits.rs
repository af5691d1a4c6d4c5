//! Guards against closing the wrong session for room, and against limits that ordinary clients meet.

use std::time::Duration;

use persimmon_proxy::{
    ANSWER_TIMEOUT, ClientLimits, MESSAGE_TIMEOUT, Phase, SessionView, session_to_close,
    unread_to_close,
};
use persimmon_types::Time;

/// The smallest host of the known deployments: bytes and descriptors.
const SMALL_HOST: (usize, usize) = (112_000_000, 3_010);

/// Open sessions of a deployment.
const ALL_SESSIONS: usize = 3_980;

/// The largest message, in bytes.
const MAX_MESSAGE: usize = 1 << 20;

/// The limit of unread answers in these tests, in bytes.
const UNREAD_LIMIT: usize = 1_000_000;

const ALL_PHASES: [Phase; 6] =
    [Phase::Starting, Phase::Unused, Phase::Idle, Phase::HalfMessage, Phase::Unread, Phase::Busy];

fn now() -> Time {
    Time::ZERO + Duration::from_secs(1_000)
}

fn session(id: u64, phase: Phase, age: Duration) -> SessionView {
    SessionView { id, phase, since: now() - age, unread: 0 }
}

fn unread(id: u64, age: Duration, bytes: usize) -> SessionView {
    SessionView { unread: bytes, ..session(id, Phase::Unread, age) }
}

fn closed(sessions: &[SessionView]) -> Option<u64> {
    session_to_close(sessions.iter().copied(), now()).map(|session| session.id)
}

#[test]
fn small_host_has_room_for_sessions_of_lost_hosts() {
    let limits = ClientLimits::new(Some(SMALL_HOST.0), Some(SMALL_HOST.1));

    assert!(limits.max_sessions >= 800, "{limits:?}");
    for bytes in [limits.message_bytes, limits.unread_bytes, limits.forwarded_bytes] {
        assert!(bytes >= 12 * MAX_MESSAGE, "{limits:?}");
    }
}

#[test]
fn two_hosts_of_the_usual_size_have_room_for_all_sessions() {
    let limits = ClientLimits::new(Some(384_000_000), Some(8_192));

    assert!(2 * limits.max_sessions >= ALL_SESSIONS, "{limits:?}");
}

#[test]
fn sessions_and_what_they_hold_fit_into_the_memory() {
    for memory in [64_000_000, SMALL_HOST.0, 512_000_000] {
        let limits = ClientLimits::new(Some(memory), Some(1 << 20));

        let held = limits.message_bytes
            + limits.unread_bytes
            + limits.forwarded_bytes
            + limits.frame_bytes;
        assert!(held + limits.max_sessions * (32 << 10) <= memory * 3 / 4, "{limits:?}");
    }
}

#[test]
fn absent_and_absurd_settings_give_usable_limits() {
    for (memory, max_fds) in
        [(None, None), (Some(0), Some(0)), (Some(usize::MAX), Some(usize::MAX))]
    {
        let limits = ClientLimits::new(memory, max_fds);

        assert!(limits.max_sessions >= 16, "{limits:?}");
        assert!(limits.message_bytes > 2 * MAX_MESSAGE, "{limits:?}");
    }
}

/// Guards against fewer sessions than before on hosts whose settings name no memory.
#[test]
fn hosts_without_settings_have_room_for_all_sessions() {
    assert!(ClientLimits::new(None, None).max_sessions >= ALL_SESSIONS);
}

#[test]
fn clients_that_stopped_half_way_are_closed_before_idle_ones() {
    let age = Duration::from_secs(60);
    let mut sessions: Vec<SessionView> =
        ALL_PHASES.iter().zip(0..).map(|(phase, id)| session(id, *phase, age)).collect();
    let mut order = Vec::new();

    while let Some(id) = closed(&sessions) {
        let at = sessions.iter().position(|session| session.id == id).expect("it exists");
        order.push(sessions.remove(at).phase);
    }

    let expected = [Phase::Starting, Phase::HalfMessage, Phase::Unread, Phase::Unused, Phase::Idle];
    assert_eq!(order, expected);
}

#[test]
fn sessions_that_just_began_to_wait_are_kept() {
    let young: Vec<SessionView> = ALL_PHASES
        .iter()
        .zip(0..)
        .map(|(phase, id)| session(id, *phase, Duration::from_millis(200)))
        .collect();

    assert_eq!(closed(&young), None);
}

#[test]
fn of_one_kind_the_one_that_waits_longest_is_closed() {
    let sessions =
        [10, 30, 20].map(|age| session(age, Phase::HalfMessage, Duration::from_secs(age)));

    assert_eq!(closed(&sessions), Some(30));
}

#[test]
fn only_half_messages_and_unread_answers_become_overdue() {
    let age = MESSAGE_TIMEOUT.max(ANSWER_TIMEOUT) + Duration::from_millis(1);

    let overdue: Vec<Phase> =
        ALL_PHASES.into_iter().filter(|phase| session(1, *phase, age).is_overdue(now())).collect();

    assert_eq!(overdue, [Phase::HalfMessage, Phase::Unread]);
    assert!(!session(1, Phase::Unread, ANSWER_TIMEOUT).is_overdue(now()));
}

#[test]
fn longest_unread_answer_is_closed_once_all_exceed_the_limit() {
    let sessions = [
        unread(1, Duration::from_secs(1), 600_000),
        unread(2, Duration::from_secs(3), 300_000),
        unread(3, Duration::from_secs(9), 10_000),
        unread(4, Duration::ZERO, 200_000),
    ];

    let victim = unread_to_close(sessions.into_iter(), 4, UNREAD_LIMIT);
    let below = unread_to_close(sessions.into_iter().skip(1), 4, UNREAD_LIMIT);

    assert_eq!(victim.map(|session| session.id), Some(2));
    assert_eq!(below, None);
}

#[test]
fn single_large_answer_is_delivered() {
    let sessions = [unread(1, Duration::ZERO, 2 * UNREAD_LIMIT)];

    assert_eq!(unread_to_close(sessions.into_iter(), 1, UNREAD_LIMIT), None);
}
