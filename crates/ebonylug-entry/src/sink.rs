//! Forwards the parts of a response to its caller.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use tokio::sync::mpsc;

use ebonylug_core::Refusal;
use ebonylug_events::Stamp;
use ebonylug_net::frame::Head;
use ebonylug_net::wire;

/// Maximum size of a buffered response body. A larger one is forwarded as it arrives, or fails if
/// the sink only buffers.
const MAX_BUFFERED_BYTES: usize = 8 << 20;

/// A part of the response to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponsePart {
    /// The status and headers of the target's response.
    Head(Head),
    /// A chunk of the body.
    Data(Bytes),
    /// The response is complete.
    End,
    /// The request was not run.
    Refused(Refusal),
    /// The target ran the request and did not return a complete response.
    Failed,
    /// Whether the request ran is unknown.
    Unknown,
    /// The idempotency key was used with different content; this request was not run.
    Mismatch,
}

/// The caller disconnected or stopped reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the caller disconnected or stopped reading")]
pub struct Disconnected;

/// Forwards the parts of a response to the caller.
///
/// A streamed response is forwarded as it arrives, and the next attempt after a preemption
/// continues it. A plain response cannot be continued, so it is buffered until it is complete, and
/// discarded when its attempt is preempted.
#[derive(Debug)]
pub struct Sink {
    sender: mpsc::Sender<ResponsePart>,
    write_timeout: Duration,
    buffered: Option<BufferedResponse>,
    /// The head that the caller has.
    sent_head: Option<Head>,
    /// Whether the current attempt returns something else than the rest of the stream.
    mismatched: bool,
    disconnected: bool,
    buffer_only: bool,
    progress: Progress,
}

/// The progress of the current attempt.
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
    /// Creates a sink. Plain responses are buffered until they are complete.
    ///
    /// A caller that accepts no part within `write_timeout` counts as disconnected, so that it does
    /// not occupy its target.
    pub fn new(
        sender: mpsc::Sender<ResponsePart>,
        streamed: bool,
        write_timeout: Duration,
    ) -> Self {
        Sink {
            sender,
            write_timeout,
            buffered: (!streamed).then(BufferedResponse::default),
            sent_head: None,
            mismatched: false,
            disconnected: false,
            buffer_only: false,
            progress: Progress::default(),
        }
    }

    /// Creates a sink that buffers a complete plain response for
    /// [`into_buffered`](Self::into_buffered).
    pub fn buffering() -> Self {
        // Nothing is sent while the response is buffered, so the receiver can be dropped.
        let (sender, _) = mpsc::channel(1);
        Sink {
            buffer_only: true,
            ..Sink::new(sender, false, Duration::ZERO)
        }
    }

    /// Returns the head and body of a buffered response.
    pub fn into_buffered(self) -> Option<(Head, Bytes)> {
        let buffered = self.buffered?;
        Some((buffered.head?, buffered.body.freeze()))
    }

    /// Resets the progress at the start of an attempt.
    pub fn start_attempt(&mut self, now: Instant) {
        self.mismatched = false;
        self.progress = Progress {
            started: Some(now),
            ..Progress::default()
        };
    }

    /// Returns the time from the start of the current attempt to the first chunk of its body.
    pub fn ttft(&self) -> Option<Duration> {
        Some(self.progress.first_part? - self.progress.started?)
    }

    /// Returns the mean time between the chunks of a response that ended at `now`.
    pub fn token_interval(&self, now: Instant) -> Option<Duration> {
        let first = self.progress.first_part?;
        let gaps = self
            .progress
            .part_count
            .checked_sub(1)
            .filter(|gaps| *gaps > 0)?;
        Some((now - first) / gaps)
    }

    /// Records the logical time of the sidecar's last message.
    pub fn record_stamp(&mut self, stamp: Stamp) {
        self.progress.stamp = stamp;
    }

    /// Returns the logical time of the sidecar's last message.
    pub fn stamp(&self) -> Stamp {
        self.progress.stamp
    }

    /// Records the output tokens delivered by all attempts of the request.
    pub fn set_output_tokens(&mut self, tokens: u64) {
        self.progress.output_tokens = tokens;
    }

    /// Returns the output tokens of the complete response, if known. A plain chat completion states
    /// them in its `usage` field.
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

    /// Reports whether the target responded with a 5xx status.
    pub fn is_server_error(&self) -> bool {
        self.progress.status >= 500
    }

    /// Forwards or buffers the head. The head of a continued response is dropped. If it does not fit the head
    /// that the caller has, the rest of the attempt is dropped too, and [`Sink::finish`] reports a failure.
    pub async fn send_head(&mut self, head: Head) -> Result<(), Disconnected> {
        self.progress.status = head.status;
        if let Some(first) = &self.sent_head {
            self.mismatched = !continues(first, &head);
            return Ok(());
        }
        if let Some(buffered) = &mut self.buffered {
            buffered.head = Some(head);
            return Ok(());
        }
        self.sent_head = Some(head.clone());
        self.send(ResponsePart::Head(head)).await
    }

    /// Forwards or buffers a chunk of the body.
    pub async fn send_data(&mut self, now: Instant, data: Bytes) -> Result<(), Disconnected> {
        if self.mismatched {
            return Ok(());
        }
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

    /// Discards the buffered response of an attempt that was preempted.
    ///
    /// Returns false if part of a plain response has already been forwarded, so that another
    /// attempt cannot provide a complete response.
    pub fn reset(&mut self, streamed: bool) -> bool {
        match &mut self.buffered {
            Some(buffered) => {
                *buffered = BufferedResponse::default();
                true
            }
            None => streamed,
        }
    }

    /// Sends the buffered response, if any, and the final part.
    pub async fn finish(&mut self, end: ResponsePart) {
        let end = match end {
            ResponsePart::End if self.mismatched => ResponsePart::Failed,
            end => end,
        };
        if end == ResponsePart::End && self.flush().await.is_err() {
            return;
        }
        let _ = self.send(end).await;
    }

    /// Reports whether the caller has disconnected.
    pub fn is_closed(&self) -> bool {
        self.disconnected || (!self.buffer_only && self.sender.is_closed())
    }

    async fn flush(&mut self) -> Result<(), Disconnected> {
        let Some(buffered) = self.buffered.take() else {
            return Ok(());
        };
        if let Some(head) = buffered.head {
            self.sent_head = Some(head.clone());
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

/// Reports whether a response with the head `next` can go on with one that has begun with `first`: their status
/// and media type are the same.
fn continues(first: &Head, next: &Head) -> bool {
    let same_kind = match (media_type(first), media_type(next)) {
        (Some(first), Some(next)) => first.eq_ignore_ascii_case(next),
        (first, next) => first == next,
    };
    first.status == next.status && same_kind
}

fn media_type(head: &Head) -> Option<&str> {
    let mut headers = head.headers.iter();
    let (_, value) = headers.find(|(name, _)| name.eq_ignore_ascii_case("content-type"))?;
    Some(wire::media_type(value))
}
