//! Tests the parts of quotas by themselves: limits, the fleet's record, order and memory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use persimmon_types::Time;
use persimmon_workspace::Quota;
use persimmon_workspace::quota::{
    Answer, Bounds, Claim, Coordinator, Decision, FleetRecord, FleetSize, Grant, LEASE_TIME, Limit,
    Member, Request, Want,
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
    let size = FleetSize { registered: 1, floor: 1 };
    Request { index: Some(0), size, wants: wants.collect(), ..Request::default() }
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
        let sizes: Vec<FleetSize> = (0..rng.random_range(1..6))
            .map(|_| FleetSize {
                registered: rng.random_range(floor..=newest),
                floor: rng.random_range(1..=floor),
            })
            .chain([FleetSize { registered: newest, floor }])
            .collect();
        let mut leases = vec![0; sizes.len()];
        for index in 0..newest {
            // A coordinator counts only members that its version of the record contains.
            let coordinator = rng.random_range(0..sizes.len());
            if index < sizes[coordinator].registered && rng.random_bool(0.95) {
                leases[coordinator] += 1;
            }
        }
        let sum: f64 = sizes.iter().zip(&leases).map(|(size, leases)| size.fill(*leases)).sum();
        assert!(sum <= 1.0 + 1e-9, "{sizes:?} {leases:?}: {sum}");
    }
}

#[test]
fn a_record_keeps_indices_and_is_raised_only_with_its_own_size() {
    let name = |n: u32| Arc::from(format!("d{n}"));
    let first = FleetRecord::updated(None, (0..3).map(name), None).expect("a first record");
    let grown = FleetRecord::updated(Some(&first), (2..5).map(name), None).expect("it has grown");

    let stored: FleetRecord = serde_json::from_value(serde_json::to_value(&grown).expect("JSON"))
        .map(FleetRecord::restored)
        .expect("a record");

    assert_eq!(stored.size(), FleetSize { registered: 5, floor: 3 });
    assert_eq!((stored.index("d0"), stored.index("d4")), (Some(0), Some(4)));
    assert_eq!(FleetRecord::updated(Some(&stored), [], Some(3)), None, "an older size");
    let raised = FleetRecord::updated(Some(&stored), [], Some(5)).expect("it is raised");
    assert_eq!(raised.size(), FleetSize { registered: 5, floor: 5 });
}

/// Guards against scarce tokens that go to less urgent statements which came first.
#[test]
fn urgent_statements_get_the_scarce_tokens() {
    let mut member = Member::new(ms(0));
    member.learn(FleetSize { registered: 1, floor: 1 }, Some(0));
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
    coordinator.set_fleet(ms(0), FleetSize { registered: 3_100, floor: 3_100 }, true);
    for index in 0..3_100 {
        let claim = Some(Claim { incarnation: 7, stamp: ms(0).as_micros() });
        let request = Request { index: Some(index), claim, ..Request::default() };
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
