use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Maximum number of instances: twice the planned 410 entries and 600 targets, and headroom for
/// replacements. Further instances are ignored and counted.
pub const MAX_MEMBERS: usize = 4_096;

/// Timeouts of a [`Membership`](crate::Membership).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Age of the last heartbeat above which an instance is suspect. Heartbeats are sent at least
    /// every second.
    #[serde(rename = "suspect")]
    pub suspect_timeout: Duration,
    /// Age of the last heartbeat above which an instance is unreachable and gets no new work. Two
    /// consecutive heartbeats are then missing.
    #[serde(rename = "silent")]
    pub heartbeat_timeout: Duration,
    /// Age of the last heartbeat above which an instance that the list does not contain is removed.
    #[serde(rename = "gone")]
    pub removal_timeout: Duration,
    /// Age of the last list above which it removes no instance.
    #[serde(rename = "fresh")]
    pub list_validity: Duration,
    /// Time for which the notice of a removed or unknown instance is kept.
    #[serde(rename = "notice")]
    pub notice_retention: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            suspect_timeout: Duration::from_millis(1_500),
            heartbeat_timeout: Duration::from_millis(2_500),
            removal_timeout: Duration::from_secs(30),
            list_validity: Duration::from_secs(30),
            notice_retention: Duration::from_secs(600),
        }
    }
}
