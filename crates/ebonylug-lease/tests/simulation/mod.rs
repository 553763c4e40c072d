//! Candidates for one lease in virtual time, with clocks of different rates, pauses, lost
//! replies and outages. Shared by the tests and the example.

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

#[derive(Clone, Copy)]
pub struct World {
    pub seed: u64,
    pub candidates: usize,
    pub settings: Settings,
    /// Whether candidates get their index in the stagger.
    pub staggered: bool,
    /// Whether all candidates tick at the same instants.
    pub aligned: bool,
    /// Faults in 1,000 calls.
    pub faults: u32,
    /// Clock rates differ from true time by at most this many thousandths.
    pub drift: u32,
    /// Whether processes pause and the table has outages.
    pub pauses: bool,
}

/// What happened.
#[derive(Default)]
pub struct Trace {
    /// Time, candidate and fencing number of each new hold.
    pub taken: Vec<(Micros, usize, Fence)>,
    /// Writes whose condition did not hold.
    pub conflicts: u64,
    /// Times at which two candidates regarded themselves as the holder.
    pub overlaps: Vec<Micros>,
}

struct Node {
    state: LeaseState,
    base: Instant,
    /// Thousandths of true time.
    rate: u64,
    skew: Duration,
    paused: Micros,
    calling: bool,
    alive: bool,
    fence: Option<Fence>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    Arrive(usize, usize),
    Late(usize),
    Reply(usize, usize),
    Pause(usize),
    Outage,
}

impl Event {
    /// Returns the candidate whose state the event may change.
    fn index(&self) -> Option<usize> {
        match *self {
            Event::Tick(index) | Event::Reply(index, _) => Some(index),
            Event::Arrive(..) | Event::Late(_) | Event::Pause(_) | Event::Outage => None,
        }
    }
}

/// A running simulation.
pub struct Simulation {
    world: World,
    rng: ChaCha8Rng,
    table: MemoryPlatform,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    calls: Vec<Call>,
    replies: Vec<Reply>,
    sequence: u64,
    pub now: Micros,
    faults: u32,
    disturbed: bool,
    down: Micros,
    pub trace: Trace,
    holders: Vec<usize>,
}

const TICK: Micros = 100 * MILLI;
const TIMEOUT: Micros = SECOND;

