//! The decisions of the dispatch queue and of the order of waiters for connections.

use std::sync::Arc;
use std::time::Duration;

use persimmon_balancing::{
    ConnectionRank, ConnectionWaiters, DispatchQueue, Offer, QueueEntry, QueueRefusal,
    QueueRefusalReason, Ticket, bounded_limit,
};
use persimmon_types::Time;

fn at(ms: u64) -> Time {
    Time::from_millis(10_000 + ms)
}

/// A statement of 10 ms that arrives at 0, with an objective of 200 ms and a deadline of 1 s.
fn entry(priority: u8) -> QueueEntry {
    QueueEntry {
        priority,
        holds_work: false,
        arrived_at: at(0),
        objective_at: at(200),
        deadline: at(1_000),
        cost: Duration::from_millis(10),
        later_statements: 0,
        workspace: None,
        weight: 1.0,
    }
}

fn of_workspace(name: &str) -> QueueEntry {
    QueueEntry { workspace: Some(Arc::from(name)), ..entry(1) }
}

fn offer(queue: &mut DispatchQueue, entry: QueueEntry) -> Result<Ticket, QueueRefusal> {
    match queue.offer(at(0), entry, &mut || 0.5).0 {
        Offer::Queued(ticket, _) => Ok(ticket),
        Offer::Refused(refusal) => Err(refusal),
    }
}

fn fill(queue: &mut DispatchQueue, count: usize, entry: &QueueEntry) -> Vec<Ticket> {
    (0..count).filter_map(|_| offer(queue, entry.clone()).ok()).collect()
}

/// Dispatches statements at one moment and returns what was asked of each.
fn dispatch<T>(queue: &mut DispatchQueue, count: usize, of: impl Fn(&QueueEntry) -> T) -> Vec<T> {
    (0..count).filter_map(|_| queue.next(at(1)).map(|d| of(&d.entry))).collect()
}

/// Guards against a transaction that holds work and locks while others pass it.
#[test]
fn open_transactions_precede_the_most_urgent_class() {
    let mut queue = DispatchQueue::new(4);
    fill(&mut queue, 2, &entry(0));
    fill(&mut queue, 1, &QueueEntry { holds_work: true, ..entry(5) });

    let order = dispatch(&mut queue, 3, |e| e.holds_work);

    assert_eq!(order, [true, false, false]);
}

/// Guards against a lower class that is served first, and against one that gets nothing.
#[test]
fn lower_classes_receive_their_guaranteed_share_and_no_more() {
    let mut queue = DispatchQueue::new(40);
    fill(&mut queue, 100, &entry(0));
    fill(&mut queue, 50, &entry(1));
    fill(&mut queue, 50, &entry(2));

    let order = dispatch(&mut queue, 100, |e| e.priority);

    let count = |priority| order.iter().filter(|p| **p == priority).count();
    assert_eq!(order[0], 0);
    assert!((8..=11).contains(&count(1)), "{}", count(1));
    assert!((8..=11).contains(&count(2)), "{}", count(2));
}

/// Guards against serving in order of arrival what will be late, while others still can be in time.
#[test]
fn least_slack_comes_first_among_those_that_can_meet_their_objective() {
    let mut queue = DispatchQueue::new(4);
    for objective_ms in [300, 5, 100, 200] {
        let entry = QueueEntry { objective_at: at(objective_ms), ..entry(1) };
        offer(&mut queue, entry).expect("it can be answered in time");
    }

    let order = dispatch(&mut queue, 4, |e| e.objective_at);

    assert_eq!(order, [at(100), at(200), at(300), at(5)]);
}

/// Guards against a transaction that counts the time of its first statement alone.
#[test]
fn later_statements_of_a_transaction_reduce_its_slack() {
    let mut queue = DispatchQueue::new(4);
    let transaction = QueueEntry { later_statements: 9, ..entry(1) };
    offer(&mut queue, QueueEntry { objective_at: at(150), ..entry(1) }).expect("in time");
    offer(&mut queue, transaction).expect("in time");

    let order = dispatch(&mut queue, 2, |e| e.later_statements);

    assert_eq!(order, [9, 0]);
}

