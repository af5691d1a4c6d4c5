//! The state of one database group: a log, and how much of it each instance holds.

use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How instances work.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// How long a statement occupies a slot.
    pub statement: Duration,
    /// How far replicas apply behind what they have received.
    pub lag: Duration,
    /// How long after its order a promotion takes effect.
    pub promotion: Duration,
    /// Statements that an instance runs at once.
    pub slots: usize,
    /// Connections that an instance takes.
    pub connections: usize,
}

impl Default for Work {
    fn default() -> Self {
        Self {
            statement: Duration::from_millis(2),
            lag: Duration::from_millis(20),
            promotion: Duration::from_millis(300),
            slots: 5,
            connections: 60,
        }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    term: u64,
    id: String,
    item: String,
    data: String,
    at: Instant,
}

#[derive(Clone, Debug)]
struct Copy {
    /// Entries received; the primary's is the length of the log.
    received: usize,
    /// Entries applied while it led, which it does not take back when it loses the lead.
    kept: usize,
    is_up: bool,
    is_deaf: bool,
    born: u64,
}

#[derive(Debug)]
struct State {
    term: u64,
    primary: Option<usize>,
    log: Vec<Entry>,
    copies: Vec<Copy>,
    lost: HashSet<String>,
    committed: HashMap<String, u32>,
    promised_not_kept: HashSet<String>,
    promotion: Option<(Instant, usize)>,
    violations: Vec<String>,
}

/// One database group.
#[derive(Debug)]
pub struct Group {
    /// The service's name.
    pub name: String,
    /// How its instances work.
    pub work: Work,
    state: Mutex<State>,
}

/// What a connection sees of an instance at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Seen {
    pub(crate) leads: bool,
    pub(crate) term: u64,
    pub(crate) received: usize,
    pub(crate) applied: usize,
    pub(crate) is_up: bool,
}

