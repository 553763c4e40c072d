use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Instances that are kept: twice the 410 entries and 600 targets of the planned size, and room
/// for replacements. Further instances are ignored and counted.
pub const MAX_MEMBERS: usize = 4_096;

/// Times of a [`Membership`](crate::Membership).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Silence after which an instance is suspect. Heartbeats come at least every second.
    pub suspect: Duration,
    /// Silence after which an instance gets no new work. Two heartbeats in a row are lost.
    pub silent: Duration,
    /// Silence after which an instance that the list lacks is removed.
    pub gone: Duration,
    /// Age above which the last list removes nobody.
    pub fresh: Duration,
    /// Time for which a leave notice of an unknown instance is kept.
    pub notice: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            suspect: Duration::from_millis(1_500),
            silent: Duration::from_millis(2_500),
            gone: Duration::from_secs(30),
            fresh: Duration::from_secs(30),
            notice: Duration::from_secs(600),
        }
    }
}
