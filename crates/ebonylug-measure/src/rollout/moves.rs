//! Version moves of good and bad versions.
//!
//! The fake is the stream of answers: each request goes to one of two versions by the share of
//! its entry, and its answer is drawn from the behaviour of that version. Bursts slow down both
//! versions and make both fail a little; cold targets of the new version answer slowly at first.

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
use crate::random::Random;

/// Time before the start in which the new version is loaded.
const BEFORE: u64 = 90 * SECOND;
/// Time between start and deadline.
const WINDOW: u64 = 300 * SECOND;
/// Time after the deadline in which the status may still be written.
const AFTER: u64 = 20 * SECOND;
/// The interval in which entries look at their moves.
const TICK: u64 = SECOND / 4;
/// The interval in which entries exchange evidence.
const EXCHANGE: u64 = SECOND;
/// The load as a multiple of the capacity.
const LOAD: f64 = 0.7;
/// The median time to the first token in seconds; its logarithm deviates by half.
const FIRST: f64 = 0.2;
/// The 95th percentile of the time to the first token without bursts, in seconds.
const SLOW: f64 = 0.455;
/// The part of the requests that fail with any version.
const FAILURES: f64 = 0.002;
/// Time between bursts, and their length.
const BURST: (u64, u64) = (40 * SECOND, 8 * SECOND);
/// The part of the answers of a bad version that fail, or are slower by `SLOWER`.
const BAD: f64 = 0.3;
/// The factor on the time to the first token of slow answers.
const SLOWER: f64 = 4.0;
/// Bad answers after which a version has shown that it is bad. One or two could be chance.
const SHOWN: u32 = 5;
/// The number of targets of the new version. Five of them bear the whole load.
const TARGETS: usize = 6;
/// Time to load a version, and time that it is cold afterwards.
const LOADING: (u64, u64) = (10 * SECOND, 15 * SECOND);
/// Steps of the baseline as a part of the window, with the share.
const STEPS: [(f64, f64); 5] = [
    (0.0, 0.01),
    (0.12, 0.10),
    (0.24, 0.25),
    (0.36, 0.5),
    (0.48, 1.0),
];
/// The interval in which the baseline polls the store.
const POLL: u64 = 5 * SECOND;
/// The error rate above which the baseline rolls back, in its window of 30 s.
const THRESHOLD: f64 = 0.05;

/// How the new version behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Behaviour {
    /// Like the old version.
    Good,
    /// Fails from the start.
    AtOnce,
    /// Is slow from the start.
    Slow,
    /// Fails from a time within the move on.
    Later,
    /// Fails when it gets more than a fifth of the traffic.
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

/// The result of one move under one policy.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Result {
    /// Whether the new version had all traffic at every entry at the deadline.
    pub in_time: bool,
    /// Whether the move was rolled back.
    pub rolled_back: bool,
    /// Requests of the routes from the start to the deadline.
    pub requests: u64,
    /// Requests to the version while it was bad and before it had shown it.
    pub before: u64,
    /// All requests of the routes up to that time.
    pub before_all: u64,
    /// Requests to the bad version from the showing on, without the next.
    pub after: u64,
    /// Requests to the bad version later than 3 s after the showing.
    pub late: u64,
    /// Seconds from the showing to the last request to the bad version.
    pub seconds: f64,
}

impl Result {
    /// Returns the part of the traffic up to the showing that the bad version got.
    #[must_use]
    pub fn exposed(&self) -> f64 {
        self.before as f64 / self.before_all.max(1) as f64
    }
}

/// One move under both policies.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Case {
    /// The deployment.
    pub deployment: &'static str,
    /// The seed.
    pub seed: u64,
    /// The behaviour.
    pub behaviour: Behaviour,
    /// The product.
    pub product: Result,
    /// The baseline.
    pub naive: Result,
}

/// Runs one case.
#[must_use]
pub fn case(deployment: &Deployment, behaviour: Behaviour, seed: u64) -> Case {
    let run = |naive| Run::new(deployment, behaviour, seed, naive).run();
    Case {
        deployment: deployment.name,
        seed,
        behaviour,
        product: run(false),
        naive: run(true),
    }
}

