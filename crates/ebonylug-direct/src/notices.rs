//! What a target asks of this entry in its responses: to send nothing more, or nothing for a time.

use std::time::Duration;

use ebonylug_dispatch::Target;
use http::response::Parts;
use http::{HeaderValue, StatusCode, header};

use crate::entry::{Entry, millis};

/// Records what the head of a response asks for. `target` is the one to which the request was sent, and the
/// response belongs to that request.
pub(crate) fn record(entry: &Entry, target: &Target, head: &Parts) {
    let leaving = head.headers.get(&entry.dialect.leaving);
    if leaving.is_some_and(|value| value.as_bytes() == b"1") {
        entry.record_leaving(target);
    }
    if head.status == StatusCode::SERVICE_UNAVAILABLE
        && let Some(time) = pause(head)
    {
        entry.record_pause(target, time);
    }
}

/// Returns the longest valid time of the `retry-after` headers.
fn pause(head: &Parts) -> Option<Duration> {
    let values = head.headers.get_all(header::RETRY_AFTER).iter();
    let times = values.filter_map(|value| {
        let time = parse_seconds(value);
        if time.is_none() {
            tracing::info!(part = "targets", ?value, "pause is no number of seconds");
        }
        time
    });
    times.max().filter(|time| !time.is_zero())
}

/// Returns a number of seconds, which may have a fraction. Larger numbers than a time can hold become the
/// longest time.
fn parse_seconds(value: &HeaderValue) -> Option<Duration> {
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    if seconds.is_nan() || seconds < 0.0 {
        return None;
    }
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

impl Entry {
    fn record_leaving(&self, target: &Target) {
        if self.state.borrow_mut().scheduler.mark_leaving(target) {
            tracing::info!(part = "targets", target = %target.name, service = %target.service, "target says that it leaves");
        }
    }

    fn record_pause(&self, target: &Target, time: Duration) {
        let now = self.clock.now();
        self.state.borrow_mut().scheduler.pause(now, target, time);
        let pause_ms = millis(time);
        tracing::info!(part = "targets", target = %target.name, service = %target.service, pause_ms, "target wants a pause");
    }
}
