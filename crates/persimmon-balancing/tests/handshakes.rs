//! Limits of concurrent handshakes, in single decisions and when a whole fleet starts.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use persimmon_balancing::{ConnectionCounts, ConnectionLimits, HandshakeLimiter};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const CAP: usize = 80;

/// An instance that 126 daemons share.
const LIMITS: ConnectionLimits = ConnectionLimits { max_connections: CAP, slots: 6, sharers: 126 };

#[test]
fn a_new_daemon_runs_one_handshake_at_a_time() {
    let limiter = HandshakeLimiter::new();

    assert_eq!(limiter.concurrency(), 1);
}

#[test]
fn the_limit_rises_while_handshakes_do_not_wait() {
    let mut limiter = HandshakeLimiter::new();

    limiter.record_handshake(27.0, true);

    assert_eq!(limiter.concurrency(), HandshakeLimiter::max_concurrent());
}

#[test]
fn a_handshake_that_waited_lowers_the_limit() {
    let mut limiter = HandshakeLimiter::new();
    for _ in 0..20 {
        limiter.record_handshake(27.0, true);
    }

    let wait_ms = limiter.record_handshake(227.0, false);

    assert!((190.0..=200.0).contains(&wait_ms), "{wait_ms}");
    assert_eq!(limiter.concurrency(), 1);
}

#[test]
fn a_congested_instance_gets_no_second_connection() {
    let counts = ConnectionCounts { checked_out: 1, pinned: 0, opening: 0 };

    assert!(!counts.may_open(LIMITS, true));
    assert!(counts.may_open(LIMITS, false));
}

#[test]
fn owner_of_a_congested_instance_opens_connections_up_to_twice_its_share_of_the_slots() {
    let limits = ConnectionLimits { sharers: 3, ..LIMITS };
    let counts = |checked_out| ConnectionCounts { checked_out, pinned: 0, opening: 0 };

    assert!(counts(3).may_open(limits, true));
    assert!(!counts(4).may_open(limits, true));
}

#[test]
fn owners_together_leave_half_of_the_connections_for_a_restart() {
    let limits = ConnectionLimits { max_connections: 125, slots: 5, sharers: 5 };
    let mut counts = ConnectionCounts::default();

    while counts.may_open(limits, false) {
        counts.checked_out += 1;
    }
    assert!(counts.checked_out * limits.sharers <= limits.max_connections / 2);

    // Those that open transactions pin come on top.
    counts.pinned = 5;
    assert!(counts.may_open(limits, false));
}

#[test]
fn one_of_many_daemons_opens_more_than_its_share() {
    let counts = ConnectionCounts { checked_out: 3, pinned: 0, opening: 0 };

    assert!(counts.may_open(LIMITS, false));
}

#[test]
fn a_pinned_connection_does_not_count_as_busy() {
    let counts = ConnectionCounts { checked_out: 2, pinned: 2, opening: 0 };

    assert!(counts.may_open(LIMITS, true));
}

#[test]
fn one_daemon_uses_at_most_half_of_the_cap() {
    let counts = ConnectionCounts { checked_out: CAP / 2, pinned: CAP / 2, opening: 0 };

    assert!(!counts.may_open(LIMITS, false));
}

/// All daemons connect to all instances at once; every handshake occupies a slot.
const DAEMONS: usize = 120;
const INSTANCES: usize = 24;
const SLOTS: usize = 6;
const HANDSHAKE_MS: u64 = 27;

/// Simulates the start of a fleet. Returns the mean duration of a handshake and the time at which
/// the last one completes, both in milliseconds.
fn simulate_start(is_limited: bool) -> (u64, u64) {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut limiters = vec![HandshakeLimiter::new(); DAEMONS];
    let mut unconnected: Vec<Vec<usize>> = vec![(0..INSTANCES).collect(); DAEMONS];
    let mut handshakes = vec![0_u32; DAEMONS];
    let mut busy = [0_usize; INSTANCES];
    let mut queues: Vec<VecDeque<(usize, u64)>> = vec![VecDeque::new(); INSTANCES];
    let mut events: BinaryHeap<Reverse<(u64, usize, usize, u64)>> = BinaryHeap::new();
    let (mut now, mut total, mut completed) = (0, 0, 0);
    loop {
        for daemon in 0..DAEMONS {
            let limit = if is_limited { limiters[daemon].concurrency() } else { INSTANCES as u32 };
            while handshakes[daemon] < limit && !unconnected[daemon].is_empty() {
                let index = rng.random_range(0..unconnected[daemon].len());
                let instance = unconnected[daemon].swap_remove(index);
                handshakes[daemon] += 1;
                if busy[instance] < SLOTS {
                    busy[instance] += 1;
                    events.push(Reverse((now + HANDSHAKE_MS, instance, daemon, now)));
                } else {
                    queues[instance].push_back((daemon, now));
                }
            }
        }
        let Some(Reverse((time, instance, daemon, sent))) = events.pop() else {
            return (total / completed, now);
        };
        now = time;
        handshakes[daemon] -= 1;
        total += now - sent;
        completed += 1;
        limiters[daemon].record_handshake((now - sent) as f64, queues[instance].is_empty());
        match queues[instance].pop_front() {
            Some((next, sent)) => events.push(Reverse((now + HANDSHAKE_MS, instance, next, sent))),
            None => busy[instance] -= 1,
        }
    }
}

#[test]
fn limited_handshakes_delay_statements_less_when_a_fleet_starts() {
    let (unlimited_mean, unlimited_end) = simulate_start(false);

    let (mean, end) = simulate_start(true);

    assert!(mean * 3 < unlimited_mean, "{mean} of {unlimited_mean} ms");
    assert!(end < unlimited_end * 2, "last handshake after {end} ms, unlimited {unlimited_end} ms");
}
