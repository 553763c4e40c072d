use std::time::Instant;

use ebonylug_core::{AttemptId, Offer, Reason, Refusal, RequestId, Tier, Tokens};
use smallvec::SmallVec;

use crate::{RequestKey, TargetKey};

/// What the owner of the router has to do, in this order.
pub type Actions = SmallVec<[Action; 4]>;

/// One thing that the owner of the router has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a target and report the outcome.
    Dispatch(Dispatch),
    /// Refuse the request. It has not run and will not; the router has forgotten it.
    Shed {
        /// The key that `enqueue` returned.
        request: RequestKey,
        /// The request.
        id: RequestId,
        /// What to tell the caller.
        refusal: Refusal,
    },
    /// End the request with an error. It has run in part, so that this is not a refusal; the
    /// router has forgotten it.
    Abort {
        /// The key that `enqueue` returned.
        request: RequestKey,
        /// The request.
        id: RequestId,
        /// Why it is not resumed.
        reason: Reason,
    },
}

/// An attempt that has to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The key that `enqueue` returned.
    pub request: RequestKey,
    /// The chosen target.
    pub target: TargetKey,
    /// What to tell the sidecar, including the number of the attempt.
    pub offer: Offer,
}

/// What the router made of an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// The request waits again and will be tried once more.
    Requeued,
    /// The request has ended as the outcome says; the router has forgotten it.
    Ended,
    /// The request will not be tried again; the next `poll` returns the refusal.
    Shed,
    /// The outcome belongs to no live attempt: it is late, a duplicate, or crossed another.
    Ignored,
}

/// What a cancellation found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// The request was waiting.
    Waiting,
    /// The request was sent; the attempt has to be cancelled at the target.
    Sent {
        /// The attempt to cancel.
        attempt: AttemptId,
        /// Where it was sent.
        target: TargetKey,
    },
    /// The request has ended already.
    Ended,
}

/// The requests of one tier that have not ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TierBacklog {
    /// Requests that wait.
    pub waiting: usize,
    /// Their expected work.
    pub waiting_work: Tokens,
    /// Requests with a live attempt.
    pub sent: usize,
    /// Their expected work.
    pub sent_work: Tokens,
}

/// The requests that have not ended, by tier.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Tiers with at least one request, the most urgent first.
    pub tiers: SmallVec<[(Tier, TierBacklog); 4]>,
}

/// A waiting batch request that will probably miss its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AtRisk {
    /// The key that `enqueue` returned.
    pub request: RequestKey,
    /// The request.
    pub id: RequestId,
    /// When it should be done.
    pub deadline: Instant,
    /// When it will probably be done; nothing if no target serves it at present.
    pub expected: Option<Instant>,
}
