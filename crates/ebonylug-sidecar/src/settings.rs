use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use ebonylug_core::Name;
use ebonylug_net::key::SharedKey;
use ebonylug_net::settings::{self, InvalidSetting};

/// The type of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetKind {
    /// A model engine, whose load is measured in tokens.
    Model,
    /// A plain service, whose load is measured in concurrent calls.
    Service,
}

/// The settings file of a sidecar.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Settings {
    /// The name of this instance in the platform's instance list.
    pub instance: Name,
    /// The availability zone of this instance.
    pub zone: Name,
    /// The name of the target.
    pub target: Name,
    /// The type of the target.
    pub kind: TargetKind,
    /// The address of the target.
    pub address: SocketAddr,
    /// The address that serves dispatches.
    pub data: SocketAddr,
    /// The address that serves control calls.
    pub control: SocketAddr,
    /// The key that all processes of the deployment share.
    pub key: SharedKey,
    /// Load that the target can handle in cold start, in tokens (model) or calls (service).
    #[serde(default = "default_cold")]
    pub cold_limit: u64,
    /// Number of concurrent attempts that the target can handle in cold start.
    #[serde(default = "default_cold_attempts")]
    pub cold_attempts: u32,
    /// Upper bound of the adaptive limit, in tokens (model) or calls (service).
    #[serde(default = "default_ceiling")]
    pub ceiling: u64,
    /// Time without a byte from the target after which its connection is considered stalled.
    #[serde(default = "default_silence", deserialize_with = "settings::seconds")]
    pub silence: Duration,
    /// Time for which a stopping process still accepts connections, until load balancers have
    /// removed it.
    #[serde(default = "default_lag", deserialize_with = "settings::seconds")]
    pub lag: Duration,
    /// Maximum time for which a stopping process waits for the attempts in flight.
    #[serde(default = "default_bound", deserialize_with = "settings::seconds")]
    pub bound: Duration,
    /// Number of threads that serve HTTP.
    #[serde(default = "default_workers")]
    pub workers: usize,
}

fn default_cold() -> u64 {
    4_096
}

fn default_cold_attempts() -> u32 {
    2
}

fn default_ceiling() -> u64 {
    1 << 20
}

fn default_silence() -> Duration {
    Duration::from_secs(10)
}

fn default_lag() -> Duration {
    Duration::from_secs(1)
}

fn default_bound() -> Duration {
    Duration::from_secs(600)
}

fn default_workers() -> usize {
    1
}

impl Settings {
    /// Validates the ranges of the settings.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        settings::check(&[
            (self.cold_limit > 0, "coldLimit", "must be above 0"),
            (self.cold_attempts > 0, "coldAttempts", "must be above 0"),
            (
                self.ceiling >= self.cold_limit,
                "ceiling",
                "must be at least coldLimit",
            ),
            (!self.silence.is_zero(), "silence", "must be above 0"),
            (self.workers > 0, "workers", "must be above 0"),
        ])
    }
}
