use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge};

use ebonylug_core::{End, LoadReport, Reason};
use ebonylug_net::metrics::Metrics;

/// The metrics of a sidecar.
pub struct Instruments {
    metrics: Metrics,
    ended: Counter<u64>,
    refused: Counter<u64>,
    state: Gauge<u64>,
    tokens: Gauge<u64>,
}

impl Instruments {
    /// Creates the instruments.
    pub fn new() -> Self {
        let metrics = Metrics::new();
        let meter = metrics.meter();
        Instruments {
            ended: meter
                .u64_counter("ebonylug_attempts")
                .with_description("Attempts that ended at the target, by end")
                .build(),
            refused: meter
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

    /// Counts an attempt that has ended.
    pub fn ended(&self, end: End) {
        let end = match end {
            End::Answered => "answered",
            End::Failed => "failed",
            End::Cancelled => "cancelled",
            End::Crashed => "crashed",
        };
        self.ended.add(1, &[KeyValue::new("end", end)]);
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: Reason) {
        self.refused
            .add(1, &[KeyValue::new("reason", reason.as_str())]);
    }

    /// Writes all metrics, with the present state of the target.
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
