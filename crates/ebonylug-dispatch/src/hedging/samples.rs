use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

/// Times of recent attempts to their first answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Quantiles {
    /// The time of a usual attempt.
    pub(super) median: Duration,
    /// The time that four of five attempts do not exceed. If more are slow, so is the service as a whole.
    pub(super) upper: Duration,
    /// The time above which an attempt counts as slow, whatever its objective is. It is the quantile that Dean
    /// and Barroso use in "The Tail at Scale" (2013), which adds about a twentieth to the load.
    pub(super) high: Duration,
}

/// The smallest number of times of which quantiles are used. Three of them are above the highest one, so that a
/// single outlier does not set it.
const MIN_SAMPLES: u64 = 60;
/// Time covered by one histogram. Two are used, so times are between one and two spans old at most. The span is
/// much longer than a slow phase of a single target, which must not raise the quantiles.
const SPAN: Duration = Duration::from_secs(30);
/// The longest time that is recorded, in milliseconds. Longer ones count as this.
const MAX_MILLIS: u64 = 60_000;
/// The number of significant decimal digits. Two are enough for a delay, and keep a histogram at 4 KB.
const DIGITS: u8 = 2;

/// Recent times to the first answer of one service and kind.
#[derive(Debug, Default)]
pub(super) struct LatencySamples {
    current: Option<Histogram<u32>>,
    previous: Option<Histogram<u32>>,
    /// The start of the current span.
    started: Option<Instant>,
    /// The last quantiles, and the number of times recorded since.
    cached: Option<Quantiles>,
    uncounted: u64,
}

/// The number of new times after which the quantiles are computed again. A computation reads the whole histogram.
const REFRESH_SAMPLES: u64 = 10;

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_MILLIS, DIGITS).expect("valid constant bounds")
}

impl LatencySamples {
    pub(super) fn record(&mut self, now: Instant, time: Duration) {
        self.rotate(now);
        // Rounds up, so that quantiles are not below the true ones.
        let millis = time.as_micros().div_ceil(1_000);
        let millis = u64::try_from(millis).unwrap_or(MAX_MILLIS);
        let current = self.current.get_or_insert_with(histogram);
        current.saturating_record(millis.clamp(1, MAX_MILLIS));
        self.uncounted += 1;
    }

    /// Returns the quantiles of the recent times, or `None` if there are too few.
    pub(super) fn quantiles(&mut self, now: Instant) -> Option<Quantiles> {
        self.rotate(now);
        if self.cached.is_none() || self.uncounted >= REFRESH_SAMPLES {
            self.cached = self.compute();
            self.uncounted = 0;
        }
        self.cached
    }

    fn compute(&self) -> Option<Quantiles> {
        let parts = [self.current.as_ref(), self.previous.as_ref()];
        let count: u64 = parts.iter().flatten().map(|part| part.len()).sum();
        if count < MIN_SAMPLES {
            return None;
        }
        let mut all = histogram();
        for part in parts.into_iter().flatten() {
            all.add(part).ok()?;
        }
        let quantile = |quantile| Duration::from_millis(all.value_at_quantile(quantile));
        Some(Quantiles {
            median: quantile(0.5),
            upper: quantile(0.8),
            high: quantile(0.95),
        })
    }

    /// Starts a new span when the current one has ended, and forgets times of earlier spans.
    fn rotate(&mut self, now: Instant) {
        let started = *self.started.get_or_insert(now);
        let age = now.saturating_duration_since(started);
        if age < SPAN {
            return;
        }
        let last = self.current.take();
        self.previous = last.filter(|_| age < SPAN * 2);
        self.started = Some(now);
        self.cached = None;
    }
}
