//! Faults of targets, processes, connections and the store.

use std::collections::BTreeSet;

use crate::deployment::Deployment;
use crate::engine::SECOND;
use crate::random::Random;
use crate::world::Node;

/// Something that breaks or heals.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A target crashes, and starts again cold.
    Crash(usize),
    /// A target becomes cold without notice.
    SilentCold(usize),
    /// The speed of a target is multiplied by a factor from now on.
    Slow(usize, f64),
    /// A sidecar dies and starts again at once.
    SidecarRestart(usize),
    /// The open connections between an entry and a target go silent.
    Silent(usize, usize),
    /// Messages are late by up to this time, so that they cross.
    Late(u64),
    /// An entry dies.
    EntryDeath(usize),
    /// A zone goes dark: no message passes its border.
    Dark(usize),
    /// A dark zone is reachable again.
    Light(usize),
    /// Operators take a zone out of service.
    Drain(usize),
    /// Operators return a zone to service.
    Restore(usize),
    /// The store stops to answer.
    StoreDown,
    /// The store answers again.
    StoreUp,
    /// The store loses this part of its replies after the write.
    LostReplies(f64),
}

/// What is wrong with the network.
#[derive(Clone, Debug, Default)]
pub struct Network {
    silent: BTreeSet<(usize, usize)>,
    dark: BTreeSet<usize>,
    dead: BTreeSet<usize>,
    late: u64,
}

impl Network {
    /// Takes a fault into account.
    pub fn apply(&mut self, fault: &Fault) {
        match *fault {
            Fault::Silent(entry, target) => {
                self.silent.insert((entry, target));
            }
            Fault::Late(time) => self.late = time,
            Fault::EntryDeath(entry) => {
                self.dead.insert(entry);
            }
            Fault::Dark(zone) => {
                self.dark.insert(zone);
            }
            Fault::Light(zone) => {
                self.dark.remove(&zone);
            }
            _ => {}
        }
    }

    /// Replaces the connections between an entry and a target by new ones.
    pub fn reconnect(&mut self, entry: usize, target: usize) {
        self.silent.remove(&(entry, target));
    }

    /// Reports whether the open connections between two processes are silent.
    #[must_use]
    pub fn is_silent(&self, from: Node, to: Node) -> bool {
        match (from, to) {
            (Node::Entry(entry), Node::Target(target))
            | (Node::Target(target), Node::Entry(entry)) => self.silent.contains(&(entry, target)),
            _ => false,
        }
    }

    /// Reports whether no message passes between two zones.
    #[must_use]
    pub fn is_cut(&self, (from, to): (usize, usize)) -> bool {
        from != to && (self.dark.contains(&from) || self.dark.contains(&to))
    }

    /// Reports whether a zone is dark.
    #[must_use]
    pub fn is_dark(&self, zone: usize) -> bool {
        self.dark.contains(&zone)
    }

    /// Reports whether a process is dead.
    #[must_use]
    pub fn is_dead(&self, node: Node) -> bool {
        matches!(node, Node::Entry(entry) if self.dead.contains(&entry))
    }

    /// Draws the time by which a message is late.
    pub fn extra(&self, random: &mut Random) -> u64 {
        if self.late == 0 {
            return 0;
        }
        (random.unit() * self.late as f64) as u64
    }
}

/// Draws the faults of a short case: each kind with some probability, some of them twice.
#[must_use]
pub fn draw(deployment: &Deployment, length: u64, seed: u64) -> Vec<(u64, Fault)> {
    let mut random = Random::new(seed, 1_000);
    let mut faults = Vec::new();
    for _ in 0..2 {
        for kind in 0..7 {
            if random.chance(0.4) {
                let at = (random.between(0.2, 0.8) * length as f64) as u64;
                faults.extend(draw_one(deployment, kind, at, &mut random));
            }
        }
    }
    if random.chance(0.25) {
        let at = (random.between(0.3, 0.7) * length as f64) as u64;
        faults.push((at, Fault::EntryDeath(random.below(deployment.entries))));
    }
    faults.sort_by_key(|(at, _)| *at);
    faults
}

/// Draws a fault of one kind, with the end of those that end.
fn draw_one(deployment: &Deployment, kind: u32, at: u64, random: &mut Random) -> Vec<(u64, Fault)> {
    let target = random.below(deployment.targets.len());
    let zone = random.below(deployment.zones.len());
    match kind {
        0 => vec![(at, Fault::Crash(target))],
        1 => vec![(at, Fault::SilentCold(target))],
        2 => vec![(at, Fault::SidecarRestart(target))],
        3 => vec![(at, Fault::Silent(random.below(deployment.entries), target))],
        4 => {
            let late = (random.unit() * SECOND as f64) as u64;
            vec![(at, Fault::Late(late)), (at + 3 * SECOND, Fault::Late(0))]
        }
        5 => vec![
            (at, Fault::StoreDown),
            (at, Fault::LostReplies(random.between(0.05, 0.5))),
            (at + 4 * SECOND, Fault::StoreUp),
        ],
        _ if random.chance(0.5) => {
            vec![
                (at, Fault::Dark(zone)),
                (at + 6 * SECOND, Fault::Light(zone)),
            ]
        }
        _ => vec![
            (at, Fault::Drain(zone)),
            (at + 6 * SECOND, Fault::Restore(zone)),
        ],
    }
}
