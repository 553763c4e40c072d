//! Bounds the time that a caller may take to send the head of a request.
//!
//! hyper's own bound begins with the connection or the last answer, so that it also ends connections that are
//! idle. This one begins with the first byte of a head.

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

/// Whether a connection is in the middle of a head.
#[derive(Debug, Default)]
pub(crate) struct Head {
    /// When the first byte of a head that is not whole came.
    begun: Cell<Option<Instant>>,
    /// Whether a request is being served.
    serving: Cell<bool>,
}

impl Head {
    /// Notes that a head is whole. Bytes that come while the request is served are no head.
    pub(crate) fn whole(&self) {
        self.begun.set(None);
        self.serving.set(true);
    }

    /// Notes that the request was served.
    pub(crate) fn served(&self) {
        self.serving.set(false);
    }
}

/// A connection of a caller that fails when a head takes too long.
pub(crate) struct Watched {
    stream: TcpStream,
    head: Rc<Head>,
    /// The longest time for a head; it changes with the configuration.
    limit: Box<dyn Fn() -> Option<Duration>>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl Watched {
    pub(crate) fn new(
        stream: TcpStream,
        head: Rc<Head>,
        limit: impl Fn() -> Option<Duration> + 'static,
    ) -> Self {
        Watched {
            stream,
            head,
            limit: Box::new(limit),
            timer: None,
        }
    }

    /// Reports whether a head that is not whole has taken too long, or arranges to be woken when it has.
    fn is_late(&mut self, cx: &mut Context<'_>) -> bool {
        let Some(begun) = self.head.begun.get() else {
            self.timer = None;
            return false;
        };
        let Some(limit) = (self.limit)() else {
            return false;
        };
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(begun + limit)));
        timer.as_mut().poll(cx).is_ready()
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let read = Pin::new(&mut this.stream).poll_read(cx, buffer);
        if read.is_pending() && this.is_late(cx) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let begins = buffer.filled().len() > before && !this.head.serving.get();
        if begins && this.head.begun.get().is_none() {
            this.head.begun.set(Some(Instant::now()));
            this.timer = None;
        }
        read
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
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
}
