//! A small blocking client for simple queries, for the stand-ins and for checks.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use persimmon_pg::{Rows, error_fields, frame_length, query, startup, text_row};

/// One blocking connection.
#[derive(Debug)]
pub struct PgClient {
    stream: TcpStream,
    buf: Vec<u8>,
}

/// What a query brought: its rows, or the code and text of its error.
pub type QueryResult = Result<Rows, (String, String)>;

impl PgClient {
    /// Connects with startup parameters.
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
        client.stream.write_all(&startup(parameters))?;
        match client.answer()? {
            Ok(_) => Ok(client),
            Err((code, message)) => Err(io::Error::other(format!("{code} {message}"))),
        }
    }

    /// Sets how long an answer may take.
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
    /// Returns an error if the connection breaks or no answer comes in time.
    pub fn query(&mut self, sql: &str) -> io::Result<QueryResult> {
        self.stream.write_all(&query(sql))?;
        self.answer()
    }

    fn answer(&mut self) -> io::Result<QueryResult> {
        let mut rows = Rows::new();
        let mut failure = None;
        loop {
            let frame = self.frame()?;
            match frame[0] {
                b'D' => rows.extend(text_row(&frame)),
                b'E' => {
                    let fields = error_fields(&frame);
                    failure.get_or_insert((fields.code, fields.message));
                }
                b'Z' => return Ok(failure.map_or(Ok(rows), Err)),
                _ => {}
            }
        }
    }

    fn frame(&mut self) -> io::Result<Vec<u8>> {
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
