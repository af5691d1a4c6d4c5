//! A minimal blocking PostgreSQL client for simple queries, used by fake instances and tests.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
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
        match client.read_response()? {
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
        self.stream.write_all(&query(sql))?;
        self.read_response()
    }

    fn read_response(&mut self) -> io::Result<QueryResult> {
        let mut rows = Rows::new();
        let mut error = None;
        loop {
            let frame = self.read_frame()?;
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
