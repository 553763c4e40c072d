use std::time::Instant;

use ebonylug_core::{AttemptId, Offer, Reason, Refusal, RequestId, Tier, Tokens};
use smallvec::SmallVec;

use crate::{RequestKey, TargetKey};

/// Actions that the caller of [`Router::poll`](crate::Router::poll) must take, in this order.
pub type Actions = SmallVec<[Action; 4]>;

/// One action that the caller of [`Router::poll`](crate::Router::poll) must take.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a target and pass the outcome to
    /// [`Router::apply_outcome`](crate::Router::apply_outcome).
    Dispatch(Dispatch),
    /// Refuse the request. It has not run and will not run; the router no longer tracks it.
    Shed {
        /// The key that `enqueue` returned.
        request: RequestKey,
        /// The request.
        id: RequestId,
        /// The refusal to return to the client.
        refusal: Refusal,
    },
    /// End the request with an error. It has run in part, so it must not be reported as refused;
    /// the router no longer tracks it.
    Abort {
        /// The key that `enqueue` returned.
        request: RequestKey,
        /// The request.
        id: RequestId,
        /// Why the request is not resumed.
        reason: Reason,
    },
}

/// An attempt to send to a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The key that `enqueue` returned.
    pub request: RequestKey,
    /// The chosen target.
    pub target: TargetKey,
    /// The offer to send to the sidecar, including the attempt number.
    pub offer: Offer,
}

/// The effect of an outcome on its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// The request waits again and will be dispatched in another attempt.
    Requeued,
    /// The request has ended with this outcome; the router no longer tracks it.
    Ended,
    /// The request will not be dispatched again; the next `poll` returns the refusal.
    Shed,
    /// The outcome belongs to no live attempt: it is late, a duplicate, or was overtaken by
    /// another event, such as a cancellation.
    Ignored,
}

/// The stage of a request at its cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// The request was waiting.
    Waiting,
    /// The request had a live attempt, which the caller must cancel at the target.
    Sent {
        /// The attempt to cancel.
        attempt: AttemptId,
        /// The target of the attempt.
        target: TargetKey,
    },
    /// The request had already ended.
    Ended,
}

/// Counts of the requests of one tier that have not ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TierBacklog {
    /// Number of waiting requests.
    pub waiting: usize,
    /// Expected work of the waiting requests.
    pub waiting_work: Tokens,
    /// Number of requests with a live attempt.
    pub sent: usize,
    /// Expected work of the requests with a live attempt.
    pub sent_work: Tokens,
}

/// The requests that have not ended, grouped by tier.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Tiers with at least one request, most urgent first.
    pub tiers: SmallVec<[(Tier, TierBacklog); 4]>,
}

/// A waiting batch request that will probably miss its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AtRisk {
    /// The key that `enqueue` returned.
    pub request: RequestKey,
    /// The request.
    pub id: RequestId,
    /// The deadline of the request.
    pub deadline: Instant,
    /// The estimated completion time, or `None` if no target currently serves the request.
    pub expected: Option<Instant>,
}
