//! What a traffic thread has learned of instances from its own requests.
//!
//! Nothing is polled: an instance's position comes back on connections that carry traffic, so the
//! cost follows the traffic and not the number of databases.
//!
//! Invariant: a [`Proof`] is a lower bound of the applied position and an upper bound of the age,
//! valid for the one process of the instance that gave it.

use std::time::Duration;

use persimmon_types::{InstanceId, Position, TermStarts, Time};

/// What an instance proved about itself at one instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proof {
    /// The process of the instance, which changes when it restarts.
    pub incarnation: u64,
    /// What it had applied.
    pub applied: Position,
    /// How old its data was.
    pub age: Duration,
    /// When the question was sent.
    pub at: Time,
}

/// What is known of one instance.
#[derive(Clone, Debug, Default)]
struct Instance {
    proof: Option<Proof>,
    outstanding: u32,
    failed_until: Time,
    next_check: Time,
    /// The lowest floor that the instance was lately found not to show.
    behind: Position,
}

/// What is known of all instances.
#[derive(Clone, Debug, Default)]
pub struct Knowledge {
    instances: Vec<Instance>,
}

/// How long an instance that failed receives no reads that could go elsewhere.
const AVOID_AFTER_FAILURE: Duration = Duration::from_millis(1_000);

/// The shortest pause between two checks of an instance that was found behind.
const MIN_CHECK_PAUSE: Duration = Duration::from_millis(5);

/// The longest such pause.
const MAX_CHECK_PAUSE: Duration = Duration::from_millis(500);

impl Knowledge {
    /// Creates empty knowledge.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn entry(&mut self, id: InstanceId) -> &mut Instance {
        if self.instances.len() <= id.index() {
            self.instances.resize_with(id.index() + 1, Instance::default);
        }
        &mut self.instances[id.index()]
    }

    fn get(&self, id: InstanceId) -> Option<&Instance> {
        self.instances.get(id.index())
    }

    /// Forgets everything, because a new table numbers instances anew.
    pub fn clear(&mut self) {
        self.instances.clear();
    }

    /// Takes in what an instance proved.
    pub fn prove(&mut self, id: InstanceId, proof: Proof) {
        let entry = self.entry(id);
        let is_newer = entry.proof.is_none_or(|p| proof.at >= p.at);
        if is_newer {
            entry.proof = Some(proof);
        }
        entry.failed_until = Time::ZERO;
    }

    /// Notes that an instance was found behind a floor, so that it is not asked again at once for
    /// this floor or a later one.
    pub fn found_behind(&mut self, id: InstanceId, now: Time, floor: Position) {
        let entry = self.entry(id);
        let is_paused = entry.next_check > now;
        entry.behind = if is_paused { entry.behind.min(floor) } else { floor };
        let age = entry.proof.map(|p| p.age).unwrap_or_default();
        entry.next_check = now + (age / 4).clamp(MIN_CHECK_PAUSE, MAX_CHECK_PAUSE);
    }

    /// Notes that a request to an instance failed.
    pub fn failed(&mut self, id: InstanceId, now: Time) {
        let entry = self.entry(id);
        entry.failed_until = now + AVOID_AFTER_FAILURE;
        entry.proof = None;
    }

    /// Notes that a request was given to an instance.
    pub fn began(&mut self, id: InstanceId) {
        self.entry(id).outstanding += 1;
    }

    /// Notes that a request to an instance ended.
    pub fn ended(&mut self, id: InstanceId) {
        let entry = self.entry(id);
        entry.outstanding = entry.outstanding.saturating_sub(1);
    }

    /// How many requests of this thread an instance has.
    #[must_use]
    pub fn outstanding(&self, id: InstanceId) -> u32 {
        self.get(id).map_or(0, |i| i.outstanding)
    }

    /// Whether an instance failed lately.
    #[must_use]
    pub fn is_avoided(&self, id: InstanceId, now: Time) -> bool {
        self.get(id).is_some_and(|i| i.failed_until > now)
    }

    /// Whether an instance is proven to show `floor` and to be no older than `max_age`.
    #[must_use]
    pub fn is_proven(
        &self,
        id: InstanceId,
        now: Time,
        starts: &TermStarts,
        floor: Position,
        max_age: Duration,
    ) -> bool {
        let Some(proof) = self.get(id).and_then(|i| i.proof) else {
            return false;
        };
        starts.reaches(proof.applied, floor) && proof.age + now.since(proof.at) <= max_age
    }

    /// Whether it is worth asking an instance if it shows `floor`, which rose at `floor_at`.
    ///
    /// An instance that was a given time behind is expected to show a write after that time; until
    /// then asking costs a round trip and ends at the primary anyway.
    #[must_use]
    pub fn is_worth_asking(
        &self,
        id: InstanceId,
        now: Time,
        floor: Position,
        floor_at: Time,
    ) -> bool {
        let Some(entry) = self.get(id) else {
            return true;
        };
        if entry.next_check > now && floor >= entry.behind {
            return false;
        }
        let expected = entry.proof.map(|p| p.age).unwrap_or_default();
        now.since(floor_at) >= expected
    }

    /// The last proof of an instance.
    #[must_use]
    pub fn proof(&self, id: InstanceId) -> Option<Proof> {
        self.get(id).and_then(|i| i.proof)
    }
}
