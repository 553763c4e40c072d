use std::fmt;

use ebonylug_core::{Fence, Fingerprint, Reason, RevokeOutcome};
use serde::{Deserialize, Serialize};

/// What happened. The subject of the event identifies what it happened to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum EventKind {
    /// An entry queued a request.
    RequestQueued,
    /// An entry sent an attempt to a sidecar.
    Dispatched,
    /// A sidecar admitted an attempt to its target.
    Admitted,
    /// A sidecar refused an attempt, which was not run.
    Refused {
        /// The reason of the refusal.
        reason: Reason,
    },
    /// An entry dropped a waiting request, which was not run.
    Shed {
        /// The reason of the refusal to the caller.
        reason: Reason,
    },
    /// The target sent the first part of its response.
    FirstToken,
    /// The complete response was delivered.
    Answered,
    /// The attempt ran and ended without a complete response.
    Failed,
    /// The attempt was cancelled because its response is no longer needed.
    Cancelled,
    /// The attempt was stopped in favour of other work.
    Preempted {
        /// Output tokens that were delivered before.
        received: u64,
    },
    /// An attempt continues the output of an earlier one.
    Resumed {
        /// Output tokens that the earlier attempts delivered.
        offset: u64,
    },
    /// A sidecar responded to a revocation.
    Revoked {
        /// The state of the attempt after the revocation.
        #[serde(rename = "answer")]
        outcome: RevokeOutcome,
    },
    /// It is unknown whether the attempt ran.
    Unknown,
    /// The target entered its cold start.
    TargetCold,
    /// The target completed its cold start.
    TargetWarm,
    /// The target stopped accepting connections.
    TargetDown,
    /// The target accepts connections again.
    TargetUp,
    /// The target went down with requests in flight.
    Crash,
    /// A request is quarantined: every target refuses it, because it crashes targets.
    Quarantined {
        /// The hash of the content of the request.
        fingerprint: Fingerprint,
    },
    /// An operator ended a quarantine.
    Released {
        /// The hash of the content of the request.
        fingerprint: Fingerprint,
    },
    /// An operator took the zone out of service.
    ZoneClosed,
    /// Most targets of the zone have stopped reporting.
    #[serde(rename = "zone_dark")]
    ZoneUnreachable,
    /// The zone receives work again.
    ZoneRestored,
    /// The traffic share of a move's new version changed.
    MoveShare {
        /// The share in thousandths.
        permille: u16,
    },
    /// The process set its own share of a move's new version to zero.
    #[serde(rename = "move_cut")]
    MoveLocalRollback,
    /// The new version receives all traffic.
    MoveDone,
    /// The old version receives all traffic again.
    MoveRolledBack,
    /// The move was rejected and is not executed.
    MoveRefused,
    /// An order was sent to a target.
    OrderSent {
        /// The fencing token of the order.
        fence: Fence,
    },
    /// A sidecar or target refused an order with a stale fencing token.
    OrderRefused {
        /// The fencing token of the order.
        fence: Fence,
    },
    /// The process activated a configuration revision.
    RevisionApplied,
    /// The process acquired a lease.
    #[serde(rename = "lease_taken")]
    LeaseAcquired {
        /// The fencing token of the lease.
        fence: Fence,
    },
    /// The process no longer holds a lease.
    LeaseLost {
        /// The fencing token of the lease.
        fence: Fence,
    },
    /// The platform's store does not respond.
    StoreDown,
    /// The platform's store responds again.
    StoreUp,
    /// The process started.
    Started,
    /// The process refuses new work and finishes the work in flight.
    Draining,
    /// The process is about to exit.
    Stopped,
}

/// The category of an event, by which the HTML page colours it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Category {
    /// The normal life cycle of a request.
    Request,
    /// Work that was refused, stopped or lost, and unavailable targets, zones and services.
    Failure,
    /// Moves of traffic between versions, and orders to targets.
    Move,
    /// Processes, configuration, leases and recoveries.
    Control,
}

