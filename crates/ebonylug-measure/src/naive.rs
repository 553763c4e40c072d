//! The baseline: round robin, FIFO queues, a fixed limit and a retry on any error.
//!
//! A target that gave an error is left out for a second, as usual load balancers do. Without
//! that, a target that is down would draw all requests, since it always has room.

use std::collections::{BTreeMap, VecDeque};

use ebonylug_core::{AttemptId, Reason, RequestId};

use crate::engine::{Ended, EngineEvent, Kind, SECOND};
use crate::faults::Fault;
use crate::tally::Conclusion;
use crate::world::{Core, Node, Path, Policy, job_of};

/// Queued requests of an entry above which new ones are refused.
const QUEUE: usize = 4_096;
/// Attempts after which a request fails.
const ATTEMPTS: u32 = 4;
/// Time for a target to accept a request.
const CONNECT_TIMEOUT: u64 = 3 * SECOND;
/// Time for a model engine to answer.
const MODEL_TIMEOUT: u64 = 60 * SECOND;
/// Time for a plain service to answer.
const SERVICE_TIMEOUT: u64 = 5 * SECOND;
/// Time that a target is left out after an error.
const LEFT_OUT: u64 = SECOND;
/// The interval at which the store is polled for zones that are taken out.
const POLL: u64 = 5 * SECOND;

/// The baseline between callers and targets.
#[derive(Default)]
pub struct Naive {
    entries: Vec<Entry>,
    /// The entry of each attempt that a target has accepted.
    accepted: BTreeMap<AttemptId, usize>,
    drained: Vec<Option<u64>>,
    dark: Vec<Option<u64>>,
    /// Dispatches into a zone, by the time in seconds since it was taken out or went dark.
    pub into_lost_zone: [u64; 8],
}

#[derive(Default)]
struct Entry {
    /// Requests that wait: for model engines, for services.
    queues: [VecDeque<(usize, u32)>; 2],
    next: [usize; 2],
    in_flight: Vec<usize>,
    /// Until when each target is left out.
    out: Vec<u64>,
    live: BTreeMap<AttemptId, (usize, bool)>,
}

/// A message between entries and targets, or a timer of an entry.
#[derive(Clone, Debug)]
pub enum Message {
    /// An entry sends a request.
    Start(usize, AttemptId),
    /// The target has accepted it.
    Accepted(AttemptId),
    /// The first token.
    First(AttemptId),
    /// The whole answer.
    Answer(AttemptId),
    /// The target refused or crashed.
    Error(AttemptId),
    /// The entry gave up and closes the connection.
    Cancel(AttemptId),
    /// Timer: the target had to accept by now.
    ConnectTimeout(AttemptId),
    /// Timer: a target is chosen again.
    Pump,
    /// Timer: the answer had to be there by now.
    Timeout(AttemptId),
}

impl Naive {
    /// Sends what the limits permit, in order of arrival.
    fn pump(&mut self, core: &mut Core<Message>, index: usize) {
        for service in [false, true] {
            while let Some(&(job, number)) =
                self.entries[index].queues[usize::from(service)].front()
            {
                let Some(target) = self.choose(core, index, service) else {
                    break;
                };
                self.entries[index].queues[usize::from(service)].pop_front();
                self.dispatch(core, index, target, job, number);
            }
        }
    }

    fn choose(&mut self, core: &Core<Message>, index: usize, service: bool) -> Option<usize> {
        let targets = core.deployment.targets.len();
        for step in 0..targets {
            let entry = &mut self.entries[index];
            let target = (entry.next[usize::from(service)] + step) % targets;
            let kind = core.deployment.targets[target].kind;
            let zone = core.deployment.targets[target].zone;
            // The store is polled at fixed times only.
            let polled = core.now - core.now % POLL;
            let drained = self.drained[zone].is_some_and(|since| since <= polled);
            let fits = matches!(kind, Kind::Service { .. }) == service
                && entry.out[target] <= core.now
                && entry.in_flight[target] < limit(kind, core.deployment.entries);
            if fits && !drained {
                entry.next[usize::from(service)] = target + 1;
                return Some(target);
            }
        }
        None
    }

