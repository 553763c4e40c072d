use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{LoadReport, ParseIdError, Refusal, RequestId};

/// One try to run a request at one target. Written as `<request>-<number>`.
///
/// A request has at most one attempt that is not proven "not run" at any time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request that is tried.
    pub request: RequestId,
    /// The number of the attempt, from 0.
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

/// How an attempt ended at the target, as the sidecar saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The target gave its whole answer.
    Answered,
    /// The target gave an error, or its answer broke off while the target lived on.
    Failed,
    /// The attempt was cancelled, by the caller or to make room.
    Cancelled,
    /// The target went down while the attempt was in flight.
    Crashed,
}

/// How an attempt ended for the entry that sent it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The sidecar refused: the request was not run and may be sent elsewhere.
    Refused(Refusal, Option<LoadReport>),
    /// The whole answer arrived.
    Answered,
    /// The attempt was stopped to make room; `received` output tokens arrived. The request may
    /// be resumed from there.
    Preempted {
        /// Output tokens that arrived before the stop.
        received: u64,
    },
    /// The attempt ran and ended without a whole answer.
    Failed,
    /// It is not known whether the request was run. It is never run again.
    Unknown,
}

/// The answer of a sidecar to the revocation of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Revoked {
    /// The attempt was not run and will not be: a tombstone refuses a delayed arrival.
    NotRun,
    /// The attempt is running; the caller of revoke may resume its answer.
    Running,
    /// The attempt has ended and its answer is retained.
    Finished,
    /// The sidecar cannot tell, for example because it has restarted since.
    Unknown,
}
