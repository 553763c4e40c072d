use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use ebonylug_core::{Class, Revision, Tier};
use ebonylug_net::metrics::Metrics;
use ebonylug_routing::Backlog;

use crate::sink::Part;

/// The metrics of an entry.
pub struct Instruments {
    metrics: Metrics,
    requests: Counter<u64>,
    first: Histogram<f64>,
    backlog: Gauge<u64>,
    risk: Gauge<u64>,
    revision: Gauge<u64>,
}

impl Instruments {
    /// Creates the instruments.
    pub fn new() -> Self {
        let metrics = Metrics::new();
        let meter = metrics.meter();
        Instruments {
            requests: meter
                .u64_counter("ebonylug_requests")
                .with_description("Requests that ended, by tier, outcome and reason")
                .build(),
            first: meter
                .f64_histogram("ebonylug_first_part_seconds")
                .with_description("Time from a dispatch to the first part of its answer")
                .build(),
            backlog: meter
                .u64_gauge("ebonylug_backlog")
                .with_description("Requests that wait or run, by tier")
                .build(),
            risk: meter
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

    /// Counts a request that has ended.
    pub fn ended(&self, tier: Tier, part: &Part) {
        let (outcome, reason) = match part {
            Part::End | Part::Head(_) | Part::Data(_) => ("answered", ""),
            Part::Refused(refusal) => ("not-run", refusal.reason.as_str()),
            Part::Failed => ("failed", ""),
            Part::Unknown => ("unknown", ""),
            Part::Mismatch => ("not-run", "mismatch"),
        };
        let labels = [
            KeyValue::new("tier", label(tier)),
            KeyValue::new("outcome", outcome),
            KeyValue::new("reason", reason),
        ];
        self.requests.add(1, &labels);
    }

    /// Records the time to the first part of an answer.
    pub fn first(&self, tier: Tier, time: Duration) {
        self.first
            .record(time.as_secs_f64(), &[KeyValue::new("tier", label(tier))]);
    }

    /// Writes all metrics, with the present state of the queue.
    pub fn render(&self, backlog: &Backlog, risk: usize, revision: Revision) -> String {
        for (tier, count) in &backlog.tiers {
            let tier = label(*tier);
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
        self.risk.record(risk as u64, &[]);
        self.revision.record(revision.0, &[]);
        self.metrics.render()
    }
}

fn label(tier: Tier) -> String {
    let class = match tier.class {
        Class::Interactive => "interactive",
        Class::Batch => "batch",
    };
    format!("{class}-{}", tier.rank)
}
