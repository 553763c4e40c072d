use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use tokio::sync::mpsc;

use ebonylug_core::Refusal;
use ebonylug_events::Stamp;
use ebonylug_net::frame::Head;

/// Bound on a plain answer that is held back until it is whole, in bytes.
const MAX_BUFFERED_BYTES: usize = 8 << 20;

/// A part of the answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponsePart {
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
pub struct Disconnected;

/// The caller's side of a request: where the parts of its answer go.
///
/// A streamed answer is passed on as it arrives, so that the next attempt after a preemption
/// continues it. A plain answer cannot be continued: it is held back until it is whole, and dropped
/// when its attempt is preempted.
#[derive(Debug)]
pub struct Sink {
    sender: mpsc::Sender<ResponsePart>,
    write_timeout: Duration,
    buffered: Option<BufferedResponse>,
    head_sent: bool,
    disconnected: bool,
    buffer_only: bool,
    progress: Progress,
}

/// How the present attempt progresses.
#[derive(Debug, Default)]
struct Progress {
    started: Option<Instant>,
    first_part: Option<Instant>,
    part_count: u32,
    output_tokens: u64,
    status: u16,
    stamp: Stamp,
}

#[derive(Debug, Default)]
struct BufferedResponse {
    head: Option<Head>,
    body: BytesMut,
}

impl Sink {
    /// Creates a sink; plain answers are held back until they are whole.
    ///
    /// A caller that takes no part for the time `write_timeout` counts as having hung up, so that it does not
    /// occupy its target.
    pub fn new(
        sender: mpsc::Sender<ResponsePart>,
        streamed: bool,
        write_timeout: Duration,
    ) -> Self {
        Sink {
            sender,
            write_timeout,
            buffered: (!streamed).then(BufferedResponse::default),
            head_sent: false,
            disconnected: false,
            buffer_only: false,
            progress: Progress::default(),
        }
    }

    /// Creates a sink that holds a whole plain answer back for [`into_buffered`](Self::into_buffered).
    pub fn buffering() -> Self {
        // Nothing is sent while the answer is held back, so nobody needs to receive.
        let (sender, _) = mpsc::channel(1);
        Sink {
            buffer_only: true,
            ..Sink::new(sender, false, Duration::ZERO)
        }
    }

    /// Returns the head and body of an answer that is held back.
    pub fn into_buffered(self) -> Option<(Head, Bytes)> {
        let buffered = self.buffered?;
        Some((buffered.head?, buffered.body.freeze()))
    }

    /// Starts the clock of an attempt.
    pub fn start_attempt(&mut self, now: Instant) {
        self.progress = Progress {
            started: Some(now),
            ..Progress::default()
        };
    }

    /// Returns the time to the first part of the present attempt's answer.
    pub fn ttft(&self) -> Option<Duration> {
        Some(self.progress.first_part? - self.progress.started?)
    }

    /// Returns the mean time between the parts of a streamed answer that ended `now`.
    pub fn token_interval(&self, now: Instant) -> Option<Duration> {
        let first = self.progress.first_part?;
        let gaps = self
            .progress
            .part_count
            .checked_sub(1)
            .filter(|gaps| *gaps > 0)?;
        Some((now - first) / gaps)
    }

    /// Notes the logical time of the sidecar's last message.
    pub fn record_stamp(&mut self, stamp: Stamp) {
        self.progress.stamp = stamp;
    }

    /// Returns the logical time of the sidecar's last message.
    pub fn stamp(&self) -> Stamp {
        self.progress.stamp
    }

    /// Notes the output tokens that the request has delivered, with earlier attempts.
    pub fn set_output_tokens(&mut self, tokens: u64) {
        self.progress.output_tokens = tokens;
    }

    /// Returns the output tokens of the whole answer, if they are known. A plain answer of a model
    /// states them itself.
    pub fn output_tokens(&self) -> Option<u64> {
        #[derive(Deserialize)]
        struct Completion {
            usage: Usage,
        }
        #[derive(Deserialize)]
        struct Usage {
            completion_tokens: u64,
        }
        if self.progress.output_tokens > 0 {
            return Some(self.progress.output_tokens);
        }
        let completion: Completion = serde_json::from_slice(&self.buffered.as_ref()?.body).ok()?;
        Some(completion.usage.completion_tokens)
    }

    /// Reports whether the target answered with a server error.
    pub fn is_server_error(&self) -> bool {
        self.progress.status >= 500
    }

    /// Passes on the head. The head of a resumed answer is dropped.
    pub async fn send_head(&mut self, head: Head) -> Result<(), Disconnected> {
        self.progress.status = head.status;
        if self.head_sent {
            return Ok(());
        }
        if let Some(buffered) = &mut self.buffered {
            buffered.head = Some(head);
            return Ok(());
        }
        self.head_sent = true;
        self.send(ResponsePart::Head(head)).await
    }

    /// Passes on a part of the body.
    pub async fn send_data(&mut self, now: Instant, data: Bytes) -> Result<(), Disconnected> {
        self.progress.first_part.get_or_insert(now);
        self.progress.part_count += 1;
        let Some(buffered) = &mut self.buffered else {
            return self.send(ResponsePart::Data(data)).await;
        };
        buffered.body.extend_from_slice(&data);
        match buffered.body.len() > MAX_BUFFERED_BYTES {
            true if self.buffer_only => Err(Disconnected),
            true => self.flush().await,
            false => Ok(()),
        }
    }

    /// Drops what was held back of an attempt that was stopped.
    ///
    /// Returns false if a part of a plain answer has been passed on, so that another attempt cannot
    /// give the whole answer.
    pub fn reset(&mut self, streamed: bool) -> bool {
        match &mut self.buffered {
            Some(buffered) => {
                *buffered = BufferedResponse::default();
                true
            }
            None => streamed,
        }
    }

    /// Ends the answer.
    pub async fn finish(&mut self, end: ResponsePart) {
        if end == ResponsePart::End && self.flush().await.is_err() {
            return;
        }
        let _ = self.send(end).await;
    }

    /// Reports whether the caller has hung up.
    pub fn is_closed(&self) -> bool {
        self.disconnected || (!self.buffer_only && self.sender.is_closed())
    }

    async fn flush(&mut self) -> Result<(), Disconnected> {
        let Some(buffered) = self.buffered.take() else {
            return Ok(());
        };
        if let Some(head) = buffered.head {
            self.head_sent = true;
            self.send(ResponsePart::Head(head)).await?;
        }
        self.send(ResponsePart::Data(buffered.body.freeze())).await
    }

    async fn send(&mut self, part: ResponsePart) -> Result<(), Disconnected> {
        match tokio::time::timeout(self.write_timeout, self.sender.send(part)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => {
                self.disconnected = true;
                Err(Disconnected)
            }
        }
    }
}
