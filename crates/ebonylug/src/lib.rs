//! The decision logic of a request scheduler for heterogeneous engines, without I/O.
//!
//! ebonylug runs as lightweight entry processes and one sidecar for each target. This crate
//! re-exports the decision logic of both, for use in other programs, in tests and in simulations.
//! Each state machine takes an event and a time and returns the actions to execute; clocks and
//! random seeds are passed in. The processes themselves are in the crates `ebonylug-entry` and
//! `ebonylug-sidecar`.
//!
//! # Modules
//!
//! - [`routing`]: an entry queues requests by tier, deadline and fairness, selects targets from
//!   stale load reports, and never retries a request that may have run.
//! - [`admission`]: a sidecar makes the final admission decision for its target. Its refusal
//!   guarantees that the request did not run.
//! - [`idempotency`]: non-idempotent calls are recorded before they are sent and run at most once.
//! - [`moves`]: traffic shifts to a new version on a shared schedule, limited by a comparison of
//!   both versions' responses.
//! - [`zones`] and [`membership`]: which zones and instances receive requests, given operators'
//!   orders, heartbeats and an instance list that may be outdated.
//! - [`resource`], [`config`] and [`lease`]: the declared resources, their acceptance and
//!   activation without ever reverting to an earlier revision, and which process may act on them.
//! - [`events`]: the events of all processes, merged in causal order.
//!
//! # Limits
//!
//! State is held in memory, bounded by the settings. Durable state is in the platform's table and
//! object store; ebonylug has no store of its own.
//!
//! # Example
//!
//! A sidecar records that an attempt was revoked before it arrived, and will refuse it:
//!
//! ```
//! use std::time::Instant;
//! use ebonylug::admission::{Admission, Settings};
//! use ebonylug::core::{AttemptId, Incarnation, RequestId, RevokeOutcome};
//!
//! let now = Instant::now();
//! let mut admission = Admission::new(Settings::model(Incarnation(7)), now);
//! admission.target_up(now);
//! let attempt = AttemptId { request: RequestId(1), number: 0 };
//! assert_eq!(admission.revoke(now, attempt, Incarnation(7)), RevokeOutcome::NotRun);
//! ```

pub use ebonylug_admission as admission;
pub use ebonylug_config as config;
pub use ebonylug_core as core;
pub use ebonylug_events as events;
pub use ebonylug_idempotency as idempotency;
pub use ebonylug_lease as lease;
pub use ebonylug_membership as membership;
pub use ebonylug_moves as moves;
pub use ebonylug_resource as resource;
pub use ebonylug_routing as routing;
pub use ebonylug_zones as zones;
