//! Admission control for a single target.
//!
//! Entries choose a target from stale information. The sidecar is the only path to its target and
//! has the exact state of its load, so its decision is final: an admitted attempt runs once, and a
//! refusal guarantees that the attempt was not run. This crate implements that decision without
//! I/O. Each call takes the current time and returns the actions for the sidecar, so the same code
//! runs in the sidecar, in tests and in the benchmarks.
//!
//! ```
//! use std::time::Instant;
//! use ebonylug_admission::{Admission, Decision, Settings};
//! use ebonylug_core::{
//!     AttemptId, End, Fingerprint, Incarnation, Name, Offer, Repeat, RequestId, Revision,
//!     RevokeOutcome, Tier, Tokens,
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
//!     parts: Default::default(),
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
//! assert_eq!(admission.revoke(now, attempt, incarnation), RevokeOutcome::Finished);
//! ```
//!
//! # At most once
//!
//! Three data structures together prevent an attempt from running twice:
//!
//! * Running and ended attempts are recorded exactly until the retention period is over. They are
//!   never evicted early. When their number reaches the bound, new attempts are refused; the last
//!   eighth is left to interactive work. Evicting the oldest instead would let a late copy of its
//!   offer run again, and would turn a late revoke into a false "not run".
//! * Tombstones of revoked attempts are exact and bounded. If no further tombstone can be stored,
//!   the revoke is answered as unknown.
//! * Refused attempts are recorded in a Bloom filter of fixed size, without false negatives within
//!   the retention period. A second copy of a refused offer must not run either, because the entry
//!   may have moved the request after the first refusal. Under overload there are too many refusals
//!   for an exact set. A false positive refuses an attempt that could have run, which is safe. A
//!   retry at the same target therefore needs a new attempt number.
//!
//! Identifiers carry no timestamp, so the guarantees hold for offers and revokes that arrive within
//! the retention period after the attempt was first sent. An entry must treat older attempts as
//! unknown, and must not send an attempt again to a new incarnation.
//!
//! # Limit
//!
//! The work inside the target is limited in tokens, because the engine runs its requests in order
//! of arrival: work that is queued inside it can be neither reordered nor refused. The limit adapts
//! to the target's own latencies at low load, so the speed of a target need not be configured.
//!
//! A cold target needs a different rule. Doubling the limit would overload it by many requests
//! before the first latency sample arrives. While the target is cold, the limit is the load that it
//! has been observed to handle, and admissions exceed it by at most one request. The target is warm
//! after enough first tokens with a good latency. The limit then doubles while it is in use and
//! latency is stable. After that, it grows in steps and shrinks by a factor.
//!
//! # Priorities
//!
//! Interactive work may use the whole limit, and preempts the batch streams that lose the least
//! prefill. Preempted streams count against the limit until they have ended, so batch work cannot
//! take the capacity that they free. While the target is cold, an offer preempts nothing, since a
//! cold target must not hold the old and the new streams at once; an interactive attempt is
//! refused until streams have ended. A refused interactive attempt leaves a short reservation that
//! its retry consumes.
//!
//! # Crashes
//!
//! The sidecar survives a crash of its target and has the list of attempts in flight. [`CrashLog`]
//! attributes repeated crashes to the one fingerprint that they have in common. A suspect is
//! admitted only to an empty target, and nothing else is admitted while it runs. It therefore
//! cannot affect other requests. If it crashes the target again, it is quarantined; if its run
//! finishes, it is cleared.

mod admission;
mod baseline;
mod cold_detector;
mod crash;
mod decision;
mod headroom;
mod history;
mod limit;
mod preemption;
mod refusals;
mod reservation;
mod settings;
mod stream;

pub use admission::Admission;
pub use crash::{CauseStatus, CrashId, CrashLog};
pub use decision::{Action, AttemptIds, Decision};
pub use settings::{Settings, TargetKind};
