//! Guards the check that no request is lost with its session: against violations that it would pass, and
//! exemptions that it would miss.

use std::time::{Duration, Instant};

use persimmon_soak::ends::{Cut, Exemption, LoggedCut, Process, Verdict, verdict};

/// Longer ago than a daemon takes to stop.
const LONG: Duration = Duration::from_secs(20);

const MS: Duration = Duration::from_millis(1);

/// A request that was sent `idle_for` after an answer, and whose connection ended `open_for` later.
fn cut(idle_for: Duration, open_for: Duration) -> Cut {
    let answered_at = Instant::now() + LONG;
    let sent_at = answered_at + idle_for;
    Cut {
        id: "e0:1".to_owned(),
        answered_at,
        sent_at,
        ended_at: sent_at + open_for,
        unread_for: Duration::ZERO,
        is_in_transaction: false,
        has_run: false,
    }
}

/// A process that was asked to stop `stopped_for` before the end of a connection.
fn stopping(cut: &Cut, stopped_for: Duration) -> Process {
    Process { stopped_at: cut.ended_at.checked_sub(stopped_for), ..Process::default() }
}

fn is_violation(cut: &Cut, process: Process) -> bool {
    matches!(verdict(cut, process), Verdict::Violation(_))
}

#[test]
fn a_request_that_ran_is_owed_an_answer() {
    let crossed = cut(Duration::from_secs(1), MS);
    let ran = Cut { has_run: true, ..crossed.clone() };

    assert_eq!(verdict(&crossed, Process::default()), Verdict::Exempt(Exemption::Crossed));
    assert!(is_violation(&ran, Process::default()));
    assert!(is_violation(&ran, stopping(&ran, Duration::from_millis(5_900))));
}

#[test]
fn a_request_whose_connection_stayed_open_is_owed_an_answer() {
    let late = cut(Duration::from_secs(1), Duration::from_millis(250));

    assert!(is_violation(&late, Process::default()));
    assert!(is_violation(&late, stopping(&late, Duration::from_millis(5_900))));
}

#[test]
fn a_request_that_follows_at_once_is_owed_an_answer_until_the_process_exits() {
    let prompt = cut(MS, MS);

    assert!(is_violation(&prompt, Process::default()));
    assert!(is_violation(&prompt, stopping(&prompt, Duration::from_millis(4_900))));
    let exiting = stopping(&prompt, Duration::from_millis(5_700));
    assert_eq!(verdict(&prompt, exiting), Verdict::Exempt(Exemption::Crossed));
}

#[test]
fn a_request_of_an_open_transaction_is_owed_an_answer_for_half_of_the_time_to_stop() {
    let next = Cut { is_in_transaction: true, ..cut(Duration::from_millis(200), MS) };

    assert!(is_violation(&next, Process::default()));
    assert!(is_violation(&next, stopping(&next, Duration::from_millis(2_900))));
    let aborting = stopping(&next, Duration::from_millis(5_100));
    assert_eq!(verdict(&next, aborting), Verdict::Exempt(Exemption::Crossed));
}

#[test]
fn only_a_kill_the_end_of_the_time_to_stop_and_unread_answers_exempt_a_request_that_ran() {
    let ran = Cut { has_run: true, ..cut(MS, Duration::from_secs(1)) };
    let killed = |killed_at| Process { killed_at: Some(killed_at), ..Process::default() };
    let unread = Cut { unread_for: Duration::from_secs(1), ..ran.clone() };

    assert_eq!(verdict(&ran, killed(ran.ended_at)), Verdict::Exempt(Exemption::Killed));
    assert!(is_violation(&ran, killed(ran.ended_at + MS)));
    let overdue = stopping(&ran, Duration::from_secs(6));
    assert_eq!(verdict(&ran, overdue), Verdict::Exempt(Exemption::StopLimit));
    assert_eq!(verdict(&unread, Process::default()), Verdict::Exempt(Exemption::Unread));
    let nearly = Cut { unread_for: Duration::from_millis(999), ..ran };
    assert!(is_violation(&nearly, Process::default()));
}

#[test]
fn a_pause_exempts_a_request_only_where_the_time_to_stop_runs_out_in_it() {
    let ran = Cut { has_run: true, ..cut(MS, Duration::from_secs(1)) };
    let ago = |ms| ran.ended_at.checked_sub(Duration::from_millis(ms));
    let paused = |stopped_for, paused_for, resumed_for| Process {
        stopped_at: ago(stopped_for),
        paused_at: ago(paused_for),
        resumed_at: ago(resumed_for),
        killed_at: None,
    };

    let over = paused(5_900, 2_000, 10);
    assert_eq!(verdict(&ran, over), Verdict::Exempt(Exemption::PausedAtStopLimit));
    let still = Process { resumed_at: None, ..over };
    assert_eq!(verdict(&ran, still), Verdict::Exempt(Exemption::PausedAtStopLimit));
    assert!(is_violation(&ran, paused(5_900, 3_000, 1_000)));
    assert!(is_violation(&ran, paused(4_000, 2_000, 10)));
    assert!(is_violation(&ran, Process { stopped_at: None, ..over }));
}

#[test]
fn logged_cuts_are_violations_where_the_daemon_ended_the_session_of_a_client_that_reads() {
    let line = |reason: &str, phase: &str| {
        let line = serde_json::json!({
            "message": "a connection ended before its requests were answered",
            "reason": format!("Some({reason})"), "phase": phase, "requests": 2, "unsent": 0,
        });
        LoggedCut::parse(&line.to_string()).expect("a cut")
    };

    assert!(line("NoRoom", "Idle").is_violation());
    assert!(line("Shutdown", "Idle").is_violation());
    assert!(!line("NoRoom", "Unread").is_violation());
    assert!(!line("ClientLeft", "Idle").is_violation());
    assert!(line("ClientLeft", "Unread").is_violation());
    assert_eq!(line("NoRoom", "Idle").count, 2);
    assert_eq!(LoggedCut::parse("{\"message\": \"session closed\"}"), None);
}
