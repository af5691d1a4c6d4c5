//! Sockets that notice a silent peer: bytes that stay unacknowledged, or questions without an
//! answer, break the connection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::io::Io;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How long bytes may stay without an acknowledgement before the connection counts as broken.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_500);

/// How long a connection may rest before its peer is asked for a sign of life, so that a connection
/// that went silent is found before a caller meets it.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// The pause between two questions.
const KEEPALIVE_PAUSE: Duration = Duration::from_millis(1_000);

/// How many questions may stay without an answer.
const KEEPALIVE_RETRIES: u32 = 2;

/// Connects within `limit`.
///
/// # Errors
///
/// Returns an error if nobody accepts the connection in time.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Io> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(limit, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    adopt(stream, true)
}

/// Makes a connection of this thread's; `is_watched` asks a resting peer for signs of life.
///
/// # Errors
///
/// Returns an error if the socket refuses an option.
pub(crate) fn adopt(stream: TcpStream, is_watched: bool) -> io::Result<Io> {
    let socket = SockRef::from(&stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    if is_watched {
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE)
            .with_interval(KEEPALIVE_PAUSE)
            .with_retries(KEEPALIVE_RETRIES);
        socket.set_tcp_keepalive(&keepalive)?;
    }
    ntex::rt::from_tcp_stream(stream.into_std()?, SharedCfg::default())
}
