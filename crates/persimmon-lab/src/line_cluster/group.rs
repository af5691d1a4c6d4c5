//! The state of one database group: its log, and how much of the log each instance has received.

use std::collections::{HashMap, HashSet, VecDeque};
use std::ops::Range;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::line_cluster::workspaces::KnownWorkspaces;

/// The timing and limits of a group's instances.
#[derive(Clone, Copy, Debug)]
pub struct InstanceProfile {
    /// How long a statement occupies an execution slot.
    pub statement_time: Duration,
    /// How long after its commit a replica applies an entry.
    pub apply_lag: Duration,
    /// How long after its request a promotion takes effect.
    pub promotion_delay: Duration,
    /// Maximum number of statements that an instance runs concurrently.
    pub slots: usize,
    /// Maximum number of connections that an instance accepts.
    pub max_connections: usize,
    /// Number of replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: usize,
}

impl Default for InstanceProfile {
    fn default() -> Self {
        Self {
            statement_time: Duration::from_millis(2),
            apply_lag: Duration::from_millis(20),
            promotion_delay: Duration::from_millis(300),
            slots: 5,
            max_connections: 60,
            sync_replicas: 0,
        }
    }
}

#[derive(Clone, Debug)]
struct LogEntry {
    term: u64,
    id: String,
    item: String,
    data: String,
    at: Instant,
    is_acknowledged: bool,
}

#[derive(Clone, Debug)]
struct InstanceState {
    /// Number of entries received; not kept up to date for the primary, which has the whole log.
    received: usize,
    /// Number of entries applied as primary; they stay applied after it loses the primary role.
    applied_as_primary: usize,
    is_up: bool,
    /// Whether the network brings it nothing from the primary.
    is_replication_paused: bool,
    /// Whether a command has stopped it from receiving.
    is_stopped: bool,
    born: u64,
}

impl InstanceState {
    fn new(received: usize) -> Self {
        Self {
            received,
            applied_as_primary: 0,
            is_up: true,
            is_replication_paused: false,
            is_stopped: false,
            born: 1,
        }
    }

    fn receives(&self) -> bool {
        self.is_up && !self.is_replication_paused && !self.is_stopped
    }
}

#[derive(Debug)]
struct State {
    term: u64,
    primary: Option<usize>,
    log: Vec<LogEntry>,
    instances: Vec<InstanceState>,
    rolled_back: HashSet<String>,
    committed: HashMap<String, u32>,
    reported_not_kept: HashSet<String>,
    /// The accepted promotions that have not taken effect, in order, and when they will.
    promotions: VecDeque<(Instant, usize)>,
    /// When each request of a client first reached an instance, by the request's id.
    first_reached: HashMap<String, Instant>,
    violations: Vec<String>,
}

/// One database group.
#[derive(Debug)]
pub struct Group {
    /// The service's name.
    pub name: String,
    /// The timing and limits of its instances.
    pub profile: InstanceProfile,
    /// The workspaces of the table.
    pub(crate) workspaces: KnownWorkspaces,
    state: Mutex<State>,
}

/// How often a commit that waits for replicas checks whether they have received it.
const ACKNOWLEDGEMENT_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The outcome of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommitOutcome {
    /// The commit is acknowledged.
    Committed,
    /// The instance is not the primary; nothing was written.
    NotPrimary,
    /// The instance lost the primary role before the commit was acknowledged.
    Unknown,
}

/// The role and log positions of an instance at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InstanceView {
    pub(crate) is_primary: bool,
    pub(crate) term: u64,
    pub(crate) received: usize,
    pub(crate) applied: usize,
    pub(crate) is_up: bool,
}

