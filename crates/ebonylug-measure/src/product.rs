//! The product's policy: real routers and admissions, connected by messages.
//!
//! The entry and sidecar processes add what their programs add around the decision crates:
//! watching for silence, settling attempts whose connection broke, and retaining answers.

mod entry;
mod sidecar;
mod store;

use ebonylug_admission::CrashLog;
use ebonylug_core::{
    AttemptId, End, Incarnation, LoadReport, Name, Offer, Refusal, Revision, Revoked,
};

use crate::engine::{Ended, EngineEvent, Kind, SECOND};
use crate::faults::Fault;
use crate::product::entry::Entry;
use crate::product::sidecar::Sidecar;
use crate::product::store::Store;
use crate::world::{Core, Node, Policy, TICK};

/// The longest time until a process has taken over a new configuration. The bound is 5 s; peers
/// push within about a second.
const CONFIGURE: u64 = SECOND;
/// The interval of samples of the fleet.
const SAMPLE: u64 = 10 * SECOND;

/// The product between callers and targets.
pub struct Product {
    entries: Vec<Entry>,
    sidecars: Vec<Sidecar>,
    store: Store,
    revision: Revision,
    incarnations: u64,
    seed: u64,
    /// Dispatches into a zone, by the time in seconds since it was taken out or went dark.
    pub into_lost_zone: [u64; 8],
    lost: Vec<Option<u64>>,
    /// Looks at model engines that were cold, that their sidecars took for cold, and all.
    pub cold_looks: [u64; 3],
    /// The state of the fleet over time.
    pub samples: Vec<Sample>,
}

/// The state of the fleet at one time.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The time in seconds.
    pub at: u64,
    /// For each model engine its limit, the work inside and its batch part in tokens, the
    /// streams inside, and whether its sidecar takes it for cold.
    pub engines: Vec<(u64, u64, u64, usize, bool)>,
    /// Requests that wait: interactive, batch.
    pub waiting: [usize; 2],
}

/// A message between the processes of the product, or a timer within one.
#[derive(Clone, Debug)]
pub enum Message {
    /// An entry offers an attempt.
    Offer(usize, Offer),
    /// A sidecar refused an attempt.
    Refused(AttemptId, Refusal, LoadReport),
    /// A sidecar runs an attempt.
    Began(AttemptId),
    /// The first token of an attempt.
    First(AttemptId),
    /// The end of an attempt.
    Tail(AttemptId, Tail),
    /// A load report of a target.
    Report(usize, LoadReport),
    /// Keep-alive frames on the connections of these attempts.
    Alive(Vec<AttemptId>),
    /// An entry asks what became of an attempt.
    Revoke(usize, AttemptId, Incarnation),
    /// The answer to it.
    Revoked(AttemptId, Revoked),
    /// Crashes that a process knows.
    Crashes(Box<CrashLog>),
    /// A new configuration: a zone is taken out or returned.
    Configure(Revision, usize, bool),
    /// Timer of an entry: the router has something to do.
    Wake,
    /// Timer of an entry: looks for silent attempts and zones.
    Watch,
    /// Timer of a sidecar: a report is due.
    ReportDue,
    /// Timer of an entry: the store is asked once more about a call.
    AskStore(usize),
    /// Timer of an entry: the record of a call is in the store.
    Recorded(usize),
}

/// How an attempt ended at its sidecar.
#[derive(Clone, Copy, Debug)]
pub struct Tail {
    /// The end.
    pub end: End,
    /// Whether it was cancelled to make room.
    pub preempted: bool,
    /// Output tokens of this attempt.
    pub produced: u64,
}

impl Product {
    /// Creates the processes of a deployment.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Product {
            entries: Vec::new(),
            sidecars: Vec::new(),
            store: Store::default(),
            revision: Revision(1),
            incarnations: 0,
            seed,
            into_lost_zone: [0; 8],
            lost: Vec::new(),
            cold_looks: [0; 3],
            samples: Vec::new(),
        }
    }

    /// Returns the number of reports that each target made, on average.
    #[must_use]
    pub fn reports(&self) -> f64 {
        let reports: u64 = self.sidecars.iter().map(|sidecar| sidecar.reports).sum();
        reports as f64 / self.sidecars.len().max(1) as f64
    }

    fn sample(&mut self, core: &Core<Message>) {
        let mut engines = Vec::new();
        for (sidecar, spec) in self.sidecars.iter().zip(&core.deployment.targets) {
            if let Kind::Model(_) = spec.kind {
                let report = sidecar.load(core);
                let streams = core.engines[engines.len()].len();
                let (limit, used, batch) = (report.limit.0, report.used.0, report.batch.0);
                engines.push((limit, used, batch, streams, report.cold));
            }
        }
        let mut waiting = [0; 2];
        for entry in &self.entries {
            for (index, count) in entry.waiting().into_iter().enumerate() {
                waiting[index] += count;
            }
        }
        self.samples.push(Sample {
            at: core.now / SECOND,
            engines,
            waiting,
        });
    }

    fn next_incarnation(&mut self) -> Incarnation {
        self.incarnations += 1;
        Incarnation(self.incarnations)
    }

    /// Counts the dispatches into zones that get no new work.
    fn note_dispatches(&mut self, core: &Core<Message>, entry: usize) {
        for target in self.entries[entry].dispatched.drain(..) {
            let zone = core.zone(Node::Target(target));
            // An entry inside a dark zone is cut off together with its targets.
            let inside = core.network.is_dark(zone) && core.zone(Node::Entry(entry)) == zone;
            if let Some(since) = self.lost[zone].filter(|_| !inside) {
                let second = ((core.now - since) / SECOND) as usize;
                self.into_lost_zone[second.min(7)] += 1;
            }
        }
    }

    fn act(&mut self, core: &mut Core<Message>, entry: usize) {
        self.entries[entry].poll(core);
        self.note_dispatches(core, entry);
    }

    fn configure(&mut self, core: &mut Core<Message>, zone: usize, drained: bool) {
        self.revision = self.revision.next();
        let message = Message::Configure(self.revision, zone, drained);
        let entries = (0..self.entries.len()).map(Node::Entry);
        let nodes = entries.chain((0..self.sidecars.len()).map(Node::Target));
        for node in nodes {
            let delay = (core.random.unit() * CONFIGURE as f64) as u64;
            core.timer(core.now + delay, node, message.clone());
        }
    }
}

