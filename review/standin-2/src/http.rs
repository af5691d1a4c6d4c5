//! A small HTTP/1.1 server with persistent connections, one thread each.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

/// A request.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// The value of a field of the query.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The value of a header.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, v)| v.as_str())
    }
}

/// A response; `None` in its place closes the connection without one.
pub struct Response {
    pub status: u16,
    pub body: String,
}

pub type Handler = dyn Fn(Request) -> Option<Response> + Send + Sync;

/// Serves `handler` on a free port of 127.0.0.1.
pub fn serve(handler: Arc<Handler>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || {
                // An I/O error only ends this connection.
                let _ = serve_connection(&stream, &*handler);
            });
        }
    });
    Ok(address)
}

fn serve_connection(stream: &TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut out = stream.try_clone()?;
    while let Some(request) = read_request(&mut reader)? {
        let Some(response) = handler(request) else {
            return Ok(());
        };
        let Response { status, body } = response;
        let text = format!(
            "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        out.write_all(text.as_bytes())?;
    }
    Ok(())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let length = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case("content-length"));
    let length = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0_usize);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(n, v)| (n.to_owned(), v.to_owned())).collect();
    Ok(Some(Request { method, path: path.to_owned(), query, headers, body }))
}