    fn dispatch(
        &mut self,
        core: &mut Core<Message>,
        index: usize,
        target: usize,
        job: usize,
        number: u32,
    ) {
        let zone = core.deployment.targets[target].zone;
        let inside = core.network.is_dark(zone) && core.zone(Node::Entry(index)) == zone;
        let lost = self.drained[zone].or(self.dark[zone]);
        if let Some(since) = lost.filter(|_| !inside) {
            let second = ((core.now - since) / SECOND) as usize;
            self.into_lost_zone[second.min(7)] += 1;
        }
        let attempt = AttemptId {
            request: RequestId(job as u128),
            number,
        };
        let entry = &mut self.entries[index];
        entry.in_flight[target] += 1;
        entry.live.insert(attempt, (target, false));
        let node = Node::Entry(index);
        core.send(
            node,
            Node::Target(target),
            Path::Data,
            Message::Start(index, attempt),
        );
        core.timer(
            core.now + CONNECT_TIMEOUT,
            node,
            Message::ConnectTimeout(attempt),
        );
        let timeout = match core.deployment.targets[target].kind {
            Kind::Model(_) => MODEL_TIMEOUT,
            Kind::Service { .. } => SERVICE_TIMEOUT,
        };
        core.timer(core.now + timeout, node, Message::Timeout(attempt));
    }

    fn at_entry(&mut self, core: &mut Core<Message>, index: usize, message: Message) {
        let (attempt, silent) = match message {
            Message::Accepted(attempt) => {
                if let Some(live) = self.entries[index].live.get_mut(&attempt) {
                    live.1 = true;
                }
                return;
            }
            Message::First(attempt) => {
                core.tally.first_token(job_of(attempt), core.now);
                return;
            }
            Message::Answer(attempt) => {
                if self.free(index, attempt).is_some() {
                    core.conclude(job_of(attempt), Conclusion::Answered);
                }
                self.pump(core, index);
                return;
            }
            Message::Error(attempt) => (attempt, false),
            Message::Timeout(attempt) => (attempt, true),
            Message::ConnectTimeout(attempt) => {
                let waits = self.entries[index].live.get(&attempt);
                if waits.is_none_or(|(_, accepted)| *accepted) {
                    return;
                }
                (attempt, true)
            }
            Message::Pump => {
                self.pump(core, index);
                return;
            }
            Message::Start(..) | Message::Cancel(_) => return,
        };
        let Some(target) = self.free(index, attempt) else {
            return;
        };
        if silent {
            let message = Message::Cancel(attempt);
            core.send(
                Node::Entry(index),
                Node::Target(target),
                Path::Data,
                message,
            );
            core.network.reconnect(index, target);
        }
        self.entries[index].out[target] = core.now + LEFT_OUT;
        core.timer(core.now + LEFT_OUT, Node::Entry(index), Message::Pump);
        self.retry(core, index, attempt);
        self.pump(core, index);
    }

    fn free(&mut self, index: usize, attempt: AttemptId) -> Option<usize> {
        let entry = &mut self.entries[index];
        let (target, _) = entry.live.remove(&attempt)?;
        entry.in_flight[target] -= 1;
        Some(target)
    }

    fn retry(&mut self, core: &mut Core<Message>, index: usize, attempt: AttemptId) {
        let job = job_of(attempt);
        let number = attempt.number + 1;
        if number >= ATTEMPTS {
            core.conclude(job, Conclusion::Failed);
            return;
        }
        let service = core.deployment.routes[core.jobs[job].route].service;
        self.entries[index].queues[usize::from(service)].push_back((job, number));
    }

