use std::collections::BTreeMap;
use std::time::Instant;

use ebonylug_core::Name;

use crate::Settings;

/// Pairs of zones whose joint outages are counted. The least counted pair is dropped above it.
const MAX_PAIRS: usize = 64;
/// Upper bound of the count of a pair, so that a few separate outages end the relation.
const MAX_COUNT: u32 = 4;

/// Learns which zones go dark together.
///
/// A joint outage raises the count of a pair by one, and an outage of one zone alone lowers it
/// by one. The result is only a hint: it slows batch work and never blocks anything.
#[derive(Clone, Debug, Default)]
pub(crate) struct Related {
    pairs: BTreeMap<(Name, Name), u32>,
    /// Outages that are recent enough for another one to be joint with.
    recent: Vec<Outage>,
}

#[derive(Clone, Debug)]
struct Outage {
    zone: Name,
    time: Instant,
    joint: Vec<Name>,
}

impl Related {
    /// Counts that `zone` went dark.
    pub(crate) fn lost(&mut self, now: Instant, zone: &Name, settings: &Settings) {
        self.expire(now, settings);
        let mut joint = Vec::new();
        for outage in &mut self.recent {
            if outage.zone == *zone || outage.joint.contains(zone) {
                continue;
            }
            outage.joint.push(zone.clone());
            joint.push(outage.zone.clone());
        }
        for other in &joint {
            let count = self.pairs.entry(pair(zone, other)).or_default();
            *count = (*count + 1).min(MAX_COUNT);
        }
        self.shrink();
        self.recent.retain(|outage| outage.zone != *zone);
        self.recent.push(Outage {
            zone: zone.clone(),
            time: now,
            joint,
        });
    }

    /// Takes back the last outages of `zones`: this process was cut off, the zones were not.
    pub(crate) fn forget(&mut self, zones: &[Name]) {
        let mut undone: Vec<(Name, Name)> = Vec::new();
        for outage in self.recent.iter().filter(|o| zones.contains(&o.zone)) {
            for other in &outage.joint {
                let key = pair(&outage.zone, other);
                if !undone.contains(&key) {
                    undone.push(key);
                }
            }
        }
        for key in undone {
            self.lower(&key);
        }
        self.recent.retain(|outage| !zones.contains(&outage.zone));
    }

    /// Ends outages that nothing can be joint with any more.
    pub(crate) fn expire(&mut self, now: Instant, settings: &Settings) {
        let old = |o: &Outage| now.saturating_duration_since(o.time) > settings.correlation_window;
        let (ended, recent) = std::mem::take(&mut self.recent).into_iter().partition(old);
        self.recent = recent;
        let ended: Vec<Outage> = ended;
        for outage in ended {
            let alone: Vec<(Name, Name)> = self
                .pairs
                .keys()
                .filter(|(a, b)| {
                    let other = if *a == outage.zone { b } else { a };
                    (*a == outage.zone || *b == outage.zone) && !outage.joint.contains(other)
                })
                .cloned()
                .collect();
            for key in alone {
                self.lower(&key);
            }
        }
    }

    /// Returns the zones that are related to `zone`.
    pub(crate) fn of<'a>(
        &'a self,
        zone: &'a Name,
        settings: &'a Settings,
    ) -> impl Iterator<Item = &'a Name> + 'a {
        self.pairs
            .iter()
            .filter(|(_, count)| **count >= settings.min_outages)
            .filter_map(move |((a, b), _)| match (a == zone, b == zone) {
                (true, _) => Some(b),
                (_, true) => Some(a),
                _ => None,
            })
    }

    fn lower(&mut self, key: &(Name, Name)) {
        let Some(count) = self.pairs.get_mut(key) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.pairs.remove(key);
        }
    }

    fn shrink(&mut self) {
        while self.pairs.len() > MAX_PAIRS {
            let least = self.pairs.iter().min_by_key(|(_, count)| **count);
            let Some(key) = least.map(|(key, _)| key.clone()) else {
                return;
            };
            self.pairs.remove(&key);
        }
    }
}

fn pair(a: &Name, b: &Name) -> (Name, Name) {
    if a < b {
        (a.clone(), b.clone())
    } else {
        (b.clone(), a.clone())
    }
}
