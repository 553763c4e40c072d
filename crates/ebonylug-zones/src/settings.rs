use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Zones that a map keeps. A deployment has at most 8; the rest guards against bad input.
pub const MAX_ZONES: usize = 64;
/// Targets that a map keeps.
pub const MAX_TARGETS: usize = 4_096;

/// Times and thresholds of a [`ZoneMap`](crate::ZoneMap).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Time after which a target that was not heard counts as silent. Targets report at least
    /// every second, so that one report may come half a second late.
    #[serde(rename = "silent")]
    pub target_timeout: Duration,
    /// Time after which the targets of a zone count as silent if only one or two were heard lately. It is
    /// longer, since one lost report is common and would darken the zone.
    #[serde(rename = "alone")]
    pub sparse_timeout: Duration,
    /// Part of a zone's targets that must be silent for the zone to be dark.
    #[serde(rename = "dark")]
    pub outage_fraction: f64,
    /// Part of a zone's targets that may be silent in a zone that returns.
    #[serde(rename = "back")]
    pub recovery_fraction: f64,
    /// Time from the return of a zone to full interactive work.
    pub ramp: Duration,
    /// Interactive work at the start of the return.
    #[serde(rename = "first")]
    pub initial_share: f64,
    /// Time during which a zone must not go dark again for its next return to be fast.
    #[serde(rename = "calm")]
    pub flap_window: Duration,
    /// Time during which batch work in other zones is slowed after a loss.
    #[serde(rename = "relief")]
    pub batch_ramp: Duration,
    /// Two zones that go dark within this time went dark together.
    #[serde(rename = "together")]
    pub correlation_window: Duration,
    /// Times that two zones must have gone dark together to be related.
    #[serde(rename = "repeats")]
    pub min_outages: u32,
    /// Time during which a zone that is related to a dark one gets little batch work.
    #[serde(rename = "caution")]
    pub throttle_time: Duration,
    /// Batch work in that time.
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
