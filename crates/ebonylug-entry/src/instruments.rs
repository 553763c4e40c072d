use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use ebonylug_core::{Class, Revision, Tier};
use ebonylug_net::metrics::Metrics;
use ebonylug_routing::Backlog;

use crate::sink::ResponsePart;

/// The metrics of an entry.
pub struct Instruments {
    metrics: Metrics,
    requests: Counter<u64>,
    first_part: Histogram<f64>,
    backlog: Gauge<u64>,
    batch_at_risk: Gauge<u64>,
    revision: Gauge<u64>,
}

impl Instruments {
    /// Registers all metrics.
    pub fn new() -> Self {
        let metrics = Metrics::new();
        let meter = metrics.meter();
        Instruments {
            requests: meter
                .u64_counter("ebonylug_requests")
                .with_description("Requests that ended, by tier, outcome and reason")
                .build(),
            first_part: meter
                .f64_histogram("ebonylug_first_part_seconds")
                .with_description("Time from a dispatch to the first part of its answer")
                .build(),
            backlog: meter
                .u64_gauge("ebonylug_backlog")
                .with_description("Requests that wait or run, by tier")
                .build(),
            batch_at_risk: meter
                .u64_gauge("ebonylug_batch_at_risk")
                .with_description("Waiting batch requests that will probably miss their deadline")
                .build(),
            revision: meter
                .u64_gauge("ebonylug_revision")
                .with_description("The configuration revision in force")
                .build(),
            metrics,
        }
    }

    /// Counts an ended request by the final part of its response.
    pub fn record_end(&self, tier: Tier, part: &ResponsePart) {
        let (outcome, reason) = match part {
            ResponsePart::End | ResponsePart::Head(_) | ResponsePart::Data(_) => ("answered", ""),
            ResponsePart::Refused(refusal) => ("not-run", refusal.reason.as_str()),
            ResponsePart::Failed => ("failed", ""),
            ResponsePart::Unknown => ("unknown", ""),
            ResponsePart::Mismatch => ("not-run", "mismatch"),
        };
        let labels = [
            KeyValue::new("tier", tier_label(tier)),
            KeyValue::new("outcome", outcome),
            KeyValue::new("reason", reason),
        ];
        self.requests.add(1, &labels);
    }

    /// Records the time from a dispatch to the first chunk of the response body.
    pub fn record_ttft(&self, tier: Tier, time: Duration) {
        self.first_part.record(
            time.as_secs_f64(),
            &[KeyValue::new("tier", tier_label(tier))],
        );
    }

    /// Renders all metrics, including the current state of the queue.
    pub fn render(&self, backlog: &Backlog, at_risk: usize, revision: Revision) -> String {
        for (tier, count) in &backlog.tiers {
            let tier = tier_label(*tier);
            let labels = |state: &'static str| {
                [
                    KeyValue::new("tier", tier.clone()),
                    KeyValue::new("state", state),
                ]
            };
            self.backlog
                .record(count.waiting as u64, &labels("waiting"));
            self.backlog.record(count.sent as u64, &labels("sent"));
        }
        self.batch_at_risk.record(at_risk as u64, &[]);
        self.revision.record(revision.0, &[]);
        self.metrics.render()
    }
}

fn tier_label(tier: Tier) -> String {
    let class = match tier.class {
        Class::Interactive => "interactive",
        Class::Batch => "batch",
    };
    format!("{class}-{}", tier.rank)
}
