//! Scaling on one machine: the cost of decisions, the memory of tables, the size of messages, and
//! the control traffic that follows for the size expected in two years.
//!
//! Times are wall-clock times of the machine, so only ratios within one run are comparable. Memory
//! is the difference of the resident size in `/proc/self/statm`. The objects are kept until the
//! process ends, because the allocator would otherwise reuse the freed memory for the next
//! measurement and the difference would be too small.

mod traffic;

use std::hint::black_box;
use std::time::{Duration, Instant};

use ebonylug_admission::Admission;
use ebonylug_core::{
    AttemptId, End, Fingerprint, Gate, Incarnation, LoadReport, Name, Offer, Outcome, Repeat,
    RequestId, Revision, Tier, Tokens,
};
use ebonylug_membership::subset;
use ebonylug_platform::{InstanceRow, InstanceState};
use ebonylug_routing::{
    Action, OrganisationKey, Request, RouteKey, Router, Settings, TargetInfo, TargetKey, TargetKind,
};
use serde::Serialize;

use crate::report::{Table, Target};

use traffic::*;

/// Numbers of targets.
pub const TARGETS: [usize; 4] = [40, 100, 300, 600];
/// Numbers of organisations.
const ORGANISATIONS: [usize; 4] = [100, 1_000, 3_000, 6_400];
/// Numbers of rows of the instance list; the last is for 410 entries and 600 sidecars.
const ROWS: [usize; 4] = [40, 200, 600, 1_010];
/// Numbers of queued requests.
const QUEUED: [usize; 4] = [1_000, 4_000, 16_000, 64_000];
/// Numbers of attempts inside one target.
const STREAMS: [usize; 4] = [16, 64, 256, 1_024];
/// Number of decisions per measurement.
const DECISIONS: usize = 40_000;
/// Number of runs of each measurement. The minimum is reported, since other work on the machine may
/// slow down a run.
const ROUNDS: usize = 3;
/// Work of each request in tokens.
const REQUEST_TOKENS: u64 = 1_000;
/// Page size in `/proc/self/statm`.
const PAGE_BYTES: u64 = 4_096;

/// A linear fit of a measurement at several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// The measured quantity, with its unit.
    pub name: String,
    /// Pairs of size and measured value.
    pub points: Vec<(f64, f64)>,
    /// Value of the fitted line at size 0.
    #[serde(rename = "base")]
    pub intercept: f64,
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Largest distance of a point from the line, relative to the largest value.
    pub residual: f64,
}

/// All measurements.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Linear fits.
    pub slopes: Vec<Slope>,
    /// Sizes of messages in bytes.
    pub messages: Vec<(String, f64)>,
    /// Control traffic per node in bytes per second, at 410 entries and 600 targets.
    pub traffic: Vec<(String, f64)>,
}

impl Slope {
    /// Fits a line by least squares.
    #[must_use]
    pub fn fit(name: &str, points: Vec<(f64, f64)>) -> Self {
        let count = points.len() as f64;
        let mean = |pick: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(pick).sum::<f64>() / count;
        let (x, y) = (mean(&|p| p.0), mean(&|p| p.1));
        let covariance = mean(&|p| (p.0 - x) * (p.1 - y));
        let variance = mean(&|p| (p.0 - x) * (p.0 - x));
        let slope = if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        };
        let intercept = y - slope * x;
        let largest = points
            .iter()
            .map(|p| p.1.abs())
            .fold(f64::MIN_POSITIVE, f64::max);
        let distance = points.iter().map(|p| (p.1 - intercept - slope * p.0).abs());
        let residual = distance.fold(0.0, f64::max) / largest;
        Slope {
            name: name.into(),
            points,
            intercept,
            slope,
            residual,
        }
    }
}

/// Measures the memory. Call it first in a process, before other code leaves freed memory behind.
#[must_use]
pub fn memory_slopes() -> Vec<Slope> {
    vec![
        slope("memory, KiB, by targets", &TARGETS, |n| memory(n, 100, 0)),
        slope("memory, KiB, by organisations", &ORGANISATIONS, |n| {
            memory(100, n, 0)
        }),
        slope("memory, KiB, by queued requests", &QUEUED, |n| {
            memory(100, 100, n)
        }),
        slope(
            "admission memory, KiB, by streams",
            &STREAMS,
            admission_memory,
        ),
    ]
}

