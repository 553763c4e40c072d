use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The least time between two samples, which bounds the memory of a window.
const MIN_INTERVAL: Duration = Duration::from_millis(500);

/// The least number of samples from which a trend is taken.
const MIN_TREND_SAMPLES: usize = 10;

/// Standard errors that a trend must exceed. With two, chance alone gave a trend several times an hour.
const TREND_ERRORS: f64 = 3.0;

/// What one observation of a zone showed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Sample {
    pub(crate) at: Instant,
    /// The slots that all requests would occupy.
    pub(crate) demand: f64,
    /// The number of targets for the demand that is expected after the lead time.
    pub(crate) need: u32,
    /// The number of targets down to which none are removed. It is greater than the need, so that chance does
    /// not turn an order back.
    pub(crate) keep: u32,
}

/// The observations of a zone without gaps.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    since: Option<Instant>,
    samples: VecDeque<Sample>,
}

impl History {
    /// Adds a sample and removes those that are older than `length`. Times must not decrease.
    pub(crate) fn push(&mut self, sample: Sample, length: Duration) {
        self.since.get_or_insert(sample.at);
        if let Some(last) = self.samples.back_mut()
            && sample.at.saturating_duration_since(last.at) < MIN_INTERVAL
        {
            last.need = last.need.max(sample.need);
            last.keep = last.keep.max(sample.keep);
            return;
        }
        self.samples.push_back(sample);
        let is_old = |first: &Sample| sample.at.saturating_duration_since(first.at) > length;
        while self.samples.front().is_some_and(is_old) {
            self.samples.pop_front();
        }
    }

    pub(crate) fn clear(&mut self) {
        *self = History::default();
    }

    /// Reports whether there have been observations for this time.
    pub(crate) fn covers(&self, now: Instant, time: Duration) -> bool {
        self.since
            .is_some_and(|since| now.saturating_duration_since(since) >= time)
    }

    pub(crate) fn last_demand(&self) -> f64 {
        self.samples.back().map_or(0.0, |sample| sample.demand)
    }

    fn recent(&self, now: Instant, window: Duration) -> impl Iterator<Item = &Sample> {
        let samples = self.samples.iter().rev();
        samples.take_while(move |sample| now.saturating_duration_since(sample.at) <= window)
    }

    /// Returns the need that was exceeded or met throughout the window, if it was observed throughout.
    pub(crate) fn lowest_need(&self, now: Instant, window: Duration) -> Option<u32> {
        let needs = self.recent(now, window).map(|sample| sample.need);
        self.covers(now, window).then(|| needs.min()).flatten()
    }

    /// Returns the number of targets that some time in the window justifies, if it was observed throughout.
    pub(crate) fn highest_keep(&self, now: Instant, window: Duration) -> Option<u32> {
        let keeps = self.recent(now, window).map(|sample| sample.keep);
        self.covers(now, window).then(|| keeps.max()).flatten()
    }

    /// Returns the median of the demand in the window and of `latest`. Bursts shorter than half of the window do
    /// not change it.
    pub(crate) fn median_demand(&self, now: Instant, window: Duration, latest: f64) -> f64 {
        let demands = self.recent(now, window).map(|sample| sample.demand);
        let mut demands: Vec<f64> = demands.chain([latest]).collect();
        demands.sort_unstable_by(f64::total_cmp);
        demands[demands.len() / 2]
    }

    /// Returns a lower bound on the increase of the demand per second over the window, or 0 if there is none or
    /// the window was not observed throughout. Least squares less some standard errors, so that neither chance
    /// nor a burst counts as a trend.
    pub(crate) fn increase(&self, now: Instant, window: Duration) -> f64 {
        let points = self.recent(now, window).map(|sample| {
            let age = now.saturating_duration_since(sample.at).as_secs_f64();
            (-age, sample.demand)
        });
        let points: Vec<(f64, f64)> = points.collect();
        if !self.covers(now, window) || points.len() < MIN_TREND_SAMPLES {
            return 0.0;
        }
        let count = points.len() as f64;
        let time = points.iter().map(|point| point.0).sum::<f64>() / count;
        let demand = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.0 - time).powi(2)).sum();
        if spread <= f64::EPSILON {
            return 0.0;
        }
        let products = points.iter().map(|(t, d)| (t - time) * (d - demand));
        let slope = products.sum::<f64>() / spread;
        let errors = points
            .iter()
            .map(|(t, d)| (d - demand - slope * (t - time)).powi(2));
        let error = (errors.sum::<f64>() / (count - 2.0) / spread).sqrt();
        (slope - TREND_ERRORS * error).max(0.0)
    }
}
