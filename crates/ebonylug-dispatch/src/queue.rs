use std::collections::BTreeMap;
use std::time::Instant;

use ebonylug_core::Name;

use crate::placement::PlacementRequest;

/// Identifies a queued request. Keys order by rank, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitKey {
    pub(crate) rank: u8,
    pub(crate) sequence: u64,
}

/// A queued request.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) request: PlacementRequest,
    /// Time at which the request is refused.
    pub(crate) deadline: Instant,
    /// Whether the request is beyond the share of its organisation.
    pub(crate) excess: bool,
}

/// Queue of requests without a target, ordered by rank, then by arrival.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    waiters: BTreeMap<WaitKey, Waiter>,
    sequence: u64,
}

impl WaitQueue {
    /// Returns the place of a request that arrives now.
    pub(crate) fn next_key(&mut self, rank: u8) -> WaitKey {
        self.sequence += 1;
        WaitKey {
            rank,
            sequence: self.sequence,
        }
    }

    pub(crate) fn insert(&mut self, request: PlacementRequest, deadline: Instant) -> WaitKey {
        let key = self.next_key(request.rank);
        self.insert_at(key, request, deadline);
        key
    }

    /// Inserts a request at the place that it had.
    pub(crate) fn insert_at(&mut self, key: WaitKey, request: PlacementRequest, deadline: Instant) {
        let waiter = Waiter {
            request,
            deadline,
            excess: false,
        };
        self.waiters.insert(key, waiter);
    }

    /// Returns a request to its previous position.
    pub(crate) fn reinsert(&mut self, key: WaitKey, waiter: Waiter) {
        self.waiters.insert(key, waiter);
    }

    pub(crate) fn remove(&mut self, key: WaitKey) -> Option<Waiter> {
        self.waiters.remove(&key)
    }

    pub(crate) fn get_mut(&mut self, key: WaitKey) -> Option<&mut Waiter> {
        self.waiters.get_mut(&key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (WaitKey, &Waiter)> {
        self.waiters.iter().map(|(&key, waiter)| (key, waiter))
    }

    pub(crate) fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns the number of queued requests by service and rank.
    pub(crate) fn counts(&self) -> BTreeMap<(&Name, u8), u16> {
        let mut counts = BTreeMap::new();
        for (key, waiter) in &self.waiters {
            let count: &mut u16 = counts
                .entry((&waiter.request.service, key.rank))
                .or_default();
            *count = count.saturating_add(1);
        }
        counts
    }

    /// Returns the number of queued requests of a service with rank `rank` or a more urgent one.
    pub(crate) fn count_ahead(&self, service: &str, rank: u8) -> usize {
        let is_ahead = |(key, waiter): &(&WaitKey, &Waiter)| {
            key.rank <= rank && waiter.request.service.as_str() == service
        };
        self.waiters.iter().filter(is_ahead).count()
    }
}
