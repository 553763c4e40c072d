use std::time::{Duration, SystemTime};

use ebonylug_core::{Fence, Incarnation, Name};
use serde::{Deserialize, Serialize};

/// Returns the key of the row of a lease.
#[must_use]
pub fn row_key(lease: &str) -> String {
    format!("lease/{lease}")
}

/// The value of the row of a lease. The row is never deleted, since it holds the last fencing
/// token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct LeaseRow {
    /// Instance that holds the lease or was its last holder.
    pub holder: Name,
    /// Incarnation of the process of the holder.
    pub process: Incarnation,
    /// Unique among the writes of a process, so that the holder can identify its write after a lost
    /// reply.
    pub token: u64,
    /// Fencing token, which increases each time the lease is acquired.
    pub fence: Fence,
    /// Time that other candidates wait after they first read this version of the row.
    pub duration: Duration,
    /// Expiry by the wall clock of the holder. For display only.
    pub expires: SystemTime,
    /// Whether the holder has released the lease, so that other candidates need not wait.
    pub released: bool,
}

impl LeaseRow {
    pub(crate) fn to_text(&self) -> String {
        serde_json::to_string(self).expect("a lease row has only string keys")
    }
}
