/// The error of a call to a service of the platform.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The service did not accept the call, or a read got no response: nothing was applied.
    #[error("the platform's service is unavailable")]
    Unavailable,
    /// The write was sent and its response was lost: it may or may not have been applied.
    #[error("it is unknown whether the platform's service applied the call")]
    Unknown,
    /// A condition of a transaction did not hold: nothing was applied.
    #[error("a condition on row {key:?} does not hold")]
    Conflict {
        /// The first row whose condition does not hold.
        key: Box<str>,
    },
    /// The service limits the rate of calls: nothing was applied.
    #[error("the platform's service limits the rate of calls")]
    Throttled,
    /// The object or row does not exist.
    #[error("not found")]
    NotFound,
    /// The requested part of the history has been compacted.
    #[error("the history is not kept any more")]
    Compacted,
    /// The response is malformed, or has an unexpected status.
    #[error("the answer of the platform's service is not valid: {0}")]
    Invalid(Box<str>),
}

/// The result of a call to the platform.
pub type Result<T, E = Error> = std::result::Result<T, E>;
