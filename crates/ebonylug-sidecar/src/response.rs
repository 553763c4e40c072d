//! Buffers the response of an attempt between the task that writes it and the entries that read it.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use tokio::sync::watch;

use ebonylug_net::frame::{Frame, Head, Tail};
use ebonylug_net::wire::RefusalMessage;

/// Bytes of a response that are retained for a reader that reconnects.
const REPLAY_WINDOW_BYTES: u64 = 8 << 20;
/// Bytes by which the target may be ahead of the reader, so that a stalled reader cannot exhaust the
/// memory.
const MAX_UNREAD_BYTES: u64 = 1 << 20;
/// The interval of keep-alive frames, by which an entry distinguishes a slow target from a stalled
/// connection.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The response of one attempt. The task that calls the target writes it; the entry's connection
/// reads it, or several connections in turn if they break.
#[derive(Debug)]
pub struct ResponseBuffer {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    refused: Option<RefusalMessage>,
    head: Option<Head>,
    parts: VecDeque<Bytes>,
    /// Offset of the first retained byte.
    start: u64,
    /// Offset after the last byte.
    end: u64,
    /// Highest offset up to which a reader has received bytes.
    read_end: u64,
    tail: Option<Tail>,
    readers: usize,
    /// Whether a reader has received the final frame.
    delivered: bool,
    /// Whether the writer was dropped.
    abandoned: bool,
}

/// A guard held by the task that writes a response.
///
/// When the task is dropped, the streams of the readers end. They would otherwise send keep-alive
/// frames for an attempt that no longer runs, and the entry would wait forever.
#[derive(Debug)]
pub struct WriterGuard(std::sync::Arc<ResponseBuffer>);

impl Drop for WriterGuard {
    fn drop(&mut self) {
        self.0.change(|state| state.abandoned = true);
    }
}

/// The requested part of a response is no longer retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the requested part of the answer is no longer retained")]
pub struct NotRetained;

enum NextFrame {
    /// A frame, and the number of bytes of the body in it.
    Frame(Frame, u64),
    Wait,
    Ended,
}

impl Default for ResponseBuffer {
    fn default() -> Self {
        Self::new()
    }
}

