//! The random plan of a run: which fault starts when.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// One kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A daemon is killed and restarted.
    KillDaemon,
    /// A daemon is stopped with SIGTERM and restarted.
    StopDaemon,
    /// A daemon is paused with SIGSTOP.
    PauseDaemon,
    /// A daemon receives SIGHUP and reloads its settings.
    HangUp,
    /// All daemons are killed at once and restarted.
    KillAll,
    /// The primary crashes and restarts with its log.
    CrashPrimary,
    /// A replica crashes and restarts with its log.
    CrashReplica,
    /// Daemons are partitioned from one instance.
    CutInstance,
    /// Responses of one instance do not arrive.
    CutAnswers,
    /// All connections to one instance break.
    ResetInstance,
    /// All traffic of one instance is delayed.
    DelayInstance,
    /// A replica receives no replication.
    DeafReplica,
    /// The primary executes requests, and the responses are lost.
    LoseAnswers,
    /// The store refuses every call.
    StoreBusy,
    /// The store does not respond.
    StoreSilent,
    /// The store applies writes, and the responses are lost.
    StoreLosesAnswers,
    /// The platform carries out promotions, and the responses are lost.
    LoseOrders,
    /// The store discards its change history.
    ForgetHistory,
    /// The primary reports that it is draining, and later that it serves again.
    DrainPrimary,
    /// The operators' table changes.
    ChangeTable,
    /// The store is away, and comes back from a copy that lacks what was written since.
    RestoreStore,
    /// The store accepts calls and never answers them, also after the fault has ended.
    StoreUnanswered,
    /// An instance accepts statements and never answers them.
    InstanceUnanswered,
    /// Instances refuse statements that set or prepare session state.
    RefuseState,
    /// Another writer stores an entry among those of the instances that no daemon can read.
    OddEntry,
    /// A client key that the table lacks is added, or one that it holds is removed.
    ChangeKey,
    /// Promotion requests get no response and are carried out later.
    LateOrders,
    /// Promotions are refused as unavailable.
    OrdersUnavailable,
    /// An instance is replaced: a new one starts, the old one drains and ends for good.
    ReplaceInstance,
    /// A host is lost for good, and another one comes at another address.
    ReplaceHost,
    /// A crowd fills the room for sessions of a daemon, and leaves.
    Crowd,
    /// Keys of sessions are removed, and later restored.
    RemoveKeys,
    /// The quota of a workspace is lowered, and later restored.
    LowerQuota,
    /// The time limits of statements and idle transactions change, and later change back.
    ChangeLimits,
    /// The table gets many routes, and later loses them.
    GrowTable,
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

/// Distinguishes the random numbers of restores from those of the other faults of a seed.
const RESTORE_STREAM: u64 = 0x5e57_04ed;

/// The same for odd entries.
const ODD_ENTRY_STREAM: u64 = 0x0dd0_e217;

/// The same for calls that are never answered and statements that are refused.
const UNANSWERED_STREAM: u64 = 0x51_1e27;

/// The same for changes of client keys.
const KEY_STREAM: u64 = 0x6b_e75;

/// The same for replacements and what meets the promotions of synchronous groups.
const REPLACEMENT_STREAM: u64 = 0x4e_91ace;

/// The faults of the stream of replacements.
const REPLACEMENTS: [Fault; 8] = [
    Fault::LateOrders,
    Fault::ReplaceInstance,
    Fault::OrdersUnavailable,
    Fault::ReplaceHost,
    Fault::CrashPrimary,
    Fault::LateOrders,
    Fault::ReplaceInstance,
    Fault::KillAll,
];

/// The faults of the stream of unanswered calls.
const UNANSWERED: [Fault; 3] =
    [Fault::StoreUnanswered, Fault::InstanceUnanswered, Fault::RefuseState];

/// The same for what ends sessions.
const SESSION_END_STREAM: u64 = 0x5e_55e2d5;

/// The planned work and the load beside which sessions end, the likelier ones more than once.
const SESSION_ENDS: [Fault; 12] = [
    Fault::Crowd,
    Fault::Crowd,
    Fault::Crowd,
    Fault::RemoveKeys,
    Fault::RemoveKeys,
    Fault::LowerQuota,
    Fault::ChangeLimits,
    Fault::GrowTable,
    Fault::HangUp,
    Fault::StopDaemon,
    Fault::StopDaemon,
    Fault::PauseDaemon,
];

