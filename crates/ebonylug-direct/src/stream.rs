use std::time::Duration;

use bytes::Bytes;
use ebonylug_dispatch::{Outcome, ResponseLatency, RouteKind};
use ebonylug_net::wire;
use http::{HeaderValue, StatusCode, header};
use http_body_util::BodyExt;
use tokio::time::Instant;

use crate::attempt::{self, Failure, OpenResponse};
use crate::dialect::Dialect;
use crate::entry::{Entry, millis};
use crate::events::{EventSplitter, split_events};
use crate::forward::ForwardJob;
use crate::request::BufferedRequest;
use crate::response::Result;
use crate::sequence::EventSequence;

/// The number of events after which the latencies of a stream are recorded. Some streams of a slow version
/// last as long as the move.
const EARLY_EVENTS: u32 = 5;

/// The events of one response, which may come from several targets in turn.
pub(crate) struct EventStream {
    splitter: EventSplitter,
    /// Complete events that are not forwarded yet.
    ready: Option<Bytes>,
    sequence: EventSequence,
    /// Whether the current response has had an event.
    has_event: bool,
    /// Why the response is unusable after the events returned so far.
    fault: Option<Box<str>>,
    /// Bytes since the last event, which callers ignore.
    unidentified: usize,
    /// When the first events arrived.
    first_at: Instant,
    /// When the latest events arrived.
    latest_at: Instant,
    /// The longest time between the arrivals of events.
    longest_gap: Duration,
}

/// What events are checked against.
#[derive(Clone, Copy)]
struct EventLimits<'a> {
    dialect: &'a Dialect,
    /// The maximum size of an event, and of what callers ignore between two events, in bytes.
    max_event: usize,
}

impl<'a> EventLimits<'a> {
    fn of(entry: &'a Entry) -> Self {
        EventLimits {
            dialect: &entry.dialect,
            max_event: entry.bounds.get().responses.event,
        }
    }
}

/// The result of reading the next part of a body.
enum Part {
    Events(Bytes),
    End,
    Broken(Box<str>),
    Late,
}

impl EventStream {
    /// Waits for the first complete event.
    pub(crate) async fn start(
        entry: &Entry,
        request: &BufferedRequest,
        opened: &mut OpenResponse,
    ) -> attempt::Result<Self> {
        let limits = EventLimits::of(entry);
        let mut events = EventStream {
            splitter: EventSplitter::default(),
            ready: None,
            sequence: EventSequence::new(request.first_event_id(&entry.dialect)),
            has_event: false,
            fault: None,
            unidentified: 0,
            first_at: Instant::now(),
            latest_at: Instant::now(),
            longest_gap: Duration::ZERO,
        };
        match events.next_part(opened, request.deadline, limits).await {
            Part::Events(bytes) => {
                opened.slot.finish_prefill();
                events.first_at = Instant::now();
                events.latest_at = events.first_at;
                events.ready = Some(bytes);
                Ok(events)
            }
            Part::End => {
                events.ready = Some(Bytes::new());
                Ok(events)
            }
            Part::Broken(error) => {
                opened.slot.set_outcome(Outcome::Broken);
                Err(Failure::Unknown(error))
            }
            Part::Late => {
                opened.slot.set_outcome(Outcome::Broken);
                Err(Failure::Late)
            }
        }
    }

    /// Reports whether an event has arrived.
    pub(crate) fn has_begun(&self) -> bool {
        self.ready.as_ref().is_some_and(|ready| !ready.is_empty())
    }

