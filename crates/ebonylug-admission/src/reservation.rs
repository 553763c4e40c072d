use std::time::Instant;

use ebonylug_core::{RequestId, Tier, Tokens};
use smallvec::SmallVec;

/// Room that is kept for refused interactive requests.
///
/// Without it, batch work from another entry would take the next free room, and the interactive
/// request would be refused again when it is retried.
#[derive(Debug)]
pub(crate) struct Reservations {
    bound: usize,
    kept: SmallVec<[Reservation; 4]>,
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    request: RequestId,
    rank: u8,
    tokens: Tokens,
    expires: Instant,
}

impl Reservations {
    pub(crate) fn new(bound: usize) -> Self {
        Reservations {
            bound,
            kept: SmallVec::new(),
        }
    }

    /// Returns the room that `tier` must leave to other requests.
    ///
    /// Batch work respects each reservation; interactive work those of more urgent ranks,
    /// so that a request never waits for its own.
    pub(crate) fn against(&self, now: Instant, tier: Tier) -> Tokens {
        self.live(now)
            .filter(|r| !tier.is_interactive() || r.rank < tier.rank)
            .map(|r| r.tokens)
            .sum()
    }

    pub(crate) fn total(&self, now: Instant) -> Tokens {
        self.live(now).map(|r| r.tokens).sum()
    }

    /// Keeps room for a refused request. At the bound, the least urgent reservation is dropped.
    pub(crate) fn keep(
        &mut self,
        now: Instant,
        request: RequestId,
        rank: u8,
        tokens: Tokens,
        expires: Instant,
    ) {
        self.take(request);
        self.expire(now);
        self.kept.push(Reservation {
            request,
            rank,
            tokens,
            expires,
        });
        if self.kept.len() > self.bound {
            let last = (0..self.kept.len())
                .max_by_key(|&i| self.kept[i].rank)
                .expect("the list is not empty");
            self.kept.remove(last);
        }
    }

    /// Ends the reservation of a request.
    pub(crate) fn take(&mut self, request: RequestId) {
        self.kept.retain(|r| r.request != request);
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        self.kept.retain(|r| r.expires > now);
    }

    pub(crate) fn clear(&mut self) {
        self.kept.clear();
    }

    fn live(&self, now: Instant) -> impl Iterator<Item = &Reservation> {
        self.kept.iter().filter(move |r| r.expires > now)
    }
}
