use std::time::Instant;

use ebonylug_core::{RequestId, Tier, Tokens};
use smallvec::SmallVec;

/// Capacity reserved for the retries of refused interactive requests.
///
/// Without it, batch work from another entry would take the next free capacity, and the retried
/// interactive request would be refused again.
#[derive(Debug)]
pub(crate) struct Reservations {
    max_entries: usize,
    entries: SmallVec<[Reservation; 4]>,
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    request: RequestId,
    rank: u8,
    tokens: Tokens,
    expires: Instant,
}

impl Reservations {
    pub(crate) fn new(max_entries: usize) -> Self {
        Reservations {
            max_entries,
            entries: SmallVec::new(),
        }
    }

    /// Returns the reserved tokens that work of `tier` may not use.
    ///
    /// Batch work may not use any reservation. Interactive work may not use those of more urgent
    /// ranks, so a request is never blocked by its own reservation.
    pub(crate) fn reserved_against(&self, now: Instant, tier: Tier) -> Tokens {
        self.active(now)
            .filter(|r| !tier.is_interactive() || r.rank < tier.rank)
            .map(|r| r.tokens)
            .sum()
    }

    pub(crate) fn total(&self, now: Instant) -> Tokens {
        self.active(now).map(|r| r.tokens).sum()
    }

    /// Reserves capacity for a refused request. If there are more than `max_entries` reservations,
    /// the least urgent one is dropped.
    pub(crate) fn add(
        &mut self,
        now: Instant,
        request: RequestId,
        rank: u8,
        tokens: Tokens,
        expires: Instant,
    ) {
        self.remove(request);
        self.expire(now);
        self.entries.push(Reservation {
            request,
            rank,
            tokens,
            expires,
        });
        if self.entries.len() > self.max_entries {
            let last = (0..self.entries.len())
                .max_by_key(|&i| self.entries[i].rank)
                .expect("the list is not empty");
            self.entries.remove(last);
        }
    }

    /// Removes the reservation of a request, if there is one.
    pub(crate) fn remove(&mut self, request: RequestId) {
        self.entries.retain(|r| r.request != request);
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        self.entries.retain(|r| r.expires > now);
    }

    pub(crate) fn clear(&mut self) {
        self.entries.clear();
    }

    fn active(&self, now: Instant) -> impl Iterator<Item = &Reservation> {
        self.entries.iter().filter(move |r| r.expires > now)
    }
}
