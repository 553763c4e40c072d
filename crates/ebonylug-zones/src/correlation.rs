use std::collections::BTreeMap;
use std::time::Instant;

use ebonylug_core::Name;

use crate::Settings;

/// Maximum number of pairs of zones. Above it, the pair with the lowest count is evicted.
const MAX_PAIRS: usize = 64;
/// Upper bound of the count of a pair, so that a few separate outages end the correlation.
const MAX_COUNT: u32 = 4;

/// Detects pairs of zones with correlated outages.
///
/// A joint outage increments the count of a pair, and an outage of only one of the two zones
/// decrements it. The result is only a hint: it reduces batch work and never blocks work.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutageCorrelation {
    /// Counts by pair of zones, in the order of their names.
    pairs: BTreeMap<(Name, Name), u32>,
    /// Outages within the correlation window.
    recent: Vec<Outage>,
}

#[derive(Clone, Debug)]
struct Outage {
    zone: Name,
    time: Instant,
    /// Zones with an outage in the same window.
    joint: Vec<Name>,
}

impl OutageCorrelation {
    /// Records that `zone` became unreachable, and counts the pairs with recent outages.
    pub(crate) fn record_outage(&mut self, now: Instant, zone: &Name, settings: &Settings) {
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
        self.evict_excess();
        self.recent.retain(|outage| outage.zone != *zone);
        self.recent.push(Outage {
            zone: zone.clone(),
            time: now,
            joint,
        });
    }

    /// Reverts the recent outages of `zones`, which were caused by the isolation of this process.
    pub(crate) fn revert_outages(&mut self, zones: &[Name]) {
        let mut reverted: Vec<(Name, Name)> = Vec::new();
        for outage in self.recent.iter().filter(|o| zones.contains(&o.zone)) {
            for other in &outage.joint {
                let key = pair(&outage.zone, other);
                if !reverted.contains(&key) {
                    reverted.push(key);
                }
            }
        }
        for key in reverted {
            self.decrement(&key);
        }
        self.recent.retain(|outage| !zones.contains(&outage.zone));
    }

    /// Removes outages that have left the correlation window, and decrements the pairs in which
    /// they were separate.
    pub(crate) fn expire(&mut self, now: Instant, settings: &Settings) {
        let expired =
            |o: &Outage| now.saturating_duration_since(o.time) > settings.correlation_window;
        let (ended, recent) = std::mem::take(&mut self.recent)
            .into_iter()
            .partition(expired);
        self.recent = recent;
        let ended: Vec<Outage> = ended;
        for outage in ended {
            let separate: Vec<(Name, Name)> = self
                .pairs
                .keys()
                .filter(|(a, b)| {
                    let other = if *a == outage.zone { b } else { a };
                    (*a == outage.zone || *b == outage.zone) && !outage.joint.contains(other)
                })
                .cloned()
                .collect();
            for key in separate {
                self.decrement(&key);
            }
        }
    }

    /// Returns the zones whose outages are correlated with those of `zone`.
    pub(crate) fn correlated_with<'a>(
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

    fn decrement(&mut self, key: &(Name, Name)) {
        let Some(count) = self.pairs.get_mut(key) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.pairs.remove(key);
        }
    }

    fn evict_excess(&mut self) {
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