/// One fault of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// When the fault starts, from the start of the run.
    pub at: Duration,
    /// How long the fault lasts.
    pub lasts: Duration,
    /// The kind of fault.
    pub fault: Fault,
    /// Selects the daemon, group or instance that the fault acts on.
    pub target: usize,
}

/// The faults of one run, ordered by start; they may overlap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The faults, ordered by start.
    pub steps: Vec<Step>,
}

impl Plan {
    /// Creates the plan of a seed for a run of the given length.
    #[must_use]
    pub fn new(seed: u64, length: Duration) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at = Duration::from_millis(rng.random_range(200..900));
        while at + Duration::from_millis(500) < length {
            let fault = FAULTS[rng.random_range(0..FAULTS.len())];
            // A quarter of the faults come in series of two or three of the same kind.
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

    /// A plan without faults, to which those of other streams are added.
    #[must_use]
    pub fn empty() -> Self {
        Self { steps: Vec::new() }
    }

    /// Adds restores of the store, some in quick succession; the other faults of the seed stay the
    /// same.
    #[must_use]
    pub fn with_restores(self, seed: u64, length: Duration) -> Self {
        self.with_stream(&[Fault::RestoreStore], seed ^ RESTORE_STREAM, length)
    }

    /// Adds entries that no daemon can read; the other faults of the seed stay the same.
    #[must_use]
    pub fn with_odd_entries(self, seed: u64, length: Duration) -> Self {
        self.with_stream(&[Fault::OddEntry], seed ^ ODD_ENTRY_STREAM, length)
    }

    /// Adds calls that are accepted and never answered, and refused statements; the other faults of
    /// the seed stay the same.
    #[must_use]
    pub fn with_unanswered_calls(self, seed: u64, length: Duration) -> Self {
        self.with_stream(&UNANSWERED, seed ^ UNANSWERED_STREAM, length)
    }

    /// Adds replacements of instances and hosts, and promotion requests that are late or refused; the
    /// other faults of the seed stay the same.
    #[must_use]
    pub fn with_replacements(self, seed: u64, length: Duration) -> Self {
        self.with_stream(&REPLACEMENTS, seed ^ REPLACEMENT_STREAM, length)
    }

    /// Adds client keys that come and go; the other faults of the seed stay the same.
    #[must_use]
    pub fn with_key_changes(self, seed: u64, length: Duration) -> Self {
        self.with_stream(&[Fault::ChangeKey], seed ^ KEY_STREAM, length)
    }

    /// Adds what ends sessions, alone, in series over consecutive targets, and beside a pause of the same
    /// daemon; the other faults of the seed stay the same.
    #[must_use]
    pub fn with_session_ends(mut self, seed: u64, length: Duration) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed ^ SESSION_END_STREAM);
        let mut at = Duration::from_millis(rng.random_range(800..2_500));
        while at + Duration::from_millis(500) < length {
            let fault = SESSION_ENDS[rng.random_range(0..SESSION_ENDS.len())];
            let first = rng.random_range(0..1_000);
            let series = if rng.random_bool(0.3) { rng.random_range(2..4) } else { 1 };
            let is_paused = rng.random_bool(0.4);
            for number in 0..series {
                let target = first + number;
                let lasts = Duration::from_millis(rng.random_range(300..2_500));
                self.steps.push(Step { at, lasts, fault, target });
                if is_paused {
                    let lasts = Duration::from_millis(rng.random_range(200..1_300));
                    let at = at.saturating_sub(Duration::from_millis(rng.random_range(0..80)));
                    self.steps.push(Step { at, lasts, fault: Fault::PauseDaemon, target });
                }
                at += Duration::from_millis(rng.random_range(50..500));
            }
            at += Duration::from_millis(rng.random_range(100..900));
        }
        self.steps.sort_by_key(|s| s.at);
        self
    }

    /// Adds faults of some kinds from a stream of random numbers of their own.
    fn with_stream(mut self, faults: &[Fault], stream_seed: u64, length: Duration) -> Self {
        let mut rng = SmallRng::seed_from_u64(stream_seed);
        let mut at = Duration::from_millis(rng.random_range(800..2_500));
        while at + Duration::from_millis(500) < length {
            let lasts = Duration::from_millis(rng.random_range(20..1_500));
            let target = rng.random_range(0..1_000);
            let fault = faults[target % faults.len()];
            self.steps.push(Step { at, lasts, fault, target });
            at += Duration::from_millis(rng.random_range(700..4_000));
        }
        self.steps.sort_by_key(|s| s.at);
        self
    }
}