/// Guards against one workspace that fills the queue before others arrive.
#[test]
fn workspaces_take_turns_whatever_one_of_them_has_queued() {
    let mut queue = DispatchQueue::new(40);
    fill(&mut queue, 60, &of_workspace("large"));
    fill(&mut queue, 10, &of_workspace("small"));
    fill(&mut queue, 10, &of_workspace("other"));

    let order = dispatch(&mut queue, 36, |e| e.workspace.clone());

    let count = |name: &str| order.iter().flatten().filter(|w| &***w == name).count();
    assert!(count("small") >= 8, "{}", count("small"));
    assert!(count("other") >= 8, "{}", count("other"));
}

/// Guards against equal turns for workspaces that bought unequal quotas.
#[test]
fn turns_follow_the_weight_of_a_workspace() {
    let mut queue = DispatchQueue::new(40);
    fill(&mut queue, 60, &QueueEntry { weight: 3.0, ..of_workspace("large") });
    fill(&mut queue, 60, &of_workspace("small"));

    let order = dispatch(&mut queue, 64, |e| e.weight > 1.0);

    let large = order.iter().filter(|is_large| **is_large).count();
    assert!((42..=54).contains(&large), "{large} of 64");
}

/// Guards against clients that are held although nothing can come of it.
#[test]
fn statement_that_cannot_be_answered_in_time_is_refused_at_arrival() {
    let mut queue = DispatchQueue::new(1);
    // They are served within 900 ms, at one slot.
    let before = fill(&mut queue, 90, &QueueEntry { objective_at: at(1_000), ..entry(1) });

    let refusal = offer(&mut queue, QueueEntry { deadline: at(800), ..entry(2) });

    assert_eq!(before.len(), 90);
    let refusal = refusal.expect_err("its answer would come after 800 ms");
    assert_eq!(refusal.reason, QueueRefusalReason::TooLate);
    assert_eq!(refusal.forecast.position, 90);
    assert!(refusal.forecast.wait >= Duration::from_millis(790), "{:?}", refusal.forecast.wait);
}

/// Guards against a queue that keeps what became hopeless when the instance stopped answering.
#[test]
fn statements_are_refused_once_the_instance_serves_too_slowly() {
    let mut queue = DispatchQueue::new(4);
    let waiting = fill(&mut queue, 40, &QueueEntry { objective_at: at(1_000), ..entry(1) });
    // One statement in 50 ms instead of 20.
    for step in 1..=12 {
        queue.next(at(step * 50)).expect("one waits");
    }

    let refused = queue.refuse_late(at(600), &mut || 0.5);

    // Eight of the 28 that are left can be answered within the remaining 400 ms. The rates that were
    // observed may be off by a factor of 2.
    assert_eq!(waiting.len(), 40);
    assert!((12..=24).contains(&refused.len()), "{} refused", refused.len());
    assert_eq!(queue.len(), 28 - refused.len());
    assert!(refused.iter().all(|(_, r)| r.reason == QueueRefusalReason::TooLate));
}

/// Guards against a statement that is sent so late that its client does not learn whether it ran.
#[test]
fn statement_is_refused_rather_than_sent_just_before_its_deadline() {
    let mut queue = DispatchQueue::new(4);
    let ticket = offer(&mut queue, QueueEntry { deadline: at(100), ..entry(1) });

    let early = queue.refuse_late(at(60), &mut || 0.5);
    let late = queue.refuse_late(at(70), &mut || 0.5);

    assert!(early.is_empty(), "{early:?}");
    assert_eq!(late.first().map(|(t, _)| *t), ticket.ok());
}

/// Guards against a crowd that is refused together and returns together.
#[test]
fn refused_statements_return_at_different_times() {
    let mut queue = DispatchQueue::new(1);
    fill(&mut queue, 90, &entry(1));
    let mut draws = (0..100).map(|n| f64::from(n) / 100.0);
    let late = QueueEntry { deadline: at(300), ..entry(1) };

    let times: Vec<Duration> = (0..100)
        .filter_map(|_| {
            match queue.offer(at(0), late.clone(), &mut || draws.next().unwrap_or(0.0)).0 {
                Offer::Refused(refusal) => Some(refusal.retry_after),
                Offer::Queued(..) => None,
            }
        })
        .collect();

    assert_eq!(times.len(), 100);
    let (first, last) = (times.iter().min().expect("some"), times.iter().max().expect("some"));
    assert!(*last - *first >= Duration::from_millis(500), "{first:?} to {last:?}");
}

