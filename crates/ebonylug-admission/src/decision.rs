use ebonylug_core::{AttemptId, Refusal};
use smallvec::SmallVec;

/// A short list of attempts.
pub type AttemptIds = SmallVec<[AttemptId; 4]>;

/// The answer to an offer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The attempt is to be run, once the listed attempts are cancelled.
    Admit {
        /// Batch attempts that make room. Their tokens stay accounted until they are finished.
        preempt: AttemptIds,
    },
    /// The same attempt was admitted earlier: it runs or has run, and is never run again.
    Join,
    /// The attempt was not run. An attempt that was refused once is never admitted later.
    Refuse(Refusal),
}

impl Decision {
    /// Reports whether the attempt is to be run.
    #[must_use]
    pub fn is_admit(&self) -> bool {
        matches!(self, Decision::Admit { .. })
    }
}

/// What the sidecar must do after [`Admission::tick`](crate::Admission::tick).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Cancel this batch attempt, then report it as finished.
    Preempt(AttemptId),
    /// Drop the retained answer of this attempt: its retention period is over.
    Expire(AttemptId),
}
