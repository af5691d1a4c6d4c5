//! Decisions on connections of workspaces. Guards against workspaces that are not served, handshakes
//! that take connections from statements about to use them, and limits that do not count idle
//! connections.

use std::sync::Arc;
use std::time::Duration;

use persimmon_balancing::{OpeningDecision, WorkspaceConnections, WorkspaceLimits, WorkspaceName};
use persimmon_types::Time;

const CAP: usize = 111;
const OWNERS: usize = 3;
const SLOTS: usize = 4;

fn name(workspace: &str) -> WorkspaceName {
    Some(Arc::from(workspace))
}

fn at(ms: u64) -> Time {
    Time::from_millis(1_000_000 + ms)
}

fn owner() -> WorkspaceLimits {
    WorkspaceLimits::of_owner(CAP, SLOTS, OWNERS, Time::ZERO, at(0))
}

/// Connections of which `idle` belong to workspaces that each sent `arrivals` statements.
fn connections(idle: &[(WorkspaceName, usize)]) -> WorkspaceConnections {
    let mut connections = WorkspaceConnections::new();
    for (workspace, arrivals) in idle {
        for _ in 0..*arrivals {
            connections.record_arrival(at(0), workspace);
        }
    }
    connections.set_idle(idle.iter().map(|(workspace, _)| workspace));
    connections
}

fn full() -> Vec<(WorkspaceName, usize)> {
    (0..owner().keep).map(|n| (name(&format!("w{n:02}")), 50 - n)).collect()
}

fn begin(connections: &mut WorkspaceConnections, ms: u64, workspace: &WorkspaceName) {
    connections.record_arrival(at(ms), workspace);
    connections.begin_wait(at(ms), workspace);
}

#[test]
fn owners_leave_room_for_one_that_restarts() {
    let limits = owner();
    let started = WorkspaceLimits::of_owner(CAP, SLOTS, OWNERS, at(0), at(100));

    assert!(limits.keep * OWNERS + limits.keep <= CAP, "{limits:?}");
    assert!(limits.max * OWNERS <= CAP, "{limits:?}");
    // All restart together while the instance still counts what they had.
    assert!(limits.keep * OWNERS + started.max * OWNERS <= CAP, "{started:?}");
}

#[test]
fn idle_connections_of_other_workspaces_count_against_the_limits() {
    let mut connections = connections(&full());
    begin(&mut connections, 0, &name("new"));
    let many = WorkspaceLimits::of_many(CAP, SLOTS, Some(20), 2);

    let owner_decides = connections.decide(at(0), &name("new"), &owner());
    let other_decides = connections.decide(at(0), &name("new"), &many);

    assert!(matches!(owner_decides, OpeningDecision::Replace(_)), "{owner_decides:?}");
    assert!(matches!(other_decides, OpeningDecision::Replace(_)), "{other_decides:?}");
}

#[test]
fn connection_worth_least_is_closed() {
    let mut connections = connections(&full());
    begin(&mut connections, 0, &name("new"));

    let decision = connections.decide(at(0), &name("new"), &owner());

    assert_eq!(decision, OpeningDecision::Replace(full().last().unwrap().0.clone()));
}

#[test]
fn second_connection_of_a_large_workspace_is_worth_less_than_a_small_ones_only() {
    let mut idle = full();
    idle.pop();
    idle.push((name("w00"), 0));
    let mut connections = connections(&idle);
    begin(&mut connections, 0, &name("new"));

    let decision = connections.decide(at(0), &name("new"), &owner());

    assert_eq!(decision, OpeningDecision::Replace(name("w00")));
}

#[test]
fn connection_that_a_waiting_statement_is_about_to_take_is_not_closed() {
    let mut connections = connections(&full());
    let least = full().last().unwrap().0.clone();
    begin(&mut connections, 0, &least);
    begin(&mut connections, 1, &name("new"));

    let decision = connections.decide(at(1), &name("new"), &owner());

    assert!(matches!(&decision, OpeningDecision::Replace(other) if *other != least));
}

