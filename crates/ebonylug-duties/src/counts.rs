use std::collections::{BTreeMap, HashMap};

use ebonylug_core::Name;

use crate::note::{Told, WindowCounts};

/// What one start of one entry has counted.
#[derive(Clone, Debug, Default)]
struct Tally {
    /// Counts of windows before this one are final.
    through: u64,
    /// The window in which the entry was last heard.
    heard: u64,
    /// Requests begun, by window and short hash of the organisation's name.
    windows: BTreeMap<u64, HashMap<u32, u32>>,
}

impl Tally {
    /// Reports whether the entry may have counts of a window that it has not told: it was heard in the
    /// window or in the one before.
    fn is_missing(&self, window: u64) -> bool {
        self.through <= window && self.heard.saturating_add(1) >= window
    }
}

/// The requests that engines began, by window and organisation, as each entry told them. Counts of an
/// entry survive its death.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    tallies: HashMap<(Name, u64), Tally>,
}

impl Counts {
    /// Counts a request that began in a window at an entry.
    pub fn add(&mut self, entry: &Name, boot: u64, window: u64, organisation: u32) {
        let tally = self.tallies.entry((entry.clone(), boot)).or_default();
        let counts = tally.windows.entry(window).or_default();
        *counts.entry(organisation).or_default() += 1;
    }

    /// Records that an entry has final counts of all windows before `through`.
    pub fn finish(&mut self, entry: &Name, boot: u64, through: u64) {
        let tally = self.tallies.entry((entry.clone(), boot)).or_default();
        tally.through = tally.through.max(through);
        if through < u64::MAX {
            tally.heard = tally.heard.max(through);
        }
    }

    /// Merges the cumulative counts that another entry told in the window `current`. An older message
    /// that arrives late changes nothing.
    pub fn merge(&mut self, entry: &Name, boot: u64, current: u64, told: &Told) {
        // A restarted entry adds nothing to the counts of its earlier starts.
        let new = !self.tallies.contains_key(&(entry.clone(), boot));
        if new {
            let earlier = self.tallies.iter_mut();
            for (_, tally) in earlier.filter(|((name, _), _)| name == entry) {
                tally.through = u64::MAX;
            }
        }
        let tally = self.tallies.entry((entry.clone(), boot)).or_default();
        tally.through = tally.through.max(told.through);
        tally.heard = tally.heard.max(current);
        for window in &told.windows {
            let counts = tally.windows.entry(window.window).or_default();
            for &(organisation, count) in &window.counts {
                let known = counts.entry(organisation).or_default();
                *known = (*known).max(count);
            }
        }
    }

    /// Returns the counts that one entry tells: of the windows after `reported`.
    #[must_use]
    pub fn told(&self, entry: &Name, boot: u64, reported: u64) -> Told {
        let Some(tally) = self.tallies.get(&(entry.clone(), boot)) else {
            return Told::default();
        };
        let windows = tally.windows.range(reported.saturating_add(1)..);
        Told {
            through: tally.through,
            windows: windows
                .map(|(&window, counts)| WindowCounts {
                    window,
                    counts: counts.iter().map(|(&o, &count)| (o, count)).collect(),
                })
                .collect(),
            reports: Vec::new(),
        }
    }

    /// Returns the sum of a window over all entries, by short hash of the organisation's name.
    #[must_use]
    pub fn sum(&self, window: u64) -> BTreeMap<u32, u64> {
        let mut sum = BTreeMap::new();
        let tallies = self.tallies.values();
        for counts in tallies.filter_map(|tally| tally.windows.get(&window)) {
            for (&organisation, &count) in counts {
                *sum.entry(organisation).or_default() += u64::from(count);
            }
        }
        sum
    }

    /// Returns the first window with a count.
    #[must_use]
    pub fn first(&self) -> Option<u64> {
        let first = |tally: &Tally| tally.windows.keys().next().copied();
        self.tallies.values().filter_map(first).min()
    }

    /// Reports whether an entry has told its final counts of a window.
    #[must_use]
    pub fn is_told(&self, entry: &Name, boot: u64, window: u64) -> bool {
        let tally = self.tallies.get(&(entry.clone(), boot));
        tally.is_some_and(|tally| tally.through > window)
    }

    /// Returns the part of all requests that entries without final counts of a window are likely to have.
    /// It is 0 if all entries that were heard in the window, or in the one before, have told theirs.
    ///
    /// The load of an entry is taken from its latest window with requests.
    #[must_use]
    pub fn untold(&self, window: u64) -> f64 {
        let (mut all, mut untold) = (0.0, 0.0);
        for tally in self.tallies.values() {
            let counts = tally.windows.range(..=window).next_back();
            let load: u32 = counts.map_or(0, |(_, counts)| counts.values().sum());
            // An entry without requests still has some weight, because it may have begun to get some.
            let load = f64::from(load.max(1));
            let missing = tally.is_missing(window);
            if missing {
                untold += load;
            }
            if missing || tally.windows.contains_key(&window) {
                all += load;
            }
        }
        if untold > 0.0 { untold / all } else { 0.0 }
    }

    /// Returns the entries that may have counts of a window that they have not told, with their boots.
    #[must_use]
    pub fn silent(&self, window: u64) -> Vec<(Name, u64)> {
        let silent = |tally: &Tally| tally.is_missing(window);
        let tallies = self.tallies.iter();
        tallies
            .filter(|(_, tally)| silent(tally))
            .map(|(key, _)| key.clone())
            .collect()
    }

    /// Forgets windows before `oldest`, and entries that were last heard before it.
    pub fn expire(&mut self, oldest: u64) {
        for tally in self.tallies.values_mut() {
            tally.windows = tally.windows.split_off(&oldest);
        }
        self.tallies
            .retain(|_, tally| tally.heard >= oldest || !tally.windows.is_empty());
    }
}
