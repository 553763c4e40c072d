//! Limits on what is read from targets.
//!
//! A faulty target may send bytes without end, in a head, a body or a stream of events. Each part of a
//! response therefore has a maximum size. Together, bodies of unknown length that are being read have a
//! limit as well, since many requests may read from faulty targets at the same time. The first bytes of
//! each body are exempt from it, so that short responses of other targets still arrive. The sum of all
//! bodies is limited by [`crate::memory`].
//!
//! A response that exceeds a limit may have run. Its connection is closed and its target counts as
//! broken.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::memory::{BodyKind, MemoryBudget, MemoryLimit, MemoryShare};

/// Limits on the responses of targets, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseLimits {
    /// The head of a response, with all informational heads before it.
    pub head: usize,
    /// The body of a response that is not a stream.
    pub body: usize,
    /// One event of a stream, and the bytes between two events.
    pub event: usize,
    /// All bodies of unknown length that are being read at the same time, apart from the first
    /// [`ResponseLimits::EXEMPT`] bytes of each. It is also the part of the memory that is kept for answers.
    pub memory: usize,
}

impl ResponseLimits {
    /// Bytes of each body that are read whatever else is in memory.
    pub const EXEMPT: usize = 16 << 10;
}

impl Default for ResponseLimits {
    fn default() -> Self {
        ResponseLimits {
            head: 16 << 10,
            body: 8 << 20,
            event: 16 << 10,
            memory: 16 << 20,
        }
    }
}

/// The limit that a response exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Exceeded {
    #[error("the body is larger than {0} bytes")]
    Body(usize),
    #[error("the bodies of all responses are larger than {0} bytes")]
    Memory(usize),
}

/// The result of adding bytes to a body.
pub(crate) type Result<T, E = Exceeded> = std::result::Result<T, E>;

/// A body that is being read. Its bytes count towards the memory limit until it is dropped.
pub(crate) struct BodyBuffer {
    bytes: Vec<u8>,
    limits: ResponseLimits,
    /// Whether the head announced the length. Such a body cannot be endless, so it waits for memory.
    is_sized: bool,
    budget: Arc<MemoryBudget>,
    share: MemoryShare,
    counted: usize,
}

impl BodyBuffer {
    /// Creates an empty body whose head announced this length, if any.
    ///
    /// # Errors
    ///
    /// Returns an error if the announced length exceeds the limit on a body.
    pub(crate) fn new(
        limits: ResponseLimits,
        length: Option<usize>,
        budget: &Arc<MemoryBudget>,
    ) -> Result<Self> {
        if length.is_some_and(|length| length > limits.body) {
            return Err(Exceeded::Body(limits.body));
        }
        let kind = match length {
            Some(_) => BodyKind::Answer,
            None => BodyKind::UnsizedAnswer,
        };
        // The pages of the reserved capacity take memory only once they are written to.
        Ok(BodyBuffer {
            bytes: Vec::with_capacity(length.unwrap_or(0)),
            limits,
            is_sized: length.is_some(),
            budget: Arc::clone(budget),
            share: budget.share(kind),
            counted: 0,
        })
    }

