//! The daemons of the fleet, as far as this daemon knows them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use persimmon_types::{Time, fingerprint};

/// Maximum number of members kept.
const MAX_MEMBERS: usize = 4_096;

/// How long a member that did not answer is not added again on the word of other daemons, which may
/// not have noticed yet.
const HEARSAY_DISTRUST: Duration = Duration::from_secs(10);

/// One daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its address for other daemons.
    pub address: SocketAddr,
    /// The failure domain of its host.
    pub domain: Arc<str>,
    /// Processor capacity of its host, in thousandths of a core.
    pub capacity: u32,
}

/// The known members other than this daemon.
#[derive(Clone, Debug, Default)]
pub struct MemberList {
    known: HashMap<SocketAddr, Member>,
    silent_since: HashMap<SocketAddr, Time>,
    version: u64,
}

impl MemberList {
    /// Creates an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A number that changes with each change of the list.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The number of members.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no member is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The members, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.known.values()
    }

    /// Records a member that has contacted or answered this daemon.
    pub fn record_alive(&mut self, member: &Member) {
        self.silent_since.remove(&member.address);
        self.insert(member);
    }

    /// Adds members that another daemon knows.
    pub fn merge(&mut self, now: Time, members: &[Member]) {
        self.silent_since.retain(|_, since| now.since(*since) < HEARSAY_DISTRUST);
        for member in members {
            if !self.silent_since.contains_key(&member.address) {
                self.insert(member);
            }
        }
    }

    /// Removes a member that does not answer.
    pub fn remove(&mut self, now: Time, address: SocketAddr) {
        self.silent_since.insert(address, now);
        if self.known.remove(&address).is_some() {
            self.version += 1;
        }
    }

    fn insert(&mut self, member: &Member) {
        let known = self.known.get(&member.address);
        if known == Some(member) || (known.is_none() && self.known.len() >= MAX_MEMBERS) {
            return;
        }
        self.known.insert(member.address, member.clone());
        self.version += 1;
    }

    /// A hash of the members' addresses together with `own`; equal lists have equal hashes.
    #[must_use]
    pub fn fingerprint(&self, own: SocketAddr) -> u64 {
        let others = self.known.keys().map(|a| fingerprint(a.to_string().as_bytes()));
        others.fold(fingerprint(own.to_string().as_bytes()), |sum, hash| sum ^ hash)
    }
}
