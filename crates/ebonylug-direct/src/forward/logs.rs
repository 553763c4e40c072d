//! The log lines of a request.

use std::time::Duration;

use ebonylug_core::Name;
use ebonylug_dispatch::RouteKind;
use http::StatusCode;
use tokio::time::Instant;

use super::ForwardJob;
use crate::attempt::Failure;
use crate::entry::{Entry, millis};
use crate::response::Rejection;

/// What is known about a request, for its log line.
#[derive(Default)]
pub(super) struct LogContext {
    pub(super) request: String,
    pub(super) route: Option<Name>,
    pub(super) kind: Option<RouteKind>,
    pub(super) organisation: Option<Name>,
    pub(super) config: u64,
    pub(super) attempts: usize,
}

/// Logs why a request was not served.
pub(super) fn log_rejection(
    entry: &Entry,
    context: &LogContext,
    rejection: Rejection,
    started: Instant,
) {
    let forecast = rejection.forecast();
    if let Some(forecast) = forecast {
        let instruments = &entry.instruments;
        instruments.record_forecast(rejection.reason(), forecast);
    }
    let config_age = entry.config_age().unwrap_or(Duration::MAX);
    tracing::info!(
        part = "request",
        request = context.request,
        route = context.route.as_ref().map(Name::as_str),
        organisation = context.organisation.as_ref().map(Name::as_str),
        status = rejection.status().as_u16(),
        reason = rejection.reason(),
        waited_ms = millis(started.elapsed()),
        attempts = context.attempts,
        config = context.config,
        config_age_ms = millis(config_age),
        queue = entry.waiting(),
        forecast_ms = forecast.map(|forecast| millis(forecast.wait)),
        asked_percent = forecast.map(|forecast| forecast.asked_percent),
        fair_percent = forecast.map(|forecast| forecast.fair_percent),
        returning = forecast.map(|forecast| forecast.returning),
        retry_after_ms = forecast.and(rejection.retry_after()).map(millis),
        "not served"
    );
}

impl ForwardJob {
    /// Logs complete responses that are server errors or late, and a sample of the others.
    pub(super) fn log_response(&self, status: StatusCode, context: &LogContext) {
        let message = match self.request.arrived.elapsed() {
            _ if status.is_server_error() => "failed by target",
            time if time > self.request.route.latency_objective => "late answer",
            _ if self.entry.sample_log() => "served",
            _ => return,
        };
        tracing::info!(
            part = "request",
            request = context.request,
            route = %self.request.route.name,
            target = self.last_target(),
            status = status.as_u16(),
            queue_ms = millis(self.queue_time),
            total_ms = millis(self.request.arrived.elapsed()),
            attempts = self.tried.len(),
            config = context.config,
            "{message}"
        );
    }

    /// Returns the name of the target of the latest result.
    fn last_target(&self) -> Option<String> {
        self.entry.target_name(self.result_target?)
    }

    /// Logs and counts a failed attempt.
    pub(super) fn log_failure(&self, failure: &Failure) {
        self.entry.instruments.count_failure(failure.cause());
        tracing::info!(
            part = "attempt",
            request = self.request.id.to_str().unwrap_or_default(),
            route = %self.request.route.name,
            target = self.last_target(),
            prompt_parts = self.broken_parts(failure),
            ?failure,
            ran = failure.may_have_run(),
            attempts = self.tried.len(),
            left_ms = millis(self.request.deadline.saturating_duration_since(Instant::now())),
            "attempt failed"
        );
    }

    /// Returns the ids of the shared prompt parts if the attempt may have crashed its target.
    fn broken_parts(&self, failure: &Failure) -> Option<String> {
        let broken = matches!(failure, Failure::Unknown(_));
        broken.then(|| self.request.shared_part_ids(&self.entry.dialect))?
    }
}
