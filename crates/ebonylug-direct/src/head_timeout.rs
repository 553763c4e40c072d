//! Limits the time that a caller may take to send the head of a request.
//!
//! hyper's own timeout starts with the connection or the last response, so it also closes idle
//! connections. This one starts with the first byte of a head.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// Tracks whether a connection is in the middle of a head.
#[derive(Debug, Default)]
pub(crate) struct HeadState {
    /// When the first byte of an incomplete head arrived.
    started: Cell<Option<Instant>>,
    /// Whether a request is being served.
    serving: Cell<bool>,
}

impl HeadState {
    /// Marks the head as complete. Bytes that arrive while the request is served do not start a new head.
    pub(crate) fn mark_complete(&self) {
        self.started.set(None);
        self.serving.set(true);
    }

    /// Marks the request as served, so that the next byte starts a new head.
    pub(crate) fn mark_served(&self) {
        self.serving.set(false);
    }
}

/// A caller's connection whose reads fail with a timeout if a head takes too long.
pub(crate) struct HeadTimeoutStream {
    stream: TcpStream,
    head: Rc<HeadState>,
    /// Returns the time limit for a head, which changes with the configuration.
    limit: Box<dyn Fn() -> Option<Duration>>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl HeadTimeoutStream {
    pub(crate) fn new(
        stream: TcpStream,
        head: Rc<HeadState>,
        limit: impl Fn() -> Option<Duration> + 'static,
    ) -> Self {
        HeadTimeoutStream {
            stream,
            head,
            limit: Box::new(limit),
            timer: None,
        }
    }

    /// Reports whether an incomplete head has exceeded its time limit. If not, registers a wake-up for
    /// when it does.
    fn is_expired(&mut self, cx: &mut Context<'_>) -> bool {
        let Some(started) = self.head.started.get() else {
            self.timer = None;
            return false;
        };
        let Some(limit) = (self.limit)() else {
            return false;
        };
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(started + limit)));
        timer.as_mut().poll(cx).is_ready()
    }
}

impl AsyncRead for HeadTimeoutStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let read = Pin::new(&mut this.stream).poll_read(cx, buffer);
        if read.is_pending() && this.is_expired(cx) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let starts_head = buffer.filled().len() > before && !this.head.serving.get();
        if starts_head && this.head.started.get().is_none() {
            this.head.started.set(Some(Instant::now()));
            this.timer = None;
        }
        read
    }
}

impl AsyncWrite for HeadTimeoutStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
