use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use ebonylug_core::{CrashCause, Incarnation};
use serde::{Deserialize, Serialize};

/// Maximum number of crashes in a log. Beyond it, the oldest are dropped.
const MAX_CRASHES: usize = 64;

/// Maximum number of causes per crash.
///
/// This exceeds the number of streams that one engine runs. A crash with more in flight keeps the
/// lowest ones, so that all processes keep the same.
const MAX_IN_FLIGHT: usize = 256;

/// Minimum number of crashes that have only a content in common before it is quarantined.
///
/// A single crash far more often has a cause other than a request.
const MIN_CONTENT_CRASHES: usize = 2;

/// Minimum number of crashes that have a prompt part in common before it, or the content that was in
/// flight with it each time, is quarantined.
///
/// Many requests share a part, so a sound one is in flight in two crashes by chance more often than a
/// content, and its quarantine affects more callers.
const MIN_PART_CRASHES: usize = 3;

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

/// The status of a possible cause, derived from the recorded crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CauseStatus {
    /// It was in flight in no crash, or only in crashes that are attributed to another cause or that
    /// it has been cleared of.
    Clear,
    /// It was in flight in an unexplained crash. A request with it runs alone until one run has
    /// finished.
    Suspect,
    /// It is what several crashes have in common. Requests with it are not run.
    Quarantined,
}

/// What several crashes have in common. Requests with all of these causes are not run.
///
/// It has at most one content. It has several causes if these were in flight together in each crash,
/// such as a content that was sent several times and a part of its prompt.
type Signature = BTreeSet<CrashCause>;

/// A log of target crashes, with the causes that were in flight: the content of each request, and the
/// parts of its prompt that other requests may share.
///
/// Processes exchange their logs and merge them. Merging is commutative, associative and
/// idempotent, so the status of a cause does not depend on the order and number of exchanges.
///
/// What three or more crashes have in common is quarantined, or two or more if that is a content
/// alone. A crash with a quarantined cause no longer counts against the others that were in flight.
/// A finished run clears the suspects that it contained of the crashes recorded so far, and
/// releases a prompt part, since a part that crashes targets does so in every request. Only an operator
/// releases a content.
///
/// ```
/// use ebonylug_admission::{CauseStatus, CrashId, CrashLog};
/// use ebonylug_core::{Fingerprint, Incarnation};
///
/// let crash = |epoch| CrashId { incarnation: Incarnation(1), epoch };
/// let (harmful, other) = (Fingerprint(1), Fingerprint(2));
///
/// let mut log = CrashLog::new();
/// log.record(crash(1), [harmful, other]);
/// assert_eq!(log.status(other), CauseStatus::Suspect);
///
/// log.record(crash(2), [harmful]);
/// assert_eq!(log.status(harmful), CauseStatus::Quarantined);
/// assert_eq!(log.status(other), CauseStatus::Clear);
/// ```
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "Vec<Crash>", into = "Vec<Crash>")]
pub struct CrashLog {
    crashes: BTreeMap<CrashId, Crash>,
    signatures: Vec<Signature>,
    suspects: BTreeSet<CrashCause>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Crash {
    id: CrashId,
    /// Logical time, higher than that of all crashes in the log of the recorder.
    order: u64,
    in_flight: BTreeMap<CrashCause, InFlightStatus>,
}

/// The status of a cause with regard to one crash. Merging keeps the later variant.
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

    /// Records a crash with the causes that were in flight. Later calls can add more.
    ///
    /// Only the process that observed the crash may record it. All others merge its log.
    pub fn record<C>(&mut self, id: CrashId, in_flight: impl IntoIterator<Item = C>)
    where
        C: Into<CrashCause>,
    {
        let highest = self.crashes.values().map(|c| c.order).max();
        let existing = self.crashes.get(&id).map(|c| c.order);
        let order = existing.unwrap_or(highest.unwrap_or(0) + 1);
        let in_flight = in_flight
            .into_iter()
            .map(|cause| (cause.into(), InFlightStatus::InFlight))
            .collect();
        self.merge_crash(&Crash {
            id,
            order,
            in_flight,
        });
        self.update_statuses();
    }

