//! Decides, beside one target, which attempts are run there.
//!
//! Entries choose a target from stale information. The sidecar is the only path to its target, so
//! it is the one place that knows what runs there, and its decision is final: an admitted attempt
//! is run once, and a refusal proves that the attempt was not run. The crate contains that
//! decision without any I/O. Each call takes the time and returns what the sidecar has to do, so
//! the same code runs in the sidecar, in tests and in the measuring program.
//!
//! ```
//! use std::time::Instant;
//! use ebonylug_admission::{Admission, Decision, Settings};
//! use ebonylug_core::{
//!     AttemptId, End, Fingerprint, Incarnation, Name, Offer, Repeat, RequestId, Revision, Revoked,
//!     Tier, Tokens,
//! };
//!
//! let now = Instant::now();
//! let incarnation = Incarnation(7);
//! let mut admission = Admission::new(Settings::model(incarnation), now);
//! admission.target_up(now);
//!
//! let attempt = AttemptId { request: RequestId(1), number: 0 };
//! let offer = Offer {
//!     attempt,
//!     incarnation,
//!     revision: Revision(0),
//!     tier: Tier::interactive(0),
//!     organisation: Name::new("fibras"),
//!     prompt: Tokens(300),
//!     cached: Tokens(0),
//!     output: Tokens(100),
//!     fingerprint: Fingerprint::of(b"prompt"),
//!     repeat: Repeat::Yes,
//!     offset: 0,
//!     fence: None,
//! };
//! assert!(admission.offer(now, offer.clone()).is_admit());
//! assert_eq!(admission.offer(now, offer), Decision::Join);
//!
//! admission.first_token(now, attempt);
//! admission.progress(now, attempt, Tokens(100));
//! admission.finish(now, attempt, End::Answered);
//! assert_eq!(admission.revoke(now, attempt, incarnation), Revoked::Finished);
//! ```
//!
//! # At most once
//!
//! Three memories together keep an attempt from running twice:
//!
//! * Attempts that run or have run are known exactly until the retention period is over. They are
//!   never evicted early. When their number reaches the bound, new attempts are refused; the last
//!   eighth is left to interactive work. Evicting the oldest instead would let a late copy of its
//!   offer run again, and would turn a late revoke into a false "not run".
//! * Tombstones of revoked attempts are exact and bounded. If one more cannot be stored, the
//!   revoke is answered as unknown.
//! * Refused attempts are kept in a filter of fixed size that never forgets within the retention
//!   period. A second copy of a refused offer must not run either, because the entry may have
//!   moved the request after the first refusal. Refusals are too many under overload for an exact
//!   set. A false positive refuses an attempt that could have run, which is safe. A retry at the
//!   same target therefore needs a new attempt number.
//!
//! No identifier tells its age, so the guarantees hold for offers and revokes that arrive within
//! the retention period after the attempt was first sent. An entry must treat older attempts as
//! unknown, and must not send an attempt again to a new incarnation.
//!
//! # Limit
//!
//! The work inside the target is capped in tokens, because the engine itself runs its requests in
//! order of arrival: work that waits inside it can be neither reordered nor refused. The limit is
//! relative to the target's own latencies at low load, so that speeds are discovered and not configured.
//!
//! A cold target is a different case. Doubling would overload it by many requests before the first
//! latency shows it. While the target is cold, the limit is the load that it has proved to handle,
//! and admissions exceed it by at most one request. When enough first tokens in a row were good,
//! the target is warm; the limit then doubles while it is in use and latency is stable, and later
//! grows by steps and shrinks by a factor.
//!
//! # Priorities
//!
//! Interactive work may use the whole limit, and preempts batch streams with the least prefill to
//! lose. Preempted streams stay accounted until they have ended, which keeps batch work out of
//! the room that they leave. While the target is cold, an interactive attempt waits for the
//! streams to end, since a cold target must not hold both. A refused interactive attempt leaves a
//! short reservation that its retry consumes.
//!
//! # Crashes
//!
//! The sidecar outlives its target and knows what was in flight. [`CrashLog`] attributes repeated
//! crashes to the one fingerprint that they have in common. A suspect is admitted only to an empty
//! target, and nothing is admitted beside it: it harms no neighbour, and its next crash or its
//! finished run decides.

mod admission;
mod baseline;
mod coldness;
mod crash;
mod decision;
mod headroom;
mod ledger;
mod limit;
mod preempt;
mod refusals;
mod reservation;
mod settings;
mod stream;

pub use admission::Admission;
pub use crash::{CrashId, CrashLog, Verdict};
pub use decision::{Action, AttemptIds, Decision};
pub use settings::{Settings, TargetKind};