impl EventKind {
    /// Returns the category of the event.
    #[must_use]
    pub fn category(&self) -> Category {
        use EventKind as K;
        match self {
            K::RequestQueued | K::Dispatched | K::Admitted | K::FirstToken => Category::Request,
            K::Answered | K::Cancelled | K::Resumed { .. } => Category::Request,
            K::Refused { .. } | K::Shed { .. } | K::Failed | K::Preempted { .. } => {
                Category::Failure
            }
            K::Revoked { .. } | K::Unknown | K::TargetCold | K::TargetDown => Category::Failure,
            K::Crash | K::Quarantined { .. } | K::ZoneClosed | K::ZoneUnreachable => {
                Category::Failure
            }
            K::StoreDown | K::LeaseLost { .. } => Category::Failure,
            K::MoveShare { .. } | K::MoveLocalRollback | K::MoveDone | K::MoveRolledBack => {
                Category::Move
            }
            K::MoveRefused | K::OrderSent { .. } | K::OrderRefused { .. } => Category::Move,
            K::TargetWarm | K::TargetUp | K::Released { .. } | K::ZoneRestored => Category::Control,
            K::RevisionApplied | K::LeaseAcquired { .. } | K::StoreUp => Category::Control,
            K::Started | K::Draining | K::Stopped => Category::Control,
        }
    }
}

impl fmt::Display for EventKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        use EventKind as K;
        match self {
            K::RequestQueued => f.write_str("request queued"),
            K::Dispatched => f.write_str("dispatched"),
            K::Admitted => f.write_str("admitted"),
            K::Refused { reason } => write!(f, "refused: {}", spaced_name(reason)),
            K::Shed { reason } => write!(f, "shed: {}", spaced_name(reason)),
            K::FirstToken => f.write_str("first token"),
            K::Answered => f.write_str("answered"),
            K::Failed => f.write_str("failed"),
            K::Cancelled => f.write_str("cancelled"),
            K::Preempted { received } => write!(f, "preempted after {received} tokens"),
            K::Resumed { offset } => write!(f, "resumed at token {offset}"),
            K::Revoked { outcome } => write!(f, "revoked: {}", spaced_name(outcome)),
            K::Unknown => f.write_str("outcome unknown"),
            K::TargetCold => f.write_str("target cold"),
            K::TargetWarm => f.write_str("target warm"),
            K::TargetDown => f.write_str("target down"),
            K::TargetUp => f.write_str("target up"),
            K::Crash => f.write_str("target crashed"),
            K::Quarantined { fingerprint } => write!(f, "quarantined {fingerprint}"),
            K::Released { fingerprint } => write!(f, "released {fingerprint}"),
            K::ZoneClosed => f.write_str("zone closed"),
            K::ZoneUnreachable => f.write_str("zone dark"),
            K::ZoneRestored => f.write_str("zone restored"),
            K::MoveShare { permille } => {
                write!(f, "move share {}.{} %", permille / 10, permille % 10)
            }
            K::MoveLocalRollback => f.write_str("move cut"),
            K::MoveDone => f.write_str("move done"),
            K::MoveRolledBack => f.write_str("move rolled back"),
            K::MoveRefused => f.write_str("move refused"),
            K::OrderSent { fence } => write!(f, "order sent, fence {fence}"),
            K::OrderRefused { fence } => write!(f, "order refused, fence {fence}"),
            K::RevisionApplied => f.write_str("revision applied"),
            K::LeaseAcquired { fence } => write!(f, "lease taken, fence {fence}"),
            K::LeaseLost { fence } => write!(f, "lease lost, fence {fence}"),
            K::StoreDown => f.write_str("store down"),
            K::StoreUp => f.write_str("store up"),
            K::Started => f.write_str("started"),
            K::Draining => f.write_str("draining"),
            K::Stopped => f.write_str("stopped"),
        }
    }
}

/// Returns the serialized name of a unit variant, with spaces instead of underscores.
fn spaced_name<T: Serialize>(value: &T) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().replace('_', " ")
}
