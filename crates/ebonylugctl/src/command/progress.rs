use std::fmt;

use ebonylug_resource::{Move, MoveState};

use crate::Outcome;

/// The phase of a move, taken from the reasons of its conditions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Pending,
    Ramping,
    Watching,
    Done,
    RolledBack,
    Refused,
}

impl Phase {
    const ALL: [Phase; 6] = [
        Phase::Pending,
        Phase::Ramping,
        Phase::Watching,
        Phase::Done,
        Phase::RolledBack,
        Phase::Refused,
    ];

    /// Returns the condition reason that denotes the phase.
    const fn reason(self) -> &'static str {
        match self {
            Phase::Pending => "Pending",
            Phase::Ramping => "Ramping",
            Phase::Watching => "Watching",
            Phase::Done => "Done",
            Phase::RolledBack => "RolledBack",
            Phase::Refused => "Refused",
        }
    }

    fn from_reason(reason: &str) -> Option<Phase> {
        Phase::ALL
            .into_iter()
            .find(|phase| phase.reason() == reason)
    }

    /// Returns the outcome of a command that waits for the move, or `None` if the phase is not final.
    pub const fn outcome(self) -> Option<Outcome> {
        match self {
            Phase::Pending | Phase::Ramping | Phase::Watching => None,
            Phase::Done => Some(Outcome::Done),
            Phase::RolledBack => Some(Outcome::RolledBack),
            Phase::Refused => Some(Outcome::MoveRefused),
        }
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Phase::Pending => "pending",
            Phase::Ramping => "ramping",
            Phase::Watching => "watching",
            Phase::Done => "finished",
            Phase::RolledBack => "rolled back",
            Phase::Refused => "refused",
        })
    }
}

/// The progress of a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The current phase, if it is known.
    pub phase: Option<Phase>,
    /// Human-readable details of the phase.
    pub message: Box<str>,
}

/// Returns the progress of a move: from its conditions, or from the desired state if the conditions
/// do not show that the move has ended.
///
/// The conditions are those of one entry, which loses them when it restarts. The desired state is
/// stored, but does not distinguish a rollback from a move that an operator has cancelled.
pub fn progress(planned: &Move) -> Progress {
    let conditions = planned.status.conditions.iter();
    let phases = conditions.filter_map(|condition| {
        Phase::from_reason(&condition.reason).map(|phase| (phase, condition))
    });
    let latest = phases.max_by_key(|(_, condition)| condition.time);
    let observed = latest.map(|(phase, condition)| Progress {
        phase: Some(phase),
        message: condition.message.clone(),
    });
    let ended = observed
        .as_ref()
        .and_then(|progress| progress.phase?.outcome())
        .is_some();
    match planned.spec.state {
        MoveState::Finished if !ended => Progress {
            phase: Some(Phase::Done),
            message: "the route's base is the new version".into(),
        },
        MoveState::Cancelled if !ended => Progress {
            phase: Some(Phase::RolledBack),
            message: "the move was cancelled; the old version keeps the traffic".into(),
        },
        _ => observed.unwrap_or(Progress {
            phase: None,
            message: "".into(),
        }),
    }
}
