use std::time::Duration;

use bytes::Bytes;
use ebonylug_dispatch::{Outcome, RouteKind};
use http::HeaderValue;
use http_body_util::BodyExt;
use tokio::time::Instant;

use crate::attempt::{self, Failure, Opened};
use crate::entry::millis;
use crate::events::{EventSplitter, event_ids, parse_id};
use crate::forward::Job;
use crate::response::Result;

/// The events of one answer, which may come from several targets in turn.
pub(crate) struct EventStream {
    splitter: EventSplitter,
    /// Whole events that wait to be passed on.
    ready: Option<Bytes>,
    last: Option<u64>,
    count: u32,
    begun: Instant,
    /// When the last whole events came, and the longest time between two.
    before: Instant,
    pause: Duration,
}

/// What the next part of a body is.
enum Part {
    Events(Bytes),
    End,
    Broken(Box<str>),
    Late,
}

impl EventStream {
    /// Waits for the first whole event.
    pub(crate) async fn first(opened: &mut Opened, limit: Instant) -> attempt::Result<Self> {
        let mut events = EventStream {
            splitter: EventSplitter::default(),
            ready: None,
            last: None,
            count: 0,
            begun: Instant::now(),
            before: Instant::now(),
            pause: Duration::ZERO,
        };
        match events.part(opened, limit).await {
            Part::Events(bytes) => {
                opened.grant.read();
                events.begun = Instant::now();
                events.before = events.begun;
                events.ready = Some(bytes);
                Ok(events)
            }
            Part::End => {
                events.ready = Some(Bytes::new());
                Ok(events)
            }
            Part::Broken(error) => {
                opened.grant.note(Outcome::Broken);
                Err(Failure::Unknown(error))
            }
            Part::Late => {
                opened.grant.note(Outcome::Broken);
                Err(Failure::Late)
            }
        }
    }

    async fn part(&mut self, opened: &mut Opened, limit: Instant) -> Part {
        loop {
            let Ok(frame) = tokio::time::timeout_at(limit, opened.body.frame()).await else {
                return Part::Late;
            };
            let bytes = match frame {
                None if self.splitter.is_empty() => return Part::End,
                None => return Part::Broken("the answer ends within an event".into()),
                Some(Err(error)) => return Part::Broken(error.to_string().into()),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => bytes,
                    Err(_) => continue,
                },
            };
            let Some(events) = self.splitter.push(bytes) else {
                continue;
            };
            return match self.check(&events) {
                true => Part::Events(events),
                false => Part::Broken("events are missing or out of order".into()),
            };
        }
    }

    /// Checks that events follow each other without a gap.
    fn check(&mut self, events: &[u8]) -> bool {
        for id in event_ids(events) {
            let Some(id) = parse_id(id) else {
                return false;
            };
            if self.last.is_some_and(|last| id != last + 1) {
                return false;
            }
            self.last = Some(id);
            self.count += 1;
        }
        true
    }

    /// Adds what is needed to go on.
    pub(crate) fn with(self, job: Job, opened: Opened) -> Passing {
        Passing {
            job,
            opened: Some(opened),
            events: self,
        }
    }
}

/// A stream that is passed on to its caller.
pub(crate) struct Passing {
    job: Job,
    opened: Option<Opened>,
    events: EventStream,
}

impl Passing {
    /// Returns the next whole events; `None` after the last one.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes>> {
        if let Some(ready) = self.events.ready.take().filter(|ready| !ready.is_empty()) {
            return Some(Ok(ready));
        }
        loop {
            let mut opened = self.opened.take()?;
            let part = self.events.part(&mut opened, self.job.call.limit).await;
            let error = match part {
                Part::Events(bytes) => {
                    opened.grant.read();
                    let now = Instant::now();
                    let pause = now.duration_since(self.events.before);
                    self.events.pause = self.events.pause.max(pause);
                    self.events.before = now;
                    self.opened = Some(opened);
                    return Some(Ok(bytes));
                }
                Part::End => {
                    self.end(opened);
                    return None;
                }
                Part::Late => {
                    opened.grant.note(Outcome::Withdrawn);
                    self.break_off("the time limit has passed");
                    return Some(Err(std::io::Error::other("the time limit has passed")));
                }
                Part::Broken(error) => error,
            };
            opened.grant.note(Outcome::Broken);
            let (job, target) = (&self.job, opened.grant.target());
            job.entry.note_broken(target, job.call.content);
            drop(opened);
            tracing::info!(
                part = "stream",
                request = job.call.id.to_str().unwrap_or_default(),
                target = job.entry.target_name(target),
                last = self.events.last,
                %error,
                "stream broke"
            );
            if !self.resume().await {
                self.break_off(&error);
                return Some(Err(std::io::Error::other(String::from(error))));
            }
        }
    }

    /// Logs that the caller does not get the whole answer.
    fn break_off(&self, error: &str) {
        let call = &self.job.call;
        let instruments = &self.job.entry.instruments;
        let time = call.arrived.elapsed();
        instruments.record_request(Some(call.route.kind), "broken_off", "", time);
        self.job.end();
        tracing::info!(
            part = "request",
            request = call.id.to_str().unwrap_or_default(),
            route = %call.route.name,
            events = self.events.count,
            attempts = self.job.attempts(),
            error,
            "broken off"
        );
    }

    async fn resume(&mut self) -> bool {
        let last = self.events.last.map(HeaderValue::from);
        let resumed = self.job.resume(last.as_ref()).await;
        self.events.splitter = EventSplitter::default();
        self.opened = resumed;
        self.opened.is_some()
    }

    /// Logs a stream that was late, with what it waited for, and a sample of the others.
    fn tell(&self, opened: &Opened) {
        let call = &self.job.call;
        let gap = match call.route.kind {
            RouteKind::Stream { max_gap: gap, .. } => gap,
            RouteKind::Safe | RouteKind::Once => return,
        };
        let first = self.events.begun.duration_since(call.arrived);
        let late = first > call.route.latency_objective || self.events.pause > gap;
        if !late && !self.job.entry.is_sampled() {
            return;
        }
        tracing::info!(
            part = "stream",
            request = call.id.to_str().unwrap_or_default(),
            route = %call.route.name,
            target = self.job.entry.target_name(opened.grant.target()).unwrap_or_default(),
            queue_ms = millis(opened.sent.duration_since(call.arrived)),
            first_ms = millis(first),
            pause_ms = millis(self.events.pause),
            events = self.events.count,
            attempts = self.job.attempts(),
            "{}",
            if late { "late stream" } else { "served stream" }
        );
    }

    fn end(&mut self, opened: Opened) {
        self.tell(&opened);
        self.job.end();
        self.job.entry.note_finished(self.job.call.content);
        let kind = Some(self.job.call.route.kind);
        let time = self.job.call.arrived.elapsed();
        self.job
            .entry
            .instruments
            .record_request(kind, "served", "", time);
        opened.grant.note(Outcome::Answered);
        let first = self.events.begun.duration_since(opened.sent);
        opened
            .grant
            .set_slow(first > self.job.call.route.latency_objective);
        if self.events.count > 1 {
            let time = self.events.begun.elapsed().as_secs_f64();
            opened
                .grant
                .set_pace(time / f64::from(self.events.count - 1));
        }
        self.job.entry.release_connection(opened.connection);
    }
}
