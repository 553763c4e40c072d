use std::collections::BTreeMap;
use std::time::Instant;

use crate::scheduler::PlacementRequest;

/// The key of a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitKey {
    pub(crate) rank: u8,
    pub(crate) sequence: u64,
}

/// A request that waits for a target.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) ask: PlacementRequest,
    /// When the request is refused if no target was free.
    pub(crate) until: Instant,
}

/// Requests that wait, most urgent first, then in order of arrival.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    waiters: BTreeMap<WaitKey, Waiter>,
    sequence: u64,
}

impl Waiting {
    pub(crate) fn insert(&mut self, ask: PlacementRequest, until: Instant) -> WaitKey {
        self.sequence += 1;
        let key = WaitKey {
            rank: ask.rank,
            sequence: self.sequence,
        };
        self.waiters.insert(key, Waiter { ask, until });
        key
    }

    /// Puts back a request that was taken out for a decision.
    pub(crate) fn put_back(&mut self, key: WaitKey, waiter: Waiter) {
        self.waiters.insert(key, waiter);
    }

    pub(crate) fn remove(&mut self, key: WaitKey) -> Option<Waiter> {
        self.waiters.remove(&key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (WaitKey, &Waiter)> {
        self.waiters.iter().map(|(&key, waiter)| (key, waiter))
    }

    pub(crate) fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns the number of requests of a service that go before `rank`.
    pub(crate) fn ahead(&self, service: &str, rank: u8) -> usize {
        let before = |(key, waiter): &(&WaitKey, &Waiter)| {
            key.rank <= rank && waiter.ask.service.as_str() == service
        };
        self.waiters.iter().filter(before).count()
    }
}
