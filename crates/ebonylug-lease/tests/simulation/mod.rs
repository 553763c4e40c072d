//! Simulates candidates for one lease in virtual time, with clocks of different rates, pauses, lost
//! replies and outages. Used by the tests and the example.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant, SystemTime};

use ebonylug_core::{Fence, Incarnation, Name};
use ebonylug_lease::{Call, LeaseState, Reply, Settings, Stagger};
use ebonylug_platform::{Error, MemoryPlatform, Table};
use futures_util::FutureExt;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Microseconds of true time.
pub type Micros = u64;

pub const MILLI: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// Parameters of a simulation.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub seed: u64,
    pub candidates: usize,
    pub settings: Settings,
    /// Whether each candidate has its own stagger index.
    pub staggered: bool,
    /// Whether all candidates tick at the same instants.
    pub aligned: bool,
    /// Faults per 1,000 calls.
    pub faults: u32,
    /// Maximum deviation of clock rates from true time, in thousandths.
    pub drift: u32,
    /// Whether processes are paused and the store has outages.
    pub disruptions: bool,
}

/// Events that were recorded during a simulation.
#[derive(Default)]
pub struct Trace {
    /// Time, candidate and fencing token of each acquisition.
    pub acquired: Vec<(Micros, usize, Fence)>,
    /// Number of writes whose condition did not hold.
    pub conflicts: u64,
    /// Times at which more than one candidate considered itself the holder.
    pub overlaps: Vec<Micros>,
}

struct Process {
    state: LeaseState,
    base: Instant,
    /// Rate of the clock, in thousandths of true time.
    rate: u64,
    /// Wall-clock time of the process since the Unix epoch. It does not advance.
    wall_offset: Duration,
    paused_until: Micros,
    calling: bool,
    alive: bool,
    fence: Option<Fence>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    /// A call of a candidate reaches the store: the indexes of the candidate and of the call.
    Execute(usize, usize),
    /// A call whose reply was already reported as lost is applied.
    ApplyLate(usize),
    /// A reply arrives: the indexes of the candidate and of the reply.
    Reply(usize, usize),
    Pause(usize),
    Outage,
}

impl Event {
    /// Returns the candidate whose state the event may change.
    fn index(&self) -> Option<usize> {
        match *self {
            Event::Tick(index) | Event::Reply(index, _) => Some(index),
            Event::Execute(..) | Event::ApplyLate(_) | Event::Pause(_) | Event::Outage => None,
        }
    }
}

/// A running simulation.
pub struct Simulation {
    scenario: Scenario,
    rng: ChaCha8Rng,
    store: MemoryPlatform,
    processes: Vec<Process>,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    calls: Vec<Call>,
    replies: Vec<Reply>,
    sequence: u64,
    pub now: Micros,
    faults: u32,
    disruptions: bool,
    down_until: Micros,
    pub trace: Trace,
    holders: Vec<usize>,
}

const TICK_INTERVAL: Micros = 100 * MILLI;
const CALL_TIMEOUT: Micros = SECOND;

