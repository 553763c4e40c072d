use std::time::Duration;

use bytes::Bytes;
use ebonylug_dispatch::{Outcome, ResponseLatency, RouteKind};
use http::HeaderValue;
use http_body_util::BodyExt;
use tokio::time::Instant;

use crate::attempt::{self, Failure, OpenResponse};
use crate::entry::{Entry, millis};
use crate::events::{EventSplitter, event_ids, parse_id, split_events};
use crate::forward::ForwardJob;
use crate::request::BufferedRequest;
use crate::response::Result;

/// The number of events after which the latencies of a stream are recorded. Some streams of a slow version
/// last as long as the move.
const EARLY_EVENTS: u32 = 5;

/// The events of one response, which may come from several targets in turn.
pub(crate) struct EventStream {
    splitter: EventSplitter,
    /// Complete events that are not forwarded yet.
    ready: Option<Bytes>,
    last_id: Option<u64>,
    /// The id that the next event must have. `None` if the first event may have any id.
    next_id: Option<u64>,
    count: u32,
    /// Why the response is unusable after the events returned so far.
    fault: Option<Box<str>>,
    /// Bytes of complete events since the last one with an id.
    unidentified: usize,
    /// When the first events arrived.
    first_at: Instant,
    /// When the latest events arrived.
    latest_at: Instant,
    /// The longest time between the arrivals of events.
    longest_gap: Duration,
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
        let max_event = entry.bounds.get().responses.event;
        let mut events = EventStream {
            splitter: EventSplitter::default(),
            ready: None,
            last_id: None,
            next_id: request.first_event_id(&entry.dialect),
            count: 0,
            fault: None,
            unidentified: 0,
            first_at: Instant::now(),
            latest_at: Instant::now(),
            longest_gap: Duration::ZERO,
        };
        match events.next_part(opened, request.deadline, max_event).await {
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
        max_event: usize,
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
                None if self.count == 0 && !opened.is_framed() => {
                    return Part::Broken("the response ends before its first event".into());
                }
                None => return Part::End,
                Some(Err(error)) => return Part::Broken(error.to_string().into()),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => bytes,
                    Err(_) => continue,
                },
            };
            let events = self.splitter.push(bytes);
            if self.splitter.len() > max_event {
                return Part::Broken(format!("an event is larger than {max_event} bytes").into());
            }
            let Some(mut events) = events else {
                continue;
            };
            self.count_unidentified(&events);
            if self.unidentified > max_event {
                let error = format!("no event with an id in {max_event} bytes");
                return Part::Broken(error.into());
            }
            let valid = self.accept_events(&events);
            if valid == events.len() {
                return Part::Events(events);
            }
            let error = "events are missing or out of order".into();
            if valid == 0 {
                return Part::Broken(error);
            }
            // The events before the invalid one reach the caller, since another target resumes after them.
            self.fault = Some(error);
            events.truncate(valid);
            return Part::Events(events);
        }
    }

    /// Counts the bytes of events since the last one with an id.
    fn count_unidentified(&mut self, events: &[u8]) {
        if event_ids(events).next().is_some() {
            self.unidentified = 0;
        } else {
            self.unidentified += events.len();
        }
    }

    /// Accepts events whose ids continue without a gap. Returns the length of the accepted ones, in bytes.
    fn accept_events(&mut self, events: &[u8]) -> usize {
        let mut accepted = 0;
        for event in split_events(events) {
            if !self.accept_event(event) {
                break;
            }
            accepted += event.len();
        }
        accepted
    }

    fn accept_event(&mut self, event: &[u8]) -> bool {
        let (mut last, mut next, mut count) = (self.last_id, self.next_id, self.count);
        for id in event_ids(event) {
            let Some(id) = parse_id(id) else {
                return false;
            };
            if next.is_some_and(|next| next != id) {
                return false;
            }
            last = Some(id);
            next = Some(id.saturating_add(1));
            count += 1;
        }
        (self.last_id, self.next_id, self.count) = (last, next, count);
        true
    }

    /// Combines the stream with its request, so that it can resume at another target.
    pub(crate) fn into_forwarded(self, job: ForwardJob, opened: OpenResponse) -> ForwardedStream {
        ForwardedStream {
            job,
            opened: Some(opened),
            events: self,
        }
    }
}

/// A stream that is forwarded to its caller.
pub(crate) struct ForwardedStream {
    job: ForwardJob,
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
            let max_event = self.job.entry.bounds.get().responses.event;
            let part = self
                .events
                .next_part(&mut opened, self.job.request.deadline, max_event)
                .await;
            let error = match part {
                Part::Events(bytes) => {
                    opened.slot.finish_prefill();
                    let now = Instant::now();
                    let gap = now.duration_since(self.events.latest_at);
                    self.events.longest_gap = self.events.longest_gap.max(gap);
                    self.events.latest_at = now;
                    if self.events.count >= EARLY_EVENTS {
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
                last = self.events.last_id,
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
            events = self.events.count,
            attempts = self.job.attempts(),
            error,
            "broken off"
        );
    }

    async fn resume(&mut self) -> bool {
        let last = self.events.last_id.map(HeaderValue::from);
        let resumed = self.job.resume(last.as_ref()).await;
        self.events.splitter = EventSplitter::default();
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
            events = self.events.count,
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
        let interval = (events.count > 1).then(|| between / (events.count - 1));
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
        if self.events.count > 1 {
            let time = self.events.first_at.elapsed().as_secs_f64();
            opened
                .slot
                .set_pace(time / f64::from(self.events.count - 1));
        }
        self.job.entry.release_connection(opened.connection);
    }
}
