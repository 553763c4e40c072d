//! A simulation in virtual time: entries that serve requests, exchange evidence with delay and
//! loss, and write to a store with outages.

use std::time::{Duration, SystemTime};

use ebonylug_core::{Fence, Incarnation, Name};
use ebonylug_moves::{
    Bucket, Capacity, Evidence, MoveAction, MoveSpec, MoveState, MoveStatus, Phase, Sample,
    SequentialTest, Share, StoreState,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Interval of ticks and delay of messages between entries, in seconds.
const STEP_S: f64 = 0.5;
/// Time in seconds after which a lease expires when the store does not respond.
const LEASE_S: f64 = 10.0;

pub fn start() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(86_400)
}

/// When the new version becomes worse than the old one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Onset {
    Never,
    /// Seconds after the start.
    At(f64),
    /// Above this share of traffic.
    AboveShare(f64),
}

/// A period in seconds in which requests to both versions fail or are slow with these
/// probabilities.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    pub from: f64,
    pub to: f64,
    pub fail: f64,
    pub slow: f64,
}

/// A period in seconds in which targets of the new version are cold. At first, their responses are
/// not marked as cold.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    pub from: f64,
    pub to: f64,
    /// Fraction of the targets of the new version that is cold.
    pub fraction: f64,
    /// Seconds until responses are marked as cold.
    pub mark_delay: f64,
}

/// The conditions of one simulated move.
#[derive(Clone, Debug)]
pub struct Case {
    /// Seconds from the start to the deadline.
    pub window: f64,
    /// Requests per second.
    pub rate: f64,
    pub routes: usize,
    pub entries: usize,
    pub onset: Onset,
    /// The only route on which the version is bad.
    pub bad_route: Option<usize>,
    /// Probability that a request to the bad version fails.
    pub bad_fail: f64,
    /// Probability that a response of the bad version is slow.
    pub bad_slow: f64,
    pub bursts: Vec<Burst>,
    pub cold_starts: Vec<ColdStart>,
    /// Period in seconds in which the store does not respond.
    pub outage: Option<(f64, f64)>,
    pub capacity: Capacity,
    /// Time in seconds at which a target of the new version crashes, and its requests in flight.
    pub crash: Option<(f64, u32)>,
    /// Time in seconds at which an entry restarts and loses its state.
    pub restart: Option<f64>,
    /// Period in seconds in which entries exchange no messages.
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
            cold_starts: Vec::new(),
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
pub struct CaseResult {
    pub phases: Vec<Phase>,
    pub shares: Vec<Share>,
    /// Requests until the bad version is detectable, or until the deadline.
    pub requests: u64,
    /// Those of `requests` that the new version served while it was bad.
    pub exposed: u64,
    /// Requests to the new version more than 3 s after it became detectable as bad.
    pub late: u64,
    /// Seconds from the first request to the bad version until it is detectable.
    pub detection_delay: Option<f64>,
    /// Whether all entries route all traffic to the new version at the deadline.
    pub full: bool,
    pub stored: Option<MoveStatus>,
    /// Whether the share of any entry was above zero after its rollback.
    pub raised: bool,
    /// Whether a status was written without the lease or while the store was down.
    pub unfenced: bool,
    /// Time in seconds and reason of the first rollback.
    pub cause: Option<(f64, String)>,
}

impl CaseResult {
    pub fn rolled_back(&self) -> bool {
        self.phases.iter().all(|phase| *phase == Phase::RolledBack)
    }

    pub fn any_rolled_back(&self) -> bool {
        self.phases.contains(&Phase::RolledBack)
    }

    pub fn exposure(&self) -> f64 {
        self.exposed as f64 / self.requests.max(1) as f64
    }

    pub fn has(&self, reason: ebonylug_moves::MoveReason) -> bool {
        let conditions = self.stored.iter().flat_map(|status| &status.conditions);
        conditions.into_iter().any(|c| c.reason == reason)
    }
}

/// An entry that serves requests and holds its own state of the move.
struct Entry {
    state: MoveState,
    evidence: Evidence,
    process: Incarnation,
    /// Accumulated share of the new version since its last request, by route.
    credit: Vec<f64>,
    rolled_back: bool,
}

struct Simulation<'a> {
    case: &'a Case,
    rng: ChaCha8Rng,
    spec: MoveSpec,
    routes: Vec<Name>,
    entries: Vec<Entry>,
    oracle: Entry,
    detectable_at: Option<f64>,
    bad_since: Option<f64>,
    result: CaseResult,
}

