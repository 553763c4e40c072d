use std::fmt;

use ebonylug_resource::{Move, MoveState};

use crate::Outcome;

/// How far a move is, as the reasons of its conditions tell.
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

    /// Returns the reason of the condition that stands for the phase.
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

    fn of(reason: &str) -> Option<Phase> {
        Phase::ALL
            .into_iter()
            .find(|phase| phase.reason() == reason)
    }

    /// Returns the outcome of a command that waits for a move in this phase, if it is the last one.
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

/// What the resource of a move tells about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The phase, if it is known.
    pub phase: Option<Phase>,
    /// The reason, for people.
    pub message: Box<str>,
}

/// Reads how far a move is: from its conditions, and from the desired state where they do not tell
/// that it has ended.
///
/// The conditions are those of one entry, which forgets them when it restarts; the desired state
/// is stored, but does not tell a rollback from a move that an operator has given up.
pub fn progress(planned: &Move) -> Progress {
    let conditions = planned.status.conditions.iter();
    let phases = conditions
        .filter_map(|condition| Phase::of(&condition.reason).map(|phase| (phase, condition)));
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
