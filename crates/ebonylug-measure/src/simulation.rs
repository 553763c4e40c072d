//! The discrete-event simulation in which both policies run.
//!
//! The simulation owns the fake engines, the network and the callers. A [`Policy`] owns everything
//! in between. Messages take a fixed time one way; faults delay or drop them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use ebonylug_core::{AttemptId, Reason, Repeat};

use crate::deployment::Deployment;
use crate::engine::{AttemptWork, EndedAttempt, Engine, EngineEvent, SECOND};
use crate::faults::{Fault, Network};
use crate::random::SeededRng;
use crate::recorder::{Conclusion, Recorder};
use crate::workload::Job;

/// One-way latency between zones.
pub const CROSS_ZONE_DELAY_US: u64 = 500;
/// One-way latency within a zone.
const SAME_ZONE_DELAY_US: u64 = 50;
/// Interval at which the output of a target is read.
pub const TICK_US: u64 = 100_000;
/// Time from the crash of an engine to its restart.
pub const DOWN_TIME_US: u64 = 5 * SECOND;
/// Duration of the cold start of an engine.
pub const COLD_TIME_US: u64 = 15 * SECOND;

/// An endpoint of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Node {
    /// An entry, by index.
    Entry(usize),
    /// The sidecar of a target, or the target itself in a policy without sidecars.
    Target(usize),
}

/// The kind of connection that carries a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// An open connection, which a fault may block.
    Data,
    /// A connection that is reopened when it is blocked.
    Control,
}

/// The processes between callers and targets: the product or the baseline.
pub trait Policy: Sized {
    /// A message between processes, or a timer event of one process.
    type Message: Clone;

    /// Initialises the processes; all targets are up.
    fn start(&mut self, sim: &mut Simulation<Self::Message>);
    /// Handles the arrival of a request from a caller.
    fn on_arrival(&mut self, sim: &mut Simulation<Self::Message>, job: usize);
    /// Handles a message or a timer event at a process.
    fn on_message(&mut self, sim: &mut Simulation<Self::Message>, at: Node, message: Self::Message);
    /// Handles an event inside a target.
    fn on_engine_event(
        &mut self,
        sim: &mut Simulation<Self::Message>,
        target: usize,
        event: EngineEvent,
    );
    /// Handles the crash of a target; `lost` are the attempts that were inside.
    fn on_target_down(
        &mut self,
        sim: &mut Simulation<Self::Message>,
        target: usize,
        lost: Vec<EndedAttempt>,
    );
    /// Handles the restart of a target.
    fn on_target_up(&mut self, sim: &mut Simulation<Self::Message>, target: usize);
    /// Reads the output of a target, every [`TICK_US`].
    fn on_tick(&mut self, sim: &mut Simulation<Self::Message>, target: usize);
    /// Handles a fault that affects processes of the policy.
    fn on_fault(&mut self, sim: &mut Simulation<Self::Message>, fault: &Fault);
}

/// The state of a simulation outside the policy.
pub struct Simulation<M> {
    /// Current virtual time in microseconds.
    pub now: u64,
    /// Topology and workload.
    pub deployment: Deployment,
    /// Requests of the case. Retries by callers are appended.
    pub jobs: Vec<Job>,
    /// Fake targets, in the order of the deployment.
    pub engines: Vec<Engine>,
    /// Records the facts from which the measures are computed.
    pub recorder: Recorder,
    /// Random numbers for the policy's own choices and for delays.
    pub random: SeededRng,
    /// Active network faults.
    pub network: Network,
    /// Number of target crashes that no fault injected.
    pub crashes: u64,
    base: Instant,
    /// For each target, a number that increases when its scheduled event becomes invalid. Events of
    /// an earlier generation are ignored.
    generations: Vec<u64>,
    events: BinaryHeap<Reverse<Scheduled<M>>>,
    engine_events: Vec<(usize, EngineEvent)>,
    sequence: u64,
    poison_retries: u32,
}

enum Event<M> {
    Arrival(usize),
    /// The next phase of a stream ends; target and generation.
    Engine(usize, u64),
    Tick(usize),
    TargetUp(usize),
    Message(Node, M),
    Fault(Fault),
}

