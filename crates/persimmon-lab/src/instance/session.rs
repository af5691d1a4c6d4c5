//! Serves one connection to a fake instance.

mod execution;

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use persimmon_pg::{
    FrontendMessage, StartupPacket, authentication_ok, backend_key_data, command_complete,
    data_row, empty_message, error_response, frame_length, no_data, parameter_description,
    parameter_status, parse_startup_packet, ready_for_query, row_description, sqlstate,
    startup_length,
};
use rusqlite::Connection;

use crate::instance::engine::{self, CommitError, Outcome, TEXT_OID, TransactionStart};
use crate::instance::functions;
use crate::instance::sql::{first_word, split, translate};
use crate::instance::state::{Instance, Param, Statement};

/// How often an idle transaction checks whether its term has ended.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// An error for the client: SQLSTATE and message.
type SqlError = (String, String);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tx {
    Idle,
    Open,
    Failed,
}

#[derive(Clone, Debug, Default)]
struct Prepared {
    sql: String,
    types: Vec<u32>,
}

#[derive(Clone, Debug, Default)]
struct Portal {
    sql: String,
    params: Vec<Param>,
    binary: bool,
}

struct Session {
    instance: Arc<Instance>,
    stream: TcpStream,
    buf: Vec<u8>,
    out: BytesMut,
    db: Option<(u64, Connection)>,
    term: Option<u64>,
    tx: Tx,
    start: TransactionStart,
    writes: Vec<Statement>,
    committed: Option<u64>,
    prepared: HashMap<String, Prepared>,
    portals: HashMap<String, Portal>,
    is_skipping_to_sync: bool,
    pid: i32,
}

/// Serves a connection until it closes.
pub(crate) fn serve(instance: &Arc<Instance>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(IDLE_CHECK_INTERVAL));
    std::thread::sleep(instance.cfg.connect_delay);
    let pid = {
        let mut state = instance.lock();
        state.connections += 1;
        let open_connections = state.connections as u64;
        state.stats.max_connections = state.stats.max_connections.max(open_connections);
        stream.peer_addr().map_or(0, |a| i32::from(a.port()))
    };
    let mut session = Session {
        instance: Arc::clone(instance),
        stream,
        buf: Vec::new(),
        out: BytesMut::new(),
        db: None,
        term: None,
        tx: Tx::Idle,
        start: TransactionStart::default(),
        writes: Vec::new(),
        committed: None,
        prepared: HashMap::new(),
        portals: HashMap::new(),
        is_skipping_to_sync: false,
        pid,
    };
    // An I/O error ends the session; there is no client left to report it to.
    let _ = session.run();
    instance.lock().connections -= 1;
}

impl Session {
    fn run(&mut self) -> io::Result<()> {
        if !self.start_session()? {
            return self.stream.write_all(&std::mem::take(&mut self.out));
        }
        self.flush()?;
        loop {
            let frame = self.read_frame()?;
            match FrontendMessage::parse(&frame) {
                Ok(FrontendMessage::Terminate) => return Ok(()),
                Ok(message) => self.handle(message, &frame)?,
                Err(err) => {
                    self.push_error(sqlstate::PROTOCOL_VIOLATION, &err.to_string());
                    self.flush()?;
                    return Ok(());
                }
            }
        }
    }

