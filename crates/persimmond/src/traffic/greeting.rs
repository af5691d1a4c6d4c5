//! The beginning of a caller's connection.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ntex::codec::Decoder;
use ntex::io::Io;
use ntex::time::timeout;
use ntex::util::{Bytes, BytesMut};
use persimmon_pg::{
    FrameError, Opening, authentication_ok, backend_key, cancel_request, error_response, opening,
    parameter_status, ready, sqlstate, startup_length,
};
use rand::Rng;

use crate::backend::{Backend, BackendError};
use crate::cancel::CancelRegistry;
use crate::traffic::pool::millis;

/// How long a caller may take to say what it wants.
const GREETING_TIMEOUT: Duration = Duration::from_secs(10);

/// How long an instance may take to accept a cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long a refused caller may take to close its end.
const LINGER: Duration = Duration::from_millis(500);

/// The version that callers are told; drivers decide by it which syntax they may use.
const SERVER_VERSION: &str = "16.0 (persimmond)";

/// Splits off the first message of a connection.
#[derive(Clone, Copy, Debug)]
struct StartupCodec;

impl Decoder for StartupCodec {
    type Item = Bytes;
    type Error = FrameError;

    fn decode(&self, src: &mut BytesMut) -> Result<Option<Bytes>, FrameError> {
        Ok(startup_length(src)?.map(|length| src.split_to(length)))
    }
}

/// A caller's parameters, or nothing if its connection has served its purpose.
pub(crate) async fn receive(
    io: &Io,
    cancels: &Arc<CancelRegistry>,
) -> Option<BTreeMap<String, String>> {
    match timeout(millis(GREETING_TIMEOUT), negotiate(io, cancels)).await {
        Ok(parameters) => parameters,
        Err(()) => {
            refuse(io, sqlstate::PROTOCOL_VIOLATION, "no startup message in time").await;
            None
        }
    }
}

async fn negotiate(io: &Io, cancels: &Arc<CancelRegistry>) -> Option<BTreeMap<String, String>> {
    loop {
        let message = match io.recv(&StartupCodec).await {
            Ok(Some(message)) => message,
            Ok(None) => return None,
            Err(err) => {
                if let ntex::util::Either::Left(err) = err {
                    refuse(io, sqlstate::PROTOCOL_VIOLATION, &err.to_string()).await;
                }
                return None;
            }
        };
        match opening(&message) {
            Ok(Opening::Encryption) => {
                io.encode_slice(b"N").ok()?;
            }
            Ok(Opening::Cancel { pid, secret }) => {
                forward_cancel(cancels, (pid, secret)).await;
                return None;
            }
            Ok(Opening::Session { parameters, .. }) => return Some(parameters),
            Err(err) => {
                refuse(io, sqlstate::PROTOCOL_VIOLATION, &err.to_string()).await;
                return None;
            }
        }
    }
}

/// Cancels what a caller runs: wakes it if it waits, and tells the instance if it is there.
async fn forward_cancel(cancels: &Arc<CancelRegistry>, key: (i32, i32)) {
    let Some(handle) = cancels.find(key) else {
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
            // A cancel request has no answer, whether or not it came in time.
            let _ = sent.await;
        }
    }
}

/// Greets a caller and returns the key that cancels its requests.
pub(crate) fn welcome(io: &Io) -> std::io::Result<(i32, i32)> {
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
    out.extend_from_slice(&backend_key(key.0, key.1));
    out.extend_from_slice(&ready(b'I'));
    io.encode_slice(&out)?;
    Ok(key)
}

/// Tells a caller why its connection ends.
pub(crate) async fn refuse(io: &Io, code: &str, message: &str) {
    let error = error_response("FATAL", code, message, "");
    if io.encode_slice(&error).is_err() || io.flush(true).await.is_err() {
        // The caller is gone already.
        return;
    }
    // Closing with unread input would reset the connection and could lose the error; a caller that
    // has read it closes its end.
    let discarded = async {
        while let Ok(Some(())) = io.read_notify().await {
            io.with_read_buf(|buf| buf.clear());
        }
    };
    let _ = timeout(millis(LINGER), discarded).await;
}

/// Whether an error of an instance is worth telling of in the log.
pub(crate) fn is_notable(err: &BackendError) -> bool {
    !matches!(err, BackendError::Broken(_))
}

/// The key of the connection that runs a caller's request.
pub(crate) fn running(backend: &Backend) -> Option<(std::net::SocketAddr, (i32, i32))> {
    Some((backend.address, backend.key))
}
