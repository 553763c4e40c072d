//! Version moves: schedule, outcome counters, comparison of versions and phases.
//!
//! A move shifts the traffic of one or more routes from one version of a model or service to
//! another by a deadline. Each entry computes the current share of the new version locally, as the
//! minimum of a deterministic schedule ([`scheduled_share`]), of the limit from the comparison of
//! both versions and of the capacity of the warm targets. An outage of the platform's store
//! therefore neither stalls the rollout of a good version nor prevents the rollback of a bad one.
//!
//! * [`Evidence`] counts successes, failures and slow responses by version, route and process in
//!   buckets of [`BUCKET_LENGTH`]. Entries exchange it; duplicated and reordered messages have no
//!   effect.
//! * [`SequentialTest`] compares both versions over the same buckets, so that a burst of failures
//!   that affects both does not cause a rollback.
//! * [`MoveState`] holds the state of a move at one entry. A rollback is local, immediate and final.
//!   Orders to targets and writes of the status require the lease.
//! * [`LoadPlan`] spreads model loads over the time before the start, because the weight store
//!   limits their rate.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, SystemTime};
//! use ebonylug_core::Incarnation;
//! use ebonylug_moves::{
//!     Capacity, Evidence, MoveSpec, MoveState, Phase, Sample, Share, StoreState,
//! };
//!
//! let start = SystemTime::UNIX_EPOCH + Duration::from_secs(86_400);
//! let spec = MoveSpec::new("kettle-7", "reminders", "v6", "v7")
//!     .window(start, start + Duration::from_secs(600));
//! let mut state = MoveState::new(spec);
//! state.set_capacity(Capacity { warm: 1.0, planned: 1.0 });
//!
//! let mut evidence = Evidence::default();
//! let process = Incarnation(1);
//! for step in 0..20 {
//!     let now = start + Duration::from_secs(step);
//!     evidence.record(now, process, "v6", "reminders", Sample::success());
//!     evidence.record(now, process, "v7", "reminders", Sample::failure());
//!     state.tick(now, &evidence, StoreState::Down, None);
//! }
//! assert_eq!(state.phase(), Phase::RolledBack);
//! assert_eq!(state.share(), Share::ZERO);
//! ```

mod action;
mod baseline;
mod counts;
mod evidence;
mod likelihood;
mod load;
mod ratio_cache;
mod sequential_test;
mod share;
mod spec;
mod state;
mod status;
mod strata;
mod suspicion;

pub use action::{Actions, Capacity, MoveAction, StoreState};
pub use baseline::LatencyBaselines;
pub use counts::{Counts, LatencyThresholds, Sample};
pub use evidence::{BUCKET_LENGTH, Bucket, Evidence, MAX_BUCKETS, MAX_SERIES};
pub use load::{LoadPlan, LoadRate, LoadState, TargetLoad};
pub use sequential_test::{Comparison, Finding, Measure, SequentialTest};
pub use share::Share;
pub use spec::{MoveSpec, SpecError, find_conflict, scheduled_share};
pub use state::MoveState;
pub use status::{Condition, MoveReason, MoveStatus, Phase};
