use std::time::{Duration, SystemTime};

use ebonylug_core::{Fence, Incarnation, Name};
use serde::{Deserialize, Serialize};

/// Returns the key of a lease's row.
#[must_use]
pub fn row_key(lease: &str) -> String {
    format!("lease/{lease}")
}

/// The value of a lease's row. The row is never deleted, since it carries the fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct LeaseRow {
    /// The instance that holds the lease, or held it last.
    pub holder: Name,
    /// The life of the holder's process.
    pub process: Incarnation,
    /// Unique to the write, so that the holder recognises its own after a lost reply.
    pub token: u64,
    /// Rises with each new holder.
    pub fence: Fence,
    /// How long others wait after they first saw this version of the row.
    pub duration: Duration,
    /// When the lease ends by the holder's wall clock. For display only.
    pub expires: SystemTime,
    /// Whether the holder has given the lease back, so that nobody needs to wait.
    pub released: bool,
}

impl LeaseRow {
    pub(crate) fn to_text(&self) -> String {
        serde_json::to_string(self).expect("a lease row has only string keys")
    }
}