impl Group {
    /// Creates a group whose first instance is the primary of term 1.
    #[must_use]
    pub fn new(name: &str, instances: usize, profile: InstanceProfile) -> Self {
        Self {
            name: name.to_owned(),
            profile,
            workspaces: KnownWorkspaces::default(),
            state: Mutex::new(State {
                term: 1,
                primary: Some(0),
                log: Vec::new(),
                instances: vec![InstanceState::new(0); instances],
                rolled_back: HashSet::new(),
                committed: HashMap::new(),
                reported_not_kept: HashSet::new(),
                promotions: VecDeque::new(),
                first_reached: HashMap::new(),
                violations: Vec::new(),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        while let Some((_, instance)) = state.promotions.pop_front_if(|(at, _)| *at <= now) {
            state.promote(&self.name, self.profile.sync_replicas > 0, instance);
        }
        state
    }

    /// Adds a replica that starts with a copy of the primary's log; returns its number.
    pub(crate) fn add_instance(&self) -> usize {
        let mut state = self.lock();
        let is_primary_up = state.primary.is_some_and(|p| state.instances[p].is_up);
        let received = if is_primary_up { state.log.len() } else { 0 };
        state.instances.push(InstanceState::new(received));
        state.instances.len() - 1
    }

    /// Whether an instance's process runs.
    #[must_use]
    pub fn is_up(&self, instance: usize) -> bool {
        self.lock().instances[instance].is_up
    }

    /// Returns the number of an instance's present process, which increases with each start.
    #[must_use]
    pub fn born(&self, instance: usize) -> u64 {
        self.lock().instances[instance].born
    }

    /// Returns the primary, if there is one and its process runs.
    #[must_use]
    pub fn primary(&self) -> Option<usize> {
        let state = self.lock();
        state.primary.filter(|p| state.instances[*p].is_up)
    }

    /// Returns the current term.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.lock().term
    }

    pub(crate) fn role(&self, instance: usize) -> &'static str {
        if self.lock().primary == Some(instance) { "primary" } else { "replica" }
    }

    /// Stops an instance's process, or starts it again with its log.
    pub fn set_running(&self, instance: usize, is_up: bool) {
        let mut state = self.lock();
        state.instances[instance].is_up = is_up;
        if is_up {
            state.instances[instance].born += 1;
            state.instances[instance].is_stopped = false;
            state.replicate();
        }
    }

    /// Interrupts replication to a replica, or restores it and lets the replica catch up.
    pub fn set_replication_paused(&self, instance: usize, is_replication_paused: bool) {
        let mut state = self.lock();
        state.instances[instance].is_replication_paused = is_replication_paused;
        state.replicate();
    }

    /// Stops a replica from receiving, if `term` is above the newest one.
    pub(crate) fn stop_replication(&self, instance: usize, term: u64) {
        let mut state = self.lock();
        if term > state.term && state.primary != Some(instance) {
            state.instances[instance].is_stopped = true;
        }
    }

    /// Lets a replica receive again.
    pub(crate) fn resume_replication(&self, instance: usize) {
        let mut state = self.lock();
        state.instances[instance].is_stopped = false;
        state.replicate();
    }

    /// Whether a command has stopped an instance from receiving.
    #[must_use]
    pub fn is_stopped(&self, instance: usize) -> bool {
        self.lock().instances[instance].is_stopped
    }

    /// Makes the primary of a lower term than `term` a replica.
    pub(crate) fn demote(&self, instance: usize, term: u64) {
        let mut state = self.lock();
        if state.primary == Some(instance) && state.term < term {
            state.retire_primary();
        }
    }

    /// Schedules a promotion after the group's promotion delay; returns false if the instance is
    /// down.
    pub(crate) fn schedule_promotion(&self, instance: usize) -> bool {
        let mut state = self.lock();
        if !state.instances[instance].is_up {
            return false;
        }
        if state.primary != Some(instance) {
            let at = Instant::now() + self.profile.promotion_delay;
            state.promotions.push_back((at, instance));
        }
        true
    }

    pub(crate) fn view(&self, instance: usize) -> InstanceView {
        self.view_in(&self.lock(), instance)
    }

    fn view_in(&self, state: &State, instance: usize) -> InstanceView {
        let is_primary = state.primary == Some(instance);
        let received =
            if is_primary { state.log.len() } else { state.instances[instance].received };
        let horizon = Instant::now().checked_sub(self.profile.apply_lag);
        let applied = if is_primary {
            received
        } else {
            let is_old = |e: &&LogEntry| horizon.is_some_and(|at| e.at <= at);
            let applied_by_age = state.log[..received].iter().take_while(is_old).count();
            applied_by_age.max(state.instances[instance].applied_as_primary.min(received))
        };
        InstanceView {
            is_primary,
            term: state.term,
            received,
            applied,
            is_up: state.instances[instance].is_up,
        }
    }

    /// Reads an item at an instance.
    ///
    /// Returns `None` if the instance is not the primary of `required_term`, where that is given.
    pub(crate) fn read(
        &self,
        instance: usize,
        required_term: Option<u64>,
        item: &str,
    ) -> Option<String> {
        let state = self.lock();
        let view = self.view_in(&state, instance);
        if required_term.is_some_and(|term| !view.is_primary || view.term != term) {
            return None;
        }
        let entry = state.log[..view.applied].iter().rev().find(|e| e.item == item);
        Some(entry.map_or_else(|| "-".to_owned(), |e| e.data.clone()))
    }

    /// Appends writes if the instance is still the primary of the term, and waits until enough
    /// replicas have received them.
    pub(crate) fn commit(
        &self,
        instance: usize,
        term: u64,
        writes: &[(String, String, String)],
    ) -> CommitOutcome {
        let mut state = self.lock();
        if state.primary != Some(instance) || state.term != term || !state.instances[instance].is_up
        {
            return CommitOutcome::NotPrimary;
        }
        for (id, item, data) in writes {
            let runs = state.committed.entry(id.clone()).or_default();
            *runs += 1;
            if *runs > 1 {
                let violation = format!("{}: request {id} was committed {runs} times", self.name);
                state.violations.push(violation);
            }
            if state.reported_not_kept.contains(id) {
                let violation =
                    format!("{}: request {id} was committed after a reply of no effect", self.name);
                state.violations.push(violation);
            }
            let (id, item, data) = (id.clone(), item.clone(), data.clone());
            let entry =
                LogEntry { term, id, item, data, at: Instant::now(), is_acknowledged: false };
            state.log.push(entry);
        }
        state.replicate();
        let end = state.log.len();
        drop(state);
        self.acknowledge(instance, term, end - writes.len()..end)
    }

    /// Waits until enough replicas have received these entries.
    fn acknowledge(&self, instance: usize, term: u64, entries: Range<usize>) -> CommitOutcome {
        loop {
            let mut state = self.lock();
            if state.primary != Some(instance)
                || state.term != term
                || !state.instances[instance].is_up
            {
                return CommitOutcome::Unknown;
            }
            let has_received = |(index, i): &(usize, &InstanceState)| {
                *index != instance && i.received >= entries.end
            };
            let received = state.instances.iter().enumerate().filter(has_received).count();
            if received >= self.profile.sync_replicas {
                for entry in &mut state.log[entries] {
                    entry.is_acknowledged = true;
                }
                return CommitOutcome::Committed;
            }
            drop(state);
            std::thread::sleep(ACKNOWLEDGEMENT_POLL_INTERVAL);
        }
    }

    /// Records that a client was told that a request had no effect.
    pub fn record_not_kept(&self, id: &str) {
        let mut state = self.lock();
        if state.committed.contains_key(id) {
            let violation =
                format!("{}: request {id} was reported without effect but committed", self.name);
            state.violations.push(violation);
        }
        state.reported_not_kept.insert(id.to_owned());
    }

    /// Whether a promotion discarded the write of a value.
    #[must_use]
    pub fn is_rolled_back(&self, data: &str) -> bool {
        self.lock().rolled_back.contains(data)
    }

    /// Records that a request of a client reached an instance.
    pub(crate) fn record_reached(&self, id: &str) {
        self.lock().first_reached.entry(id.to_owned()).or_insert_with(Instant::now);
    }

    /// Whether a request has reached an instance.
    #[must_use]
    pub fn has_reached(&self, id: &str) -> bool {
        self.lock().first_reached.contains_key(id)
    }

    /// When each request of the client `name` first reached an instance, in order.
    #[must_use]
    pub fn reached(&self, name: &str) -> Vec<Instant> {
        let prefix = format!("{name}:");
        let state = self.lock();
        let of_client = state.first_reached.iter().filter(|(id, _)| id.starts_with(&prefix));
        let mut times: Vec<Instant> = of_client.map(|(_, at)| *at).collect();
        times.sort_unstable();
        times
    }

    /// Records a violation of a guarantee.
    pub fn record_violation(&self, what: String) {
        self.lock().violations.push(what);
    }

    /// Returns the violations recorded so far.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }
}

impl State {
    /// Brings every replica that receives up to the primary's log.
    fn replicate(&mut self) {
        let Some(primary) = self.primary.filter(|p| self.instances[*p].is_up) else {
            return;
        };
        let length = self.log.len();
        for (index, instance) in self.instances.iter_mut().enumerate() {
            if index == primary || instance.receives() {
                instance.received = length;
            }
        }
    }