    fn start_session(&mut self) -> io::Result<bool> {
        loop {
            let packet = self.read_startup_packet()?;
            match parse_startup_packet(&packet).map_err(io::Error::other)? {
                StartupPacket::EncryptionRequest => self.stream.write_all(b"N")?,
                StartupPacket::CancelRequest { pid, .. } => {
                    self.instance.lock().cancelled.push(pid);
                    return Ok(false);
                }
                StartupPacket::Startup { parameters, .. } => {
                    let max_connections = self.instance.cfg.max_connections;
                    let mut state = self.instance.lock();
                    if state.connections > max_connections {
                        state.stats.refused_connections += 1;
                        drop(state);
                        self.push_error(sqlstate::TOO_MANY_CONNECTIONS, "too many connections");
                        return Ok(false);
                    }
                    let term = parameters.get("persimmon.term").and_then(|t| t.parse().ok());
                    let is_active_term = state.may_commit() && Some(state.term) == term;
                    if term.is_some() && !is_active_term {
                        state.stats.term_refusals += 1;
                        let sealed_term = state.sealed_term;
                        drop(state);
                        self.push_error(sqlstate::TERM_REFUSED, &format!("term {sealed_term}"));
                        return Ok(false);
                    }
                    drop(state);
                    self.term = term;
                    break;
                }
            }
        }
        self.out.extend_from_slice(&authentication_ok());
        let incarnation = self.instance.incarnation.to_string();
        for (name, value) in [
            ("server_version", "16.0 (persimmon stand-in)"),
            ("client_encoding", "UTF8"),
            ("persimmon.incarnation", incarnation.as_str()),
        ] {
            self.out.extend_from_slice(&parameter_status(name, value));
        }
        self.out.extend_from_slice(&backend_key_data(self.pid, 0));
        self.out.extend_from_slice(&ready_for_query(b'I'));
        Ok(true)
    }