impl Group {
    /// Creates a group whose first copy leads the first term.
    #[must_use]
    pub fn new(name: &str, copies: usize, work: Work) -> Self {
        let copy = Copy { received: 0, kept: 0, is_up: true, is_deaf: false, born: 1 };
        Self {
            name: name.to_owned(),
            work,
            state: Mutex::new(State {
                term: 1,
                primary: Some(0),
                log: Vec::new(),
                copies: vec![copy; copies],
                lost: HashSet::new(),
                committed: HashMap::new(),
                promised_not_kept: HashSet::new(),
                promotion: None,
                violations: Vec::new(),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((at, copy)) = state.promotion
            && Instant::now() >= at
        {
            state.promotion = None;
            promote_now(&mut state, copy);
        }
        state
    }

    /// Whether an instance runs.
    #[must_use]
    pub fn is_up(&self, copy: usize) -> bool {
        self.lock().copies[copy].is_up
    }

    /// When an instance's process began, in some unit that rises.
    #[must_use]
    pub fn born(&self, copy: usize) -> u64 {
        self.lock().copies[copy].born
    }

    /// The instance that leads, if one does.
    #[must_use]
    pub fn primary(&self) -> Option<usize> {
        let state = self.lock();
        state.primary.filter(|p| state.copies[*p].is_up)
    }

    /// The term.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.lock().term
    }

    pub(crate) fn role_word(&self, copy: usize) -> &'static str {
        if self.lock().primary == Some(copy) { "primary" } else { "replica" }
    }

    /// Ends an instance's process, or starts it again with its log.
    pub fn set_up(&self, copy: usize, is_up: bool) {
        let mut state = self.lock();
        state.copies[copy].is_up = is_up;
        if is_up {
            state.copies[copy].born += 1;
        }
    }

    /// Stops a replica from receiving, or lets it catch up.
    pub fn set_deaf(&self, copy: usize, is_deaf: bool) {
        let mut state = self.lock();
        state.copies[copy].is_deaf = is_deaf;
        let length = state.log.len();
        if !is_deaf && state.primary.is_some_and(|p| state.copies[p].is_up) {
            state.copies[copy].received = length;
        }
    }

    /// Takes in an order to promote; it takes effect a little later.
    pub(crate) fn order(&self, copy: usize) -> bool {
        let mut state = self.lock();
        if !state.copies[copy].is_up {
            return false;
        }
        if state.primary != Some(copy) {
            state.promotion = Some((Instant::now() + self.work.promotion, copy));
        }
        true
    }

    pub(crate) fn seen(&self, copy: usize) -> Seen {
        self.seen_in(&self.lock(), copy)
    }

    fn seen_in(&self, state: &State, copy: usize) -> Seen {
        let leads = state.primary == Some(copy);
        let received = if leads { state.log.len() } else { state.copies[copy].received };
        let visible = Instant::now().checked_sub(self.work.lag);
        let applied = if leads {
            received
        } else {
            let is_old = |e: &&Entry| visible.is_some_and(|at| e.at <= at);
            let by_age = state.log[..received].iter().take_while(is_old).count();
            by_age.max(state.copies[copy].kept.min(received))
        };
        Seen { leads, term: state.term, received, applied, is_up: state.copies[copy].is_up }
    }

    /// The value of an item at an instance; none if it had to lead this term and does not.
    pub(crate) fn read(&self, copy: usize, must_lead: Option<u64>, item: &str) -> Option<String> {
        let state = self.lock();
        let seen = self.seen_in(&state, copy);
        if must_lead.is_some_and(|term| !seen.leads || seen.term != term) {
            return None;
        }
        let entry = state.log[..seen.applied].iter().rev().find(|e| e.item == item);
        Some(entry.map_or_else(|| "-".to_owned(), |e| e.data.clone()))
    }

    /// Appends writes if the instance still leads the term.
    pub(crate) fn commit(
        &self,
        copy: usize,
        term: u64,
        writes: &[(String, String, String)],
    ) -> bool {
        let mut state = self.lock();
        if state.primary != Some(copy) || state.term != term || !state.copies[copy].is_up {
            return false;
        }
        for (id, item, data) in writes {
            let runs = state.committed.entry(id.clone()).or_default();
            *runs += 1;
            if *runs > 1 {
                let violation = format!("{}: request {id} was committed {runs} times", self.name);
                state.violations.push(violation);
            }
            if state.promised_not_kept.contains(id) {
                let violation =
                    format!("{}: request {id} was committed after a promise", self.name);
                state.violations.push(violation);
            }
            let (id, item, data) = (id.clone(), item.clone(), data.clone());
            let entry = Entry { term, id, item, data, at: Instant::now() };
            state.log.push(entry);
        }
        let length = state.log.len();
        for (index, other) in state.copies.iter_mut().enumerate() {
            if index == copy || (other.is_up && !other.is_deaf) {
                other.received = length;
            }
        }
        true
    }

    /// Notes that a caller was promised that a request is not kept.
    pub fn promised(&self, id: &str) {
        let mut state = self.lock();
        if state.committed.contains_key(id) {
            let violation = format!("{}: request {id} was kept despite a promise", self.name);
            state.violations.push(violation);
        }
        state.promised_not_kept.insert(id.to_owned());
    }

    /// Whether a promotion rolled a value back.
    #[must_use]
    pub fn is_lost(&self, data: &str) -> bool {
        self.lock().lost.contains(data)
    }

    /// Notes something that must not be.
    pub fn violation(&self, what: String) {
        self.lock().violations.push(what);
    }

    /// What must not be and was.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }
}

fn promote_now(state: &mut State, copy: usize) {
    if !state.copies[copy].is_up || state.primary == Some(copy) {
        return;
    }
    if let Some(old) = state.primary {
        state.copies[old].received = state.log.len();
        state.copies[old].kept = state.log.len();
    }
    let received = state.copies[copy].received;
    let lost: Vec<Entry> = state.log.drain(received..).collect();
    for entry in lost {
        // The caller may send it again under the same id only after a promise; it gets a new one.
        state.committed.remove(&entry.id);
        state.lost.insert(entry.data);
        debug_assert!(entry.term <= state.term, "terms only rise");
    }
    state.term += 1;
    state.primary = Some(copy);
    for other in &mut state.copies {
        other.received = other.received.min(received);
        other.kept = other.kept.min(received);
        if other.is_up && !other.is_deaf {
            other.received = received;
        }
    }
}
