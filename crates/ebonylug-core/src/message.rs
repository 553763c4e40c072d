use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{AttemptId, Fence, Fingerprint, Incarnation, Name, Revision, Tier, Tokens};

/// Whether a request may be run again after an unknown outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// The call is idempotent or has no effects.
    Yes,
    /// The call has effects that must not happen twice.
    No,
}

/// What an entry tells a sidecar about an attempt when it asks for admission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// The attempt that is to be run.
    pub attempt: AttemptId,
    /// The sidecar incarnation that the entry chose.
    pub incarnation: Incarnation,
    /// The configuration revision by which the entry chose.
    pub revision: Revision,
    /// The tier of the request.
    pub tier: Tier,
    /// The organisation that pays for the request.
    pub organisation: Name,
    /// Prompt tokens that must be computed, after the expected cache hit.
    pub prompt: Tokens,
    /// Prompt tokens that are expected to be in the target's prefix cache.
    pub cached: Tokens,
    /// Expected output tokens.
    pub output: Tokens,
    /// Hash of the content, for crash attribution.
    pub fingerprint: Fingerprint,
    /// Whether the request may be run again.
    pub repeat: Repeat,
    /// Output tokens that an earlier, preempted attempt has delivered already.
    pub offset: u64,
    /// Fencing number of an order; requests of callers carry none.
    pub fence: Option<Fence>,
}

impl Offer {
    /// Returns the work that the attempt is expected to cause, in tokens.
    #[must_use]
    pub fn cost(&self) -> Tokens {
        self.prompt + self.output
    }
}

/// Why a request was refused. Each refusal proves that the request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The target bears no more work at present.
    Full,
    /// The target is in cold start and bears no more work at present.
    Cold,
    /// The target is down.
    Down,
    /// The target or its sidecar is leaving.
    Leaving,
    /// The availability zone was taken out.
    ZoneClosed,
    /// The configuration revision or fencing number of the sender is older than the sidecar's.
    Stale,
    /// The attempt was revoked before it arrived.
    Revoked,
    /// The attempt was addressed to an earlier incarnation of the sidecar.
    Incarnation,
    /// The request is quarantined because it crashed its targets.
    Quarantined,
    /// The deadline has passed or cannot be met.
    Deadline,
    /// The load is above what the system bears; the lowest tier is shed first.
    Shed,
    /// The queue of this process is at its bound.
    QueueFull,
    /// No target serves the route.
    NoTarget,
    /// The retry budget of the process is used up.
    RetryBudget,
    /// The platform's store does not answer, and the call may not run without its record.
    Store,
    /// The request is not valid.
    Invalid,
}

impl Reason {
    /// Returns the word that stands for the reason in messages, headers and metrics.
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

/// A refusal with an optional hint when to try again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// When a new try may succeed.
    #[serde(rename = "after", default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without a hint.
    #[must_use]
    pub const fn new(reason: Reason) -> Self {
        Refusal {
            reason,
            retry_after: None,
        }
    }
}

/// Whether a sidecar admits new work at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Gate {
    /// New work is admitted within the limit.
    #[default]
    Open,
    /// The target or its sidecar is leaving.
    Leaving,
    /// The availability zone was taken out by operators.
    ZoneClosed,
}

/// The state of a sidecar and its target, as entries see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The life of the sidecar that reports.
    pub incarnation: Incarnation,
    /// Number of the report within the incarnation; a lower number is discarded.
    pub sequence: u64,
    /// The configuration revision in force at the sidecar.
    pub revision: Revision,
    /// Whether new work is admitted.
    pub gate: Gate,
    /// Whether the target is up.
    pub up: bool,
    /// Whether the target is in cold start.
    pub cold: bool,
    /// The present limit on work inside the target.
    pub limit: Tokens,
    /// Admitted work that has not ended, all tiers.
    pub used: Tokens,
    /// The part of `used` that belongs to batch tiers and could be preempted.
    pub batch: Tokens,
    /// Estimated speed over all streams, in tokens per second.
    pub rate: f64,
    /// Room that is kept for refused interactive requests.
    pub reserved: Tokens,
}

/// What an engine tells about itself, with a lag.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Number of starts of the engine; a change means that its caches are empty.
    pub epoch: u64,
    /// Streams that the engine runs.
    pub running: u32,
    /// Streams that wait inside the engine.
    pub waiting: u32,
    /// Prompt tokens that were found in the prefix cache since the start.
    pub hits: u64,
    /// Prompt tokens that were computed since the start.
    pub prefilled: u64,
}
