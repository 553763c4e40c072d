//! The baseline: round robin, FIFO queues, a fixed concurrency limit and a retry on any error.
//!
//! A target that returned an error is ejected for a second, as common load balancers do. Otherwise
//! a target that is down would attract all requests, since it always has free slots.

use std::collections::{BTreeMap, VecDeque};

use ebonylug_core::{AttemptId, Reason, RequestId};

use crate::engine::{EndedAttempt, EngineEvent, EngineKind, SECOND};
use crate::faults::Fault;
use crate::recorder::Conclusion;
use crate::simulation::{Node, Path, Policy, Simulation, job_of};

/// Queue length of an entry above which new requests are refused.
const MAX_QUEUED: usize = 4_096;
/// Number of attempts after which a request fails.
const MAX_ATTEMPTS: u32 = 4;
/// Timeout for a target to accept a request.
const CONNECT_TIMEOUT_US: u64 = 3 * SECOND;
/// Response timeout of model engines.
const MODEL_TIMEOUT_US: u64 = 60 * SECOND;
/// Response timeout of plain services.
const SERVICE_TIMEOUT_US: u64 = 5 * SECOND;
/// Time for which a target is ejected after an error.
const EJECTION_TIME_US: u64 = SECOND;
/// Interval at which the store is polled for drained zones.
const POLL_INTERVAL_US: u64 = 5 * SECOND;

/// The baseline policy.
#[derive(Default)]
pub struct Naive {
    entries: Vec<Entry>,
    /// The entry of each attempt that a target has accepted.
    accepted: BTreeMap<AttemptId, usize>,
    /// Time at which each zone was drained.
    drained: Vec<Option<u64>>,
    /// Time at which each zone became unreachable.
    unreachable: Vec<Option<u64>>,
    /// Dispatches into a drained or unreachable zone, by seconds since the fault. The last element
    /// counts all later ones.
    pub lost_zone_dispatches: [u64; 8],
}

#[derive(Default)]
struct Entry {
    /// Queued requests with their attempt number: for model engines, for services.
    queues: [VecDeque<(usize, u32)>; 2],
    /// Next target in round-robin order: for model engines, for services.
    next: [usize; 2],
    /// Number of attempts at each target.
    in_flight: Vec<usize>,
    /// Time until which each target is ejected.
    ejected_until: Vec<u64>,
    /// Target of each attempt, and whether the target has accepted it.
    in_progress: BTreeMap<AttemptId, (usize, bool)>,
}

/// A message between entries and targets, or a timer event of an entry.
#[derive(Clone, Debug)]
pub enum Message {
    /// An entry sends a request to a target.
    Start(usize, AttemptId),
    /// The target has accepted the request.
    Accepted(AttemptId),
    /// The first token of the response.
    FirstToken(AttemptId),
    /// The complete response.
    Response(AttemptId),
    /// The target refused the request or crashed.
    Error(AttemptId),
    /// The attempt timed out and the entry closes the connection.
    Cancel(AttemptId),
    /// Timer: timeout for the acceptance by the target.
    ConnectTimeout(AttemptId),
    /// Timer: an ejection ends, so queued requests may be dispatched.
    DispatchQueued,
    /// Timer: response timeout.
    Timeout(AttemptId),
}

impl Naive {
    /// Dispatches queued requests in order of arrival while targets have capacity.
    fn dispatch_queued(&mut self, sim: &mut Simulation<Message>, index: usize) {
        for service in [false, true] {
            while let Some(&(job, number)) =
                self.entries[index].queues[usize::from(service)].front()
            {
                let Some(target) = self.select_target(sim, index, service) else {
                    break;
                };
                self.entries[index].queues[usize::from(service)].pop_front();
                self.dispatch(sim, index, target, job, number);
            }
        }
    }

    fn select_target(
        &mut self,
        sim: &Simulation<Message>,
        index: usize,
        service: bool,
    ) -> Option<usize> {
        let targets = sim.deployment.targets.len();
        for step in 0..targets {
            let entry = &mut self.entries[index];
            let target = (entry.next[usize::from(service)] + step) % targets;
            let kind = sim.deployment.targets[target].kind;
            let zone = sim.deployment.targets[target].zone;
            // The store is polled only at fixed times.
            let last_poll = sim.now - sim.now % POLL_INTERVAL_US;
            let drained = self.drained[zone].is_some_and(|since| since <= last_poll);
            let has_capacity = matches!(kind, EngineKind::Service { .. }) == service
                && entry.ejected_until[target] <= sim.now
                && entry.in_flight[target] < concurrency_limit(kind, sim.deployment.entries);
            if has_capacity && !drained {
                entry.next[usize::from(service)] = target + 1;
                return Some(target);
            }
        }
        None
    }

