//! The faults of the matrix.

/// One fault; it lasts two seconds unless it is permanent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The primary dies permanently.
    KillPrimary,
    /// The primary freezes and resumes.
    FreezePrimary,
    /// A replica dies permanently.
    KillReplica,
    /// A replica freezes and resumes.
    FreezeReplica,
    /// A replica receives nothing from its primary.
    LagReplica,
    /// The other replica freezes and resumes.
    FreezeOtherReplica,
    /// The other replica receives nothing from its primary.
    LagOtherReplica,
    /// The primary cannot reach its replicas.
    CutReplication,
    /// The failover coordinator dies permanently.
    KillCoordinator,
    /// The failover coordinator freezes and resumes.
    FreezeCoordinator,
    /// Requests of the failover coordinator to instances are lost.
    LoseCoordinatorRequests,
    /// Responses to the failover coordinator are lost.
    LoseCoordinatorResponses,
    /// Daemons cannot reach each other.
    PartitionPeers,
    /// The client's daemon freezes and resumes.
    FreezeClientDaemon,
    /// The client's daemon dies permanently.
    KillClientDaemon,
    /// The store does not respond.
    StoreDown,
    /// The store responds late.
    StoreSlow,
    /// Writes to the store take effect, but the responses are lost.
    LoseStoreResponses,
    /// Every message to a daemon is delivered twice, the second time late.
    DuplicateMessages,
    /// The client cancels its request.
    Cancel,
    /// Two daemons coordinate a failover at the same time.
    TwoCoordinators,
}

/// Every fault.
pub const FAULTS: [Fault; 21] = [
    Fault::KillPrimary,
    Fault::FreezePrimary,
    Fault::KillReplica,
    Fault::FreezeReplica,
    Fault::LagReplica,
    Fault::FreezeOtherReplica,
    Fault::LagOtherReplica,
    Fault::CutReplication,
    Fault::KillCoordinator,
    Fault::FreezeCoordinator,
    Fault::LoseCoordinatorRequests,
    Fault::LoseCoordinatorResponses,
    Fault::PartitionPeers,
    Fault::FreezeClientDaemon,
    Fault::KillClientDaemon,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::LoseStoreResponses,
    Fault::DuplicateMessages,
    Fault::Cancel,
    Fault::TwoCoordinators,
];
