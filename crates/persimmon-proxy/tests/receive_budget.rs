//! The memory that incomplete messages of clients may occupy together.

use std::rc::Rc;

use persimmon_proxy::{ReceiveBudget, ReceiveShare};

const LARGE: usize = 1 << 20;

fn shares(count: usize) -> Vec<ReceiveShare> {
    let budget = Rc::new(ReceiveBudget::default());
    (0..count).map(|_| ReceiveShare::new(Rc::clone(&budget))).collect()
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