    /// Reports whether a cause is recorded as in flight in a crash.
    #[must_use]
    pub fn contains(&self, id: CrashId, cause: impl Into<CrashCause>) -> bool {
        let cause = cause.into();
        self.crashes
            .get(&id)
            .is_some_and(|crash| crash.in_flight.contains_key(&cause))
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

    /// Returns a log of only these crashes, which a process sends to others when they have changed.
    #[must_use]
    pub fn only(&self, ids: impl IntoIterator<Item = CrashId>) -> CrashLog {
        let crashes = ids.into_iter().filter_map(|id| self.crashes.get(&id));
        crashes.cloned().collect::<Vec<_>>().into()
    }

    /// Returns the log of the crashes in which a cause was in flight, without the other causes. Merging such
    /// logs of all causes of a log yields what its crashes have in common.
    #[must_use]
    pub fn of_cause(&self, cause: CrashCause) -> CrashLog {
        let crashes = self.crashes.values().filter_map(|crash| {
            let status = *crash.in_flight.get(&cause)?;
            Some(Crash {
                id: crash.id,
                order: crash.order,
                in_flight: BTreeMap::from([(cause, status)]),
            })
        });
        crashes.collect::<Vec<_>>().into()
    }

    /// Returns the causes that were in flight in a crash.
    pub fn causes(&self, id: CrashId) -> impl Iterator<Item = CrashCause> {
        let crash = self.crashes.get(&id).into_iter();
        crash.flat_map(|crash| crash.in_flight.keys().copied())
    }

    /// Returns the status of a cause on its own. An unknown one is [`CauseStatus::Clear`].
    #[must_use]
    pub fn status(&self, cause: impl Into<CrashCause>) -> CauseStatus {
        self.request_status(&[cause.into()])
    }

    /// Returns the status of a request with these causes. The parts of its content need not be among
    /// them.
    #[must_use]
    pub fn request_status(&self, causes: &[CrashCause]) -> CauseStatus {
        // A content determines its parts, so it is sufficient on its own.
        let matches = |signature: &Signature| match content_of(signature) {
            Some(content) => causes.contains(&content),
            None => signature.iter().all(|cause| causes.contains(cause)),
        };
        if self.signatures.iter().any(matches) {
            return CauseStatus::Quarantined;
        }
        match causes.iter().any(|cause| self.suspects.contains(cause)) {
            true => CauseStatus::Suspect,
            false => CauseStatus::Clear,
        }
    }

    /// Clears a cause after a run with it has finished. Has no effect on a quarantined content. Returns
    /// the crashes that changed.
    pub fn clear(&mut self, cause: impl Into<CrashCause>) -> Vec<CrashId> {
        let cause = cause.into();
        let is_releasable = !cause.is_content() && self.is_in_signature(cause);
        match is_releasable || self.suspects.contains(&cause) {
            true => self.raise_status(cause, InFlightStatus::Cleared),
            false => Vec::new(),
        }
    }

    /// Releases a cause from quarantine. Only for orders of an operator. Later crashes count again.
    pub fn release(&mut self, cause: impl Into<CrashCause>) {
        self.raise_status(cause.into(), InFlightStatus::Released);
    }

    /// Returns the quarantined causes in ascending order: a content, or the prompt parts that a request
    /// must have to be refused.
    pub fn quarantined(&self) -> impl Iterator<Item = CrashCause> {
        let causes = |signature: &Signature| match content_of(signature) {
            Some(content) => BTreeSet::from([content]),
            None => signature.clone(),
        };
        let all: BTreeSet<CrashCause> = self.signatures.iter().flat_map(causes).collect();
        all.into_iter()
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

    fn is_in_signature(&self, cause: CrashCause) -> bool {
        self.signatures
            .iter()
            .any(|signature| signature.contains(&cause))
    }

    /// Raises the status of a cause in all crashes, and returns those that changed.
    fn raise_status(&mut self, cause: CrashCause, to: InFlightStatus) -> Vec<CrashId> {
        let mut changed = Vec::new();
        for (id, crash) in &mut self.crashes {
            if let Some(status) = crash.in_flight.get_mut(&cause)
                && *status < to
            {
                *status = to;
                changed.push(*id);
            }
        }
        self.update_statuses();
        changed
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
        for (cause, status) in &crash.in_flight {
            let current = merged.in_flight.entry(*cause).or_insert(*status);
            *current = (*current).max(*status);
        }
        while merged.in_flight.len() > MAX_IN_FLIGHT {
            merged.in_flight.pop_last();
        }
        merged.in_flight != before
    }

    /// Recomputes the status of all causes.
    ///
    /// A crash counts as explained once it has all causes of a signature, and is then ignored for the
    /// others. What the most crashes have in common is tested first, so a harmless request that was in
    /// flight with two different harmful ones is not quarantined.
    fn update_statuses(&mut self) {
        let mut unexplained: Vec<BTreeSet<CrashCause>> =
            self.crashes.values().map(Crash::suspects).collect();
        self.signatures.clear();
        while let Some(signature) = next_signature(&unexplained) {
            unexplained.retain(|suspects| !signature.is_subset(suspects));
            self.signatures.push(signature);
        }
        self.suspects = unexplained.into_iter().flatten().collect();
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
    fn suspects(&self) -> BTreeSet<CrashCause> {
        self.in_flight
            .iter()
            .filter(|(_, status)| **status == InFlightStatus::InFlight)
            .map(|(cause, _)| *cause)
            .collect()
    }
}

/// Returns the signature of the most unexplained crashes, if any have enough in common.
fn next_signature(unexplained: &[BTreeSet<CrashCause>]) -> Option<Signature> {
    let mut pairs: Vec<(CrashCause, usize)> = unexplained
        .iter()
        .enumerate()
        .flat_map(|(crash, suspects)| suspects.iter().map(move |cause| (*cause, crash)))
        .collect();
    pairs.sort_unstable();
    pairs
        .chunk_by(|a, b| a.0 == b.0)
        .filter(|group| group.len() >= MIN_CONTENT_CRASHES)
        .filter_map(|group| {
            let signature = common_causes(group, unexplained);
            is_conclusive(&signature, group.len()).then_some((group.len(), group[0].0, signature))
        })
        .max_by_key(|(crashes, cause, _)| (*crashes, *cause))
        .map(|(_, _, signature)| signature)
}

/// Returns the causes that all crashes of a group have in common.
fn common_causes(group: &[(CrashCause, usize)], unexplained: &[BTreeSet<CrashCause>]) -> Signature {
    let sets = || group.iter().map(|(_, crash)| &unexplained[*crash]);
    let smallest = sets().min_by_key(|set| set.len());
    let in_all = |cause: &&CrashCause| sets().all(|set| set.contains(*cause));
    smallest
        .into_iter()
        .flatten()
        .filter(in_all)
        .copied()
        .collect()
}

/// Reports whether this many crashes suffice to refuse requests with a signature. Two contents cannot
/// belong to one request, so one of them is harmless.
fn is_conclusive(signature: &Signature, crashes: usize) -> bool {
    let contents = signature.iter().filter(|cause| cause.is_content()).count();
    let parts = signature.len() - contents;
    match (contents, parts) {
        (1, 0) => crashes >= MIN_CONTENT_CRASHES,
        (0 | 1, _) => crashes >= MIN_PART_CRASHES,
        _ => false,
    }
}

fn content_of(signature: &Signature) -> Option<CrashCause> {
    signature.iter().find(|cause| cause.is_content()).copied()
}
