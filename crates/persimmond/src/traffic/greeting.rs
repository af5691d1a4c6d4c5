//! The startup of a client connection: negotiation, cancel requests and the startup response.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ntex::codec::Decoder;
use ntex::time::timeout;
use ntex::util::{Bytes, BytesMut};
use persimmon_pg::{
    FrameError, StartupPacket, authentication_ok, backend_key_data, cancel_request, error_response,
    parameter_status, parse_startup_packet, ready_for_query, sqlstate, startup_length,
};
use rand::Rng;

use crate::backend::{BackendConnection, BackendError};
use crate::cancel::CancelRegistry;
use crate::traffic::pool::millis;
use crate::traffic::stream::ClientStream;

/// How long a client may take to send its startup message.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);

/// How long an instance may take to accept a cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long a client may take to read its last responses.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a client may take to close its end after a fatal error.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// The server version that clients are told; drivers choose the SQL syntax that they use by it.
const SERVER_VERSION: &str = "16.0 (persimmond)";

/// Splits a startup packet, which has no type byte, off the stream.
#[derive(Clone, Copy, Debug)]
struct StartupCodec;

impl Decoder for StartupCodec {
    type Item = Bytes;
    type Error = FrameError;

    fn decode(&self, src: &mut BytesMut) -> Result<Option<Bytes>, FrameError> {
        Ok(startup_length(src)?.map(|length| src.split_to(length)))
    }
}

/// Returns a client's startup parameters, or `None` if the connection ends here.
pub(crate) async fn receive_startup(
    stream: &ClientStream,
    cancel_registry: &Arc<CancelRegistry>,
) -> Option<BTreeMap<String, String>> {
    match timeout(millis(STARTUP_TIMEOUT), negotiate(stream, cancel_registry)).await {
        Ok(parameters) => parameters,
        Err(()) => {
            send_fatal(stream, sqlstate::PROTOCOL_VIOLATION, "no startup message in time").await;
            None
        }
    }
}

async fn negotiate(
    stream: &ClientStream,
    cancel_registry: &Arc<CancelRegistry>,
) -> Option<BTreeMap<String, String>> {
    loop {
        let packet = match stream.recv(&StartupCodec).await {
            Ok(Some(packet)) => packet,
            Ok(None) => return None,
            Err(err) => {
                if let ntex::util::Either::Left(err) = err {
                    send_fatal(stream, sqlstate::PROTOCOL_VIOLATION, &err.to_string()).await;
                }
                return None;
            }
        };
        match parse_startup_packet(&packet) {
            Ok(StartupPacket::EncryptionRequest) => {
                stream.send(b"N").ok()?;
            }
            Ok(StartupPacket::CancelRequest { pid, secret }) => {
                forward_cancel(cancel_registry, (pid, secret)).await;
                return None;
            }
            Ok(StartupPacket::Startup { parameters, .. }) => return Some(parameters),
            Err(err) => {
                send_fatal(stream, sqlstate::PROTOCOL_VIOLATION, &err.to_string()).await;
                return None;
            }
        }
    }
}

/// Cancels a client's request: wakes it if it waits in this daemon, or forwards the cancel request
/// to the instance that runs it.
async fn forward_cancel(cancel_registry: &Arc<CancelRegistry>, key: (i32, i32)) {
    let Some(handle) = cancel_registry.find(key) else {
        return;
    };
    match handle.running() {
        None => handle.wake.notify_waiters(),
        Some((address, (pid, secret))) => {
            let sent = timeout(millis(CANCEL_TIMEOUT), async move {
                let io = ntex::rt::tcp_connect(address, ntex::SharedCfg::default()).await?;
                io.encode_slice(&cancel_request(pid, secret))?;
                io.flush(true).await
            });
            // The protocol has no answer to a cancel request, so a failure cannot be reported.
            let _ = sent.await;
        }
    }
}

/// Accepts a client's startup and returns the key that cancels its requests.
pub(crate) fn accept_startup(stream: &ClientStream) -> std::io::Result<(i32, i32)> {
    let key = rand::rng().random::<(i32, i32)>();
    let mut out = authentication_ok();
    for (name, value) in [
        ("server_version", SERVER_VERSION),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        out.extend_from_slice(&parameter_status(name, value));
    }
    out.extend_from_slice(&backend_key_data(key.0, key.1));
    out.extend_from_slice(&ready_for_query(b'I'));
    stream.send(&out)?;
    Ok(key)
}

/// Sends what is left of the responses to a client.
pub(crate) async fn flush(stream: &ClientStream) {
    // A client that does not take its responses in time, or has disconnected, loses them.
    let _ = timeout(millis(FLUSH_TIMEOUT), stream.flush()).await;
}

/// Sends the error that ends a client's connection.
pub(crate) async fn send_fatal(stream: &ClientStream, code: &str, message: &str) {
    let error = error_response("FATAL", code, message, "");
    if stream.send(&error).is_err() || stream.flush().await.is_err() {
        // The client has disconnected already.
        return;
    }
    // Closing with unread input would reset the connection and could lose the error; a client
    // that has read the error closes its end.
    let _ = timeout(millis(CLOSE_TIMEOUT), stream.discard_input()).await;
}

/// Whether an error of a connection to an instance is logged; a refused or reset connection is not.
pub(crate) fn should_log(err: &BackendError) -> bool {
    !matches!(err, BackendError::Broken(_))
}

/// The address and key with which a request on a connection is cancelled.
pub(crate) fn cancel_target(
    backend: &BackendConnection,
) -> Option<(std::net::SocketAddr, (i32, i32))> {
    Some((backend.address, backend.key))
}
