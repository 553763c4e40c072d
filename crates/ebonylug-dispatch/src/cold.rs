use std::time::{Duration, Instant};

/// Part of a cold target's rate that the entries use together. Requests that are sent in one second
/// may arrive in another one.
const USED_PART: f64 = 0.8;

/// The rate at which one entry may send to one target while it is cold.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ColdRate {
    until: Instant,
    /// Time between two sends of this entry.
    pause: Duration,
    next: Instant,
}

impl ColdRate {
    /// Limits sends until `until` to one of `entries` parts of `rate` per second. The first send is
    /// put off by `phase` of a pause, from 0 to 1, so that entries do not start together.
    pub(crate) fn new(
        now: Instant,
        until: Instant,
        rate: f64,
        entries: usize,
        phase: f64,
    ) -> Option<Self> {
        if rate <= 0.0 || until <= now {
            return None;
        }
        let pause = Duration::from_secs_f64(entries.max(1) as f64 / (rate * USED_PART));
        Some(ColdRate {
            until,
            pause,
            next: now + pause.mul_f64(phase.clamp(0.0, 1.0)),
        })
    }

    /// Returns when the target is warm.
    pub(crate) fn until(&self) -> Instant {
        self.until
    }

    pub(crate) fn extend(&mut self, until: Instant) {
        self.until = self.until.max(until);
    }

    pub(crate) fn is_open(&self, now: Instant) -> bool {
        now >= self.until || now >= self.next
    }

    pub(crate) fn sent(&mut self, now: Instant) {
        self.next = now + self.pause;
    }
}
