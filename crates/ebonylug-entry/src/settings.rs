use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use ebonylug_core::Name;
use ebonylug_net::key::SharedKey;
use ebonylug_net::settings::{self, Invalid};
use ebonylug_resource::TokenHash;

/// The settings file of an entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Settings {
    /// The name of this instance in the platform's instance list.
    pub instance: Name,
    /// The availability zone of this instance.
    pub zone: Name,
    /// Where callers and operators are served.
    pub listen: SocketAddr,
    /// Where other entries' control calls are received.
    pub control: SocketAddr,
    /// The key that all processes of the deployment share.
    pub key: SharedKey,
    /// The platform's service.
    pub platform: SocketAddr,
    /// Control addresses of other entries, which are asked for the configuration when this entry
    /// starts while the platform's service does not answer.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Operators, by the hashes of their tokens.
    pub operators: Vec<Operator>,
    /// Number of targets that this entry sends work to; all of them if there are fewer.
    #[serde(default = "default_subset")]
    pub subset: usize,
    /// The balancer's lag: how long a stopping process still accepts connections.
    #[serde(default = "default_lag", deserialize_with = "settings::seconds")]
    pub lag: Duration,
    /// Bound on the time that a stopping process waits for its work.
    #[serde(default = "default_bound", deserialize_with = "settings::seconds")]
    pub bound: Duration,
    /// Time without progress after which a caller that does not read is given up.
    #[serde(default = "default_stall", deserialize_with = "settings::seconds")]
    pub stall: Duration,
    /// Threads that serve HTTP.
    #[serde(default = "default_workers")]
    pub workers: usize,
}

/// What an operator may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Read resources and events.
    Viewer,
    /// Read and change resources.
    Admin,
}

/// A person or program that drives the resource API.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Operator {
    /// The name, for logs.
    pub name: Name,
    /// The hash of the bearer token.
    pub token: TokenHash,
    /// What the operator may do.
    pub role: Role,
}

fn default_subset() -> usize {
    40
}

fn default_lag() -> Duration {
    Duration::from_secs(1)
}

fn default_bound() -> Duration {
    Duration::from_secs(600)
}

fn default_stall() -> Duration {
    Duration::from_secs(30)
}

fn default_workers() -> usize {
    2
}

impl Settings {
    /// Checks ranges that the types do not express.
    ///
    /// # Errors
    ///
    /// Names the first setting that is out of range.
    pub fn check(&self) -> Result<(), Invalid> {
        settings::check(&[
            (self.subset > 0, "subset", "must be above 0"),
            (self.workers > 0, "workers", "must be above 0"),
            (!self.stall.is_zero(), "stall", "must be above 0"),
            (
                !self.operators.is_empty(),
                "operators",
                "must name at least one operator",
            ),
        ])
    }
}
