//! Moves to good and bad versions.
//!
//! The fake is the stream of responses: each request goes to one of two versions according to the
//! share at its entry, and its response is drawn from the behaviour of that version. Bursts slow
//! down both versions and make both fail slightly more often; cold targets of the new version
//! respond slowly.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, SystemTime};

use ebonylug_core::{Fence, Incarnation, Name};
use ebonylug_moves::{
    Bucket, Capacity, Evidence, LatencyThresholds, LoadState, MoveAction, MoveSpec, MoveState,
    Phase, Sample, StoreState, TargetLoad,
};
use serde::Serialize;

use crate::deployment::Deployment;
use crate::engine::SECOND;
use crate::random::SeededRng;

/// Time before the start of the move in which the new version is loaded.
const LOAD_LEAD_US: u64 = 90 * SECOND;
/// Time between the start and the deadline of the move.
const WINDOW_US: u64 = 300 * SECOND;
/// Time after the deadline in which the status may still be written.
const STATUS_GRACE_US: u64 = 20 * SECOND;
/// Interval at which entries evaluate the move.
const TICK_US: u64 = SECOND / 4;
/// Interval at which entries exchange evidence.
const EXCHANGE_INTERVAL_US: u64 = SECOND;
/// Load as a multiple of the capacity.
const LOAD: f64 = 0.7;
/// Median time to the first token in seconds; the standard deviation of its logarithm is about 0.5.
const MEDIAN_TTFT_S: f64 = 0.2;
/// 95th percentile of the time to the first token outside bursts, in seconds.
const P95_TTFT_S: f64 = 0.455;
/// Fraction of the requests that fail with any version.
const FAILURE_RATE: f64 = 0.002;
/// Time between the starts of two bursts, and the duration of a burst.
const BURST_TIMES_US: (u64, u64) = (40 * SECOND, 8 * SECOND);
/// Fraction of the responses of a bad version that fail, or are slower by `SLOW_FACTOR`.
const FAULTY_FRACTION: f64 = 0.3;
/// Factor on the time to the first token of slow responses.
const SLOW_FACTOR: f64 = 4.0;
/// Number of faulty responses after which a fault counts as detectable. One or two could be chance.
const DETECTABLE_FAULTS: u32 = 5;
/// Number of targets of the new version. Five of them can serve the whole load.
const NEW_TARGETS: usize = 6;
/// Time to load a version, and duration of the cold start after it.
const LOAD_TIMES_US: (u64, u64) = (10 * SECOND, 15 * SECOND);
/// Steps of the baseline: fraction of the window, and share from then on.
const NAIVE_STEPS: [(f64, f64); 5] = [
    (0.0, 0.01),
    (0.12, 0.10),
    (0.24, 0.25),
    (0.36, 0.5),
    (0.48, 1.0),
];
/// Interval at which the baseline polls the store.
const NAIVE_POLL_INTERVAL_US: u64 = 5 * SECOND;
/// Error rate over 30 s above which the baseline rolls back.
const NAIVE_ERROR_THRESHOLD: f64 = 0.05;

/// Behaviour of the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Behaviour {
    /// Behaves like the old version.
    Good,
    /// Fails from the start.
    AtOnce,
    /// Is slow from the start.
    Slow,
    /// Starts to fail at a random time within the move.
    Later,
    /// Fails while it gets more than a fifth of the traffic.
    UnderLoad,
    /// Fails on one route only.
    OneRoute,
}

impl Behaviour {
    /// All behaviours of bad versions.
    pub const BAD: [Behaviour; 5] = [
        Behaviour::AtOnce,
        Behaviour::Slow,
        Behaviour::Later,
        Behaviour::UnderLoad,
        Behaviour::OneRoute,
    ];
}