impl Simulation {
    pub fn new(scenario: Scenario) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let base = Instant::now();
        let process = |index: usize| {
            let mut settings = scenario.settings;
            if scenario.staggered {
                let index = u32::try_from(index).unwrap();
                settings.stagger = Stagger {
                    index,
                    ..settings.stagger
                };
            }
            let name = Name::new(&format!("candidate-{index}"));
            let incarnation = Incarnation(index as u64 + 1);
            let drift = u64::from(scenario.drift);
            Process {
                state: LeaseState::new("sim", name, incarnation, settings, base),
                base,
                rate: 1_000 - drift + rng.random_range(0..=2 * drift),
                wall_offset: Duration::from_secs(rng.random_range(0..1_000_000)),
                paused_until: 0,
                calling: false,
                alive: true,
                fence: None,
            }
        };
        let processes: Vec<_> = (0..scenario.candidates).map(process).collect();
        let mut simulation = Simulation {
            scenario,
            rng,
            store: MemoryPlatform::new(),
            processes,
            queue: BinaryHeap::new(),
            calls: Vec::new(),
            replies: Vec::new(),
            sequence: 0,
            now: 0,
            faults: scenario.faults,
            disruptions: scenario.disruptions,
            down_until: 0,
            trace: Trace::default(),
            holders: Vec::new(),
        };
        for index in 0..scenario.candidates {
            let phase = if scenario.aligned {
                0
            } else {
                simulation.random(TICK_INTERVAL)
            };
            simulation.schedule(phase, Event::Tick(index));
            if scenario.disruptions {
                let first = simulation.random(30 * SECOND);
                simulation.schedule(first, Event::Pause(index));
            }
        }
        if scenario.disruptions {
            let first = simulation.random(120 * SECOND);
            simulation.schedule(first, Event::Outage);
        }
        simulation
    }

    /// Runs for a duration of true time.
    pub fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while let Some(Reverse((time, _, _))) = self.queue.peek() {
            if *time > end {
                break;
            }
            let Reverse((time, _, event)) = self.queue.pop().unwrap();
            self.now = time;
            let index = event.index();
            self.handle(event);
            self.track_holders(index);
        }
        self.now = end;
    }

    /// Stops faults, pauses and outages.
    #[allow(dead_code, reason = "not used by the example")]
    pub fn end_faults(&mut self) {
        self.faults = 0;
        self.disruptions = false;
        self.down_until = 0;
    }

    /// Returns the index of the candidate that holds the lease.
    pub fn holder(&self) -> Option<usize> {
        (0..self.processes.len()).find(|&index| self.held_fence(index).is_some())
    }

    /// Kills the process of a candidate.
    #[allow(dead_code, reason = "not used by the tests")]
    pub fn kill(&mut self, index: usize) {
        self.processes[index].alive = false;
    }

    /// Starts a new process in place of a killed candidate.
    #[allow(dead_code, reason = "not used by the tests")]
    pub fn replace(&mut self, index: usize, incarnation: u64) {
        let local = self.local_time(index);
        let mut settings = self.scenario.settings;
        if self.scenario.staggered {
            settings.stagger.index = u32::try_from(index).unwrap();
        }
        let name = Name::new(&format!("candidate-{index}"));
        let process = &mut self.processes[index];
        process.state = LeaseState::new("sim", name, Incarnation(incarnation), settings, local);
        process.alive = true;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(index) | Event::Reply(index, _)
                if self.now < self.processes[index].paused_until =>
            {
                let remaining = self.processes[index].paused_until - self.now;
                self.schedule(remaining, event);
            }
            Event::Tick(index) => self.tick(index),
            Event::Execute(index, call) => self.execute(index, call),
            Event::ApplyLate(call) => {
                self.apply(call);
            }
            Event::Reply(index, reply) => {
                let (now, reply) = (self.local_time(index), self.replies[reply].clone());
                self.processes[index].calling = false;
                self.processes[index].state.apply_reply(now, reply);
                self.call(index);
            }
            Event::Pause(index) => {
                if self.disruptions {
                    self.processes[index].paused_until = self.now + self.random(20 * SECOND);
                }
                let next = 20 * SECOND + self.random(60 * SECOND);
                self.schedule(next, event);
            }
            Event::Outage => {
                if self.disruptions {
                    self.down_until = self.now + self.random(30 * SECOND);
                }
                let next = 30 * SECOND + self.random(120 * SECOND);
                self.schedule(next, event);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        self.schedule(TICK_INTERVAL, Event::Tick(index));
        self.call(index);
    }

    fn call(&mut self, index: usize) {
        let now = self.local_time(index);
        let process = &mut self.processes[index];
        if process.calling || !process.alive {
            return;
        }
        let wall = SystemTime::UNIX_EPOCH + process.wall_offset;
        let Some(call) = process.state.tick(now, wall) else {
            return;
        };
        process.calling = true;
        self.calls.push(call);
        let latency = MILLI + self.random(9 * MILLI);
        self.schedule(latency, Event::Execute(index, self.calls.len() - 1));
    }

    fn execute(&mut self, index: usize, call: usize) {
        let latency = MILLI + self.random(9 * MILLI);
        let fails = self.random(1_000) < u64::from(self.faults);
        let outcome = if fails { self.random(4) } else { 4 };
        let (delay, reply) = match outcome {
            _ if self.now < self.down_until => {
                (latency, self.error_reply(call, Error::Unavailable))
            }
            0 => (latency, self.error_reply(call, Error::Unavailable)),
            1 => (CALL_TIMEOUT, self.error_reply(call, Error::Unknown)),
            2 => {
                self.apply(call);
                (CALL_TIMEOUT, self.error_reply(call, Error::Unknown))
            }
            3 => {
                let delay = self.random(15 * SECOND);
                self.schedule(delay, Event::ApplyLate(call));
                (CALL_TIMEOUT, self.error_reply(call, Error::Unknown))
            }
            _ => (latency, self.apply(call)),
        };
        self.replies.push(reply);
        self.schedule(delay, Event::Reply(index, self.replies.len() - 1));
    }

    fn apply(&mut self, call: usize) -> Reply {
        let ready = "the in-memory store replies at once";
        match self.calls[call].clone() {
            Call::Read => Reply::Read(self.store.get("lease/sim").now_or_never().expect(ready)),
            Call::Write(transaction) => {
                let result = self
                    .store
                    .transact(transaction)
                    .now_or_never()
                    .expect(ready);
                if let Err(Error::Conflict { .. }) = result {
                    self.trace.conflicts += 1;
                }
                Reply::Write(result)
            }
        }
    }

    fn error_reply(&self, call: usize, error: Error) -> Reply {
        match self.calls[call] {
            Call::Read => Reply::Read(Err(error)),
            Call::Write(_) => Reply::Write(Err(error)),
        }
    }

    /// Updates the holders after an event, and records acquisitions and overlaps. Only the
    /// candidate whose state has changed can be a new holder.
    fn track_holders(&mut self, changed: Option<usize>) {
        let mut to_check = self.holders.clone();
        to_check.extend(changed.filter(|index| !self.holders.contains(index)));
        self.holders.clear();
        for index in to_check {
            let fence = self.held_fence(index);
            if let Some(fence) = fence {
                self.holders.push(index);
                if self.processes[index].fence != Some(fence) {
                    self.trace.acquired.push((self.now, index, fence));
                    self.processes[index].fence = Some(fence);
                }
            }
        }
        if self.holders.len() > 1 {
            self.trace.overlaps.push(self.now);
        }
    }

    /// Returns the fencing token that a candidate holds. A paused process counts as holder as well,
    /// since it may act on a check from before the pause.
    fn held_fence(&self, index: usize) -> Option<Fence> {
        let process = &self.processes[index];
        process
            .state
            .fence(self.local_time(index))
            .filter(|_| process.alive)
    }

    fn local_time(&self, index: usize) -> Instant {
        let process = &self.processes[index];
        process.base + Duration::from_micros(self.now * process.rate / 1_000)
    }

    fn schedule(&mut self, delay: Micros, event: Event) {
        self.sequence += 1;
        self.queue
            .push(Reverse((self.now + delay, self.sequence, event)));
    }

    fn random(&mut self, below: u64) -> u64 {
        self.rng.random_range(0..below)
    }
}
