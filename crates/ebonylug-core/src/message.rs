use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{AttemptId, Fence, Fingerprint, Incarnation, Name, Revision, Tier, Tokens};

/// Whether a request may be run again after an outcome that is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// The call is idempotent or has no effects.
    Yes,
    /// The call has effects that must occur at most once.
    No,
}

/// Hashes of the parts of a prompt that other requests may share, such as the messages before the last one.
pub type PromptParts = SmallVec<[Fingerprint; 4]>;

/// A request of an entry to a sidecar to admit an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// The attempt to admit.
    pub attempt: AttemptId,
    /// The incarnation of the sidecar that the attempt is addressed to.
    pub incarnation: Incarnation,
    /// The configuration revision that was active at the entry when it selected the target.
    pub revision: Revision,
    /// The tier that the request is scheduled in.
    pub tier: Tier,
    /// The organisation that the request is charged to.
    pub organisation: Name,
    /// Prompt tokens to compute, without those expected in the prefix cache.
    pub prompt: Tokens,
    /// Prompt tokens expected in the prefix cache of the target.
    pub cached: Tokens,
    /// Expected number of output tokens.
    pub output: Tokens,
    /// Hash of the content, which attributes crashes to a request.
    pub fingerprint: Fingerprint,
    /// Hashes of the parts of the prompt that other requests may share, which attribute crashes to a part.
    pub parts: PromptParts,
    /// Whether the request may be run again after an unknown outcome.
    pub repeat: Repeat,
    /// Output tokens that earlier, preempted attempts have delivered.
    pub offset: u64,
    /// Fencing token of a command from a lease holder; requests of callers have none.
    pub fence: Option<Fence>,
}

impl Offer {
    /// Returns the expected work of the attempt: tokens to compute plus output tokens.
    #[must_use]
    pub fn cost(&self) -> Tokens {
        self.prompt + self.output
    }
}

/// Why a request was refused. Each refusal proves that the request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The target is at its limit.
    Full,
    /// The target is in cold start and at its limit.
    Cold,
    /// The target is down.
    Down,
    /// The target or its sidecar is about to stop.
    Leaving,
    /// Operators have taken the availability zone out of service.
    ZoneClosed,
    /// The configuration revision or fencing token of the sender is older than the sidecar's.
    Stale,
    /// The attempt was revoked before it arrived.
    Revoked,
    /// The attempt was addressed to an earlier incarnation of the sidecar.
    Incarnation,
    /// The request is quarantined because it has crashed targets.
    Quarantined,
    /// The deadline has passed or cannot be met.
    Deadline,
    /// The load exceeds the capacity of the system; the lowest tier is shed first.
    Shed,
    /// The queue of the process is full.
    QueueFull,
    /// No target serves the route.
    NoTarget,
    /// The retry budget of the process is exhausted.
    RetryBudget,
    /// The platform's store does not respond, and the call must not run without its record.
    Store,
    /// The request is invalid.
    Invalid,
}

impl Reason {
    /// Returns the name of the reason in messages, headers and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Reason::Full => "full",
            Reason::Cold => "cold",
            Reason::Down => "down",
            Reason::Leaving => "leaving",
            Reason::ZoneClosed => "zone_closed",
            Reason::Stale => "stale",
            Reason::Revoked => "revoked",
            Reason::Incarnation => "incarnation",
            Reason::Quarantined => "quarantined",
            Reason::Deadline => "deadline",
            Reason::Shed => "shed",
            Reason::QueueFull => "queue_full",
            Reason::NoTarget => "no_target",
            Reason::RetryBudget => "retry_budget",
            Reason::Store => "store",
            Reason::Invalid => "invalid",
        }
    }
}

/// A refusal, with an optional hint when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// The time after which a retry may succeed.
    #[serde(rename = "after", default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without a retry hint.
    #[must_use]
    pub const fn new(reason: Reason) -> Self {
        Refusal {
            reason,
            retry_after: None,
        }
    }
}

/// Whether a sidecar admits new work, apart from its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Gate {
    /// New work is admitted within the limit.
    #[default]
    Open,
    /// The target or its sidecar is about to stop.
    Leaving,
    /// Operators have taken the availability zone out of service.
    ZoneClosed,
}

/// The state of a sidecar and its target, sent to entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The incarnation of the reporting sidecar.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation; a report with a lower number is discarded.
    pub sequence: u64,
    /// The configuration revision that is active at the sidecar.
    pub revision: Revision,
    /// Whether new work is admitted.
    pub gate: Gate,
    /// Whether the target is up.
    pub up: bool,
    /// Whether the target is in cold start.
    pub cold: bool,
    /// The current limit on work in flight at the target.
    pub limit: Tokens,
    /// Admitted work in flight, over all tiers.
    pub used: Tokens,
    /// The part of `used` that belongs to batch tiers and can be preempted.
    pub batch: Tokens,
    /// Estimated throughput over all streams, in tokens per second.
    pub rate: f64,
    /// Capacity reserved for the retries of refused interactive requests.
    pub reserved: Tokens,
}

/// The state of an engine as it reports it, which lags behind its actual state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Number of engine starts; a change means that its caches are empty.
    pub epoch: u64,
    /// Streams that the engine executes.
    pub running: u32,
    /// Streams in the queue of the engine.
    pub waiting: u32,
    /// Prompt tokens served from the prefix cache since the start.
    pub hits: u64,
    /// Prompt tokens computed since the start.
    pub prefilled: u64,
}
