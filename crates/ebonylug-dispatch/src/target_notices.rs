//! What targets have asked of this entry in their responses: to send nothing more, or nothing for a time.
//!
//! A notice applies to one start of a target. It ends with the next start, or with its time, and not with the
//! row of the target: the platform may remove the row and list it again, or still list the target as ready
//! after it has said that it leaves. Notices of other entries are not taken over. A target asks each entry
//! itself, and a wrong or late message must not take targets from all entries.

use std::num::NonZeroUsize;
use std::time::Instant;

use ebonylug_core::Name;
use lru::LruCache;

/// The maximum number of starts whose notices are kept. With 600 targets, it covers several restarts of each.
const MAX_STARTS: NonZeroUsize = NonZeroUsize::new(4_096).expect("the capacity is not zero");

/// The notices of one start of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Notices {
    /// Whether the target is about to stop.
    pub(crate) leaving: bool,
    /// The time until which the target wants no requests.
    pub(crate) paused_until: Option<Instant>,
}

/// The notices of targets, by name and start time in milliseconds since the Unix epoch. A late answer of one start
/// does not end those of another.
#[derive(Debug)]
pub(crate) struct TargetNotices(LruCache<(Name, u64), Notices>);

impl Default for TargetNotices {
    fn default() -> Self {
        TargetNotices(LruCache::new(MAX_STARTS))
    }
}

impl TargetNotices {
    /// Returns the notices of this start of a target.
    pub(crate) fn of(&self, name: &Name, started_ms: u64) -> Notices {
        let notices = self.0.peek(&(name.clone(), started_ms));
        notices.copied().unwrap_or_default()
    }

    /// Changes the notices of this start of a target, and returns them.
    pub(crate) fn update(
        &mut self,
        name: &Name,
        started_ms: u64,
        change: impl FnOnce(&mut Notices),
    ) -> Notices {
        let mut notices = self.of(name, started_ms);
        change(&mut notices);
        self.0.put((name.clone(), started_ms), notices);
        notices
    }
}
