//! Queueing and choice of targets in an entry, with the attempt ledger and the retry budget.
//!
//! An entry sees its targets through load reports that are out of date, shares the targets
//! with other entries, and holds requests that differ in length by a factor of 100. The
//! [`Router`] decides which request goes where and when. It has no I/O and no clock: it is told
//! what happened and when, and [`Router::poll`] returns what to do.
//!
//! # Why it is built so
//!
//! * **The queue is here, not at the targets.** An engine serves in order of arrival, so what
//!   has been sent cannot be overtaken. The router sends only what a target probably has room
//!   for, and so binds a request to a target as late as possible. Interactive requests wait by
//!   rank, deadline and arrival. Batch requests wait in fair order between organisations, in
//!   tokens, until their deadline comes near.
//! * **A report is corrected by own knowledge.** What was sent too recently to be part of the
//!   report is added, and what has ended since is subtracted. The sidecar has the last word:
//!   after its refusal the target is left alone until a newer report, or for a short time.
//! * **Targets with room are drawn at random, and the fastest of a few is taken.** Entries that
//!   follow the same report to the single best target would overload it. A tree of maxima finds
//!   targets with room in logarithmic time, even if nearly all are full.
//! * **A prefix hint is followed within a bound.** A cached prefix saves work only as long as
//!   it does not lead to a target that is much busier than the others.
//! * **A request is in one stage.** It waits, or it has one live attempt. Only a refusal, which
//!   proves that the attempt did not run, lets it move to another target; only preemption lets
//!   it be resumed, and only if it may be repeated. Outcomes that name any other attempt are
//!   ignored.
//! * **Shedding starts with the lowest tier, and interactive work is never shed while batch work
//!   waits or runs.** A request that has run in part is never reported as refused, since a
//!   refusal says that it did not run.
//! * **Retries cost a budget; without one a request waits.** Refusals of interactive requests
//!   come mostly from stale reports and prove that nothing ran, so the first few are free.
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
//!     deadline: None,
//!     repeat: Repeat::Yes,
//!     offset: 0,
//! };
//! router.enqueue(clock.now(), request).expect("the queue has room");
//! let actions = router.poll(clock.now());
//! let [Action::Dispatch(dispatch)] = actions.as_slice() else {
//!     panic!("the target has room");
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
