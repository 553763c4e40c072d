use std::time::Duration;

use ebonylug_core::Name;
use smallvec::SmallVec;

use crate::queue::WaitKey;
use crate::refusal::Refusal;
use crate::rollout::VersionFilter;
use crate::target::TargetKey;

/// A request to be placed on a target.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The service that must serve the request.
    pub service: Name,
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// Hash of the part of the prompt that is most worth caching.
    pub cache_key: Option<u64>,
    /// Targets that the request was already sent to.
    pub tried: SmallVec<[TargetKey; 2]>,
    /// Maximum time in the queue.
    pub max_wait: Duration,
    /// Mean of the time after which the caller should retry if the request is refused.
    pub retry_after: Duration,
    /// Whether the targets are model engines.
    pub model: bool,
    /// Number of prompt tokens.
    pub prompt: u32,
    /// The versions that may serve the request.
    pub versions: VersionFilter,
    /// What admission by forecast knows about the caller. `None` for requests that it does not decide about,
    /// such as the continuation of a stream.
    pub caller: Option<Caller>,
}

/// What a caller needs, and the share of capacity that it may use, for admission by forecast.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Caller {
    /// Hash of the name of the caller's organisation; 0 if it has none.
    pub organisation: u64,
    /// The organisation's weight while capacity is short.
    pub weight: f64,
    /// The work of the request, in tokens.
    pub cost: f64,
    /// Maximum time in the queue after which the response can still be in time.
    pub in_time: Duration,
    /// Maximum time in the queue after which the caller still waits for the response.
    pub patience: Duration,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Whether an earlier attempt of the caller was refused.
    pub returning: bool,
}

/// The immediate result of a [`PlacementRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Send the request to this target now.
    Send(TargetKey),
    /// The request is queued until [`Scheduler::poll`] decides.
    Wait(WaitKey),
    /// Refuse the request.
    Refuse(Refusal),
}

/// A decision about a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to this target now.
    Send(TargetKey),
    /// Refuse the request.
    Refuse(Refusal),
}
