use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{LoadReport, ParseIdError, Refusal, RequestId};

/// Identifies one attempt to run a request at one target. Written as `<request>-<number>`.
///
/// At any time, all attempts of a request except at most one are proven not to have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The index of the attempt within the request, from 0.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.request, self.number)
    }
}

impl FromStr for AttemptId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let invalid = || ParseIdError {
            kind: "attempt id",
            text: text.into(),
        };
        let (request, number) = text.split_once('-').ok_or_else(invalid)?;
        Ok(AttemptId {
            request: request.parse()?,
            number: number.parse().map_err(|_| invalid())?,
        })
    }
}

/// How an attempt ended at the target, as observed by the sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The target sent its complete response.
    Answered,
    /// The target reported an error, or its response was cut short while the target stayed up.
    Failed,
    /// The attempt was cancelled by the caller or preempted.
    Cancelled,
    /// The target went down while the attempt was in flight.
    Crashed,
}

/// How an attempt ended, as observed by the entry that sent it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The sidecar refused the attempt: it was not run, and the request may be sent to another
    /// target. Carries the load report of the sidecar, if it sent one.
    Refused(Refusal, Option<LoadReport>),
    /// The complete response arrived.
    Answered,
    /// The attempt was preempted in favour of other work. The request may be resumed after the
    /// output that was received.
    Preempted {
        /// Output tokens that arrived before the preemption.
        received: u64,
    },
    /// The attempt ran and ended without a complete response.
    Failed,
    /// It is unknown whether the request was run. It is never run again.
    Unknown,
}

/// The response of a sidecar to the revocation of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RevokeOutcome {
    /// The attempt was not run and will not be: a tombstone refuses a delayed arrival.
    NotRun,
    /// The attempt is running; the entry that revoked it may resume its response stream.
    Running,
    /// The attempt has ended and its response is retained.
    Finished,
    /// The sidecar has no record of the attempt, for example because it has restarted since.
    Unknown,
}
