//! A caller that speaks lines of words.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// How long an answer may take; longer than any limit of a statement.
const ANSWER_LIMIT: Duration = Duration::from_secs(6);

/// The whole answer to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineAnswer {
    /// The rows.
    pub rows: Vec<String>,
    /// The signature, or the code and text of the error.
    pub result: Result<String, (String, String)>,
    /// The state of the transaction.
    pub state: String,
}

impl LineAnswer {
    /// The code of the error.
    #[must_use]
    pub fn code(&self) -> Option<&str> {
        self.result.as_ref().err().map(|(code, _)| code.as_str())
    }

    /// Whether the answer promises that nothing of the attempt is kept.
    #[must_use]
    pub fn promises_nothing_kept(&self) -> bool {
        let promises = ["BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"];
        self.code().is_some_and(|code| promises.contains(&code))
    }
}

/// One session.
#[derive(Debug)]
pub struct LineClient {
    stream: TcpStream,
    lines: BufReader<TcpStream>,
    id: String,
    name: String,
}

/// Ids are unique over all sessions, as a stand-in counts how often each is committed.
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

impl LineClient {
    /// Opens a session; `name` stands in the id of each request.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon refuses the session.
    pub fn open(address: SocketAddr, database: &str, name: &str) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, ANSWER_LIMIT)?;
        stream.set_read_timeout(Some(ANSWER_LIMIT))?;
        stream.set_nodelay(true)?;
        let lines = BufReader::new(stream.try_clone()?);
        let mut client = Self { stream, lines, id: String::new(), name: name.to_owned() };
        write!(client.stream, "STARTUP {database} {name}\r\n")?;
        let line = client.line()?;
        if line.starts_with("READY I") {
            return Ok(client);
        }
        Err(io::Error::other(line))
    }

    fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.lines.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }

    /// The id of the request that was sent last.
    #[must_use]
    pub fn last_id(&self) -> &str {
        &self.id
    }

    /// Sends bytes as they are.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub fn send_raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a request without waiting for its answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.id = format!("{}:{}", self.name, NEXT_ID.fetch_add(1, Ordering::Relaxed));
        write!(self.stream, "QUERY {} {text}\r\n", self.id)
    }

    /// Receives the answer to the oldest request that has none.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks.
    pub fn answer(&mut self) -> io::Result<LineAnswer> {
        let mut rows = Vec::new();
        let mut result = Ok("-".to_owned());
        loop {
            let line = self.line()?;
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
                    return Ok(LineAnswer { rows, result, state });
                }
            }
        }
    }

    /// Sends a request and receives its answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks.
    pub fn query(&mut self, text: &str) -> io::Result<LineAnswer> {
        self.send(text)?;
        self.answer()
    }

    /// Whether the daemon has closed the session without another word.
    #[must_use]
    pub fn is_closed(&mut self) -> bool {
        matches!(self.line(), Err(err) if err.kind() != io::ErrorKind::WouldBlock)
    }
}