/// The answers, the policy and what is counted.
struct Run {
    now: u64,
    behaviour: Behaviour,
    routes: Vec<(Name, f64)>,
    versions: [Name; 2],
    spec: MoveSpec,
    entries: Vec<Entry>,
    random: Random,
    answers: BinaryHeap<Reverse<Answer>>,
    sequence: u64,
    outage: (u64, u64),
    bad_from: u64,
    bad_route: usize,
    loads: Vec<(LoadState, u64)>,
    naive: Option<Naive>,
    shown: u32,
    shown_at: Option<u64>,
    result: Result,
}

struct Entry {
    state: MoveState,
    evidence: Evidence,
    process: Incarnation,
}

/// When an answer arrives, its number, the entry, the route, and what was drawn.
type Answer = (u64, u64, usize, usize, Drawn);

/// What was drawn for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Drawn {
    new: bool,
    failed: bool,
    cold: bool,
    bad: bool,
    first: u64,
}

/// The controller of the baseline with the share in the store.
#[derive(Default)]
struct Naive {
    stored: f64,
    shares: Vec<f64>,
    recent: Vec<(u64, bool)>,
    rolled_back: bool,
}

impl Run {
    fn new(deployment: &Deployment, behaviour: Behaviour, seed: u64, naive: bool) -> Self {
        let mut random = Random::new(seed, 3_000);
        let (models, _) = deployment.capacity();
        let routes = deployment.routes.iter().filter(|route| !route.service);
        let rate = |part: f64, work: f64| LOAD * part * models / work;
        let routes: Vec<(Name, f64)> = routes
            .map(|route| (Name::new(route.name), rate(route.part, route.mean_work())))
            .collect();
        let versions = [Name::new("v6"), Name::new("v7")];
        let mut spec = MoveSpec::new("move", routes[0].0.as_str(), "v6", "v7");
        for (route, _) in &routes[1..] {
            spec = spec.route(route.as_str());
        }
        let spec = spec.window(wall(BEFORE), wall(BEFORE + WINDOW));
        let entry = |index: usize| Entry {
            state: MoveState::new(spec.clone()),
            evidence: Evidence::default(),
            process: Incarnation(index as u64 + 1),
        };
        // The ramp is the middle of the window; the store is out for half of it.
        let out = BEFORE + (random.between(0.0, 0.4) * WINDOW as f64) as u64;
        let shares = vec![0.0; deployment.entries];
        Run {
            now: 0,
            behaviour,
            versions,
            entries: (0..deployment.entries).map(entry).collect(),
            spec,
            answers: BinaryHeap::new(),
            sequence: 0,
            outage: (out, out + WINDOW / 2),
            bad_from: BEFORE + (random.between(0.1, 0.9) * WINDOW as f64) as u64,
            bad_route: random.below(routes.len()),
            routes,
            loads: vec![(LoadState::Missing, 0); TARGETS],
            naive: naive.then(|| Naive {
                shares,
                ..Naive::default()
            }),
            shown: 0,
            shown_at: None,
            result: Result::default(),
            random: Random::new(seed, 3_001),
        }
    }