/// Guards against a queue without bound, and against one full of one class that shuts out another.
#[test]
fn full_queue_displaces_the_last_statement_of_a_class_beyond_its_places() {
    let mut queue = DispatchQueue::new(40).with_max_waiting(20);
    fill(&mut queue, 20, &entry(0));

    let (offered, displaced) = queue.offer(at(0), entry(2), &mut || 0.5);

    assert!(matches!(offered, Offer::Queued(..)), "{offered:?}");
    assert_eq!(queue.len(), 20);
    assert_eq!(displaced.len(), 1);
    assert_eq!(displaced[0].1.reason, QueueRefusalReason::QueueFull);
    // Beyond the guaranteed places, the lower class gives way itself.
    fill(&mut queue, 4, &entry(2));
    let refused = offer(&mut queue, entry(2)).expect_err("its places are taken");
    assert_eq!(refused.reason, QueueRefusalReason::QueueFull);
}

/// Guards against a statement that is dispatched after its client stopped waiting.
#[test]
fn cancelled_statement_is_not_dispatched() {
    let mut queue = DispatchQueue::new(4);
    let tickets = fill(&mut queue, 2, &entry(1));

    assert!(queue.cancel(at(1), tickets[0]));

    assert!(!queue.cancel(at(1), tickets[0]));
    assert_eq!(queue.next(at(1)).map(|d| d.ticket), Some(tickets[1]));
    assert!(queue.is_empty());
}

/// Guards against waiting at the instance, in no order, and against a limit of nothing.
#[test]
fn in_flight_is_bounded_by_the_slots_and_never_stops() {
    assert!((bounded_limit(40.0, 4, 0.0) - 8.0).abs() < 1e-9);
    assert!((bounded_limit(40.0, 4, 25.0) - 4.0).abs() < 1e-9);
    assert!((bounded_limit(0.2, 4, 25.0) - 1.0).abs() < 1e-9);
}

fn rank(priority: u8, objective_ms: u64) -> ConnectionRank {
    ConnectionRank { priority, objective_at: at(objective_ms) }
}

/// Guards against a connection that goes to whoever asks first after a restart.
#[test]
fn connection_goes_to_the_most_urgent_waiter() {
    let mut waiters = ConnectionWaiters::default();
    let low = waiters.add(at(0), rank(2, 100), None);
    let late = waiters.add(at(0), rank(0, 400), None);
    let urgent = waiters.add(at(0), rank(0, 100), None);

    assert!(waiters.may_take(at(1), urgent, 1));
    assert!(!waiters.may_take(at(1), late, 1));
    assert!(waiters.may_take(at(1), late, 2));
    assert!(!waiters.may_take(at(1), low, 2));
    waiters.remove(urgent);
    assert!(waiters.may_take(at(1), late, 1));
}

/// Guards against a waiter that is passed over for ever.
#[test]
fn waiter_that_was_passed_over_for_long_comes_first() {
    let mut waiters = ConnectionWaiters::default();
    let low = waiters.add(at(0), rank(2, 50), None);
    let urgent = waiters.add(at(90), rank(0, 200), None);

    assert!(!waiters.may_take(at(95), low, 1));
    assert!(waiters.may_take(at(110), low, 1));
    assert!(!waiters.may_take(at(110), urgent, 1));
}

/// Guards against a connection that nobody takes, because it belongs to another workspace than the
/// most urgent waiter.
#[test]
fn waiters_of_other_workspaces_do_not_count() {
    let mut waiters = ConnectionWaiters::default();
    waiters.add(at(0), rank(0, 100), Some(Arc::from("a")));
    let low = waiters.add(at(0), rank(2, 100), Some(Arc::from("b")));

    assert!(waiters.may_take(at(1), low, 1));
}
