use ebonylug_core::Fingerprint;
use serde::{Deserialize, Serialize};

use crate::gossip::RolloutStatus;

/// What an entry has in force, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overview {
    /// The name of the entry.
    pub entry: Box<str>,
    /// Its availability zone.
    pub zone: Box<str>,
    /// Whether it tells the balancer that it can serve.
    pub ready: bool,
    /// The version of its configuration; 0 if it has none.
    pub config: u64,
    /// Milliseconds since that was known to be the newest one.
    pub config_age: Option<u64>,
    /// Entries that are heard, with this one.
    #[serde(rename = "heard")]
    pub reachable: usize,
    /// Entries that are known, with this one.
    pub known: usize,
    /// Requests that wait for a target here.
    pub waiting: usize,
    /// Requests that have not ended here.
    pub active: usize,
    /// Availability zones that get nothing.
    pub drained: Vec<Box<str>>,
    /// All targets, by service and name.
    pub targets: Vec<TargetOverview>,
    /// The moves in force.
    pub moves: Vec<RolloutStatus>,
    /// Contents of requests that are refused because they crash targets.
    pub quarantined: Vec<Fingerprint>,
}

/// What an entry knows of a target, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetOverview {
    /// The service.
    pub service: Box<str>,
    /// The name of the target.
    pub name: Box<str>,
    /// Its availability zone.
    pub zone: Box<str>,
    /// The version of its software.
    pub version: Box<str>,
    /// What it is used for: `serving`, `leaving`, `resting` after failures, or `drained` with its zone.
    pub state: Box<str>,
    /// Requests of this entry that it runs.
    pub own: u32,
    /// Requests of all entries that it runs, as far as they are heard.
    pub all: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}
