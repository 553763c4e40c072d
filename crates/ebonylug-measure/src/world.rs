//! The event loop in virtual time that both policies run in.
//!
//! The loop owns the fake engines, the network and the callers. A [`Policy`] owns everything in
//! between. Messages take a fixed time one way; faults lengthen it or drop the message.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use ebonylug_core::{AttemptId, Reason, Repeat};

use crate::deployment::Deployment;
use crate::engine::{Ended, Engine, EngineEvent, SECOND, Work};
use crate::faults::{Fault, Network};
use crate::random::Random;
use crate::tally::{Conclusion, Tally};
use crate::workload::Job;

/// One-way time of a message between zones.
pub const BETWEEN_ZONES: u64 = 500;
/// One-way time of a message within a zone.
const WITHIN_ZONE: u64 = 50;
/// Time between two looks at the output of a target.
pub const TICK: u64 = 100_000;
/// Time that a crashed engine is down.
pub const DOWN: u64 = 5 * SECOND;
/// Time that an engine is cold after a start.
pub const COLD: u64 = 15 * SECOND;

/// The end of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Node {
    /// An entry.
    Entry(usize),
    /// The sidecar of a target, or the target itself where there is no sidecar.
    Target(usize),
}

/// Which connections a message takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// A connection that was opened earlier and may be silent.
    Data,
    /// A connection that is opened anew when it is silent.
    Control,
}

/// What decides about requests: the product or the baseline.
pub trait Policy: Sized {
    /// A message between processes, or a timer within one.
    type Message: Clone;

    /// Begins; all targets are up.
    fn begin(&mut self, core: &mut Core<Self::Message>);
    /// A request of a caller arrives.
    fn arrive(&mut self, core: &mut Core<Self::Message>, job: usize);
    /// A message or a timer arrives at a process.
    fn receive(&mut self, core: &mut Core<Self::Message>, at: Node, message: Self::Message);
    /// Something happened inside a target.
    fn engine(&mut self, core: &mut Core<Self::Message>, target: usize, event: EngineEvent);
    /// A target crashed; `lost` was inside.
    fn down(&mut self, core: &mut Core<Self::Message>, target: usize, lost: Vec<Ended>);
    /// A target started again.
    fn up(&mut self, core: &mut Core<Self::Message>, target: usize);
    /// Looks at the output of a target.
    fn tick(&mut self, core: &mut Core<Self::Message>, target: usize);
    /// A fault that concerns processes of the policy.
    fn fault(&mut self, core: &mut Core<Self::Message>, fault: &Fault);
}

/// Everything outside the policy.
pub struct Core<M> {
    /// The present time in microseconds.
    pub now: u64,
    /// The deployment.
    pub deployment: Deployment,
    /// The requests of the case.
    pub jobs: Vec<Job>,
    /// The targets.
    pub engines: Vec<Engine>,
    /// What is recorded.
    pub tally: Tally,
    /// Draws for the policy's own choices and for delays.
    pub random: Random,
    /// What is wrong with the network.
    pub network: Network,
    /// Crashes that were not planned.
    pub crashes: u64,
    base: Instant,
    generations: Vec<u64>,
    events: BinaryHeap<Reverse<Scheduled<M>>>,
    happened: Vec<(usize, EngineEvent)>,
    sequence: u64,
    resends: u32,
}

enum Event<M> {
    Arrive(usize),
    Engine(usize, u64),
    Tick(usize),
    Up(usize),
    Message(Node, M),
    Fault(Fault),
}

