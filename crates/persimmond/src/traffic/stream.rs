//! The connection of one client.
//!
//! Invariant: the end of the client's messages does not end the responses to those before it.

use std::cell::RefCell;
use std::io;

use ntex::codec::Decoder;
use ntex::util::{BytesMut, Either};
use tokio::net::TcpStream;

/// Most bytes that are read from the socket at once.
const READ_BYTES: usize = 8 << 10;

/// The connection of one client.
#[derive(Debug)]
pub(crate) struct ClientStream {
    stream: TcpStream,
    input: RefCell<BytesMut>,
    output: RefCell<BytesMut>,
}

impl ClientStream {
    /// Takes over a connection.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self { stream, input: RefCell::default(), output: RefCell::default() }
    }

    /// Receives a message; `None` once the client has ended its messages. What could not be sent
    /// before is sent meanwhile.
    ///
    /// Dropping the future loses nothing.
    ///
    /// # Errors
    ///
    /// Returns the codec's error, or an I/O error if the connection is broken.
    pub(crate) async fn recv<D: Decoder>(
        &self,
        codec: &D,
    ) -> Result<Option<D::Item>, Either<D::Error, io::Error>> {
        loop {
            let decoded = codec.decode(&mut self.input.borrow_mut());
            if let Some(message) = decoded.map_err(Either::Left)? {
                return Ok(Some(message));
            }
            if self.read().await.map_err(Either::Right)? == 0 {
                return Ok(None);
            }
        }
    }

    /// Receives until the client has closed its end or the connection is broken, and discards it.
    pub(crate) async fn discard_input(&self) {
        while self.read().await.is_ok_and(|count| count > 0) {
            self.input.borrow_mut().clear();
        }
    }

    /// Sends bytes, as far as the client's side takes them now.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub(crate) fn send(&self, bytes: &[u8]) -> io::Result<()> {
        self.output.borrow_mut().extend_from_slice(bytes);
        self.write()
    }

    /// Waits until everything is sent.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub(crate) async fn flush(&self) -> io::Result<()> {
        while self.has_output() {
            self.stream.writable().await?;
            self.write()?;
        }
        Ok(())
    }

    fn has_output(&self) -> bool {
        !self.output.borrow().is_empty()
    }

    /// Reads what the client has sent; returns the number of bytes, zero at their end.
    async fn read(&self) -> io::Result<usize> {
        loop {
            tokio::select! {
                biased;
                flushed = self.flush(), if self.has_output() => flushed?,
                ready = self.stream.readable() => ready?,
            }
            let mut buf = [0; READ_BYTES];
            match self.stream.try_read(&mut buf) {
                Ok(count) => {
                    self.input.borrow_mut().extend_from_slice(&buf[..count]);
                    return Ok(count);
                }
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                Err(err) => return Err(err),
            }
        }
    }

    /// Writes what the socket takes.
    fn write(&self) -> io::Result<()> {
        let mut output = self.output.borrow_mut();
        while !output.is_empty() {
            match self.stream.try_write(&output) {
                Ok(count) => drop(output.split_to(count)),
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(err) => return Err(err),
            }
        }
        Ok(())
    }
}
