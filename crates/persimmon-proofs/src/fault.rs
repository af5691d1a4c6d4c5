//! The faults of the matrix.

/// One fault, which lasts two seconds unless it is for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The primary dies for good.
    KillPrimary,
    /// The primary freezes and wakes.
    FreezePrimary,
    /// A replica dies for good.
    KillReplica,
    /// A replica freezes and wakes.
    FreezeReplica,
    /// A replica receives nothing from its primary.
    ReplicaFarBehind,
    /// The other replica freezes and wakes.
    FreezeOtherReplica,
    /// The other replica receives nothing from its primary.
    OtherReplicaFarBehind,
    /// The primary cannot reach its replicas.
    CutPrimaryFromReplicas,
    /// The daemon that decides dies for good.
    KillDecider,
    /// The daemon that decides freezes and wakes.
    FreezeDecider,
    /// What the deciding daemon sends to instances is lost.
    CutDeciderOutward,
    /// What instances answer to the deciding daemon is lost.
    CutDeciderInward,
    /// Daemons cannot reach each other.
    CutPeers,
    /// The caller's daemon freezes and wakes.
    FreezeCallersDaemon,
    /// The caller's daemon dies for good.
    KillCallersDaemon,
    /// The store answers nothing.
    StoreDown,
    /// The store answers late.
    StoreSlow,
    /// The store's writes take effect, but their answers are lost.
    StoreAnswersLost,
    /// Every message to a daemon arrives twice, the second time late.
    DuplicateAndLate,
    /// The caller cancels.
    Cancel,
    /// A second daemon decides at the same time.
    TwoDeciders,
}

/// Every fault.
pub const FAULTS: [Fault; 21] = [
    Fault::KillPrimary,
    Fault::FreezePrimary,
    Fault::KillReplica,
    Fault::FreezeReplica,
    Fault::ReplicaFarBehind,
    Fault::FreezeOtherReplica,
    Fault::OtherReplicaFarBehind,
    Fault::CutPrimaryFromReplicas,
    Fault::KillDecider,
    Fault::FreezeDecider,
    Fault::CutDeciderOutward,
    Fault::CutDeciderInward,
    Fault::CutPeers,
    Fault::FreezeCallersDaemon,
    Fault::KillCallersDaemon,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::StoreAnswersLost,
    Fault::DuplicateAndLate,
    Fault::Cancel,
    Fault::TwoDeciders,
];
