use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::queue::Position;
use crate::{RequestKey, TargetKey};

/// Batch requests that wait for the target that holds most of their prompt in its cache.
///
/// They are not eligible for dispatch, and so do not block other requests, until the target has
/// headroom or their wait ends.
#[derive(Debug, Default)]
pub(crate) struct WarmWaits {
    targets: BTreeMap<TargetKey, BTreeMap<Position, RequestKey>>,
    /// The ends of the waits.
    ends: BTreeSet<(Instant, RequestKey)>,
    /// Targets whose headroom or state may have changed.
    changed: BTreeSet<TargetKey>,
}

/// The target that a request waits for, and the end of the wait.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmWait {
    pub(crate) target: TargetKey,
    pub(crate) until: Instant,
}

impl WarmWaits {
    pub(crate) fn insert(&mut self, key: RequestKey, position: Position, wait: WarmWait) {
        let waiting = self.targets.entry(wait.target).or_default();
        waiting.insert(position, key);
        self.ends.insert((wait.until, key));
    }

    pub(crate) fn remove(&mut self, key: RequestKey, position: Position, wait: WarmWait) {
        if let Some(waiting) = self.targets.get_mut(&wait.target) {
            waiting.remove(&position);
            if waiting.is_empty() {
                self.targets.remove(&wait.target);
                self.changed.remove(&wait.target);
            }
        }
        self.ends.remove(&(wait.until, key));
    }

    /// Records that the headroom or state of a target may have changed.
    pub(crate) fn mark_changed(&mut self, target: TargetKey) {
        if self.targets.contains_key(&target) {
            self.changed.insert(target);
        }
    }

    /// Removes and returns a target that was marked as changed.
    pub(crate) fn pop_changed(&mut self) -> Option<TargetKey> {
        self.changed.pop_first()
    }

    /// Returns the requests that wait for a target, in queue order.
    pub(crate) fn waiting_for(&self, target: TargetKey) -> impl Iterator<Item = RequestKey> + '_ {
        let waiting = self.targets.get(&target);
        waiting.into_iter().flat_map(|w| w.values().copied())
    }

    /// Returns the wait that ends first.
    pub(crate) fn next_end(&self) -> Option<(Instant, RequestKey)> {
        self.ends.first().copied()
    }
}
