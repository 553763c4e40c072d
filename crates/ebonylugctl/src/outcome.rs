use std::process::ExitCode;

/// The result of a command, with one exit code per variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    /// The command succeeded.
    Done,
    /// The entry or its store did not respond.
    NoResponse,
    /// The arguments are not valid, or validation rejected the change.
    Refused,
    /// A concurrent change took precedence.
    Conflict,
    /// The move was rolled back: the old version keeps the traffic.
    RolledBack,
    /// The move was refused and did not start.
    MoveRefused,
    /// The move did not end within the timeout.
    TimedOut,
    /// The token does not permit the operation.
    Denied,
}

impl Outcome {
    /// Returns the exit code.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Outcome::Done => 0,
            Outcome::NoResponse => 1,
            Outcome::Refused => 2,
            Outcome::Conflict => 3,
            Outcome::RolledBack => 4,
            Outcome::MoveRefused => 5,
            Outcome::TimedOut => 6,
            Outcome::Denied => 7,
        }
    }
}

impl From<Outcome> for ExitCode {
    fn from(outcome: Outcome) -> ExitCode {
        ExitCode::from(outcome.code())
    }
}
