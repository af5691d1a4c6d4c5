//! Tests the parts of quotas by themselves: limits, the fleet's record, order and memory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use persimmon_types::Time;
use persimmon_workspace::Quota;
use persimmon_workspace::quota::{
    Answer, Bounds, Claim, Coordinator, Decision, Fleet, FleetRecord, Grant, LEASE_TIME, Limit,
    Member, REGISTRATION_TIME, RecordChange, Request, Want,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const COORDINATOR: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

fn bounds() -> Bounds {
    Bounds { window: Duration::from_secs(5), overage: 0.1, slack: 20.0 }
}

fn limit(rate_per_s: f64, burst: f64) -> Limit {
    Limit::new(Quota { rate_per_s, burst }, &bounds())
}

fn ms(ms: u64) -> Time {
    Time::from_millis(1_000_000 + ms)
}

fn wants(workspaces: &[(&str, u32)]) -> Request {
    let wants = workspaces
        .iter()
        .map(|(name, tokens)| Want { workspace: Arc::from(*name), tokens: *tokens });
    Request { index: Some(0), version: 1, wants: wants.collect(), ..Request::default() }
}

/// An answer that grants everything requested.
fn granted(request: &Request, tokens: u32, retry_after: Duration) -> Answer {
    let grants = request.wants.iter().map(|_| Grant { tokens, retry_after }).collect();
    Answer { grants, ..Answer::default() }
}

/// Guards against a limit whose parts add up to more than the bound.
#[test]
fn the_parts_of_a_limit_stay_within_the_bound() {
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..20_000 {
        let bounds = Bounds {
            window: Duration::from_secs_f64(rng.random_range(0.5..30.0)),
            overage: rng.random_range(0.0..0.5),
            slack: rng.random_range(0.0..50.0),
        };
        let quota = Quota {
            rate_per_s: 10_f64.powf(rng.random_range(-2.0..4.0)),
            burst: rng.random_range(0.0..500.0),
        };

        let limit = Limit::new(quota, &bounds);

        let span = bounds.window.as_secs_f64() + limit.validity.as_secs_f64();
        let starts = (span / LEASE_TIME.as_secs_f64()).floor() + 2.0;
        let most = limit.capacity + limit.rate * span + limit.start_credit * starts;
        let bound = bounds.max_operations(quota);
        assert!(most <= bound + 1e-6, "{quota:?} {bounds:?} {limit:?}: {most} of {bound}");
        assert!(limit.rate >= 0.0 && limit.capacity >= 0.0);
    }
}

/// Guards against a rate that is lowered where the bounds of the deployment leave room.
#[test]
fn the_whole_rate_is_granted_within_usual_bounds() {
    for rate in [0.1, 1.0, 10.0, 100.0, 1_000.0] {
        for burst in [0.0, 10.0, rate] {
            let limit = limit(rate, burst);
            assert!(limit.rate >= rate - 1e-9 && limit.capacity >= 4.0, "{limit:?}");
        }
    }
}

/// Guards against shares that add up to more than one while members differ in what they know.
#[test]
fn fills_never_add_up_to_more_than_one() {
    let mut rng = StdRng::seed_from_u64(2);
    for _ in 0..20_000 {
        // No coordinator relies on a smaller record than the largest floor.
        let floor = rng.random_range(1..50_u32);
        let newest = floor + rng.random_range(0..50);
        let mut fleet = |registered: u32| {
            Fleet::new(u64::from(registered), 0..registered, rng.random_range(1..=floor))
        };
        let mut sizes: Vec<Fleet> = Vec::new();
        for _ in 0..5 {
            let registered = floor + fleet(newest - floor + 1).floor() - 1;
            sizes.push(fleet(registered));
        }
        sizes.push(Fleet::new(u64::from(newest), 0..newest, floor));
        let mut leases = vec![0; sizes.len()];
        for index in 0..newest {
            // A coordinator counts only members that its version of the record contains.
            let coordinator = rng.random_range(0..sizes.len());
            if sizes[coordinator].contains(index) && rng.random_bool(0.95) {
                leases[coordinator] += 1;
            }
        }
        let sum: f64 = sizes.iter().zip(&leases).map(|(size, leases)| size.fill(*leases)).sum();
        assert!(sum <= 1.0 + 1e-9, "{sizes:?} {leases:?}: {sum}");
    }
}

fn name(number: u32) -> Arc<str> {
    Arc::from(format!("d{number}"))
}

/// The record after a change, which is also written to the store and read again.
fn changed(record: &FleetRecord, change: RecordChange) -> FleetRecord {
    let changed = FleetRecord::updated(Some(record), [], &change).expect("a change");
    serde_json::from_value(serde_json::to_value(&changed).expect("JSON")).expect("a record")
}

fn first_record(daemons: u32) -> FleetRecord {
    let nothing = RecordChange::default();
    FleetRecord::updated(None, (0..daemons).map(name), &nothing).expect("a first record")
}

#[test]
fn a_record_keeps_indices_and_is_raised_only_with_its_own_version() {
    let nothing = RecordChange::default();
    let first = first_record(3);
    let grown = FleetRecord::updated(Some(&first), (2..5).map(name), &nothing).expect("grown");
    let stored: FleetRecord =
        serde_json::from_value(serde_json::to_value(&grown).expect("JSON")).expect("a record");

    assert_eq!(stored, grown);
    assert_eq!((stored.fleet().registered(), stored.fleet().floor()), (5, 3));
    assert_eq!((stored.index("d0"), stored.index("d4")), (Some(0), Some(4)));
    let confirmed = |version| RecordChange { confirmed: Some(version), ..RecordChange::default() };
    let older = FleetRecord::updated(Some(&stored), [], &confirmed(first.fleet().version));
    assert_eq!(older, None);
    let raised = changed(&stored, confirmed(stored.fleet().version));
    assert_eq!((raised.fleet().registered(), raised.fleet().floor()), (5, 5));
}

/// A fleet that is updated has a record of before daemons could be removed.
#[test]
fn a_record_without_versions_can_be_read() {
    let text = r#"{"daemons": ["d0", "d1", "d2"], "floor": 2}"#;

    let record: FleetRecord = serde_json::from_str(text).expect("a record");

    assert_eq!((record.fleet().registered(), record.fleet().floor()), (3, 2));
    assert_eq!((record.index("d2"), record.fleet().version), (Some(2), 1));
}

#[test]
fn a_daemon_is_removed_in_steps_and_gets_another_index_when_it_returns() {
    let first = first_record(3);
    let silent = RecordChange { silent: vec![1], ..RecordChange::default() };
    let retiring = changed(&first, silent.clone());
    let since = retiring.fleet().retiring()[0].since;
    assert_eq!(FleetRecord::updated(Some(&retiring), [], &silent), None, "it retires already");
    let of_earlier = RecordChange { ended: vec![(1, since - 1)], ..RecordChange::default() };
    assert_eq!(FleetRecord::updated(Some(&retiring), [], &of_earlier), None, "another retirement");

    let known =
        changed(&retiring, RecordChange { known: vec![(1, since)], ..RecordChange::default() });
    assert_eq!((known.fleet().registered(), known.fleet().floor()), (3, 2));
    let returned = RecordChange { active: vec![1], ..RecordChange::default() };
    assert_eq!(FleetRecord::updated(Some(&known), [name(1)], &returned), None, "too late");
    let ended = RecordChange { ended: vec![(1, since)], ..RecordChange::default() };
    let removed = changed(&known, ended);
    assert_eq!((removed.fleet().registered(), removed.index("d1")), (2, None));
    let back = FleetRecord::updated(Some(&removed), [name(1)], &RecordChange::default());

    assert_eq!(back.expect("it registers").index("d1"), Some(3));
}

#[test]
fn a_retiring_daemon_that_is_heard_of_stays_registered() {
    let retiring =
        changed(&first_record(3), RecordChange { silent: vec![1], ..RecordChange::default() });
    let returned = RecordChange { active: vec![1], ..RecordChange::default() };

    let by_message = changed(&retiring, returned);
    let by_start = FleetRecord::updated(Some(&retiring), [name(1)], &RecordChange::default());

    assert_eq!((by_message.fleet().retiring(), by_message.index("d1")), (&[][..], Some(1)));
    assert_eq!(by_start.map(|record| record.index("d1")), Some(Some(1)));
}

/// The answer of a coordinator that knows the fleet.
fn answer_of(fleet: &Arc<Fleet>, is_majority: bool, stamp: u64) -> Answer {
    let fleet = Arc::clone(fleet);
    Answer {
        incarnation: 3,
        stamp,
        version: fleet.version,
        fleet: Some(fleet),
        is_majority,
        ..Answer::default()
    }
}

/// Guards against a daemon that was removed from the record and still leases its share.
#[test]
fn a_share_counts_only_while_the_registration_is_proved() {
    let fleet = Arc::new(Fleet::new(1, 0..3, 3));
    let mut member = Member::new(ms(0));
    member.learn(&fleet, Some(0), None);
    let mut claims = Vec::new();
    for at in (2_000..5_000).step_by(500) {
        let is_majority = at == 2_000;
        let request = member.next_request(ms(at), COORDINATOR).expect("a request");
        // The claim rests on the stamp that was received last.
        claims.extend(request.claim.map(|claim| (at - 500, claim.is_valid)));
        let answer = answer_of(&fleet, is_majority, at);
        member.receive(ms(at), ms(at), COORDINATOR, &request, &answer);
        let renewal = member.next_request(ms(at), COORDINATOR);
        claims.extend(renewal.and_then(|r| r.claim).map(|claim| (at, claim.is_valid)));
    }

    // The proof of the majority is from 2,000 ms; a lease must end before it does.
    let last_valid = 2_000 + REGISTRATION_TIME.as_millis() - LEASE_TIME.as_millis();
    assert!(claims.len() >= 6, "{claims:?}");
    assert!(claims.iter().any(|(at, _)| u128::from(*at) > last_valid), "{claims:?}");
    for (at, is_valid) in claims {
        assert_eq!(is_valid, u128::from(at) <= last_valid, "received at {at} ms");
    }
}

/// Guards against scarce tokens that go to less urgent statements which came first.
#[test]
fn urgent_statements_get_the_scarce_tokens() {
    let mut member = Member::new(ms(0));
    member.learn(&Arc::new(Fleet::new(1, 0..1, 1)), Some(0), Some(ms(0)));
    let name: Arc<str> = Arc::from("w");
    let patience = Duration::from_millis(100);
    let waiting: Vec<Decision> = [2, 1, 0]
        .iter()
        .map(|priority| member.ask(ms(0), &name, limit(5.0, 0.0), *priority, patience))
        .collect();
    let request = member.next_request(ms(0), COORDINATOR).expect("a request");

    let answer = granted(&request, 1, Duration::from_millis(50));
    member.receive(ms(2), ms(0), COORDINATOR, &request, &answer);
    let served = member.take_decided();
    member.tick(ms(150));
    let refused = member.take_decided();

    assert_eq!(request.wants[0].tokens, 3);
    assert!(matches!(served[..], [(2, Decision::Granted(_))]), "{served:?} of {waiting:?}");
    assert_eq!(refused.len(), 2);
    assert!(refused.iter().all(|(_, d)| matches!(d, Decision::Refused(_))));
}

/// Guards against a workspace over its limit whose statements wait although no token will come.
#[test]
fn a_workspace_over_its_limit_is_refused_immediately() {
    let mut member = Member::new(ms(0));
    let name: Arc<str> = Arc::from("w");
    let patience = Duration::from_millis(100);
    member.ask(ms(0), &name, limit(5.0, 0.0), 1, patience);
    let request = member.next_request(ms(0), COORDINATOR).expect("a request");
    let answer = granted(&request, 0, Duration::from_millis(200));
    member.receive(ms(2), ms(0), COORDINATOR, &request, &answer);

    let next = member.ask(ms(3), &name, limit(5.0, 0.0), 1, patience);

    assert_eq!(next, Decision::Refused(Duration::from_millis(199)));
}

/// Guards against tokens that are lost with statements which reached no instance, and against their
/// use after they expired.
#[test]
fn a_token_that_was_not_used_is_given_to_the_next_statement() {
    let mut member = Member::new(ms(0));
    let name: Arc<str> = Arc::from("w");
    let limit = limit(5.0, 0.0);
    member.ask(ms(0), &name, limit, 1, Duration::from_millis(100));
    let request = member.next_request(ms(0), COORDINATOR).expect("a request");
    let answer = granted(&request, 1, Duration::ZERO);
    member.receive(ms(2), ms(0), COORDINATOR, &request, &answer);
    let [(_, Decision::Granted(token))] = member.take_decided()[..] else {
        panic!("no token");
    };
    assert_eq!(token.expires, ms(0) + limit.validity);

    member.give_back(ms(10), &name, token);
    let reused = member.ask(ms(20), &name, limit, 1, Duration::from_millis(100));
    member.give_back(ms(30), &name, token);
    let late = ms(0) + limit.validity - Duration::from_millis(1);
    let too_late = member.ask(late, &name, limit, 1, Duration::from_millis(100));

    assert_eq!(reused, Decision::Granted(token));
    assert!(matches!(too_late, Decision::Waiting(_)), "{too_late:?}");
}

/// Guards against state that stays for workspaces and members that are no longer in use.
#[test]
fn memory_is_bounded_by_what_is_in_use() {
    let mut coordinator = Coordinator::new(7, bounds(), ms(0));
    let mut member = Member::new(ms(0));
    let fleet = Arc::new(Fleet::new(1, 0..3_100, 3_100));
    coordinator.set_fleet(ms(0), &fleet, Some(ms(0)), true);
    for index in 0..3_100 {
        let stamp = ms(0).as_micros();
        let claim = Some(Claim { incarnation: 7, stamp, is_valid: true, is_voter: true });
        let request = Request { index: Some(index), version: 1, claim, ..Request::default() };
        coordinator.handle(ms(1), &request, Some(index), |_| None);
    }
    coordinator.tick(ms(200));
    assert_eq!(coordinator.leases(), 3_100);
    let names: Vec<String> = (0..10_000).map(|n| format!("w{n}")).collect();
    for name in &names {
        let name: Arc<str> = Arc::from(name.as_str());
        member.ask(ms(200), &name, limit(5.0, 0.0), 1, Duration::from_millis(100));
    }
    let all: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 1)).collect();
    let answer = coordinator.handle(ms(300), &wants(&all), None, |_| Some(limit(5.0, 0.0)));
    assert_eq!((answer.grants.len(), coordinator.workspaces()), (10_000, 10_000));
    assert_eq!(member.workspaces(), 10_000);

    let request = member.next_request(ms(300), COORDINATOR).expect("a request");
    assert!(request.wants.len() <= 500, "{}", request.wants.len());
    for later in (0..20_000).step_by(500) {
        coordinator.tick(ms(1_000 + later));
        member.tick(ms(1_000 + later));
    }
    member.next_request(ms(22_000), COORDINATOR);

    assert_eq!((coordinator.leases(), coordinator.workspaces()), (0, 0));
    assert_eq!(member.workspaces(), 0);
}
