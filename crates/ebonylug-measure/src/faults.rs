//! Fault injection for targets, processes, connections and the store.

use std::collections::BTreeSet;

use crate::deployment::Deployment;
use crate::engine::SECOND;
use crate::random::SeededRng;
use crate::simulation::Node;

/// A fault, or the end of one. Targets, entries and zones are given by index.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A target crashes and restarts cold.
    Crash(usize),
    /// A target becomes cold without reporting it.
    UnreportedCold(usize),
    /// Sets the factor by which the speed of a target is multiplied.
    SetSpeedFactor(usize, f64),
    /// A sidecar crashes and restarts immediately.
    SidecarRestart(usize),
    /// The open connections between an entry and a target drop all messages without an error.
    BlockConnections(usize, usize),
    /// Delays each message by a random time up to this many microseconds, so that messages are
    /// reordered.
    DelayMessages(u64),
    /// An entry crashes and does not restart.
    EntryCrash(usize),
    /// A zone becomes unreachable: messages between it and other zones are dropped.
    ZoneUnreachable(usize),
    /// An unreachable zone becomes reachable again.
    ZoneReachable(usize),
    /// Operators drain a zone.
    DrainZone(usize),
    /// Operators restore a drained zone.
    RestoreZone(usize),
    /// The store stops responding.
    StoreDown,
    /// The store responds again.
    StoreUp,
    /// The store loses this fraction of its responses after the write.
    DropResponses(f64),
}

/// The active network faults.
#[derive(Clone, Debug, Default)]
pub struct Network {
    blocked: BTreeSet<(usize, usize)>,
    unreachable: BTreeSet<usize>,
    crashed: BTreeSet<usize>,
    max_delay: u64,
}

impl Network {
    /// Applies a network fault; other faults have no effect.
    pub fn apply(&mut self, fault: &Fault) {
        match *fault {
            Fault::BlockConnections(entry, target) => {
                self.blocked.insert((entry, target));
            }
            Fault::DelayMessages(delay) => self.max_delay = delay,
            Fault::EntryCrash(entry) => {
                self.crashed.insert(entry);
            }
            Fault::ZoneUnreachable(zone) => {
                self.unreachable.insert(zone);
            }
            Fault::ZoneReachable(zone) => {
                self.unreachable.remove(&zone);
            }
            _ => {}
        }
    }

    /// Opens new connections between an entry and a target in place of blocked ones.
    pub fn reconnect(&mut self, entry: usize, target: usize) {
        self.blocked.remove(&(entry, target));
    }

    /// Reports whether the open connections between two processes drop all messages.
    #[must_use]
    pub fn is_blocked(&self, from: Node, to: Node) -> bool {
        match (from, to) {
            (Node::Entry(entry), Node::Target(target))
            | (Node::Target(target), Node::Entry(entry)) => self.blocked.contains(&(entry, target)),
            _ => false,
        }
    }

    /// Reports whether messages between two zones are dropped.
    #[must_use]
    pub fn is_partitioned(&self, (from, to): (usize, usize)) -> bool {
        from != to && (self.unreachable.contains(&from) || self.unreachable.contains(&to))
    }

    /// Reports whether a zone is unreachable.
    #[must_use]
    pub fn is_unreachable(&self, zone: usize) -> bool {
        self.unreachable.contains(&zone)
    }

    /// Reports whether a process has crashed permanently.
    #[must_use]
    pub fn is_crashed(&self, node: Node) -> bool {
        matches!(node, Node::Entry(entry) if self.crashed.contains(&entry))
    }

    /// Returns the additional delay of a message in microseconds.
    pub fn extra_delay(&self, random: &mut SeededRng) -> u64 {
        if self.max_delay == 0 {
            return 0;
        }
        (random.unit() * self.max_delay as f64) as u64
    }
}

/// Returns random faults for a short case, ordered by time: up to two of each kind, and possibly
/// the crash of an entry.
#[must_use]
pub fn draw(deployment: &Deployment, length: u64, seed: u64) -> Vec<(u64, Fault)> {
    let mut random = SeededRng::new(seed, 1_000);
    let mut faults = Vec::new();
    for _ in 0..2 {
        for kind in 0..7 {
            if random.chance(0.4) {
                let start = (random.uniform(0.2, 0.8) * length as f64) as u64;
                faults.extend(draw_fault(deployment, kind, start, &mut random));
            }
        }
    }
    if random.chance(0.25) {
        let start = (random.uniform(0.3, 0.7) * length as f64) as u64;
        faults.push((start, Fault::EntryCrash(random.index(deployment.entries))));
    }
    faults.sort_by_key(|(start, _)| *start);
    faults
}

/// Returns a fault of one kind, followed by its end if it ends.
fn draw_fault(
    deployment: &Deployment,
    kind: u32,
    start: u64,
    random: &mut SeededRng,
) -> Vec<(u64, Fault)> {
    let target = random.index(deployment.targets.len());
    let zone = random.index(deployment.zones.len());
    match kind {
        0 => vec![(start, Fault::Crash(target))],
        1 => vec![(start, Fault::UnreportedCold(target))],
        2 => vec![(start, Fault::SidecarRestart(target))],
        3 => vec![(
            start,
            Fault::BlockConnections(random.index(deployment.entries), target),
        )],
        4 => {
            let max_delay = (random.unit() * SECOND as f64) as u64;
            vec![
                (start, Fault::DelayMessages(max_delay)),
                (start + 3 * SECOND, Fault::DelayMessages(0)),
            ]
        }
        5 => vec![
            (start, Fault::StoreDown),
            (start, Fault::DropResponses(random.uniform(0.05, 0.5))),
            (start + 4 * SECOND, Fault::StoreUp),
        ],
        _ if random.chance(0.5) => {
            vec![
                (start, Fault::ZoneUnreachable(zone)),
                (start + 6 * SECOND, Fault::ZoneReachable(zone)),
            ]
        }
        _ => vec![
            (start, Fault::DrainZone(zone)),
            (start + 6 * SECOND, Fault::RestoreZone(zone)),
        ],
    }
}
