//! Leases with fencing tokens, kept in rows of the store.
//!
//! Raising a share beyond the schedule, finishing a move and ordering a model load must be done by
//! one process at a time. The row of a lease names that process. Its fencing token makes a delayed
//! order of a former holder ineffective at targets and sidecars that check the token.
//!
//! The clocks of processes may be wrong, so no decision compares the times of two processes:
//!
//! * A **holder** measures the duration on its own monotonic clock, from the moment before it sent
//!   the write, and subtracts a margin. After a pause it finds the lease expired. It never extends
//!   an expired lease, but acquires it again with a new fencing token.
//! * Another **candidate** waits for the full duration on its own monotonic clock, from the moment
//!   at which it first read the current version of the row. It read that version after the holder
//!   had sent it, so its wait ends after the lease has expired at the holder, as long as the drift
//!   between the two clocks is less than the margin.
//!
//! The wall-clock time in the row is for operators who inspect the store.
//!
//! [`LeaseState`] makes the decisions without I/O. [`Candidate`] makes the calls to a
//! [`Table`](ebonylug_platform::Table), and [`Lease`] is the guard that a holder keeps.
//!
//! # Takeover
//!
//! When a holder has crashed, several candidates may try to acquire the lease at about the same
//! time. One succeeds, and the conditional writes of the others fail. To reduce these conflicts, a
//! candidate reads the row immediately before it writes, and [`Settings::stagger`] delays it by its
//! index. `examples/takeover.rs` measures the effect; see [`Stagger`] for the results.
//!
//! ```
//! use std::sync::Arc;
//! use ebonylug_core::{Clock, Fence, Incarnation, ManualClock, Name};
//! use ebonylug_lease::{Candidate, LeaseState, Settings};
//! use ebonylug_platform::MemoryPlatform;
//!
//! # let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
//! # runtime.block_on(async {
//! let clock = Arc::new(ManualClock::new());
//! let process = Name::new("entry-1");
//! let settings = Settings::default();
//! let state = LeaseState::new("move-chat", process, Incarnation(1), settings, clock.now());
//! let mut candidate = Candidate::new(MemoryPlatform::new(), clock.clone(), state);
//!
//! let lease = candidate.step().await.expect("acquires the free lease");
//! assert_eq!(lease.fence(), Fence(1));
//! assert!(lease.is_valid());
//!
//! clock.advance(settings.duration); // The process was paused.
//! assert!(!lease.is_valid());
//! # });
//! ```

mod candidate;
mod row;
mod state;

pub use candidate::{Candidate, Lease};
pub use row::{LeaseRow, row_key};
pub use state::{Call, LeaseState, Reply, Settings, Stagger};
