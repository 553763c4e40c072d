use std::time::SystemTime;

use ebonylug_core::Name;
use serde::{Deserialize, Serialize};

use crate::Share;

/// The phase of a move. A move never returns to an earlier phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The start time has not been reached.
    Pending,
    /// The share of the new version is being raised.
    Ramping,
    /// The new version has reached all traffic; the old one is kept warm for a rollback.
    Watching,
    /// The new version keeps all traffic; the old one may be unloaded after the deadline.
    Done,
    /// The new version was found to be worse and gets no traffic.
    RolledBack,
    /// The move was rejected before it began.
    Refused,
}

impl Phase {
    /// Reports whether the phase ends a move.
    ///
    /// Until the deadline, [`Phase::Done`] may still be followed by [`Phase::RolledBack`].
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Phase::Done | Phase::RolledBack | Phase::Refused)
    }
}

/// Reason for a condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveReason {
    /// The ramp has begun.
    Started,
    /// The comparison shows that the new version is not worse.
    Proven,
    /// The new version got too little traffic for a result; the move proceeds on schedule.
    TooLittleTraffic,
    /// The new version may be worse; its share is held back.
    Suspect,
    /// The warm targets of the new version have too little capacity for its scheduled share.
    NotEnoughCapacity,
    /// Another move of the same route is active.
    AnotherMove,
    /// The new version has reached all traffic.
    Complete,
    /// The observation period has ended without a rollback.
    Finished,
    /// The deadline passed before the new version had all traffic.
    DeadlineMissed,
    /// The new version fails more often than the old one.
    Failures,
    /// The new version responds more slowly than the old one.
    Slowness,
    /// The new version repeatedly becomes worse at a high share.
    UnderLoad,
    /// Another process has rolled the move back.
    PeerReport,
    /// An operator has aborted the move.
    Operator,
    /// The specification is not valid.
    Invalid,
}

/// One observation about a move, recorded once per reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Why the condition was recorded.
    pub reason: MoveReason,
    /// Details for operators; may be empty.
    pub message: Box<str>,
    /// When the condition was first observed.
    pub time: SystemTime,
}

/// The state of a move as it is written to the store and sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveStatus {
    /// The name of the move.
    pub name: Name,
    /// The phase of the move.
    pub phase: Phase,
    /// The share at the process that created this status. Readers compute their own share.
    pub share: Share,
    /// Whether the comparison has shown that the new version is not worse.
    pub proven: bool,
    /// Conditions, oldest first, at most one per reason.
    pub conditions: Vec<Condition>,
}
