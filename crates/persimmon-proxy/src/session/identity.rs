//! Which workspace a session's key identifies, and what happens when it identifies none.
//!
//! Invariants:
//!
//! - The key is looked up in the active table again at each statement.
//! - A statement inside a transaction runs only for the workspace for which the transaction is open.

use std::sync::Arc;
use std::time::Duration;

use persimmon_interfaces::{ErrorCode, Query, Route, Statement, Table, TxStatus};
use persimmon_types::{Clock, Time};
use persimmon_workspace::ClientKey;
use tokio::sync::watch;

use crate::metrics::Metrics;
use crate::session::{Session, Tx, error, ready, refusal};
use crate::statement_job::{Caller, RETRY_AFTER};
use crate::table_checks::MAX_CHECK_WAIT;

/// How long a new session waits for the first table; clients give up after two seconds.
const TABLE_WAIT_TIMEOUT: Duration = Duration::from_millis(1_700);

/// What a client with an unknown key is told.
const UNKNOWN_KEY_TEXT: &str = "the key identifies no workspace";

/// Why a session may not run a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IdentityProblem {
    /// No table has been received.
    NoTable,
    /// The table has no route for the database.
    NoRoute,
    /// The key identifies no workspace.
    UnknownKey,
    /// The key identifies another workspace than the one for which the transaction is open.
    OtherWorkspace,
}

impl Session {
    /// Waits until the session may begin; returns whether it may. A client that the active table
    /// refuses is told so.
    pub(super) async fn start(&mut self) -> bool {
        let began = Clock.now();
        let mut snapshots = self.worker.snapshots();
        let mut check: Option<(Time, watch::Receiver<()>)> = None;
        loop {
            // Read before the table, which is activated before the proof is recorded.
            let complete_until = self.worker.table_complete_until();
            // Marks the snapshot as seen before it is used, so that no later one is missed.
            drop(snapshots.borrow_and_update());
            let Err(problem) = self.identify() else {
                self.send(&[ready(TxStatus::Idle, None)]);
                return true;
            };
            let now = Clock.now();
            if problem == IdentityProblem::NoTable {
                let left = (began + TABLE_WAIT_TIMEOUT).since(now);
                if left.is_zero() {
                    return self.refuse_start(problem);
                }
                // A timeout only makes the loop check again.
                let _ = tokio::time::timeout(left, snapshots.changed()).await;
                continue;
            }
            if !self.has_workspaces() {
                return self.refuse_start(problem);
            }
            // The host may be behind; the proof must be younger than the request.
            let (requested, ended) =
                check.get_or_insert_with(|| (now, self.worker.table_checks.request(now)));
            let deadline = (*requested + MAX_CHECK_WAIT).min(began + TABLE_WAIT_TIMEOUT);
            let left = deadline.since(now);
            if complete_until >= Some(*requested) || left.is_zero() {
                return self.refuse_start(problem);
            }
            tokio::select! {
                _ = snapshots.changed() => {}
                _ = ended.changed() => {}
                () = tokio::time::sleep(left) => {}
            }
        }
    }

    fn has_workspaces(&self) -> bool {
        self.worker.snapshot().table.as_ref().is_some_and(|t| t.workspaces.is_some())
    }

    /// Refuses the session; returns false.
    fn refuse_start(&self, problem: IdentityProblem) -> bool {
        let table = self.table_version();
        let database = self.shown_database();
        let reply = match problem {
            IdentityProblem::NoTable => refusal(ErrorCode::Busy, RETRY_AFTER),
            IdentityProblem::NoRoute => error(ErrorCode::NoSuchDatabase, database),
            IdentityProblem::UnknownKey | IdentityProblem::OtherWorkspace => {
                Metrics::increment(&self.worker.metrics.unknown_keys);
                error(ErrorCode::UnknownKey, UNKNOWN_KEY_TEXT)
            }
        };
        if self.worker.log.should_log(true) {
            match problem {
                IdentityProblem::NoTable => {
                    tracing::warn!(database, "session refused: no table has been received yet");
                }
                IdentityProblem::NoRoute => {
                    tracing::info!(database, table, "session refused: no route for the database");
                }
                IdentityProblem::UnknownKey | IdentityProblem::OtherWorkspace => {
                    tracing::info!(
                        database,
                        table,
                        "session refused: the key identifies no workspace"
                    );
                }
            }
        }
        self.send(&[reply]);
        false
    }