/// Runs the other measurements. `reports` is the number of reports per target and second.
#[must_use]
pub fn measure(memory: Vec<Slope>, reports: f64) -> Report {
    let mut slopes = vec![
        slope("routing decision, us, by targets", &TARGETS, |n| {
            fastest(|| routing(n, 100, 0))
        }),
        slope(
            "routing decision, us, by organisations",
            &ORGANISATIONS,
            |n| fastest(|| routing(100, n, 0)),
        ),
        slope("routing decision, us, by queued requests", &QUEUED, |n| {
            fastest(|| routing(100, 100, n))
        }),
        slope("admission decision, us, by streams", &STREAMS, |n| {
            fastest(|| admission(n))
        }),
        slope("progress of an attempt, us, by streams", &STREAMS, |n| {
            fastest(|| progress(n))
        }),
    ];
    slopes.extend(memory);
    // Above 170 entries the limit on series evicts the oldest.
    let sizes = [10, 40, 100, 160];
    slopes.push(slope("evidence, bytes, by entries", &sizes, |n| {
        encoded_bytes(&evidence(n, 30))
    }));
    slopes.push(slope("instance list, bytes as JSON, by rows", &ROWS, |n| {
        json_bytes(&instances(n))
    }));
    slopes.push(slope("subset of 40, us, by targets", &TARGETS, |n| {
        fastest(|| subset_time(n))
    }));
    let messages = messages();
    let traffic = traffic(reports);
    Report {
        slopes,
        messages,
        traffic,
    }
}

fn slope(name: &str, sizes: &[usize], figure: impl Fn(usize) -> f64) -> Slope {
    let points = sizes.iter().map(|size| (*size as f64, figure(*size)));
    Slope::fit(name, points.collect())
}

fn fastest(figure: impl Fn() -> f64) -> f64 {
    (0..ROUNDS).map(|_| figure()).fold(f64::INFINITY, f64::min)
}

/// An entry whose targets are half full.
struct Entry {
    router: Router,
    now: Instant,
    route: RouteKey,
    organisations: Vec<OrganisationKey>,
    targets: Vec<TargetKey>,
    next: u64,
}

impl Entry {
    fn new(targets: usize, organisations: usize) -> Self {
        let settings = Settings {
            capacity: 1 << 20,
            ceiling: 1 << 21,
            work: Tokens(u64::MAX / 4),
            ..Settings::default()
        };
        let mut router = Router::new(settings, 1);
        let now = Instant::now();
        let route = router.route_key(&Name::new("chat"));
        let version = router.version_key(&Name::new("v1"));
        router.set_shares(route, &[(version, 1.0)]);
        let mut keys = Vec::new();
        for index in 0..targets {
            let info = TargetInfo {
                name: Name::new(&format!("engine-{index}")),
                zone: router.zone_key(&Name::new(&format!("zone-{}", index % 8))),
                version,
                routes: [route].into_iter().collect(),
                kind: TargetKind::Model,
            };
            let key = router.add_target(info);
            router.apply_report(now, key, &load_report(index, 1));
            keys.push(key);
        }
        let name = |index| Name::new(&format!("organisation-{index}"));
        let organisations = (0..organisations).map(|i| router.organisation_key(&name(i)));
        Entry {
            organisations: organisations.collect(),
            targets: keys,
            router,
            now,
            route,
            next: 0,
        }
    }

    fn request(&mut self, tier: Tier) -> Request {
        self.next += 1;
        let organisation = self.next as usize * 7 % self.organisations.len();
        Request {
            id: RequestId(u128::from(self.next)),
            route: self.route,
            organisation: self.organisations[organisation],
            tier,
            prompt: Tokens(REQUEST_TOKENS - 256),
            max_output: Tokens(256),
            prefix: (0..8)
                .map(|block| organisation as u64 * 64 + block)
                .collect(),
            fingerprint: Fingerprint(self.next),
            parts: Default::default(),
            deadline: Some(self.now + Duration::from_secs(36_000)),
            repeat: Repeat::Yes,
            offset: 0,
        }
    }

    fn enqueue(&mut self, tier: Tier) {
        let request = self.request(tier);
        black_box(self.router.enqueue(self.now, request).is_ok());
    }

    fn fill_targets(&mut self) {
        for (index, target) in self.targets.clone().into_iter().enumerate() {
            let mut report = load_report(index, 2);
            report.used = report.limit;
            self.router.apply_report(self.now, target, &report);
        }
    }
}

fn load_report(index: usize, sequence: u64) -> LoadReport {
    LoadReport {
        incarnation: Incarnation(0x0123_4567_89ab_cdef),
        sequence,
        revision: Revision(250),
        gate: Gate::Open,
        up: true,
        cold: false,
        limit: Tokens(REQUEST_TOKENS * 50),
        used: Tokens(REQUEST_TOKENS * 25),
        batch: Tokens(REQUEST_TOKENS * 10),
        rate: 500.0 + (index % 3) as f64 * 500.0,
        reserved: Tokens::ZERO,
    }
}

