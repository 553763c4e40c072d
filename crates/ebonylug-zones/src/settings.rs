use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Zones that a map keeps. A deployment has at most 8; the rest guards against bad input.
pub const MAX_ZONES: usize = 64;
/// Targets that a map keeps.
pub const MAX_TARGETS: usize = 4_096;

/// Times and thresholds of a [`ZoneMap`](crate::ZoneMap).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Time after which a target that was not heard counts as silent. Targets report at least
    /// every second, so that one report may come half a second late.
    pub silent: Duration,
    /// Time after which the targets of a zone count as silent if only one or two were heard lately. It is
    /// longer, since one lost report is common and would darken the zone.
    pub alone: Duration,
    /// Part of a zone's targets that must be silent for the zone to be dark.
    pub dark: f64,
    /// Part of a zone's targets that may be silent in a zone that returns.
    pub back: f64,
    /// Time from the return of a zone to full interactive work.
    pub ramp: Duration,
    /// Interactive work at the start of the return.
    pub first: f64,
    /// Time during which a zone must not go dark again for its next return to be fast.
    pub calm: Duration,
    /// Time during which batch work in other zones is slowed after a loss.
    pub relief: Duration,
    /// Two zones that go dark within this time went dark together.
    pub together: Duration,
    /// Times that two zones must have gone dark together to be related.
    pub repeats: u32,
    /// Time during which a zone that is related to a dark one gets little batch work.
    pub caution: Duration,
    /// Batch work in that time.
    pub little: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            silent: Duration::from_millis(1_500),
            alone: Duration::from_millis(2_500),
            dark: 0.6,
            back: 0.4,
            ramp: Duration::from_secs(20),
            first: 0.1,
            calm: Duration::from_secs(600),
            relief: Duration::from_secs(60),
            together: Duration::from_secs(5),
            repeats: 2,
            caution: Duration::from_secs(30),
            little: 0.25,
        }
    }
}
