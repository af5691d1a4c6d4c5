//! Detects replicas that receive nothing although the primary has more.

use std::collections::HashMap;
use std::sync::Arc;

use persimmon_interfaces::Role;
use persimmon_types::Position;

use crate::candidate::Asked;

/// Compares what the instances of a group report in successive rounds.
#[derive(Debug, Default)]
pub struct StandstillDetector {
    /// The primary of the last round, and what it had.
    primary: Option<(Arc<str>, Position)>,
    /// What each replica had received in the last round, and for how many rounds it has received
    /// nothing.
    replicas: HashMap<Arc<str>, (Position, u32)>,
}

impl StandstillDetector {
    /// Handles a round of statuses. Returns the primary if a replica has received nothing for `rounds`
    /// rounds although the primary had more before each of them.
    pub fn observe(&mut self, answers: &[Asked], rounds: u32) -> Option<Arc<str>> {
        let is_primary = |a: &&Asked| a.status.is_some_and(|s| s.role == Role::Primary);
        let primary = answers.iter().filter(is_primary).max_by_key(|a| a.status.map(|s| s.term));
        let primary = primary.and_then(|a| Some((Arc::clone(&a.id), a.received()?)));
        let before = std::mem::replace(&mut self.primary, primary);
        let Some((id, _)) = &self.primary else {
            self.replicas.clear();
            return None;
        };
        // What the same primary had in the last round.
        let had = before.filter(|(before, _)| before == id).map(|(_, had)| had);
        let mut replicas = HashMap::new();
        for answer in answers {
            let Some(received) = answer.received().filter(|_| answer.id != *id) else {
                continue;
            };
            let still = match self.replicas.get(&answer.id) {
                Some((at, still)) if *at == received && Some(received) < had => still + 1,
                _ => 0,
            };
            replicas.insert(Arc::clone(&answer.id), (received, still));
        }
        self.replicas = replicas;
        let stands_still = self.replicas.values().any(|(_, still)| *still >= rounds);
        stands_still.then(|| Arc::clone(id))
    }
}
