//! The connection of one client.
//!
//! Invariants:
//!
//! - [`ClientConnection::try_close`] does not close a connection on which a whole message has arrived, so
//!   that whoever ends a session has to have that message answered first.
//! - The end of the client's messages does not end the answers to those before it.
//! - Bytes are read only while a message is awaited, or to find out whether one has arrived.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::{self, Read};
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

use ntex::codec::Decoder;
use ntex::util::BytesMut;
use persimmon_interfaces::{ClientMessage, ClientProtocol, ProtocolError};
use socket2::SockRef;
use tokio::net::TcpStream;

/// Most bytes that are read from the socket at once.
const READ_BYTES: usize = 8 << 10;

/// Most bytes of an incomplete message that are read in search of its end when the connection is to be
/// closed: one message.
const MAX_SEARCH: usize = 1 << 20;

/// Size of a message from which on its buffer is not kept, in bytes.
const LARGE_MESSAGE: usize = 2 << 10;

/// The connection of one client.
#[derive(Debug)]
pub(crate) struct ClientConnection {
    protocol: Arc<dyn ClientProtocol>,
    /// `None` once the connection is closed or broken.
    stream: RefCell<Option<TcpStream>>,
    input: RefCell<BytesMut>,
    output: RefCell<BytesMut>,
    /// Bytes at the front of the output's buffer that are sent and still occupied.
    sent: Cell<usize>,
    /// Whether the client has ended its messages.
    is_input_over: Cell<bool>,
    /// Why the connection broke.
    failure: Cell<Option<io::ErrorKind>>,
    /// Answers that came after the end of the connection.
    late_answers: Cell<u64>,
    /// Bytes of answers that were not sent when it ended.
    dropped: Cell<usize>,
    /// The task that waits for the client.
    waiter: RefCell<Option<Waker>>,
}

impl ClientConnection {
    /// Takes over a connection.
    pub(crate) fn new(stream: TcpStream, protocol: Arc<dyn ClientProtocol>) -> Self {
        Self {
            protocol,
            stream: RefCell::new(Some(stream)),
            input: RefCell::default(),
            output: RefCell::default(),
            sent: Cell::new(0),
            is_input_over: Cell::new(false),
            failure: Cell::new(None),
            late_answers: Cell::new(0),
            dropped: Cell::new(0),
            waiter: RefCell::default(),
        }
    }

    /// Whether the connection is closed or broken.
    pub(crate) fn is_closed(&self) -> bool {
        self.stream.borrow().is_none()
    }

    /// Why the connection broke, if it did.
    pub(crate) fn failure(&self) -> Option<io::ErrorKind> {
        self.failure.get()
    }

    /// Whether a part of a message has arrived.
    pub(crate) fn has_partial_message(&self) -> bool {
        !self.input.borrow().is_empty()
    }

    /// Bytes of answers that were left to be sent when the connection ended.
    pub(crate) fn dropped(&self) -> usize {
        self.dropped.get()
    }

    /// Bytes of answers that the client's side has not taken yet.
    pub(crate) fn unsent(&self) -> usize {
        self.output.borrow().len()
    }

    /// Receives a message; `None` once the client has ended its messages or the connection has ended.
    ///
    /// Dropping the future loses nothing.
    ///
    /// # Errors
    ///
    /// Returns an error if the client violates the protocol.
    pub(crate) async fn receive<D>(&self, codec: &D) -> Result<Option<ClientMessage>, ProtocolError>
    where
        D: Decoder<Item = ClientMessage, Error = ProtocolError>,
    {
        poll_fn(|cx| self.poll_receive(codec, cx)).await
    }

