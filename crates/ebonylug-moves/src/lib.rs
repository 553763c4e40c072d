//! Version moves: schedule, evidence, judgement and phases.
//!
//! A move takes the traffic of one or more routes from one version of a model or service to
//! another by a deadline. Entries do not ask anybody for the share of the moment: each computes
//! it as the minimum of an agreed schedule ([`scheduled_share`]), of what the evidence permits
//! and of what the warm targets of the new version bear. An outage of the platform's store
//! therefore neither stalls a good version nor protects a bad one.
//!
//! * [`Evidence`] counts answers, failures and slow answers by version, route and process in
//!   buckets of [`BUCKET_LENGTH`]. Entries exchange it; repeated and crossed messages do no harm.
//! * [`SequentialTest`] compares both versions over the same buckets, so that a burst that hits both is
//!   no reason to roll back.
//! * [`MoveState`] holds the phase of the move at one entry. A cut of the share is local,
//!   immediate and never undone. Orders to targets and writes of the status need the lease.
//! * [`LoadPlan`] spreads model loads over the time before the ramp, since the weight store
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
mod counts;
mod evidence;
mod judge;
mod likelihood;
mod load;
mod memo;
mod probe;
mod share;
mod spec;
mod state;
mod status;
mod strata;

pub use action::{Actions, Capacity, MoveAction, StoreState};
pub use counts::{Counts, LatencyThresholds, Sample};
pub use evidence::{BUCKET_LENGTH, Bucket, Evidence, MAX_BUCKETS, MAX_SERIES};
pub use judge::{Comparison, Finding, Measure, SequentialTest};
pub use load::{LoadPlan, LoadRate, LoadState, TargetLoad};
pub use share::Share;
pub use spec::{MoveSpec, SpecError, find_conflict, scheduled_share};
pub use state::MoveState;
pub use status::{Condition, MoveReason, MoveStatus, Phase};
