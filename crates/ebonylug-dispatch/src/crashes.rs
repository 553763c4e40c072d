use std::collections::HashMap;
use std::num::NonZeroUsize;
use std::time::{Duration, Instant};

use ebonylug_admission::{CauseStatus, CrashId, CrashLog};
use ebonylug_core::{CrashCause, CrashCauses, Incarnation, Name};
use lru::LruCache;
use smallvec::SmallVec;

use crate::hash::stable_hash;

/// Maximum time between a broken request and the signal that its target is down, in either order. An
/// ejected target is probed again within two seconds, and its row is removed after three missed
/// intervals.
const CORRELATION_WINDOW: Duration = Duration::from_secs(5);
/// Number of recently completed contents and prompt parts that are remembered. An entry completes fewer
/// in [`COMPLETION_VALIDITY`].
const MAX_COMPLETED: NonZeroUsize = NonZeroUsize::new(4_096).expect("the capacity is not zero");
/// Time for which a completed run proves that its content and prompt parts are harmless. What was harmless
/// may become harmful with a new version of the targets.
const COMPLETION_VALIDITY: Duration = Duration::from_secs(60);
/// Minimum time after a change for which gossip messages include it.
const MIN_BROADCAST: Duration = Duration::from_secs(1);
/// Time for which changes are kept for gossip messages.
const CHANGE_RETENTION: Duration = Duration::from_secs(10);

/// One run of a target: the hash of its name, and its start time in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct TargetRun(u64, u64);

/// Recent signals of a possible crash of one run of a target.
#[derive(Debug, Default)]
struct RunSignals {
    broken: SmallVec<[(Instant, CrashCauses); 4]>,
    down: Option<Instant>,
}

/// Detects what crashes the targets that run it: a request that its callers retry, or a part of the
/// prompt that different requests share.
///
/// A request may have crashed its target if its connection broke and the target was down at about the
/// same time. Connections also break for other reasons, so both signals are required, and causes
/// that have completed recently are excluded. [`CrashLog`] decides what to quarantine, based on
/// the crashes that all entries have detected.
///
/// ```
/// use std::time::Instant;
/// use ebonylug_core::{CrashCause, Fingerprint, Name};
/// use ebonylug_dispatch::CrashDetector;
///
/// let now = Instant::now();
/// let mut crashes = CrashDetector::default();
/// let part = CrashCause::PromptPart(Fingerprint::of(b"bad"));
/// for (target, content) in [("engine-1", b"x"), ("engine-2", b"y"), ("engine-3", b"z")] {
///     let causes = [Fingerprint::of(content).into(), part];
///     crashes.record_broken(now, &Name::new(target), 1, &causes);
///     assert!(!crashes.is_quarantined(&[part]));
///     crashes.record_down(now, &Name::new(target), 1);
/// }
/// assert!(crashes.is_quarantined(&[part]));
/// ```
#[derive(Debug)]
pub struct CrashDetector {
    log: CrashLog,
    signals: HashMap<TargetRun, RunSignals>,
    /// What has completed, and when last.
    completed: LruCache<CrashCause, Instant>,
    /// The crashes that this entry has changed within [`CHANGE_RETENTION`].
    changes: Vec<(Instant, CrashId)>,
}

impl Default for CrashDetector {
    fn default() -> Self {
        CrashDetector {
            log: CrashLog::new(),
            signals: HashMap::new(),
            completed: LruCache::new(MAX_COMPLETED),
            changes: Vec::new(),
        }
    }
}

impl CrashDetector {
    /// Records that the connection of a request broke at a target that started at `started_ms`. Returns
    /// whether the target is known to be down, so that this is a crash.
    pub fn record_broken(
        &mut self,
        now: Instant,
        target: &Name,
        started_ms: u64,
        causes: &[CrashCause],
    ) -> bool {
        let suspects = self.suspects(now, causes);
        if suspects.is_empty() {
            return false;
        }
        let run = TargetRun(stable_hash(target.as_str()), started_ms);
        let signals = self.signals.entry(run).or_default();
        signals.broken.push((now, suspects));
        self.correlate(now, run)
    }

