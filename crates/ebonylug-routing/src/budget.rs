use std::time::{Duration, Instant};

use crate::Settings;

/// Limits the retries of the process, so that refusals cannot multiply the load.
///
/// A token bucket. Each first dispatch adds a fraction of a retry; a refill over time ensures
/// that a request that waits for a retry always makes progress.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    /// Available retries.
    tokens: f64,
    /// Maximum number of available retries.
    burst: f64,
    /// Retries added by each first dispatch.
    ratio: f64,
    /// Retries added per second.
    rate: f64,
    refilled: Option<Instant>,
}

impl RetryBudget {
    pub(crate) fn new(settings: &Settings) -> Self {
        RetryBudget {
            tokens: settings.retry_burst,
            burst: settings.retry_burst,
            ratio: settings.retry_ratio,
            rate: settings.retry_rate,
            refilled: None,
        }
    }

    /// Adds the fraction of a retry that a first dispatch earns.
    pub(crate) fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes one retry from the budget. Returns `false` if none is available.
    pub(crate) fn spend(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns when the next retry becomes available.
    pub(crate) fn next_retry(&self, now: Instant) -> Instant {
        let elapsed = self.refilled.map_or(Duration::ZERO, |refilled| {
            now.saturating_duration_since(refilled)
        });
        let missing = 1.0 - self.tokens - elapsed.as_secs_f64() * self.rate;
        if missing <= 0.0 {
            return now;
        }
        // The extra microsecond prevents a wake-up that is too early because of rounding.
        now + Duration::from_secs_f64(missing / self.rate) + Duration::from_micros(1)
    }

    fn refill(&mut self, now: Instant) {
        let refilled = self.refilled.unwrap_or(now);
        let elapsed = now.saturating_duration_since(refilled);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.burst);
        self.refilled = Some(now.max(refilled));
    }
}
