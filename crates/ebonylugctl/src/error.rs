use std::fmt;
use std::io;

use ebonylug_net::client;
use ebonylug_resource::Problem;

use crate::Outcome;
use crate::connection::Server;

/// The reason why a command failed.
#[derive(Debug)]
pub enum Error {
    /// An argument, an environment variable or an input file is not valid, or a file cannot be read or
    /// written.
    InvalidInput(Box<str>),
    /// The entry did not respond.
    NoResponse {
        /// Address of the entry.
        server: Server,
        /// How the call failed.
        reason: client::Error,
        /// Whether the call requested a change.
        change: bool,
    },
    /// The response does not conform to the resource API.
    UnexpectedResponse(Box<str>),
    /// The entry responded with a problem document.
    Problem(Box<Problem>),
    /// The resource that the command works on was deleted concurrently.
    Deleted(Box<str>),
    /// The output could not be written.
    Output(io::Error),
}

/// A result with the error type of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    pub(crate) fn invalid_input(reason: impl Into<Box<str>>) -> Self {
        Error::InvalidInput(reason.into())
    }

    /// Returns the outcome of a command that fails with this error.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self {
            Error::InvalidInput(_) => Outcome::Refused,
            Error::NoResponse { .. } | Error::UnexpectedResponse(_) => Outcome::NoResponse,
            Error::Deleted(_) => Outcome::Conflict,
            Error::Problem(problem) => match problem.status {
                401 | 403 => Outcome::Denied,
                409 => Outcome::Conflict,
                400..500 => Outcome::Refused,
                _ => Outcome::NoResponse,
            },
            // A reader such as `head` closes the pipe once it needs no more output.
            Error::Output(error) if error.kind() == io::ErrorKind::BrokenPipe => Outcome::Done,
            Error::Output(_) => Outcome::Refused,
        }
    }

    /// Reports whether a concurrent change took precedence.
    pub(crate) fn is_conflict(&self) -> bool {
        matches!(self, Error::Problem(problem) if problem.status == 409)
    }

    /// Reports whether the resource does not exist.
    pub(crate) fn is_not_found(&self) -> bool {
        matches!(self, Error::Problem(problem) if problem.status == 404)
    }

    /// Reports whether a retry of the same call may succeed.
    pub(crate) fn is_transient(&self) -> bool {
        match self {
            Error::NoResponse { .. } => true,
            Error::Problem(problem) => problem.status >= 500,
            _ => false,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::InvalidInput(reason) => write!(f, "ebonylugctl: {reason}"),
            Error::NoResponse {
                server,
                reason,
                change,
            } => {
                write!(f, "ebonylugctl: {server}: {reason}")?;
                match (change, reason) {
                    (false, _) => Ok(()),
                    (true, client::Error::Connect) => f.write_str("; nothing was changed"),
                    (true, _) => f.write_str("; it is not known whether the change was applied"),
                }
            }
            Error::UnexpectedResponse(reason) => {
                write!(f, "ebonylugctl: unexpected answer: {reason}")
            }
            Error::Problem(problem) => write_problem(f, problem),
            Error::Deleted(what) => write!(f, "ebonylugctl: {what} was deleted by somebody else"),
            Error::Output(error) => write!(f, "ebonylugctl: cannot write the output: {error}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Error::Output(error)
    }
}

impl From<Problem> for Error {
    fn from(problem: Problem) -> Self {
        Error::Problem(Box::new(problem))
    }
}

/// Writes the resource, field and reason if the problem contains them, otherwise its title and detail.
fn write_problem(f: &mut fmt::Formatter<'_>, problem: &Problem) -> fmt::Result {
    match (&problem.resource, &problem.field, &problem.reason) {
        (Some(resource), Some(field), Some(reason)) => write!(f, "{resource}: {field}: {reason}"),
        (Some(resource), None, Some(reason)) => write!(f, "{resource}: {reason}"),
        _ => write!(f, "{}: {}", problem.title, problem.detail),
    }
}
