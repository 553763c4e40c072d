use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use ebonylug_core::{AttemptId, End};
use smallvec::SmallVec;

use crate::Action;

/// Records of ended attempts, and tombstones of revoked attempts that must never start.
///
/// An ended attempt is never evicted before its retention period is over. Without its record, a
/// late copy of its offer would run a second time, and a late revoke would get a false "not run".
/// The owner therefore refuses offers when too many attempts are recorded, and answers a revoke
/// as unknown when no further tombstone can be stored.
#[derive(Debug)]
pub(crate) struct AttemptHistory {
    retention: Duration,
    max_tombstones: usize,
    ended: HashMap<AttemptId, End>,
    expiry: VecDeque<(Instant, AttemptId)>,
    tombstones: HashSet<AttemptId>,
    tombstone_expiry: VecDeque<(Instant, AttemptId)>,
}

impl AttemptHistory {
    pub(crate) fn new(retention: Duration, max_tombstones: usize) -> Self {
        AttemptHistory {
            retention,
            max_tombstones,
            ended: HashMap::new(),
            expiry: VecDeque::new(),
            tombstones: HashSet::new(),
            tombstone_expiry: VecDeque::new(),
        }
    }

    pub(crate) fn ended(&self, attempt: AttemptId) -> Option<End> {
        self.ended.get(&attempt).copied()
    }

    pub(crate) fn is_tombstoned(&self, attempt: AttemptId) -> bool {
        self.tombstones.contains(&attempt)
    }

    /// Returns the number of ended attempts, without tombstones.
    pub(crate) fn len(&self) -> usize {
        self.ended.len()
    }

    pub(crate) fn tombstone_count(&self) -> usize {
        self.tombstones.len()
    }

    pub(crate) fn record_end(&mut self, now: Instant, attempt: AttemptId, end: End) {
        if self.ended.insert(attempt, end).is_none() {
            self.expiry.push_back((now + self.retention, attempt));
        }
    }

    /// Stores a tombstone. Returns false if the tombstones are at their bound.
    pub(crate) fn add_tombstone(&mut self, now: Instant, attempt: AttemptId) -> bool {
        self.expire_tombstones(now);
        if self.tombstones.contains(&attempt) {
            return true;
        }
        if self.tombstones.len() >= self.max_tombstones {
            return false;
        }
        self.tombstones.insert(attempt);
        self.tombstone_expiry
            .push_back((now + self.retention, attempt));
        true
    }

    /// Removes attempts and tombstones whose retention period is over.
    pub(crate) fn expire(&mut self, now: Instant, actions: &mut SmallVec<[Action; 4]>) {
        while let Some(attempt) = pop_expired(&mut self.expiry, now) {
            self.ended.remove(&attempt);
            actions.push(Action::Expire(attempt));
        }
        self.expire_tombstones(now);
    }

    fn expire_tombstones(&mut self, now: Instant) {
        while let Some(attempt) = pop_expired(&mut self.tombstone_expiry, now) {
            self.tombstones.remove(&attempt);
        }
    }
}

fn pop_expired(queue: &mut VecDeque<(Instant, AttemptId)>, now: Instant) -> Option<AttemptId> {
    let (due, attempt) = *queue.front()?;
    if due > now {
        return None;
    }
    queue.pop_front();
    Some(attempt)
}
