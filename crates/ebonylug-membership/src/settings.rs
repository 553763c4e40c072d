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
    #[serde(rename = "suspect")]
    pub suspect_timeout: Duration,
    /// Silence after which an instance gets no new work. Two heartbeats in a row are lost.
    #[serde(rename = "silent")]
    pub heartbeat_timeout: Duration,
    /// Silence after which an instance that the list lacks is removed.
    #[serde(rename = "gone")]
    pub removal_timeout: Duration,
    /// Age above which the last list removes nobody.
    #[serde(rename = "fresh")]
    pub list_validity: Duration,
    /// Time for which a leave notice of an unknown instance is kept.
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
