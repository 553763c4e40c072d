//! A small world in virtual time: entries that serve requests, exchange evidence with delay and
//! loss, and write to a table with outages.

use std::time::{Duration, SystemTime};

use ebonylug_core::{Fence, Incarnation, Name};
use ebonylug_moves::{
    Bucket, Capacity, Evidence, MoveAction, MoveSpec, MoveState, MoveStatus, Phase, Sample,
    SequentialTest, Share, StoreState,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Ticks and messages between entries take one step.
const STEP: f64 = 0.5;
/// Time after which a lease ends when the store does not answer.
const LEASE: f64 = 10.0;

pub fn start() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(86_400)
}

/// When the new version is bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Onset {
    Never,
    /// Seconds after the start.
    At(f64),
    /// Above this share of traffic.
    Load(f64),
}

#[derive(Clone, Copy, Debug)]
pub struct Burst {
    pub from: f64,
    pub to: f64,
    pub fail: f64,
    pub slow: f64,
}

/// Targets of the new version are cold; the first answers are not yet marked.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    pub from: f64,
    pub to: f64,
    /// The part of the version's targets that is cold.
    pub part: f64,
    pub unmarked: f64,
}

#[derive(Clone, Debug)]
pub struct Case {
    pub window: f64,
    pub rate: f64,
    pub routes: usize,
    pub entries: usize,
    pub onset: Onset,
    /// The only route on which the version is bad.
    pub bad_route: Option<usize>,
    pub bad_fail: f64,
    pub bad_slow: f64,
    pub bursts: Vec<Burst>,
    pub colds: Vec<Cold>,
    pub outage: Option<(f64, f64)>,
    pub capacity: Capacity,
    /// A target of the new version crashes with this many requests in flight.
    pub crash: Option<(f64, u32)>,
    /// An entry restarts and has lost all it knew.
    pub restart: Option<f64>,
    /// A partition keeps the entries from exchanging anything.
    pub partition: Option<(f64, f64)>,
}

impl Default for Case {
    fn default() -> Self {
        Case {
            window: 240.0,
            rate: 30.0,
            routes: 1,
            entries: 3,
            onset: Onset::Never,
            bad_route: None,
            bad_fail: 0.01,
            bad_slow: 0.05,
            bursts: Vec::new(),
            colds: Vec::new(),
            outage: None,
            capacity: Capacity {
                warm: 1.0,
                planned: 1.0,
            },
            crash: None,
            restart: None,
            partition: None,
        }
    }
}

#[derive(Clone, Debug, Default)]
pub struct Result {
    pub phases: Vec<Phase>,
    pub shares: Vec<Share>,
    /// All requests until the version showed that it is bad, or until the end.
    pub requests: u64,
    /// Those among them that the version answered while it was bad.
    pub exposed: u64,
    /// Requests that the version got later than 3 s after it had shown that it is bad.
    pub late: u64,
    /// Seconds from the first bad answer that was possible until it showed.
    pub delay: Option<f64>,
    /// Whether all entries gave all traffic to the new version at the deadline.
    pub full: bool,
    pub table: Option<MoveStatus>,
    /// Whether any share rose again after a cut.
    pub raised: bool,
    pub unfenced: bool,
    /// When and why a share was cut first.
    pub cause: Option<(f64, String)>,
}

impl Result {
    pub fn rolled_back(&self) -> bool {
        self.phases.iter().all(|phase| *phase == Phase::RolledBack)
    }

    pub fn any_cut(&self) -> bool {
        self.phases.contains(&Phase::RolledBack)
    }

    pub fn exposure(&self) -> f64 {
        self.exposed as f64 / self.requests.max(1) as f64
    }

    pub fn has(&self, reason: ebonylug_moves::MoveReason) -> bool {
        let conditions = self.table.iter().flat_map(|status| &status.conditions);
        conditions.into_iter().any(|c| c.reason == reason)
    }
}

struct Entry {
    state: MoveState,
    evidence: Evidence,
    process: Incarnation,
    /// Fractions of requests that are due to the new version, by route.
    due: Vec<f64>,
    cut: bool,
}

struct World<'a> {
    case: &'a Case,
    rng: ChaCha8Rng,
    spec: MoveSpec,
    routes: Vec<Name>,
    entries: Vec<Entry>,
    oracle: Entry,
    shown: Option<f64>,
    began: Option<f64>,
    result: Result,
}

pub fn spec(case: &Case) -> MoveSpec {
    let mut spec = MoveSpec::new("move", "route-0", "old", "new")
        .window(start(), start() + Duration::from_secs_f64(case.window));
    for route in 1..case.routes {
        spec = spec.route(&format!("route-{route}"));
    }
    spec
}

