//! The connection of one client.
//!
//! Invariants:
//!
//! - [`ClientConnection::close`] does not close a connection on which a whole message has arrived, so
//!   that whoever ends a session has to have that message answered first.
//! - Only [`ClientConnection::abort`], for a client that does not read its answers, closes regardless.
//! - The end of the client's messages does not end the answers to those before it.

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

/// The connection of one client.
#[derive(Debug)]
pub(crate) struct ClientConnection {
    protocol: Arc<dyn ClientProtocol>,
    /// `None` once the connection is closed or broken.
    stream: RefCell<Option<TcpStream>>,
    input: RefCell<BytesMut>,
    output: RefCell<BytesMut>,
    /// Whether the client has ended its messages.
    is_input_over: Cell<bool>,
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
            is_input_over: Cell::new(false),
            waiter: RefCell::default(),
        }
    }

    /// Whether the connection is closed or broken.
    pub(crate) fn is_closed(&self) -> bool {
        self.stream.borrow().is_none()
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
            let decoded = codec.decode(&mut self.input.borrow_mut());
            match decoded {
                Ok(Some(message)) => return Poll::Ready(Ok(Some(message))),
                Err(err) => return Poll::Ready(Err(err)),
                Ok(None) => {}
            }
            if self.is_input_over.get() || self.is_closed() {
                return Poll::Ready(Ok(None));
            }
            // Answers that the client did not take at once leave meanwhile.
            let _ = self.poll_flush(cx);
            self.wait(cx);
            let is_ready = match &*self.stream.borrow() {
                Some(stream) => stream.poll_read_ready(cx).is_ready(),
                None => true,
            };
            if !is_ready {
                return Poll::Pending;
            }
            self.read(|stream, buf| stream.try_read(buf));
        }
    }

    /// Sends bytes, as far as the client's side takes them now; the rest is sent while the session waits
    /// for the client. Returns whether the connection is still open.
    pub(crate) fn send(&self, bytes: &[u8]) -> bool {
        self.output.borrow_mut().extend_from_slice(bytes);
        self.write();
        !self.is_closed()
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
            self.wait(cx);
            let is_ready = match &*self.stream.borrow() {
                Some(stream) => stream.poll_write_ready(cx).is_ready(),
                None => true,
            };
            if !is_ready {
                return Poll::Pending;
            }
            self.write();
        }
    }

    /// Whether a whole message has arrived, or bytes that are no message.
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
        !input.is_empty() && self.protocol.may_be_complete(&input, 0)
    }

    /// Closes the connection, unless a whole message has arrived; returns whether it is closed.
    pub(crate) fn close(&self) -> bool {
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
        drop(self.stream.take());
        self.wake();
    }

    fn wake(&self) {
        let waiter = self.waiter.take();
        if let Some(waiter) = waiter {
            waiter.wake();
        }
    }

    /// The requests that were received and not handled.
    pub(crate) fn unhandled(&self) -> u64 {
        let mut input = self.input.borrow_mut();
        let mut count = 0;
        // What follows bytes that cannot be decoded is no request.
        while let Ok(Some(message)) = self.protocol.decode(&mut input) {
            count += u64::from(matches!(message, ClientMessage::Query(_)));
        }
        count
    }

    /// Has the task woken when the connection is closed.
    fn wait(&self, cx: &Context<'_>) {
        let mut waiter = self.waiter.borrow_mut();
        if !waiter.as_ref().is_some_and(|waker| waker.will_wake(cx.waker())) {
            *waiter = Some(cx.waker().clone());
        }
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
            Err(_) => drop(self.stream.take()),
        }
    }

    /// Writes what the socket takes.
    fn write(&self) {
        let mut output = self.output.borrow_mut();
        while !output.is_empty() {
            let written = match &*self.stream.borrow() {
                Some(stream) => stream.try_write(&output),
                None => return,
            };
            match written {
                Ok(count) => drop(output.split_to(count)),
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => {
                    drop(self.stream.take());
                    return;
                }
            }
        }
        // A large answer does not keep its buffer.
        *output = BytesMut::new();
    }
}
