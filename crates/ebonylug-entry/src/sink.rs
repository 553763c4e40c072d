use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use tokio::sync::mpsc;

use ebonylug_core::Refusal;
use ebonylug_events::Stamp;
use ebonylug_net::frame::Head;

/// Bound on a plain answer that is held back until it is whole, in bytes.
const MAX_HELD_BYTES: usize = 8 << 20;

/// A part of the answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// The head of the target's answer.
    Head(Head),
    /// A part of the body.
    Data(Bytes),
    /// The answer is whole.
    End,
    /// The request was not run.
    Refused(Refusal),
    /// The target ran the request and gave no whole answer.
    Failed,
    /// It is not known whether the request was run.
    Unknown,
    /// The idempotency key was used with other content; this content was not run.
    Mismatch,
}

/// The caller has hung up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the caller has hung up")]
pub struct HungUp;

/// The caller's side of a request: where the parts of its answer go.
///
/// A streamed answer is passed on as it arrives, so that the next attempt after a preemption
/// continues it. A plain answer cannot be continued: it is held back until it is whole, and dropped
/// when its attempt is preempted.
#[derive(Debug)]
pub struct Sink {
    parts: mpsc::Sender<Part>,
    stall: Duration,
    held: Option<Held>,
    head_sent: bool,
    hung_up: bool,
    collecting: bool,
    progress: Progress,
}

/// How the present attempt progresses.
#[derive(Debug, Default)]
struct Progress {
    began: Option<Instant>,
    first: Option<Instant>,
    parts: u32,
    tokens: u64,
    status: u16,
    stamp: Stamp,
}

#[derive(Debug, Default)]
struct Held {
    head: Option<Head>,
    body: BytesMut,
}

impl Sink {
    /// Creates a sink; plain answers are held back until they are whole.
    ///
    /// A caller that takes no part for the time `stall` counts as having hung up, so that it does not
    /// occupy its target.
    pub fn new(parts: mpsc::Sender<Part>, streamed: bool, stall: Duration) -> Self {
        Sink {
            parts,
            stall,
            held: (!streamed).then(Held::default),
            head_sent: false,
            hung_up: false,
            collecting: false,
            progress: Progress::default(),
        }
    }

    /// Creates a sink that holds a whole plain answer back for [`into_held`](Self::into_held).
    pub fn collecting() -> Self {
        // Nothing is sent while the answer is held back, so nobody needs to receive.
        let (parts, _) = mpsc::channel(1);
        Sink {
            collecting: true,
            ..Sink::new(parts, false, Duration::ZERO)
        }
    }

    /// Returns the head and body of an answer that is held back.
    pub fn into_held(self) -> Option<(Head, Bytes)> {
        let held = self.held?;
        Some((held.head?, held.body.freeze()))
    }

    /// Starts the clock of an attempt.
    pub fn begin(&mut self, now: Instant) {
        self.progress = Progress {
            began: Some(now),
            ..Progress::default()
        };
    }

    /// Returns the time to the first part of the present attempt's answer.
    pub fn first(&self) -> Option<Duration> {
        Some(self.progress.first? - self.progress.began?)
    }

    /// Returns the mean time between the parts of a streamed answer that ended `now`.
    pub fn pace(&self, now: Instant) -> Option<Duration> {
        let first = self.progress.first?;
        let gaps = self
            .progress
            .parts
            .checked_sub(1)
            .filter(|gaps| *gaps > 0)?;
        Some((now - first) / gaps)
    }

    /// Notes the logical time of the sidecar's last message.
    pub fn observe(&mut self, stamp: Stamp) {
        self.progress.stamp = stamp;
    }

    /// Returns the logical time of the sidecar's last message.
    pub fn stamp(&self) -> Stamp {
        self.progress.stamp
    }

    /// Notes the output tokens that the request has delivered, with earlier attempts.
    pub fn count(&mut self, tokens: u64) {
        self.progress.tokens = tokens;
    }

    /// Returns the output tokens of the whole answer, if they are known. A plain answer of a model
    /// states them itself.
    pub fn output(&self) -> Option<u64> {
        #[derive(Deserialize)]
        struct Plain {
            usage: Usage,
        }
        #[derive(Deserialize)]
        struct Usage {
            completion_tokens: u64,
        }
        if self.progress.tokens > 0 {
            return Some(self.progress.tokens);
        }
        let plain: Plain = serde_json::from_slice(&self.held.as_ref()?.body).ok()?;
        Some(plain.usage.completion_tokens)
    }

    /// Reports whether the target answered with a server error.
    pub fn is_server_error(&self) -> bool {
        self.progress.status >= 500
    }

    /// Passes on the head. The head of a resumed answer is dropped.
    pub async fn head(&mut self, head: Head) -> Result<(), HungUp> {
        self.progress.status = head.status;
        if self.head_sent {
            return Ok(());
        }
        if let Some(held) = &mut self.held {
            held.head = Some(head);
            return Ok(());
        }
        self.head_sent = true;
        self.send(Part::Head(head)).await
    }

    /// Passes on a part of the body.
    pub async fn data(&mut self, now: Instant, data: Bytes) -> Result<(), HungUp> {
        self.progress.first.get_or_insert(now);
        self.progress.parts += 1;
        let Some(held) = &mut self.held else {
            return self.send(Part::Data(data)).await;
        };
        held.body.extend_from_slice(&data);
        match held.body.len() > MAX_HELD_BYTES {
            true if self.collecting => Err(HungUp),
            true => self.release().await,
            false => Ok(()),
        }
    }

    /// Drops what was held back of an attempt that was stopped.
    ///
    /// Returns false if a part of a plain answer has been passed on, so that another attempt cannot
    /// give the whole answer.
    pub fn reset(&mut self, streamed: bool) -> bool {
        match &mut self.held {
            Some(held) => {
                *held = Held::default();
                true
            }
            None => streamed,
        }
    }

    /// Ends the answer.
    pub async fn finish(&mut self, end: Part) {
        if end == Part::End && self.release().await.is_err() {
            return;
        }
        let _ = self.send(end).await;
    }

    /// Reports whether the caller has hung up.
    pub fn is_closed(&self) -> bool {
        self.hung_up || (!self.collecting && self.parts.is_closed())
    }

    async fn release(&mut self) -> Result<(), HungUp> {
        let Some(held) = self.held.take() else {
            return Ok(());
        };
        if let Some(head) = held.head {
            self.head_sent = true;
            self.send(Part::Head(head)).await?;
        }
        self.send(Part::Data(held.body.freeze())).await
    }

    async fn send(&mut self, part: Part) -> Result<(), HungUp> {
        match tokio::time::timeout(self.stall, self.parts.send(part)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => {
                self.hung_up = true;
                Err(HungUp)
            }
        }
    }
}
