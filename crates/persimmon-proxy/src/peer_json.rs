//! Messages between daemons as JSON.
//!
//! Invariant: a message that cannot be read ends its connection, never the process.

use std::io;
use std::marker::PhantomData;
use std::pin::Pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tarpc::tokio_serde::{Deserializer, Serializer};

/// The longest time that a call may take: far above the timeouts of statements, and within the range of
/// the timers of the RPC library, which panics beyond it.
pub(crate) const MAX_CALL_TIME: Duration = Duration::from_secs(24 * 3_600);

/// Reads messages of type `In` and writes those of type `Out`.
#[derive(Debug)]
pub(crate) struct PeerJson<In, Out>(PhantomData<fn(Out) -> In>);

impl<In, Out> Default for PeerJson<In, Out> {
    fn default() -> Self {
        Self(PhantomData)
    }
}

/// The part of a message that is checked before it is read.
#[derive(Deserialize)]
struct MessageHead {
    #[serde(rename = "Request")]
    request: Option<RequestHead>,
}

#[derive(Deserialize)]
struct RequestHead {
    context: ContextHead,
}

#[derive(Deserialize)]
struct ContextHead {
    /// The time left until the deadline.
    deadline: Option<Duration>,
}

impl<In, Out> Deserializer<In> for PeerJson<In, Out>
where
    In: for<'de> Deserialize<'de>,
{
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, src: &BytesMut) -> io::Result<In> {
        let head: MessageHead = serde_json::from_slice(src)?;
        let left = head.request.and_then(|request| request.context.deadline);
        if left.is_some_and(|left| left > MAX_CALL_TIME) {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "the deadline is too far"));
        }
        Ok(serde_json::from_slice(src)?)
    }
}

impl<In, Out> Serializer<Out> for PeerJson<In, Out>
where
    Out: Serialize,
{
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &Out) -> io::Result<Bytes> {
        Ok(serde_json::to_vec(item)?.into())
    }
}
