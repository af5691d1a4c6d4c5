//! Runs SQL on the embedded engine and commits while holding the instance's lock.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rusqlite::functions::FunctionFlags;
use rusqlite::types::{Value, ValueRef};
use rusqlite::{Connection, params_from_iter};

use crate::instance::sql::translate;
use crate::instance::state::{Entry, Instance, Param, Statement, wall_ms};

/// The type OID of 64-bit integers.
pub(crate) const INT8_OID: u32 = 20;

/// The type OID of text.
pub(crate) const TEXT_OID: u32 = 25;

/// A column's name and type.
pub(crate) type Column = (String, u32);

/// The result of a statement.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) columns: Vec<Column>,
    pub(crate) rows: Vec<Vec<Value>>,
    pub(crate) affected: usize,
}

/// Opens the embedded database of a generation.
pub(crate) fn open(instance: &Instance, generation: u64) -> rusqlite::Result<Connection> {
    let db = Connection::open(instance.database(generation))?;
    db.pragma_update(None, "journal_mode", "WAL")?;
    db.pragma_update(None, "synchronous", "OFF")?;
    db.busy_timeout(Duration::from_secs(5))?;
    db.create_scalar_function("pg_sleep", 1, FunctionFlags::SQLITE_UTF8, |cx| {
        let seconds: f64 = cx.get(0)?;
        std::thread::sleep(Duration::from_secs_f64(seconds.clamp(0.0, 60.0)));
        Ok(String::new())
    })?;
    db.create_scalar_function("now", 0, FunctionFlags::SQLITE_UTF8, |_| Ok(wall_ms().to_string()))?;
    Ok(db)
}

/// Applies an entry of the log in one transaction.
pub(crate) fn apply(db: &mut Connection, entry: &Entry) -> rusqlite::Result<()> {
    let tx = db.transaction()?;
    for write in &entry.writes {
        run(&tx, &write.sql, &write.params)?;
    }
    tx.commit()
}

fn to_value(param: &Param) -> Value {
    match param {
        Param::Null => Value::Null,
        Param::Int(n) => Value::Integer(*n),
        Param::Text(text) => Value::Text(text.clone()),
    }
}

/// Returns the number of parameters and the result columns of a statement.
pub(crate) fn describe(db: &Connection, sql: &str) -> rusqlite::Result<(usize, Vec<Column>)> {
    let statement = db.prepare(&translate(sql).0)?;
    Ok((statement.parameter_count(), columns(&statement)))
}

fn columns(statement: &rusqlite::Statement<'_>) -> Vec<Column> {
    let mut columns = Vec::new();
    for column in statement.columns() {
        let declared = column.decl_type().unwrap_or_default().to_ascii_lowercase();
        let name = column.name().to_owned();
        let lower = name.to_ascii_lowercase();
        let is_aggregate = ["count(", "sum(", "max(", "min("].iter().any(|f| lower.starts_with(f));
        let is_int = declared.contains("int") || declared.is_empty() && is_aggregate;
        columns.push((name, if is_int { INT8_OID } else { TEXT_OID }));
    }
    columns
}

/// Runs one statement and collects its rows.
pub(crate) fn run(db: &Connection, sql: &str, params: &[Param]) -> rusqlite::Result<Outcome> {
    let mut statement = db.prepare_cached(&translate(sql).0)?;
    let columns = columns(&statement);
    let values = params_from_iter(params.iter().map(to_value));
    if columns.is_empty() {
        let affected = statement.execute(values)?;
        return Ok(Outcome { affected, ..Outcome::default() });
    }
    let width = columns.len();
    let mut cursor = statement.query(values)?;
    let mut rows = Vec::new();
    while let Some(row) = cursor.next()? {
        let mut values = Vec::with_capacity(width);
        for index in 0..width {
            values.push(Value::from(row.get_ref(index)?));
        }
        rows.push(values);
    }
    let affected = rows.len();
    Ok(Outcome { columns, rows, affected })
}

/// Encodes a value in the text or binary format of the protocol; `None` is SQL null.
pub(crate) fn encode(value: &Value, type_id: u32, binary: bool) -> Option<Vec<u8>> {
    match (ValueRef::from(value), type_id) {
        (ValueRef::Null, _) => None,
        (ValueRef::Integer(n), INT8_OID) if binary => Some(n.to_be_bytes().to_vec()),
        (ValueRef::Integer(n), _) => Some(n.to_string().into_bytes()),
        (ValueRef::Real(n), _) => Some(n.to_string().into_bytes()),
        (ValueRef::Text(bytes) | ValueRef::Blob(bytes), _) => Some(bytes.to_vec()),
    }
}

/// Why a transaction could not begin or commit.
pub(crate) enum CommitError {
    /// This instance is not, or no longer, the primary of the term; holds the sealed term.
    Term(u64),
    /// The engine returned an error.
    Engine(rusqlite::Error),
}

/// The term and database generation in which a transaction began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TransactionStart {
    pub(crate) term: u64,
    pub(crate) generation: u64,
}

/// Begins a write: waits until the whole inherited log is applied, which must precede the first
/// write of a term.
///
/// A writer that waited inside its transaction would hold the engine's lock, which the applier
/// needs.
pub(crate) fn begin(instance: &Arc<Instance>) -> Result<TransactionStart, CommitError> {
    let deadline = Instant::now() + Duration::from_secs(5);
    let mut state = instance.lock();
    loop {
        if !state.may_commit() {
            return Err(CommitError::Term(state.sealed_term));
        }
        if state.applied >= state.log_end() {
            return Ok(TransactionStart { term: state.term, generation: state.generation });
        }
        let (next, has_time) = instance.wait(state, deadline);
        state = next;
        if !has_time {
            return Err(CommitError::Term(state.sealed_term));
        }
    }
}

/// Commits the engine's open transaction and appends its writes to the log, atomically under the
/// instance's lock.
///
/// Returns the log position of the new entry, or `None` if there were no writes.
pub(crate) fn commit(
    instance: &Arc<Instance>,
    db: &Connection,
    start: TransactionStart,
    writes: Vec<Statement>,
) -> Result<Option<u64>, CommitError> {
    let mut state = instance.lock();
    if writes.is_empty() {
        db.execute_batch("COMMIT").map_err(CommitError::Engine)?;
        return Ok(None);
    }
    let is_current =
        state.may_commit() && state.term == start.term && state.generation == start.generation;
    if !is_current || state.applied < state.log_end() {
        let sealed_term = state.sealed_term;
        drop(state);
        // If this fails, the engine rolls back when the connection is dropped.
        let _ = db.execute_batch("ROLLBACK");
        return Err(CommitError::Term(sealed_term));
    }
    db.execute_batch("COMMIT").map_err(CommitError::Engine)?;
    let term = state.term;
    state.append(Entry { term, at_ms: wall_ms(), writes });
    state.applied = state.log_end();
    state.fresh_as_of_ms = wall_ms();
    instance.changed.notify_all();
    Ok(Some(state.log_end()))
}