/// Result of one move under one policy.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct MoveResult {
    /// Whether the new version had all traffic at every entry at the deadline.
    pub in_time: bool,
    /// Whether the move was rolled back.
    pub rolled_back: bool,
    /// Requests of the moved routes from the start to the deadline.
    pub requests: u64,
    /// Requests to the version while it was faulty and the fault was not yet detectable.
    #[serde(rename = "before")]
    pub bad_before: u64,
    /// All requests of the moved routes until the fault was detectable.
    #[serde(rename = "before_all")]
    pub all_before: u64,
    /// Requests to the faulty version in the first 3 s after the fault was detectable.
    #[serde(rename = "after")]
    pub bad_after: u64,
    /// Requests to the faulty version later than that.
    #[serde(rename = "late")]
    pub bad_late: u64,
    /// Seconds from the time at which the fault was detectable to the last request to the faulty
    /// version.
    #[serde(rename = "seconds")]
    pub last_bad_s: f64,
}

impl MoveResult {
    /// Returns the fraction of the traffic that went to the faulty version until the fault was
    /// detectable.
    #[must_use]
    pub fn exposed_fraction(&self) -> f64 {
        self.bad_before as f64 / self.all_before.max(1) as f64
    }
}

/// One move under both policies.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Case {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// Seed of the case.
    pub seed: u64,
    /// Behaviour of the new version.
    pub behaviour: Behaviour,
    /// Result with the product.
    pub product: MoveResult,
    /// Result with the baseline.
    pub naive: MoveResult,
}

/// Runs one move under both policies.
#[must_use]
pub fn case(deployment: &Deployment, behaviour: Behaviour, seed: u64) -> Case {
    let run = |naive| MoveRun::new(deployment, behaviour, seed, naive).run();
    Case {
        deployment: deployment.name,
        seed,
        behaviour,
        product: run(false),
        naive: run(true),
    }
}

/// The state of one move: the responses in flight, the policy and the counters.
struct MoveRun {
    now: u64,
    behaviour: Behaviour,
    routes: Vec<(Name, f64)>,
    versions: [Name; 2],
    spec: MoveSpec,
    entries: Vec<Entry>,
    random: SeededRng,
    responses: BinaryHeap<Reverse<Response>>,
    sequence: u64,
    /// Start and end of the store outage.
    outage: (u64, u64),
    /// Time from which a version with [`Behaviour::Later`] is faulty.
    fault_start: u64,
    /// Route on which a version with [`Behaviour::OneRoute`] is faulty.
    faulty_route: usize,
    /// State of each target of the new version, and the time at which it changes next.
    loads: Vec<(LoadState, u64)>,
    naive: Option<Controller>,
    bad_responses: u32,
    detectable_at: Option<u64>,
    result: MoveResult,
}

struct Entry {
    state: MoveState,
    evidence: Evidence,
    process: Incarnation,
}

/// Arrival time of a response, sequence number, entry, route, and the drawn properties.
type Response = (u64, u64, usize, usize, ResponseDraw);

/// Properties drawn for the response to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ResponseDraw {
    new: bool,
    failed: bool,
    cold: bool,
    bad: bool,
    ttft: u64,
}

/// The controller of the baseline, with the share in the store.
#[derive(Default)]
struct Controller {
    /// Share in the store.
    stored: f64,
    /// Share at each entry.
    shares: Vec<f64>,
    /// Times of the new version's recent responses, and whether they failed.
    recent: Vec<(u64, bool)>,
    rolled_back: bool,
}

