//! One batch of messages from a client: a simple query, or an extended batch up to its `Sync`.

use std::rc::Rc;

use ntex::util::Bytes;
use persimmon_pg::{FrameError, FrontendMessage, rename_statement};
use persimmon_request::{Hint, HintError, StatementClass, classify};

use crate::backend::BackendConnection;
use crate::traffic::statement::{Statement, Statements, backend_name};

/// One message of an extended batch, with the prepared statement that it refers to.
#[derive(Debug)]
pub(crate) enum Op {
    /// Prepares a statement.
    Parse(Rc<Statement>),
    /// Binds a statement to a portal.
    Bind(Rc<Statement>, Bytes),
    /// Describes a statement.
    Describe(Rc<Statement>, Bytes),
    /// Closes the client's statement; the instance keeps the one that it has prepared.
    CloseStatement,
    /// A message that names no statement, and whether it executes a portal.
    Other(Bytes, bool),
}

/// The messages of a batch.
#[derive(Debug)]
pub(crate) enum Body {
    /// A simple query.
    Simple(Bytes),
    /// Messages that end with a `Sync`.
    Extended(Vec<Op>),
}

/// A batch with its statement class and hint.
#[derive(Debug)]
pub(crate) struct Batch {
    pub(crate) body: Body,
    pub(crate) class: StatementClass,
    pub(crate) hint: Hint,
    /// The text of the statement that determined the class.
    pub(crate) sql: String,
}

/// Why a batch cannot be served.
#[derive(Debug)]
pub(crate) enum BatchError {
    /// The client violated the protocol.
    Frame(FrameError),
    /// The hint of a statement cannot be parsed.
    Hint(HintError),
    /// A named statement does not exist.
    UnknownStatement(String),
    /// A message or statement of this type is not supported.
    Unsupported(&'static str),
}

impl From<FrameError> for BatchError {
    fn from(err: FrameError) -> Self {
        Self::Frame(err)
    }
}

impl From<HintError> for BatchError {
    fn from(err: HintError) -> Self {
        Self::Hint(err)
    }
}

/// Collects the messages of a batch.
#[derive(Debug, Default)]
pub(crate) struct BatchCollector {
    ops: Vec<Op>,
    class: Option<StatementClass>,
    hint: Hint,
    sql: String,
    error: Option<BatchError>,
}

impl BatchCollector {
    /// Whether nothing has been collected.
    pub(crate) fn is_empty(&self) -> bool {
        self.ops.is_empty() && self.error.is_none()
    }

    /// Adds one message; returns the batch once it is complete.
    ///
    /// An error inside an extended batch is reported at its `Sync`, as the protocol requires.
    pub(crate) fn push(
        &mut self,
        statements: &mut Statements,
        frame: Bytes,
    ) -> Result<Option<Batch>, BatchError> {
        match FrontendMessage::parse(&frame)? {
            FrontendMessage::Query(sql) => {
                let class = classify(sql);
                let hint = Hint::parse(sql)?;
                let sql = sql.to_owned();
                Ok(Some(Batch { body: Body::Simple(frame), class, hint, sql }))
            }
            FrontendMessage::Sync => self.finish().map(Some),
            message => {
                if self.error.is_none()
                    && let Err(err) = self.collect(statements, message, &frame)
                {
                    self.error = Some(err);
                }
                Ok(None)
            }
        }
    }

    fn finish(&mut self) -> Result<Batch, BatchError> {
        let collected = std::mem::take(self);
        if let Some(error) = collected.error {
            return Err(error);
        }
        Ok(Batch {
            body: Body::Extended(collected.ops),
            class: collected.class.unwrap_or(StatementClass::Empty),
            hint: collected.hint,
            sql: collected.sql,
        })
    }

    fn collect(
        &mut self,
        statements: &mut Statements,
        message: FrontendMessage<'_>,
        frame: &Bytes,
    ) -> Result<(), BatchError> {
        let find = |statements: &Statements, name: &str| {
            statements.get(name).ok_or_else(|| BatchError::UnknownStatement(name.to_owned()))
        };
        match message {
            FrontendMessage::Parse { name, sql } => {
                let statement = statements.insert(name, sql, frame)?;
                self.merge_statement(&statement)?;
                self.ops.push(Op::Parse(statement));
            }
            FrontendMessage::Bind { statement, .. } => {
                let statement = find(statements, statement)?;
                self.merge_statement(&statement)?;
                let frame = rename_statement(frame, &backend_name(statement.hash))?;
                self.ops.push(Op::Bind(statement, Bytes::from(frame)));
            }
            FrontendMessage::DescribeStatement(name) => {
                let statement = find(statements, name)?;
                self.merge_statement(&statement)?;
                let frame = rename_statement(frame, &backend_name(statement.hash))?;
                self.ops.push(Op::Describe(statement, Bytes::from(frame)));
            }
            FrontendMessage::CloseStatement(name) => {
                statements.close(name);
                self.ops.push(Op::CloseStatement);
            }
            FrontendMessage::Execute => self.ops.push(Op::Other(frame.clone(), true)),
            FrontendMessage::DescribePortal(_) | FrontendMessage::ClosePortal(_) => {
                self.ops.push(Op::Other(frame.clone(), false));
            }
            FrontendMessage::Flush => return Err(BatchError::Unsupported("Flush")),
            FrontendMessage::Copy => return Err(BatchError::Unsupported("COPY")),
            FrontendMessage::FunctionCall => return Err(BatchError::Unsupported("function call")),
            _ => return Err(BatchError::Frame(FrameError::Body)),
        }
        Ok(())
    }