    fn read_more(&mut self) -> io::Result<()> {
        let mut chunk = [0_u8; 16 << 10];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(read) => {
                    self.buf.extend_from_slice(&chunk[..read]);
                    return Ok(());
                }
                Err(err)
                    if matches!(
                        err.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) =>
                {
                    self.end_stale_transaction();
                }
                Err(err) => return Err(err),
            }
        }
    }

    /// Rolls back an idle transaction of an ended term, which would otherwise keep the engine's
    /// lock.
    fn end_stale_transaction(&mut self) {
        if self.tx != Tx::Open || self.writes.is_empty() && self.term.is_none() {
            return;
        }
        let state = self.instance.lock();
        let has_term_ended = state.term != self.start.term || !state.may_commit();
        drop(state);
        if has_term_ended && self.start.term != 0 {
            self.rollback();
            self.tx = Tx::Failed;
        }
    }

    fn read_startup_packet(&mut self) -> io::Result<Vec<u8>> {
        loop {
            if let Some(length) = startup_length(&self.buf).map_err(io::Error::other)? {
                return Ok(self.buf.drain(..length).collect());
            }
            self.read_more()?;
        }
    }

    fn read_frame(&mut self) -> io::Result<Vec<u8>> {
        loop {
            if let Some(length) = frame_length(&self.buf).map_err(io::Error::other)? {
                return Ok(self.buf.drain(..length).collect());
            }
            self.flush()?;
            self.read_more()?;
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.out.is_empty() {
            return Ok(());
        }
        self.stream.write_all(&std::mem::take(&mut self.out))
    }

    fn push_error(&mut self, code: &str, message: &str) {
        self.out.extend_from_slice(&error_response("ERROR", code, message, ""));
    }

    fn push_ready(&mut self) {
        let status = match self.tx {
            Tx::Idle => b'I',
            Tx::Open => b'T',
            Tx::Failed => b'E',
        };
        self.out.extend_from_slice(&ready_for_query(status));
    }

    fn handle(&mut self, message: FrontendMessage<'_>, frame: &[u8]) -> io::Result<()> {
        if let FrontendMessage::Query(sql) = message {
            self.simple_query(sql);
            self.push_ready();
            return self.flush();
        }
        if message == FrontendMessage::Sync {
            self.is_skipping_to_sync = false;
            self.push_ready();
            return Ok(());
        }
        if self.is_skipping_to_sync {
            return Ok(());
        }
        if let Err((code, text)) = self.extended_query(message, frame) {
            self.push_error(&code, &text);
            self.fail_transaction();
            self.is_skipping_to_sync = true;
        }
        Ok(())
    }

    fn fail_transaction(&mut self) {
        if self.tx == Tx::Open {
            self.rollback();
            self.tx = Tx::Failed;
        }
    }

    fn rollback(&mut self) {
        if let Some((_, db)) = &self.db
            && !db.is_autocommit()
        {
            let _ = db.execute_batch("ROLLBACK");
        }
        self.writes.clear();
    }

    fn simple_query(&mut self, sql: &str) {
        let parts = split(sql);
        if parts.is_empty() {
            self.out.extend_from_slice(&empty_message(b'I'));
            return;
        }
        for part in parts {
            match self.execute(part, &[]) {
                Ok((outcome, text)) => {
                    if !outcome.columns.is_empty() {
                        let columns = outcome.columns.iter().map(|(n, t)| (n.clone(), *t, false));
                        let columns: Vec<_> = columns.collect();
                        self.out.extend_from_slice(&row_description(&columns));
                    }
                    self.push_rows(&outcome, false);
                    self.out.extend_from_slice(&command_complete(&text));
                }
                Err((code, text)) => {
                    self.push_error(&code, &text);
                    self.fail_transaction();
                    return;
                }
            }
        }
    }

    fn push_rows(&mut self, outcome: &Outcome, binary: bool) {
        for row in &outcome.rows {
            let values = row.iter().zip(&outcome.columns);
            let values: Vec<_> = values.map(|(v, (_, t))| engine::encode(v, *t, binary)).collect();
            self.out.extend_from_slice(&data_row(&values));
        }
    }

    fn extended_query(
        &mut self,
        message: FrontendMessage<'_>,
        frame: &[u8],
    ) -> Result<(), SqlError> {
        match message {
            FrontendMessage::Parse { name, sql } => {
                let prepared = self.prepare(sql)?;
                self.prepared.insert(name.to_owned(), prepared);
                self.out.extend_from_slice(&empty_message(b'1'));
            }
            FrontendMessage::Bind { portal, statement } => {
                let prepared = self.prepared.get(statement).cloned();
                let prepared = prepared.ok_or_else(|| unknown_name(statement))?;
                let bound = bind(&prepared, frame).ok_or_else(|| malformed_message("Bind"))?;
                self.portals.insert(portal.to_owned(), bound);
                self.out.extend_from_slice(&empty_message(b'2'));
            }
            FrontendMessage::DescribeStatement(name) => {
                let prepared =
                    self.prepared.get(name).cloned().ok_or_else(|| unknown_name(name))?;
                self.out.extend_from_slice(&parameter_description(&prepared.types));
                self.describe(&prepared.sql, false)?;
            }
            FrontendMessage::DescribePortal(name) => {
                let portal = self.portals.get(name).cloned().ok_or_else(|| unknown_name(name))?;
                self.describe(&portal.sql, portal.binary)?;
            }
            FrontendMessage::Execute => {
                let name = frame[5..].split(|b| *b == 0).next().unwrap_or_default();
                let name = String::from_utf8_lossy(name).into_owned();
                let portal = self.portals.get(&name).cloned().ok_or_else(|| unknown_name(&name))?;
                let (outcome, text) = self.execute(&portal.sql, &portal.params)?;
                self.push_rows(&outcome, portal.binary);
                self.out.extend_from_slice(&command_complete(&text));
            }
            FrontendMessage::CloseStatement(name) => {
                self.prepared.remove(name);
                self.out.extend_from_slice(&empty_message(b'3'));
            }
            FrontendMessage::ClosePortal(name) => {
                self.portals.remove(name);
                self.out.extend_from_slice(&empty_message(b'3'));
            }
            FrontendMessage::Flush => {}
            other => return Err(malformed_message(&format!("{other:?}"))),
        }
        Ok(())
    }

    fn is_engine_statement(sql: &str) -> bool {
        let word = first_word(sql);
        let control = ["begin", "start", "commit", "end", "rollback", "abort", "set"];
        functions::parse_call(sql).is_none()
            && !control.contains(&word.as_str())
            && !word.is_empty()
    }

    fn prepare(&mut self, sql: &str) -> Result<Prepared, SqlError> {
        if !Self::is_engine_statement(sql) {
            return Ok(Prepared { sql: sql.to_owned(), types: Vec::new() });
        }
        let db = self.database().map_err(engine_error)?;
        let (count, _) = engine::describe(db, sql).map_err(engine_error)?;
        let mut types = vec![TEXT_OID; count];
        for (number, cast) in translate(sql).1 {
            if cast.starts_with("int") || cast == "bigint" {
                types[number - 1] = engine::INT8_OID;
            }
        }
        Ok(Prepared { sql: sql.to_owned(), types })
    }

    fn describe(&mut self, sql: &str, binary: bool) -> Result<(), SqlError> {
        if !Self::is_engine_statement(sql) {
            self.out.extend_from_slice(&no_data());
            return Ok(());
        }
        let db = self.database().map_err(engine_error)?;
        let (_, columns) = engine::describe(db, sql).map_err(engine_error)?;
        if columns.is_empty() {
            self.out.extend_from_slice(&no_data());
            return Ok(());
        }
        let columns: Vec<_> = columns.into_iter().map(|(n, t)| (n, t, binary)).collect();
        self.out.extend_from_slice(&row_description(&columns));
        Ok(())
    }

    fn database(&mut self) -> rusqlite::Result<&Connection> {
        let generation = self.instance.lock().generation;
        if self.db.as_ref().is_none_or(|(g, _)| *g != generation) {
            self.db = Some((generation, engine::open(&self.instance, generation)?));
        }
        match &self.db {
            Some((_, db)) => Ok(db),
            None => Err(rusqlite::Error::InvalidQuery),
        }
    }
}