    /// Adds a part of the body, and waits until there is memory for it.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is larger than allowed, or if all bodies of unknown length are.
    pub(crate) async fn push(
        &mut self,
        part: &[u8],
        limit: impl Fn() -> MemoryLimit,
    ) -> Result<()> {
        let size = self.bytes.len() + part.len();
        if size > self.limits.body {
            return Err(Exceeded::Body(self.limits.body));
        }
        let mut capacity = self.bytes.capacity();
        if size > capacity {
            capacity = size + size / 4;
        }
        let counted = if self.is_sized {
            size
        } else {
            capacity.saturating_sub(ResponseLimits::EXEMPT)
        };
        let added = counted - self.counted;
        let total = self.budget.bodies().unsized_answers + added;
        if !self.is_sized && counted > 0 && total > self.limits.memory {
            return Err(Exceeded::Memory(self.limits.memory));
        }
        self.share.grow(added, limit).await;
        self.counted = counted;
        // A vector that grows by itself takes up to twice as much as it counts for.
        self.bytes.reserve_exact(capacity - self.bytes.len());
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    /// Reports whether the body waits for memory rather than for its target.
    pub(crate) fn is_blocked(&self) -> bool {
        self.share.is_blocked()
    }

    /// Returns the complete body. It counts towards the memory limit until its last clone is dropped, which
    /// the HTTP library does when it has written it.
    pub(crate) fn into_bytes(self) -> Bytes {
        let BodyBuffer {
            bytes, mut share, ..
        } = self;
        share.complete(bytes.capacity());
        Bytes::from_owner(HeldBody {
            bytes,
            _share: share,
        })
    }
}

/// A complete body with its share of the memory.
struct HeldBody {
    bytes: Vec<u8>,
    _share: MemoryShare,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// What the connection to a target tells about the exchange of a request and its response.
#[derive(Clone, Debug, Default)]
pub(crate) struct ExchangeState(Rc<Exchange>);

#[derive(Debug, Default)]
struct Exchange {
    /// The bytes that may still be read before the head of the response is complete, if they are limited.
    allowance: Cell<Option<usize>>,
    /// Whether the whole request was written to the socket.
    is_written: Cell<bool>,
    has_unflushed: Cell<bool>,
    /// Whether the target has ended its side.
    is_ended: Cell<bool>,
    has_failed: Cell<bool>,
}

impl ExchangeState {
    /// Starts an exchange, with a limit on the bytes until the head of the response is complete.
    pub(crate) fn start(&self, max_head: usize) {
        self.0.allowance.set(Some(max_head));
        self.0.is_written.set(false);
    }

    /// Ends the limit, since the head is complete.
    pub(crate) fn finish_head(&self) {
        self.0.allowance.set(None);
    }

    /// Reports whether a head was larger than the limit.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.0.allowance.get() == Some(0)
    }

    /// Reports whether the target took the whole request and then ended the connection without an error. Only
    /// then is a response complete whose head does not tell where it ends.
    pub(crate) fn is_complete(&self) -> bool {
        self.0.is_written.get() && self.0.is_ended.get() && !self.0.has_failed.get()
    }
}

/// A connection to a target whose reads fail if a head is too large, and which records how it ends. hyper limits
/// the size of one head, but not the number of informational heads before it. It reports the end of a body
/// without a length in the same way whether the connection was closed or a write has failed.
#[derive(Debug)]
pub(crate) struct LimitedStream {
    stream: TcpStream,
    state: ExchangeState,
}

impl LimitedStream {
    pub(crate) fn new(stream: TcpStream, state: ExchangeState) -> Self {
        LimitedStream { stream, state }
    }

    fn record_write(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let exchange = &self.state.0;
        match &result {
            Poll::Ready(Ok(_)) => exchange.has_unflushed.set(true),
            Poll::Ready(Err(_)) => exchange.has_failed.set(true),
            Poll::Pending => {}
        }
        result
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.state.is_exceeded() {
            return Poll::Ready(Err(io::Error::other(
                "the head of the response is too large",
            )));
        }
        let before = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        let read = Pin::new(&mut this.stream).poll_read(cx, buffer);
        let count = buffer.filled().len() - before;
        let exchange = &this.state.0;
        match &read {
            Poll::Ready(Ok(())) if count == 0 && has_room => exchange.is_ended.set(true),
            Poll::Ready(Err(_)) => exchange.has_failed.set(true),
            Poll::Ready(Ok(())) | Poll::Pending => {}
        }
        if let Some(left) = exchange.allowance.get() {
            exchange.allowance.set(Some(left.saturating_sub(count)));
        }
        read
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write(cx, bytes);
        this.record_write(result)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write_vectored(cx, bytes);
        this.record_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    // hyper flushes the stream when it has written all that it holds of a request.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.state.0.has_unflushed.replace(false) {
            this.state.0.is_written.set(true);
        }
        Pin::new(&mut this.stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