    /// Merges the class of a statement into that of the batch; a class that may write takes
    /// precedence, and two different classes that may write make the batch a write.
    fn merge_statement(&mut self, statement: &Statement) -> Result<(), BatchError> {
        let hint = statement.hint.clone()?;
        let precedence = |class: StatementClass| match class {
            StatementClass::Empty => 0,
            StatementClass::Setting => 1,
            StatementClass::Read => 2,
            _ => 3,
        };
        let takes_precedence =
            self.class.is_none_or(|c| precedence(statement.class) > precedence(c));
        let differs = self.class.is_some_and(|c| c != statement.class && precedence(c) == 3);
        if takes_precedence {
            self.class = Some(statement.class);
            self.sql = statement.sql.clone();
            self.hint = hint;
        } else if differs && precedence(statement.class) == 3 {
            self.class = Some(StatementClass::Write);
        }
        Ok(())
    }
}

/// The response that is expected for one message that was sent to an instance, or that the
/// daemon answers itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExpectedResponse {
    /// A response to forward to the client, which ends with one of the tags of [`ResponseEnd`].
    Forward(ResponseEnd),
    /// The response to a `Parse` of the client, after which the connection has the statement.
    Parsed(u64),
    /// The response to a `Parse` that the client did not send; it is discarded.
    Discard(u64),
    /// A response that the daemon makes up for the client; the instance receives no message.
    Synthesize(u8),
}

/// Which message tags end a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseEnd {
    /// `BindComplete` or `CloseComplete`.
    Complete,
    /// `RowDescription` or `NoData`.
    Described,
    /// `CommandComplete`, `EmptyQueryResponse` or `PortalSuspended`.
    Executed,
}

impl ResponseEnd {
    /// Whether a tag ends the response.
    pub(crate) fn is_reached_by(self, tag: u8) -> bool {
        match self {
            Self::Complete => tag == b'2' || tag == b'3',
            Self::Described => tag == b'T' || tag == b'n',
            Self::Executed => matches!(tag, b'C' | b'I' | b's'),
        }
    }
}

/// Encodes an extended batch for a connection that may already have some of its statements
/// prepared; returns the responses to expect.
pub(crate) fn encode_extended(
    ops: &[Op],
    backend: &BackendConnection,
    out: &mut Vec<u8>,
) -> Vec<ExpectedResponse> {
    let mut expected = Vec::with_capacity(ops.len());
    let mut newly_prepared: Vec<u64> = Vec::new();
    for op in ops {
        match op {
            Op::Parse(statement) => {
                let hash = statement.hash;
                if backend.prepared.contains(&hash) || newly_prepared.contains(&hash) {
                    expected.push(ExpectedResponse::Synthesize(b'1'));
                    continue;
                }
                newly_prepared.push(hash);
                out.extend_from_slice(&statement.parse);
                expected.push(ExpectedResponse::Parsed(hash));
            }
            Op::Bind(statement, frame) | Op::Describe(statement, frame) => {
                let hash = statement.hash;
                if !backend.prepared.contains(&hash) && !newly_prepared.contains(&hash) {
                    newly_prepared.push(hash);
                    out.extend_from_slice(&statement.parse);
                    expected.push(ExpectedResponse::Discard(hash));
                }
                out.extend_from_slice(frame);
                let end =
                    if frame[0] == b'B' { ResponseEnd::Complete } else { ResponseEnd::Described };
                expected.push(ExpectedResponse::Forward(end));
            }
            Op::CloseStatement => expected.push(ExpectedResponse::Synthesize(b'3')),
            Op::Other(frame, executes) => {
                out.extend_from_slice(frame);
                let end = match (executes, frame[0]) {
                    (true, _) => ResponseEnd::Executed,
                    (false, b'D') => ResponseEnd::Described,
                    _ => ResponseEnd::Complete,
                };
                expected.push(ExpectedResponse::Forward(end));
            }
        }
    }
    out.extend_from_slice(&persimmon_pg::sync());
    expected
}