fn unknown_name(name: &str) -> SqlError {
    (sqlstate::UNKNOWN_STATEMENT.to_owned(), format!("`{name}` does not exist"))
}

fn malformed_message(what: &str) -> SqlError {
    (sqlstate::PROTOCOL_VIOLATION.to_owned(), format!("malformed {what}"))
}

fn term_refused(sealed_term: u64) -> SqlError {
    (sqlstate::TERM_REFUSED.to_owned(), format!("term {sealed_term}"))
}

fn commit_error(err: CommitError) -> SqlError {
    match err {
        CommitError::Term(sealed_term) => term_refused(sealed_term),
        CommitError::Engine(err) => engine_error(err),
    }
}

fn engine_error(err: rusqlite::Error) -> SqlError {
    let code = match err.sqlite_error_code() {
        Some(rusqlite::ErrorCode::ConstraintViolation) => "23505",
        Some(rusqlite::ErrorCode::DatabaseBusy) => "40001",
        _ => "42601",
    };
    (code.to_owned(), err.to_string())
}

/// Reads a big-endian number of `bytes` bytes and advances `rest` past it.
fn read_int(rest: &mut &[u8], bytes: usize) -> Option<i64> {
    let (head, tail) = rest.split_at_checked(bytes)?;
    *rest = tail;
    Some(head.iter().fold(0_i64, |n, b| n << 8 | i64::from(*b)))
}

/// Parses a `Bind` message into a portal.
fn bind(prepared: &Prepared, frame: &[u8]) -> Option<Portal> {
    let mut rest = frame.get(5..)?;
    for _ in 0..2 {
        let end = rest.iter().position(|b| *b == 0)?;
        rest = &rest[end + 1..];
    }
    let formats = read_int(&mut rest, 2)?;
    let mut binary = Vec::new();
    for _ in 0..formats {
        binary.push(read_int(&mut rest, 2)? == 1);
    }
    let count = read_int(&mut rest, 2)?;
    let mut params = Vec::new();
    for index in 0..usize::try_from(count).ok()? {
        let length = read_int(&mut rest, 4)?;
        if length == 0xffff_ffff {
            params.push(Param::Null);
            continue;
        }
        let (head, tail) = rest.split_at_checked(usize::try_from(length).ok()?)?;
        rest = tail;
        let is_binary = binary.get(index).or(binary.first()).copied().unwrap_or(false);
        let is_int = prepared.types.get(index) == Some(&engine::INT8_OID);
        params.push(match (is_int, is_binary) {
            (true, true) => Param::Int(head.iter().fold(0, |n, b| n << 8 | i64::from(*b))),
            (true, false) => Param::Int(std::str::from_utf8(head).ok()?.trim().parse().ok()?),
            _ => Param::Text(String::from_utf8_lossy(head).into_owned()),
        });
    }
    let results = read_int(&mut rest, 2)?;
    let is_binary = results > 0 && read_int(&mut rest, 2)? == 1;
    Some(Portal { sql: prepared.sql.clone(), params, binary: is_binary })
}
