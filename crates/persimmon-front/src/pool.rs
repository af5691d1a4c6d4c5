//! Connections of this daemon to instances, lent to one session at a time.
//!
//! Answers connections that are scarce and dear: an idle one that already holds a session's values
//! goes first, few are opened at once, and idle ones are given back when an instance refuses more.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use persimmon_place::{Gate, Greetings, InUse, Keep, Load};
use persimmon_ports::{Code, Instance, InstanceProtocol};
use persimmon_types::{Clock, Time};
use tokio::sync::{Notify, Semaphore};

use crate::link::{Link, LinkError};
use crate::metrics::Metrics;
use crate::peer_list::PeerList;

/// How long a connection may take to open: the handshake occupies a slot at the instance, behind
/// the statements that wait there.
const OPEN_LIMIT: Duration = Duration::from_millis(600);

/// After a refusal for the cap no connection is asked for this long.
const REFUSED_PAUSE: Duration = Duration::from_millis(150);

/// How long a caller of `acquire` waits for a connection to be given back before it looks again.
const LOOK_AGAIN: Duration = Duration::from_millis(40);

/// Any connection idle for this long is closed; the instance itself closes them after a minute.
const IDLE_LIMIT: Duration = Duration::from_secs(25);

/// Why no connection could be had; nothing was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Unavailable {
    /// The host answers, and no process of the instance listens.
    Refused,
    /// Nothing answered in time.
    Silent,
    /// The instance takes no more connections.
    Full,
    /// Another instance answers at the address.
    Replaced,
    /// No connection became free in time.
    Waited,
}

impl Unavailable {
    /// Whether the instance, or the way to it, seems to be gone.
    pub(crate) fn is_dead(&self) -> bool {
        matches!(self, Self::Refused | Self::Silent | Self::Replaced)
    }
}

#[derive(Debug, Default)]
struct Host {
    born_ms: u64,
    idle: Vec<Link>,
    in_use: InUse,
    keep: Keep,
    load: Load,
    gate: Gate,
    refused_until: Time,
    /// Whether the latest connection failed; only the first failure is logged.
    is_failing: bool,
    /// Connections that failed, and why the latest did, for those who wait for one.
    failures: u64,
    failed_with: Option<Unavailable>,
    freed: Rc<Notify>,
}

/// The connections of one thread.
#[derive(Debug)]
pub(crate) struct Pool {
    protocol: Arc<dyn InstanceProtocol>,
    metrics: Arc<Metrics>,
    peers: Arc<PeerList>,
    hosts: RefCell<HashMap<Arc<str>, Host>>,
    openings: Semaphore,
    greetings: Cell<Greetings>,
}

/// A connection that is lent.
#[derive(Debug)]
pub(crate) struct Lease {
    link: Option<Link>,
    is_pinned: bool,
    pool: Rc<Pool>,
    /// The instance at its other end.
    pub(crate) instance: Arc<Instance>,
}

impl Lease {
    /// The connection.
    pub(crate) fn link(&mut self) -> &mut Link {
        match &mut self.link {
            Some(link) => link,
            None => unreachable!("a lease holds its connection until it is dropped"),
        }
    }

    /// Notes that an open transaction keeps the connection.
    pub(crate) fn pin(&mut self) {
        let mut hosts = self.pool.hosts.borrow_mut();
        if let Some(host) = hosts.get_mut(&self.instance.id)
            && !std::mem::replace(&mut self.is_pinned, true)
        {
            host.in_use.pinned += 1;
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(link) = self.link.take() {
            self.pool.give_back(&self.instance.id, link, self.is_pinned);
        }
    }
}

impl Pool {
    /// Creates an empty pool.
    pub(crate) fn new(
        protocol: Arc<dyn InstanceProtocol>,
        metrics: Arc<Metrics>,
        peers: Arc<PeerList>,
    ) -> Self {
        let openings = Semaphore::new(Greetings::most_at_once() as usize);
        let (hosts, greetings) = (RefCell::default(), Cell::default());
        Self { protocol, metrics, peers, hosts, openings, greetings }
    }

    /// Whether connections to an instance are fewer than daemons, or refused lately.
    pub(crate) fn is_scarce(&self, id: &str, now: Time) -> bool {
        self.hosts.borrow().get(id).is_some_and(|h| h.keep.is_scarce(now))
    }

    /// Reads or changes what is known of an instance's load.
    pub(crate) fn load<T>(&self, id: &Arc<str>, f: impl FnOnce(&mut Load) -> T) -> T {
        f(&mut self.hosts.borrow_mut().entry(Arc::clone(id)).or_default().load)
    }

    /// Reads or changes what is known of the room at an instance.
    pub(crate) fn gate<T>(&self, id: &Arc<str>, f: impl FnOnce(&mut Gate) -> T) -> T {
        f(&mut self.hosts.borrow_mut().entry(Arc::clone(id)).or_default().gate)
    }

