//! Sends a batch to an instance and relays the response to the client.
//!
//! Invariants:
//!
//! - The completion of a write stays in the buffer until the user of this module sends it to the
//!   client.
//! - Once any byte of a read's response has been forwarded to the client, the read is not sent
//!   again.

use std::collections::VecDeque;

use ntex::util::BytesMut;
use persimmon_pg::{ErrorFields, empty_message, parse_error_fields, query, sqlstate};
use persimmon_request::AnswerKind;

use crate::backend::{BackendConnection, BackendError, QueryResult};
use crate::traffic::batch::{Body, ExpectedResponse, encode_extended};
use crate::traffic::stream::ClientStream;

/// How many bytes of a response are buffered before rows are forwarded to the client. A response
/// that fits into the buffer can be discarded and its request sent again.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// An instance's response to a batch.
#[derive(Debug)]
pub(crate) struct Response {
    /// The kind of the response.
    pub(crate) answer: AnswerKind,
    /// The transaction status: `I`, `T` or `E`.
    pub(crate) status: u8,
    /// The error, which names the instance's term, if the instance refused the connection's term.
    pub(crate) term_refusal: Option<ErrorFields>,
    /// The result of `persimmon_held`, if it was sent behind the batch.
    pub(crate) majority: Option<QueryResult>,
}

/// The relay of one batch.
pub(crate) struct Relay<'a> {
    client: &'a ClientStream,
    /// The part of the response that has not been forwarded to the client.
    pub(crate) buffered: BytesMut,
    /// Whether any part of the response has been forwarded to the client.
    pub(crate) has_forwarded: bool,
    /// Where in `buffered` the part begins that is withheld until the batch has ended.
    completion_start: Option<usize>,
    withholds_completion: bool,
}

impl<'a> Relay<'a> {
    /// Creates a relay to a client; the completion of a write is withheld.
    pub(crate) fn new(client: &'a ClientStream, withholds_completion: bool) -> Self {
        Self {
            client,
            buffered: BytesMut::new(),
            has_forwarded: false,
            completion_start: None,
            withholds_completion,
        }
    }

    /// Discards a response of which nothing has been forwarded to the client.
    pub(crate) fn reset(&mut self) {
        debug_assert!(!self.has_forwarded);
        self.buffered.clear();
        self.completion_start = None;
    }

    /// Sends the batch and relays the response up to, but not including, `ReadyForQuery`. With
    /// `majority_timeout_ms`, a call of `persimmon_held` is sent behind the batch.
    pub(crate) async fn run(
        &mut self,
        backend: &mut BackendConnection,
        body: &Body,
        majority_timeout_ms: Option<u128>,
    ) -> Result<Response, BackendError> {
        let mut out = Vec::new();
        let mut expected = VecDeque::new();
        match body {
            Body::Simple(frame) => out.extend_from_slice(frame),
            Body::Extended(ops) => expected.extend(encode_extended(ops, backend, &mut out)),
        }
        if let Some(majority_timeout_ms) = majority_timeout_ms {
            out.extend_from_slice(&query(&format!("SELECT persimmon_held({majority_timeout_ms})")));
        }
        backend.send(&out)?;
        let mut response = self.receive(backend, &mut expected).await?;
        if majority_timeout_ms.is_some() {
            response.majority = Some(backend.recv_result().await?);
        }
        backend.is_idle = true;
        Ok(response)
    }

    async fn receive(
        &mut self,
        backend: &mut BackendConnection,
        expected: &mut VecDeque<ExpectedResponse>,
    ) -> Result<Response, BackendError> {
        let mut answer = None;
        let mut term_refusal = None;
        loop {
            self.synthesize_responses(expected);
            let frame = backend.recv_frame().await?;
            match frame[0] {
                b'Z' => {
                    let status = frame.get(5).copied().unwrap_or(b'I');
                    let done =
                        if status == b'I' { AnswerKind::Done } else { AnswerKind::InTransaction };
                    let answer = answer.unwrap_or(done);
                    return Ok(Response { answer, status, term_refusal, majority: None });
                }
                b'E' => {
                    let fields = parse_error_fields(&frame);
                    match fields.code.as_str() {
                        sqlstate::TERM_REFUSED => {
                            answer = Some(AnswerKind::TermRefused);
                            term_refusal = Some(fields);
                        }
                        sqlstate::READ_ONLY => answer = Some(AnswerKind::ReadOnlyRefused),
                        _ => {}
                    }
                    self.buffer_completion(&frame);
                    // The instance skips everything after an error up to the end of the batch.
                    expected.clear();
                }
                b'G' | b'H' | b'W' => {
                    // The statement started a COPY that its first word did not show; only closing
                    // the connection ends it.
                    return Err(BackendError::TimedOut);
                }
                _ => self.handle_frame(backend, expected, &frame).await?,
            }
        }
    }

    fn synthesize_responses(&mut self, expected: &mut VecDeque<ExpectedResponse>) {
        while let Some(ExpectedResponse::Synthesize(byte)) = expected.front() {
            self.buffered.extend_from_slice(&empty_message(*byte));
            expected.pop_front();
        }
    }

    async fn handle_frame(
        &mut self,
        backend: &mut BackendConnection,
        expected: &mut VecDeque<ExpectedResponse>,
        frame: &[u8],
    ) -> Result<(), BackendError> {
        match expected.front().copied() {
            Some(ExpectedResponse::Discard(hash)) if frame[0] == b'1' => {
                backend.prepared.insert(hash);
                expected.pop_front();
                return Ok(());
            }
            Some(ExpectedResponse::Parsed(hash)) if frame[0] == b'1' => {
                backend.prepared.insert(hash);
                expected.pop_front();
            }
            Some(ExpectedResponse::Forward(end)) if end.is_reached_by(frame[0]) => {
                expected.pop_front();
            }
            _ => {}
        }
        if frame[0] == b'C' {
            self.buffer_completion(frame);
        } else {
            self.buffered.extend_from_slice(frame);
        }
        self.forward_rows().await
    }

    fn buffer_completion(&mut self, frame: &[u8]) {
        if self.withholds_completion && self.completion_start.is_none() {
            self.completion_start = Some(self.buffered.len());
        }
        self.buffered.extend_from_slice(frame);
    }

    /// Forwards the buffered rows once there are [`MAX_BUFFERED_BYTES`] of them.
    async fn forward_rows(&mut self) -> Result<(), BackendError> {
        let forwardable = self.completion_start.unwrap_or(self.buffered.len());
        if forwardable < MAX_BUFFERED_BYTES {
            return Ok(());
        }
        let rows = self.buffered.split_to(forwardable);
        self.completion_start = self.completion_start.map(|_| 0);
        self.has_forwarded = true;
        self.client.send(&rows)?;
        self.client.flush().await?;
        Ok(())
    }
}
