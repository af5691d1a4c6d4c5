//! Executes statements: transaction control, execution slots and term checks.

use std::time::{Duration, Instant};

use persimmon_pg::sqlstate;

use super::{Session, SqlError, Tx, commit_error, engine_error, term_refused};
use crate::instance::engine::{self, Outcome, TEXT_OID};
use crate::instance::functions;
use crate::instance::sql::first_word;
use crate::instance::state::{Param, Statement};

impl Session {
    /// Refuses a statement if the connection is fenced to a term of which this instance is not the
    /// primary.
    pub(super) fn check_term(&mut self) -> Result<(), SqlError> {
        let mut state = self.instance.lock();
        let Some(term) = self.term else {
            return Ok(());
        };
        if state.may_commit() && state.term == term {
            return Ok(());
        }
        state.stats.term_refusals += 1;
        Err(term_refused(state.sealed_term))
    }

    pub(super) fn execute(
        &mut self,
        sql: &str,
        params: &[Param],
    ) -> Result<(Outcome, String), SqlError> {
        if let Some((name, arguments)) = functions::parse_call(sql) {
            let row = functions::run(
                &self.instance,
                &name,
                &arguments,
                &mut self.committed,
                &mut self.term,
            )
            .map_err(|(code, text)| (code.to_owned(), text))?;
            let columns = (0..row.len()).map(|i| (format!("c{i}"), TEXT_OID)).collect();
            let values = row.into_iter().map(rusqlite::types::Value::Text).collect();
            let outcome = Outcome { columns, rows: vec![values], affected: 1 };
            return Ok((outcome, "SELECT 1".to_owned()));
        }
        let word = first_word(sql);
        if self.tx == Tx::Failed && !["rollback", "abort", "commit", "end"].contains(&word.as_str())
        {
            let text = "current transaction is aborted";
            return Err((sqlstate::TRANSACTION_ABORTED.to_owned(), text.to_owned()));
        }
        self.check_term()?;
        match word.as_str() {
            "begin" | "start" => self.begin(sql),
            "commit" | "end" => self.commit(),
            "rollback" | "abort" => {
                self.rollback();
                self.tx = Tx::Idle;
                Ok((Outcome::default(), "ROLLBACK".to_owned()))
            }
            "set" => Ok((Outcome::default(), "SET".to_owned())),
            "" => Ok((Outcome::default(), String::new())),
            _ => self.execute_statement(&word, sql, params),
        }
    }

    fn begin(&mut self, sql: &str) -> Result<(Outcome, String), SqlError> {
        let is_read_only = sql.to_ascii_lowercase().contains("read only");
        let is_primary = self.instance.lock().may_commit();
        if is_primary && !is_read_only {
            self.start = engine::begin(&self.instance).map_err(commit_error)?;
        }
        let begin_sql = if is_primary && !is_read_only { "BEGIN IMMEDIATE" } else { "BEGIN" };
        self.database().and_then(|db| db.execute_batch(begin_sql)).map_err(engine_error)?;
        self.tx = Tx::Open;
        Ok((Outcome::default(), "BEGIN".to_owned()))
    }

    fn commit(&mut self) -> Result<(Outcome, String), SqlError> {
        if self.tx != Tx::Open {
            self.rollback();
            self.tx = Tx::Idle;
            return Ok((Outcome::default(), "ROLLBACK".to_owned()));
        }
        self.tx = Tx::Idle;
        self.commit_writes()?;
        Ok((Outcome::default(), "COMMIT".to_owned()))
    }

    fn commit_writes(&mut self) -> Result<(), SqlError> {
        let writes = std::mem::take(&mut self.writes);
        let Some((_, db)) = &self.db else {
            return Ok(());
        };
        let result = engine::commit(&self.instance, db, self.start, writes);
        match result {
            Ok(Some(lsn)) => self.committed = Some(lsn),
            Ok(None) => {}
            Err(err) => return Err(commit_error(err)),
        }
        Ok(())
    }

    fn execute_statement(
        &mut self,
        word: &str,
        sql: &str,
        params: &[Param],
    ) -> Result<(Outcome, String), SqlError> {
        let is_read = word == "select" || word == "values" || word == "explain";
        self.acquire_slot(is_read);
        let result = self.run_statement(is_read, sql, params);
        self.instance.lock().slots -= 1;
        self.instance.changed.notify_all();
        let outcome = result?;
        let text = match word {
            "insert" => format!("INSERT 0 {}", outcome.affected),
            "select" | "update" | "delete" => {
                format!("{} {}", word.to_ascii_uppercase(), outcome.affected)
            }
            other => other.to_ascii_uppercase(),
        };
        Ok((outcome, text))
    }

    fn acquire_slot(&mut self, is_read: bool) {
        let mut state = self.instance.lock();
        while state.slots >= self.instance.cfg.slots {
            let deadline = Instant::now() + Duration::from_secs(1);
            state = self.instance.wait(state, deadline).0;
        }
        state.slots += 1;
        let used_slots = state.slots as u64;
        let is_primary = state.is_primary;
        let stats = &mut state.stats;
        stats.max_slots = stats.max_slots.max(used_slots);
        stats.statements += 1;
        match (is_read, is_primary) {
            (true, true) => stats.primary_reads += 1,
            (true, false) => stats.replica_reads += 1,
            _ => {}
        }
    }

    fn run_statement(
        &mut self,
        is_read: bool,
        sql: &str,
        params: &[Param],
    ) -> Result<Outcome, SqlError> {
        if !self.instance.cfg.min_statement_time.is_zero() {
            std::thread::sleep(self.instance.cfg.min_statement_time);
        }
        if is_read {
            return self
                .database()
                .and_then(|db| engine::run(db, sql, params))
                .map_err(engine_error);
        }
        if !self.instance.lock().is_primary {
            let text = "cannot execute a write on a read-only instance";
            return Err((sqlstate::READ_ONLY.to_owned(), text.to_owned()));
        }
        let is_autocommit = self.tx == Tx::Idle;
        if is_autocommit {
            self.start = engine::begin(&self.instance).map_err(commit_error)?;
            let db = self.database().map_err(engine_error)?;
            db.execute_batch("BEGIN IMMEDIATE").map_err(engine_error)?;
        }
        let outcome = self.database().and_then(|db| engine::run(db, sql, params));
        if outcome.is_ok() {
            self.writes.push(Statement { sql: sql.to_owned(), params: params.to_vec() });
        }
        if is_autocommit {
            match &outcome {
                Ok(_) => self.commit_writes()?,
                Err(_) => self.rollback(),
            }
        }
        outcome.map_err(engine_error)
    }
}
