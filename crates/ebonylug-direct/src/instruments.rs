use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use ebonylug_core::Name;
use ebonylug_dispatch::{
    DutyOverview, HedgeRefusal, RefusalForecast, ReportSums, RouteKind, TableKind, TableState,
};
use ebonylug_net::metrics::Metrics;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use crate::memory::BodyBytes;

/// The metrics of an entry. All label values come from fixed sets, so the number of series does not
/// grow with the number of organisations.
pub(crate) struct Instruments {
    metrics: Metrics,
    requests: Counter<u64>,
    duration: Histogram<f64>,
    first_part: Histogram<f64>,
    forecast: Histogram<f64>,
    failures: Counter<u64>,
    retries: Counter<u64>,
    hedges: Counter<u64>,
    hedge_refusals: Counter<u64>,
    store_calls: Counter<u64>,
    cold_checks: Counter<u64>,
    cold_sends: Counter<u64>,
    /// The value of the counter of requests to cold targets.
    cold_sends_counted: Cell<u64>,
    store_restores: Counter<u64>,
    duty_calls: Counter<u64>,
    duty_held: Gauge<u64>,
    duty_window: Gauge<u64>,
    duty_late: Gauge<u64>,
    duty_left_out: Gauge<u64>,
    table_age: Gauge<f64>,
    table_version: Gauge<u64>,
    table_digest: Gauge<u64>,
    slots: Gauge<u64>,
    running: Gauge<u64>,
    reporting: Gauge<u64>,
    reported_running: Gauge<u64>,
    reported_waiting: Gauge<u64>,
    slowness: Gauge<f64>,
    waiting: Gauge<u64>,
    active: Gauge<u64>,
    config_version: Gauge<u64>,
    config_age: Gauge<f64>,
    reachable: Gauge<u64>,
    known: Gauge<u64>,
    dropped: Gauge<u64>,
    held_bytes: Gauge<u64>,
    waiting_answers: Gauge<u64>,
    /// The uptime at which the store last answered a read, by table.
    last_reads: RefCell<BTreeMap<&'static str, Duration>>,
}

/// Bucket boundaries of the histograms. They cover the latency objectives of the routes, up to their
/// longest timeout.
const BOUNDARIES_SECONDS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.32, 0.6, 1.0, 1.5, 2.5, 5.0, 10.0, 30.0,
];

/// The values of the gauges at one point in time.
#[derive(Clone, Debug)]
pub(crate) struct GaugeValues {
    pub(crate) uptime: Duration,
    /// The number of slots and of requests in flight from all entries, by service.
    pub(crate) services: BTreeMap<Name, (u32, u32)>,
    /// What targets have recently reported, by service.
    pub(crate) reports: BTreeMap<Name, ReportSums>,
    pub(crate) waiting: usize,
    pub(crate) active: usize,
    pub(crate) config_version: u64,
    pub(crate) config_age: Option<Duration>,
    pub(crate) tables: TableState,
    pub(crate) reachable: usize,
    pub(crate) known: usize,
    pub(crate) dropped: usize,
    /// The duties of one entry at a time, where one is configured.
    pub(crate) duties: Option<DutyOverview>,
    pub(crate) bodies: BodyBytes,
    /// The bytes of the rows of all tables.
    pub(crate) rows: usize,
    /// The number of answers that had to wait for memory and are not complete.
    pub(crate) waiting_answers: usize,
}

