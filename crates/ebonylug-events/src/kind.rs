use std::fmt;

use ebonylug_core::{Fence, Fingerprint, Reason, Revoked};
use serde::{Deserialize, Serialize};

/// What happened. The subject of the event tells to whom or what.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum EventKind {
    /// An entry has put a request into its queue.
    RequestQueued,
    /// An entry has sent an attempt to a sidecar.
    Dispatched,
    /// A sidecar has passed an attempt on to its target.
    Admitted,
    /// A sidecar has refused an attempt, which was not run.
    Refused {
        /// Why.
        reason: Reason,
    },
    /// An entry has given up a request that was not run.
    Shed {
        /// Why.
        reason: Reason,
    },
    /// The target gave the first part of its answer.
    FirstToken,
    /// The whole answer was given.
    Answered,
    /// The attempt ran and ended without a whole answer.
    Failed,
    /// The caller no longer wants the answer.
    Cancelled,
    /// The attempt was stopped to make room.
    Preempted {
        /// Output tokens that were given before.
        received: u64,
    },
    /// An attempt continues an earlier one.
    Resumed {
        /// Output tokens that the earlier attempts gave.
        offset: u64,
    },
    /// A sidecar has answered to a revocation.
    Revoked {
        /// What became of the attempt.
        #[serde(rename = "answer")]
        outcome: Revoked,
    },
    /// It is not known whether the attempt ran.
    Unknown,
    /// The target is in cold start.
    TargetCold,
    /// The target has left its cold start.
    TargetWarm,
    /// The target is down.
    TargetDown,
    /// The target is up again.
    TargetUp,
    /// The target went down while requests ran on it.
    Crash,
    /// A request is refused everywhere, because it crashes its targets.
    Quarantined {
        /// The hash of its content.
        fingerprint: Fingerprint,
    },
    /// An operator has ended a quarantine.
    Released {
        /// The hash of the request's content.
        fingerprint: Fingerprint,
    },
    /// Operators have taken the zone out of service.
    ZoneClosed,
    /// Most targets of the zone are silent.
    #[serde(rename = "zone_dark")]
    ZoneUnreachable,
    /// The zone takes work again.
    ZoneRestored,
    /// The share of a move's new version has changed.
    MoveShare {
        /// The share in thousandths.
        permille: u16,
    },
    /// The process has cut the share of a move's new version by itself.
    #[serde(rename = "move_cut")]
    MoveLocalRollback,
    /// The new version has all traffic.
    MoveDone,
    /// The old version has all traffic again.
    MoveRolledBack,
    /// The move is not carried out.
    MoveRefused,
    /// An order was given to a target.
    OrderSent {
        /// Its fencing number.
        fence: Fence,
    },
    /// A sidecar or target has refused an order with an old fencing number.
    OrderRefused {
        /// The fencing number of the order.
        fence: Fence,
    },
    /// The process works by a new configuration.
    RevisionApplied,
    /// The process holds a lease.
    #[serde(rename = "lease_taken")]
    LeaseAcquired {
        /// The fencing number of the lease.
        fence: Fence,
    },
    /// The process no longer holds a lease.
    LeaseLost {
        /// The fencing number of the lease.
        fence: Fence,
    },
    /// The platform's store does not answer.
    StoreDown,
    /// The platform's store answers again.
    StoreUp,
    /// The process has started.
    Started,
    /// The process takes no new work and finishes what runs.
    Draining,
    /// The process ends.
    Stopped,
}

/// The part of the system that an event belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Category {
    /// The life of a request, as it should go.
    Request,
    /// Work that was refused, stopped or lost, and targets and zones that are not available.
    Failure,
    /// Moves and orders.
    Move,
    /// Processes, configuration, leases and recoveries.
    Control,
}

impl EventKind {
    /// Returns the part of the system that the event belongs to.
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
            K::Refused { reason } => write!(f, "refused: {}", word(reason)),
            K::Shed { reason } => write!(f, "shed: {}", word(reason)),
            K::FirstToken => f.write_str("first token"),
            K::Answered => f.write_str("answered"),
            K::Failed => f.write_str("failed"),
            K::Cancelled => f.write_str("cancelled"),
            K::Preempted { received } => write!(f, "preempted after {received} tokens"),
            K::Resumed { offset } => write!(f, "resumed at token {offset}"),
            K::Revoked { outcome } => write!(f, "revoked: {}", word(outcome)),
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

/// The word by which a value is written in messages, with spaces.
fn word<T: Serialize>(value: &T) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().replace('_', " ")
}
