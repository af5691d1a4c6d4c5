//! One group of messages from a caller: a simple query, or everything up to a `Sync`.

use std::rc::Rc;

use ntex::util::Bytes;
use persimmon_pg::{FrameError, Message, rename};
use persimmon_request::{Class, Hint, HintError, classify};

use crate::backend::Backend;
use crate::traffic::statement::{Statement, Statements, name};

/// One message of an extended batch, with what it refers to.
#[derive(Debug)]
pub(crate) enum Op {
    /// Prepare a statement.
    Parse(Rc<Statement>),
    /// Make a portal of a statement.
    Bind(Rc<Statement>, Bytes),
    /// Describe a statement.
    Describe(Rc<Statement>, Bytes),
    /// Forget a statement, which the instance keeps.
    CloseStatement,
    /// Anything that names no statement, with whether it runs one.
    Other(Bytes, bool),
}

/// What a batch consists of.
#[derive(Debug)]
pub(crate) enum Body {
    /// A simple query.
    Simple(Bytes),
    /// Messages that end with a `Sync`.
    Extended(Vec<Op>),
}

/// A batch, classified.
#[derive(Debug)]
pub(crate) struct Batch {
    pub(crate) body: Body,
    pub(crate) class: Class,
    pub(crate) hint: Hint,
    /// The text of the statement that decided the class.
    pub(crate) sql: String,
}

/// Why a batch cannot be carried.
#[derive(Debug)]
pub(crate) enum BatchError {
    /// The caller broke the protocol.
    Frame(FrameError),
    /// A statement's hint is not understood.
    Hint(HintError),
    /// A named statement does not exist.
    UnknownStatement(String),
    /// A message is not carried.
    NotCarried(&'static str),
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
pub(crate) struct Collector {
    ops: Vec<Op>,
    class: Option<Class>,
    hint: Hint,
    sql: String,
    error: Option<BatchError>,
}

impl Collector {
    /// Whether nothing has been collected.
    pub(crate) fn is_empty(&self) -> bool {
        self.ops.is_empty() && self.error.is_none()
    }

    /// Takes in one message; returns the batch once it is complete.
    ///
    /// An error inside an extended batch is reported at its `Sync`, as the protocol demands.
    pub(crate) fn take_in(
        &mut self,
        statements: &mut Statements,
        frame: Bytes,
    ) -> Result<Option<Batch>, BatchError> {
        match Message::read(&frame)? {
            Message::Query(sql) => {
                let class = classify(sql);
                let hint = Hint::parse(sql)?;
                let sql = sql.to_owned();
                Ok(Some(Batch { body: Body::Simple(frame), class, hint, sql }))
            }
            Message::Sync => self.finish().map(Some),
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
            class: collected.class.unwrap_or(Class::Empty),
            hint: collected.hint,
            sql: collected.sql,
        })
    }

    fn collect(
        &mut self,
        statements: &mut Statements,
        message: Message<'_>,
        frame: &Bytes,
    ) -> Result<(), BatchError> {
        let find = |statements: &Statements, name: &str| {
            statements.get(name).ok_or_else(|| BatchError::UnknownStatement(name.to_owned()))
        };
        match message {
            Message::Parse { name, sql } => {
                let statement = statements.parse(name, sql, frame)?;
                self.weigh(&statement)?;
                self.ops.push(Op::Parse(statement));
            }
            Message::Bind { statement, .. } => {
                let statement = find(statements, statement)?;
                self.weigh(&statement)?;
                let frame = rename(frame, &name(statement.hash))?;
                self.ops.push(Op::Bind(statement, Bytes::from(frame)));
            }
            Message::DescribeStatement(wanted) => {
                let statement = find(statements, wanted)?;
                self.weigh(&statement)?;
                let frame = rename(frame, &name(statement.hash))?;
                self.ops.push(Op::Describe(statement, Bytes::from(frame)));
            }
            Message::CloseStatement(name) => {
                statements.close(name);
                self.ops.push(Op::CloseStatement);
            }
            Message::Execute => self.ops.push(Op::Other(frame.clone(), true)),
            Message::DescribePortal(_) | Message::ClosePortal(_) => {
                self.ops.push(Op::Other(frame.clone(), false));
            }
            Message::Flush => return Err(BatchError::NotCarried("Flush")),
            Message::Copy => return Err(BatchError::NotCarried("COPY")),
            Message::FunctionCall => return Err(BatchError::NotCarried("function call")),
            _ => return Err(BatchError::Frame(FrameError::Body)),
        }
        Ok(())
    }

    /// Lets a statement decide what the whole batch is; what may write weighs most.
    fn weigh(&mut self, statement: &Statement) -> Result<(), BatchError> {
        let hint = statement.hint.clone()?;
        let weight = |class: Class| match class {
            Class::Empty => 0,
            Class::Setting => 1,
            Class::Read => 2,
            _ => 3,
        };
        let is_heavier = self.class.is_none_or(|c| weight(statement.class) > weight(c));
        let differs = self.class.is_some_and(|c| c != statement.class && weight(c) == 3);
        if is_heavier {
            self.class = Some(statement.class);
            self.sql = statement.sql.clone();
            self.hint = hint;
        } else if differs && weight(statement.class) == 3 {
            self.class = Some(Class::Write);
        }
        Ok(())
    }
}

/// What is expected back for one message that was sent, or was answered in the instance's place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expect {
    /// An answer for the caller that ends with one of a message type's last tags.
    Pass(Last),
    /// The answer to a `Parse` of the caller's, which makes a statement known.
    Parsed(u64),
    /// The answer to a `Parse` that the caller did not send.
    Swallow(u64),
    /// An answer that only the caller sees.
    Synthesize(u8),
}