    fn dispatch(
        &mut self,
        sim: &mut Simulation<Message>,
        index: usize,
        target: usize,
        job: usize,
        number: u32,
    ) {
        let zone = sim.deployment.targets[target].zone;
        let inside = sim.network.is_unreachable(zone) && sim.zone(Node::Entry(index)) == zone;
        let lost = self.drained[zone].or(self.unreachable[zone]);
        if let Some(since) = lost.filter(|_| !inside) {
            let second = ((sim.now - since) / SECOND) as usize;
            self.lost_zone_dispatches[second.min(7)] += 1;
        }
        let attempt = AttemptId {
            request: RequestId(job as u128),
            number,
        };
        let entry = &mut self.entries[index];
        entry.in_flight[target] += 1;
        entry.in_progress.insert(attempt, (target, false));
        let node = Node::Entry(index);
        sim.send(
            node,
            Node::Target(target),
            Path::Data,
            Message::Start(index, attempt),
        );
        sim.set_timer(
            sim.now + CONNECT_TIMEOUT_US,
            node,
            Message::ConnectTimeout(attempt),
        );
        let timeout = match sim.deployment.targets[target].kind {
            EngineKind::Model(_) => MODEL_TIMEOUT_US,
            EngineKind::Service { .. } => SERVICE_TIMEOUT_US,
        };
        sim.set_timer(sim.now + timeout, node, Message::Timeout(attempt));
    }

    fn entry_receive(&mut self, sim: &mut Simulation<Message>, index: usize, message: Message) {
        let (attempt, timed_out) = match message {
            Message::Accepted(attempt) => {
                if let Some(in_progress) = self.entries[index].in_progress.get_mut(&attempt) {
                    in_progress.1 = true;
                }
                return;
            }
            Message::FirstToken(attempt) => {
                sim.recorder.record_first_token(job_of(attempt), sim.now);
                return;
            }
            Message::Response(attempt) => {
                if self.release(index, attempt).is_some() {
                    sim.conclude(job_of(attempt), Conclusion::Answered);
                }
                self.dispatch_queued(sim, index);
                return;
            }
            Message::Error(attempt) => (attempt, false),
            Message::Timeout(attempt) => (attempt, true),
            Message::ConnectTimeout(attempt) => {
                let state = self.entries[index].in_progress.get(&attempt);
                if state.is_none_or(|(_, accepted)| *accepted) {
                    return;
                }
                (attempt, true)
            }
            Message::DispatchQueued => {
                self.dispatch_queued(sim, index);
                return;
            }
            Message::Start(..) | Message::Cancel(_) => return,
        };
        let Some(target) = self.release(index, attempt) else {
            return;
        };
        if timed_out {
            let message = Message::Cancel(attempt);
            sim.send(
                Node::Entry(index),
                Node::Target(target),
                Path::Data,
                message,
            );
            sim.network.reconnect(index, target);
        }
        self.entries[index].ejected_until[target] = sim.now + EJECTION_TIME_US;
        sim.set_timer(
            sim.now + EJECTION_TIME_US,
            Node::Entry(index),
            Message::DispatchQueued,
        );
        self.retry(sim, index, attempt);
        self.dispatch_queued(sim, index);
    }

    fn release(&mut self, index: usize, attempt: AttemptId) -> Option<usize> {
        let entry = &mut self.entries[index];
        let (target, _) = entry.in_progress.remove(&attempt)?;
        entry.in_flight[target] -= 1;
        Some(target)
    }

    fn retry(&mut self, sim: &mut Simulation<Message>, index: usize, attempt: AttemptId) {
        let job = job_of(attempt);
        let number = attempt.number + 1;
        if number >= MAX_ATTEMPTS {
            sim.conclude(job, Conclusion::Failed);
            return;
        }
        let service = sim.deployment.routes[sim.jobs[job].route].service;
        self.entries[index].queues[usize::from(service)].push_back((job, number));
    }

