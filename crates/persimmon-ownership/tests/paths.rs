//! The path of a statement, what follows a failed hop, and the health of a link.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use persimmon_balancing::AttemptKind;
use persimmon_ownership::{HopFailure, LinkHealth, Path, after_hop, choose_path};
use persimmon_types::Time;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 0, 0, number), 7_440))
}

fn at(ms: u64) -> Time {
    Time::from_millis(1_000_000 + ms)
}

const MS: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn owner_runs_its_statements_itself() {
    let candidates = [address(1), address(2)];

    assert_eq!(choose_path(address(1), &candidates, &[], |_| true), Path::Direct);
}

#[test]
fn statement_goes_to_the_owner_and_then_to_its_successors() {
    let candidates = [address(1), address(2), address(3), address(4)];
    let own = address(9);
    let cases: [(&[u8], Path); 4] = [
        (&[], Path::Forward(address(1))),
        (&[1], Path::Forward(address(2))),
        (&[1, 2], Path::Forward(address(3))),
        // After three daemons, this one connects itself.
        (&[1, 2, 3], Path::Direct),
    ];
    for (tried, expected) in cases {
        let tried: Vec<SocketAddr> = tried.iter().map(|n| address(*n)).collect();

        assert_eq!(choose_path(own, &candidates, &tried, |_| true), expected, "{tried:?}");
    }
}

#[test]
fn unusable_owner_is_passed_over() {
    let candidates = [address(1), address(2)];

    let path = choose_path(address(9), &candidates, &[], |peer| peer != address(1));

    assert_eq!(path, Path::Forward(address(2)));
}

#[test]
fn successor_that_replaces_the_owner_does_not_forward_to_a_later_one() {
    let candidates = [address(1), address(2), address(3)];

    let path = choose_path(address(2), &candidates, &[], |peer| peer != address(1));

    assert_eq!(path, Path::Direct);
}

#[test]
fn only_a_read_is_run_again_after_a_hop_without_an_answer() {
    let kinds = [
        (AttemptKind::Read, true),
        (AttemptKind::Write, false),
        (AttemptKind::FirstInTransaction, false),
        (AttemptKind::Commit, false),
    ];
    for (kind, is_repeated) in kinds {
        assert_eq!(after_hop(HopFailure::Unanswered, kind, true), is_repeated, "{kind:?}");
        assert!(after_hop(HopFailure::NotForwarded, kind, true), "{kind:?}");
    }
    assert!(!after_hop(HopFailure::Unanswered, AttemptKind::Read, false));
}

#[test]
fn silent_daemon_gets_no_new_requests_until_it_answers() {
    let mut health = LinkHealth::new(at(0));
    health.record_sent(at(0));
    assert!(!health.needs_ping(at(50)));
    assert!(health.needs_ping(at(120)));

    health.record_ping(at(120));
    assert!(health.is_usable(at(300)));
    assert!(!health.is_usable(at(400)));

    // The answer to a request shows that the daemon is alive as well.
    health.record_answer(at(450));
    assert!(health.is_usable(at(450)));
}

#[test]
fn slow_request_at_a_daemon_that_answers_pings_is_no_silence() {
    let mut health = LinkHealth::new(at(0));
    health.record_sent(at(0));

    for round in 0..20 {
        let now = at(120 * (round + 1));
        assert!(health.needs_ping(now), "{round}");
        health.record_ping(now);
        health.record_pong(now + MS(5));
        assert!(health.is_usable(now + MS(100)), "{round}");
    }
}

#[test]
fn idle_link_is_not_pinged() {
    let mut health = LinkHealth::new(at(0));
    health.record_sent(at(0));
    health.record_answer(at(10));

    assert!(!health.needs_ping(at(5_000)));
}

#[test]
fn pauses_after_failures_grow_and_end_with_an_answer() {
    let mut health = LinkHealth::new(at(0));
    health.record_failure(at(0));
    assert!(!health.is_usable(at(400)));
    assert!(health.is_usable(at(600)));

    health.record_failure(at(600));
    assert!(!health.is_usable(at(1_500)));
    health.record_answer(at(1_700));
    health.record_failure(at(2_000));

    assert!(health.is_usable(at(2_600)));
}

#[test]
fn draining_daemon_is_passed_over_until_it_has_exited() {
    let mut health = LinkHealth::new(at(0));

    health.record_draining(at(0));

    assert!(!health.is_usable(at(6_000)));
    assert!(health.is_usable(at(11_000)));
}
