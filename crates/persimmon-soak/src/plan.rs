//! Which faults come when.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// One kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A daemon is killed and started again.
    KillDaemon,
    /// A daemon is asked to stop and started again.
    StopDaemon,
    /// A daemon is paused.
    PauseDaemon,
    /// A daemon is told to read its settings anew.
    HangUp,
    /// Every daemon is killed at once and started again.
    KillAll,
    /// The primary's process ends and comes back with its log.
    CrashPrimary,
    /// A replica's process ends and comes back with its log.
    CrashReplica,
    /// Nothing passes between daemons and one instance.
    CutInstance,
    /// What one instance answers does not arrive.
    CutAnswers,
    /// Every connection to one instance breaks.
    ResetInstance,
    /// Everything to and from one instance is late.
    DelayInstance,
    /// A replica receives nothing.
    DeafReplica,
    /// The primary runs requests and loses their answers.
    LoseAnswers,
    /// The store refuses every call.
    StoreBusy,
    /// The store is silent.
    StoreSilent,
    /// The store carries out writes and does not answer them.
    StoreLosesAnswers,
    /// The authority carries out orders and does not answer them.
    LoseOrders,
    /// The store forgets its history.
    ForgetHistory,
    /// The primary says that it is leaving, and comes back.
    DrainPrimary,
    /// The operators' table changes.
    ChangeTable,
}

const FAULTS: [Fault; 20] = [
    Fault::KillDaemon,
    Fault::StopDaemon,
    Fault::PauseDaemon,
    Fault::HangUp,
    Fault::KillAll,
    Fault::CrashPrimary,
    Fault::CrashReplica,
    Fault::CutInstance,
    Fault::CutAnswers,
    Fault::ResetInstance,
    Fault::DelayInstance,
    Fault::DeafReplica,
    Fault::LoseAnswers,
    Fault::StoreBusy,
    Fault::StoreSilent,
    Fault::StoreLosesAnswers,
    Fault::LoseOrders,
    Fault::ForgetHistory,
    Fault::DrainPrimary,
    Fault::ChangeTable,
];

/// One fault of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// When it begins, from the start of the run.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What happens.
    pub fault: Fault,
    /// Chooses the daemon, group or instance that it meets.
    pub target: usize,
}

/// The faults of one run, in the order in which they begin; they overlap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The faults.
    pub steps: Vec<Step>,
}

impl Plan {
    /// The plan of a seed for a run that lasts `length`.
    #[must_use]
    pub fn new(seed: u64, length: Duration) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at = Duration::from_millis(rng.random_range(200..900));
        while at + Duration::from_millis(500) < length {
            let fault = FAULTS[rng.random_range(0..FAULTS.len())];
            // Some faults come in series of the same kind.
            let series = if rng.random_bool(0.25) { rng.random_range(2..4) } else { 1 };
            for number in 0..series {
                steps.push(Step {
                    at: at + Duration::from_millis(350) * number,
                    lasts: Duration::from_millis(rng.random_range(200..2_500)),
                    fault,
                    target: rng.random_range(0..1_000),
                });
            }
            at += Duration::from_millis(rng.random_range(150..1_800));
        }
        steps.sort_by_key(|s| s.at);
        Self { steps }
    }
}