impl MoveRun {
    fn new(deployment: &Deployment, behaviour: Behaviour, seed: u64, naive: bool) -> Self {
        let mut random = SeededRng::new(seed, 3_000);
        let (models, _) = deployment.capacity();
        let routes = deployment.routes.iter().filter(|route| !route.service);
        let rate = |share: f64, work: f64| LOAD * share * models / work;
        let routes: Vec<(Name, f64)> = routes
            .map(|route| (Name::new(route.name), rate(route.share, route.mean_work())))
            .collect();
        let versions = [Name::new("v6"), Name::new("v7")];
        let mut spec = MoveSpec::new("move", routes[0].0.as_str(), "v6", "v7");
        for (route, _) in &routes[1..] {
            spec = spec.route(route.as_str());
        }
        let spec = spec.window(wall_time(LOAD_LEAD_US), wall_time(LOAD_LEAD_US + WINDOW_US));
        let entry = |index: usize| Entry {
            state: MoveState::new(spec.clone()),
            evidence: Evidence::default(),
            process: Incarnation(index as u64 + 1),
        };
        // The ramp takes the middle of the window; the store is down for half of the window.
        let outage_start = LOAD_LEAD_US + (random.uniform(0.0, 0.4) * WINDOW_US as f64) as u64;
        let shares = vec![0.0; deployment.entries];
        MoveRun {
            now: 0,
            behaviour,
            versions,
            entries: (0..deployment.entries).map(entry).collect(),
            spec,
            responses: BinaryHeap::new(),
            sequence: 0,
            outage: (outage_start, outage_start + WINDOW_US / 2),
            fault_start: LOAD_LEAD_US + (random.uniform(0.1, 0.9) * WINDOW_US as f64) as u64,
            faulty_route: random.index(routes.len()),
            routes,
            loads: vec![(LoadState::Missing, 0); NEW_TARGETS],
            naive: naive.then(|| Controller {
                shares,
                ..Controller::default()
            }),
            bad_responses: 0,
            detectable_at: None,
            result: MoveResult::default(),
            random: SeededRng::new(seed, 3_001),
        }
    }

    fn run(mut self) -> MoveResult {
        while self.now < LOAD_LEAD_US + WINDOW_US + STATUS_GRACE_US {
            self.receive_responses();
            if self.naive.is_some() {
                self.tick_naive();
            } else {
                self.tick_product();
            }
            self.send_requests();
            if self.now == LOAD_LEAD_US + WINDOW_US {
                self.result.in_time = (0..self.entries.len()).all(|e| self.share(e) >= 1.0);
            }
            self.now += TICK_US;
        }
        self.result.rolled_back = match &self.naive {
            Some(naive) => naive.rolled_back,
            None => self
                .entries
                .iter()
                .all(|e| e.state.phase() == Phase::RolledBack),
        };
        if self.result.rolled_back {
            self.result.in_time = false;
        }
        self.result
    }

    fn share(&self, entry: usize) -> f64 {
        match &self.naive {
            Some(naive) => naive.shares[entry],
            None => self.entries[entry].state.share().fraction(),
        }
    }

    fn store(&self) -> StoreState {
        if (self.outage.0..self.outage.1).contains(&self.now) {
            StoreState::Down
        } else {
            StoreState::Up
        }
    }

    /// Generates the requests until the next tick.
    fn send_requests(&mut self) {
        let burst = self.now % BURST_TIMES_US.0 < BURST_TIMES_US.1;
        let factor = if burst { 1.5 } else { 0.875 };
        for entry in 0..self.entries.len() {
            for route in 0..self.routes.len() {
                let rate = self.routes[route].1 * factor / self.entries.len() as f64;
                let mut at = 0.0;
                loop {
                    at += self.random.exponential(1.0 / rate) * SECOND as f64;
                    if at >= TICK_US as f64 {
                        break;
                    }
                    self.request(entry, route, self.now + at as u64, burst);
                }
            }
        }
    }

    fn request(&mut self, entry: usize, route: usize, at: u64, burst: bool) {
        let share = self.share(entry);
        let new = self.random.chance(share);
        let cold = new && self.random.chance(self.cold_fraction());
        let bad = new && self.is_bad(route, share) && self.random.chance(FAULTY_FRACTION);
        // A fifth of the load factor of a burst, 1.5, is added to the latency of both versions.
        let burst_factor = if burst { 1.3 } else { 1.0 };
        let spread = self.random.exponential(1.0) - self.random.exponential(1.0);
        let mut ttft = MEDIAN_TTFT_S * burst_factor * (0.35 * spread).exp();
        if cold {
            ttft *= 4.0;
        }
        let slow = self.behaviour == Behaviour::Slow;
        if bad && slow {
            ttft *= SLOW_FACTOR;
        }
        let failures = if burst {
            3.0 * FAILURE_RATE
        } else {
            FAILURE_RATE
        };
        let failed = (bad && !slow) || self.random.chance(failures);
        let ttft = (ttft * SECOND as f64) as u64;
        let time = if failed {
            SECOND / 10
        } else {
            ttft + 2 * SECOND
        };
        self.sequence += 1;
        let drawn = ResponseDraw {
            new,
            failed,
            cold,
            bad,
            ttft,
        };
        self.responses
            .push(Reverse((at + time, self.sequence, entry, route, drawn)));
        self.count_request(new && self.is_bad(route, share), at);
    }

