//! Runs SQL on the embedded engine and commits under the instance's lock.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rusqlite::functions::FunctionFlags;
use rusqlite::types::{Value, ValueRef};
use rusqlite::{Connection, params_from_iter};

use crate::instance::sql::translate;
use crate::instance::state::{Entry, Instance, Param, Statement, wall_ms};

/// The type number of 64-bit integers.
pub(crate) const INT8: u32 = 20;

/// The type number of text.
pub(crate) const TEXT: u32 = 25;

/// A column's name and type.
pub(crate) type Column = (String, u32);

/// What a statement brought.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) columns: Vec<Column>,
    pub(crate) rows: Vec<Vec<Value>>,
    pub(crate) affected: usize,
}

/// Opens the database of a generation.
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

/// Applies an entry received from the primary.
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

/// The columns of a statement.
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
        let counts = ["count(", "sum(", "max(", "min("].iter().any(|f| lower.starts_with(f));
        let is_int = declared.contains("int") || declared.is_empty() && counts;
        columns.push((name, if is_int { INT8 } else { TEXT }));
    }
    columns
}

/// Runs one statement.
pub(crate) fn run(db: &Connection, sql: &str, params: &[Param]) -> rusqlite::Result<Outcome> {
    let mut statement = db.prepare_cached(&translate(sql).0)?;
    let columns = columns(&statement);
    let values = params_from_iter(params.iter().map(to_value));
    if columns.is_empty() {
        let affected = statement.execute(values)?;
        return Ok(Outcome { affected, ..Outcome::default() });
    }
    let width = columns.len();
    let mut found = statement.query(values)?;
    let mut rows = Vec::new();
    while let Some(row) = found.next()? {
        let mut values = Vec::with_capacity(width);
        for index in 0..width {
            values.push(Value::from(row.get_ref(index)?));
        }
        rows.push(values);
    }
    let affected = rows.len();
    Ok(Outcome { columns, rows, affected })
}

/// A value as the protocol sends it.
pub(crate) fn encode(value: &Value, type_id: u32, binary: bool) -> Option<Vec<u8>> {
    match (ValueRef::from(value), type_id) {
        (ValueRef::Null, _) => None,
        (ValueRef::Integer(n), INT8) if binary => Some(n.to_be_bytes().to_vec()),
        (ValueRef::Integer(n), _) => Some(n.to_string().into_bytes()),
        (ValueRef::Real(n), _) => Some(n.to_string().into_bytes()),
        (ValueRef::Text(bytes) | ValueRef::Blob(bytes), _) => Some(bytes.to_vec()),
    }
}

/// Why a commit was refused.
pub(crate) enum CommitError {
    /// The term has ended.
    Term(u64),
    /// The engine failed.
    Engine(rusqlite::Error),
}

/// The term and generation in which a transaction began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Begun {
    pub(crate) term: u64,
    pub(crate) generation: u64,
}

/// Waits until everything inherited is applied, which must precede the first write of a term.
///
/// A writer that waited inside its transaction would hold the lock that the applier needs.
pub(crate) fn begin(instance: &Arc<Instance>) -> Result<Begun, CommitError> {
    let deadline = Instant::now() + Duration::from_secs(5);
    let mut state = instance.lock();
    loop {
        if !state.may_commit() {
            return Err(CommitError::Term(state.sealed));
        }
        if state.applied >= state.end() {
            return Ok(Begun { term: state.term, generation: state.generation });
        }
        let (next, has_time) = instance.wait(state, deadline);
        state = next;
        if !has_time {
            return Err(CommitError::Term(state.sealed));
        }
    }
}

/// Commits the engine's open transaction and appends its writes to the log as one act.
pub(crate) fn commit(
    instance: &Arc<Instance>,
    db: &Connection,
    begun: Begun,
    writes: Vec<Statement>,
) -> Result<Option<u64>, CommitError> {
    let mut state = instance.lock();
    if writes.is_empty() {
        db.execute_batch("COMMIT").map_err(CommitError::Engine)?;
        return Ok(None);
    }
    let is_current =
        state.may_commit() && state.term == begun.term && state.generation == begun.generation;
    if !is_current || state.applied < state.end() {
        let sealed = state.sealed;
        drop(state);
        // The engine rolls back by itself if this fails, when the connection is dropped.
        let _ = db.execute_batch("ROLLBACK");
        return Err(CommitError::Term(sealed));
    }
    db.execute_batch("COMMIT").map_err(CommitError::Engine)?;
    let term = state.term;
    state.append(Entry { term, at_ms: wall_ms(), writes });
    state.applied = state.end();
    state.fresh_ms = wall_ms();
    instance.changed.notify_all();
    Ok(Some(state.end()))
}