    /// What is known of an instance's load, and whether a connection to it is idle.
    pub(crate) fn standing(&self, id: &Arc<str>) -> (Load, bool) {
        let hosts = self.hosts.borrow();
        hosts.get(id).map_or_else(|| (Load::new(), false), |h| (h.load.clone(), !h.idle.is_empty()))
    }

    /// Whether a connection is idle, so that asking the instance takes none from other daemons.
    pub(crate) fn has_idle(&self, id: &str) -> bool {
        self.hosts.borrow().get(id).is_some_and(|h| h.idle.iter().any(Link::is_at_rest))
    }

    fn give_back(&self, id: &Arc<str>, link: Link, was_pinned: bool) {
        let mut hosts = self.hosts.borrow_mut();
        let Some(host) = hosts.get_mut(id) else {
            return;
        };
        host.in_use.lent = host.in_use.lent.saturating_sub(1);
        host.in_use.pinned = host.in_use.pinned.saturating_sub(usize::from(was_pinned));
        if link.is_at_rest() {
            host.idle.push(link);
        }
        host.freed.notify_one();
    }

    /// Takes an idle connection, one with these values if there is one.
    fn take(
        &self,
        instance: &Instance,
        values: Option<&BTreeMap<Arc<str>, Arc<str>>>,
    ) -> Option<Link> {
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.entry(Arc::clone(&instance.id)).or_default();
        if host.born_ms != instance.born_ms {
            // Another process has the identity now; what was known was of the one before.
            *host = Host { born_ms: instance.born_ms, in_use: host.in_use, ..Host::default() };
        }
        host.idle.retain(Link::is_at_rest);
        if host.idle.is_empty() {
            return None;
        }
        let fitting = values.and_then(|v| host.idle.iter().position(|link| link.holds(v)));
        let index = fitting.unwrap_or(host.idle.len() - 1);
        host.in_use.lent += 1;
        Some(host.idle.remove(index))
    }

    /// Notes that a connection is being opened, if one may be.
    fn may_open(&self, instance: &Instance, now: Time, cap: usize) -> bool {
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.entry(Arc::clone(&instance.id)).or_default();
        host.keep.set_share(cap, self.peers.daemons());
        let may = host.in_use.may_open(cap, host.gate.is_closed()) && now >= host.refused_until;
        if may {
            host.in_use.opening += 1;
        }
        may
    }

    /// Borrows a connection to an instance; `cap` is the number that it takes from all daemons.
    ///
    /// A connection that is opened meanwhile serves whoever waits first, and stays if nobody waits
    /// any more: giving it up would waste the slot that its greeting occupies.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        instance: &Arc<Instance>,
        values: Option<&BTreeMap<Arc<str>, Arc<str>>>,
        cap: u32,
        until: Time,
    ) -> Result<Lease, Unavailable> {
        let mut failures_before = None;
        loop {
            if let Some(link) = self.take(instance, values) {
                let pool = Rc::clone(self);
                let instance = Arc::clone(instance);
                return Ok(Lease { link: Some(link), is_pinned: false, pool, instance });
            }
            let now = Clock.now();
            if now >= until {
                return Err(Unavailable::Waited);
            }
            if self.may_open(instance, now, cap as usize) {
                let (pool, instance) = (Rc::clone(self), Arc::clone(instance));
                ntex::rt::spawn(async move { pool.open(&instance).await });
            }
            let freed = {
                let mut hosts = self.hosts.borrow_mut();
                let host = hosts.entry(Arc::clone(&instance.id)).or_default();
                let before = *failures_before.get_or_insert(host.failures);
                if before != host.failures {
                    return Err(host.failed_with.clone().unwrap_or(Unavailable::Waited));
                }
                if now < host.refused_until && host.in_use.is_empty() {
                    return Err(Unavailable::Full);
                }
                Rc::clone(&host.freed)
            };
            let wait = LOOK_AGAIN.min(until.since(now));
            // Running out of time here only means to look again.
            let _ = tokio::time::timeout(wait, freed.notified()).await;
        }
    }

    /// Opens a connection and lays it out for whoever waits.
    async fn open(&self, instance: &Arc<Instance>) {
        let opening = Opening { pool: self, id: &instance.id };
        let connected = Link::connect(&self.protocol, instance, OPEN_LIMIT).await;
        let opened = match connected {
            Ok(link) => self.greet(instance, link).await,
            Err(err) => Err(err),
        };
        self.opened(instance, opened);
        drop(opening);
    }

    /// Greets an instance when it is this greeting's turn. Hosts that do not answer are not waited
    /// for in that order, so that they hold up no greeting elsewhere.
    async fn greet(&self, instance: &Instance, mut link: Link) -> Result<Link, LinkError> {
        // Few at once means that each takes a larger part of the permits.
        let permits = Greetings::most_at_once() / self.greetings.get().at_once();
        let Ok(_permit) = self.openings.acquire_many(permits).await else {
            unreachable!("the semaphore is never closed");
        };
        let began = Clock.now();
        let greeted = link.greet(instance, OPEN_LIMIT).await;
        if matches!(greeted, Ok(()) | Err(LinkError::TimedOut)) {
            self.greeted(instance, Clock.now().since(began));
        }
        greeted.map(|()| link)
    }

