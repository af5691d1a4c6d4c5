//! A fleet in which one daemon owns a service and runs the statements of the others.

use persimmon_lab::line_cluster::{InstanceProfile, LineCluster};

use crate::fleet::{CONDITION_TIMEOUT, Setup, holds_within, setup_on, setup_with_limits};

/// A connection limit below the number of daemons of these tests.
pub const FEW_CONNECTIONS: usize = 6;

/// Number of daemons.
pub const DAEMONS: usize = 4;

/// Starts daemons of which one owns the service; returns its index too.
pub fn setup_with_owner(name: &str) -> (Setup, usize) {
    setup_with_profile(name, InstanceProfile::default())
}

/// The same with the given profile of the instances.
pub fn setup_with_profile(name: &str, profile: InstanceProfile) -> (Setup, usize) {
    setup_with_owner_and_limits(name, profile, "")
}

/// The same with further text for the settings, such as the section `[limits]`.
pub fn setup_with_owner_and_limits(
    name: &str,
    profile: InstanceProfile,
    limits: &str,
) -> (Setup, usize) {
    let cluster = LineCluster::start(1, 3, profile)
        .expect("the fake platform starts")
        .with_max_connections(FEW_CONNECTIONS);
    let setup = setup_with_limits(name, DAEMONS, cluster, limits);
    let owner = await_owner(&setup);
    (setup, owner)
}

/// The same on a fake platform with [`FEW_CONNECTIONS`]; where it has workspaces, `find` is a key.
pub fn setup_with_cluster(name: &str, cluster: LineCluster) -> (Setup, usize) {
    let setup = setup_on(name, DAEMONS, cluster);
    let owner = await_owner(&setup);
    (setup, owner)
}

/// Waits until the daemons know each other; returns the index of the owner of the service.
pub fn await_owner(setup: &Setup) -> usize {
    let know_each_other = || {
        (0..DAEMONS).all(|daemon| {
            setup.has_logged(daemon, |line| {
                // Under load, one that starts late is learned of after the first exchange.
                line["message"] == "the number of known daemons changed"
                    && line["daemons"] == DAEMONS
            })
        })
    };
    let limit = CONDITION_TIMEOUT * 2;
    assert!(holds_within(limit, know_each_other), "a daemon does not know the others");
    find_owner(setup)
}

/// The daemon to which the others connect after a statement on each of them.
fn find_owner(setup: &Setup) -> usize {
    for daemon in 0..DAEMONS {
        let written = setup.client(daemon, "p0", "find").query("WRITE find x").expect("a response");
        assert!(written.result.is_ok(), "{written:?}");
    }
    let mut owner = None;
    let is_found = || {
        owner = (0..DAEMONS).find(|candidate| {
            let address = setup.daemons[*candidate].addresses.peers.to_string();
            (0..DAEMONS).any(|daemon| {
                setup.has_logged(daemon, |line| {
                    line["message"] == "connected to an owner of services"
                        && line["peer"] == *address
                })
            })
        });
        owner.is_some()
    };
    assert!(holds_within(CONDITION_TIMEOUT, is_found), "no statement was forwarded");
    owner.unwrap_or_default()
}

/// A daemon that does not own the service.
pub fn other_than(owner: usize) -> usize {
    (owner + 1) % DAEMONS
}
