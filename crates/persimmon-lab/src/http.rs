//! A minimal blocking HTTP client for the fake platform and for daemons.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde::Serialize;

/// The timeout for connecting and for each read.
const TIMEOUT: Duration = Duration::from_secs(5);

fn send_request(address: SocketAddr, head: &str, body: &[u8]) -> io::Result<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let length = body.len();
    write!(
        stream,
        "{head} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
    )?;
    stream.write_all(body)?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response)?;
    let head_end = response.windows(4).position(|w| w == b"\r\n\r\n");
    let head_end = head_end.ok_or_else(|| io::Error::other("malformed HTTP response"))?;
    let status = String::from_utf8_lossy(&response[..head_end]);
    let status = status.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    Ok((status, response.split_off(head_end + 4)))
}

/// Gets a JSON document; the status code is not checked.
///
/// # Errors
///
/// Returns an error if the request fails or the response body is not JSON.
pub fn get(address: SocketAddr, path: &str) -> io::Result<serde_json::Value> {
    let (_, body) = send_request(address, &format!("GET {path}"), b"")?;
    Ok(serde_json::from_slice(&body)?)
}

/// Gets a text; the status code is not checked.
///
/// # Errors
///
/// Returns an error if the request fails.
pub fn get_text(address: SocketAddr, path: &str) -> io::Result<String> {
    let (_, body) = send_request(address, &format!("GET {path}"), b"")?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Returns the status code of a GET request.
///
/// # Errors
///
/// Returns an error if the request fails.
pub fn status(address: SocketAddr, path: &str) -> io::Result<u16> {
    Ok(send_request(address, &format!("GET {path}"), b"")?.0)
}

/// Puts a JSON document.
///
/// # Errors
///
/// Returns an error if the request fails or its status code is not 200.
pub fn put(address: SocketAddr, path: &str, body: &impl Serialize) -> io::Result<()> {
    let (status, response) =
        send_request(address, &format!("PUT {path}"), &serde_json::to_vec(body)?)?;
    if status == 200 {
        return Ok(());
    }
    Err(io::Error::other(format!("{status} {}", String::from_utf8_lossy(&response))))
}
