use std::time::{Duration, Instant};

/// Share of a rate that all entries use together. Requests sent within different seconds may arrive
/// within the same one.
const USED_SHARE: f64 = 0.8;
/// Rounding of the sum of parts of an interval.
const ROUNDING: f64 = 1e-9;
/// The longest time between two sends of one entry. Longer ones overflow when they are added to a time.
const MAX_INTERVAL: Duration = Duration::from_secs(24 * 3_600);

/// Time for which a send may follow the moment at which it became due.
const OPEN_TIME: Duration = Duration::from_millis(500);

/// One entry's equal share of a maximum rate of requests to a target. The shares add up to the rate without
/// coordination.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SharedRate {
    /// Maximum requests per second of all entries.
    rate: f64,
    /// The part of the time between two sends that had passed at `since`, from 0 to 1.
    progress: f64,
    since: Instant,
}

impl SharedRate {
    /// Limits sends to an equal share of `rate` requests per second among the entries. The first send is
    /// delayed by `phase` of the time between two sends, from 0 to 1, so that entries do not start at the
    /// same time.
    pub(crate) fn new(now: Instant, rate: f64, phase: f64) -> Self {
        SharedRate {
            rate,
            progress: 1.0 - phase.clamp(0.0, 1.0),
            since: now,
        }
    }

    /// Changes the maximum rate.
    pub(crate) fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Applies the time so far with `entries`, before their number changes. Otherwise, all entries that have waited
    /// longer than the new time between two sends would send at once.
    pub(crate) fn settle(&mut self, now: Instant, entries: usize) {
        let progress = self.progress_at(now, entries);
        // Sends that were due before are lost, but not the time since the latest of them.
        self.progress = if progress > 1.0 {
            1.0 + progress.fract()
        } else {
            progress
        };
        self.since = now;
    }

    /// Returns the time between two sends.
    fn interval(&self, entries: usize) -> Duration {
        let seconds = entries.max(1) as f64 / (self.rate * USED_SHARE);
        let interval = Duration::try_from_secs_f64(seconds);
        interval.unwrap_or(MAX_INTERVAL).min(MAX_INTERVAL)
    }

    fn progress_at(&self, now: Instant, entries: usize) -> f64 {
        let interval = self.interval(entries);
        let passed = now.saturating_duration_since(self.since);
        // An interval of zero has always passed.
        let part = passed.as_secs_f64() / interval.as_secs_f64().max(f64::MIN_POSITIVE);
        self.progress + part
    }

    /// Reports whether this entry may send a request now, if `entries` share the rate.
    pub(crate) fn allows_send(&self, now: Instant, entries: usize) -> bool {
        self.progress_at(now, entries) >= 1.0 - ROUNDING
    }

    /// Reports whether a send of this entry has become due within the last [`OPEN_TIME`], if `entries` share the rate.
    /// A share that was not used then is lost until the next send is due.
    pub(crate) fn is_due(&self, now: Instant, entries: usize) -> bool {
        let progress = self.progress_at(now, entries) + ROUNDING;
        progress >= 1.0 && self.interval(entries).mul_f64(progress.fract()) < OPEN_TIME
    }

    pub(crate) fn record_send(&mut self, now: Instant) {
        self.progress = 0.0;
        self.since = now;
    }
}