    fn count_request(&mut self, bad: bool, at: u64) {
        if !(LOAD_LEAD_US..LOAD_LEAD_US + WINDOW_US).contains(&at) {
            return;
        }
        self.result.requests += 1;
        match self.detectable_at {
            None => {
                self.result.all_before += 1;
                self.result.bad_before += u64::from(bad);
            }
            Some(detectable) if bad => {
                self.result.last_bad_s = (at - detectable) as f64 / SECOND as f64;
                if at > detectable + 3 * SECOND {
                    self.result.bad_late += 1;
                } else {
                    self.result.bad_after += 1;
                }
            }
            Some(_) => {}
        }
    }

    fn is_bad(&self, route: usize, share: f64) -> bool {
        match self.behaviour {
            Behaviour::Good => false,
            Behaviour::AtOnce | Behaviour::Slow => true,
            Behaviour::Later => self.now >= self.fault_start,
            Behaviour::UnderLoad => share > 0.2,
            Behaviour::OneRoute => route == self.faulty_route,
        }
    }

    /// Returns the cold fraction of the new version's loaded targets.
    fn cold_fraction(&self) -> f64 {
        let loaded = |state: LoadState| matches!(state, LoadState::Cold | LoadState::Warm);
        let all = self
            .loads
            .iter()
            .filter(|(state, _)| loaded(*state))
            .count();
        let cold = self
            .loads
            .iter()
            .filter(|(state, _)| *state == LoadState::Cold);
        cold.count() as f64 / all.max(1) as f64
    }

    /// Records the responses that have arrived.
    fn receive_responses(&mut self) {
        while let Some(Reverse((at, ..))) = self.responses.peek()
            && *at <= self.now
        {
            let Some(Reverse((at, _, entry, route, drawn))) = self.responses.pop() else {
                return;
            };
            if drawn.bad {
                self.bad_responses += 1;
                if self.bad_responses == DETECTABLE_FAULTS {
                    self.detectable_at = Some(at);
                }
            }
            if let Some(naive) = &mut self.naive {
                if drawn.new {
                    naive.recent.push((at, drawn.failed));
                }
                continue;
            }
            let thresholds = LatencyThresholds {
                ttft: Duration::from_secs_f64(P95_TTFT_S),
                token_interval: Duration::MAX,
            };
            let sample = if drawn.failed {
                Sample::failure()
            } else {
                let ttft = Duration::from_micros(drawn.ttft);
                Sample::success().with_latency(ttft, None, Some(thresholds))
            };
            let entry = &mut self.entries[entry];
            let version = self.versions[usize::from(drawn.new)].clone();
            let route = self.routes[route].0.clone();
            let sample = sample.cold(drawn.cold);
            entry
                .evidence
                .record(wall_time(at), entry.process, version, route, sample);
        }
    }

