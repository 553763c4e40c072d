use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge};

use ebonylug_core::{End, LoadReport, Reason};
use ebonylug_net::metrics::Metrics;

/// The metrics of a sidecar.
pub struct Instruments {
    metrics: Metrics,
    attempts: Counter<u64>,
    refusals: Counter<u64>,
    state: Gauge<u64>,
    tokens: Gauge<u64>,
}

impl Instruments {
    /// Registers all metrics.
    pub fn new() -> Self {
        let metrics = Metrics::new();
        let meter = metrics.meter();
        Instruments {
            attempts: meter
                .u64_counter("ebonylug_attempts")
                .with_description("Attempts that ended at the target, by end")
                .build(),
            refusals: meter
                .u64_counter("ebonylug_refusals")
                .with_description("Attempts that were refused as not run, by reason")
                .build(),
            state: meter
                .u64_gauge("ebonylug_target_state")
                .with_description("Whether the target is up and whether it is cold, 0 or 1")
                .build(),
            tokens: meter
                .u64_gauge("ebonylug_target_tokens")
                .with_description("Limit of work at the target, work in use, batch work and room that is reserved")
                .build(),
            metrics,
        }
    }

    /// Counts an attempt that ended at the target.
    pub fn record_end(&self, end: End) {
        let end = match end {
            End::Answered => "answered",
            End::Failed => "failed",
            End::Cancelled => "cancelled",
            End::Crashed => "crashed",
        };
        self.attempts.add(1, &[KeyValue::new("end", end)]);
    }

    /// Counts an attempt that was refused as not run.
    pub fn record_refusal(&self, reason: Reason) {
        self.refusals
            .add(1, &[KeyValue::new("reason", reason.as_str())]);
    }

    /// Renders all metrics, including the current state of the target.
    pub fn render(&self, report: &LoadReport) -> String {
        let kind = |kind: &'static str| [KeyValue::new("kind", kind)];
        self.state.record(report.up.into(), &kind("up"));
        self.state.record(report.cold.into(), &kind("cold"));
        self.tokens.record(report.limit.0, &kind("limit"));
        self.tokens.record(report.used.0, &kind("used"));
        self.tokens.record(report.batch.0, &kind("batch"));
        self.tokens.record(report.reserved.0, &kind("reserved"));
        self.metrics.render()
    }
}
