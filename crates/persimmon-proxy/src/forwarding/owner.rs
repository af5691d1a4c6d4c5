//! Runs the statements that other daemons forward.
//!
//! Invariants:
//!
//! - A statement that has been started is run to its end, whether or not its caller still waits.
//! - A transaction belongs to the connection on which it was opened, and is rolled back with it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use persimmon_interfaces::{ErrorCode, TxStatus};
use persimmon_types::{Clock, Time};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

use crate::forwarding::frame::frame;
use crate::forwarding::service::{
    ContinueReply, ContinueRequest, ExecuteReply, ExecuteRequest, ForwardService, Refusal,
};
use crate::forwarding::wire::ReceivedStatement;
use crate::memory_budget::MemoryShare;
use crate::metrics::Metrics;
use crate::quota::{WireQuotaAnswer, WireQuotaRequest};
use crate::statement_job::{Execution, ExecutionMode};
use crate::traffic::{ShutdownStage, Worker};
use crate::transaction::{OpenTransaction, TransactionStep};

/// Statements of one daemon that run concurrently; further ones are refused.
const MAX_CONCURRENT: usize = 500;

/// Pause after the listener failed, such as when out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Added to the idle limit of transactions, which the daemon that has the session enforces.
const IDLE_MARGIN: Duration = Duration::from_secs(2);

/// How often transactions are checked against their idle limit.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Idle limit of transactions before a table has been received.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(10);

/// A transaction that is open for another daemon.
struct Held {
    /// `None` while a statement runs in it.
    transaction: Option<Box<dyn OpenTransaction>>,
    used_at: Time,
    _counted: HeldGuard,
}

/// Number of statements and transactions that a daemon holds for others.
#[derive(Debug, Default)]
pub(crate) struct HeldCount(Cell<usize>);

impl HeldCount {
    /// The number.
    pub(crate) fn get(&self) -> usize {
        self.0.get()
    }
}

/// Counts a running statement or an open transaction until dropped.
struct HeldGuard(Rc<Worker>);

impl HeldGuard {
    fn new(worker: &Rc<Worker>) -> Self {
        let count = &worker.held.0;
        count.set(count.get() + 1);
        Self(Rc::clone(worker))
    }
}

impl Drop for HeldGuard {
    fn drop(&mut self) {
        let count = &self.0.held.0;
        count.set(count.get().saturating_sub(1));
    }
}

/// Serves one connection of another daemon.
#[derive(Clone)]
struct OwnerService {
    worker: Rc<Worker>,
    caller: SocketAddr,
    transactions: Rc<RefCell<HashMap<u64, Held>>>,
    is_closed: Rc<Cell<bool>>,
}

impl OwnerService {
    fn hold(&self, number: u64, transaction: Box<dyn OpenTransaction>) {
        if self.is_closed.get() {
            transaction.rollback();
            return;
        }
        let held = Held {
            transaction: Some(transaction),
            used_at: Clock.now(),
            _counted: HeldGuard::new(&self.worker),
        };
        if let Some(Held { transaction: Some(before), .. }) =
            self.transactions.borrow_mut().insert(number, held)
        {
            tracing::warn!(caller = %self.caller, number, "a transaction number was used twice");
            before.rollback();
        }
    }

    async fn run(&self, request: ExecuteRequest) -> Result<ExecuteReply, Refusal> {
        let worker = &self.worker;
        if *worker.stage.borrow() >= ShutdownStage::NotReady {
            return Err(Refusal::Draining);
        }
        let received = ReceivedStatement::from(request.statement);
        self.check_caller(&received)?;
        let share = MemoryShare::new(Rc::clone(&worker.forwarded_budget));
        if !share.record(received.bytes()) {
            self.refuse_for_memory(&received, share.total());
            let execution = Execution::new(ExecutionMode::from(request.mode));
            return Ok(ExecuteReply::from(execution.refused(ErrorCode::Busy)));
        }
        if worker.snapshot().instances(&received.route.service).is_empty() {
            return Err(Refusal::UnknownService);
        }
        let began = Clock.now();
        let mut job = received.job();
        job.deadline = worker.limit_deadline(job.deadline);
        let mode = ExecutionMode::from(request.mode);
        let mut execution = worker.execute(&job, mode).await;
        self.log(&received, &execution, Clock.now().since(began));
        let transaction = execution.transaction.take();
        let is_kept = transaction.is_some();
        if let Some(transaction) = transaction {
            self.hold(request.transaction, transaction);
        }
        let mut reply = ExecuteReply::from(execution);
        reply.has_transaction = is_kept;
        Ok(reply)
    }

