use ebonylug_core::{AttemptId, Refusal};
use smallvec::SmallVec;

/// A list of attempt identifiers, of which up to four are stored inline.
pub type AttemptIds = SmallVec<[AttemptId; 4]>;

/// The decision on an offer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run the attempt, after cancelling the listed attempts.
    Admit {
        /// Batch attempts to cancel. Their tokens count against the limit until they have ended.
        preempt: AttemptIds,
    },
    /// The attempt was admitted earlier: it is running or has ended, and never runs again.
    Join,
    /// The attempt was not run, and is never admitted later.
    Refuse(Refusal),
}

impl Decision {
    /// Reports whether the decision is [`Decision::Admit`].
    #[must_use]
    pub fn is_admit(&self) -> bool {
        matches!(self, Decision::Admit { .. })
    }
}

/// An action that the sidecar must take after [`Admission::tick`](crate::Admission::tick).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Cancel this batch attempt, then call [`Admission::finish`](crate::Admission::finish) for it.
    Preempt(AttemptId),
    /// Drop the retained response of this attempt, because its retention period is over.
    Expire(AttemptId),
}
