//! The product as a policy: real routers and admission controllers, connected by messages.
//!
//! Around these decision crates, the fake entries and sidecars do what the real processes do: they
//! detect connection timeouts, settle attempts whose connection broke, and retain how attempts ended.

mod entry;
mod sidecar;
mod store;

use ebonylug_admission::CrashLog;
use ebonylug_core::{
    AttemptId, End, Incarnation, LoadReport, Name, Offer, Refusal, Revision, RevokeOutcome,
};

use crate::engine::{EndedAttempt, EngineEvent, EngineKind, SECOND};
use crate::faults::Fault;
use crate::product::entry::Entry;
use crate::product::sidecar::Sidecar;
use crate::product::store::Store;
use crate::simulation::{Node, Policy, Simulation, TICK_US};

/// Maximum delay until a process applies a new configuration. A change must be active within 5 s;
/// peers push it within about a second.
const MAX_CONFIG_DELAY_US: u64 = SECOND;
/// Interval between two samples of the fleet.
const SAMPLE_INTERVAL_US: u64 = 10 * SECOND;

/// The product as a policy.
pub struct Product {
    entries: Vec<Entry>,
    sidecars: Vec<Sidecar>,
    store: Store,
    revision: Revision,
    incarnations: u64,
    seed: u64,
    /// Dispatches into a drained or unreachable zone, by seconds since the fault. The last element
    /// counts all later ones.
    pub lost_zone_dispatches: [u64; 8],
    /// Time at which each zone was drained or became unreachable.
    lost_since: Vec<Option<u64>>,
    /// Samples of model engines that were cold or down, that their sidecars reported as cold or
    /// down, and all samples.
    pub cold_samples: [u64; 3],
    /// State of the fleet over time.
    pub samples: Vec<Sample>,
}

/// State of the fleet at one time.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Virtual time in seconds.
    pub at: u64,
    /// For each model engine: its limit, the work inside and the batch share of it in tokens, the
    /// number of streams inside, and whether its sidecar reports it as cold.
    pub engines: Vec<(u64, u64, u64, usize, bool)>,
    /// Queued requests: interactive, batch.
    pub waiting: [usize; 2],
}

/// A message between processes of the product, or a timer event of one.
#[derive(Clone, Debug)]
pub enum Message {
    /// An entry offers an attempt to a sidecar.
    Offer(usize, Offer),
    /// A sidecar refused an attempt; carries its current load.
    Refused(AttemptId, Refusal, LoadReport),
    /// A sidecar has started an attempt.
    Started(AttemptId),
    /// The first token of an attempt.
    FirstToken(AttemptId),
    /// An attempt has ended.
    Ended(AttemptId, AttemptEnd),
    /// A load report of a target.
    Report(usize, LoadReport),
    /// Keep-alive frames on the connections of these attempts.
    KeepAlive(Vec<AttemptId>),
    /// An entry revokes an attempt whose outcome is unknown.
    Revoke(usize, AttemptId, Incarnation),
    /// Response to a revocation.
    Revoked(AttemptId, RevokeOutcome),
    /// The crash log of a process.
    Crashes(Box<CrashLog>),
    /// A new configuration that drains or restores a zone.
    Configure(Revision, usize, bool),
    /// Timer of an entry: the router has pending work.
    Wake,
    /// Timer of an entry: checks the timeouts of attempts, targets and zones.
    CheckTimeouts,
    /// Timer of a sidecar: a report is due.
    ReportDue,
    /// Timer of an entry: retries the store access for a call.
    QueryStore(usize),
    /// Timer of an entry: the record of a call is in the store.
    CallRecorded(usize),
}

/// The end of an attempt at its sidecar.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// Reason of the end.
    pub end: End,
    /// Whether it was preempted.
    pub preempted: bool,
    /// Output tokens produced by this attempt.
    pub produced: u64,
}

impl Product {
    /// Creates a product without processes; [`Policy::start`] adds those of the deployment.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Product {
            entries: Vec::new(),
            sidecars: Vec::new(),
            store: Store::default(),
            revision: Revision(1),
            incarnations: 0,
            seed,
            lost_zone_dispatches: [0; 8],
            lost_since: Vec::new(),
            cold_samples: [0; 3],
            samples: Vec::new(),
        }
    }

    /// Returns the mean number of reports per target.
    #[must_use]
    pub fn mean_reports(&self) -> f64 {
        let reports: u64 = self
            .sidecars
            .iter()
            .map(|sidecar| sidecar.report_count)
            .sum();
        reports as f64 / self.sidecars.len().max(1) as f64
    }

    fn record_sample(&mut self, sim: &Simulation<Message>) {
        let mut engines = Vec::new();
        for (sidecar, spec) in self.sidecars.iter().zip(&sim.deployment.targets) {
            if let EngineKind::Model(_) = spec.kind {
                let report = sidecar.load_report(sim);
                let streams = sim.engines[engines.len()].len();
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
            at: sim.now / SECOND,
            engines,
            waiting,
        });
    }

    fn next_incarnation(&mut self) -> Incarnation {
        self.incarnations += 1;
        Incarnation(self.incarnations)
    }

    /// Counts the dispatches into drained or unreachable zones.
    fn count_lost_dispatches(&mut self, sim: &Simulation<Message>, entry: usize) {
        for target in self.entries[entry].dispatched.drain(..) {
            let zone = sim.zone(Node::Target(target));
            // An entry inside an unreachable zone is isolated together with its targets.
            let inside = sim.network.is_unreachable(zone) && sim.zone(Node::Entry(entry)) == zone;
            if let Some(since) = self.lost_since[zone].filter(|_| !inside) {
                let second = ((sim.now - since) / SECOND) as usize;
                self.lost_zone_dispatches[second.min(7)] += 1;
            }
        }
    }

    fn poll_entry(&mut self, sim: &mut Simulation<Message>, entry: usize) {
        self.entries[entry].poll(sim);
        self.count_lost_dispatches(sim, entry);
    }

    fn push_config(&mut self, sim: &mut Simulation<Message>, zone: usize, drained: bool) {
        self.revision = self.revision.next();
        let message = Message::Configure(self.revision, zone, drained);
        let entries = (0..self.entries.len()).map(Node::Entry);
        let nodes = entries.chain((0..self.sidecars.len()).map(Node::Target));
        for node in nodes {
            let delay = (sim.random.unit() * MAX_CONFIG_DELAY_US as f64) as u64;
            sim.set_timer(sim.now + delay, node, message.clone());
        }
    }
}