impl Policy for Product {
    type Message = Message;

    fn begin(&mut self, core: &mut Core<Message>) {
        self.lost = vec![None; core.deployment.zones.len()];
        for target in 0..core.engines.len() {
            let incarnation = self.next_incarnation();
            let mut sidecar = Sidecar::new(core, target, incarnation, self.revision);
            sidecar.up(core);
            self.sidecars.push(sidecar);
        }
        for index in 0..core.deployment.entries {
            let entry = Entry::new(core, index, self.seed, self.revision);
            self.entries.push(entry);
            core.timer(core.now, Node::Entry(index), Message::Watch);
        }
    }

    fn arrive(&mut self, core: &mut Core<Message>, job: usize) {
        let entry = core.jobs[job].entry;
        let request = &core.jobs[job];
        if core.deployment.routes[request.route].repeat == ebonylug_core::Repeat::No {
            self.store.ask(core, entry, job);
        } else {
            self.entries[entry].enqueue(core, job);
            self.act(core, entry);
        }
    }

    fn receive(&mut self, core: &mut Core<Message>, at: Node, message: Message) {
        match (at, message) {
            (Node::Entry(entry), Message::AskStore(job)) => self.store.ask(core, entry, job),
            (Node::Entry(entry), Message::Recorded(job)) => {
                self.entries[entry].enqueue(core, job);
                self.act(core, entry);
            }
            (Node::Entry(entry), message) => {
                self.entries[entry].receive(core, message);
                self.act(core, entry);
            }
            (Node::Target(target), message) => self.sidecars[target].receive(core, message),
        }
    }

    fn engine(&mut self, core: &mut Core<Message>, target: usize, event: EngineEvent) {
        self.sidecars[target].engine(core, event);
    }

    fn down(&mut self, core: &mut Core<Message>, target: usize, lost: Vec<Ended>) {
        self.sidecars[target].down(core, &lost);
    }

    fn up(&mut self, core: &mut Core<Message>, target: usize) {
        self.sidecars[target].up(core);
    }

    fn tick(&mut self, core: &mut Core<Message>, target: usize) {
        self.sidecars[target].tick(core);
        let engine = &core.engines[target];
        if let Kind::Model(_) = core.deployment.targets[target].kind {
            let report = self.sidecars[target].load(core);
            self.cold_looks[0] += u64::from(engine.is_cold() || !engine.is_up());
            self.cold_looks[1] += u64::from(report.cold || !report.up);
            self.cold_looks[2] += 1;
        }
        if target == 0 && core.now % SAMPLE < TICK {
            self.sample(core);
        }
    }

    fn fault(&mut self, core: &mut Core<Message>, fault: &Fault) {
        match *fault {
            Fault::SidecarRestart(target) => {
                self.sidecars[target].die(core);
                let incarnation = self.next_incarnation();
                let mut sidecar = Sidecar::new(core, target, incarnation, self.revision);
                if core.engines[target].is_up() {
                    sidecar.up(core);
                }
                self.sidecars[target] = sidecar;
            }
            Fault::StoreDown => self.store.down = true,
            Fault::StoreUp => self.store.down = false,
            Fault::LostReplies(part) => self.store.lost = part,
            Fault::Drain(zone) => {
                self.lost[zone] = Some(core.now);
                self.configure(core, zone, true);
            }
            Fault::Restore(zone) => {
                self.lost[zone] = None;
                self.configure(core, zone, false);
            }
            Fault::Dark(zone) => self.lost[zone] = Some(core.now),
            Fault::Light(zone) => self.lost[zone] = None,
            _ => {}
        }
    }
}

/// Returns the settings of the sidecar beside a target of this kind.
fn admission_settings(kind: Kind, incarnation: Incarnation) -> ebonylug_admission::Settings {
    match kind {
        Kind::Model(speed) => {
            ebonylug_admission::Settings::model(incarnation).cold_streams(speed.cold_streams as u32)
        }
        Kind::Service { concurrency } => {
            ebonylug_admission::Settings::service(incarnation, concurrency as u32)
        }
    }
}

fn zone_name(core: &Core<Message>, zone: usize) -> Name {
    Name::new(core.deployment.zones[zone])
}
