use std::time::Duration;

use ebonylug_dispatch::Kind;
use ebonylug_net::metrics::Metrics;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

/// The metrics of an entry. Labels are of closed sets, so that their number does not grow with the
/// organisations.
pub(crate) struct Instruments {
    metrics: Metrics,
    requests: Counter<u64>,
    first: Histogram<f64>,
    attempts: Counter<u64>,
    reads: Counter<u64>,
    waiting: Gauge<u64>,
    active: Gauge<u64>,
    config_version: Gauge<u64>,
    config_age: Gauge<f64>,
    entries: Gauge<u64>,
    dropped: Gauge<u64>,
}

/// What gauges show at one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Levels {
    pub(crate) waiting: usize,
    pub(crate) active: usize,
    pub(crate) config_version: u64,
    pub(crate) config_age: Option<Duration>,
    pub(crate) heard: usize,
    pub(crate) dropped: usize,
}

impl Instruments {
    pub(crate) fn new() -> Self {
        let metrics = Metrics::new();
        let meter = metrics.meter();
        let counter = |name, text| meter.u64_counter(name).with_description(text).build();
        let gauge = |name, text| meter.u64_gauge(name).with_description(text).build();
        Instruments {
            requests: counter(
                "ebonylug_requests",
                "Requests that ended, by kind, outcome and reason",
            ),
            first: meter
                .f64_histogram("ebonylug_first_part_seconds")
                .with_description("Time from a request's arrival to the first part of its answer")
                .build(),
            attempts: counter("ebonylug_failed_attempts", "Attempts that failed, by cause"),
            reads: counter(
                "ebonylug_store_reads",
                "Reads of the store, by table and outcome",
            ),
            waiting: gauge(
                "ebonylug_waiting_requests",
                "Requests that wait for a target",
            ),
            active: gauge("ebonylug_active_requests", "Requests that have not ended"),
            config_version: gauge("ebonylug_config_version", "The configuration in force"),
            config_age: meter
                .f64_gauge("ebonylug_config_age_seconds")
                .with_description("Time since the configuration was known to be current")
                .build(),
            entries: gauge(
                "ebonylug_heard_entries",
                "Entries that are heard, with this one",
            ),
            dropped: gauge(
                "ebonylug_dropped_log_lines",
                "Log lines that nobody read in time",
            ),
            metrics,
        }
    }

    /// Counts a request that has ended.
    pub(crate) fn ended(&self, kind: Option<Kind>, outcome: &'static str, reason: &'static str) {
        let kind = match kind {
            None => "unknown",
            Some(Kind::Safe) => "safe",
            Some(Kind::Once) => "once",
            Some(Kind::Stream { .. }) => "stream",
        };
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("outcome", outcome),
            KeyValue::new("reason", reason),
        ];
        self.requests.add(1, &labels);
    }

    /// Records the time to the first part of an answer.
    pub(crate) fn first(&self, time: Duration) {
        self.first.record(time.as_secs_f64(), &[]);
    }

    /// Counts an attempt that failed.
    pub(crate) fn failed(&self, cause: &'static str) {
        self.attempts.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a read of the store.
    pub(crate) fn read(&self, table: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("table", table),
            KeyValue::new("outcome", outcome),
        ];
        self.reads.add(1, &labels);
    }

    /// Writes all metrics in the text format.
    pub(crate) fn render(&self, levels: Levels) -> String {
        self.waiting.record(levels.waiting as u64, &[]);
        self.active.record(levels.active as u64, &[]);
        self.config_version.record(levels.config_version, &[]);
        if let Some(age) = levels.config_age {
            self.config_age.record(age.as_secs_f64(), &[]);
        }
        self.entries.record(levels.heard as u64, &[]);
        self.dropped.record(levels.dropped as u64, &[]);
        self.metrics.render()
    }
}
