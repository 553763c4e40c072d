use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use ebonylug_core::Name;
use ebonylug_net::key::SharedKey;
use ebonylug_net::settings::{self, InvalidSetting};
use ebonylug_resource::TokenHash;

/// The settings file of an entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Settings {
    /// The name of this instance in the platform's instance list.
    pub instance: Name,
    /// The availability zone of this instance.
    pub zone: Name,
    /// The address that serves callers and operators.
    pub listen: SocketAddr,
    /// The address that receives control calls of other entries.
    pub control: SocketAddr,
    /// The key that all processes of the deployment share.
    pub key: SharedKey,
    /// The address of the platform's service.
    pub platform: SocketAddr,
    /// Control addresses of other entries. They provide the configuration if this entry starts
    /// while the platform's service is unavailable.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The operators that may use the resource API; at least one.
    pub operators: Vec<Operator>,
    /// Maximum number of targets that this entry sends requests to.
    #[serde(default = "default_subset")]
    pub subset: usize,
    /// Time for which a stopping process still accepts connections, until load balancers have
    /// removed it.
    #[serde(default = "default_lag", deserialize_with = "settings::seconds")]
    pub lag: Duration,
    /// Maximum time for which a stopping process waits for the requests in flight.
    #[serde(default = "default_bound", deserialize_with = "settings::seconds")]
    pub bound: Duration,
    /// Timeout for sending a part of a response to a caller that does not read.
    #[serde(default = "default_stall", deserialize_with = "settings::seconds")]
    pub stall: Duration,
    /// Number of threads that serve HTTP.
    #[serde(default = "default_workers")]
    pub workers: usize,
}

/// The permissions of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// May read resources and events.
    Viewer,
    /// May read and change resources.
    Admin,
}

/// A person or program that uses the resource API.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Operator {
    /// The name of the operator.
    pub name: Name,
    /// The hash of the operator's bearer token.
    pub token: TokenHash,
    /// The permissions granted by the token.
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
    /// Validates the ranges of the settings.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range.
    pub fn check(&self) -> Result<(), InvalidSetting> {
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