impl Policy for Product {
    type Message = Message;

    fn start(&mut self, sim: &mut Simulation<Message>) {
        self.lost_since = vec![None; sim.deployment.zones.len()];
        for target in 0..sim.engines.len() {
            let incarnation = self.next_incarnation();
            let mut sidecar = Sidecar::new(sim, target, incarnation, self.revision);
            sidecar.target_up(sim);
            self.sidecars.push(sidecar);
        }
        for index in 0..sim.deployment.entries {
            let entry = Entry::new(sim, index, self.seed, self.revision);
            self.entries.push(entry);
            sim.set_timer(sim.now, Node::Entry(index), Message::CheckTimeouts);
        }
    }

    fn on_arrival(&mut self, sim: &mut Simulation<Message>, job: usize) {
        let entry = sim.jobs[job].entry;
        let request = &sim.jobs[job];
        if sim.deployment.routes[request.route].repeat == ebonylug_core::Repeat::No {
            self.store.record_call(sim, entry, job);
        } else {
            self.entries[entry].enqueue(sim, job);
            self.poll_entry(sim, entry);
        }
    }

    fn on_message(&mut self, sim: &mut Simulation<Message>, at: Node, message: Message) {
        match (at, message) {
            (Node::Entry(entry), Message::QueryStore(job)) => {
                self.store.record_call(sim, entry, job);
            }
            (Node::Entry(entry), Message::CallRecorded(job)) => {
                self.entries[entry].enqueue(sim, job);
                self.poll_entry(sim, entry);
            }
            (Node::Entry(entry), message) => {
                self.entries[entry].receive(sim, message);
                self.poll_entry(sim, entry);
            }
            (Node::Target(target), message) => self.sidecars[target].receive(sim, message),
        }
    }

    fn on_engine_event(
        &mut self,
        sim: &mut Simulation<Message>,
        target: usize,
        event: EngineEvent,
    ) {
        self.sidecars[target].on_engine_event(sim, event);
    }

    fn on_target_down(
        &mut self,
        sim: &mut Simulation<Message>,
        target: usize,
        lost: Vec<EndedAttempt>,
    ) {
        self.sidecars[target].target_down(sim, &lost);
    }

    fn on_target_up(&mut self, sim: &mut Simulation<Message>, target: usize) {
        self.sidecars[target].target_up(sim);
    }

    fn on_tick(&mut self, sim: &mut Simulation<Message>, target: usize) {
        self.sidecars[target].tick(sim);
        let engine = &sim.engines[target];
        if let EngineKind::Model(_) = sim.deployment.targets[target].kind {
            let report = self.sidecars[target].load_report(sim);
            self.cold_samples[0] += u64::from(engine.is_cold() || !engine.is_up());
            self.cold_samples[1] += u64::from(report.cold || !report.up);
            self.cold_samples[2] += 1;
        }
        if target == 0 && sim.now % SAMPLE_INTERVAL_US < TICK_US {
            self.record_sample(sim);
        }
    }

    fn on_fault(&mut self, sim: &mut Simulation<Message>, fault: &Fault) {
        match *fault {
            Fault::SidecarRestart(target) => {
                self.sidecars[target].stop(sim);
                let incarnation = self.next_incarnation();
                let mut sidecar = Sidecar::new(sim, target, incarnation, self.revision);
                if sim.engines[target].is_up() {
                    sidecar.target_up(sim);
                }
                self.sidecars[target] = sidecar;
            }
            Fault::StoreDown => self.store.down = true,
            Fault::StoreUp => self.store.down = false,
            Fault::DropResponses(fraction) => self.store.drop_rate = fraction,
            Fault::DrainZone(zone) => {
                self.lost_since[zone] = Some(sim.now);
                self.push_config(sim, zone, true);
            }
            Fault::RestoreZone(zone) => {
                self.lost_since[zone] = None;
                self.push_config(sim, zone, false);
            }
            Fault::ZoneUnreachable(zone) => self.lost_since[zone] = Some(sim.now),
            Fault::ZoneReachable(zone) => self.lost_since[zone] = None,
            _ => {}
        }
    }
}

/// Returns the admission settings of the sidecar of a target of this kind.
fn admission_settings(kind: EngineKind, incarnation: Incarnation) -> ebonylug_admission::Settings {
    match kind {
        EngineKind::Model(spec) => {
            ebonylug_admission::Settings::model(incarnation).cold_streams(spec.cold_streams as u32)
        }
        EngineKind::Service { concurrency } => {
            ebonylug_admission::Settings::service(incarnation, concurrency as u32)
        }
    }
}

fn zone_name(sim: &Simulation<Message>, zone: usize) -> Name {
    Name::new(sim.deployment.zones[zone])
}
