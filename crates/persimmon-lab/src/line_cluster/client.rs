//! A client that speaks the line protocol.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The read timeout; longer than any statement timeout.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);

/// The complete response to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineResponse {
    /// The rows of the result.
    pub rows: Vec<String>,
    /// The signature of the instance that ran the request, or the code and text of the error.
    pub result: Result<String, (String, String)>,
    /// The state of the session's transaction: `I`, `T` or `E`.
    pub state: String,
}

impl LineResponse {
    /// Returns the error code, if the request failed.
    #[must_use]
    pub fn code(&self) -> Option<&str> {
        self.result.as_ref().err().map(|(code, _)| code.as_str())
    }

    /// Whether the response guarantees that the request had no effect.
    #[must_use]
    pub fn reports_no_effect(&self) -> bool {
        let codes = ["BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"];
        self.code().is_some_and(|code| codes.contains(&code))
    }
}

/// One client session.
#[derive(Debug)]
pub struct LineClient {
    stream: TcpStream,
    lines: BufReader<TcpStream>,
    id: String,
    name: String,
}

/// Request ids are unique over all sessions, because the fake group counts how often each one is
/// committed.
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

impl LineClient {
    /// Opens a session; `name` is the first part of each request's id, and the client's key.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon refuses the session.
    pub fn open(address: SocketAddr, database: &str, name: &str) -> io::Result<Self> {
        Self::open_with_key(address, database, name, name)
    }

    /// The same with a key that is not the first part of the ids.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon refuses the session.
    pub fn open_with_key(
        address: SocketAddr,
        database: &str,
        key: &str,
        name: &str,
    ) -> io::Result<Self> {
        let mut client = Self::connect(address, name)?;
        write!(client.stream, "STARTUP {database} {key}\r\n")?;
        let line = client.read_line()?;
        if line.starts_with("READY I") {
            return Ok(client);
        }
        Err(io::Error::other(line))
    }

    /// Connects without a startup message; `name` is the first part of each request's id.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be opened.
    pub fn connect(address: SocketAddr, name: &str) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, RESPONSE_TIMEOUT)?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
        stream.set_nodelay(true)?;
        let lines = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, lines, id: String::new(), name: name.to_owned() })
    }

    fn read_line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.lines.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }

    /// Returns the id of the last request sent.
    #[must_use]
    pub fn last_id(&self) -> &str {
        &self.id
    }

    /// Sends raw bytes, without an id or line end.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub fn send_raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Ends the messages to the daemon; responses can still be received.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub fn finish_sending(&self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)
    }

    /// Sets how long each read waits for the daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub fn set_response_timeout(&self, timeout: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(timeout))
    }

    /// Whether the daemon has ended the connection; does not wait.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        let peek = self.stream.set_nonblocking(true).and_then(|()| self.stream.peek(&mut [0]));
        let restored = self.stream.set_nonblocking(false);
        let is_waiting = peek.as_ref().is_err_and(|err| err.kind() == io::ErrorKind::WouldBlock);
        restored.is_err() || !(is_waiting || peek.is_ok_and(|count| count > 0))
    }

    /// Sends the first half of a request; returns the other one, for [`Self::send_raw`].
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub fn send_half(&mut self, text: &str) -> io::Result<String> {
        self.id = self.next_id();
        let message = format!("QUERY {} {text}\r\n", self.id);
        let (first, rest) = message.split_at(message.len() / 2);
        self.send_raw(first.as_bytes())?;
        Ok(rest.to_owned())
    }

    fn next_id(&self) -> String {
        format!("{}:{}", self.name, NEXT_ID.fetch_add(1, Ordering::Relaxed))
    }

    /// Sends a request without waiting for its response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.id = self.next_id();
        write!(self.stream, "QUERY {} {text}\r\n", self.id)
    }

    /// Receives the response to the oldest outstanding request.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks.
    pub fn receive_response(&mut self) -> io::Result<LineResponse> {
        let mut rows = Vec::new();
        let mut result = Ok("-".to_owned());
        loop {
            let line = self.read_line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => rows.push(rest.to_owned()),
                "COMPLETE" => result = Ok(rest.to_owned()),
                "ERROR" => {
                    let (code, text) = rest.split_once(' ').unwrap_or((rest, ""));
                    result = Err((code.to_owned(), text.to_owned()));
                }
                _ => {
                    let state = rest.split(' ').next().unwrap_or_default().to_owned();
                    return Ok(LineResponse { rows, result, state });
                }
            }
        }
    }

    /// Receives the code with which a startup message is refused.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks or the session opens.
    pub fn receive_refusal(&mut self) -> io::Result<String> {
        let line = self.read_line()?;
        let code = line.strip_prefix("ERROR ").and_then(|rest| rest.split(' ').next());
        code.map(str::to_owned).ok_or_else(|| io::Error::other(line.clone()))
    }

    /// Sends a request and receives its response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks.
    pub fn query(&mut self, text: &str) -> io::Result<LineResponse> {
        self.send(text)?;
        self.receive_response()
    }

    /// Whether the daemon has closed the session without sending another line; waits up to the
    /// read timeout.
    #[must_use]
    pub fn is_closed(&mut self) -> bool {
        matches!(self.read_line(), Err(err) if err.kind() != io::ErrorKind::WouldBlock)
    }
}