impl Instruments {
    pub(crate) fn new() -> Self {
        let metrics = Metrics::new();
        let meter = metrics.meter();
        let counter = |name, text| meter.u64_counter(name).with_description(text).build();
        let seconds = |name, text| {
            let histogram = meter.f64_histogram(name).with_description(text);
            histogram.with_boundaries(BOUNDARIES_SECONDS.into()).build()
        };
        let gauge = |name, text| meter.u64_gauge(name).with_description(text).build();
        Instruments {
            requests: counter(
                "ebonylug_requests",
                "Requests that ended, by kind, outcome and reason",
            ),
            duration: seconds(
                "ebonylug_request_seconds",
                "Time from a request's arrival to its end, by kind and outcome",
            ),
            first_part: seconds(
                "ebonylug_first_part_seconds",
                "Time from a request's arrival to the first part of its answer, by kind",
            ),
            forecast: seconds(
                "ebonylug_refused_forecast_seconds",
                "Forecast wait of requests that were refused for it, by reason and whether the caller returned",
            ),
            failures: counter("ebonylug_failed_attempts", "Attempts that failed, by cause"),
            retries: counter(
                "ebonylug_repeated_sends",
                "Repeated sends that were asked of the budget, by whether it had one",
            ),
            hedges: counter(
                "ebonylug_hedges",
                "Second attempts of slow requests: sent, and those that won, lost or failed",
            ),
            hedge_refusals: counter(
                "ebonylug_refused_hedges",
                "Requests without a second attempt, by cause",
            ),
            cold_sends: counter(
                "ebonylug_cold_sends",
                "Requests sent to targets that are or may be cold",
            ),
            cold_sends_counted: Cell::new(0),
            cold_checks: counter(
                "ebonylug_cold_checks",
                "Checks of targets whose rows may be missing, by result",
            ),
            store_calls: counter(
                "ebonylug_store_calls",
                "Calls of the store, by table, call and outcome",
            ),
            store_restores: counter(
                "ebonylug_store_restores",
                "Returns of the store from an older copy, and facts written again for it, by event",
            ),
            duty_calls: counter(
                "ebonylug_duty_calls",
                "Calls of the platform's API by this entry, by duty and outcome",
            ),
            duty_held: gauge(
                "ebonylug_duty_held",
                "Whether this entry holds the duties of one entry at a time",
            ),
            duty_window: gauge(
                "ebonylug_duty_window",
                "The highest window known to have a usage report",
            ),
            duty_late: gauge(
                "ebonylug_duty_late_reports",
                "Usage reports of this entry that were accepted after they were due",
            ),
            duty_left_out: gauge(
                "ebonylug_duty_left_out",
                "Windows for which this entry left out the usage report",
            ),
            table_age: meter
                .f64_gauge("ebonylug_table_age_seconds")
                .with_description("Time since the store answered a read, by table")
                .build(),
            table_version: gauge(
                "ebonylug_table_version",
                "A version of the store at which a table had the rows that this entry has",
            ),
            table_digest: gauge(
                "ebonylug_table_digest",
                "Digest of the rows of a table; entries with equal rows have equal digests",
            ),
            slots: gauge("ebonylug_target_slots", "Slots of targets, by service"),
            running: gauge(
                "ebonylug_target_requests",
                "Requests of all entries at targets, by service",
            ),
            reporting: gauge(
                "ebonylug_reporting_targets",
                "Targets with a report of their load in the last 300 ms, by service",
            ),
            reported_running: gauge(
                "ebonylug_reported_running",
                "Requests that these targets run by their own words, by service",
            ),
            reported_waiting: gauge(
                "ebonylug_reported_waiting",
                "Requests that wait inside these targets by their own words, by service",
            ),
            slowness: meter
                .f64_gauge("ebonylug_reported_slowness_ratio")
                .with_description(
                    "Mean time of work at these targets relative to the usual, by service",
                )
                .build(),
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
            reachable: gauge(
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
            held_bytes: gauge(
                "ebonylug_held_bytes",
                "Bytes of bodies and table rows in memory, by what they belong to",
            ),
            waiting_answers: gauge(
                "ebonylug_waiting_answers",
                "Answers that had to wait for memory and are not complete",
            ),
            last_reads: RefCell::default(),
            metrics,
        }
    }

    /// Records the outcome and the duration of a completed request.
    pub(crate) fn record_request(
        &self,
        kind: Option<RouteKind>,
        outcome: &'static str,
        reason: &'static str,
        duration: Duration,
    ) {
        let labels = [
            KeyValue::new("kind", kind_label(kind)),
            KeyValue::new("outcome", outcome),
            KeyValue::new("reason", reason),
        ];
        self.requests.add(1, &labels);
        self.duration.record(duration.as_secs_f64(), &labels[..2]);
    }

    /// Records the time to the first part of a response.
    pub(crate) fn record_first_part(&self, kind: Option<RouteKind>, duration: Duration) {
        let labels = [KeyValue::new("kind", kind_label(kind))];
        self.first_part.record(duration.as_secs_f64(), &labels);
    }

    /// Records the forecast that led to a refusal.
    pub(crate) fn record_forecast(&self, reason: &'static str, forecast: RefusalForecast) {
        let labels = [
            KeyValue::new("reason", reason),
            KeyValue::new("returning", forecast.returning),
        ];
        self.forecast.record(forecast.wait.as_secs_f64(), &labels);
    }

    /// Counts a failed attempt.
    pub(crate) fn count_failure(&self, cause: &'static str) {
        self.failures.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a second attempt that was sent, or the end of one.
    pub(crate) fn count_hedge(&self, outcome: &'static str) {
        self.hedges.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a request that got no second attempt.
    pub(crate) fn count_hedge_refusal(&self, refusal: HedgeRefusal) {
        let labels = [KeyValue::new("cause", refusal.as_str())];
        self.hedge_refusals.add(1, &labels);
    }

    /// Counts a retry that the retry budget allowed or denied.
    pub(crate) fn count_retry(&self, allowed: bool) {
        let outcome = if allowed { "allowed" } else { "denied" };
        self.retries.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Sets the number of requests sent to cold targets since the start.
    pub(crate) fn set_cold_sends(&self, total: u64) {
        let before = self.cold_sends_counted.replace(total);
        if total > before {
            self.cold_sends.add(total - before, &[]);
        }
    }

    /// Counts a check that showed for how long a target stays cold, or nothing.
    pub(crate) fn count_cold_check(&self, cold: Option<Duration>) {
        let result = match cold {
            None => "unknown",
            Some(Duration::ZERO) => "warm",
            Some(_) => "cold",
        };
        self.cold_checks.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a call to the store that completed at this uptime.
    pub(crate) fn count_store_call(
        &self,
        uptime: Duration,
        table: &'static str,
        call: &'static str,
        outcome: &'static str,
    ) {
        if (call, outcome) == ("read", "answered") {
            self.last_reads.borrow_mut().insert(table, uptime);
        }
        let labels = [
            KeyValue::new("table", table),
            KeyValue::new("call", call),
            KeyValue::new("outcome", outcome),
        ];
        self.store_calls.add(1, &labels);
    }

    /// Counts an event of the store's restores.
    pub(crate) fn count_restore(&self, event: &'static str, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.store_restores
            .add(count, &[KeyValue::new("event", event)]);
    }

    /// Counts a call of the platform's API.
    pub(crate) fn count_duty_call(&self, duty: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("duty", duty),
            KeyValue::new("outcome", outcome),
        ];
        self.duty_calls.add(1, &labels);
    }

    /// Renders all metrics in the Prometheus text format.
    pub(crate) fn render(&self, values: &GaugeValues) -> String {
        self.waiting.record(values.waiting as u64, &[]);
        self.active.record(values.active as u64, &[]);
        self.config_version.record(values.config_version, &[]);
        if let Some(age) = values.config_age {
            self.config_age.record(age.as_secs_f64(), &[]);
        }
        self.reachable.record(values.reachable as u64, &[]);
        self.known.record(values.known as u64, &[]);
        self.dropped.record(values.dropped as u64, &[]);
        if let Some(duties) = &values.duties {
            self.duty_held
                .record(u64::from(duties.fence.is_some()), &[]);
            self.duty_window.record(duties.reported, &[]);
            self.duty_late.record(duties.late, &[]);
            self.duty_left_out.record(duties.left_out, &[]);
        }
        let answers = values.bodies.answers + values.bodies.unsized_answers;
        for (owner, bytes) in [
            ("requests", values.bodies.requests),
            ("answers", answers),
            ("rows", values.rows),
        ] {
            self.held_bytes
                .record(bytes as u64, &[KeyValue::new("owner", owner)]);
        }
        self.waiting_answers
            .record(values.waiting_answers as u64, &[]);
        for (table, last_read) in self.last_reads.borrow().iter() {
            let age = values.uptime.saturating_sub(*last_read);
            let labels = [KeyValue::new("table", *table)];
            self.table_age.record(age.as_secs_f64(), &labels);
        }
        for table in TableKind::ALL {
            let stamp = values.tables.stamp(table);
            let labels = [KeyValue::new("table", table.as_str())];
            self.table_version.record(stamp.version, &labels);
            let digest = u32::from(stamp.digest);
            self.table_digest.record(u64::from(digest), &labels);
        }
        for (service, (slots, running)) in &values.services {
            let labels = [KeyValue::new("service", service.as_str().to_owned())];
            self.slots.record(u64::from(*slots), &labels);
            self.running.record(u64::from(*running), &labels);
        }
        for (service, sums) in &values.reports {
            let labels = [KeyValue::new("service", service.as_str().to_owned())];
            self.reporting.record(u64::from(sums.targets), &labels);
            self.reported_running
                .record(u64::from(sums.running), &labels);
            self.reported_waiting
                .record(u64::from(sums.waiting), &labels);
            if sums.targets > 0 {
                let ratio = f64::from(sums.slowness) / f64::from(sums.targets) / 100.0;
                self.slowness.record(ratio, &labels);
            }
        }
        self.metrics.render()
    }
}

fn kind_label(kind: Option<RouteKind>) -> &'static str {
    match kind {
        None => "unknown",
        Some(RouteKind::Safe) => "safe",
        Some(RouteKind::Once) => "once",
        Some(RouteKind::Stream { .. }) => "stream",
    }
}
