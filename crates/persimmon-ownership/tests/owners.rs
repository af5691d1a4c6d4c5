//! Owners of services: how they are spread, and what moves when the fleet changes.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use persimmon_ownership::{Member, MemberList, OwnerTable, needs_owners};
use persimmon_types::Time;

const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn address(number: u16) -> SocketAddr {
    let [high, low] = number.to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7_440))
}

fn member(number: u16, capacity: u32) -> Member {
    let domain = DOMAINS[usize::from(number) % DOMAINS.len()];
    Member { address: address(number), domain: Arc::from(domain), capacity }
}

fn fleet(count: u16) -> Vec<Member> {
    (0..count).map(|number| member(number, 120)).collect()
}

fn table(members: Vec<Member>) -> OwnerTable {
    let mut table = OwnerTable::new();
    table.set_members(1, members);
    table
}

fn services(count: usize) -> Vec<Arc<str>> {
    (0..count).map(|number| Arc::from(format!("service-{number}"))).collect()
}

fn at(s: u64) -> Time {
    Time::from_millis(s * 1_000)
}

#[test]
fn number_of_owners_does_not_grow_with_the_fleet() {
    for daemons in [30, 295, 3_100] {
        let mut table = table(fleet(daemons));
        for service in services(20) {
            let owners = table.owners(&service);

            assert_eq!(owners.count(), DOMAINS.len(), "{daemons} daemons");
            assert_eq!(owners.owners().next(), owners.candidates("a").first().copied());
        }
    }
}

#[test]
fn owners_are_in_the_failure_domain_of_their_clients() {
    let members = fleet(295);
    let mut table = table(members.clone());
    let owners = table.owners(&Arc::from("bookings"));

    for domain in DOMAINS {
        for candidate in owners.candidates(domain) {
            let found = members.iter().find(|m| m.address == *candidate).expect("a member");
            assert_eq!(&*found.domain, domain);
        }
    }
}

#[test]
fn lost_member_moves_only_what_it_owned() {
    let members = fleet(100);
    let lost = members[7].address;
    let mut before = table(members.clone());
    let mut after = table(members.into_iter().filter(|m| m.address != lost).collect());

    for service in services(200) {
        let (before, after) = (before.owners(&service), after.owners(&service));
        for domain in DOMAINS {
            let owner = before.candidates(domain)[0];
            let expected = if owner == lost { before.candidates(domain)[1] } else { owner };
            assert_eq!(after.candidates(domain)[0], expected);
        }
    }
}

#[test]
fn large_hosts_own_in_proportion_to_their_capacity() {
    let mut members: Vec<Member> = (0..50).map(|n| member(n * 5, 120)).collect();
    members.extend((0..10).map(|n| member(1_000 + n * 5, 480)));
    let large: Vec<SocketAddr> =
        members.iter().filter(|m| m.capacity == 480).map(|m| m.address).collect();
    let mut table = table(members);

    let owned = services(2_000)
        .iter()
        .filter(|service| large.contains(&table.owners(service).candidates("a")[0]))
        .count();

    // Ten hosts of 480 and fifty of 120 make 4,800 of 10,800.
    let expected = 2_000.0 * 4_800.0 / 10_800.0;
    assert!((owned as f64 - expected).abs() < expected * 0.15, "{owned} of {expected}");
}

#[test]
fn load_of_owners_is_spread() {
    let mut table = table(fleet(295));
    let mut owned: HashMap<SocketAddr, usize> = HashMap::new();

    for service in services(1_000) {
        for owner in table.owners(&service).owners() {
            *owned.entry(owner).or_default() += 1;
        }
    }

    // 5,000 parts on 295 hosts are 17 each.
    let most = owned.values().max().copied().unwrap_or_default();
    assert!(most <= 40, "{most}");
}

#[test]
fn owners_are_needed_only_where_daemons_outnumber_connections() {
    let cases = [
        // The connections of an instance, the daemons, and whether owners are needed.
        (71, 15, false),
        (140, 21, false),
        (36, 18, false),
        (12, 18, true),
        (60, 40, true),
        (84, 122, true),
        (125, 295, true),
        (125, 3_100, true),
    ];
    for (connections, daemons, expected) in cases {
        assert_eq!(needs_owners(connections, daemons), expected, "{connections} {daemons}");
    }
}

#[test]
fn silent_member_does_not_return_on_the_word_of_others() {
    let mut list = MemberList::new();
    list.merge(at(1), &fleet(3));
    let silent = member(1, 120);

    list.remove(at(2), silent.address);
    list.merge(at(3), &fleet(3));
    assert_eq!(list.len(), 2);

    // It has contacted this daemon itself.
    list.record_alive(&silent);
    assert_eq!(list.len(), 3);
}

#[test]
fn silent_member_returns_after_a_while() {
    let mut list = MemberList::new();
    list.merge(at(1), &fleet(3));

    list.remove(at(2), address(1));
    list.merge(at(20), &fleet(3));

    assert_eq!(list.len(), 3);
}

#[test]
fn equal_lists_have_equal_fingerprints() {
    let (own, other) = (address(100), address(101));
    let mut list = MemberList::new();
    list.merge(at(1), &fleet(5));
    list.record_alive(&Member { address: other, ..member(0, 120) });
    let mut same = MemberList::new();
    same.merge(at(1), &fleet(5));
    same.record_alive(&Member { address: own, ..member(0, 120) });

    assert_eq!(list.fingerprint(own), same.fingerprint(other));
    same.remove(at(2), address(3));
    assert_ne!(list.fingerprint(own), same.fingerprint(other));
}
