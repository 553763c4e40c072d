//! A request scheduler for unlike engines: the decisions, without I/O.
//!
//! ebonylug runs as thin entry processes and one small sidecar beside each target. This crate
//! gathers the decisions that both make, for use in other programs, in tests and in simulations.
//! Each decision takes an event and a time and returns what is to be done; clocks and random seeds
//! are passed in. The processes themselves are the crates `ebonylug-entry` and `ebonylug-sidecar`.
//!
//! # What is decided where
//!
//! - [`routing`]: an entry queues requests by urgency, deadline and fairness, chooses targets from
//!   stale reports, and never runs again what may have run.
//! - [`admission`]: a sidecar has the last word on its target. Its refusal proves that the request
//!   was not run.
//! - [`idempotency`]: calls with effects are recorded before they are sent, and run at most once.
//! - [`moves`]: traffic moves to a new version by an agreed schedule, held back by evidence.
//! - [`zones`] and [`membership`]: where work may go, from orders, heartbeats and a lagging list.
//! - [`config`], [`resource`] and [`lease`]: what operators declare, how it is accepted once and
//!   never reverts, and who may act on it.
//! - [`events`]: what happened, in one causal order over all processes.
//!
//! # Limits
//!
//! Decisions hold their state in memory, bounded by their settings. What must last lives in the
//! platform's table and object store; there is no store of ebonylug's own.
//!
//! # Example
//!
//! A sidecar that refuses an attempt which was revoked before it arrived:
//!
//! ```
//! use std::time::Instant;
//! use ebonylug::admission::{Admission, Settings};
//! use ebonylug::core::{AttemptId, Incarnation, RequestId, Revoked};
//!
//! let now = Instant::now();
//! let mut admission = Admission::new(Settings::model(Incarnation(7)), now);
//! admission.target_up(now);
//! let attempt = AttemptId { request: RequestId(1), number: 0 };
//! assert_eq!(admission.revoke(now, attempt, Incarnation(7)), Revoked::NotRun);
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
