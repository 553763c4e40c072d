use std::time::Duration;

use ebonylug_core::Tokens;
use serde::{Deserialize, Serialize};

/// Settings of a [`Router`](crate::Router). A field that is left out has its default value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Number of queued requests above which the lowest tier is shed.
    pub capacity: usize,
    /// Expected work of the queued requests above which the lowest tier is shed.
    pub work: Tokens,
    /// Number of queued requests above which interactive requests are refused even while batch
    /// work exists. It bounds memory and should exceed the number of connections of the process.
    pub ceiling: usize,
    /// The longest network round trip to a sidecar. A report that arrives within this time after
    /// a dispatch is assumed not to include it.
    pub round_trip: Duration,
    /// Number of random targets that are compared for each dispatch.
    pub choices: usize,
    /// The factor applied to the speed of a target in cold start.
    pub cold_speed: f64,
    /// Prefix affinity applies to targets whose utilisation is at most this multiple of the
    /// average.
    pub affinity_bound: f64,
    /// Utilisation up to which prefix affinity applies regardless of the average.
    pub affinity_floor: f64,
    /// Prompt tokens per block hash.
    pub block: Tokens,
    /// Number of block hashes of a request that are used; the rest are ignored.
    pub blocks: usize,
    /// Maximum number of block hashes in the prefix index.
    pub hints: usize,
    /// The pause after a first refusal by a target; it doubles with each further refusal, up to
    /// `backoff_max`.
    pub backoff: Duration,
    /// The longest pause after a refusal by a target.
    pub backoff_max: Duration,
    /// Maximum number of retries in a burst.
    pub retry_burst: f64,
    /// Retries added to the budget by each first dispatch.
    pub retry_ratio: f64,
    /// Retries added to the budget per second.
    pub retry_rate: f64,
    /// Number of refusals of an interactive request that take nothing from the retry budget, since
    /// the first ones mostly result from stale reports.
    pub free_refusals: u32,
    /// Number of refusals after which a request is shed, unless it has run in part or is an
    /// interactive one while batch work exists.
    pub max_refusals: u32,
    /// Expected output of a request before any output has been observed.
    pub initial_output: Tokens,
    /// Number of mean absolute deviations that the expected output is above the mean.
    pub output_margin: f64,
    /// Maximum number of stored output estimates, by organisation and route.
    pub estimates: usize,
    /// A batch request whose deadline is nearer than this is dispatched ahead of fair order.
    pub urgent_slack: Duration,
    /// Batch work is urgent if its expected duration exceeds the time to its deadline divided by
    /// this factor.
    pub urgent_safety: f64,
    /// Number of waiting requests to try when the version of the first has no headroom.
    pub lookahead: usize,
}

/// The error returned when a setting is out of range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("setting {field}: {reason}")]
pub struct SettingsError {
    field: &'static str,
    reason: &'static str,
}

impl Settings {
    /// Checks that each setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first field that is out of range, and its valid range.
    pub fn check(&self) -> Result<(), SettingsError> {
        let positive = "must be above zero";
        let checks = [
            ("capacity", self.capacity > 0, positive),
            ("work", self.work > Tokens::ZERO, positive),
            (
                "ceiling",
                self.ceiling >= self.capacity,
                "must not be below capacity",
            ),
            ("choices", self.choices > 0, positive),
            (
                "cold_speed",
                self.cold_speed > 0.0 && self.cold_speed <= 1.0,
                "must be above 0 and at most 1",
            ),
            (
                "affinity_bound",
                self.affinity_bound >= 1.0,
                "must be at least 1",
            ),
            (
                "affinity_floor",
                self.affinity_floor >= 0.0,
                "must not be negative",
            ),
            ("block", self.block > Tokens::ZERO, positive),
            ("backoff", !self.backoff.is_zero(), positive),
            (
                "backoff_max",
                self.backoff_max >= self.backoff,
                "must not be below backoff",
            ),
            ("retry_burst", self.retry_burst >= 1.0, "must be at least 1"),
            (
                "retry_ratio",
                self.retry_ratio >= 0.0,
                "must not be negative",
            ),
            ("retry_rate", self.retry_rate > 0.0, positive),
            (
                "output_margin",
                self.output_margin >= 0.0,
                "must not be negative",
            ),
            (
                "urgent_safety",
                self.urgent_safety >= 1.0,
                "must be at least 1",
            ),
            ("lookahead", self.lookahead > 0, positive),
        ];
        for (field, valid, reason) in checks {
            if !valid {
                return Err(SettingsError { field, reason });
            }
        }
        Ok(())
    }
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            capacity: 4_096,
            work: Tokens(64_000_000),
            ceiling: 65_536,
            round_trip: Duration::from_millis(5),
            choices: 3,
            cold_speed: 0.5,
            affinity_bound: 1.25,
            affinity_floor: 0.5,
            block: Tokens(64),
            blocks: 32,
            hints: 65_536,
            backoff: Duration::from_millis(50),
            backoff_max: Duration::from_millis(1_600),
            retry_burst: 50.0,
            retry_ratio: 0.2,
            retry_rate: 10.0,
            free_refusals: 2,
            max_refusals: 32,
            initial_output: Tokens(256),
            output_margin: 0.5,
            estimates: 16_384,
            urgent_slack: Duration::from_secs(60),
            urgent_safety: 1.25,
            lookahead: 16,
        }
    }
}
