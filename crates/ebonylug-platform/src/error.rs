/// The outcome of a call to the platform that did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The service did not take the call: nothing was applied.
    #[error("the platform's service is unavailable")]
    Unavailable,
    /// The call may or may not have been applied.
    #[error("it is unknown whether the platform's service applied the call")]
    Unknown,
    /// A condition of a transaction did not hold: nothing was applied.
    #[error("a condition on row {key:?} does not hold")]
    Conflict {
        /// The first row whose condition does not hold.
        key: Box<str>,
    },
    /// The service asked to slow down: nothing was applied.
    #[error("the platform's service limits the rate of calls")]
    Throttled,
    /// The object or row does not exist.
    #[error("not found")]
    NotFound,
    /// The history that was asked for is not kept any more.
    #[error("the history is not kept any more")]
    Compacted,
    /// The answer could not be read.
    #[error("the answer of the platform's service is not valid: {0}")]
    Invalid(Box<str>),
}

/// The result of a call to the platform.
pub type Result<T, E = Error> = std::result::Result<T, E>;