/// Runs a case until a while after the deadline.
pub fn run(case: &Case, seed: u64) -> Result {
    let spec = spec(case);
    let mut world = World {
        case,
        rng: ChaCha8Rng::seed_from_u64(seed),
        routes: spec.routes.to_vec(),
        entries: (0..case.entries)
            .map(|n| entry(case, &spec, n as u64))
            .collect(),
        oracle: observer(case, &spec),
        spec,
        shown: None,
        began: None,
        result: Result::default(),
    };
    let outage = case.outage.map_or(0.0, |(_, to)| to.min(2.0 * case.window));
    let steps = ((case.window.max(outage) + 20.0) / STEP) as u32;
    for step in 0..steps {
        world.step(f64::from(step) * STEP);
    }
    world.result.phases = world.entries.iter().map(|e| e.state.phase()).collect();
    world.result.shares = world.entries.iter().map(|e| e.state.share()).collect();
    world.result
}

fn entry(case: &Case, spec: &MoveSpec, process: u64) -> Entry {
    let mut state = MoveState::new(spec.clone());
    state.set_capacity(case.capacity);
    Entry {
        state,
        evidence: Evidence::default(),
        process: Incarnation(process),
        due: vec![0.0; case.routes],
        cut: false,
    }
}

/// Sees all requests at once and without delay, and asks for a higher ratio than the product, so
/// that what it finds does not hang on single requests.
fn observer(case: &Case, spec: &MoveSpec) -> Entry {
    let mut entry = entry(case, spec, u64::MAX);
    entry.state = entry.state.with_test(SequentialTest {
        worse_threshold: 18.0,
        ..SequentialTest::default()
    });
    entry
}

fn within(span: Option<(f64, f64)>, time: f64) -> bool {
    span.is_some_and(|(from, to)| (from..to).contains(&time))
}

