//! Small blocking HTTP calls of the harness to the stand-in platform and to daemons.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde::Serialize;

/// How long a call may take.
const TIMEOUT: Duration = Duration::from_secs(5);

fn call(address: SocketAddr, head: &str, body: &[u8]) -> io::Result<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let length = body.len();
    write!(
        stream,
        "{head} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
    )?;
    stream.write_all(body)?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    let end = answer.windows(4).position(|w| w == b"\r\n\r\n");
    let end = end.ok_or_else(|| io::Error::other("no HTTP answer"))?;
    let status = String::from_utf8_lossy(&answer[..end]);
    let status = status.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    Ok((status, answer.split_off(end + 4)))
}

/// Reads a JSON document.
///
/// # Errors
///
/// Returns an error if no answer comes or it is no JSON.
pub fn get(address: SocketAddr, path: &str) -> io::Result<serde_json::Value> {
    let (_, body) = call(address, &format!("GET {path}"), b"")?;
    Ok(serde_json::from_slice(&body)?)
}

/// The status code of a path.
///
/// # Errors
///
/// Returns an error if no answer comes.
pub fn status(address: SocketAddr, path: &str) -> io::Result<u16> {
    Ok(call(address, &format!("GET {path}"), b"")?.0)
}

/// Writes a JSON document.
///
/// # Errors
///
/// Returns an error if no answer comes or it is no success.
pub fn put(address: SocketAddr, path: &str, body: &impl Serialize) -> io::Result<()> {
    let (status, answer) = call(address, &format!("PUT {path}"), &serde_json::to_vec(body)?)?;
    if status == 200 {
        return Ok(());
    }
    Err(io::Error::other(format!("{status} {}", String::from_utf8_lossy(&answer))))
}
