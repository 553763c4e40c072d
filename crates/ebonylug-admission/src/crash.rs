use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use ebonylug_core::{Fingerprint, Incarnation};
use serde::{Deserialize, Serialize};

/// Maximum number of crashes in a log. Beyond it, the oldest are dropped.
const MAX_CRASHES: usize = 64;

/// Maximum number of fingerprints per crash.
///
/// This exceeds the number of streams that one engine runs. A crash with more in flight keeps the
/// lowest hashes, so that all processes keep the same ones.
const MAX_IN_FLIGHT: usize = 256;

/// Minimum number of crashes with a fingerprint in flight before it is quarantined.
///
/// A single crash far more often has a cause other than a request.
const MIN_CRASHES: usize = 2;

/// Identifies a crash of a target by the sidecar that observed it and the epoch of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId {
    /// The incarnation of the sidecar that observed the crash.
    pub incarnation: Incarnation,
    /// The epoch of the target at this sidecar. It starts at 1 and increases with each start.
    pub epoch: u64,
}

impl fmt::Display for CrashId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.incarnation, self.epoch)
    }
}

/// The status of a fingerprint, derived from the recorded crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FingerprintStatus {
    /// The request was in flight in no crash, or only in crashes that are attributed to another
    /// request or that it has been cleared of.
    Clear,
    /// The request was in flight in an unexplained crash. It runs alone until one run has finished.
    Suspect,
    /// The request is the only one common to several crashes. It is not run.
    Quarantined,
}

/// A log of target crashes, with the fingerprints that were in flight.
///
/// Processes exchange their logs and merge them. Merging is commutative, associative and
/// idempotent, so the status of a fingerprint does not depend on the order and number of exchanges.
///
/// A fingerprint is quarantined when it was in flight in two or more crashes that have no other
/// fingerprint in common. A crash with a quarantined fingerprint no longer counts against the
/// others that were in flight. A finished run clears a suspect of the crashes recorded so far. Only
/// an operator releases a quarantined fingerprint.
///
/// ```
/// use ebonylug_admission::{CrashId, CrashLog, FingerprintStatus};
/// use ebonylug_core::{Fingerprint, Incarnation};
///
/// let crash = |epoch| CrashId { incarnation: Incarnation(1), epoch };
/// let (harmful, other) = (Fingerprint(1), Fingerprint(2));
///
/// let mut log = CrashLog::new();
/// log.record(crash(1), [harmful, other]);
/// assert_eq!(log.status(other), FingerprintStatus::Suspect);
///
/// log.record(crash(2), [harmful]);
/// assert_eq!(log.status(harmful), FingerprintStatus::Quarantined);
/// assert_eq!(log.status(other), FingerprintStatus::Clear);
/// ```
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "Vec<Crash>", into = "Vec<Crash>")]
pub struct CrashLog {
    crashes: BTreeMap<CrashId, Crash>,
    statuses: BTreeMap<Fingerprint, FingerprintStatus>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Crash {
    id: CrashId,
    /// Logical time, higher than that of all crashes in the log of the recorder.
    order: u64,
    in_flight: BTreeMap<Fingerprint, InFlightStatus>,
}

/// The status of a fingerprint with regard to one crash. Merging keeps the later variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum InFlightStatus {
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

    /// Records a crash with the fingerprints that were in flight. Later calls can add more.
    ///
    /// Only the sidecar that observed the crash may record it. All others merge its log.
    pub fn record(&mut self, id: CrashId, in_flight: impl IntoIterator<Item = Fingerprint>) {
        let highest = self.crashes.values().map(|c| c.order).max();
        let existing = self.crashes.get(&id).map(|c| c.order);
        let order = existing.unwrap_or(highest.unwrap_or(0) + 1);
        let in_flight = in_flight
            .into_iter()
            .map(|f| (f, InFlightStatus::InFlight))
            .collect();
        self.merge_crash(&Crash {
            id,
            order,
            in_flight,
        });
        self.update_statuses();
    }

    /// Reports whether a fingerprint is recorded as in flight in a crash.
    #[must_use]
    pub fn contains(&self, id: CrashId, fingerprint: Fingerprint) -> bool {
        self.crashes
            .get(&id)
            .is_some_and(|crash| crash.in_flight.contains_key(&fingerprint))
    }

    /// Merges another log. Returns whether it contained anything new.
    pub fn merge(&mut self, other: &CrashLog) -> bool {
        let mut changed = false;
        for crash in other.crashes.values() {
            changed |= self.merge_crash(crash);
        }
        if changed {
            self.update_statuses();
        }
        changed
    }

    /// Returns the status of a fingerprint. An unknown fingerprint is [`FingerprintStatus::Clear`].
    #[must_use]
    pub fn status(&self, fingerprint: Fingerprint) -> FingerprintStatus {
        self.statuses
            .get(&fingerprint)
            .copied()
            .unwrap_or(FingerprintStatus::Clear)
    }