/// Returns the mean time in microseconds of a request from its arrival to its response: enqueue,
/// poll, and outcome. `queued` batch requests wait behind full targets.
fn routing(targets: usize, organisations: usize, queued: usize) -> f64 {
    let mut entry = Entry::new(targets, organisations);
    for _ in 0..queued {
        entry.enqueue(Tier::batch(0));
        let actions = entry.router.poll(entry.now);
        if !actions.is_empty() {
            entry.fill_targets();
        }
    }
    // Each organisation gets its state before the measured time starts.
    for _ in 0..organisations {
        run_request(&mut entry);
    }
    let start = Instant::now();
    for _ in 0..DECISIONS {
        run_request(&mut entry);
    }
    start.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64
}

fn run_request(entry: &mut Entry) {
    entry.now += Duration::from_micros(200);
    entry.enqueue(Tier::interactive(0));
    for action in entry.router.poll(entry.now) {
        if let Action::Dispatch(dispatch) = action {
            let attempt = dispatch.offer.attempt;
            entry
                .router
                .apply_outcome(entry.now, attempt, Outcome::Answered);
        }
    }
}

/// Returns the mean time in microseconds of an attempt at a sidecar: offer, first token, end.
fn admission(streams: usize) -> f64 {
    let start = Instant::now();
    let mut admission = loaded_admission(streams, start);
    let mut now = start;
    let mut next = streams as u64;
    let clock = Instant::now();
    for _ in 0..DECISIONS {
        now += Duration::from_millis(2);
        next += 1;
        black_box(admission.offer(now, offer(next)));
        let oldest = attempt(next - streams as u64);
        admission.first_token(now, oldest);
        admission.finish(now, oldest, End::Answered);
    }
    clock.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64
}

/// Returns the mean time in microseconds to record the progress of a response at a sidecar.
fn progress(streams: usize) -> f64 {
    let start = Instant::now();
    let mut admission = loaded_admission(streams, start);
    let clock = Instant::now();
    for index in 0..DECISIONS {
        let attempt = attempt(1 + (index % streams) as u64);
        admission.progress(start, attempt, Tokens(1));
    }
    clock.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64
}

/// Returns the admission controller of a sidecar with `streams` admitted attempts.
fn loaded_admission(streams: usize, start: Instant) -> Admission {
    let settings = ebonylug_admission::Settings::model(Incarnation(1))
        .cold_limit(Tokens(REQUEST_TOKENS * streams as u64 * 4))
        .cold_streams(streams as u32 * 4);
    let mut admission = Admission::new(settings, start);
    admission.target_up(start);
    for number in 1..=streams as u64 {
        black_box(admission.offer(start, offer(number)));
    }
    admission
}

/// Returns the resident size in KiB of the admission controller of a sidecar, without responses.
fn admission_memory(streams: usize) -> f64 {
    // Several copies make the growth large compared with whole pages.
    const COPIES: usize = 64;
    let (before, start) = (resident_bytes(), Instant::now());
    let kept: Vec<Admission> = (0..COPIES)
        .map(|_| loaded_admission(streams, start))
        .collect();
    let after = resident_bytes();
    std::mem::forget(black_box(kept));
    after.saturating_sub(before) as f64 / 1_024.0 / COPIES as f64
}

fn attempt(number: u64) -> AttemptId {
    AttemptId {
        request: RequestId(u128::from(number)),
        number: 0,
    }
}

fn offer(number: u64) -> Offer {
    Offer {
        attempt: attempt(number),
        incarnation: Incarnation(1),
        revision: Revision(250),
        tier: Tier::interactive(0),
        organisation: Name::new("organisation-1"),
        prompt: Tokens(REQUEST_TOKENS - 256),
        cached: Tokens(0),
        output: Tokens(256),
        fingerprint: Fingerprint(number),
        parts: Default::default(),
        repeat: Repeat::Yes,
        offset: 0,
        fence: None,
    }
}

/// Returns the resident size in KiB of an entry of these sizes. Each organisation has had one
/// request.
fn memory(targets: usize, organisations: usize, queued: usize) -> f64 {
    // Several copies make the growth large compared with whole pages.
    const COPIES: usize = 4;
    let before = resident_bytes();
    let mut entries = Vec::new();
    for _ in 0..COPIES {
        let mut entry = Entry::new(targets, organisations);
        for _ in 0..organisations {
            run_request(&mut entry);
        }
        if queued > 0 {
            entry.fill_targets();
        }
        for _ in 0..queued {
            entry.enqueue(Tier::batch(0));
        }
        entries.push(entry);
    }
    let after = resident_bytes();
    std::mem::forget(black_box(entries));
    after.saturating_sub(before) as f64 / 1_024.0 / COPIES as f64
}

