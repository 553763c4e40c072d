use ebonylug_core::CrashCause;
use serde::{Deserialize, Serialize};

use crate::gossip::RolloutStatus;
use crate::readers::TableState;

/// The state of an entry, as shown to operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overview {
    /// The name of the entry.
    pub entry: Box<str>,
    /// Its availability zone.
    pub zone: Box<str>,
    /// Whether the entry reports itself ready to the load balancer.
    pub ready: bool,
    /// The version of its configuration; 0 if it has none.
    pub config: u64,
    /// Time since that version was last known to be current, in milliseconds.
    pub config_age: Option<u64>,
    /// The rows of the platform's tables that the entry has. Entries with different digests have different
    /// rows.
    pub tables: TableState,
    /// Number of reachable entries, including this one.
    #[serde(rename = "heard")]
    pub reachable: usize,
    /// Number of known entries, including this one.
    pub known: usize,
    /// Requests queued at this entry.
    pub waiting: usize,
    /// Requests in progress at this entry.
    pub active: usize,
    /// Drained availability zones, whose targets get no requests.
    pub drained: Vec<Box<str>>,
    /// All targets, ordered by service and name.
    pub targets: Vec<TargetOverview>,
    /// The active moves.
    pub moves: Vec<RolloutStatus>,
    /// What is refused because it crashes targets: contents and prompt parts.
    pub quarantined: Vec<CrashCause>,
    /// The duties of one entry at a time, where one is configured.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub duties: Option<DutyOverview>,
}

/// An entry's view of the duties of one entry at a time, as shown to operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyOverview {
    /// The entry that holds the duties, if known.
    pub holder: Option<Box<str>>,
    /// The fencing token, if this entry holds the duties.
    pub fence: Option<u64>,
    /// Time for which this entry has held them, in milliseconds.
    pub held_ms: Option<u64>,
    /// The highest window known to have a usage report; 0 if none.
    pub reported: u64,
    /// The last window whose report was accepted from this entry.
    pub accepted: Option<u64>,
    /// Reports in the store that have not been accepted, as far as this entry knows.
    pub open: usize,
    /// Reports of this entry that were accepted after they were due.
    pub late: u64,
    /// Windows that this entry left out.
    pub left_out: u64,
}

/// An entry's view of a target, as shown to operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetOverview {
    /// The service that the target belongs to.
    pub service: Box<str>,
    /// The name of the target.
    pub name: Box<str>,
    /// Its availability zone.
    pub zone: Box<str>,
    /// The version of its software.
    pub version: Box<str>,
    /// `serving`, `leaving`, `paused` at its own request, `resting` while it is unhealthy, or `drained` together
    /// with its zone.
    pub state: Box<str>,
    /// Requests of this entry in flight at the target.
    pub own: u32,
    /// Requests in flight at the target from this entry and all reachable peers.
    pub all: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// What the target last said about its load.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reported: Option<ReportOverview>,
}

/// What a target last said about its load, as shown to operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReportOverview {
    /// Requests that the target runs.
    pub running: u32,
    /// Requests that wait inside the target.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// How long work takes on the machine, in percent of the usual time.
    pub slowness: Option<u32>,
    /// Time since the target said so, in milliseconds.
    pub age: u64,
    /// The lasting time per unit of work, in microseconds.
    pub lasting_pace: Option<u64>,
}

/// The recent reports of all targets of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportSums {
    /// Targets with a recent report that states the slowness.
    pub targets: u32,
    /// Requests that they run.
    pub running: u32,
    /// Requests that wait inside them.
    pub waiting: u32,
    /// Sum of their slowness, in percent.
    pub slowness: u32,
}
