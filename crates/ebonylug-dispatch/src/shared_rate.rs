use std::time::{Duration, Instant};

/// Share of a rate that all entries use together. Requests sent within different seconds may arrive
/// within the same one.
const USED_SHARE: f64 = 0.8;
/// The longest time between two sends of one entry. Longer ones overflow when they are added to a time.
const MAX_INTERVAL: Duration = Duration::from_secs(24 * 3_600);

/// One entry's equal share of a maximum rate of requests to a target. The shares add up to the rate without
/// coordination.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SharedRate {
    started: Instant,
    /// Maximum requests per second of all entries.
    rate: f64,
    /// Position of this entry's first send among those of all entries, from 0 to 1.
    phase: f64,
    last_send: Option<Instant>,
}

impl SharedRate {
    /// Limits sends to an equal share of `rate` requests per second among the entries. The first send is
    /// delayed by `phase` of the time between two sends, from 0 to 1, so that entries do not start at the
    /// same time.
    pub(crate) fn new(now: Instant, rate: f64, phase: f64) -> Self {
        SharedRate {
            started: now,
            rate,
            phase: phase.clamp(0.0, 1.0),
            last_send: None,
        }
    }

    /// Changes the maximum rate.
    pub(crate) fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Reports whether this entry may send a request now, if `entries` share the rate.
    pub(crate) fn allows_send(&self, now: Instant, entries: usize) -> bool {
        let seconds = entries.max(1) as f64 / (self.rate * USED_SHARE);
        let interval = Duration::try_from_secs_f64(seconds);
        let interval = interval.unwrap_or(MAX_INTERVAL).min(MAX_INTERVAL);
        let next_send = match self.last_send {
            Some(time) => time + interval,
            None => self.started + interval.mul_f64(self.phase),
        };
        now >= next_send
    }

    pub(crate) fn record_send(&mut self, now: Instant) {
        self.last_send = Some(now);
    }
}
