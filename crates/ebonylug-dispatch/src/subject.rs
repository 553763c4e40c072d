use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::target::TargetKey;

/// Subjects that are remembered.
const MAX_SUBJECTS: usize = 4_096;
/// Time for which a prompt is taken to be in a target's cache, which yields the least recently used.
const CACHED: Duration = Duration::from_secs(10);

/// Where the prompts of subjects are cached, as far as this entry knows.
///
/// Most prompts come once, and go where they run soonest; a subject that comes again goes to the target
/// that has read its prompt.
#[derive(Debug, Default)]
pub(crate) struct Subjects {
    homes: HashMap<u64, (TargetKey, Instant)>,
    order: VecDeque<(u64, Instant)>,
}

impl Subjects {
    /// Notes that a target reads the prompt of a subject.
    pub(crate) fn note(&mut self, now: Instant, subject: u64, target: TargetKey) {
        self.homes.insert(subject, (target, now));
        self.order.push_back((subject, now));
        while let Some(&(oldest, time)) = self.order.front() {
            let old = now.saturating_duration_since(time) > CACHED;
            if !old && self.order.len() <= MAX_SUBJECTS {
                break;
            }
            self.order.pop_front();
            // A subject that came again is noted once more.
            if self
                .homes
                .get(&oldest)
                .is_some_and(|&(_, noted)| noted == time)
            {
                self.homes.remove(&oldest);
            }
        }
    }

    /// Returns the target that has the prompt of a subject.
    pub(crate) fn find(&self, now: Instant, subject: u64) -> Option<TargetKey> {
        let &(target, time) = self.homes.get(&subject)?;
        (now.saturating_duration_since(time) <= CACHED).then_some(target)
    }
}