    async fn next_part(
        &mut self,
        opened: &mut OpenResponse,
        deadline: Instant,
        limits: EventLimits<'_>,
    ) -> Part {
        if let Some(error) = self.fault.take() {
            return Part::Broken(error);
        }
        loop {
            let Ok(frame) = tokio::time::timeout_at(deadline, opened.body.frame()).await else {
                return Part::Late;
            };
            let bytes = match frame {
                None if !self.splitter.is_empty() => {
                    return Part::Broken("the response ends within an event".into());
                }
                None if !self.has_event && !opened.is_framed() => {
                    return Part::Broken("the response ends before its first event".into());
                }
                None if !opened.has_whole_body() => {
                    return Part::Broken("the connection broke off".into());
                }
                None => return Part::End,
                Some(Err(error)) => return Part::Broken(error.to_string().into()),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => {
                        opened.slot.record_sign();
                        bytes
                    }
                    Err(_) => continue,
                },
            };
            let events = self.splitter.push(bytes);
            if self.splitter.len() > limits.max_event {
                let error = format!("an event is larger than {} bytes", limits.max_event);
                return Part::Broken(error.into());
            }
            let Some(mut events) = events else {
                continue;
            };
            let (valid, error) = self.accept_events(&events, limits);
            let Some(error) = error else {
                return Part::Events(events);
            };
            if valid == 0 {
                return Part::Broken(error);
            }
            // The events before the invalid one reach the caller, since another target resumes after them.
            self.fault = Some(error);
            events.truncate(valid);
            return Part::Events(events);
        }
    }

    /// Accepts events up to the first invalid one. Returns their length in bytes, and why the next one is
    /// invalid.
    fn accept_events(
        &mut self,
        events: &[u8],
        limits: EventLimits<'_>,
    ) -> (usize, Option<Box<str>>) {
        let mut accepted = 0;
        for event in split_events(events) {
            match self.sequence.accept(event, limits.dialect) {
                Ok(true) => {
                    self.has_event = true;
                    self.unidentified = 0;
                }
                Ok(false) => self.unidentified += event.len(),
                Err(error) => return (accepted, Some(error.to_string().into())),
            }
            if self.unidentified > limits.max_event {
                let error = format!("no event with an id in {} bytes", limits.max_event);
                return (accepted, Some(error.into()));
            }
            accepted += event.len();
        }
        (accepted, None)
    }

    /// Combines the stream with its request, so that it can resume at another target.
    pub(crate) fn into_forwarded(self, job: ForwardJob, opened: OpenResponse) -> ForwardedStream {
        ForwardedStream {
            job,
            kind: StreamKind::of(&opened),
            opened: Some(opened),
            events: self,
        }
    }
}

/// What the caller has been told of the response, which another target must match to go on with it.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct StreamKind {
    status: StatusCode,
    /// The media type in lower case, without its parameters, which may differ between targets.
    media_type: Option<Box<str>>,
}

impl StreamKind {
    pub(crate) fn of(opened: &OpenResponse) -> Self {
        let content_type = opened.head.headers.get(header::CONTENT_TYPE);
        let media_type = content_type
            .and_then(|value| value.to_str().ok())
            .map(|value| wire::media_type(value).to_ascii_lowercase().into());
        StreamKind {
            status: opened.head.status,
            media_type,
        }
    }
}

/// A stream that is forwarded to its caller.
pub(crate) struct ForwardedStream {
    job: ForwardJob,
    kind: StreamKind,
    opened: Option<OpenResponse>,
    events: EventStream,
}

