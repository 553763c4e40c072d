use std::collections::HashMap;
use std::num::NonZeroUsize;
use std::time::{Duration, Instant};

use ebonylug_admission::{CrashId, CrashLog, FingerprintStatus};
use ebonylug_core::{Fingerprint, Incarnation, Name};
use lru::LruCache;
use smallvec::SmallVec;

use crate::hash::stable_hash;

/// Maximum time between a broken request and the signal that its target is down, in either order. An
/// ejected target is probed again within two seconds, and its row is removed after three missed
/// intervals.
const CORRELATION_WINDOW: Duration = Duration::from_secs(5);
/// Number of recently completed requests whose content is remembered. An entry serves fewer in a minute.
const MAX_COMPLETED: NonZeroUsize = NonZeroUsize::new(4_096).expect("the capacity is not zero");
/// Time after a change for which all gossip messages include the log.
const BROADCAST_PERIOD: Duration = Duration::from_secs(1);

/// One run of a target: the hash of its name, and its start time in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct TargetRun(u64, u64);

/// Recent signals of a possible crash of one run of a target.
#[derive(Debug, Default)]
struct RunSignals {
    broken: SmallVec<[(Instant, Fingerprint); 4]>,
    down: Option<Instant>,
}

/// Detects requests that crash the targets that run them. Requests are identified by the fingerprint of
/// their content, so that retries of a request count together.
///
/// A request may have crashed its target if its connection broke and the target was down at about the
/// same time. Connections also break for other reasons, so both signals are required, and contents
/// that have completed before are excluded. [`CrashLog`] decides which contents to quarantine, based on
/// the crashes that all entries have detected.
///
/// ```
/// use std::time::Instant;
/// use ebonylug_core::{Fingerprint, Name};
/// use ebonylug_dispatch::CrashDetector;
///
/// let now = Instant::now();
/// let mut crashes = CrashDetector::default();
/// let bad = Fingerprint::of(b"bad");
/// for target in ["engine-1", "engine-2"].map(Name::new) {
///     crashes.record_broken(now, &target, 1, bad);
///     assert!(!crashes.is_quarantined(bad));
///     crashes.record_down(now, &target, 1);
/// }
/// assert!(crashes.is_quarantined(bad));
/// ```
#[derive(Debug)]
pub struct CrashDetector {
    log: CrashLog,
    signals: HashMap<TargetRun, RunSignals>,
    /// Fingerprints of requests that have completed.
    completed: LruCache<Fingerprint, ()>,
    last_change: Option<Instant>,
}

impl Default for CrashDetector {
    fn default() -> Self {
        CrashDetector {
            log: CrashLog::new(),
            signals: HashMap::new(),
            completed: LruCache::new(MAX_COMPLETED),
            last_change: None,
        }
    }
}

impl CrashDetector {
    /// Records that the connection of a request broke at a target that started at `started_ms`.
    pub fn record_broken(
        &mut self,
        now: Instant,
        target: &Name,
        started_ms: u64,
        content: Fingerprint,
    ) {
        if self.completed.contains(&content) {
            return;
        }
        let run = TargetRun(stable_hash(target.as_str()), started_ms);
        let signals = self.signals.entry(run).or_default();
        signals.broken.push((now, content));
        self.correlate(now, run);
    }

    /// Records that a target that started at `started_ms` refuses connections or has restarted. Returns
    /// whether this turns broken requests into a crash.
    pub fn record_down(&mut self, now: Instant, target: &Name, started_ms: u64) -> bool {
        let run = TargetRun(stable_hash(target.as_str()), started_ms);
        self.signals.entry(run).or_default().down = Some(now);
        self.correlate(now, run)
    }

    /// Records that a request has completed, which clears its content of suspicion.
    pub fn record_completed(&mut self, content: Fingerprint) {
        self.completed.put(content, ());
        self.log.clear(content);
    }

    /// Reports whether requests with this content must not run.
    #[must_use]
    pub fn is_quarantined(&self, content: Fingerprint) -> bool {
        self.log.status(content) == FingerprintStatus::Quarantined
    }

    /// Reports whether no crash is known, in which case no content is quarantined.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.log.is_empty()
    }

    /// Merges the log of another entry. Returns whether it contained anything new.
    pub fn merge(&mut self, now: Instant, log: &CrashLog) -> bool {
        let changed = self.log.merge(log);
        if changed {
            self.last_change = Some(now);
        }
        changed
    }

    /// Returns the log of known crashes, which is sent to peers.
    #[must_use]
    pub fn log(&self) -> &CrashLog {
        &self.log
    }

    /// Reports whether the log changed within the last second.
    #[must_use]
    pub fn changed_recently(&self, now: Instant) -> bool {
        let recent = |time| now.saturating_duration_since(time) < BROADCAST_PERIOD;
        self.last_change.is_some_and(recent)
    }

    /// Removes signals that were not followed by the other kind in time.
    pub fn expire(&mut self, now: Instant) {
        let recent = |time: Instant| now.saturating_duration_since(time) < CORRELATION_WINDOW;
        self.signals.retain(|_, signals| {
            signals.broken.retain(|(time, _)| recent(*time));
            signals.down = signals.down.filter(|&time| recent(time));
            signals.down.is_some() || !signals.broken.is_empty()
        });
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
        let contents: SmallVec<[Fingerprint; 4]> = broken
            .map(|(_, content)| content)
            .filter(|content| !self.completed.contains(content))
            .collect();
        if contents.is_empty() {
            return false;
        }
        let id = CrashId {
            incarnation: Incarnation(run.0),
            epoch: run.1,
        };
        self.log.record(id, contents);
        self.last_change = Some(now);
        true
    }
}
