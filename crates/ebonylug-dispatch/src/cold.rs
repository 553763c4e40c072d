use std::time::{Duration, Instant};

/// Share of a cold target's rate that all entries use together. Requests sent within different seconds
/// may arrive within the same one.
const USED_SHARE: f64 = 0.8;

/// Rate limit of one entry for one cold target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ColdRate {
    until: Instant,
    /// Minimum time between two sends.
    interval: Duration,
    next_send: Instant,
}

impl ColdRate {
    /// Limits sends until `until` to an equal share of `rate` requests per second among `entries`.
    /// The first send is delayed by `phase` of an interval, from 0 to 1, so that entries do not start
    /// at the same time.
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
        let interval = Duration::from_secs_f64(entries.max(1) as f64 / (rate * USED_SHARE));
        Some(ColdRate {
            until,
            interval,
            next_send: now + interval.mul_f64(phase.clamp(0.0, 1.0)),
        })
    }

    /// Returns the time at which the limit ends.
    pub(crate) fn until(&self) -> Instant {
        self.until
    }

    pub(crate) fn extend(&mut self, until: Instant) {
        self.until = self.until.max(until);
    }

    pub(crate) fn allows_send(&self, now: Instant) -> bool {
        now >= self.until || now >= self.next_send
    }

    pub(crate) fn record_send(&mut self, now: Instant) {
        self.next_send = now + self.interval;
    }
}