    fn run(mut self) -> Result {
        while self.now < BEFORE + WINDOW + AFTER {
            self.receive();
            if self.naive.is_some() {
                self.tick_naive();
            } else {
                self.tick_product();
            }
            self.send();
            if self.now == BEFORE + WINDOW {
                self.result.in_time = (0..self.entries.len()).all(|e| self.share(e) >= 1.0);
            }
            self.now += TICK;
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

    /// Draws the requests until the next tick.
    fn send(&mut self) {
        let burst = self.now % BURST.0 < BURST.1;
        let factor = if burst { 1.5 } else { 0.875 };
        for entry in 0..self.entries.len() {
            for route in 0..self.routes.len() {
                let rate = self.routes[route].1 * factor / self.entries.len() as f64;
                let mut at = 0.0;
                loop {
                    at += self.random.exponential(1.0 / rate) * SECOND as f64;
                    if at >= TICK as f64 {
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
        let cold = new && self.random.chance(self.cold_part());
        let bad = new && self.is_bad(route, share) && self.random.chance(BAD);
        // A fifth of the overload in a burst becomes visible, with both versions.
        let busy = if burst { 1.3 } else { 1.0 };
        let spread = self.random.exponential(1.0) - self.random.exponential(1.0);
        let mut first = FIRST * busy * (0.35 * spread).exp();
        if cold {
            first *= 4.0;
        }
        let slow = self.behaviour == Behaviour::Slow;
        if bad && slow {
            first *= SLOWER;
        }
        let failures = if burst { 3.0 * FAILURES } else { FAILURES };
        let failed = (bad && !slow) || self.random.chance(failures);
        let first = (first * SECOND as f64) as u64;
        let time = if failed {
            SECOND / 10
        } else {
            first + 2 * SECOND
        };
        self.sequence += 1;
        let drawn = Drawn {
            new,
            failed,
            cold,
            bad,
            first,
        };
        self.answers
            .push(Reverse((at + time, self.sequence, entry, route, drawn)));
        self.count(new && self.is_bad(route, share), at);
    }

    fn count(&mut self, bad: bool, at: u64) {
        if !(BEFORE..BEFORE + WINDOW).contains(&at) {
            return;
        }
        self.result.requests += 1;
        match self.shown_at {
            None => {
                self.result.before_all += 1;
                self.result.before += u64::from(bad);
            }
            Some(shown) if bad => {
                self.result.seconds = (at - shown) as f64 / SECOND as f64;
                if at > shown + 3 * SECOND {
                    self.result.late += 1;
                } else {
                    self.result.after += 1;
                }
            }
            Some(_) => {}
        }
    }

    fn is_bad(&self, route: usize, share: f64) -> bool {
        match self.behaviour {
            Behaviour::Good => false,
            Behaviour::AtOnce | Behaviour::Slow => true,
            Behaviour::Later => self.now >= self.bad_from,
            Behaviour::UnderLoad => share > 0.2,
            Behaviour::OneRoute => route == self.bad_route,
        }
    }

    /// Returns the part of the new version's loaded targets that are cold.
    fn cold_part(&self) -> f64 {
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

    /// Takes over the answers that have arrived.
    fn receive(&mut self) {
        while let Some(Reverse((at, ..))) = self.answers.peek()
            && *at <= self.now
        {
            let Some(Reverse((at, _, entry, route, drawn))) = self.answers.pop() else {
                return;
            };
            if drawn.bad {
                self.shown += 1;
                if self.shown == SHOWN {
                    self.shown_at = Some(at);
                }
            }
            if let Some(naive) = &mut self.naive {
                if drawn.new {
                    naive.recent.push((at, drawn.failed));
                }
                continue;
            }
            let reference = LatencyThresholds {
                ttft: Duration::from_secs_f64(SLOW),
                token_interval: Duration::MAX,
            };
            let sample = if drawn.failed {
                Sample::failure()
            } else {
                let first = Duration::from_micros(drawn.first);
                Sample::success().with_latency(first, None, Some(reference))
            };
            let entry = &mut self.entries[entry];
            let version = self.versions[usize::from(drawn.new)].clone();
            let route = self.routes[route].0.clone();
            let sample = sample.cold(drawn.cold);
            entry
                .evidence
                .record(wall(at), entry.process, version, route, sample);
        }
    }

    fn tick_product(&mut self) {
        self.load_versions();
        if self.now.is_multiple_of(EXCHANGE) {
            self.exchange();
        }
        let store = self.store();
        // The lease is lost ten seconds after the store went down, and taken again when it is up.
        let leased = store == StoreState::Up || self.now < self.outage.0 + 10 * SECOND;
        let warm = self
            .loads
            .iter()
            .filter(|(state, _)| *state == LoadState::Warm);
        let warm = warm.count() as f64;
        let capacity = Capacity {
            warm: warm / (TARGETS - 1) as f64,
            planned: TARGETS as f64 / (TARGETS - 1) as f64,
        };
        let mut announced = Vec::new();
        for index in 0..self.entries.len() {
            let lease = (index == 0 && leased).then_some(Fence(1));
            let loads: Vec<TargetLoad> = self.target_loads();
            let entry = &mut self.entries[index];
            entry.state.set_capacity(capacity);
            entry.state.set_targets(&loads);
            for action in entry
                .state
                .tick(wall(self.now), &entry.evidence, store, lease)
            {
                match action {
                    MoveAction::BroadcastStatus(status) => announced.push((index, status)),
                    MoveAction::WriteStatus { status, .. } => entry.state.confirm_write(&status),
                    MoveAction::LoadVersion { target, .. } => {
                        let place: usize = target.as_str().parse().expect("targets are numbers");
                        self.loads[place] = (LoadState::Loading, self.now + LOADING.0);
                    }
                    MoveAction::SetShare(_)
                    | MoveAction::WarmUp { .. }
                    | MoveAction::ReleaseVersion { .. } => {}
                }
            }
        }
        // Peers hear within a millisecond, which is less than a tick.
        for (from, status) in announced {
            for (index, entry) in self.entries.iter_mut().enumerate() {
                if index != from {
                    entry.state.apply_status(wall(self.now), &status);
                }
            }
        }
    }

    fn target_loads(&self) -> Vec<TargetLoad> {
        let load = |(place, (state, _)): (usize, &(LoadState, u64))| TargetLoad {
            target: Name::new(&place.to_string()),
            state: *state,
        };
        self.loads.iter().enumerate().map(load).collect()
    }

    fn load_versions(&mut self) {
        for (state, until) in &mut self.loads {
            if self.now < *until {
                continue;
            }
            match state {
                LoadState::Loading => {
                    *state = LoadState::Cold;
                    *until = self.now + LOADING.1;
                }
                LoadState::Cold => *state = LoadState::Warm,
                LoadState::Missing | LoadState::Warm => {}
            }
        }
    }

    fn exchange(&mut self) {
        let since = Bucket::of(wall(self.now) - Duration::from_secs(10));
        let own = |entry: &Entry| entry.evidence.since(since, Some(entry.process));
        let parts: Vec<Evidence> = self.entries.iter().map(own).collect();
        for (index, entry) in self.entries.iter_mut().enumerate() {
            for (from, part) in parts.iter().enumerate() {
                if from != index {
                    entry.evidence.merge(part);
                }
            }
        }
    }

    /// All targets load the version before the start, and the controller moves by its timer.
    fn tick_naive(&mut self) {
        if self.now == 0 {
            self.loads.fill((LoadState::Loading, LOADING.0));
        }
        self.load_versions();
        let up = self.store() == StoreState::Up;
        let (now, progress) = (self.now, self.spec.progress(wall(self.now)));
        let Some(naive) = &mut self.naive else {
            return;
        };
        if !now.is_multiple_of(POLL) || !up {
            return;
        }
        let oldest = now.saturating_sub(30 * SECOND);
        naive.recent.retain(|(at, _)| *at >= oldest);
        let failed = naive.recent.iter().filter(|(_, failed)| *failed).count();
        let rate = failed as f64 / naive.recent.len().max(1) as f64;
        naive.rolled_back |= naive.recent.len() >= 20 && rate > THRESHOLD;
        // Entries read what the controller has written at its previous poll.
        let stored = naive.stored;
        naive.shares.fill(stored);
        let due = STEPS
            .iter()
            .rev()
            .find(|(from, _)| progress.is_some_and(|p| p >= *from));
        naive.stored = if naive.rolled_back {
            0.0
        } else {
            due.map_or(0.0, |(_, share)| *share)
        };
    }
}

fn wall(at: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(86_400) + Duration::from_micros(at)
}
