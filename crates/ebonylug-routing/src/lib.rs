//! Request queueing and target selection for an entry, with an attempt ledger and a retry budget.
//!
//! An entry sees its targets through stale load reports, shares the targets with other entries,
//! and queues requests whose lengths differ by a factor of 100. The [`Router`] decides when and
//! where each request is dispatched. It performs no I/O and reads no clock: the caller passes
//! in events with their times, and [`Router::poll`] returns the actions to take.
//!
//! # Design
//!
//! * **Requests queue at the entry, not at the targets.** An engine serves in order of arrival,
//!   so a dispatched request cannot be overtaken. The router dispatches only what a target
//!   probably has headroom for, and so binds a request to a target as late as possible.
//!   Interactive requests are ordered by rank, deadline and arrival. Batch requests are ordered
//!   by token-weighted fair queueing between organisations, until their deadlines are near.
//! * **Local information corrects stale reports.** Attempts sent too recently to be part of the
//!   last report are added to the load, and attempts that have ended since are subtracted. The
//!   decision of the sidecar is authoritative: a target that refuses is paused until a newer
//!   report or until its backoff ends.
//! * **The fastest of a few random targets with headroom is chosen.** Entries that all follow
//!   the same report to the single best target would overload it. A segment tree finds targets
//!   with headroom in logarithmic time, even if nearly all are full.
//! * **Prefix affinity is bounded.** A cached prefix saves work only if its target is not much
//!   busier than the others.
//! * **A request either waits or has exactly one live attempt.** Only a refusal, which proves
//!   that the attempt did not run, lets a request move to another target. Only preemption lets
//!   it resume, and only if it may be repeated. Outcomes of any other attempt are ignored.
//! * **Shedding starts with the lowest tier, and interactive work is never shed while batch work
//!   waits or runs.** A request that has run in part is never reported as refused, since a
//!   refusal states that the request did not run.
//! * **Retries are limited by a budget; a request waits while it is exhausted.** Refusals of
//!   interactive requests mostly result from stale reports and prove that nothing ran, so the
//!   first few need no budget.
//!
//! # Example
//!
//! ```
//! use ebonylug_core::{
//!     Clock, Fingerprint, Gate, Incarnation, LoadReport, ManualClock, Name, Outcome, Repeat,
//!     RequestId, Revision, Tier, Tokens,
//! };
//! use ebonylug_routing::{Action, Request, Router, Settings, TargetInfo, TargetKind};
//!
//! let clock = ManualClock::new();
//! let mut router = Router::new(Settings::default(), 7);
//! let route = router.route_key(&Name::new("quotations"));
//! let version = router.version_key(&Name::new("v1"));
//! let target = TargetInfo {
//!     name: Name::new("engine-1"),
//!     zone: router.zone_key(&Name::new("liberia-a")),
//!     version,
//!     routes: [route].into_iter().collect(),
//!     kind: TargetKind::Model,
//! };
//! let target = router.add_target(target);
//! router.set_shares(route, &[(version, 1.0)]);
//! let report = LoadReport {
//!     incarnation: Incarnation(1),
//!     sequence: 1,
//!     revision: Revision(1),
//!     gate: Gate::Open,
//!     up: true,
//!     cold: false,
//!     limit: Tokens(10_000),
//!     used: Tokens(0),
//!     batch: Tokens(0),
//!     rate: 900.0,
//!     reserved: Tokens(0),
//! };
//! router.apply_report(clock.now(), target, &report);
//!
//! let request = Request {
//!     id: RequestId(1),
//!     route,
//!     organisation: router.organisation_key(&Name::new("ropeworks")),
//!     tier: Tier::interactive(0),
//!     prompt: Tokens(400),
//!     max_output: Tokens(100),
//!     prefix: Default::default(),
//!     fingerprint: Fingerprint::of(b"a quotation for 200 m of sisal"),
//!     parts: Default::default(),
//!     deadline: None,
//!     repeat: Repeat::Yes,
//!     offset: 0,
//! };
//! router.enqueue(clock.now(), request).expect("the queue has room");
//! let actions = router.poll(clock.now());
//! let [Action::Dispatch(dispatch)] = actions.as_slice() else {
//!     panic!("the target has headroom");
//! };
//! assert_eq!(dispatch.target, target);
//! router.apply_outcome(clock.now(), dispatch.offer.attempt, Outcome::Answered);
//! assert!(router.backlog().tiers.is_empty());
//! ```

mod action;
mod budget;
mod choice;
mod estimate;
mod fair_queue;
mod headroom;
mod key;
mod ledger;
mod outcome;
mod poll;
mod prefix;
mod queue;
mod recent_map;
mod request;
mod router;
mod settings;
mod shares;
mod target;
mod targets;
mod warm_wait;
mod workload;

pub use action::{Action, Actions, AtRisk, Backlog, Cancelled, Dispatch, Disposition, TierBacklog};
pub use key::{OrganisationKey, RequestKey, RouteKey, TargetKey, VersionKey, ZoneKey};
pub use request::Request;
pub use router::Router;
pub use settings::{Settings, SettingsError};
pub use target::{TargetInfo, TargetKind, TargetState};
