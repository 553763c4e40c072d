use std::future::Future;

use ebonylug_core::Name;
use serde::{Deserialize, Serialize};

use crate::Result;

/// The state of an instance in the instance list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance runs.
    Live,
    /// The instance is about to stop.
    Leaving,
}

/// One entry of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// The name of the instance.
    pub instance: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Whether it runs or is about to stop.
    pub state: InstanceState,
    /// `ip:port` of the sidecar's data path, or of the port on which an entry serves callers.
    pub data: Box<str>,
    /// `ip:port` of the listener for control connections.
    pub control: Box<str>,
    /// The name of the target that the sidecar serves; entries have none.
    #[serde(default)]
    pub target: Option<Name>,
}

/// The platform's list of instances, which may be stale.
pub trait InstanceList: Send + Sync {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// Fails if the service does not respond.
    fn instances(&self) -> impl Future<Output = Result<Vec<InstanceRow>>> + Send;
}