impl Simulation {
    pub fn new(world: World) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(world.seed);
        let base = Instant::now();
        let node = |index: usize| {
            let mut settings = world.settings;
            if world.staggered {
                let index = u32::try_from(index).unwrap();
                settings.stagger = Stagger {
                    index,
                    ..settings.stagger
                };
            }
            let name = Name::new(&format!("candidate-{index}"));
            let process = Incarnation(index as u64 + 1);
            let drift = u64::from(world.drift);
            Node {
                state: LeaseState::new("sim", name, process, settings, base),
                base,
                rate: 1_000 - drift + rng.random_range(0..=2 * drift),
                skew: Duration::from_secs(rng.random_range(0..1_000_000)),
                paused: 0,
                calling: false,
                alive: true,
                fence: None,
            }
        };
        let nodes: Vec<_> = (0..world.candidates).map(node).collect();
        let mut simulation = Simulation {
            world,
            rng,
            table: MemoryPlatform::new(),
            nodes,
            queue: BinaryHeap::new(),
            calls: Vec::new(),
            replies: Vec::new(),
            sequence: 0,
            now: 0,
            faults: world.faults,
            disturbed: world.pauses,
            down: 0,
            trace: Trace::default(),
            holders: Vec::new(),
        };
        for index in 0..world.candidates {
            let phase = if world.aligned {
                0
            } else {
                simulation.draw(TICK)
            };
            simulation.at(phase, Event::Tick(index));
            if world.pauses {
                let first = simulation.draw(30 * SECOND);
                simulation.at(first, Event::Pause(index));
            }
        }
        if world.pauses {
            let first = simulation.draw(120 * SECOND);
            simulation.at(first, Event::Outage);
        }
        simulation
    }

    /// Runs for a length of true time.
    pub fn run(&mut self, length: Micros) {
        let end = self.now + length;
        while let Some(Reverse((time, _, _))) = self.queue.peek() {
            if *time > end {
                break;
            }
            let Reverse((time, _, event)) = self.queue.pop().unwrap();
            self.now = time;
            let index = event.index();
            self.handle(event);
            self.check(index);
        }
        self.now = end;
    }

    /// Ends faults, pauses and outages.
    #[allow(dead_code, reason = "not used by the example")]
    pub fn calm(&mut self) {
        self.faults = 0;
        self.disturbed = false;
        self.down = 0;
    }

    /// Returns the candidate that holds the lease.
    pub fn holder(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|&index| self.held(index).is_some())
    }

    /// Ends the process of a candidate.
    #[allow(dead_code, reason = "not used by the tests")]
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].alive = false;
    }

    /// Replaces a candidate that was killed by a new process.
    #[allow(dead_code, reason = "not used by the tests")]
    pub fn replace(&mut self, index: usize, process: u64) {
        let local = self.local(index);
        let mut settings = self.world.settings;
        if self.world.staggered {
            settings.stagger.index = u32::try_from(index).unwrap();
        }
        let name = Name::new(&format!("candidate-{index}"));
        let node = &mut self.nodes[index];
        node.state = LeaseState::new("sim", name, Incarnation(process), settings, local);
        node.alive = true;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(index) | Event::Reply(index, _) if self.now < self.nodes[index].paused => {
                let resume = self.nodes[index].paused - self.now;
                self.at(resume, event);
            }
            Event::Tick(index) => self.tick(index),
            Event::Arrive(index, call) => self.arrive(index, call),
            Event::Late(call) => {
                self.apply(call);
            }
            Event::Reply(index, reply) => {
                let (now, reply) = (self.local(index), self.replies[reply].clone());
                self.nodes[index].calling = false;
                self.nodes[index].state.apply_reply(now, reply);
                self.call(index);
            }
            Event::Pause(index) => {
                if self.disturbed {
                    self.nodes[index].paused = self.now + self.draw(20 * SECOND);
                }
                let next = 20 * SECOND + self.draw(60 * SECOND);
                self.at(next, event);
            }
            Event::Outage => {
                if self.disturbed {
                    self.down = self.now + self.draw(30 * SECOND);
                }
                let next = 30 * SECOND + self.draw(120 * SECOND);
                self.at(next, event);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        self.at(TICK, Event::Tick(index));
        self.call(index);
    }

    fn call(&mut self, index: usize) {
        let now = self.local(index);
        let node = &mut self.nodes[index];
        if node.calling || !node.alive {
            return;
        }
        let wall = SystemTime::UNIX_EPOCH + node.skew;
        let Some(call) = node.state.tick(now, wall) else {
            return;
        };
        node.calling = true;
        self.calls.push(call);
        let latency = MILLI + self.draw(9 * MILLI);
        self.at(latency, Event::Arrive(index, self.calls.len() - 1));
    }

    fn arrive(&mut self, index: usize, call: usize) {
        let back = MILLI + self.draw(9 * MILLI);
        let fails = self.draw(1_000) < u64::from(self.faults);
        let fate = if fails { self.draw(4) } else { 4 };
        let (delay, reply) = match fate {
            _ if self.now < self.down => (back, self.failed(call, Error::Unavailable)),
            0 => (back, self.failed(call, Error::Unavailable)),
            1 => (TIMEOUT, self.failed(call, Error::Unknown)),
            2 => {
                self.apply(call);
                (TIMEOUT, self.failed(call, Error::Unknown))
            }
            3 => {
                let late = self.draw(15 * SECOND);
                self.at(late, Event::Late(call));
                (TIMEOUT, self.failed(call, Error::Unknown))
            }
            _ => (back, self.apply(call)),
        };
        self.replies.push(reply);
        self.at(delay, Event::Reply(index, self.replies.len() - 1));
    }

    fn apply(&mut self, call: usize) -> Reply {
        let ready = "the fake answers at once";
        match self.calls[call].clone() {
            Call::Read => Reply::Read(self.table.get("lease/sim").now_or_never().expect(ready)),
            Call::Write(transaction) => {
                let result = self
                    .table
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

    fn failed(&self, call: usize, error: Error) -> Reply {
        match self.calls[call] {
            Call::Read => Reply::Read(Err(error)),
            Call::Write(_) => Reply::Write(Err(error)),
        }
    }

    /// Compares the holders after an event of one candidate. Only that candidate can have begun
    /// to hold the lease.
    fn check(&mut self, changed: Option<usize>) {
        let mut suspects = self.holders.clone();
        suspects.extend(changed.filter(|index| !self.holders.contains(index)));
        self.holders.clear();
        for index in suspects {
            let fence = self.held(index);
            if let Some(fence) = fence {
                self.holders.push(index);
                if self.nodes[index].fence != Some(fence) {
                    self.trace.taken.push((self.now, index, fence));
                    self.nodes[index].fence = Some(fence);
                }
            }
        }
        if self.holders.len() > 1 {
            self.trace.overlaps.push(self.now);
        }
    }

    /// A paused process counts as holder, too: it may act on a check that it made just before.
    fn held(&self, index: usize) -> Option<Fence> {
        let node = &self.nodes[index];
        node.state.fence(self.local(index)).filter(|_| node.alive)
    }

    fn local(&self, index: usize) -> Instant {
        let node = &self.nodes[index];
        node.base + Duration::from_micros(self.now * node.rate / 1_000)
    }

    fn at(&mut self, delay: Micros, event: Event) {
        self.sequence += 1;
        self.queue
            .push(Reverse((self.now + delay, self.sequence, event)));
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.random_range(0..below)
    }
}