struct Scheduled<M> {
    at: u64,
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

/// Runs a case under a policy until nothing more can happen or `end` is reached.
pub fn run<P: Policy>(
    deployment: &Deployment,
    jobs: Vec<Job>,
    faults: Vec<(u64, Fault)>,
    end: u64,
    seed: u64,
    policy: &mut P,
) -> Core<P::Message> {
    let mut core = Core::new(deployment, jobs, seed);
    for (at, fault) in faults {
        core.push(at, Event::Fault(fault));
    }
    policy.begin(&mut core);
    let mut open = core.jobs.len();
    let mut handled = 0_u64;
    while let Some(Reverse(next)) = core.events.pop() {
        if next.at > end {
            break;
        }
        core.now = next.at;
        core.handle(policy, next.event);
        core.drain(policy);
        // The idle processes tick for ever, so the end is found by the callers.
        handled += 1;
        if handled.is_multiple_of(4_096) && core.now > core.last_arrival() {
            open = (0..core.jobs.len())
                .filter(|job| !core.tally.is_concluded(*job))
                .count();
        }
        if open == 0 {
            break;
        }
    }
    core.stop_all();
    core
}

impl<M: Clone> Core<M> {
    fn new(deployment: &Deployment, jobs: Vec<Job>, seed: u64) -> Self {
        let targets = deployment.targets.len();
        let mut core = Core {
            now: 0,
            base: Instant::now(),
            engines: deployment
                .targets
                .iter()
                .map(|t| Engine::new(t.kind))
                .collect(),
            tally: Tally::new(jobs.len()),
            random: Random::new(seed, 0),
            network: Network::default(),
            crashes: 0,
            generations: vec![0; targets],
            events: BinaryHeap::new(),
            happened: Vec::new(),
            sequence: 0,
            resends: 0,
            deployment: deployment.clone(),
            jobs,
        };
        for job in 0..core.jobs.len() {
            core.push(core.jobs[job].at, Event::Arrive(job));
        }
        for target in 0..targets {
            // The looks are spread over the interval.
            core.push(TICK * target as u64 / targets as u64, Event::Tick(target));
        }
        core
    }

    /// Returns the present time as the product's crates take it.
    #[must_use]
    pub fn instant(&self) -> Instant {
        self.at(self.now)
    }

    /// Returns a time as the product's crates take it.
    #[must_use]
    pub fn at(&self, time: u64) -> Instant {
        self.base + Duration::from_micros(time)
    }

    /// Returns the virtual time of an instant, rounded up.
    #[must_use]
    pub fn virtual_time(&self, instant: Instant) -> u64 {
        let since = instant.saturating_duration_since(self.base);
        since.as_nanos().div_ceil(1_000) as u64
    }

    /// Sends a message to another process.
    pub fn send(&mut self, from: Node, to: Node, path: Path, message: M) {
        let zones = (self.zone(from), self.zone(to));
        let silent = path == Path::Data && self.network.is_silent(from, to);
        if silent || self.network.is_cut(zones) {
            return;
        }
        let delay = if zones.0 == zones.1 {
            WITHIN_ZONE
        } else {
            BETWEEN_ZONES
        };
        let extra = self.network.extra(&mut self.random);
        self.push(self.now + delay + extra, Event::Message(to, message));
    }

    /// Calls a process back at a time.
    pub fn timer(&mut self, at: u64, node: Node, message: M) {
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
        let work = Work {
            attempt,
            own: request.own,
            shared: request.shared.clone(),
            output: request.output,
            offset,
            poison: request.poison,
            batch: !route.tier.is_interactive(),
        };
        self.tally.started(job, attempt, work.batch);
        let mut events = Vec::new();
        self.engines[target].start(work, &mut events);
        self.happened
            .extend(events.into_iter().map(|event| (target, event)));
        self.reschedule(target);
    }

    /// Stops an attempt at a target, if it is still inside.
    pub fn cancel(
        &mut self,
        target: usize,
        job: usize,
        attempt: AttemptId,
        preempted: bool,
    ) -> Option<Ended> {
        self.advance(target);
        let ended = self.engines[target].cancel(attempt)?;
        self.tally.stopped(job, &ended, preempted);
        self.reschedule(target);
        Some(ended)
    }

    /// Tells the caller how its request ended.
    pub fn conclude(&mut self, job: usize, conclusion: Conclusion) {
        let told = self.tally.conclude(job, self.now, conclusion);
        let poison = self.jobs[job].poison;
        if told && poison && conclusion != Conclusion::Answered {
            self.resend(job);
        }
    }

    /// The caller of a request that crashes its targets sends it again, a few times.
    fn resend(&mut self, job: usize) {
        const RESENDS: u32 = 6;
        if self.resends >= RESENDS {
            return;
        }
        self.resends += 1;
        self.send_again(job, SECOND / 2);
    }

    fn send_again(&mut self, job: usize, pause: u64) {
        let mut again = self.jobs[job].clone();
        again.at = self.now + pause;
        again.deadline = again.at + 30 * SECOND;
        again.entry = (again.entry + 1) % self.deployment.entries;
        self.jobs.push(again);
        self.tally.add();
        let job = self.jobs.len() - 1;
        self.push(self.jobs[job].at, Event::Arrive(job));
    }

    /// Moves a target to the present.
    pub fn advance(&mut self, target: usize) {
        let mut events = Vec::new();
        self.engines[target].advance(self.now, &mut events);
        self.happened
            .extend(events.into_iter().map(|event| (target, event)));
    }

