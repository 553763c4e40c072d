use ebonylug_core::{Fence, Name};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{MoveStatus, Share};

/// What [`MoveState::tick`](crate::MoveState::tick) asks its process to do, in order.
pub type Actions = SmallVec<[MoveAction; 4]>;

/// One thing to do for a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveAction {
    /// Gives the new version this share of the routes' traffic from now on.
    SetShare(Share),
    /// Sends the status to all peers at once. It is emitted when the phase changes.
    BroadcastStatus(MoveStatus),
    /// Writes the status to the table under the lease. It is emitted again until
    /// [`MoveState::confirm_write`](crate::MoveState::confirm_write) confirms it.
    WriteStatus {
        /// The status.
        status: MoveStatus,
        /// The fencing number of the lease.
        fence: Fence,
    },
    /// Orders a target to load a version.
    LoadVersion {
        /// The target.
        target: Name,
        /// The version.
        version: Name,
        /// The fencing number of the lease.
        fence: Fence,
    },
    /// Sends a few requests without effects to a target that has loaded the version but is cold.
    WarmUp {
        /// The target.
        target: Name,
        /// The version.
        version: Name,
        /// The fencing number of the lease.
        fence: Fence,
    },
    /// The old (after a rollback, the new) version need not be kept warm any more.
    ReleaseVersion {
        /// The version.
        version: Name,
        /// The fencing number of the lease.
        fence: Fence,
    },
}

/// Whether the platform's table answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StoreState {
    /// The table answers.
    Up,
    /// The table does not answer, or too slowly.
    Down,
}

/// What the targets of the new version bear, as a fraction of the load of the move's routes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Capacity {
    /// Targets that are warm now.
    pub warm: f64,
    /// All targets that are declared for the version.
    pub planned: f64,
}
