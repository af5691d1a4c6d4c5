//! A client session.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::record::Record;

/// The complete answer to one request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The rows.
    pub rows: Vec<String>,
    /// The text after `COMPLETE`, or after `ERROR`.
    pub result: Result<String, String>,
    /// `I`, `T` or `E`.
    pub state: String,
}

/// A session.
pub struct Client {
    stream: TcpStream,
    lines: BufReader<TcpStream>,
    name: String,
    sent: u32,
    record: Record,
}

impl Client {
    /// Opens a session.
    ///
    /// # Errors
    ///
    /// The error's text is the refusal, if the daemon refuses the session.
    pub fn open(
        address: SocketAddr,
        database: &str,
        name: &str,
        record: &Record,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        stream.set_nodelay(true)?;
        let lines = BufReader::new(stream.try_clone()?);
        let mut client =
            Self { stream, lines, name: name.to_owned(), sent: 0, record: record.clone() };
        write!(client.stream, "STARTUP {database} {name}\r\n")?;
        let line = client.line()?;
        record
            .line(&format!("client {name}: sent STARTUP {database} to {address}, answered {line}"));
        if line.starts_with("READY I") { Ok(client) } else { Err(io::Error::other(line)) }
    }

    fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.lines.read_line(&mut line)? == 0 || !line.ends_with('\n') {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }

    /// Sends a request and receives the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends without a complete answer.
    pub fn query(&mut self, text: &str) -> io::Result<Answer> {
        self.sent += 1;
        let id = format!("{}:{}", self.name, self.sent);
        self.record.line(&format!("client {}: sent QUERY {id} {text}", self.name));
        let answer = write!(self.stream, "QUERY {id} {text}\r\n").and_then(|()| self.answer());
        self.record.line(&format!("client {}: {id} answered {answer:?}", self.name));
        answer
    }

    fn answer(&mut self) -> io::Result<Answer> {
        let mut rows = Vec::new();
        let mut result = Ok(String::new());
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => rows.push(rest.to_owned()),
                "COMPLETE" => result = Ok(rest.to_owned()),
                "ERROR" => result = Err(rest.to_owned()),
                _ => {
                    let state = rest.split(' ').next().unwrap_or("").to_owned();
                    return Ok(Answer { rows, result, state });
                }
            }
        }
    }
}
