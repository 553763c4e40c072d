use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The outcome of one request, as observed by an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Whether the complete response arrived.
    pub success: bool,
    /// Whether the response exceeded the [`LatencyThresholds`] of the route.
    pub slow: bool,
    /// Whether the target was in cold start.
    pub cold: bool,
    /// Whether a failure was caused by overload of the target.
    pub overload: bool,
    /// Time to the first token, or to the response of a service that does not stream.
    pub ttft: Option<Duration>,
    /// Mean time between tokens.
    pub token_interval: Option<Duration>,
}

impl Sample {
    /// Returns the sample of a complete response with normal latency.
    #[must_use]
    pub const fn success() -> Self {
        Sample {
            success: true,
            slow: false,
            cold: false,
            overload: false,
            ttft: None,
            token_interval: None,
        }
    }

    /// Returns the sample of a failed request.
    #[must_use]
    pub const fn failure() -> Self {
        Sample {
            success: false,
            ..Self::success()
        }
    }

    /// Sets the latencies, and marks the response as slow if it exceeds `thresholds`.
    #[must_use]
    pub fn with_latency(
        mut self,
        ttft: Duration,
        token_interval: Option<Duration>,
        thresholds: Option<LatencyThresholds>,
    ) -> Self {
        self.ttft = Some(ttft);
        self.token_interval = token_interval;
        self.slow = thresholds.is_some_and(|thresholds| thresholds.is_slow(ttft, token_interval));
        self
    }

    /// Sets whether the target was in cold start.
    #[must_use]
    pub const fn cold(mut self, cold: bool) -> Self {
        self.cold = cold;
        self
    }

    /// Sets whether the response was slow.
    #[must_use]
    pub const fn slow(mut self, slow: bool) -> Self {
        self.slow = slow;
        self
    }

    /// Sets whether a failure was caused by overload of the target.
    #[must_use]
    pub const fn overload(mut self, overload: bool) -> Self {
        self.overload = overload;
        self
    }
}

/// The latencies above which a response of a route counts as slow.
///
/// About one response in twenty of a healthy version should exceed them, as with the 95th
/// percentiles of the old version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyThresholds {
    /// Limit of the time to the first token.
    #[serde(rename = "first")]
    pub ttft: Duration,
    /// Limit of the mean time between tokens.
    #[serde(rename = "token")]
    pub token_interval: Duration,
}

impl LatencyThresholds {
    /// Returns thresholds that are this many times as high.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        let scale = |time: Duration| {
            Duration::try_from_secs_f64(time.as_secs_f64() * factor).unwrap_or(Duration::MAX)
        };
        LatencyThresholds {
            ttft: scale(self.ttft),
            token_interval: scale(self.token_interval),
        }
    }

    /// Reports whether a response with these latencies is slow.
    #[must_use]
    pub fn is_slow(&self, ttft: Duration, token_interval: Option<Duration>) -> bool {
        ttft > self.ttft || token_interval.is_some_and(|interval| interval > self.token_interval)
    }
}

/// Counters of one process for one version and route in one bucket. They never decrease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "[u64; 7]", from = "[u64; 7]")]
pub struct Counts {
    /// Complete responses of warm targets.
    pub successes: u64,
    /// Failures, except those of cold targets caused by overload.
    pub failures: u64,
    /// Slow responses among `successes`.
    pub slow: u64,
    /// Requests excluded from the comparison: responses of cold targets, and failures of cold
    /// targets caused by overload.
    pub cold: u64,
    /// Responses among `successes` that have latencies.
    pub timed: u64,
    /// Sum of the times to the first token, in microseconds.
    pub ttft_us: u64,
    /// Sum of the mean times between tokens, in microseconds.
    pub interval_us: u64,
}

impl Counts {
    /// Returns the number of requests that count in the comparison of versions.
    #[must_use]
    pub const fn eligible(&self) -> u64 {
        self.successes.saturating_add(self.failures)
    }

    /// Counts the outcome of one request.
    pub fn add(&mut self, sample: Sample) {
        if sample.cold && (sample.success || sample.overload) {
            self.cold += 1;
            return;
        }
        if !sample.success {
            self.failures += 1;
            return;
        }
        self.successes += 1;
        self.slow += u64::from(sample.slow);
        if let Some(ttft) = sample.ttft {
            self.timed += 1;
            self.ttft_us += micros(ttft);
            self.interval_us += sample.token_interval.map_or(0, micros);
        }
    }

    pub(crate) fn max(self, other: Counts) -> Counts {
        self.zip(other, u64::max)
    }

    pub(crate) fn plus(self, other: Counts) -> Counts {
        self.zip(other, u64::saturating_add)
    }

    pub(crate) fn minus(self, other: Counts) -> Counts {
        self.zip(other, u64::saturating_sub)
    }

    fn zip(self, other: Counts, f: fn(u64, u64) -> u64) -> Counts {
        let (a, b): ([u64; 7], [u64; 7]) = (self.into(), other.into());
        std::array::from_fn::<u64, 7, _>(|i| f(a[i], b[i])).into()
    }
}

impl From<Counts> for [u64; 7] {
    fn from(c: Counts) -> Self {
        [
            c.successes,
            c.failures,
            c.slow,
            c.cold,
            c.timed,
            c.ttft_us,
            c.interval_us,
        ]
    }
}

impl From<[u64; 7]> for Counts {
    fn from([successes, failures, slow, cold, timed, ttft_us, interval_us]: [u64; 7]) -> Self {
        Counts {
            successes,
            failures,
            slow,
            cold,
            timed,
            ttft_us,
            interval_us,
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
