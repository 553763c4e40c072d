use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What an entry saw of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Whether the whole answer arrived.
    pub answered: bool,
    /// Whether the answer was slower than the route's reference.
    pub slow: bool,
    /// Whether the target was in cold start.
    pub cold: bool,
    /// Whether a failure was caused by more load than the target bears.
    pub overload: bool,
    /// Time to the first token, or to the answer of a plain service.
    pub first: Option<Duration>,
    /// Mean time between tokens.
    pub token: Option<Duration>,
}

impl Sample {
    /// A whole answer in normal time.
    #[must_use]
    pub const fn answered() -> Self {
        Sample {
            answered: true,
            slow: false,
            cold: false,
            overload: false,
            first: None,
            token: None,
        }
    }

    /// A failure.
    #[must_use]
    pub const fn failed() -> Self {
        Sample {
            answered: false,
            ..Self::answered()
        }
    }

    /// Adds the latencies and decides by `reference` whether the answer was slow.
    #[must_use]
    pub fn timed(
        mut self,
        first: Duration,
        token: Option<Duration>,
        reference: Option<Reference>,
    ) -> Self {
        self.first = Some(first);
        self.token = token;
        self.slow = reference.is_some_and(|reference| reference.is_slow(first, token));
        self
    }

    /// Marks the target as cold.
    #[must_use]
    pub const fn cold(mut self, cold: bool) -> Self {
        self.cold = cold;
        self
    }

    /// Marks the answer as slow.
    #[must_use]
    pub const fn slow(mut self, slow: bool) -> Self {
        self.slow = slow;
        self
    }

    /// Marks a failure as caused by overload.
    #[must_use]
    pub const fn overload(mut self, overload: bool) -> Self {
        self.overload = overload;
        self
    }
}

/// The latencies above which an answer of a route is slow.
///
/// About one answer in twenty of a healthy version should exceed it, for example the 95th
/// percentiles of the old version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reference {
    /// Time to the first token.
    pub first: Duration,
    /// Mean time between tokens.
    pub token: Duration,
}

impl Reference {
    /// Reports whether an answer was slow.
    #[must_use]
    pub fn is_slow(&self, first: Duration, token: Option<Duration>) -> bool {
        first > self.first || token.is_some_and(|token| token > self.token)
    }
}

/// Counts of one process for one version and route in one bucket. They only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "[u64; 7]", from = "[u64; 7]")]
pub struct Counts {
    /// Whole answers of warm targets.
    pub answers: u64,
    /// Failures, without those of cold targets by overload.
    pub failures: u64,
    /// The part of `answers` that was slow.
    pub slow: u64,
    /// Requests that say nothing about the version: answers of cold targets, and failures of
    /// cold targets by overload.
    pub cold: u64,
    /// The part of `answers` that has latencies.
    pub timed: u64,
    /// Sum of the times to the first token, in microseconds.
    pub first: u64,
    /// Sum of the mean times between tokens, in microseconds.
    pub token: u64,
}

impl Counts {
    /// Returns the requests that say something about the version.
    #[must_use]
    pub const fn judged(&self) -> u64 {
        self.answers.saturating_add(self.failures)
    }

    /// Adds one request.
    pub fn add(&mut self, sample: Sample) {
        if sample.cold && (sample.answered || sample.overload) {
            self.cold += 1;
            return;
        }
        if !sample.answered {
            self.failures += 1;
            return;
        }
        self.answers += 1;
        self.slow += u64::from(sample.slow);
        if let Some(first) = sample.first {
            self.timed += 1;
            self.first += micros(first);
            self.token += sample.token.map_or(0, micros);
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
            c.answers, c.failures, c.slow, c.cold, c.timed, c.first, c.token,
        ]
    }
}

impl From<[u64; 7]> for Counts {
    fn from([answers, failures, slow, cold, timed, first, token]: [u64; 7]) -> Self {
        Counts {
            answers,
            failures,
            slow,
            cold,
            timed,
            first,
            token,
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
