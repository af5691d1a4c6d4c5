//! With whom a daemon shares the connections of a service's instances.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use persimmon_ownership::Member;
use persimmon_proxy::PeerList;

/// Connections of an instance of the large deployment.
const CONNECTIONS: u32 = 125;

fn member(number: u16) -> Member {
    let [high, low] = number.to_be_bytes();
    let address = SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7_440));
    Member { address, domain: Arc::from(format!("domain-{}", number % 5)), capacity: 120 }
}

/// The list of a daemon that knows a fleet of `daemons`, itself included.
fn list(daemons: u16, is_forwarding: bool) -> PeerList {
    let list = PeerList::new(member(0), &[]).with_forwarding(is_forwarding);
    let others: Vec<Member> = (1..daemons).map(member).collect();
    list.merge(&others);
    list
}

fn sharers(list: &PeerList) -> Option<usize> {
    list.sharer_count(&Arc::from("bookings"), CONNECTIONS)
}

#[test]
fn large_fleet_shares_connections_among_the_owners() {
    assert_eq!(sharers(&list(295, true)), Some(5));
    assert_eq!(sharers(&list(3_100, true)), Some(5));
}

#[test]
fn fleet_that_does_not_forward_shares_connections_among_all() {
    let list = list(295, false);
    assert_eq!(sharers(&list), None);

    list.mark_settled();

    assert_eq!(sharers(&list), Some(295));
}

#[test]
fn share_of_a_small_fleet_is_unknown_until_its_members_are_known() {
    let list = list(15, true);
    assert_eq!(sharers(&list), None);

    list.mark_settled();

    assert_eq!(sharers(&list), Some(15));
}

#[test]
fn forgotten_peer_owns_nothing() {
    let list = list(295, true);
    let service = Arc::from("bookings");
    let owner = list.owners(&service).candidates("domain-1")[0];

    list.forget(owner);

    assert_ne!(list.owners(&service).candidates("domain-1")[0], owner);
}