/// An event with its time.
struct Scheduled<M> {
    at: u64,
    /// Orders events at the same time by their creation.
    sequence: u64,
    event: Event<M>,
}

impl<M> PartialEq for Scheduled<M> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl<M> Eq for Scheduled<M> {}

impl<M> PartialOrd for Scheduled<M> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<M> Ord for Scheduled<M> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Runs a case under a policy until all requests are concluded or `end` is reached.
pub fn run<P: Policy>(
    deployment: &Deployment,
    jobs: Vec<Job>,
    faults: Vec<(u64, Fault)>,
    end: u64,
    seed: u64,
    policy: &mut P,
) -> Simulation<P::Message> {
    let mut sim = Simulation::new(deployment, jobs, seed);
    for (at, fault) in faults {
        sim.push(at, Event::Fault(fault));
    }
    policy.start(&mut sim);
    let mut unconcluded = sim.jobs.len();
    let mut event_count = 0_u64;
    while let Some(Reverse(next)) = sim.events.pop() {
        if next.at > end {
            break;
        }
        sim.now = next.at;
        sim.handle(policy, next.event);
        sim.process_engine_events(policy);
        // Idle processes tick forever, so the end is detected from the requests without a
        // conclusion.
        event_count += 1;
        if event_count.is_multiple_of(4_096) && sim.now > sim.last_arrival() {
            unconcluded = (0..sim.jobs.len())
                .filter(|job| !sim.recorder.is_concluded(*job))
                .count();
        }
        if unconcluded == 0 {
            break;
        }
    }
    sim.stop_all();
    sim
}

impl<M: Clone> Simulation<M> {
    fn new(deployment: &Deployment, jobs: Vec<Job>, seed: u64) -> Self {
        let targets = deployment.targets.len();
        let mut sim = Simulation {
            now: 0,
            base: Instant::now(),
            engines: deployment
                .targets
                .iter()
                .map(|t| Engine::new(t.kind))
                .collect(),
            recorder: Recorder::new(jobs.len()),
            random: SeededRng::new(seed, 0),
            network: Network::default(),
            crashes: 0,
            generations: vec![0; targets],
            events: BinaryHeap::new(),
            engine_events: Vec::new(),
            sequence: 0,
            poison_retries: 0,
            deployment: deployment.clone(),
            jobs,
        };
        for job in 0..sim.jobs.len() {
            sim.push(sim.jobs[job].arrival, Event::Arrival(job));
        }
        for target in 0..targets {
            // The ticks of the targets are spread over the interval.
            sim.push(
                TICK_US * target as u64 / targets as u64,
                Event::Tick(target),
            );
        }
        sim
    }

    /// Returns the current virtual time as an `Instant` for the product's crates.
    #[must_use]
    pub fn instant(&self) -> Instant {
        self.instant_at(self.now)
    }

    /// Converts a virtual time to an `Instant` for the product's crates.
    #[must_use]
    pub fn instant_at(&self, time: u64) -> Instant {
        self.base + Duration::from_micros(time)
    }

    /// Converts an `Instant` to virtual time, rounded up.
    #[must_use]
    pub fn virtual_time(&self, instant: Instant) -> u64 {
        let since = instant.saturating_duration_since(self.base);
        since.as_nanos().div_ceil(1_000) as u64
    }

    /// Sends a message to another process, unless a fault drops it.
    pub fn send(&mut self, from: Node, to: Node, path: Path, message: M) {
        let zones = (self.zone(from), self.zone(to));
        let blocked = path == Path::Data && self.network.is_blocked(from, to);
        if blocked || self.network.is_partitioned(zones) {
            return;
        }
        let delay = if zones.0 == zones.1 {
            SAME_ZONE_DELAY_US
        } else {
            CROSS_ZONE_DELAY_US
        };
        let extra_delay = self.network.extra_delay(&mut self.random);
        self.push(self.now + delay + extra_delay, Event::Message(to, message));
    }

    /// Delivers a timer event to a process at the given time, at the earliest now.
    pub fn set_timer(&mut self, at: u64, node: Node, message: M) {
        self.push(at.max(self.now), Event::Message(node, message));
    }

