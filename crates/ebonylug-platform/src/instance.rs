use std::future::Future;

use ebonylug_core::Name;
use serde::{Deserialize, Serialize};

use crate::Result;

/// Whether an instance is to stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance runs.
    Live,
    /// The instance is about to stop.
    Leaving,
}

/// One line of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// The name of the instance.
    pub instance: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Whether it is to stay.
    pub state: InstanceState,
    /// `ip:port` of the sidecar's data path, or of the entry's caller port.
    pub data: Box<str>,
    /// `ip:port` of the control path.
    pub control: Box<str>,
    /// The name of the target beside the sidecar; entries have none.
    #[serde(default)]
    pub target: Option<Name>,
}

/// The platform's list of instances, which lags behind the facts.
pub trait InstanceList: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Fails if the service does not answer.
    fn instances(&self) -> impl Future<Output = Result<Vec<InstanceRow>>> + Send;
}