    fn target_receive(&mut self, sim: &mut Simulation<Message>, target: usize, message: Message) {
        match message {
            Message::Start(entry, attempt) => {
                if !sim.engines[target].is_up() {
                    reply(sim, target, entry, Message::Error(attempt));
                    return;
                }
                self.accepted.insert(attempt, entry);
                sim.start(target, job_of(attempt), attempt, 0);
                reply(sim, target, entry, Message::Accepted(attempt));
            }
            Message::Cancel(attempt) => {
                sim.cancel(target, job_of(attempt), attempt, false);
                self.accepted.remove(&attempt);
            }
            _ => {}
        }
    }
}

impl Policy for Naive {
    type Message = Message;

    fn start(&mut self, sim: &mut Simulation<Message>) {
        let targets = sim.engines.len();
        let entry = |_| Entry {
            in_flight: vec![0; targets],
            ejected_until: vec![0; targets],
            ..Entry::default()
        };
        self.entries = (0..sim.deployment.entries).map(entry).collect();
        self.drained = vec![None; sim.deployment.zones.len()];
        self.unreachable = vec![None; sim.deployment.zones.len()];
    }

    fn on_arrival(&mut self, sim: &mut Simulation<Message>, job: usize) {
        let request = &sim.jobs[job];
        let (index, service) = (request.entry, sim.deployment.routes[request.route].service);
        let queue = &mut self.entries[index].queues[usize::from(service)];
        if queue.len() >= MAX_QUEUED {
            sim.conclude(job, Conclusion::Refused(Reason::QueueFull));
            return;
        }
        queue.push_back((job, 0));
        self.dispatch_queued(sim, index);
    }

    fn on_message(&mut self, sim: &mut Simulation<Message>, at: Node, message: Message) {
        match at {
            Node::Entry(entry) => self.entry_receive(sim, entry, message),
            Node::Target(target) => self.target_receive(sim, target, message),
        }
    }

    fn on_engine_event(
        &mut self,
        sim: &mut Simulation<Message>,
        target: usize,
        event: EngineEvent,
    ) {
        match event {
            EngineEvent::FirstToken(attempt) => {
                if let Some(entry) = self.accepted.get(&attempt) {
                    reply(sim, target, *entry, Message::FirstToken(attempt));
                }
            }
            EngineEvent::Done(ended) => {
                if let Some(entry) = self.accepted.remove(&ended.attempt) {
                    reply(sim, target, entry, Message::Response(ended.attempt));
                }
            }
            EngineEvent::Crashed => {}
        }
    }

    fn on_target_down(
        &mut self,
        sim: &mut Simulation<Message>,
        target: usize,
        lost: Vec<EndedAttempt>,
    ) {
        for ended in lost {
            if let Some(entry) = self.accepted.remove(&ended.attempt) {
                reply(sim, target, entry, Message::Error(ended.attempt));
            }
        }
    }

    fn on_target_up(&mut self, _: &mut Simulation<Message>, _: usize) {}

    fn on_tick(&mut self, sim: &mut Simulation<Message>, target: usize) {
        // A drained or restored zone takes effect at the next poll of the store.
        if target == 0 && sim.now % POLL_INTERVAL_US < SECOND / 10 {
            for entry in 0..self.entries.len() {
                self.dispatch_queued(sim, entry);
            }
        }
    }

    fn on_fault(&mut self, sim: &mut Simulation<Message>, fault: &Fault) {
        match *fault {
            Fault::DrainZone(zone) => self.drained[zone] = Some(sim.now),
            Fault::RestoreZone(zone) => self.drained[zone] = None,
            Fault::ZoneUnreachable(zone) => self.unreachable[zone] = Some(sim.now),
            Fault::ZoneReachable(zone) => self.unreachable[zone] = None,
            _ => {}
        }
    }
}

fn reply(sim: &mut Simulation<Message>, target: usize, entry: usize, message: Message) {
    sim.send(
        Node::Target(target),
        Node::Entry(entry),
        Path::Data,
        message,
    );
}

/// Returns the fixed limit of one entry for one target: its share of the slots, regardless of the
/// hardware generation.
fn concurrency_limit(kind: EngineKind, entries: usize) -> usize {
    let slots = match kind {
        EngineKind::Model(spec) => spec.slots,
        EngineKind::Service { concurrency } => concurrency,
    };
    slots.div_ceil(entries)
}
