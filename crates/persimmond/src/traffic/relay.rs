//! Sends a batch to an instance and relays the answer.
//!
//! Invariants:
//!
//! - The end of a write's answer is kept back until the caller of this module lets it go.
//! - Once any byte of a read's answer has gone to the caller, the read is not sent again.

use std::collections::VecDeque;

use ntex::io::Io;
use ntex::util::BytesMut;
use persimmon_pg::{ErrorFields, error_fields, query, sqlstate, tag};
use persimmon_request::Answer;

use crate::backend::{Answer as QueryAnswer, Backend, BackendError};
use crate::traffic::batch::{Body, Expect, plan};

/// How much of an answer is kept back before rows are passed on, in bytes.
const KEEP_BYTES: usize = 64 << 10;

/// What an instance answered.
#[derive(Debug)]
pub(crate) struct Relayed {
    /// What kind of answer it is.
    pub(crate) answer: Answer,
    /// The transaction status: `I`, `T` or `E`.
    pub(crate) status: u8,
    /// The term that the instance named if it refused the connection's.
    pub(crate) refusal: Option<ErrorFields>,
    /// The answer to the question whether a majority holds the write, if it was asked.
    pub(crate) held: Option<QueryAnswer>,
}

/// One relay of a batch.
pub(crate) struct Relay<'a> {
    caller: &'a Io,
    /// What the caller has not been given yet.
    pub(crate) kept: BytesMut,
    /// Whether the caller has been given any of the answer.
    pub(crate) passed: bool,
    /// Where in `kept` the part begins that must wait for the end.
    completion: Option<usize>,
    keeps_completion: bool,
}

impl<'a> Relay<'a> {
    /// Creates a relay to a caller; a write keeps its completion back.
    pub(crate) fn new(caller: &'a Io, keeps_completion: bool) -> Self {
        Self { caller, kept: BytesMut::new(), passed: false, completion: None, keeps_completion }
    }

    /// Forgets an answer that the caller has seen nothing of.
    pub(crate) fn reset(&mut self) {
        debug_assert!(!self.passed);
        self.kept.clear();
        self.completion = None;
    }

    /// Sends the batch, with the question behind it if `held_ms` is given, and relays the answer
    /// up to but without `ReadyForQuery`.
    pub(crate) async fn run(
        &mut self,
        backend: &mut Backend,
        body: &Body,
        held_ms: Option<u128>,
    ) -> Result<Relayed, BackendError> {
        let mut out = Vec::new();
        let mut expects = VecDeque::new();
        match body {
            Body::Simple(frame) => out.extend_from_slice(frame),
            Body::Extended(ops) => expects.extend(plan(ops, backend, &mut out)),
        }
        if let Some(held_ms) = held_ms {
            out.extend_from_slice(&query(&format!("SELECT persimmon_held({held_ms})")));
        }
        backend.send(&out)?;
        let mut relayed = self.receive(backend, &mut expects).await?;
        if held_ms.is_some() {
            relayed.held = Some(backend.answer().await?);
        }
        backend.at_rest = true;
        Ok(relayed)
    }

    async fn receive(
        &mut self,
        backend: &mut Backend,
        expects: &mut VecDeque<Expect>,
    ) -> Result<Relayed, BackendError> {
        let mut answer = None;
        let mut refusal = None;
        loop {
            self.synthesize(expects);
            let frame = backend.frame().await?;
            match frame[0] {
                b'Z' => {
                    let status = frame.get(5).copied().unwrap_or(b'I');
                    let done = if status == b'I' { Answer::Done } else { Answer::InTransaction };
                    let answer = answer.unwrap_or(done);
                    return Ok(Relayed { answer, status, refusal, held: None });
                }
                b'E' => {
                    let fields = error_fields(&frame);
                    match fields.code.as_str() {
                        sqlstate::TERM_REFUSED => {
                            answer = Some(Answer::TermRefused);
                            refusal = Some(fields);
                        }
                        sqlstate::READ_ONLY => answer = Some(Answer::ReadOnlyRefused),
                        _ => {}
                    }
                    self.keep_completion(&frame);
                    // Everything behind an error is skipped up to the end of the batch.
                    expects.clear();
                }
                b'G' | b'H' | b'W' => {
                    // A bulk copy began behind the statement's first word; only the end of the
                    // connection gets out of it.
                    return Err(BackendError::TimedOut);
                }
                _ => self.take_in(backend, expects, &frame).await?,
            }
        }
    }

    fn synthesize(&mut self, expects: &mut VecDeque<Expect>) {
        while let Some(Expect::Synthesize(byte)) = expects.front() {
            self.kept.extend_from_slice(&tag(*byte));
            expects.pop_front();
        }
    }

    async fn take_in(
        &mut self,
        backend: &mut Backend,
        expects: &mut VecDeque<Expect>,
        frame: &[u8],
    ) -> Result<(), BackendError> {
        match expects.front().copied() {
            Some(Expect::Swallow(hash)) if frame[0] == b'1' => {
                backend.prepared.insert(hash);
                expects.pop_front();
                return Ok(());
            }
            Some(Expect::Parsed(hash)) if frame[0] == b'1' => {
                backend.prepared.insert(hash);
                expects.pop_front();
            }
            Some(Expect::Pass(last)) if last.is_ended_by(frame[0]) => {
                expects.pop_front();
            }
            _ => {}
        }
        if frame[0] == b'C' {
            self.keep_completion(frame);
        } else {
            self.kept.extend_from_slice(frame);
        }
        self.pass_on().await
    }

    fn keep_completion(&mut self, frame: &[u8]) {
        if self.keeps_completion && self.completion.is_none() {
            self.completion = Some(self.kept.len());
        }
        self.kept.extend_from_slice(frame);
    }

    /// Passes rows on once there are many of them.
    async fn pass_on(&mut self) -> Result<(), BackendError> {
        let free = self.completion.unwrap_or(self.kept.len());
        if free < KEEP_BYTES {
            return Ok(());
        }
        let rows = self.kept.split_to(free);
        self.completion = self.completion.map(|_| 0);
        self.passed = true;
        self.caller.encode_slice(&rows)?;
        self.caller.flush(false).await?;
        Ok(())
    }
}
