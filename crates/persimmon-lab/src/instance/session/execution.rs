//! Executes statements: transactions, slots, terms and the engine.

use std::time::{Duration, Instant};

use persimmon_pg::sqlstate;

use super::{Failure, Session, Tx, commit_failure, engine_failure, term_failure};
use crate::instance::engine::{self, Outcome, TEXT};
use crate::instance::functions;
use crate::instance::sql::first_word;
use crate::instance::state::{Param, Statement};

impl Session {
    /// Refuses a statement whose term is over, before execution.
    pub(super) fn check_term(&mut self) -> Result<(), Failure> {
        let mut state = self.instance.lock();
        let Some(term) = self.term else {
            return Ok(());
        };
        if state.may_commit() && state.term == term {
            return Ok(());
        }
        state.stats.term_refusals += 1;
        Err(term_failure(state.sealed))
    }

    pub(super) fn execute(
        &mut self,
        sql: &str,
        params: &[Param],
    ) -> Result<(Outcome, String), Failure> {
        if let Some((name, arguments)) = functions::call(sql) {
            let row = functions::run(
                &self.instance,
                &name,
                &arguments,
                &mut self.committed,
                &mut self.term,
            )
            .map_err(|(code, text)| (code.to_owned(), text))?;
            let columns = (0..row.len()).map(|i| (format!("c{i}"), TEXT)).collect();
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
            _ => self.statement(&word, sql, params),
        }
    }

    fn begin(&mut self, sql: &str) -> Result<(Outcome, String), Failure> {
        let read_only = sql.to_ascii_lowercase().contains("read only");
        let is_primary = self.instance.lock().may_commit();
        if is_primary && !read_only {
            self.begun = engine::begin(&self.instance).map_err(commit_failure)?;
        }
        let how = if is_primary && !read_only { "BEGIN IMMEDIATE" } else { "BEGIN" };
        self.database().and_then(|db| db.execute_batch(how)).map_err(engine_failure)?;
        self.tx = Tx::Open;
        Ok((Outcome::default(), "BEGIN".to_owned()))
    }

    fn commit(&mut self) -> Result<(Outcome, String), Failure> {
        if self.tx != Tx::Open {
            self.rollback();
            self.tx = Tx::Idle;
            return Ok((Outcome::default(), "ROLLBACK".to_owned()));
        }
        self.tx = Tx::Idle;
        self.commit_engine()?;
        Ok((Outcome::default(), "COMMIT".to_owned()))
    }

    fn commit_engine(&mut self) -> Result<(), Failure> {
        let writes = std::mem::take(&mut self.writes);
        let Some((_, db)) = &self.db else {
            return Ok(());
        };
        let done = engine::commit(&self.instance, db, self.begun, writes);
        match done {
            Ok(Some(lsn)) => self.committed = Some(lsn),
            Ok(None) => {}
            Err(err) => return Err(commit_failure(err)),
        }
        Ok(())
    }

    fn statement(
        &mut self,
        word: &str,
        sql: &str,
        params: &[Param],
    ) -> Result<(Outcome, String), Failure> {
        let reads = word == "select" || word == "values" || word == "explain";
        self.take_slot(reads);
        let result = self.run_statement(reads, sql, params);
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

    fn take_slot(&mut self, reads: bool) {
        let mut state = self.instance.lock();
        while state.slots >= self.instance.cfg.slots {
            let deadline = Instant::now() + Duration::from_secs(1);
            state = self.instance.wait(state, deadline).0;
        }
        state.slots += 1;
        let now = state.slots as u64;
        let is_primary = state.primary;
        let stats = &mut state.stats;
        stats.max_slots = stats.max_slots.max(now);
        stats.statements += 1;
        match (reads, is_primary) {
            (true, true) => stats.primary_reads += 1,
            (true, false) => stats.replica_reads += 1,
            _ => {}
        }
    }

    fn run_statement(
        &mut self,
        reads: bool,
        sql: &str,
        params: &[Param],
    ) -> Result<Outcome, Failure> {
        if !self.instance.cfg.statement_time.is_zero() {
            std::thread::sleep(self.instance.cfg.statement_time);
        }
        if reads {
            return self
                .database()
                .and_then(|db| engine::run(db, sql, params))
                .map_err(engine_failure);
        }
        if !self.instance.lock().primary {
            let text = "cannot execute a write on a read-only instance";
            return Err((sqlstate::READ_ONLY.to_owned(), text.to_owned()));
        }
        let alone = self.tx == Tx::Idle;
        if alone {
            self.begun = engine::begin(&self.instance).map_err(commit_failure)?;
            let db = self.database().map_err(engine_failure)?;
            db.execute_batch("BEGIN IMMEDIATE").map_err(engine_failure)?;
        }
        let outcome = self.database().and_then(|db| engine::run(db, sql, params));
        if outcome.is_ok() {
            self.writes.push(Statement { sql: sql.to_owned(), params: params.to_vec() });
        }
        if alone {
            match &outcome {
                Ok(_) => self.commit_engine()?,
                Err(_) => self.rollback(),
            }
        }
        outcome.map_err(engine_failure)
    }
}