    /// Takes in how long a greeting took: it waits for a slot like a statement.
    fn greeted(&self, instance: &Instance, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        let mut greetings = self.greetings.get();
        let mut hosts = self.hosts.borrow_mut();
        let gate = &mut hosts.entry(Arc::clone(&instance.id)).or_default().gate;
        let wait_ms = greetings.answered(took_ms, !gate.is_closed());
        gate.answered(Clock.now(), wait_ms);
        self.greetings.set(greetings);
    }

    fn opened(&self, instance: &Instance, opened: Result<Link, LinkError>) {
        let now = Clock.now();
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.entry(Arc::clone(&instance.id)).or_default();
        Metrics::add(&self.metrics.connections_opened);
        let err = match opened {
            Ok(link) => {
                host.idle.push(link);
                if std::mem::take(&mut host.is_failing) {
                    tracing::info!(instance = %instance.id, "an instance accepts connections again");
                }
                return;
            }
            Err(err) => err,
        };
        Metrics::add(&self.metrics.connections_failed);
        if !std::mem::replace(&mut host.is_failing, true) {
            tracing::info!(instance = %instance.id, address = %instance.address, error = %err,
                lent = host.in_use.lent, idle = host.idle.len(), "no connection to an instance");
        }
        let unavailable = unavailable(&err);
        if unavailable == Unavailable::Full {
            host.keep.refused(now);
            host.refused_until = now + REFUSED_PAUSE;
        } else {
            host.load.unreachable(now);
        }
        host.failures += 1;
        host.failed_with = Some(unavailable);
    }

    /// Whether this daemon's share allows for a connection that is open before it is needed, and
    /// none is.
    fn wants_warm(&self, instance: &Instance, cap: u32, now: Time) -> bool {
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.entry(Arc::clone(&instance.id)).or_default();
        host.keep.set_share(cap as usize, self.peers.daemons());
        let has_none = host.idle.is_empty() && host.in_use.is_empty();
        has_none && host.keep.limit(now) > 0 && !host.load.is_avoided(now)
    }

    /// Opens a connection to an instance before it is needed.
    pub(crate) async fn warm(self: &Rc<Self>, instance: &Arc<Instance>, cap: u32) {
        let now = Clock.now();
        if !self.wants_warm(instance, cap, now) {
            return;
        }
        // A connection that cannot be opened now is opened when it is needed.
        let _ = self.acquire(instance, None, cap, now + OPEN_LIMIT).await;
    }

    /// Closes connections that have been idle for long, or that belong to instances that are gone.
    pub(crate) fn sweep(&self, now: Time, is_listed: impl Fn(&str) -> bool) {
        let mut hosts = self.hosts.borrow_mut();
        hosts.retain(|id, host| !host.in_use.is_empty() || is_listed(id));
        for (id, host) in hosts.iter_mut() {
            if !is_listed(id) {
                host.idle.clear();
                continue;
            }
            let limit = host.keep.limit(now);
            let linger = host.keep.linger(now);
            // The most lately used stand at the end.
            let surplus = host.idle.len().saturating_sub(limit);
            let mut index = 0;
            host.idle.retain(|link| {
                let idle_for = now.since(link.used_at);
                let is_surplus = index < surplus && idle_for > linger;
                index += 1;
                let is_last = surplus == 0 && limit > 0 && index == 1;
                link.is_at_rest() && !is_surplus && (is_last || idle_for < IDLE_LIMIT)
            });
        }
    }
}

fn unavailable(err: &LinkError) -> Unavailable {
    match err {
        LinkError::Refused(Code::TooManyConnections, _) => Unavailable::Full,
        LinkError::Refused(Code::WrongInstance, _) => Unavailable::Replaced,
        // The host accepted the connection; the greeting waits for a slot.
        LinkError::TimedOut => Unavailable::Waited,
        LinkError::Broken(err) if err.kind() == std::io::ErrorKind::TimedOut => Unavailable::Silent,
        // An instance that answers lives, whatever it lacks at this moment.
        LinkError::Refused(..) => Unavailable::Waited,
        LinkError::Broken(_) | LinkError::Protocol(_) => Unavailable::Refused,
    }
}

/// Counts a connection that is being opened.
struct Opening<'a> {
    pool: &'a Pool,
    id: &'a Arc<str>,
}

impl Drop for Opening<'_> {
    fn drop(&mut self) {
        if let Some(host) = self.pool.hosts.borrow_mut().get_mut(self.id) {
            host.in_use.opening = host.in_use.opening.saturating_sub(1);
            // All that wait: one takes the connection, another may open the next.
            host.freed.notify_waiters();
        }
    }
}