    /// Reports whether broken requests at a target wait for the signal that it is down.
    #[must_use]
    pub fn awaits_down(&self, target: &Name, started_ms: u64) -> bool {
        let run = TargetRun(stable_hash(target.as_str()), started_ms);
        let signals = self.signals.get(&run);
        signals.is_some_and(|signals| !signals.broken.is_empty())
    }

    /// Records that a target that started at `started_ms` refuses connections or has restarted. Returns
    /// whether this turns broken requests into a crash.
    pub fn record_down(&mut self, now: Instant, target: &Name, started_ms: u64) -> bool {
        let run = TargetRun(stable_hash(target.as_str()), started_ms);
        self.signals.entry(run).or_default().down = Some(now);
        self.correlate(now, run)
    }

    /// Records that a request has completed, which clears its causes of suspicion.
    pub fn record_completed(&mut self, now: Instant, causes: &[CrashCause]) {
        for &cause in causes {
            self.completed.put(cause, now);
            let changed = self.log.clear(cause);
            self.changes.extend(changed.into_iter().map(|id| (now, id)));
        }
    }

    /// Reports whether requests with these causes must not run.
    #[must_use]
    pub fn is_quarantined(&self, causes: &[CrashCause]) -> bool {
        self.log.request_status(causes) == CauseStatus::Quarantined
    }

    /// Reports whether requests with these causes were in flight in a crash that nothing else explains.
    #[must_use]
    pub fn is_suspect(&self, causes: &[CrashCause]) -> bool {
        self.log.request_status(causes) != CauseStatus::Clear
    }

    /// Reports whether no crash is known, in which case nothing is quarantined.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.log.is_empty()
    }

    /// Merges the log of another entry. Returns whether it contained anything new.
    pub fn merge(&mut self, log: &CrashLog) -> bool {
        self.log.merge(log)
    }

    /// Returns the log of known crashes, which is sent to peers.
    #[must_use]
    pub fn log(&self) -> &CrashLog {
        &self.log
    }

    /// Returns the crashes that this entry has changed within `span`, or within a second if that is longer.
    /// `span` must be long enough for each other entry to get a message.
    #[must_use]
    pub fn recent_changes(&self, now: Instant, span: Duration) -> CrashLog {
        let span = span.max(MIN_BROADCAST);
        let recent = |time: Instant| now.saturating_duration_since(time) < span;
        let changes = self.changes.iter().filter(|(time, _)| recent(*time));
        self.log.only(changes.map(|(_, id)| *id))
    }

    /// Removes signals that were not followed by the other kind in time.
    pub fn expire(&mut self, now: Instant) {
        let recent = |time: Instant| now.saturating_duration_since(time) < CORRELATION_WINDOW;
        self.signals.retain(|_, signals| {
            signals.broken.retain(|(time, _)| recent(*time));
            signals.down = signals.down.filter(|&time| recent(time));
            signals.down.is_some() || !signals.broken.is_empty()
        });
        self.changes
            .retain(|(time, _)| now.saturating_duration_since(*time) < CHANGE_RETENTION);
    }

    /// Returns the causes that have not completed recently.
    fn suspects(&self, now: Instant, causes: &[CrashCause]) -> CrashCauses {
        let completed = |cause: &CrashCause| {
            let time = self.completed.peek(cause);
            time.is_some_and(|&time| now.saturating_duration_since(time) < COMPLETION_VALIDITY)
        };
        let suspects = causes.iter().filter(|cause| !completed(cause));
        suspects.copied().collect()
    }

    /// Records a crash if both signals are present.
    fn correlate(&mut self, now: Instant, run: TargetRun) -> bool {
        let Some(signals) = self.signals.get_mut(&run) else {
            return false;
        };
        let recent = |time: Instant| now.saturating_duration_since(time) < CORRELATION_WINDOW;
        if !signals.down.is_some_and(recent) {
            return false;
        }
        let broken = std::mem::take(&mut signals.broken);
        let broken = broken.into_iter().filter(|(time, _)| recent(*time));
        let causes: CrashCauses = broken
            .flat_map(|(_, causes)| self.suspects(now, &causes))
            .collect();
        if causes.is_empty() {
            return false;
        }
        let id = CrashId {
            incarnation: Incarnation(run.0),
            epoch: run.1,
        };
        self.log.record(id, causes);
        self.changes.push((now, id));
        true
    }
}