    fn at_target(&mut self, core: &mut Core<Message>, target: usize, message: Message) {
        match message {
            Message::Start(entry, attempt) => {
                if !core.engines[target].is_up() {
                    reply(core, target, entry, Message::Error(attempt));
                    return;
                }
                self.accepted.insert(attempt, entry);
                core.start(target, job_of(attempt), attempt, 0);
                reply(core, target, entry, Message::Accepted(attempt));
            }
            Message::Cancel(attempt) => {
                core.cancel(target, job_of(attempt), attempt, false);
                self.accepted.remove(&attempt);
            }
            _ => {}
        }
    }
}

impl Policy for Naive {
    type Message = Message;

    fn begin(&mut self, core: &mut Core<Message>) {
        let targets = core.engines.len();
        let entry = |_| Entry {
            in_flight: vec![0; targets],
            out: vec![0; targets],
            ..Entry::default()
        };
        self.entries = (0..core.deployment.entries).map(entry).collect();
        self.drained = vec![None; core.deployment.zones.len()];
        self.dark = vec![None; core.deployment.zones.len()];
    }

    fn arrive(&mut self, core: &mut Core<Message>, job: usize) {
        let request = &core.jobs[job];
        let (index, service) = (request.entry, core.deployment.routes[request.route].service);
        let queue = &mut self.entries[index].queues[usize::from(service)];
        if queue.len() >= QUEUE {
            core.conclude(job, Conclusion::Refused(Reason::QueueFull));
            return;
        }
        queue.push_back((job, 0));
        self.pump(core, index);
    }

    fn receive(&mut self, core: &mut Core<Message>, at: Node, message: Message) {
        match at {
            Node::Entry(entry) => self.at_entry(core, entry, message),
            Node::Target(target) => self.at_target(core, target, message),
        }
    }

    fn engine(&mut self, core: &mut Core<Message>, target: usize, event: EngineEvent) {
        match event {
            EngineEvent::FirstToken(attempt) => {
                if let Some(entry) = self.accepted.get(&attempt) {
                    reply(core, target, *entry, Message::First(attempt));
                }
            }
            EngineEvent::Done(ended) => {
                if let Some(entry) = self.accepted.remove(&ended.attempt) {
                    reply(core, target, entry, Message::Answer(ended.attempt));
                }
            }
            EngineEvent::Crashed => {}
        }
    }

    fn down(&mut self, core: &mut Core<Message>, target: usize, lost: Vec<Ended>) {
        for ended in lost {
            if let Some(entry) = self.accepted.remove(&ended.attempt) {
                reply(core, target, entry, Message::Error(ended.attempt));
            }
        }
    }

    fn up(&mut self, _: &mut Core<Message>, _: usize) {}

    fn tick(&mut self, core: &mut Core<Message>, target: usize) {
        // A zone that was taken out or returned is seen at the next poll of the store.
        if target == 0 && core.now % POLL < SECOND / 10 {
            for entry in 0..self.entries.len() {
                self.pump(core, entry);
            }
        }
    }

    fn fault(&mut self, core: &mut Core<Message>, fault: &Fault) {
        match *fault {
            Fault::Drain(zone) => self.drained[zone] = Some(core.now),
            Fault::Restore(zone) => self.drained[zone] = None,
            Fault::Dark(zone) => self.dark[zone] = Some(core.now),
            Fault::Light(zone) => self.dark[zone] = None,
            _ => {}
        }
    }
}

fn reply(core: &mut Core<Message>, target: usize, entry: usize, message: Message) {
    core.send(
        Node::Target(target),
        Node::Entry(entry),
        Path::Data,
        message,
    );
}

/// Returns the fixed limit of one entry for one target: its part of the slots, whatever the
/// generation.
fn limit(kind: Kind, entries: usize) -> usize {
    let slots = match kind {
        Kind::Model(speed) => speed.slots,
        Kind::Service { concurrency } => concurrency,
    };
    slots.div_ceil(entries)
}