/// The tags that end an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Last {
    /// `BindComplete` or `CloseComplete`.
    Complete,
    /// `RowDescription` or `NoData`.
    Described,
    /// The end of a portal's run.
    Executed,
}

impl Last {
    /// Whether a tag ends the answer.
    pub(crate) fn is_ended_by(self, tag: u8) -> bool {
        match self {
            Self::Complete => tag == b'2' || tag == b'3',
            Self::Described => tag == b'T' || tag == b'n',
            Self::Executed => matches!(tag, b'C' | b'I' | b's'),
        }
    }
}

/// The bytes for an instance and what is expected back, for a connection that already knows some
/// statements.
pub(crate) fn plan(ops: &[Op], backend: &Backend, out: &mut Vec<u8>) -> Vec<Expect> {
    let mut expects = Vec::with_capacity(ops.len());
    let mut known: Vec<u64> = Vec::new();
    for op in ops {
        match op {
            Op::Parse(statement) => {
                let hash = statement.hash;
                if backend.prepared.contains(&hash) || known.contains(&hash) {
                    expects.push(Expect::Synthesize(b'1'));
                    continue;
                }
                known.push(hash);
                out.extend_from_slice(&statement.parse);
                expects.push(Expect::Parsed(hash));
            }
            Op::Bind(statement, frame) | Op::Describe(statement, frame) => {
                let hash = statement.hash;
                if !backend.prepared.contains(&hash) && !known.contains(&hash) {
                    known.push(hash);
                    out.extend_from_slice(&statement.parse);
                    expects.push(Expect::Swallow(hash));
                }
                out.extend_from_slice(frame);
                let last = if frame[0] == b'B' { Last::Complete } else { Last::Described };
                expects.push(Expect::Pass(last));
            }
            Op::CloseStatement => expects.push(Expect::Synthesize(b'3')),
            Op::Other(frame, runs) => {
                out.extend_from_slice(frame);
                let last = match (runs, frame[0]) {
                    (true, _) => Last::Executed,
                    (false, b'D') => Last::Described,
                    _ => Last::Complete,
                };
                expects.push(Expect::Pass(last));
            }
        }
    }
    out.extend_from_slice(&persimmon_pg::sync());
    expects
}
