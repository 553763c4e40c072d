use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use ebonylug_core::{Fingerprint, Incarnation};
use serde::{Deserialize, Serialize};

/// Crashes that a log remembers. With more, the oldest are dropped.
const MAX_CRASHES: usize = 64;

/// Fingerprints that are remembered for each crash.
///
/// This is above the number of streams that one engine runs; a crash with more in flight keeps
/// the lowest hashes, so that all processes keep the same ones.
const MAX_IN_FLIGHT: usize = 256;

/// Crashes that a fingerprint must be in flight in before it is quarantined.
///
/// A single crash has other causes far more often than a request.
const MIN_CRASHES: usize = 2;

/// One crash of a target: a life of the sidecar, and the life of the target within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId {
    /// The sidecar that saw the crash.
    pub incarnation: Incarnation,
    /// The number of the target's life at this sidecar, from 1.
    pub epoch: u64,
}

impl fmt::Display for CrashId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.incarnation, self.epoch)
    }
}

/// What the crashes say about a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No crash is left that this request may have caused.
    Clear,
    /// The request was in flight in a crash; it runs alone until a run has finished.
    Suspect,
    /// The request is the only one in common to several crashes; it is not run.
    Quarantined,
}

/// The crashes of targets, with the fingerprints that were in flight.
///
/// Processes exchange their logs and merge them. Merging is commutative, associative and
/// idempotent, so all processes reach the same verdicts whatever the order and number of
/// exchanges.
///
/// A fingerprint is quarantined when it is in flight in two or more crashes that have nothing
/// else in common. A crash that a quarantined fingerprint explains is not held against the others
/// that were in flight. A finished run clears a suspect of the crashes known so far; only an
/// operator releases a quarantined fingerprint.
///
/// ```
/// use ebonylug_admission::{CrashId, CrashLog, Verdict};
/// use ebonylug_core::{Fingerprint, Incarnation};
///
/// let crash = |epoch| CrashId { incarnation: Incarnation(1), epoch };
/// let (bad, neighbour) = (Fingerprint(1), Fingerprint(2));
///
/// let mut log = CrashLog::new();
/// log.record(crash(1), [bad, neighbour]);
/// assert_eq!(log.verdict(neighbour), Verdict::Suspect);
///
/// log.record(crash(2), [bad]);
/// assert_eq!(log.verdict(bad), Verdict::Quarantined);
/// assert_eq!(log.verdict(neighbour), Verdict::Clear);
/// ```
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "Vec<Crash>", into = "Vec<Crash>")]
pub struct CrashLog {
    crashes: BTreeMap<CrashId, Crash>,
    verdicts: BTreeMap<Fingerprint, Verdict>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Crash {
    id: CrashId,
    /// Logical time: higher than that of each crash that the recorder knew.
    order: u64,
    in_flight: BTreeMap<Fingerprint, Standing>,
}

/// How a fingerprint stands with regard to one crash. Merging takes the later variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Standing {
    InFlight,
    Cleared,
    Released,
}

impl CrashLog {
    /// Creates an empty log.
    #[must_use]
    pub fn new() -> Self {
        CrashLog::default()
    }

    /// Records a crash with the fingerprints that were in flight. More may be added later.
    ///
    /// Only the sidecar that saw the crash may record it; all others merge its log.
    pub fn record(&mut self, id: CrashId, in_flight: impl IntoIterator<Item = Fingerprint>) {
        let highest = self.crashes.values().map(|c| c.order).max();
        let known = self.crashes.get(&id).map(|c| c.order);
        let order = known.unwrap_or(highest.unwrap_or(0) + 1);
        let in_flight = in_flight
            .into_iter()
            .map(|f| (f, Standing::InFlight))
            .collect();
        self.join(&Crash {
            id,
            order,
            in_flight,
        });
        self.settle();
    }

    /// Reports whether a fingerprint is recorded as in flight in a crash.
    #[must_use]
    pub fn contains(&self, id: CrashId, fingerprint: Fingerprint) -> bool {
        self.crashes
            .get(&id)
            .is_some_and(|crash| crash.in_flight.contains_key(&fingerprint))
    }

    /// Takes over what another log knows; returns whether anything was new.
    pub fn merge(&mut self, other: &CrashLog) -> bool {
        let mut changed = false;
        for crash in other.crashes.values() {
            changed |= self.join(crash);
        }
        if changed {
            self.settle();
        }
        changed
    }