    async fn run_in_transaction(&self, request: ContinueRequest) -> Result<ContinueReply, Refusal> {
        let number = request.transaction;
        let taken =
            self.transactions.borrow_mut().get_mut(&number).and_then(|h| h.transaction.take());
        let Some(mut transaction) = taken else {
            return Err(Refusal::UnknownTransaction);
        };
        let received = ReceivedStatement::from(request.statement);
        if let Err(refusal) = self.check_caller(&received) {
            self.transactions.borrow_mut().remove(&number);
            transaction.rollback();
            return Err(refusal);
        }
        let share = MemoryShare::new(Rc::clone(&self.worker.forwarded_budget));
        let has_room = share.record(received.bytes());
        if !has_room {
            self.refuse_for_memory(&received, share.total());
        }
        let instance = Arc::clone(transaction.instance());
        let mut job = received.job();
        job.deadline = self.worker.limit_deadline(job.deadline);
        let step = if has_room && self.worker.may_start(received.route.statement_timeout) {
            transaction.execute(&job, request.has_written).await
        } else {
            TransactionStep::not_sent()
        };
        let is_open = step.result.as_ref().is_ok_and(|a| a.status != TxStatus::Idle);
        let was_dropped = !self.transactions.borrow().contains_key(&number);
        if is_open && !was_dropped {
            self.hold(number, transaction);
        } else {
            self.transactions.borrow_mut().remove(&number);
            transaction.rollback();
        }
        if step.result.is_err() {
            tracing::info!(id = %received.id(), caller = %self.caller,
                service = %received.route.service, %instance,
                failure = ?step.result.as_ref().err(), "forwarded statement in a transaction");
        }
        Ok(ContinueReply::from(step))
    }

    /// Refuses a statement that the active table does not allow to run for its workspace, unless the
    /// sender's table is newer.
    fn check_caller(&self, received: &ReceivedStatement) -> Result<(), Refusal> {
        let snapshot = self.worker.snapshot();
        let Some(table) = &snapshot.table else {
            return Ok(());
        };
        let caller = received.caller.as_ref().map(|c| (&*c.workspace, c.key));
        let checked = table.check_forwarded(&received.route, caller, received.table_version);
        checked.map_err(|problem| {
            Metrics::increment(&self.worker.metrics.unknown_keys);
            if self.worker.log.should_log(true) {
                tracing::info!(id = %received.id(), caller = %self.caller,
                    database = %received.route.database, table = table.version,
                    sender_table = received.table_version, %problem,
                    "forwarded statement refused");
            }
            Refusal::from(problem)
        })
    }

    fn refuse_for_memory(&self, received: &ReceivedStatement, total_bytes: usize) {
        Metrics::increment(&self.worker.metrics.forwarded_refused);
        if self.worker.log.should_log(true) {
            tracing::info!(id = %received.id(), caller = %self.caller, bytes = received.bytes(),
                total_bytes, "not run: forwarded statements occupy too much memory");
        }
    }