impl ResponseBuffer {
    /// Creates an empty response.
    #[must_use]
    pub fn new() -> Self {
        ResponseBuffer {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }

    /// Returns the guard of the writer. Dropping it ends the streams of the readers.
    #[must_use]
    pub fn writer(self: &std::sync::Arc<Self>) -> WriterGuard {
        WriterGuard(std::sync::Arc::clone(self))
    }

    /// Stores the status and headers.
    pub fn set_head(&self, head: Head) {
        self.change(|state| state.head = Some(head));
    }

    /// Returns the status and headers, once they are stored.
    pub fn head(&self) -> Option<Head> {
        self.lock().head.clone()
    }

    /// Appends a part of the body, and waits while the readers are too far behind.
    pub async fn push(&self, part: Bytes) {
        self.change(|state| state.push(part));
        let mut changes = self.changed.subscribe();
        while self.lock().is_backlogged() {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Completes the response. Later calls have no effect.
    pub fn finish(&self, tail: Tail) {
        self.change(|state| {
            state.tail.get_or_insert(tail);
        });
    }

    /// Completes the response as not run: the target did not receive the request.
    pub fn refuse(&self, refused: RefusalMessage) {
        self.change(|state| state.refused = Some(refused));
    }

    /// Returns the number of retained bytes of the body.
    pub fn retained_bytes(&self) -> u64 {
        let state = self.lock();
        state.end - state.start
    }

    /// Returns a stream of the frames from byte `offset` of the body.
    ///
    /// # Errors
    ///
    /// Fails if that part is no longer retained.
    pub fn frames(
        self: std::sync::Arc<Self>,
        offset: u64,
    ) -> Result<impl Stream<Item = std::io::Result<Bytes>>, NotRetained> {
        if offset < self.lock().start {
            return Err(NotRetained);
        }
        let changes = self.changed.subscribe();
        self.lock().readers += 1;
        let reader = Reader {
            response: self,
            changes,
            offset,
            head_sent: false,
            ended: false,
        };
        Ok(futures_util::stream::unfold(
            reader,
            |mut reader| async move {
                let frame = reader.next().await?;
                Some((Ok(frame.encode()), reader))
            },
        ))
    }

    /// Returns the number of connections that currently read the response.
    pub fn reader_count(&self) -> usize {
        self.lock().readers
    }

    /// Reports whether a reader has received the response up to its end.
    pub fn is_delivered(&self) -> bool {
        self.lock().delivered
    }

    fn change(&self, apply: impl FnOnce(&mut State)) {
        apply(&mut self.lock());
        self.changed.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("response lock poisoned")
    }
}

impl State {
    fn push(&mut self, part: Bytes) {
        self.end += part.len() as u64;
        self.parts.push_back(part);
        while self.end - self.start > REPLAY_WINDOW_BYTES {
            let Some(first) = self.parts.pop_front() else {
                return;
            };
            self.start += first.len() as u64;
        }
    }

    fn is_backlogged(&self) -> bool {
        self.tail.is_none() && self.end - self.read_end > MAX_UNREAD_BYTES
    }

    /// Returns the retained bytes from `offset` to the end of the part that contains `offset`.
    ///
    /// Searches from the end, since readers are usually close to it.
    fn part_at(&self, offset: u64) -> Option<Bytes> {
        let mut end = self.end;
        let mut found = None;
        for part in self.parts.iter().rev() {
            if offset >= end {
                break;
            }
            let start = end - part.len() as u64;
            found = Some((part, start));
            end = start;
        }
        let (part, start) = found?;
        let skip = offset.saturating_sub(start) as usize;
        Some(part.slice(skip..))
    }
}

struct Reader {
    response: std::sync::Arc<ResponseBuffer>,
    changes: watch::Receiver<u64>,
    offset: u64,
    head_sent: bool,
    ended: bool,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.response.lock().readers -= 1;
    }
}

impl Reader {
    async fn next(&mut self) -> Option<Frame> {
        if self.ended {
            return None;
        }
        loop {
            self.changes.mark_unchanged();
            match self.poll_frame() {
                NextFrame::Frame(frame, length) => {
                    self.offset += length;
                    return Some(frame);
                }
                NextFrame::Ended => return None,
                NextFrame::Wait => {}
            }
            match tokio::time::timeout(KEEP_ALIVE_INTERVAL, self.changes.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return None,
                Err(_) => return Some(Frame::KeepAlive),
            }
        }
    }

    fn poll_frame(&mut self) -> NextFrame {
        let mut state = self.response.lock();
        if let Some(refused) = state.refused.clone() {
            self.ended = true;
            state.delivered = true;
            return NextFrame::Frame(Frame::NotRun(refused), 0);
        }
        if !self.head_sent
            && let Some(head) = state.head.clone()
        {
            self.head_sent = true;
            return NextFrame::Frame(Frame::Head(head), 0);
        }
        if self.offset < state.start {
            // The next bytes have left the window. The entry treats the broken stream as a failure.
            return NextFrame::Ended;
        }
        if let Some(part) = state.part_at(self.offset) {
            let length = part.len() as u64;
            state.read_end = state.read_end.max(self.offset + length);
            drop(state);
            self.response.changed.send_modify(|count| *count += 1);
            self.changes.mark_unchanged();
            return NextFrame::Frame(Frame::Data(part), length);
        }
        match state.tail {
            Some(tail) => {
                self.ended = true;
                state.delivered = true;
                NextFrame::Frame(Frame::Tail(tail), 0)
            }
            None if state.abandoned => {
                self.ended = true;
                NextFrame::Ended
            }
            None => NextFrame::Wait,
        }
    }
}
