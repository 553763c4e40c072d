//! What targets have said that are not listed. The platform may remove the row of a target and list it again, and answers
//! may arrive in between.

use std::num::NonZeroUsize;

use ebonylug_core::Name;
use lru::LruCache;

use crate::cold::ColdState;
use crate::named_limit::NamedLimit;
use crate::target::{Target, TargetKey};

/// The maximum number of targets that are remembered. With 600 targets, it covers several rows of each.
const MAX_REMOVED: NonZeroUsize = NonZeroUsize::new(4_096).expect("the capacity is not zero");

/// What is known of a target whose row was removed.
#[derive(Debug)]
pub(crate) struct RemovedTarget {
    pub(crate) hash: u64,
    pub(crate) cold: ColdState,
    pub(crate) limit: NamedLimit,
}

/// The targets whose rows were removed.
#[derive(Debug)]
pub(crate) struct RemovedTargets {
    targets: LruCache<Name, RemovedTarget>,
    /// The names and start times of targets by the keys that they had.
    starts: LruCache<TargetKey, (Name, u64)>,
}

impl Default for RemovedTargets {
    fn default() -> Self {
        RemovedTargets {
            targets: LruCache::new(MAX_REMOVED),
            starts: LruCache::new(MAX_REMOVED),
        }
    }
}

impl RemovedTargets {
    pub(crate) fn keep(&mut self, key: TargetKey, info: &Target, target: RemovedTarget) {
        self.targets.put(info.name.clone(), target);
        self.starts.put(key, (info.name.clone(), info.started_ms));
    }

    /// Returns what is known of a target that is listed again, unless it is a later start.
    pub(crate) fn take(&mut self, name: &Name, started_ms: u64) -> Option<RemovedTarget> {
        let target = self.targets.pop(name)?;
        (!target.cold.ends_with(started_ms)).then_some(target)
    }

    /// Returns the name and the start time of the target that had this key.
    pub(crate) fn start(&self, key: TargetKey) -> Option<&(Name, u64)> {
        self.starts.peek(&key)
    }

    /// Returns the target that had this key, unless it is listed again.
    pub(crate) fn get_mut(&mut self, key: TargetKey) -> Option<&mut RemovedTarget> {
        let (name, _) = self.starts.peek(&key)?;
        self.targets.peek_mut(name)
    }

    pub(crate) fn all_mut(&mut self) -> impl Iterator<Item = &mut RemovedTarget> {
        self.targets.iter_mut().map(|(_, target)| target)
    }
}
