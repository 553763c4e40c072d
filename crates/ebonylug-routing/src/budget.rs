use std::time::{Duration, Instant};

use crate::Settings;

/// Limits the retries of the process, so that refusals cannot multiply the load.
///
/// A token bucket: each first dispatch earns a fraction of a retry, and time earns some as
/// well, so that a request that waits for a retry is never stuck.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
    burst: f64,
    ratio: f64,
    rate: f64,
    filled: Option<Instant>,
}

impl RetryBudget {
    pub(crate) fn new(settings: &Settings) -> Self {
        RetryBudget {
            tokens: settings.retry_burst,
            burst: settings.retry_burst,
            ratio: settings.retry_ratio,
            rate: settings.retry_rate,
            filled: None,
        }
    }

    /// Earns a fraction of a retry for a first dispatch.
    pub(crate) fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Spends one retry, if there is one.
    pub(crate) fn spend(&mut self, now: Instant) -> bool {
        self.fill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns when there will be a retry to spend.
    pub(crate) fn next(&self, now: Instant) -> Instant {
        let elapsed = self.filled.map_or(Duration::ZERO, |filled| {
            now.saturating_duration_since(filled)
        });
        let missing = 1.0 - self.tokens - elapsed.as_secs_f64() * self.rate;
        if missing <= 0.0 {
            return now;
        }
        // One microsecond more, so that rounding cannot wake the caller too early.
        now + Duration::from_secs_f64(missing / self.rate) + Duration::from_micros(1)
    }

    fn fill(&mut self, now: Instant) {
        let filled = self.filled.unwrap_or(now);
        let elapsed = now.saturating_duration_since(filled);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.burst);
        self.filled = Some(now.max(filled));
    }
}