pub fn spec(case: &Case) -> MoveSpec {
    let mut spec = MoveSpec::new("move", "route-0", "old", "new")
        .window(start(), start() + Duration::from_secs_f64(case.window));
    for route in 1..case.routes {
        spec = spec.route(&format!("route-{route}"));
    }
    spec
}

/// Runs a case until 20 s after the deadline, or after a later end of the outage.
pub fn run(case: &Case, seed: u64) -> CaseResult {
    let spec = spec(case);
    let mut simulation = Simulation {
        case,
        rng: ChaCha8Rng::seed_from_u64(seed),
        routes: spec.routes.to_vec(),
        entries: (0..case.entries)
            .map(|n| entry(case, &spec, n as u64))
            .collect(),
        oracle: oracle(case, &spec),
        spec,
        detectable_at: None,
        bad_since: None,
        result: CaseResult::default(),
    };
    let outage = case.outage.map_or(0.0, |(_, to)| to.min(2.0 * case.window));
    let steps = ((case.window.max(outage) + 20.0) / STEP_S) as u32;
    for step in 0..steps {
        simulation.step(f64::from(step) * STEP_S);
    }
    simulation.result.phases = simulation.entries.iter().map(|e| e.state.phase()).collect();
    simulation.result.shares = simulation.entries.iter().map(|e| e.state.share()).collect();
    simulation.result
}

fn entry(case: &Case, spec: &MoveSpec, process: u64) -> Entry {
    let mut state = MoveState::new(spec.clone());
    state.set_capacity(case.capacity);
    Entry {
        state,
        evidence: Evidence::default(),
        process: Incarnation(process),
        credit: vec![0.0; case.routes],
        rolled_back: false,
    }
}