    fn poll_receive<D>(
        &self,
        codec: &D,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<ClientMessage>, ProtocolError>>
    where
        D: Decoder<Item = ClientMessage, Error = ProtocolError>,
    {
        loop {
            if let Some(message) = self.decode(codec)? {
                return Poll::Ready(Ok(Some(message)));
            }
            if self.is_input_over.get() || self.is_closed() {
                return Poll::Ready(Ok(None));
            }
            // Answers that the client did not take at once leave meanwhile.
            let _ = self.poll_flush(cx);
            if !self.is_ready(cx, TcpStream::poll_read_ready) {
                return Poll::Pending;
            }
            self.read(|stream, buf| stream.try_read(buf));
        }
    }

    fn decode<D>(&self, codec: &D) -> Result<Option<ClientMessage>, ProtocolError>
    where
        D: Decoder<Item = ClientMessage, Error = ProtocolError>,
    {
        let mut input = self.input.borrow_mut();
        let before = input.len();
        let message = codec.decode(&mut input)?;
        if before - input.len() >= LARGE_MESSAGE {
            *input = BytesMut::copy_from_slice(&input[..]);
        }
        Ok(message)
    }

    /// Sends an answer, as far as the client's side takes it now; the rest is sent by [`Self::receive`]
    /// and [`Self::flush`].
    pub(crate) fn send(&self, answer: BytesMut) {
        if self.is_closed() {
            self.late_answers.set(self.late_answers.get() + 1);
            return;
        }
        {
            let mut output = self.output.borrow_mut();
            if output.is_empty() {
                // A large answer is not copied.
                *output = answer;
            } else {
                output.extend_from_slice(&answer);
            }
        }
        self.write(|stream, bytes| stream.try_write(bytes));
    }

    /// Sends answers for as long as the future is polled; it never ends.
    pub(crate) async fn keep_sending(&self) {
        self.flush().await;
        std::future::pending::<()>().await;
    }

    /// Waits until every answer is sent; returns whether the connection is still open.
    pub(crate) async fn flush(&self) -> bool {
        poll_fn(|cx| self.poll_flush(cx)).await
    }

    fn poll_flush(&self, cx: &mut Context<'_>) -> Poll<bool> {
        loop {
            if self.is_closed() {
                return Poll::Ready(false);
            }
            if self.unsent() == 0 {
                return Poll::Ready(true);
            }
            if !self.is_ready(cx, TcpStream::poll_write_ready) {
                return Poll::Pending;
            }
            self.write(|stream, bytes| stream.try_write(bytes));
        }
    }

    /// Sends what the socket takes of the answers; returns whether that was anything.
    pub(crate) fn send_pending(&self) -> bool {
        let before = self.unsent();
        // The runtime may not have noticed yet that the client has read.
        self.write(|stream, bytes| SockRef::from(stream).send(bytes));
        self.unsent() < before
    }

    /// Whether a whole message has arrived, or bytes that are no message; reads what the socket has.
    fn has_message(&self) -> bool {
        while !self.holds_message() {
            let before = self.input.borrow().len();
            if before >= MAX_SEARCH {
                return false;
            }
            // The runtime may not have noticed yet that there is something to read.
            self.read(|stream, buf| (&*SockRef::from(stream)).read(buf));
            if self.input.borrow().len() == before {
                return false;
            }
        }
        true
    }

    fn holds_message(&self) -> bool {
        let input = self.input.borrow();
        !input.is_empty() && self.protocol.is_complete(&input, 0)
    }

    /// Closes the connection, unless a whole message has arrived; returns whether it is closed.
    pub(crate) fn try_close(&self) -> bool {
        let has_message = !self.is_closed() && self.has_message();
        if has_message {
            self.wake();
        } else {
            self.abort();
        }
        !has_message
    }

    /// Closes the connection whatever has arrived.
    pub(crate) fn abort(&self) {
        self.drop_stream();
        self.wake();
    }

    /// Drops the connection and what is left to be sent, whose memory others may need before the session
    /// has noticed.
    fn drop_stream(&self) {
        drop(self.stream.take());
        self.dropped.set(self.dropped.get() + self.output.take().len());
    }

    fn wake(&self) {
        let waiter = self.waiter.take();
        if let Some(waiter) = waiter {
            waiter.wake();
        }
    }

    /// The number of answers that were not sent as a whole.
    pub(crate) fn unsent_answers(&self) -> u64 {
        self.late_answers.get() + u64::from(self.dropped.get() > 0)
    }

    /// The number of requests that were received and not handled, which are dropped.
    pub(crate) fn drop_requests(&self) -> u64 {
        let mut input = self.input.borrow_mut();
        let mut count = 0;
        // What follows bytes that cannot be decoded is no request.
        while let Ok(Some(message)) = self.protocol.decode(&mut input) {
            count += u64::from(matches!(message, ClientMessage::Query(_)));
        }
        count
    }

    /// Whether the socket is ready, as `poll` tells; otherwise the task is woken when it is, or when the
    /// connection is closed.
    fn is_ready(
        &self,
        cx: &mut Context<'_>,
        poll: fn(&TcpStream, &mut Context<'_>) -> Poll<io::Result<()>>,
    ) -> bool {
        let mut waiter = self.waiter.borrow_mut();
        if !waiter.as_ref().is_some_and(|waker| waker.will_wake(cx.waker())) {
            *waiter = Some(cx.waker().clone());
        }
        self.stream.borrow().as_ref().is_none_or(|stream| poll(stream, cx).is_ready())
    }

    /// Reads what the socket has, up to a limit.
    fn read(&self, read: impl FnOnce(&TcpStream, &mut [u8]) -> io::Result<usize>) {
        let mut buf = [0; READ_BYTES];
        let read = match &*self.stream.borrow() {
            Some(stream) => read(stream, &mut buf),
            None => return,
        };
        match read {
            Ok(0) => self.is_input_over.set(true),
            Ok(count) => self.input.borrow_mut().extend_from_slice(&buf[..count]),
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
            Err(err) => self.fail(&err),
        }
    }

    fn fail(&self, err: &io::Error) {
        self.failure.set(Some(err.kind()));
        self.drop_stream();
    }

    /// Writes what the socket takes.
    fn write(&self, write: impl Fn(&TcpStream, &[u8]) -> io::Result<usize>) {
        let mut failure = None;
        {
            let stream = self.stream.borrow();
            let mut output = self.output.borrow_mut();
            while !output.is_empty() {
                let Some(stream) = &*stream else {
                    return;
                };
                match write(stream, &output) {
                    Ok(count) => {
                        drop(output.split_to(count));
                        self.sent.set(self.sent.get() + count);
                    }
                    Err(err) if err.kind() == io::ErrorKind::WouldBlock => break,
                    Err(err) => {
                        failure = Some(err);
                        break;
                    }
                }
            }
            // The memory that unread answers occupy is that of what is left of them.
            if output.is_empty() || self.sent.get() > output.len() {
                *output = BytesMut::copy_from_slice(&output[..]);
                self.sent.set(0);
            }
        }
        if let Some(err) = failure {
            self.fail(&err);
        }
    }
}
