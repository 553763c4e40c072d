use std::time::SystemTime;

use ebonylug_core::Name;
use serde::{Deserialize, Serialize};

use crate::Share;

/// How far a move is. A move never goes back to an earlier phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The start has not come.
    Pending,
    /// The share of the new version rises.
    Ramping,
    /// The new version has had all traffic; the old one is kept warm.
    Watching,
    /// The new version has all traffic for good; the old one may be unloaded.
    Done,
    /// The new version is bad and gets no traffic.
    RolledBack,
    /// The move did not begin.
    Refused,
}

impl Phase {
    /// Reports whether the phase is the last one of a move.
    ///
    /// Until the deadline, [`Phase::Done`] may still be followed by [`Phase::RolledBack`].
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Phase::Done | Phase::RolledBack | Phase::Refused)
    }
}

/// Why a condition holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveReason {
    /// The ramp has begun.
    Started,
    /// The evidence shows that the new version is not worse.
    Proven,
    /// The new version got too little traffic to tell; the move proceeds on schedule.
    TooLittleTraffic,
    /// The new version may be worse; its share is not raised.
    Suspect,
    /// The warm targets of the new version do not bear its scheduled share.
    NotEnoughCapacity,
    /// Another move of the same route is in force.
    AnotherMove,
    /// The new version has reached all traffic.
    Complete,
    /// The new version has no bad evidence after watching.
    Finished,
    /// The deadline has passed before the new version had all traffic.
    DeadlineMissed,
    /// The new version fails more often than the old one.
    Failures,
    /// The new version answers more slowly than the old one.
    Slowness,
    /// The new version becomes worse again and again at a high share.
    UnderLoad,
    /// Another process has found the new version bad.
    PeerReport,
    /// An operator has stopped the move.
    Operator,
    /// The specification is not valid.
    Invalid,
}

/// One observation about a move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Why it holds.
    pub reason: MoveReason,
    /// The details, for operators.
    pub message: Box<str>,
    /// When it was first seen.
    pub time: SystemTime,
}

/// The state of a move as it is written to the table and sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveStatus {
    /// The name of the move.
    pub name: Name,
    /// How far the move is.
    pub phase: Phase,
    /// The share at the process that made this status. Readers compute their own.
    pub share: Share,
    /// Whether the evidence shows that the new version is not worse.
    pub proven: bool,
    /// Observations, oldest first, one for each reason.
    pub conditions: Vec<Condition>,
}
