use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::target::TargetKey;

/// Maximum number of recorded sends.
const MAX_RECORDS: usize = 4_096;
/// Time for which a prompt is assumed to stay in a target's LRU cache.
const CACHE_LIFETIME: Duration = Duration::from_secs(10);

/// The targets that hold cached prompts, by cache key, based on this entry's own sends.
///
/// Most prompts occur once and go to the target that can run them soonest. A repeated cache key goes
/// to the target that has already processed the prompt.
#[derive(Debug, Default)]
pub(crate) struct PromptLocations {
    locations: HashMap<u64, (TargetKey, Instant)>,
    order: VecDeque<(u64, Instant)>,
}

impl PromptLocations {
    /// Records that a prompt with this cache key was sent to a target.
    pub(crate) fn record(&mut self, now: Instant, key: u64, target: TargetKey) {
        self.locations.insert(key, (target, now));
        self.order.push_back((key, now));
        while let Some(&(oldest, time)) = self.order.front() {
            let expired = now.saturating_duration_since(time) > CACHE_LIFETIME;
            if !expired && self.order.len() <= MAX_RECORDS {
                break;
            }
            self.order.pop_front();
            // The map may hold a more recent send of the same key.
            if self
                .locations
                .get(&oldest)
                .is_some_and(|&(_, recorded)| recorded == time)
            {
                self.locations.remove(&oldest);
            }
        }
    }

    /// Returns the target that is assumed to cache the prompt.
    pub(crate) fn find(&self, now: Instant, key: u64) -> Option<TargetKey> {
        let &(target, time) = self.locations.get(&key)?;
        (now.saturating_duration_since(time) <= CACHE_LIFETIME).then_some(target)
    }
}