impl ForwardedStream {
    /// Returns the next complete events, or `None` after the last one.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes>> {
        if let Some(ready) = self.events.ready.take().filter(|ready| !ready.is_empty()) {
            return Some(Ok(ready));
        }
        loop {
            let mut opened = self.opened.take()?;
            let limits = EventLimits::of(&self.job.entry);
            let part = self
                .events
                .next_part(&mut opened, self.job.request.deadline, limits)
                .await;
            let error = match part {
                Part::Events(bytes) => {
                    opened.slot.finish_prefill();
                    let now = Instant::now();
                    let gap = now.duration_since(self.events.latest_at);
                    self.events.longest_gap = self.events.longest_gap.max(gap);
                    self.events.latest_at = now;
                    if self.events.sequence.count() >= EARLY_EVENTS {
                        self.record_latency(&opened);
                    }
                    self.opened = Some(opened);
                    return Some(Ok(bytes));
                }
                Part::End => {
                    self.finish(opened);
                    return None;
                }
                Part::Late => {
                    opened.slot.set_outcome(Outcome::Withdrawn);
                    self.log_abort("the deadline has passed");
                    return Some(Err(std::io::Error::other("the deadline has passed")));
                }
                Part::Broken(error) => error,
            };
            opened.slot.set_outcome(Outcome::Broken);
            let (job, target) = (&self.job, opened.slot.target());
            job.entry.record_broken(target, &job.request.causes);
            drop(opened);
            tracing::info!(
                part = "stream",
                request = job.request.id.to_str().unwrap_or_default(),
                target = job.entry.target_name(target),
                prompt_parts = job.request.shared_part_ids(&job.entry.dialect),
                last = self.events.sequence.last(),
                %error,
                "stream interrupted"
            );
            if !self.resume().await {
                self.log_abort(&error);
                return Some(Err(std::io::Error::other(String::from(error))));
            }
        }
    }

    /// Logs and counts a response that the caller receives only in part.
    fn log_abort(&self, error: &str) {
        let request = &self.job.request;
        let instruments = &self.job.entry.instruments;
        let time = request.arrived.elapsed();
        instruments.record_request(Some(request.route.kind), "broken_off", "", time);
        self.job.mark_finished();
        tracing::info!(
            part = "request",
            request = request.id.to_str().unwrap_or_default(),
            route = %request.route.name,
            events = self.events.sequence.count(),
            attempts = self.job.attempts(),
            error,
            "broken off"
        );
    }

    async fn resume(&mut self) -> bool {
        let last = self.events.sequence.last().map(HeaderValue::from);
        let resumed = self.job.resume(last.as_ref(), &self.kind).await;
        self.events.splitter = EventSplitter::default();
        self.events.has_event = false;
        self.events.unidentified = 0;
        self.opened = resumed;
        self.opened.is_some()
    }

    /// Logs every late stream with its delays, and a sample of the others.
    fn log_served(&self, opened: &OpenResponse) {
        let request = &self.job.request;
        let max_gap = match request.route.kind {
            RouteKind::Stream { max_gap, .. } => max_gap,
            RouteKind::Safe | RouteKind::Once => return,
        };
        let first = self.events.first_at.duration_since(request.arrived);
        let late = first > request.route.latency_objective || self.events.longest_gap > max_gap;
        if !late && !self.job.entry.sample_log() {
            return;
        }
        tracing::info!(
            part = "stream",
            request = request.id.to_str().unwrap_or_default(),
            route = %request.route.name,
            target = self.job.entry.target_name(opened.slot.target()).unwrap_or_default(),
            queue_ms = millis(opened.sent.duration_since(request.arrived)),
            first_ms = millis(first),
            pause_ms = millis(self.events.longest_gap),
            events = self.events.sequence.count(),
            attempts = self.job.attempts(),
            "{}",
            if late { "late stream" } else { "served stream" }
        );
    }

    /// Records the latencies so far, unless the stream was resumed or they have been recorded.
    fn record_latency(&self, opened: &OpenResponse) {
        let events = &self.events;
        let Some(first) = events.first_at.checked_duration_since(opened.sent) else {
            return;
        };
        let between = events.latest_at.duration_since(events.first_at);
        let interval =
            (events.sequence.count() > 1).then(|| between / (events.sequence.count() - 1));
        let request = &self.job.request;
        let prompt = request.prompt_tokens(&self.job.entry.dialect);
        let latency = ResponseLatency::of_stream(first, prompt, interval);
        let late = first > request.route.latency_objective;
        opened.slot.record_latency(latency, late);
    }

    fn finish(&mut self, opened: OpenResponse) {
        self.log_served(&opened);
        self.job.mark_finished();
        if opened.is_framed() {
            self.job.entry.record_completed(&self.job.request.causes);
        }
        let kind = Some(self.job.request.route.kind);
        let time = self.job.request.arrived.elapsed();
        self.job
            .entry
            .instruments
            .record_request(kind, "served", "", time);
        opened.slot.set_outcome(Outcome::Answered);
        self.record_latency(&opened);
        if self.events.sequence.count() > 1 {
            let time = self.events.first_at.elapsed().as_secs_f64();
            opened
                .slot
                .set_pace(time / f64::from(self.events.sequence.count() - 1));
        }
        self.job.entry.release_connection(opened.connection);
    }
}