/// Returns an entry that receives all samples without delay. Its threshold is higher than the
/// default, so that its result does not depend on single requests.
fn oracle(case: &Case, spec: &MoveSpec) -> Entry {
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

impl Simulation<'_> {
    fn step(&mut self, time: f64) {
        let now = start() + Duration::from_secs_f64(time);
        if self.case.restart == Some(time) {
            self.restart(now, time);
        }
        for index in 0..self.entries.len() {
            self.serve(now, time, index);
        }
        self.crash(now, time);
        self.check_detectable(now, time);
        if !within(self.case.partition, time) {
            self.exchange(now);
        }
        self.tick(now, time);
        let full = self.entries.iter().all(|e| e.state.share() == Share::FULL);
        if time >= self.case.window && time < self.case.window + STEP_S {
            self.result.full = full;
        }
    }

    /// Replaces the last entry by a new process that gets the status from a peer.
    fn restart(&mut self, now: SystemTime, time: f64) {
        let last = self.entries.len() - 1;
        let mut restarted = entry(self.case, &self.spec, 1_000 + time as u64);
        let status = self.entries[0].state.status();
        restarted.state.apply_status(now, &status);
        restarted.rolled_back = self.entries[last].rolled_back;
        self.entries[last] = restarted;
    }

    fn serve(&mut self, now: SystemTime, time: f64, index: usize) {
        let burst = self
            .case
            .bursts
            .iter()
            .any(|b| (b.from..b.to).contains(&time));
        let load_factor = if burst { 2.0 } else { 1.0 };
        let mean = self.case.rate * load_factor * STEP_S / self.entries.len() as f64;
        for _ in 0..self.poisson(mean) {
            let route = self.rng.random_range(0..self.routes.len());
            let entry = &mut self.entries[index];
            let share = entry.state.share().fraction();
            entry.credit[route] = if share > 0.0 {
                entry.credit[route] + share
            } else {
                0.0
            };
            let new = entry.credit[route] >= 1.0 - 1e-9;
            if new {
                entry.credit[route] -= 1.0;
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
        if self.detectable_at.is_none() && time < self.case.window {
            self.result.requests += 1;
            self.result.exposed += u64::from(bad);
        }
        if new
            && self
                .detectable_at
                .is_some_and(|detectable| time > detectable + 3.0)
        {
            self.result.late += 1;
        }
        if bad {
            self.bad_since.get_or_insert(time);
            (fail, slow) = (fail.max(self.case.bad_fail), slow.max(self.case.bad_slow));
        }
        let mut cold = false;
        let mut overload = false;
        for cold_start in &self.case.cold_starts {
            let affected = self.rng.random_bool(cold_start.fraction);
            if new && affected && (cold_start.from..cold_start.to).contains(&time) {
                // A cold target is slow and fails under a load that it can serve when it is warm.
                slow = 0.9;
                cold = time >= cold_start.from + cold_start.mark_delay;
                overload = cold && self.rng.random_bool(0.2);
            }
        }
        let success = !overload && !self.rng.random_bool(fail);
        let sample = if success {
            Sample::success()
        } else {
            Sample::failure()
        };
        let slow = success && self.rng.random_bool(slow);
        sample.slow(slow).cold(cold).overload(overload)
    }

    fn is_bad(&self, time: f64, route: usize, share: f64) -> bool {
        let affected = self.case.bad_route.is_none_or(|bad| bad == route);
        affected
            && match self.case.onset {
                Onset::Never => false,
                Onset::At(onset) => time >= onset,
                Onset::AboveShare(limit) => share >= limit,
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
        let Some((when, in_flight)) = self.case.crash else {
            return;
        };
        if when != time {
            return;
        }
        for n in 0..in_flight {
            let index = n as usize % self.entries.len();
            self.record(now, index, 0, true, Sample::failure());
        }
    }

    /// Sets when the bad version is detectable: as soon as the oracle or any entry has rolled it
    /// back.
    fn check_detectable(&mut self, now: SystemTime, time: f64) {
        if self.detectable_at.is_some() || self.bad_since.is_none() {
            return;
        }
        self.oracle
            .state
            .tick(now, &self.oracle.evidence, StoreState::Down, None);
        let proven = self.oracle.state.phase() == Phase::RolledBack;
        if proven || self.entries.iter().any(|entry| entry.rolled_back) {
            self.detectable_at = Some(time);
            self.result.detection_delay = self.bad_since.map(|since| time - since);
        }
    }

    /// Exchanges evidence. A fifth of the messages is lost, and a fifth is duplicated.
    fn exchange(&mut self, now: SystemTime) {
        let first = Bucket(Bucket::of(now).0.saturating_sub(2));
        for from in 0..self.entries.len() {
            let process = self.entries[from].process;
            let part = self.entries[from].evidence.since(first, Some(process));
            for to in (0..self.entries.len()).filter(|to| *to != from) {
                let draw = self.rng.random_range(0..5);
                let copies = [0, 2, 1, 1, 1][draw];
                for _ in 0..copies {
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
            .is_some_and(|(from, to)| time >= from + LEASE_S && time < to);
        let store = if down {
            StoreState::Down
        } else {
            StoreState::Up
        };
        let mut broadcasts = Vec::new();
        for index in 0..self.entries.len() {
            let lease = (index == 0 && !expired).then_some(Fence(7));
            let entry = &mut self.entries[index];
            let actions = entry.state.tick(now, &entry.evidence, store, lease);
            self.result.raised |= entry.rolled_back && entry.state.share() > Share::ZERO;
            if !entry.rolled_back
                && entry.state.phase() == Phase::RolledBack
                && self.result.cause.is_none()
            {
                let cause = entry
                    .state
                    .conditions()
                    .last()
                    .map(|c| format!("{:?} {}", c.reason, c.message));
                self.result.cause = cause.map(|cause| (time, cause));
            }
            entry.rolled_back |= entry.state.phase() == Phase::RolledBack;
            for action in actions {
                match action {
                    MoveAction::BroadcastStatus(status) => broadcasts.push((index, status)),
                    MoveAction::WriteStatus { status, .. } => {
                        self.result.unfenced |= lease.is_none() || down;
                        // A third of the replies to writes is lost.
                        if self.rng.random_range(0..3) > 0 {
                            self.entries[index].state.confirm_write(&status);
                        }
                        self.result.stored = Some(status);
                    }
                    _ => {}
                }
            }
        }
        if within(self.case.partition, time) {
            return;
        }
        for (from, status) in broadcasts {
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

/// Runs a case for each seed on several threads and returns the results in order of the seeds.
pub fn run_seeds(seeds: u64, case: impl Fn(&mut ChaCha8Rng) -> Case + Sync) -> Vec<CaseResult> {
    const THREADS: u64 = 4;
    let mut results: Vec<(u64, CaseResult)> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..THREADS)
            .map(|worker| {
                let case = &case;
                scope.spawn(move || {
                    let assigned = (0..seeds).filter(|seed| seed % THREADS == worker);
                    let run_one = |seed: u64| {
                        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
                        (seed, run(&case(&mut rng), seed))
                    };
                    assigned.map(run_one).collect::<Vec<_>>()
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