/// Returns the resident size of the process in bytes, or 0 where it cannot be read.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}

/// Returns an instance list with rows of the length expected in two years.
fn instances(rows: usize) -> Vec<InstanceRow> {
    let row = |index: usize| InstanceRow {
        instance: Name::new(&format!("instance-{index:04}")),
        zone: Name::new(&format!("zone-{}", index % 8)),
        state: InstanceState::Live,
        data: format!("10.20.{}.{}:8080", index / 250, index % 250).into(),
        control: format!("10.20.{}.{}:8081", index / 250, index % 250).into(),
        target: (index >= 410).then(|| Name::new(&format!("engine-{index:04}"))),
    };
    (0..rows).map(row).collect()
}

/// Returns the mean time in microseconds to select the subset of an entry.
fn subset_time(targets: usize) -> f64 {
    const CHOICES: usize = 100;
    let info = |index| {
        let name = Name::new(&format!("engine-{index}"));
        ebonylug_membership::TargetInfo::new(name, Name::new(&format!("zone-{}", index % 8)))
    };
    let infos: Vec<_> = (0..targets).map(info).collect();
    let entry = Name::new("entry-1");
    let clock = Instant::now();
    for _ in 0..CHOICES {
        black_box(subset(&entry, &infos, SUBSET_SIZE as usize));
    }
    clock.elapsed().as_secs_f64() * 1e6 / CHOICES as f64
}

/// Returns the design targets for the measurements.
#[must_use]
pub fn targets(report: &Report) -> Vec<Target> {
    // The first fit is that of the routing decision by targets.
    let routing = &report.slopes[0].points;
    let (first, last) = (routing[0].1, routing[routing.len() - 1].1);
    let logarithm = (TARGETS[3] as f64).ln() / (TARGETS[0] as f64).ln();
    // Rows 2 and 3: reports by change, of an entry and of a sidecar. Rows 6 to 8: gossip without a
    // move, in a move, and with a full crash log. Row 9: the instance list.
    let traffic = |row: usize| report.traffic[row].1;
    let idle = traffic(2) + traffic(6);
    let moving = traffic(2) + traffic(7);
    let crashed = traffic(2) + traffic(8);
    let bound = 13_000.0;
    vec![
        Target::at_most(
            "routing decision at 40 targets, us (this machine)".into(),
            "< 5",
            first,
            5.0,
        ),
        Target::at_most(
            "cost at 600 targets over 40 targets".into(),
            "<= ln 600 / ln 40 = 1.73",
            last / first,
            logarithm,
        ),
        Target::at_most(
            "control traffic of an entry at 410 x 600, B/s".into(),
            "< 13,000",
            idle,
            bound,
        ),
        Target::at_most(
            "the same while a version moves, B/s".into(),
            "< 13,000",
            moving,
            bound,
        ),
        Target::at_most(
            "the same without a move, full crash log, B/s".into(),
            "< 13,000",
            crashed,
            bound,
        ),
        Target::at_most(
            "control traffic of a sidecar at 410 x 600, B/s".into(),
            "< 13,000",
            traffic(3),
            bound,
        ),
        Target::at_most(
            "instance list of an entry at 410 x 600, B/s".into(),
            "< 13,000",
            traffic(9),
            bound,
        ),
    ]
}

/// Returns tables of the linear fits, the message sizes and the control traffic.
#[must_use]
pub fn tables(report: &Report) -> Vec<Table> {
    let mut slopes = Table::new(&["figure", "points", "base", "per unit", "residual"]);
    for slope in &report.slopes {
        let points = slope
            .points
            .iter()
            .map(|(size, figure)| format!("{size}: {figure:.2}"));
        slopes.add_row(vec![
            slope.name.clone(),
            points.collect::<Vec<_>>().join("  "),
            format!("{:.3}", slope.intercept),
            format!("{:.6}", slope.slope),
            format!("{:.1} %", 100.0 * slope.residual),
        ]);
    }
    let list = |head: &str, rows: &[(String, f64)]| {
        let mut table = Table::new(&[head, ""]);
        for (name, figure) in rows {
            table.add_row(vec![name.clone(), format!("{figure:.0}")]);
        }
        table
    };
    vec![
        slopes,
        list("message, bytes", &report.messages),
        list("control traffic at 410 x 600, B/s", &report.traffic),
    ]
}