    /// Returns what the known crashes say about a fingerprint.
    #[must_use]
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        self.verdicts
            .get(&fingerprint)
            .copied()
            .unwrap_or(Verdict::Clear)
    }

    /// Clears a suspect after a finished run. Has no effect on a quarantined fingerprint.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if self.verdict(fingerprint) == Verdict::Suspect {
            self.raise(fingerprint, Standing::Cleared);
        }
    }

    /// Releases a fingerprint by order of an operator. Later crashes count again.
    pub fn release(&mut self, fingerprint: Fingerprint) {
        self.raise(fingerprint, Standing::Released);
    }

    /// Returns the quarantined fingerprints.
    pub fn quarantined(&self) -> impl Iterator<Item = Fingerprint> {
        self.verdicts
            .iter()
            .filter(|(_, verdict)| **verdict == Verdict::Quarantined)
            .map(|(fingerprint, _)| *fingerprint)
    }

    /// Returns the number of crashes that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Reports whether no crash is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    fn raise(&mut self, fingerprint: Fingerprint, to: Standing) {
        for crash in self.crashes.values_mut() {
            if let Some(standing) = crash.in_flight.get_mut(&fingerprint) {
                *standing = (*standing).max(to);
            }
        }
        self.settle();
    }

    /// Joins one crash into the log and restores the bounds; returns whether anything was new.
    ///
    /// What exceeds a bound is chosen by value only, which keeps merging commutative.
    fn join(&mut self, crash: &Crash) -> bool {
        let full = self.crashes.len() >= MAX_CRASHES && !self.crashes.contains_key(&crash.id);
        if full {
            let oldest = self.crashes.values().map(|c| (c.order, c.id)).min();
            let oldest = oldest.expect("the log is not empty");
            if (crash.order, crash.id) < oldest {
                return false;
            }
            self.crashes.remove(&oldest.1);
        }
        let known = self.crashes.entry(crash.id).or_insert_with(|| Crash {
            in_flight: BTreeMap::new(),
            ..*crash
        });
        let before = known.in_flight.clone();
        for (fingerprint, standing) in &crash.in_flight {
            let known = known.in_flight.entry(*fingerprint).or_insert(*standing);
            *known = (*known).max(*standing);
        }
        while known.in_flight.len() > MAX_IN_FLIGHT {
            known.in_flight.pop_last();
        }
        known.in_flight != before
    }

    /// Computes the verdicts anew.
    ///
    /// The fingerprint with the most crashes is judged first, and its crashes are then explained:
    /// an innocent request that was in flight beside two different bad ones is not blamed.
    fn settle(&mut self) {
        let mut open: Vec<BTreeSet<Fingerprint>> =
            self.crashes.values().map(Crash::suspects).collect();
        self.verdicts.clear();
        while let Some(culprit) = culprit(&open) {
            open.retain(|suspects| !suspects.contains(&culprit));
            self.verdicts.insert(culprit, Verdict::Quarantined);
        }
        for suspect in open.into_iter().flatten() {
            self.verdicts.insert(suspect, Verdict::Suspect);
        }
    }
}

impl PartialEq for CrashLog {
    fn eq(&self, other: &Self) -> bool {
        self.crashes == other.crashes
    }
}

impl Eq for CrashLog {}

impl From<Vec<Crash>> for CrashLog {
    fn from(crashes: Vec<Crash>) -> Self {
        let mut log = CrashLog::new();
        for crash in &crashes {
            log.join(crash);
        }
        log.settle();
        log
    }
}

impl From<CrashLog> for Vec<Crash> {
    fn from(log: CrashLog) -> Self {
        log.crashes.into_values().collect()
    }
}

impl Crash {
    fn suspects(&self) -> BTreeSet<Fingerprint> {
        self.in_flight
            .iter()
            .filter(|(_, standing)| **standing == Standing::InFlight)
            .map(|(fingerprint, _)| *fingerprint)
            .collect()
    }
}

/// Returns the fingerprint that is the only one in common to the most crashes, if there is one.
fn culprit(open: &[BTreeSet<Fingerprint>]) -> Option<Fingerprint> {
    let mut pairs: Vec<(Fingerprint, usize)> = open
        .iter()
        .enumerate()
        .flat_map(|(crash, suspects)| suspects.iter().map(move |f| (*f, crash)))
        .collect();
    pairs.sort_unstable();
    pairs
        .chunk_by(|a, b| a.0 == b.0)
        .filter(|group| group.len() >= MIN_CRASHES && is_only_common(group, open))
        .max_by_key(|group| (group.len(), group[0].0))
        .map(|group| group[0].0)
}

/// Reports whether the crashes of one fingerprint have no other in common.
fn is_only_common(group: &[(Fingerprint, usize)], open: &[BTreeSet<Fingerprint>]) -> bool {
    let fingerprint = group[0].0;
    let sets = || group.iter().map(|(_, crash)| &open[*crash]);
    let smallest = sets()
        .min_by_key(|set| set.len())
        .expect("the group is not empty");
    smallest
        .iter()
        .filter(|other| **other != fingerprint)
        .all(|other| sets().any(|set| !set.contains(other)))
}