    /// The database's name for a log line or an error text; a client may have sent its key in its place.
    fn shown_database(&self) -> &str {
        let snapshot = self.worker.snapshot();
        let workspaces = snapshot.table.as_ref().and_then(|t| t.workspaces.as_ref());
        let is_key =
            workspaces.is_some_and(|w| w.find(ClientKey::digest(&self.database)).is_some());
        if is_key { "(a key)" } else { &self.database }
    }

    /// The route of the session's database in the active table.
    pub(super) fn route(&self) -> Option<Arc<Route>> {
        self.worker.snapshot().table.as_ref()?.routes.get(&self.database).cloned()
    }

    /// The version of the active table; zero before the first one.
    pub(super) fn table_version(&self) -> u64 {
        self.worker.snapshot().table.as_ref().map_or(0, |t| t.version)
    }

    /// Looks the session's workspace up in the active table.
    fn identify(&mut self) -> Result<(), IdentityProblem> {
        let snapshot = self.worker.snapshot();
        let table: &Table = snapshot.table.as_deref().ok_or(IdentityProblem::NoTable)?;
        let begun = match &self.tx {
            Tx::Begun { route, .. } | Tx::Open { route, .. } => Some(route),
            Tx::None | Tx::Failed => None,
        };
        let route = table.routes.get(&self.database).or(begun).ok_or(IdentityProblem::NoRoute)?;
        let found = table.workspace(route, self.key).map_err(|_| IdentityProblem::UnknownKey)?;
        let workspace = found.map(|workspace| &workspace.name);
        let is_same = self.caller.as_ref().map(|c| &c.workspace) == workspace;
        if matches!(self.tx, Tx::Open { .. }) && !is_same {
            return Err(IdentityProblem::OtherWorkspace);
        }
        if !is_same {
            self.caller =
                workspace.map(|name| Caller { workspace: Arc::clone(name), key: self.key });
        }
        Ok(())
    }

    /// Refuses a statement whose key does not identify the session's workspace any more; returns whether
    /// the statement may run.
    pub(super) fn check_identity(&mut self, query: &Query) -> bool {
        let known = match self.identify() {
            // An owner of the service, whose table is newer, has refused the key.
            Ok(()) if self.refused_table == Some(self.table_version()) => {
                Err(IdentityProblem::UnknownKey)
            }
            identified => identified,
        };
        match known {
            // Without a route, the statement is refused where it needs one.
            Ok(()) | Err(IdentityProblem::NoTable | IdentityProblem::NoRoute) => true,
            Err(problem) => {
                if self.worker.log.should_log(true) {
                    tracing::info!(id = %query.id, database = %self.database,
                        table = self.table_version(), ?problem,
                        has_transaction = !matches!(self.tx, Tx::None),
                        "not run: the session's key does not identify its workspace");
                }
                self.refuse_key(query);
                false
            }
        }
    }

    /// Answers a statement that was not run because its key identifies no workspace. An open transaction
    /// is rolled back. The session stays open: its end would cut a request that is on its way.
    pub(super) fn refuse_key(&mut self, query: &Query) {
        Metrics::increment(&self.worker.metrics.unknown_keys);
        if matches!(self.tx, Tx::None) {
            self.send(&[
                error(ErrorCode::UnknownKey, UNKNOWN_KEY_TEXT),
                ready(TxStatus::Idle, None),
            ]);
            return;
        }
        let is_commit = query.statement == Statement::Commit;
        self.rollback_detached();
        self.tx = if is_commit { Tx::None } else { Tx::Failed };
        self.send(&[
            error(
                ErrorCode::Aborted,
                "the key does not identify the workspace any more; nothing is kept",
            ),
            ready(self.status(), None),
        ]);
    }
}
