use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::queue::Position;
use crate::{RequestKey, TargetKey};

/// Batch requests that wait for the one target that has most of their prompt in its cache.
///
/// They stand aside, so that they hold up nobody, until the target has room or their time for it
/// is over.
#[derive(Debug, Default)]
pub(crate) struct Resting {
    targets: BTreeMap<TargetKey, BTreeMap<Position, RequestKey>>,
    ends: BTreeSet<(Instant, RequestKey)>,
    /// Targets about which there is news.
    news: BTreeSet<TargetKey>,
}

/// What a request waits for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rest {
    pub(crate) target: TargetKey,
    pub(crate) until: Instant,
}

impl Resting {
    pub(crate) fn insert(&mut self, key: RequestKey, position: Position, rest: Rest) {
        let waiting = self.targets.entry(rest.target).or_default();
        waiting.insert(position, key);
        self.ends.insert((rest.until, key));
    }

    pub(crate) fn remove(&mut self, key: RequestKey, position: Position, rest: Rest) {
        if let Some(waiting) = self.targets.get_mut(&rest.target) {
            waiting.remove(&position);
            if waiting.is_empty() {
                self.targets.remove(&rest.target);
                self.news.remove(&rest.target);
            }
        }
        self.ends.remove(&(rest.until, key));
    }

    /// Notes that a target may have room now.
    pub(crate) fn note(&mut self, target: TargetKey) {
        if self.targets.contains_key(&target) {
            self.news.insert(target);
        }
    }

    /// Returns a target about which there is news, once.
    pub(crate) fn pop_news(&mut self) -> Option<TargetKey> {
        self.news.pop_first()
    }

    /// Returns the requests that wait for a target, in order.
    pub(crate) fn at(&self, target: TargetKey) -> impl Iterator<Item = RequestKey> + '_ {
        let waiting = self.targets.get(&target);
        waiting.into_iter().flat_map(|w| w.values().copied())
    }

    /// Returns the request whose time is over first, and when.
    pub(crate) fn first_end(&self) -> Option<(Instant, RequestKey)> {
        self.ends.first().copied()
    }
}