    fn log(&self, received: &ReceivedStatement, execution: &Execution, took: Duration) {
        let code = match &execution.result {
            Ok(answer) => answer.code().cloned(),
            Err(code) => Some(code.clone()),
        };
        if !self.worker.log.should_log(code.is_some()) {
            return;
        }
        tracing::info!(
            id = %received.id(), caller = %self.caller, service = %received.route.service,
            instance = execution.instance.as_deref().unwrap_or("none"), mode = ?execution.mode,
            attempts = execution.attempts, failure = execution.failure.as_deref(),
            code = code.map(|c: ErrorCode| format!("{c:?}")),
            ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX),
            congestion_ms = execution.congestion_ms.map(f64::round),
            queue = execution.queue.map(|q| format!("{:?}", q.decision)),
            queue_position = execution.queue.map(|q| q.position),
            "forwarded statement"
        );
    }

    /// Rolls back transactions that exceed the idle limit: their daemon may be gone although the
    /// connection is still open.
    fn end_idle(&self) {
        let snapshot = self.worker.snapshot();
        let limit = snapshot.table.as_ref().map_or(DEFAULT_IDLE_LIMIT, |t| t.tx_idle);
        let now = Clock.now();
        let mut expired = Vec::new();
        self.transactions.borrow_mut().retain(|number, held| {
            if held.transaction.is_none() || now.since(held.used_at) < limit + IDLE_MARGIN {
                return true;
            }
            tracing::info!(caller = %self.caller, number,
                "a transaction of another daemon exceeded its idle limit and is rolled back");
            expired.extend(held.transaction.take());
            false
        });
        for transaction in expired {
            transaction.rollback();
        }
    }

    /// Rolls back all transactions after the connection has ended.
    fn close(&self) {
        self.is_closed.set(true);
        let held = std::mem::take(&mut *self.transactions.borrow_mut());
        for transaction in held.into_values().filter_map(|h| h.transaction) {
            transaction.rollback();
        }
    }
}

impl ForwardService for OwnerService {
    async fn execute(self, _: Context, request: ExecuteRequest) -> Result<ExecuteReply, Refusal> {
        Metrics::increment(&self.worker.metrics.statements_for_peers);
        let (tx, rx) = oneshot::channel();
        ntex::rt::spawn(async move {
            let _running = HeldGuard::new(&self.worker);
            // The caller may have stopped waiting; it then rolls the transaction back.
            let _ = tx.send(self.run(request).await);
        });
        rx.await.unwrap_or(Err(Refusal::Draining))
    }

    async fn continue_transaction(
        self,
        _: Context,
        request: ContinueRequest,
    ) -> Result<ContinueReply, Refusal> {
        let (tx, rx) = oneshot::channel();
        ntex::rt::spawn(async move {
            let _running = HeldGuard::new(&self.worker);
            // The caller may have stopped waiting.
            let _ = tx.send(self.run_in_transaction(request).await);
        });
        rx.await.unwrap_or(Err(Refusal::UnknownTransaction))
    }

    async fn rollback(self, _: Context, transaction: u64) {
        let held = self.transactions.borrow_mut().remove(&transaction);
        if let Some(transaction) = held.and_then(|h| h.transaction) {
            transaction.rollback();
        }
    }

    async fn ping(self, _: Context) {}

    async fn clock(self, _: Context) -> u64 {
        Clock.now().as_micros()
    }

    async fn quota(self, _: Context, request: WireQuotaRequest) -> Option<WireQuotaAnswer> {
        self.worker.answer_quota(request)
    }
}

/// Accepts connections of other daemons, and checks the connections to them, until the process
/// ends.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub(crate) fn serve(worker: &Rc<Worker>, listener: StdListener) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let accepting = Rc::clone(worker);
    ntex::rt::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, caller)) => {
                    ntex::rt::spawn(serve_connection(Rc::clone(&accepting), stream, caller));
                }
                Err(err) => {
                    tracing::warn!(error = %err, "accepting a daemon's connection failed");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
    let checking = Rc::clone(worker);
    ntex::rt::spawn(async move { checking.links.check().await });
    Ok(())
}

async fn serve_connection(worker: Rc<Worker>, stream: TcpStream, caller: SocketAddr) {
    let transport = match frame(stream, Some(&worker.frame_room)) {
        Ok(transport) => transport,
        Err(err) => {
            tracing::warn!(%caller, error = %err, "a daemon's connection cannot be used");
            return;
        }
    };
    let service =
        OwnerService { worker, caller, transactions: Rc::default(), is_closed: Rc::default() };
    let channel = BaseChannel::with_defaults(transport).max_concurrent_requests(MAX_CONCURRENT);
    let requests = channel.execute(service.clone().serve());
    tokio::pin!(requests);
    let mut sweeps = tokio::time::interval(SWEEP_INTERVAL);
    sweeps.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            request = requests.next() => match request {
                Some(request) => {
                    ntex::rt::spawn(request);
                }
                None => break,
            },
            _ = sweeps.tick() => service.end_idle(),
        }
    }
    service.close();
}
