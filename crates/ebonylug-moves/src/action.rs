use ebonylug_core::{Fence, Name};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{MoveStatus, Share};

/// The actions that [`MoveState::tick`](crate::MoveState::tick) returns, in the order in which the
/// process must carry them out.
pub type Actions = SmallVec<[MoveAction; 4]>;

/// One action of a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveAction {
    /// Routes this share of the routes' traffic to the new version from now on.
    SetShare(Share),
    /// Sends the status to all peers immediately. Emitted when the phase changes.
    BroadcastStatus(MoveStatus),
    /// Writes the status to the store under the lease. Emitted again until
    /// [`MoveState::confirm_write`](crate::MoveState::confirm_write) is called with it.
    WriteStatus {
        /// The status to write.
        status: MoveStatus,
        /// The fencing token of the lease.
        fence: Fence,
    },
    /// Orders a target to load a version.
    LoadVersion {
        /// The target that loads the version.
        target: Name,
        /// The version to load.
        version: Name,
        /// The fencing token of the lease.
        fence: Fence,
    },
    /// Sends a few requests without side effects to a target that has loaded the version and is
    /// still in cold start.
    WarmUp {
        /// The target to warm up.
        target: Name,
        /// The version that the target has loaded.
        version: Name,
        /// The fencing token of the lease.
        fence: Fence,
    },
    /// Allows targets to unload a version: the old one, or the new one after a rollback.
    ReleaseVersion {
        /// The version that no longer has to stay warm.
        version: Name,
        /// The fencing token of the lease.
        fence: Fence,
    },
}

/// Whether the platform's store is reachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StoreState {
    /// The store responds.
    Up,
    /// The store does not respond, or responds too slowly.
    Down,
}

/// Capacity of the targets of the new version, as a fraction of the load of the move's routes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Capacity {
    /// Capacity of the targets that are warm now.
    pub warm: f64,
    /// Capacity of all targets that are declared for the version.
    pub planned: f64,
}
