//! A minimal blocking PostgreSQL client for simple queries, used by fake instances and tests.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use persimmon_pg::{
    Rows, frame_length, parse_error_fields, parse_text_row, query, startup_message,
};

/// A blocking connection.
#[derive(Debug)]
pub struct PgClient {
    stream: TcpStream,
    buf: Vec<u8>,
}

/// The result of a query: its rows, or the SQLSTATE and message of its first error.
pub type QueryResult = Result<Rows, (String, String)>;

impl PgClient {
    /// Connects and starts a session with startup parameters.
    ///
    /// `timeout` limits the connection attempt, and each read and write.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer cannot be reached or refuses the session.
    pub fn connect(
        address: SocketAddr,
        parameters: &[(&str, &str)],
        timeout: Duration,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        let mut client = Self { stream, buf: Vec::new() };
        client.stream.write_all(&startup_message(parameters))?;
        match client.receive_response()? {
            Ok(_) => Ok(client),
            Err((code, message)) => Err(io::Error::other(format!("{code} {message}"))),
        }
    }

    /// Sets the read timeout.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket refuses the value.
    pub fn set_timeout(&self, timeout: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(timeout))
    }

    /// Runs one simple query.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection closes or a read times out.
    pub fn query(&mut self, sql: &str) -> io::Result<QueryResult> {
        self.send(sql)?;
        self.receive_response()
    }

    /// Sends a simple query without waiting for its response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub fn send(&mut self, sql: &str) -> io::Result<()> {
        self.stream.write_all(&query(sql))
    }

    /// Ends the messages to the peer; responses can still be received.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub fn finish_sending(&self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)
    }

    /// Receives the response to the oldest outstanding query.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection closes or a read times out.
    pub fn receive_response(&mut self) -> io::Result<QueryResult> {
        let mut rows = Rows::new();
        let mut error = None;
        loop {
            let frame = match self.read_frame() {
                // A fatal error ends the connection.
                Err(err) if err.kind() == io::ErrorKind::UnexpectedEof => {
                    return error.map_or(Err(err), |error| Ok(Err(error)));
                }
                frame => frame?,
            };
            match frame[0] {
                b'D' => rows.extend(parse_text_row(&frame)),
                b'E' => {
                    let fields = parse_error_fields(&frame);
                    error.get_or_insert((fields.code, fields.message));
                }
                b'Z' => return Ok(error.map_or(Ok(rows), Err)),
                _ => {}
            }
        }
    }

    fn read_frame(&mut self) -> io::Result<Vec<u8>> {
        loop {
            let length = frame_length(&self.buf).map_err(io::Error::other)?;
            if let Some(length) = length {
                return Ok(self.buf.drain(..length).collect());
            }
            let mut chunk = [0_u8; 16 << 10];
            let read = self.stream.read(&mut chunk)?;
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.buf.extend_from_slice(&chunk[..read]);
        }
    }
}
