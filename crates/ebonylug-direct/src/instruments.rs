use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use ebonylug_core::Name;
use ebonylug_dispatch::RouteKind;
use ebonylug_net::metrics::Metrics;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

/// The metrics of an entry. Labels are of closed sets, so that their number does not grow with the
/// organisations.
pub(crate) struct Instruments {
    metrics: Metrics,
    requests: Counter<u64>,
    time: Histogram<f64>,
    first: Histogram<f64>,
    attempts: Counter<u64>,
    repeats: Counter<u64>,
    calls: Counter<u64>,
    table_age: Gauge<f64>,
    slots: Gauge<u64>,
    running: Gauge<u64>,
    waiting: Gauge<u64>,
    active: Gauge<u64>,
    config_version: Gauge<u64>,
    config_age: Gauge<f64>,
    heard: Gauge<u64>,
    known: Gauge<u64>,
    dropped: Gauge<u64>,
    /// When reads of tables were answered last, by this machine's uptime.
    answered: RefCell<BTreeMap<&'static str, Duration>>,
}

/// The bounds of histograms, in seconds: around the aims of the routes, up to their longest time.
const BOUNDARIES: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.32, 0.6, 1.0, 1.5, 2.5, 5.0, 10.0, 30.0,
];

/// What gauges show at one moment.
#[derive(Clone, Debug)]
pub(crate) struct Levels {
    pub(crate) uptime: Duration,
    /// Slots of the targets of each service, and requests of all entries there.
    pub(crate) services: BTreeMap<Name, (u32, u32)>,
    pub(crate) waiting: usize,
    pub(crate) active: usize,
    pub(crate) config_version: u64,
    pub(crate) config_age: Option<Duration>,
    pub(crate) heard: usize,
    pub(crate) known: usize,
    pub(crate) dropped: usize,
}

impl Instruments {
    pub(crate) fn new() -> Self {
        let metrics = Metrics::new();
        let meter = metrics.meter();
        let counter = |name, text| meter.u64_counter(name).with_description(text).build();
        let seconds = |name, text| {
            let histogram = meter.f64_histogram(name).with_description(text);
            histogram.with_boundaries(BOUNDARIES.into()).build()
        };
        let gauge = |name, text| meter.u64_gauge(name).with_description(text).build();
        Instruments {
            requests: counter(
                "ebonylug_requests",
                "Requests that ended, by kind, outcome and reason",
            ),
            time: seconds(
                "ebonylug_request_seconds",
                "Time from a request's arrival to its end, by kind and outcome",
            ),
            first: seconds(
                "ebonylug_first_part_seconds",
                "Time from a request's arrival to the first part of its answer, by kind",
            ),
            attempts: counter("ebonylug_failed_attempts", "Attempts that failed, by cause"),
            repeats: counter(
                "ebonylug_repeated_sends",
                "Repeated sends that were asked of the budget, by whether it had one",
            ),
            calls: counter(
                "ebonylug_store_calls",
                "Calls of the store, by table, call and outcome",
            ),
            table_age: meter
                .f64_gauge("ebonylug_table_age_seconds")
                .with_description("Time since the store answered a read, by table")
                .build(),
            slots: gauge("ebonylug_target_slots", "Slots of targets, by service"),
            running: gauge(
                "ebonylug_target_requests",
                "Requests of all entries at targets, by service",
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
            heard: gauge(
                "ebonylug_heard_entries",
                "Entries that are heard, with this one",
            ),
            known: gauge(
                "ebonylug_known_entries",
                "Entries that are known, with this one",
            ),
            dropped: gauge(
                "ebonylug_dropped_log_lines",
                "Log lines that nobody read in time",
            ),
            answered: RefCell::default(),
            metrics,
        }
    }

    /// Counts a request that has ended after a time.
    pub(crate) fn ended(
        &self,
        kind: Option<RouteKind>,
        outcome: &'static str,
        reason: &'static str,
        time: Duration,
    ) {
        let labels = [
            KeyValue::new("kind", word(kind)),
            KeyValue::new("outcome", outcome),
            KeyValue::new("reason", reason),
        ];
        self.requests.add(1, &labels);
        self.time.record(time.as_secs_f64(), &labels[..2]);
    }

    /// Records the time to the first part of an answer.
    pub(crate) fn first(&self, kind: Option<RouteKind>, time: Duration) {
        let labels = [KeyValue::new("kind", word(kind))];
        self.first.record(time.as_secs_f64(), &labels);
    }

    /// Counts an attempt that failed.
    pub(crate) fn failed(&self, cause: &'static str) {
        self.attempts.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a repeated send that the budget allowed or not.
    pub(crate) fn repeated(&self, allowed: bool) {
        let outcome = if allowed { "allowed" } else { "denied" };
        self.repeats.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a call of the store at an uptime.
    pub(crate) fn called(
        &self,
        uptime: Duration,
        table: &'static str,
        call: &'static str,
        outcome: &'static str,
    ) {
        if (call, outcome) == ("read", "answered") {
            self.answered.borrow_mut().insert(table, uptime);
        }
        let labels = [
            KeyValue::new("table", table),
            KeyValue::new("call", call),
            KeyValue::new("outcome", outcome),
        ];
        self.calls.add(1, &labels);
    }

    /// Writes all metrics in the text format.
    pub(crate) fn render(&self, levels: &Levels) -> String {
        self.waiting.record(levels.waiting as u64, &[]);
        self.active.record(levels.active as u64, &[]);
        self.config_version.record(levels.config_version, &[]);
        if let Some(age) = levels.config_age {
            self.config_age.record(age.as_secs_f64(), &[]);
        }
        self.heard.record(levels.heard as u64, &[]);
        self.known.record(levels.known as u64, &[]);
        self.dropped.record(levels.dropped as u64, &[]);
        for (table, answered) in self.answered.borrow().iter() {
            let age = levels.uptime.saturating_sub(*answered);
            let labels = [KeyValue::new("table", *table)];
            self.table_age.record(age.as_secs_f64(), &labels);
        }
        for (service, (slots, running)) in &levels.services {
            let labels = [KeyValue::new("service", service.as_str().to_owned())];
            self.slots.record(u64::from(*slots), &labels);
            self.running.record(u64::from(*running), &labels);
        }
        self.metrics.render()
    }
}

fn word(kind: Option<RouteKind>) -> &'static str {
    match kind {
        None => "unknown",
        Some(RouteKind::Safe) => "safe",
        Some(RouteKind::Once) => "once",
        Some(RouteKind::Stream { .. }) => "stream",
    }
}
