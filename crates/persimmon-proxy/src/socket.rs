//! Sockets that detect a silent peer: unacknowledged data fails the connection, and so do unanswered
//! keepalive probes of an instance or a daemon.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::io::Io;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::client_limits::ANSWER_TIMEOUT;

/// How long data sent to an instance or a daemon may stay unacknowledged before the connection fails.
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
    set_options(&stream)?;
    ntex::rt::from_tcp_stream(stream.into_std()?, SharedCfg::default())
}

/// Sets the options by which a silent instance or daemon is detected.
///
/// # Errors
///
/// Returns an error if the socket refuses an option.
pub(crate) fn set_options(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)
}

/// Sets the options of a client's connection.
///
/// Data that a client's full window holds back counts as unacknowledged too, so that the limit is the
/// time that a client has for reading its answers.
///
/// # Errors
///
/// Returns an error if the socket refuses an option.
pub(crate) fn set_client_options(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(ANSWER_TIMEOUT))
}