    fn tick_product(&mut self) {
        self.advance_loads();
        if self.now.is_multiple_of(EXCHANGE_INTERVAL_US) {
            self.exchange_evidence();
        }
        let store = self.store();
        // The lease expires ten seconds after the store goes down and is acquired again when the
        // store is up.
        let leased = store == StoreState::Up || self.now < self.outage.0 + 10 * SECOND;
        let warm = self
            .loads
            .iter()
            .filter(|(state, _)| *state == LoadState::Warm);
        let warm = warm.count() as f64;
        let capacity = Capacity {
            warm: warm / (NEW_TARGETS - 1) as f64,
            planned: NEW_TARGETS as f64 / (NEW_TARGETS - 1) as f64,
        };
        let mut broadcasts = Vec::new();
        for index in 0..self.entries.len() {
            let lease = (index == 0 && leased).then_some(Fence(1));
            let loads: Vec<TargetLoad> = self.target_loads();
            let entry = &mut self.entries[index];
            entry.state.set_capacity(capacity);
            entry.state.set_targets(&loads);
            for action in entry
                .state
                .tick(wall_time(self.now), &entry.evidence, store, lease)
            {
                match action {
                    MoveAction::BroadcastStatus(status) => broadcasts.push((index, status)),
                    MoveAction::WriteStatus { status, .. } => entry.state.confirm_write(&status),
                    MoveAction::LoadVersion { target, .. } => {
                        let number: usize = target.as_str().parse().expect("targets are numbers");
                        self.loads[number] = (LoadState::Loading, self.now + LOAD_TIMES_US.0);
                    }
                    MoveAction::SetShare(_)
                    | MoveAction::WarmUp { .. }
                    | MoveAction::ReleaseVersion { .. } => {}
                }
            }
        }
        // Peers receive a status within a millisecond, which is less than a tick.
        for (from, status) in broadcasts {
            for (index, entry) in self.entries.iter_mut().enumerate() {
                if index != from {
                    entry.state.apply_status(wall_time(self.now), &status);
                }
            }
        }
    }

    fn target_loads(&self) -> Vec<TargetLoad> {
        let load = |(index, (state, _)): (usize, &(LoadState, u64))| TargetLoad {
            target: Name::new(&index.to_string()),
            state: *state,
        };
        self.loads.iter().enumerate().map(load).collect()
    }

    /// Advances the loading and the cold start of the targets to the current time.
    fn advance_loads(&mut self) {
        for (state, until) in &mut self.loads {
            if self.now < *until {
                continue;
            }
            match state {
                LoadState::Loading => {
                    *state = LoadState::Cold;
                    *until = self.now + LOAD_TIMES_US.1;
                }
                LoadState::Cold => *state = LoadState::Warm,
                LoadState::Missing | LoadState::Warm => {}
            }
        }
    }

    fn exchange_evidence(&mut self) {
        let since = Bucket::of(wall_time(self.now) - Duration::from_secs(10));
        let own = |entry: &Entry| entry.evidence.since(since, Some(entry.process));
        let recent: Vec<Evidence> = self.entries.iter().map(own).collect();
        for (index, entry) in self.entries.iter_mut().enumerate() {
            for (from, evidence) in recent.iter().enumerate() {
                if from != index {
                    entry.evidence.merge(evidence);
                }
            }
        }
    }

    /// Loads the version on all targets before the start and sets the share from the fixed steps.
    fn tick_naive(&mut self) {
        if self.now == 0 {
            self.loads.fill((LoadState::Loading, LOAD_TIMES_US.0));
        }
        self.advance_loads();
        let up = self.store() == StoreState::Up;
        let (now, progress) = (self.now, self.spec.progress(wall_time(self.now)));
        let Some(naive) = &mut self.naive else {
            return;
        };
        if !now.is_multiple_of(NAIVE_POLL_INTERVAL_US) || !up {
            return;
        }
        let oldest = now.saturating_sub(30 * SECOND);
        naive.recent.retain(|(at, _)| *at >= oldest);
        let failed = naive.recent.iter().filter(|(_, failed)| *failed).count();
        let rate = failed as f64 / naive.recent.len().max(1) as f64;
        naive.rolled_back |= naive.recent.len() >= 20 && rate > NAIVE_ERROR_THRESHOLD;
        // Entries read the share that the controller wrote at its previous poll.
        let stored = naive.stored;
        naive.shares.fill(stored);
        let step = NAIVE_STEPS
            .iter()
            .rev()
            .find(|(from, _)| progress.is_some_and(|p| p >= *from));
        naive.stored = if naive.rolled_back {
            0.0
        } else {
            step.map_or(0.0, |(_, share)| *share)
        };
    }
}

/// Converts virtual time to wall-clock time.
fn wall_time(at: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(86_400) + Duration::from_micros(at)
}