    /// Computes anew when something will happen inside a target.
    pub fn reschedule(&mut self, target: usize) {
        self.generations[target] += 1;
        if let Some(next) = self.engines[target].next_event() {
            let event = Event::Engine(target, self.generations[target]);
            self.push(next, event);
        }
    }

    fn handle<P: Policy<Message = M>>(&mut self, policy: &mut P, event: Event<M>) {
        match event {
            Event::Arrive(job) => {
                // A caller that reaches no entry is told so at once by the load balancer.
                match self.reachable(self.jobs[job].entry) {
                    Some(entry) => {
                        self.jobs[job].entry = entry;
                        policy.arrive(self, job);
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
                policy.tick(self, target);
                self.push(self.now + TICK, Event::Tick(target));
            }
            Event::Up(target) => {
                if !self.engines[target].is_up() {
                    self.advance(target);
                    self.engines[target].restart(COLD);
                    policy.up(self, target);
                }
            }
            Event::Message(node, message) => {
                if !self.network.is_dead(node) {
                    policy.receive(self, node, message);
                }
            }
            Event::Fault(fault) => self.break_something(policy, &fault),
        }
    }

    fn break_something<P: Policy<Message = M>>(&mut self, policy: &mut P, fault: &Fault) {
        match *fault {
            Fault::Crash(target) => self.crash(policy, target),
            Fault::SilentCold(target) => {
                self.advance(target);
                self.engines[target].make_cold(COLD);
                self.reschedule(target);
            }
            Fault::Slow(target, factor) => {
                self.advance(target);
                self.engines[target].slow = factor;
                self.reschedule(target);
            }
            _ => {}
        }
        self.network.apply(fault);
        policy.fault(self, fault);
        if let Fault::EntryDeath(entry) = *fault {
            self.break_callers(entry);
        }
    }

    /// Returns the entry that the load balancer chooses in place of one that cannot be reached.
    fn reachable(&self, entry: usize) -> Option<usize> {
        let entries = self.deployment.entries;
        let mut candidates = (0..entries).map(|step| (entry + step) % entries);
        let well = |entry: &usize| {
            let node = Node::Entry(*entry);
            !self.network.is_dead(node) && !self.network.is_dark(self.zone(node))
        };
        candidates.find(well)
    }

    /// The callers of an entry that died see their connections break.
    fn break_callers(&mut self, entry: usize) {
        let open = |job: &usize| {
            let request = &self.jobs[*job];
            request.entry == entry && request.at < self.now && !self.tally.is_concluded(*job)
        };
        let broken: Vec<usize> = (0..self.jobs.len()).filter(open).collect();
        for job in broken {
            self.tally.conclude(job, self.now, Conclusion::Broken);
            let route = &self.deployment.routes[self.jobs[job].route];
            if route.repeat == Repeat::No {
                // The key of the call makes it safe to send it again.
                self.send_again(job, SECOND / 5);
            }
        }
    }

    /// Handles what happened inside the targets, until nothing more happens.
    fn drain<P: Policy<Message = M>>(&mut self, policy: &mut P) {
        while !self.happened.is_empty() {
            for (target, event) in std::mem::take(&mut self.happened) {
                if event == EngineEvent::Crashed {
                    if self.engines[target].is_up() {
                        self.crashes += 1;
                        self.crash(policy, target);
                    }
                    continue;
                }
                if let EngineEvent::Done(ended) = &event {
                    let job = job_of(ended.attempt);
                    self.tally.stopped(job, ended, false);
                }
                policy.engine(self, target, event);
            }
        }
    }

    fn crash<P: Policy<Message = M>>(&mut self, policy: &mut P, target: usize) {
        self.advance(target);
        let lost = self.engines[target].crash();
        self.generations[target] += 1;
        for ended in &lost {
            self.tally.stopped(job_of(ended.attempt), ended, false);
        }
        self.push(self.now + DOWN, Event::Up(target));
        policy.down(self, target, lost);
    }

    /// Accounts for what is still inside the targets at the end.
    fn stop_all(&mut self) {
        for target in 0..self.engines.len() {
            for ended in self.engines[target].crash() {
                self.tally.stopped(job_of(ended.attempt), &ended, false);
            }
        }
    }

    fn last_arrival(&self) -> u64 {
        self.jobs
            .iter()
            .rev()
            .take(8)
            .map(|job| job.at)
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
