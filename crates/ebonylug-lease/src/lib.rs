//! Leases with fencing numbers, in rows of the table service.
//!
//! Raising a share beyond schedule, finishing a move and ordering a model load must be done by
//! one process at a time. A lease row names the process; its fencing number makes a late order
//! of an earlier holder ineffective at targets and sidecars that check it.
//!
//! The clocks of processes may be wrong, so that no decision compares times of two processes:
//!
//! * A **holder** counts the duration from the moment before it sent the write, on its own
//!   monotonic clock, less a margin. After a pause it finds the lease lost, and it never revives
//!   a lost lease: it takes a new one with a new fencing number.
//! * A **taker** waits for the full duration, on its own monotonic clock, since it first saw the
//!   present version of the row. It saw the version after the holder sent it, so its wait ends
//!   after the holder's, as long as the rates of the two clocks differ by less than the margin.
//!
//! The wall-clock time in the row is for people who look at the table.
//!
//! [`LeaseState`] makes the decisions without I/O; [`Candidate`] carries them out on a
//! [`Table`](ebonylug_platform::Table), and [`Lease`] is the guard that a holder keeps.
//!
//! # Takeover
//!
//! When a holder is gone, several candidates may try at about the same time; one wins, and the
//! others' conditional writes fail. A candidate therefore reads the row just before it takes the
//! lease, and [`Settings::stagger`] delays it by its index. `examples/takeover.rs` measures the
//! effect; the figures are at [`Stagger`].
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
//! let lease = candidate.step().await.expect("takes the free lease");
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