    /// Returns the index of the zone of a process.
    #[must_use]
    pub fn zone(&self, node: Node) -> usize {
        match node {
            Node::Entry(entry) => entry % self.deployment.zones.len(),
            Node::Target(target) => self.deployment.targets[target].zone,
        }
    }

    /// Starts an attempt at a target.
    pub fn start(&mut self, target: usize, job: usize, attempt: AttemptId, offset: u64) {
        self.advance(target);
        let request = &self.jobs[job];
        let route = &self.deployment.routes[request.route];
        let work = AttemptWork {
            attempt,
            own_tokens: request.own_tokens,
            shared_blocks: request.shared_blocks.clone(),
            output: request.output,
            offset,
            poison: request.poison,
            batch: !route.tier.is_interactive(),
        };
        self.recorder.record_start(job, attempt, work.batch);
        let mut events = Vec::new();
        self.engines[target].start(work, &mut events);
        self.engine_events
            .extend(events.into_iter().map(|event| (target, event)));
        self.reschedule(target);
    }

    /// Cancels an attempt at a target; returns `None` if it is not inside.
    pub fn cancel(
        &mut self,
        target: usize,
        job: usize,
        attempt: AttemptId,
        preempted: bool,
    ) -> Option<EndedAttempt> {
        self.advance(target);
        let ended = self.engines[target].cancel(attempt)?;
        self.recorder.record_stop(job, &ended, preempted);
        self.reschedule(target);
        Some(ended)
    }

    /// Concludes a request for its caller. The caller of a poison request retries it.
    pub fn conclude(&mut self, job: usize, conclusion: Conclusion) {
        let is_first = self.recorder.conclude(job, self.now, conclusion);
        let poison = self.jobs[job].poison;
        if is_first && poison && conclusion != Conclusion::Answered {
            self.retry_poison(job);
        }
    }

    /// Retries a poison request, at most `MAX_POISON_RETRIES` times in a case.
    fn retry_poison(&mut self, job: usize) {
        const MAX_POISON_RETRIES: u32 = 6;
        if self.poison_retries >= MAX_POISON_RETRIES {
            return;
        }
        self.poison_retries += 1;
        self.retry_later(job, SECOND / 2);
    }

    fn retry_later(&mut self, job: usize, pause: u64) {
        let mut retry = self.jobs[job].clone();
        retry.arrival = self.now + pause;
        retry.deadline = retry.arrival + 30 * SECOND;
        retry.entry = (retry.entry + 1) % self.deployment.entries;
        self.jobs.push(retry);
        self.recorder.add_request();
        let job = self.jobs.len() - 1;
        self.push(self.jobs[job].arrival, Event::Arrival(job));
    }

    /// Advances a target to the current time.
    pub fn advance(&mut self, target: usize) {
        let mut events = Vec::new();
        self.engines[target].advance(self.now, &mut events);
        self.engine_events
            .extend(events.into_iter().map(|event| (target, event)));
    }

    /// Schedules the next event inside a target; invalidates the one scheduled before.
    pub fn reschedule(&mut self, target: usize) {
        self.generations[target] += 1;
        if let Some(next) = self.engines[target].next_event() {
            let event = Event::Engine(target, self.generations[target]);
            self.push(next, event);
        }
    }

    fn handle<P: Policy<Message = M>>(&mut self, policy: &mut P, event: Event<M>) {
        match event {
            Event::Arrival(job) => {
                // The load balancer refuses a request at once when no entry is reachable.
                match self.reachable_entry(self.jobs[job].entry) {
                    Some(entry) => {
                        self.jobs[job].entry = entry;
                        policy.on_arrival(self, job);
                    }
                    None => self.conclude(job, Conclusion::Refused(Reason::NoTarget)),
                }
            }
            Event::Engine(target, generation) if self.generations[target] == generation => {
                self.advance(target);
                self.reschedule(target);
            }
            Event::Engine(..) => {}
            Event::Tick(target) => {
                self.advance(target);
                policy.on_tick(self, target);
                self.push(self.now + TICK_US, Event::Tick(target));
            }
            Event::TargetUp(target) => {
                if !self.engines[target].is_up() {
                    self.advance(target);
                    self.engines[target].restart(COLD_TIME_US);
                    policy.on_target_up(self, target);
                }
            }
            Event::Message(node, message) => {
                if !self.network.is_crashed(node) {
                    policy.on_message(self, node, message);
                }
            }
            Event::Fault(fault) => self.inject_fault(policy, &fault),
        }
    }

