//! The memory that the data of sessions may occupy together.

use std::rc::Rc;

use persimmon_proxy::{MemoryBudget, MemoryShare};

const LARGE: usize = 1 << 20;

/// The limit of incomplete messages.
const LIMIT: usize = 16 << 20;

fn shares(count: usize) -> Vec<MemoryShare> {
    let budget = Rc::new(MemoryBudget::new(LIMIT));
    (0..count).map(|_| MemoryShare::new(Rc::clone(&budget))).collect()
}

#[test]
fn many_large_messages_together_are_not_kept() {
    let shares = shares(100);

    let kept = shares.iter().filter(|share| share.record(LARGE)).count();

    assert!(kept >= 8, "{kept}");
    assert!(kept * LARGE < 32 << 20, "{kept}");
}

#[test]
fn small_message_is_kept_beside_large_ones() {
    let shares = shares(101);
    for share in &shares[1..] {
        share.record(LARGE);
    }

    assert!(shares[0].record(1_000));
}

#[test]
fn room_returns_with_a_complete_message_or_the_end_of_a_session() {
    let mut shares = shares(21);
    for share in &shares {
        share.record(LARGE);
    }
    assert!(!shares[20].record(LARGE));

    shares.drain(..10);
    shares[0].record(0);

    assert!(shares[10].record(LARGE));
}
