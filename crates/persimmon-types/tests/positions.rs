//! Comparison of log positions across terms, position tokens, reserved terms and rendezvous order.

use persimmon_types::{
    DaemonId, GroupRecord, Lsn, Position, PositionToken, Term, TermHistory, TermStart,
    rendezvous_rank, rendezvous_top,
};

fn at(term: u64, lsn: u64) -> Position {
    Position::new(Term(term), Lsn(lsn))
}

fn term_history() -> TermHistory {
    let mut history = TermHistory::new();
    history.push(TermStart { term: Term(2), inherited: Lsn(100) });
    history.push(TermStart { term: Term(3), inherited: Lsn(150) });
    history
}

#[test]
fn a_minimum_position_is_clamped_to_the_log_that_survives_a_failover() {
    let history = term_history();
    // Within one term, log sequence numbers are compared.
    assert!(history.has_applied(at(1, 50), at(1, 50)));
    assert!(!history.has_applied(at(1, 49), at(1, 50)));
    // An entry acknowledged in an older term has the same number in the newer one.
    assert!(history.has_applied(at(2, 101), at(1, 90)));
    assert!(!history.has_applied(at(3, 89), at(1, 90)));
    // A number of an older term is not comparable with one of a newer term.
    assert!(!history.has_applied(at(1, 500), at(2, 120)));
    // Entries beyond the next term's start were lost, so replicas need not apply them.
    assert!(history.has_applied(at(2, 100), at(1, 130)));
    assert!(history.has_applied(at(3, 150), at(2, 170)));
}

#[test]
fn a_token_round_trips_and_malformed_tokens_are_rejected() {
    let token = PositionToken(at(3, 17));
    assert_eq!(token.to_string().parse(), Ok(token));
    for malformed in ["", "p1", "p1-3", "p1-x-1", "p2-1-1", "p1-1-1-1"] {
        assert!(malformed.parse::<PositionToken>().is_err(), "{malformed}");
    }
}

#[test]
fn a_term_number_is_reserved_only_once() {
    // Arrange
    let daemons: Vec<DaemonId> = (0..4).map(|n| DaemonId::new(&format!("d{n}"))).collect();
    let mut record = GroupRecord::new("s", "i0");
    record.reserve_terms(&daemons[..3]);
    let before = record.clone();

    // Act: replace one holder by another.
    record.reserve_terms(&daemons[1..]);

    // Assert
    for kept in &daemons[1..3] {
        assert_eq!(record.reservation(kept), before.reservation(kept));
    }
    let fresh = record.reservation(&daemons[3]).unwrap().term;
    assert!(before.reserved.iter().all(|r| r.term != fresh));
}

#[test]
fn removing_a_candidate_keeps_the_order_of_the_others() {
    let daemons: Vec<DaemonId> = (0..20).map(|n| DaemonId::new(&format!("d{n}"))).collect();
    let order = rendezvous_top("key", &daemons, 20);
    let without: Vec<DaemonId> = daemons.iter().filter(|d| **d != order[3]).cloned().collect();
    let mut expected = order.clone();
    expected.remove(3);
    assert_eq!(rendezvous_top("key", &without, 19), expected);
    assert_eq!(rendezvous_rank("key", &daemons, &order[5]), 5);
    assert!(
        rendezvous_top("key", &daemons, 3).capacity() <= 3,
        "each of 20,000 groups keeps such a list"
    );
}
