use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use ebonylug_core::{AttemptId, End};
use smallvec::SmallVec;

use crate::Action;

/// The memory of attempts that ended and of attempts that must never start.
///
/// An ended attempt is never evicted before its retention period is over: without its record, a
/// late copy of its offer would run a second time, and a late revoke would get a false "not run".
/// A full ledger therefore stops admissions, and answers a revoke without storing a tombstone.
#[derive(Debug)]
pub(crate) struct Ledger {
    retention: Duration,
    max_tombstones: usize,
    ended: HashMap<AttemptId, End>,
    expiry: VecDeque<(Instant, AttemptId)>,
    tombstones: HashSet<AttemptId>,
    tombstone_expiry: VecDeque<(Instant, AttemptId)>,
}

impl Ledger {
    pub(crate) fn new(retention: Duration, max_tombstones: usize) -> Self {
        Ledger {
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

    /// Returns the number of ended attempts that are remembered.
    pub(crate) fn len(&self) -> usize {
        self.ended.len()
    }

    pub(crate) fn tombstones(&self) -> usize {
        self.tombstones.len()
    }

    pub(crate) fn end(&mut self, now: Instant, attempt: AttemptId, end: End) {
        if self.ended.insert(attempt, end).is_none() {
            self.expiry.push_back((now + self.retention, attempt));
        }
    }

    /// Stores a tombstone; returns whether there was room for it.
    pub(crate) fn bury(&mut self, now: Instant, attempt: AttemptId) -> bool {
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

    /// Forgets what is older than the retention period.
    pub(crate) fn expire(&mut self, now: Instant, actions: &mut SmallVec<[Action; 4]>) {
        while let Some(attempt) = pop_due(&mut self.expiry, now) {
            self.ended.remove(&attempt);
            actions.push(Action::Expire(attempt));
        }
        self.expire_tombstones(now);
    }

    fn expire_tombstones(&mut self, now: Instant) {
        while let Some(attempt) = pop_due(&mut self.tombstone_expiry, now) {
            self.tombstones.remove(&attempt);
        }
    }
}

fn pop_due(queue: &mut VecDeque<(Instant, AttemptId)>, now: Instant) -> Option<AttemptId> {
    let (due, attempt) = *queue.front()?;
    if due > now {
        return None;
    }
    queue.pop_front();
    Some(attempt)
}
