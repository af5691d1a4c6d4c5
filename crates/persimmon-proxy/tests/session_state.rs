//! The memory that values and prepared statements of sessions may occupy.

use std::rc::Rc;
use std::sync::Arc;

use persimmon_interfaces::Access;
use persimmon_proxy::{MemoryBudget, MemoryShare, SessionState, StateLimit, session_state_limits};

/// The memory of the smallest host, in bytes.
const HOST_MEMORY: usize = 112 * 1_000_000;

const LARGE: usize = 1 << 20;

fn text(length: usize) -> Arc<str> {
    Arc::from("x".repeat(length))
}

fn name(number: usize) -> Arc<str> {
    Arc::from(format!("v{number}"))
}

fn states(count: usize) -> Vec<SessionState> {
    let (limit, total) = session_state_limits(Some(HOST_MEMORY));
    let budget = Rc::new(MemoryBudget::new(total));
    (0..count).map(|_| SessionState::new(MemoryShare::new(Rc::clone(&budget)), limit)).collect()
}

/// Sets large values until one is refused; returns how many were kept, and why the last was not.
fn fill(state: &mut SessionState) -> (usize, StateLimit) {
    let value = text(LARGE);
    for number in 0..2_000 {
        if let Err(limit) = state.set(&name(number), &value) {
            return (number, limit);
        }
    }
    panic!("no limit");
}

/// Guards against one client that takes the memory of a host.
#[test]
fn one_session_takes_a_part_of_the_memory_only() {
    let mut states = states(1);

    let (kept, limit) = fill(&mut states[0]);

    assert_eq!(limit, StateLimit::Session);
    assert!((1..=HOST_MEMORY / LARGE / 20).contains(&kept), "{kept}");
}

/// Guards against many clients that take it together, and keep others from being served.
#[test]
fn many_sessions_take_a_part_of_the_memory_and_small_ones_are_kept() {
    let mut states = states(100);

    let kept: usize = states.iter_mut().skip(1).map(|state| fill(state).0).sum();

    assert!(kept * LARGE <= HOST_MEMORY / 8, "{kept}");
    assert_eq!(states[0].set(&name(1), &text(1_000)), Ok(()));
    assert_eq!(states[0].prepare(&name(1), Access::Read, &text(1_000)), Ok(()));
}

#[test]
fn refused_value_leaves_the_one_before() {
    let mut states = states(1);
    let before = text(10);
    states[0].set(&name(1), &before).expect("a small value");

    let refused = states[0].set(&name(1), &text(HOST_MEMORY));

    assert_eq!(refused, Err(StateLimit::Session));
    assert_eq!(states[0].variables().get("v1"), Some(&before));
}

#[test]
fn room_returns_with_a_smaller_value_a_forgotten_statement_or_the_end_of_the_session() {
    let mut states = states(20);
    let mut filled = 0;
    for state in &mut states {
        filled += usize::from(fill(state).1 == StateLimit::Total);
    }
    assert!(filled > 10, "{filled}");

    states[0].set(&name(0), &text(1)).expect("a small value");
    assert_eq!(states[19].prepare(&name(1), Access::Read, &text(LARGE)), Ok(()));
    states[19].deallocate("v1");
    assert_eq!(states[18].set(&name(1), &text(LARGE)), Ok(()));
    states.remove(0);

    assert_eq!(states[10].set(&name(1), &text(LARGE)), Ok(()));
}

#[test]
fn number_of_entries_is_limited() {
    let mut states = states(1);
    for number in 0..1_000 {
        states[0].set(&name(number), &text(1)).expect("a value");
        states[0].prepare(&name(number), Access::Read, &text(1)).expect("a statement");
    }

    assert_eq!(states[0].set(&name(1_000), &text(1)), Err(StateLimit::Entries));
    assert_eq!(states[0].prepare(&name(1_000), Access::Read, &text(1)), Err(StateLimit::Entries));
    assert_eq!(states[0].set(&name(1), &text(2)), Ok(()));
}
