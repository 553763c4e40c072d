use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Maximum number of zones in a map. A deployment has at most 8; the bound guards against bad
/// input.
pub const MAX_ZONES: usize = 64;
/// Maximum number of targets in a map. Reports of further targets are ignored.
pub const MAX_TARGETS: usize = 4_096;

/// Timeouts and thresholds of a [`ZoneMap`](crate::ZoneMap).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Age of the last report above which a target counts as stale. Targets report at least every
    /// second, so a report may be delayed by half a second.
    #[serde(rename = "silent")]
    pub target_timeout: Duration,
    /// Timeout in place of `target_timeout` if at most two targets of a zone have reported
    /// recently. It is longer, since the loss of a single report is common and would make the
    /// whole zone unreachable.
    #[serde(rename = "alone")]
    pub sparse_timeout: Duration,
    /// Minimum fraction of stale targets for a zone to become unreachable.
    #[serde(rename = "dark")]
    pub outage_fraction: f64,
    /// Maximum fraction of stale targets for an unreachable zone to start its recovery.
    #[serde(rename = "back")]
    pub recovery_fraction: f64,
    /// Time from the start of the recovery of a zone to the full share of interactive work.
    pub ramp: Duration,
    /// Share of interactive work at the start of the recovery.
    #[serde(rename = "first")]
    pub initial_share: f64,
    /// Time after a loss within which another loss doubles the ramp time of the zone.
    #[serde(rename = "calm")]
    pub flap_window: Duration,
    /// Time after the loss of a zone within which the batch share of the other zones returns to
    /// full.
    #[serde(rename = "relief")]
    pub batch_ramp: Duration,
    /// Two outages that begin within this time are joint.
    #[serde(rename = "together")]
    pub correlation_window: Duration,
    /// Minimum count of joint outages for two zones to be correlated.
    #[serde(rename = "repeats")]
    pub min_outages: u32,
    /// Time during which batch work is throttled in a zone that is correlated with an unreachable
    /// one.
    #[serde(rename = "caution")]
    pub throttle_time: Duration,
    /// Upper bound of the batch share while batch work is throttled.
    #[serde(rename = "little")]
    pub throttle_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            target_timeout: Duration::from_millis(1_500),
            sparse_timeout: Duration::from_millis(2_500),
            outage_fraction: 0.6,
            recovery_fraction: 0.4,
            ramp: Duration::from_secs(20),
            initial_share: 0.1,
            flap_window: Duration::from_secs(600),
            batch_ramp: Duration::from_secs(60),
            correlation_window: Duration::from_secs(5),
            min_outages: 2,
            throttle_time: Duration::from_secs(30),
            throttle_share: 0.25,
        }
    }
}
