use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use ebonylug_core::Name;
use ebonylug_net::key::SharedKey;
use ebonylug_net::settings::{self, Invalid};

/// What stands beside the sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetKind {
    /// A model engine, whose load is counted in tokens.
    Model,
    /// A plain service, whose load is counted in calls.
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
    /// What the target is.
    pub kind: TargetKind,
    /// The address of the target.
    pub address: SocketAddr,
    /// Where dispatches are received.
    pub data: SocketAddr,
    /// Where control calls are received.
    pub control: SocketAddr,
    /// The key that all processes of the deployment share.
    pub key: SharedKey,
    /// Work that the target bears in cold start, in tokens (model) or calls (service).
    #[serde(default = "default_cold")]
    pub cold_limit: u64,
    /// Attempts that the target bears in cold start.
    #[serde(default = "default_cold_attempts")]
    pub cold_attempts: u32,
    /// The limit never rises above this, in tokens (model) or calls (service).
    #[serde(default = "default_ceiling")]
    pub ceiling: u64,
    /// Time without a byte from the target after which the connection counts as silent.
    #[serde(default = "default_silence", deserialize_with = "settings::seconds")]
    pub silence: Duration,
    /// The balancer's lag: how long a stopping process still accepts connections.
    #[serde(default = "default_lag", deserialize_with = "settings::seconds")]
    pub lag: Duration,
    /// Bound on the time that a stopping process waits for its work.
    #[serde(default = "default_bound", deserialize_with = "settings::seconds")]
    pub bound: Duration,
    /// Threads that serve HTTP.
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
    /// Checks ranges that the types do not express.
    ///
    /// # Errors
    ///
    /// Names the first setting that is out of range.
    pub fn check(&self) -> Result<(), Invalid> {
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
