//! A client of the line protocol.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The status of a `GET`.
pub fn http_status(address: SocketAddr, path: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
    let mut head = [0; 12];
    stream.read_exact(&mut head)?;
    let text = String::from_utf8_lossy(&head).into_owned();
    text[9..].parse().map_err(io::Error::other)
}

/// The answer to one request.
#[derive(Debug)]
pub struct Answer {
    /// The signature, or the code of the error.
    pub result: Result<String, String>,
}

pub struct Client {
    stream: TcpStream,
    lines: BufReader<TcpStream>,
}

impl Client {
    /// Opens a session; `limit` is how long an answer is awaited.
    pub fn open(
        address: SocketAddr,
        database: &str,
        who: &str,
        limit: Duration,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_read_timeout(Some(limit))?;
        stream.set_nodelay(true)?;
        let lines = BufReader::new(stream.try_clone()?);
        let mut client = Self { stream, lines };
        write!(client.stream, "STARTUP {database} {who}\r\n")?;
        let line = client.line()?;
        if line.starts_with("READY I") { Ok(client) } else { Err(io::Error::other(line)) }
    }

    fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.lines.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }

    pub fn query(&mut self, id: &str, text: &str) -> io::Result<Answer> {
        write!(self.stream, "QUERY {id} {text}\r\n")?;
        let mut result = Ok("-".to_owned());
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "ROW" => {}
                "COMPLETE" => result = Ok(rest.to_owned()),
                "ERROR" => result = Err(rest.split(' ').next().unwrap_or_default().to_owned()),
                _ => return Ok(Answer { result }),
            }
        }
    }
}
