//! The answer of an attempt, between the task that writes it and the entries that read it.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use tokio::sync::watch;

use ebonylug_net::frame::{Frame, Head, Tail};
use ebonylug_net::wire::Refused;

/// Bytes of an answer that are retained for a reader that comes back.
const WINDOW_BYTES: u64 = 8 << 20;
/// Bytes that the target may be ahead of the reader, so that a reader that has stopped does not
/// fill the memory.
const AHEAD_BYTES: u64 = 1 << 20;
/// The interval of keep-alive frames, by which an entry tells a slow target from a silent connection.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The answer of one attempt, written by the task that calls the target and read by the entry's
/// connection, or by several in turn when connections break.
#[derive(Debug)]
pub struct ResponseBuffer {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    refused: Option<Refused>,
    head: Option<Head>,
    parts: VecDeque<Bytes>,
    /// Offset of the first retained byte.
    start: u64,
    /// Offset after the last byte.
    end: u64,
    /// Offset up to which readers have taken bytes.
    taken: u64,
    tail: Option<Tail>,
    readers: usize,
    /// Whether a reader has received the end.
    delivered: bool,
    /// Whether the task that writes the answer is gone without having ended it.
    abandoned: bool,
}

/// Held by the task that writes an answer.
///
/// A task that is dropped ends the answer's readers. They would otherwise send keep-alives for an
/// attempt that nobody works on, and the entry would wait for it without end.
#[derive(Debug)]
pub struct WriterGuard(std::sync::Arc<ResponseBuffer>);

impl Drop for WriterGuard {
    fn drop(&mut self) {
        self.0.change(|state| state.abandoned = true);
    }
}

/// The requested part of the answer is no longer retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the requested part of the answer is no longer retained")]
pub struct NotRetained;

enum Next {
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
    /// Creates an answer without content.
    #[must_use]
    pub fn new() -> Self {
        ResponseBuffer {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }

    /// Marks the answer as being written until the guard is dropped.
    #[must_use]
    pub fn writer(self: &std::sync::Arc<Self>) -> WriterGuard {
        WriterGuard(std::sync::Arc::clone(self))
    }

    /// Stores the head.
    pub fn set_head(&self, head: Head) {
        self.change(|state| state.head = Some(head));
    }

    /// Reports whether the head has arrived.
    pub fn has_head(&self) -> bool {
        self.lock().head.is_some()
    }

    /// Adds a part of the body and waits while the readers are too far behind.
    pub async fn push(&self, part: Bytes) {
        self.change(|state| state.push(part));
        let mut changes = self.changed.subscribe();
        while self.lock().is_ahead() {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Ends the answer. A second end has no effect.
    pub fn finish(&self, tail: Tail) {
        self.change(|state| {
            state.tail.get_or_insert(tail);
        });
    }

    /// Ends the answer as not run: the target did not get the request.
    pub fn refuse(&self, refused: Refused) {
        self.change(|state| state.refused = Some(refused));
    }

    /// Returns the number of retained bytes.
    pub fn retained_bytes(&self) -> u64 {
        let state = self.lock();
        state.end - state.start
    }

    /// Returns the frames from byte `offset` of the body.
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
            answer: self,
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

    /// Returns the number of connections that read the answer.
    pub fn reader_count(&self) -> usize {
        self.lock().readers
    }

    /// Reports whether the whole answer was handed to a reader.
    pub fn is_delivered(&self) -> bool {
        self.lock().delivered
    }

    fn change(&self, apply: impl FnOnce(&mut State)) {
        apply(&mut self.lock());
        self.changed.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("answer lock poisoned")
    }
}

impl State {
    fn push(&mut self, part: Bytes) {
        self.end += part.len() as u64;
        self.parts.push_back(part);
        while self.end - self.start > WINDOW_BYTES {
            let Some(first) = self.parts.pop_front() else {
                return;
            };
            self.start += first.len() as u64;
        }
    }

    fn is_ahead(&self) -> bool {
        self.tail.is_none() && self.end - self.taken > AHEAD_BYTES
    }

    /// Returns the retained bytes from `offset` up to the end of the part in which they start.
    ///
    /// Readers are usually near the end, so the search starts there.
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
    answer: std::sync::Arc<ResponseBuffer>,
    changes: watch::Receiver<u64>,
    offset: u64,
    head_sent: bool,
    ended: bool,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.answer.lock().readers -= 1;
    }
}

impl Reader {
    async fn next(&mut self) -> Option<Frame> {
        if self.ended {
            return None;
        }
        loop {
            self.changes.mark_unchanged();
            match self.step() {
                Next::Frame(frame, taken) => {
                    self.offset += taken;
                    return Some(frame);
                }
                Next::Ended => return None,
                Next::Wait => {}
            }
            match tokio::time::timeout(KEEP_ALIVE_INTERVAL, self.changes.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return None,
                Err(_) => return Some(Frame::KeepAlive),
            }
        }
    }

    fn step(&mut self) -> Next {
        let mut state = self.answer.lock();
        if let Some(refused) = state.refused.clone() {
            self.ended = true;
            state.delivered = true;
            return Next::Frame(Frame::NotRun(refused), 0);
        }
        if !self.head_sent
            && let Some(head) = state.head.clone()
        {
            self.head_sent = true;
            return Next::Frame(Frame::Head(head), 0);
        }
        if self.offset < state.start {
            // The reader was overtaken by the window; the entry treats the break as a failure.
            return Next::Ended;
        }
        if let Some(part) = state.part_at(self.offset) {
            let taken = part.len() as u64;
            state.taken = state.taken.max(self.offset + taken);
            drop(state);
            self.answer.changed.send_modify(|count| *count += 1);
            self.changes.mark_unchanged();
            return Next::Frame(Frame::Data(part), taken);
        }
        match state.tail {
            Some(tail) => {
                self.ended = true;
                state.delivered = true;
                Next::Frame(Frame::Tail(tail), 0)
            }
            None if state.abandoned => {
                self.ended = true;
                Next::Ended
            }
            None => Next::Wait,
        }
    }
}