    /// Makes the primary a replica that has the whole log.
    fn retire_primary(&mut self) {
        let Some(old) = self.primary.take() else {
            return;
        };
        self.instances[old].received = self.log.len();
        self.instances[old].applied_as_primary = self.log.len();
    }

    fn promote(&mut self, service: &str, is_synchronous: bool, instance: usize) {
        if !self.instances[instance].is_up || self.primary == Some(instance) {
            return;
        }
        self.retire_primary();
        let received = self.instances[instance].received;
        let discarded: Vec<LogEntry> = self.log.drain(received..).collect();
        self.term += 1;
        for entry in discarded {
            if is_synchronous && entry.is_acknowledged {
                self.violations.push(format!(
                    "{service}: instance {instance} was promoted to term {} without the \
                     acknowledged commit {}",
                    self.term, entry.id
                ));
            }
            // A client sends a request again under the same id only after it was told that the
            // request had no effect; otherwise the retry gets a new id.
            self.committed.remove(&entry.id);
            self.rolled_back.insert(entry.data);
            debug_assert!(entry.term < self.term, "terms only rise");
        }
        self.primary = Some(instance);
        for other in &mut self.instances {
            other.received = other.received.min(received);
            other.applied_as_primary = other.applied_as_primary.min(received);
            other.is_stopped = false;
        }
        self.replicate();
    }
}
