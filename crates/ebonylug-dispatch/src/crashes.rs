use std::collections::HashMap;
use std::num::NonZeroUsize;
use std::time::{Duration, Instant};

use ebonylug_admission::{CrashId, CrashLog, Verdict};
use ebonylug_core::{Fingerprint, Incarnation, Name};
use lru::LruCache;
use smallvec::SmallVec;

use crate::hash::stable_hash;

/// Time between a request that broke off and the sign that its target is down, in either order. A target
/// that rests is tried again within two seconds, and its row goes after three silent intervals.
const LINK: Duration = Duration::from_secs(5);
/// Contents that are known to run, the newest ones. An entry serves fewer in a minute.
const MAX_FINISHED: NonZeroUsize = NonZeroUsize::new(4_096).expect("it is not zero");
/// Time after a change for which all messages hold the log.
const NEWS: Duration = Duration::from_secs(1);

/// One life of a target: its name, hashed, and its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Life(u64, u64);

#[derive(Debug, Default)]
struct Signs {
    broken: SmallVec<[(Instant, Fingerprint); 4]>,
    down: Option<Instant>,
}

/// Finds requests that crash the targets that run them.
///
/// A request that broke off at a target that was then down may have crashed it. A connection also breaks for
/// other reasons, so only both signs together count, and contents that have run to an end do not. What that
/// says of a content is decided by [`CrashLog`], over the crashes that all entries have seen.
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
    signs: HashMap<Life, Signs>,
    /// Contents that have run to an end.
    finished: LruCache<Fingerprint, ()>,
    changed: Option<Instant>,
}

impl Default for CrashDetector {
    fn default() -> Self {
        CrashDetector {
            log: CrashLog::new(),
            signs: HashMap::new(),
            finished: LruCache::new(MAX_FINISHED),
            changed: None,
        }
    }
}

impl CrashDetector {
    /// Notes that a request broke off at a target that was started at `born`.
    pub fn record_broken(&mut self, now: Instant, target: &Name, born: u64, content: Fingerprint) {
        if self.finished.contains(&content) {
            return;
        }
        let life = Life(stable_hash(target.as_str()), born);
        let signs = self.signs.entry(life).or_default();
        signs.broken.push((now, content));
        self.link(now, life);
    }

    /// Notes that a target that was started at `born` takes no connections, or has started anew. Returns
    /// whether that makes a crash of requests that broke off.
    pub fn record_down(&mut self, now: Instant, target: &Name, born: u64) -> bool {
        let life = Life(stable_hash(target.as_str()), born);
        self.signs.entry(life).or_default().down = Some(now);
        self.link(now, life)
    }

    /// Notes that a request has run to an end.
    pub fn record_completed(&mut self, content: Fingerprint) {
        self.finished.put(content, ());
        self.log.clear(content);
    }

    /// Reports whether requests with a content are not to be run.
    #[must_use]
    pub fn is_quarantined(&self, content: Fingerprint) -> bool {
        self.log.verdict(content) == Verdict::Quarantined
    }

    /// Reports whether no crash is known, so that no content is quarantined.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.log.is_empty()
    }

    /// Takes over what another entry knows. Returns whether anything was new.
    pub fn merge(&mut self, now: Instant, log: &CrashLog) -> bool {
        let changed = self.log.merge(log);
        if changed {
            self.changed = Some(now);
        }
        changed
    }

    /// Returns what the others are to be told.
    #[must_use]
    pub fn log(&self) -> &CrashLog {
        &self.log
    }

    /// Reports whether the log has changed a moment ago.
    #[must_use]
    pub fn changed_recently(&self, now: Instant) -> bool {
        let recent = |time| now.saturating_duration_since(time) < NEWS;
        self.changed.is_some_and(recent)
    }

    /// Forgets signs that were not followed by the other kind.
    pub fn expire(&mut self, now: Instant) {
        let recent = |time: Instant| now.saturating_duration_since(time) < LINK;
        self.signs.retain(|_, signs| {
            signs.broken.retain(|(time, _)| recent(*time));
            signs.down = signs.down.filter(|&time| recent(time));
            signs.down.is_some() || !signs.broken.is_empty()
        });
    }

    /// Records a crash if both signs are there.
    fn link(&mut self, now: Instant, life: Life) -> bool {
        let Some(signs) = self.signs.get_mut(&life) else {
            return false;
        };
        let recent = |time: Instant| now.saturating_duration_since(time) < LINK;
        if !signs.down.is_some_and(recent) {
            return false;
        }
        let broken = std::mem::take(&mut signs.broken);
        let broken = broken.into_iter().filter(|(time, _)| recent(*time));
        let contents: SmallVec<[Fingerprint; 4]> = broken
            .map(|(_, content)| content)
            .filter(|content| !self.finished.contains(content))
            .collect();
        if contents.is_empty() {
            return false;
        }
        let id = CrashId {
            incarnation: Incarnation(life.0),
            epoch: life.1,
        };
        self.log.record(id, contents);
        self.changed = Some(now);
        true
    }
}