impl World<'_> {
    fn step(&mut self, time: f64) {
        let now = start() + Duration::from_secs_f64(time);
        if self.case.restart == Some(time) {
            self.restart(now, time);
        }
        for index in 0..self.entries.len() {
            self.serve(now, time, index);
        }
        self.crash(now, time);
        self.watch(now, time);
        if !within(self.case.partition, time) {
            self.exchange(now);
        }
        self.tick(now, time);
        let full = self.entries.iter().all(|e| e.state.share() == Share::FULL);
        if time >= self.case.window && time < self.case.window + STEP {
            self.result.full = full;
        }
    }

    /// The restarted process learns the status from a peer or from the table, like a real one.
    fn restart(&mut self, now: SystemTime, time: f64) {
        let last = self.entries.len() - 1;
        let mut fresh = entry(self.case, &self.spec, 1_000 + time as u64);
        let status = self.entries[0].state.status();
        fresh.state.apply_status(now, &status);
        fresh.cut = self.entries[last].cut;
        self.entries[last] = fresh;
    }

    fn serve(&mut self, now: SystemTime, time: f64, index: usize) {
        let burst = self
            .case
            .bursts
            .iter()
            .any(|b| (b.from..b.to).contains(&time));
        let crowd = if burst { 2.0 } else { 1.0 };
        let mean = self.case.rate * crowd * STEP / self.entries.len() as f64;
        for _ in 0..self.poisson(mean) {
            let route = self.rng.random_range(0..self.routes.len());
            let entry = &mut self.entries[index];
            let share = entry.state.share().fraction();
            entry.due[route] = if share > 0.0 {
                entry.due[route] + share
            } else {
                0.0
            };
            let new = entry.due[route] >= 1.0 - 1e-9;
            if new {
                entry.due[route] -= 1.0;
            }
            let sample = self.sample(time, route, new, share);
            self.record(now, index, route, new, sample);
        }
    }

    fn sample(&mut self, time: f64, route: usize, new: bool, share: f64) -> Sample {
        let (mut fail, mut slow) = (0.01_f64, 0.05_f64);
        for burst in &self.case.bursts {
            if (burst.from..burst.to).contains(&time) {
                (fail, slow) = (fail.max(burst.fail), slow.max(burst.slow));
            }
        }
        let bad = new && self.is_bad(time, route, share);
        if self.shown.is_none() && time < self.case.window {
            self.result.requests += 1;
            self.result.exposed += u64::from(bad);
        }
        if new && self.shown.is_some_and(|shown| time > shown + 3.0) {
            self.result.late += 1;
        }
        if bad {
            self.began.get_or_insert(time);
            (fail, slow) = (fail.max(self.case.bad_fail), slow.max(self.case.bad_slow));
        }
        let mut cold = false;
        let mut overload = false;
        for spell in &self.case.colds {
            let part = self.rng.random_bool(spell.part);
            if new && part && (spell.from..spell.to).contains(&time) {
                // A cold target is slow and fails under load that it bears when it is warm.
                slow = 0.9;
                cold = time >= spell.from + spell.unmarked;
                overload = cold && self.rng.random_bool(0.2);
            }
        }
        let answered = !overload && !self.rng.random_bool(fail);
        let sample = if answered {
            Sample::success()
        } else {
            Sample::failure()
        };
        let slow = answered && self.rng.random_bool(slow);
        sample.slow(slow).cold(cold).overload(overload)
    }

    fn is_bad(&self, time: f64, route: usize, share: f64) -> bool {
        let here = self.case.bad_route.is_none_or(|bad| bad == route);
        here && match self.case.onset {
            Onset::Never => false,
            Onset::At(onset) => time >= onset,
            Onset::Load(load) => share >= load,
        }
    }

    fn record(&mut self, now: SystemTime, index: usize, route: usize, new: bool, sample: Sample) {
        let version = if new { "new" } else { "old" };
        let route = self.routes[route].clone();
        let entry = &mut self.entries[index];
        let process = entry.process;
        entry
            .evidence
            .record(now, process, version, route.clone(), sample);
        if self.case.onset != Onset::Never {
            self.oracle
                .evidence
                .record(now, process, version, route, sample);
        }
    }

    fn crash(&mut self, now: SystemTime, time: f64) {
        let Some((when, flying)) = self.case.crash else {
            return;
        };
        if when != time {
            return;
        }
        for n in 0..flying {
            let index = n as usize % self.entries.len();
            self.record(now, index, 0, true, Sample::failure());
        }
    }

    /// The version has shown that it is bad as soon as all requests so far, taken together
    /// without delay, prove it, or any entry has cut its share.
    fn watch(&mut self, now: SystemTime, time: f64) {
        if self.shown.is_some() || self.began.is_none() {
            return;
        }
        self.oracle
            .state
            .tick(now, &self.oracle.evidence, StoreState::Down, None);
        let proven = self.oracle.state.phase() == Phase::RolledBack;
        if proven || self.entries.iter().any(|entry| entry.cut) {
            self.shown = Some(time);
            self.result.delay = self.began.map(|began| time - began);
        }
    }

    /// A fifth of the messages is lost, and a fifth arrives twice.
    fn exchange(&mut self, now: SystemTime) {
        let first = Bucket(Bucket::of(now).0.saturating_sub(2));
        for from in 0..self.entries.len() {
            let process = self.entries[from].process;
            let part = self.entries[from].evidence.since(first, Some(process));
            for to in (0..self.entries.len()).filter(|to| *to != from) {
                let fate = self.rng.random_range(0..5);
                let times = [0, 2, 1, 1, 1][fate];
                for _ in 0..times {
                    self.entries[to].evidence.merge(&part);
                }
            }
        }
    }

    fn tick(&mut self, now: SystemTime, time: f64) {
        let down = within(self.case.outage, time);
        let expired = self
            .case
            .outage
            .is_some_and(|(from, to)| time >= from + LEASE && time < to);
        let store = if down {
            StoreState::Down
        } else {
            StoreState::Up
        };
        let mut news = Vec::new();
        for index in 0..self.entries.len() {
            let lease = (index == 0 && !expired).then_some(Fence(7));
            let entry = &mut self.entries[index];
            let actions = entry.state.tick(now, &entry.evidence, store, lease);
            self.result.raised |= entry.cut && entry.state.share() > Share::ZERO;
            if !entry.cut && entry.state.phase() == Phase::RolledBack && self.result.cause.is_none()
            {
                let cause = entry
                    .state
                    .conditions()
                    .last()
                    .map(|c| format!("{:?} {}", c.reason, c.message));
                self.result.cause = cause.map(|cause| (time, cause));
            }
            entry.cut |= entry.state.phase() == Phase::RolledBack;
            for action in actions {
                match action {
                    MoveAction::BroadcastStatus(status) => news.push((index, status)),
                    MoveAction::WriteStatus { status, .. } => {
                        self.result.unfenced |= lease.is_none() || down;
                        // A third of the replies is lost after the write.
                        if self.rng.random_range(0..3) > 0 {
                            self.entries[index].state.confirm_write(&status);
                        }
                        self.result.table = Some(status);
                    }
                    _ => {}
                }
            }
        }
        if within(self.case.partition, time) {
            return;
        }
        for (from, status) in news {
            for to in (0..self.entries.len()).filter(|to| *to != from) {
                self.entries[to].state.apply_status(now, &status);
            }
        }
    }

    fn poisson(&mut self, mean: f64) -> u32 {
        let limit = (-mean).exp();
        let mut product: f64 = self.rng.random();
        let mut count = 0;
        while product > limit {
            product *= self.rng.random::<f64>();
            count += 1;
        }
        count
    }
}

/// Runs `seeds` on a few threads and returns the results in order of the seeds.
pub fn sweep(seeds: u64, case: impl Fn(&mut ChaCha8Rng) -> Case + Sync) -> Vec<Result> {
    const THREADS: u64 = 4;
    let mut results: Vec<(u64, Result)> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..THREADS)
            .map(|worker| {
                let case = &case;
                scope.spawn(move || {
                    let mine = (0..seeds).filter(|seed| seed % THREADS == worker);
                    let run_one = |seed: u64| {
                        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
                        (seed, run(&case(&mut rng), seed))
                    };
                    mine.map(run_one).collect::<Vec<_>>()
                })
            })
            .collect();
        let joined = workers
            .into_iter()
            .map(|w| w.join().expect("worker panicked"));
        joined.flatten().collect()
    });
    results.sort_by_key(|(seed, _)| *seed);
    results.into_iter().map(|(_, result)| result).collect()
}