    /// Clears a suspect after a finished run. Has no effect on a quarantined fingerprint.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if self.status(fingerprint) == FingerprintStatus::Suspect {
            self.raise_status(fingerprint, InFlightStatus::Cleared);
        }
    }

    /// Releases a fingerprint from quarantine. Only for orders of an operator. Later crashes count
    /// again.
    pub fn release(&mut self, fingerprint: Fingerprint) {
        self.raise_status(fingerprint, InFlightStatus::Released);
    }

    /// Returns the quarantined fingerprints in ascending order.
    pub fn quarantined(&self) -> impl Iterator<Item = Fingerprint> {
        self.statuses
            .iter()
            .filter(|(_, status)| **status == FingerprintStatus::Quarantined)
            .map(|(fingerprint, _)| *fingerprint)
    }

    /// Returns the number of recorded crashes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Reports whether no crash is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    fn raise_status(&mut self, fingerprint: Fingerprint, to: InFlightStatus) {
        for crash in self.crashes.values_mut() {
            if let Some(status) = crash.in_flight.get_mut(&fingerprint) {
                *status = (*status).max(to);
            }
        }
        self.update_statuses();
    }

    /// Merges one crash into the log and enforces the bounds. Returns whether anything was new.
    ///
    /// Excess elements are selected by value only, which keeps merging commutative.
    fn merge_crash(&mut self, crash: &Crash) -> bool {
        let full = self.crashes.len() >= MAX_CRASHES && !self.crashes.contains_key(&crash.id);
        if full {
            let oldest = self.crashes.values().map(|c| (c.order, c.id)).min();
            let oldest = oldest.expect("the log is not empty");
            if (crash.order, crash.id) < oldest {
                return false;
            }
            self.crashes.remove(&oldest.1);
        }
        let merged = self.crashes.entry(crash.id).or_insert_with(|| Crash {
            in_flight: BTreeMap::new(),
            ..*crash
        });
        let before = merged.in_flight.clone();
        for (fingerprint, status) in &crash.in_flight {
            let current = merged.in_flight.entry(*fingerprint).or_insert(*status);
            *current = (*current).max(*status);
        }
        while merged.in_flight.len() > MAX_IN_FLIGHT {
            merged.in_flight.pop_last();
        }
        merged.in_flight != before
    }

    /// Recomputes the status of all fingerprints.
    ///
    /// A crash counts as explained once one of its fingerprints is quarantined, and is then ignored
    /// for the others. The fingerprints with the most crashes are tested first, so a harmless
    /// request that was in flight with two different harmful ones is not quarantined.
    fn update_statuses(&mut self) {
        let mut unexplained: Vec<BTreeSet<Fingerprint>> =
            self.crashes.values().map(Crash::suspects).collect();
        self.statuses.clear();
        while let Some(fingerprint) = next_quarantined(&unexplained) {
            unexplained.retain(|suspects| !suspects.contains(&fingerprint));
            self.statuses
                .insert(fingerprint, FingerprintStatus::Quarantined);
        }
        for suspect in unexplained.into_iter().flatten() {
            self.statuses.insert(suspect, FingerprintStatus::Suspect);
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
            log.merge_crash(crash);
        }
        log.update_statuses();
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
            .filter(|(_, status)| **status == InFlightStatus::InFlight)
            .map(|(fingerprint, _)| *fingerprint)
            .collect()
    }
}

/// Returns the fingerprint to quarantine next, if any: among those that are the only common one of
/// [`MIN_CRASHES`] or more unexplained crashes, the one with the most crashes.
fn next_quarantined(unexplained: &[BTreeSet<Fingerprint>]) -> Option<Fingerprint> {
    let mut pairs: Vec<(Fingerprint, usize)> = unexplained
        .iter()
        .enumerate()
        .flat_map(|(crash, suspects)| suspects.iter().map(move |f| (*f, crash)))
        .collect();
    pairs.sort_unstable();
    pairs
        .chunk_by(|a, b| a.0 == b.0)
        .filter(|group| group.len() >= MIN_CRASHES && is_only_common(group, unexplained))
        .max_by_key(|group| (group.len(), group[0].0))
        .map(|group| group[0].0)
}

/// Reports whether the crashes of one fingerprint have no other fingerprint in common.
fn is_only_common(group: &[(Fingerprint, usize)], unexplained: &[BTreeSet<Fingerprint>]) -> bool {
    let fingerprint = group[0].0;
    let sets = || group.iter().map(|(_, crash)| &unexplained[*crash]);
    let smallest = sets()
        .min_by_key(|set| set.len())
        .expect("the group is not empty");
    smallest
        .iter()
        .filter(|other| **other != fingerprint)
        .all(|other| sets().any(|set| !set.contains(other)))
}