    fn inject_fault<P: Policy<Message = M>>(&mut self, policy: &mut P, fault: &Fault) {
        match *fault {
            Fault::Crash(target) => self.crash(policy, target),
            Fault::UnreportedCold(target) => {
                self.advance(target);
                self.engines[target].make_cold(COLD_TIME_US);
                self.reschedule(target);
            }
            Fault::SetSpeedFactor(target, factor) => {
                self.advance(target);
                self.engines[target].speed_factor = factor;
                self.reschedule(target);
            }
            _ => {}
        }
        self.network.apply(fault);
        policy.on_fault(self, fault);
        if let Fault::EntryCrash(entry) = *fault {
            self.disconnect_callers(entry);
        }
    }

    /// Returns the entry that the load balancer selects, starting from the given one.
    fn reachable_entry(&self, entry: usize) -> Option<usize> {
        let entries = self.deployment.entries;
        let mut candidates = (0..entries).map(|step| (entry + step) % entries);
        let is_reachable = |entry: &usize| {
            let node = Node::Entry(*entry);
            !self.network.is_crashed(node) && !self.network.is_unreachable(self.zone(node))
        };
        candidates.find(is_reachable)
    }

    /// Breaks the connections of callers to an entry that crashed.
    fn disconnect_callers(&mut self, entry: usize) {
        let is_open = |job: &usize| {
            let request = &self.jobs[*job];
            request.entry == entry
                && request.arrival < self.now
                && !self.recorder.is_concluded(*job)
        };
        let broken: Vec<usize> = (0..self.jobs.len()).filter(is_open).collect();
        for job in broken {
            self.recorder.conclude(job, self.now, Conclusion::Broken);
            let route = &self.deployment.routes[self.jobs[job].route];
            if route.repeat == Repeat::No {
                // The idempotency key of the call makes a retry safe.
                self.retry_later(job, SECOND / 5);
            }
        }
    }

    /// Handles the pending events inside the targets until none is left.
    fn process_engine_events<P: Policy<Message = M>>(&mut self, policy: &mut P) {
        while !self.engine_events.is_empty() {
            for (target, event) in std::mem::take(&mut self.engine_events) {
                if event == EngineEvent::Crashed {
                    if self.engines[target].is_up() {
                        self.crashes += 1;
                        self.crash(policy, target);
                    }
                    continue;
                }
                if let EngineEvent::Done(ended) = &event {
                    let job = job_of(ended.attempt);
                    self.recorder.record_stop(job, ended, false);
                }
                policy.on_engine_event(self, target, event);
            }
        }
    }

    fn crash<P: Policy<Message = M>>(&mut self, policy: &mut P, target: usize) {
        self.advance(target);
        let lost = self.engines[target].crash();
        self.generations[target] += 1;
        for ended in &lost {
            self.recorder
                .record_stop(job_of(ended.attempt), ended, false);
        }
        self.push(self.now + DOWN_TIME_US, Event::TargetUp(target));
        policy.on_target_down(self, target, lost);
    }

    /// Records the work of attempts that are still inside the targets at the end.
    fn stop_all(&mut self) {
        for target in 0..self.engines.len() {
            for ended in self.engines[target].crash() {
                self.recorder
                    .record_stop(job_of(ended.attempt), &ended, false);
            }
        }
    }

    /// Returns the latest arrival among the last requests. Retries are appended, and may arrive before
    /// requests listed earlier.
    fn last_arrival(&self) -> u64 {
        self.jobs
            .iter()
            .rev()
            .take(8)
            .map(|job| job.arrival)
            .max()
            .unwrap_or(0)
    }

    fn push(&mut self, at: u64, event: Event<M>) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.events.push(Reverse(Scheduled {
            at,
            sequence,
            event,
        }));
    }
}

/// Returns the index of the request of an attempt.
#[must_use]
pub fn job_of(attempt: AttemptId) -> usize {
    attempt.request.0 as usize
}
