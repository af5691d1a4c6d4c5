//! Sockets that detect a silent peer: unacknowledged data or unanswered keepalive probes fail the
//! connection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::io::Io;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How long sent data may stay unacknowledged before the connection fails.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time before the first keepalive probe, so that a silent connection is detected before a
/// session uses it.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Number of unanswered keepalive probes after which the connection fails.
const KEEPALIVE_RETRIES: u32 = 2;

/// Connects within `limit`.
///
/// # Errors
///
/// Returns an error if the connection is not accepted in time.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Io> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(limit, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    configure(stream, true)
}

/// Sets the socket options and registers the stream with this thread's runtime; `has_keepalive`
/// enables keepalive probes.
///
/// # Errors
///
/// Returns an error if the socket refuses an option.
pub(crate) fn configure(stream: TcpStream, has_keepalive: bool) -> io::Result<Io> {
    set_options(&stream, has_keepalive)?;
    ntex::rt::from_tcp_stream(stream.into_std()?, SharedCfg::default())
}

/// Sets the options by which a silent peer is detected; `has_keepalive` enables keepalive probes.
///
/// # Errors
///
/// Returns an error if the socket refuses an option.
pub(crate) fn set_options(stream: &TcpStream, has_keepalive: bool) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    if has_keepalive {
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_RETRIES);
        socket.set_tcp_keepalive(&keepalive)?;
    }
    Ok(())
}
