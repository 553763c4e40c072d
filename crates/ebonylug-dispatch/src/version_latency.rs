use std::time::Duration;

use ebonylug_core::Name;
use ebonylug_moves::LatencyBaselines;

/// How much longer a response may take than nineteen in twenty of the old version before it counts as slow.
/// Targets of one version differ in speed, and all those of a new version may be of the slow kind.
const MARGIN: f64 = 1.25;
/// Work before the first event of a stream that does not depend on its prompt, in prompt tokens.
const FIRST_EVENT_OVERHEAD: u32 = 200;
/// The size of the prompt for which the time to the first event is normalized, in tokens.
const REFERENCE_PROMPT: f64 = 1_000.0;

/// The latencies of a response, normalized so that those of different requests can be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseLatency {
    /// Time from the send to the first event for a prompt of 1,000 tokens, or to the end of a response that
    /// is not a stream.
    pub first: Duration,
    /// Mean time between two events.
    pub interval: Option<Duration>,
}

impl ResponseLatency {
    /// Returns the latencies of a stream for a request with `prompt` tokens.
    #[must_use]
    pub fn of_stream(first: Duration, prompt: u32, interval: Option<Duration>) -> Self {
        let tokens = f64::from(prompt.saturating_add(FIRST_EVENT_OVERHEAD));
        ResponseLatency {
            first: first.mul_f64(REFERENCE_PROMPT / tokens),
            interval,
        }
    }

    /// Returns the latency of a response that is not a stream.
    #[must_use]
    pub fn of_response(total: Duration) -> Self {
        ResponseLatency {
            first: total,
            interval: None,
        }
    }
}

/// Latencies of the versions that services run, with which those of a version on trial are compared.
///
/// A version that is several times slower may still meet the latency objectives of its routes while the load
/// is low, and misses them once it gets all requests. Its responses are therefore compared with those
/// that the old version gives at the same time.
///
/// ```
/// use std::time::Duration;
/// use ebonylug_core::Name;
/// use ebonylug_dispatch::{ResponseLatency, VersionLatencies};
///
/// let pool = Name::new("pool");
/// let response = |ms| ResponseLatency::of_response(Duration::from_millis(ms));
/// let mut latencies = VersionLatencies::default();
/// assert_eq!(latencies.is_slow(&pool, response(400)), None);
/// for ms in 50..100 {
///     latencies.record_old(&pool, response(ms));
/// }
/// assert_eq!(latencies.is_slow(&pool, response(110)), Some(false));
/// assert_eq!(latencies.is_slow(&pool, response(400)), Some(true));
/// ```
#[derive(Debug, Default)]
pub struct VersionLatencies {
    baselines: LatencyBaselines,
}

impl VersionLatencies {
    /// Records a response of a version that is not on trial.
    pub fn record_old(&mut self, service: &Name, latency: ResponseLatency) {
        self.baselines
            .record(service, latency.first, latency.interval);
    }

    /// Reports whether a response took clearly longer than those of the old version do. Returns `None` until
    /// enough of them are known.
    #[must_use]
    pub fn is_slow(&self, service: &Name, latency: ResponseLatency) -> Option<bool> {
        let thresholds = self.baselines.get(service)?.scaled(MARGIN);
        Some(thresholds.is_slow(latency.first, latency.interval))
    }
}
