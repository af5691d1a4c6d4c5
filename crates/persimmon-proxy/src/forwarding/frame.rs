//! Frames between daemons, and the memory that large ones occupy.
//!
//! Invariants:
//!
//! - Large frames are received only as far as all connections together have room for them; small
//!   ones never wait for large ones of other connections.
//! - A connection does not keep the memory of a large frame.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tarpc::tokio_serde;
use tarpc::tokio_util::codec::{Decoder, Encoder, Framed, LengthDelimitedCodec};
use tarpc::tokio_util::sync::PollSemaphore;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Sleep;

use crate::peer_json::PeerJson;
use crate::socket;

/// Maximum message size in bytes: a client's message and its answer, each at most 1 MiB, with what
/// JSON adds to escape them.
const FRAME_LIMIT: usize = 4 << 20;

/// Length of the number before each frame, in bytes.
const HEAD_BYTES: usize = 4;

/// Frames up to this size are received without waiting for room, in bytes.
const SMALL_FRAME: usize = 64 << 10;

/// The unit in which room for frames is counted, in bytes.
const UNIT: usize = 1 << 10;

/// How long a daemon may take to send the rest of a large frame. A statement's deadline is over by
/// then.
const FRAME_TIMEOUT: Duration = Duration::from_secs(5);

/// Room for the large frames that all connections receive.
#[derive(Clone, Debug)]
pub(crate) struct FrameRoom {
    units: usize,
    semaphore: Arc<Semaphore>,
}

impl FrameRoom {
    /// Creates room for `bytes`.
    pub(crate) fn new(bytes: usize) -> Self {
        let units = (bytes / UNIT).clamp(1, Semaphore::MAX_PERMITS);
        Self { units, semaphore: Arc::new(Semaphore::new(units)) }
    }
}

/// The frame that a connection receives.
#[derive(Debug, Default)]
struct Incoming {
    /// Its length in bytes, once it is known; 0 between frames.
    length: Cell<usize>,
    /// The room that it has, until it is complete.
    permit: RefCell<Option<OwnedSemaphorePermit>>,
}

/// Splits a connection into frames.
#[derive(Debug)]
pub(crate) struct FrameCodec {
    inner: LengthDelimitedCodec,
    incoming: Rc<Incoming>,
    has_sent_large: bool,
}

impl Decoder for FrameCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        if self.incoming.length.get() == 0
            && let Some(head) = src.first_chunk::<HEAD_BYTES>()
        {
            let length = usize::try_from(u32::from_be_bytes(*head)).unwrap_or(usize::MAX);
            self.incoming.length.set(length);
        }
        let decoded = self.inner.decode(src)?;
        if decoded.is_some() {
            if self.incoming.length.replace(0) > SMALL_FRAME {
                // The rest would keep the buffer of the large frame.
                *src = BytesMut::from(&src[..]);
            }
            self.incoming.permit.take();
        }
        Ok(decoded)
    }
}

impl Encoder<Bytes> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, item: Bytes, dst: &mut BytesMut) -> io::Result<()> {
        if self.has_sent_large && dst.is_empty() {
            // The empty buffer would keep its size.
            *dst = BytesMut::new();
            self.has_sent_large = false;
        }
        self.has_sent_large |= item.len() > SMALL_FRAME;
        self.inner.encode(item, dst)
    }
}

/// A connection that receives large frames only as far as there is room.
#[derive(Debug)]
pub(crate) struct FrameStream {
    stream: TcpStream,
    incoming: Rc<Incoming>,
    /// `None` where frames are received from a daemon that this one chose.
    room: Option<(usize, PollSemaphore)>,
    timeout: Option<Pin<Box<Sleep>>>,
}

impl FrameStream {
    /// Waits until the frame that is being received has room.
    fn poll_room(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some((units, semaphore)) = &mut self.room else {
            return Poll::Ready(Ok(()));
        };
        let length = self.incoming.length.get();
        if length <= SMALL_FRAME {
            self.timeout = None;
            return Poll::Ready(Ok(()));
        }
        if self.incoming.permit.borrow().is_none() {
            let wanted = length.div_ceil(UNIT).min(*units);
            let wanted = u32::try_from(wanted).unwrap_or(u32::MAX);
            let Poll::Ready(permit) = semaphore.poll_acquire_many(cx, wanted) else {
                return Poll::Pending;
            };
            self.incoming.permit.replace(permit);
            self.timeout = Some(Box::pin(tokio::time::sleep(FRAME_TIMEOUT)));
        }
        if self.timeout.as_mut().is_some_and(|timeout| timeout.as_mut().poll(cx).is_ready()) {
            tracing::info!(length, "a daemon took too long to send a message");
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for FrameStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.poll_room(cx) {
            Poll::Ready(Ok(())) => Pin::new(&mut self.stream).poll_read(cx, buf),
            other => other,
        }
    }
}

impl AsyncWrite for FrameStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A connection between two daemons, framed for messages in each direction.
pub(crate) type FramedConnection<In, Out> =
    tokio_serde::Framed<Framed<FrameStream, FrameCodec>, In, Out, PeerJson<In, Out>>;

/// Frames a connection for messages; with `room`, large ones are received as far as there is room.
///
/// # Errors
///
/// Returns an error if the socket refuses an option.
pub(crate) fn frame<In, Out>(
    stream: TcpStream,
    room: Option<&FrameRoom>,
) -> io::Result<FramedConnection<In, Out>>
where
    In: for<'de> Deserialize<'de>,
    Out: Serialize,
{
    socket::set_options(&stream)?;
    let inner = LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT).new_codec();
    let incoming = Rc::new(Incoming::default());
    let codec = FrameCodec { inner, incoming: Rc::clone(&incoming), has_sent_large: false };
    let room = room.map(|room| (room.units, PollSemaphore::new(Arc::clone(&room.semaphore))));
    let stream = FrameStream { stream, incoming, room, timeout: None };
    Ok(tokio_serde::Framed::new(Framed::new(stream, codec), PeerJson::default()))
}