#[test]
fn statement_waits_for_a_busy_connection_and_not_for_a_pinned_one() {
    let mut connections = connections(&[]);
    connections.record_taken(&name("a"));
    begin(&mut connections, 0, &name("a"));

    let busy = connections.decide(at(0), &name("a"), &owner());
    connections.record_pinned(&name("a"));
    let pinned = connections.decide(at(0), &name("a"), &owner());

    assert_eq!(busy, OpeningDecision::Wait);
    assert_eq!(pinned, OpeningDecision::Open);
}

#[test]
fn statement_does_not_wait_for_long_for_a_connection_that_stays_busy() {
    let mut connections = connections(&[]);
    connections.record_taken(&name("a"));
    begin(&mut connections, 0, &name("a"));

    assert_eq!(connections.decide(at(100), &name("a"), &owner()), OpeningDecision::Open);
}

#[test]
fn congestion_keeps_only_workspaces_with_a_connection_from_opening() {
    let limits = owner().with_congestion(true);
    let mut connections = connections(&[]);
    connections.record_taken(&name("a"));
    begin(&mut connections, 0, &name("a"));
    begin(&mut connections, 100, &name("b"));

    assert_eq!(connections.decide(at(100), &name("a"), &limits), OpeningDecision::Wait);
    assert_eq!(connections.decide(at(100), &name("b"), &limits), OpeningDecision::Open);
}

#[test]
fn workspace_that_has_waited_longest_is_first_and_openings_are_spaced() {
    let mut connections = connections(&[]);
    begin(&mut connections, 0, &name("first"));
    begin(&mut connections, 5, &name("second"));

    assert_eq!(connections.decide(at(6), &name("second"), &owner()), OpeningDecision::Wait);
    assert_eq!(connections.decide(at(6), &name("first"), &owner()), OpeningDecision::Open);
    connections.record_opening(at(6), &name("first"), &owner());
    assert_eq!(connections.decide(at(7), &name("second"), &owner()), OpeningDecision::Wait);

    let later = at(7) + connections.time_to_opening(at(7));
    assert_eq!(connections.decide(later, &name("second"), &owner()), OpeningDecision::Open);
    // Handshakes of 12 ms of all owners fill at most half of the slots.
    let interval = connections.time_to_opening(at(6)).as_secs_f64();
    assert!(0.012 / interval * OWNERS as f64 <= SLOTS as f64 * 0.5 + 1e-9, "{interval}");
}

#[test]
fn refused_daemon_opens_only_for_what_it_closes() {
    let limits = owner().without_growth();
    let mut connections = connections(&[(name("a"), 5)]);
    begin(&mut connections, 0, &name("b"));

    let decision = connections.decide(at(0), &name("b"), &limits);

    assert_eq!(decision, OpeningDecision::Replace(name("a")));
}

#[test]
fn resting_transactions_of_one_workspace_leave_half_of_the_connections() {
    let mut connections = connections(&[]);
    let mut held = 0;
    for _ in 0..CAP {
        begin(&mut connections, 0, &name("rests"));
        if connections.decide(at(0), &name("rests"), &owner()) == OpeningDecision::Open {
            connections.record_taken(&name("rests"));
            connections.record_pinned(&name("rests"));
            connections.end_wait(at(0), &name("rests"), true);
            held += 1;
        }
    }
    begin(&mut connections, 1, &name("other"));

    assert!(held <= owner().max / 2, "{held}");
    assert_eq!(connections.decide(at(1), &name("other"), &owner()), OpeningDecision::Open);
}

#[test]
fn surplus_and_closed_workspaces_are_found() {
    let mut idle = full();
    idle.push((name("extra"), 1));
    let mut connections = connections(&idle);

    assert_eq!(connections.surplus(at(0), &owner()), Some(name("extra")));
    connections.set_idle(full().iter().map(|(workspace, _)| workspace));
    assert_eq!(connections.surplus(at(0), &owner()), None);
    connections.set_idle(std::iter::empty());
    connections.forget_unused(at(0) + Duration::from_secs(1), |_| false);
    assert_eq!(connections.total(), 0);
}
