//! Idempotency keys: calls with effects run at most once, whichever entry a repeat arrives at.
//!
//! A dispatch order, a charge or a snooze must not happen twice, although callers send again
//! after a time-out, entries die between any two steps, and the store loses replies. Such a call
//! needs an `Idempotency-Key`, and its entry writes a [`Record`] into the table before it sends
//! anything:
//!
//! * The conditional insert of the record decides which attempt may run. If it fails because the
//!   store is down, the call is refused as not run; it is never sent in the hope that the insert
//!   will succeed.
//! * A repeat finds the record and **joins** the attempt at its target, or gets the finished
//!   answer out of the record.
//! * If the target has never seen the attempt, the first entry may have died before sending. The
//!   repeat **revokes** the attempt: the target's sidecar leaves a tombstone that refuses the
//!   attempt should it still arrive, and only then does another attempt take its place, by
//!   compare-and-set.
//! * An outcome that cannot be known is recorded and reported as unknown, and the key never runs
//!   again.
//!
//! [`KeyedCall`] makes the decisions without I/O, from [`Event`] to [`Action`]; [`drive`] carries
//! them out on a [`Table`](ebonylug_platform::Table) and a [`Transport`].
//!
//! Repeatable calls with a key need no such care. [`CallCache`] remembers them for a while in the
//! memory of a [`cache_owner`] sidecar, which keeps their load off the table.
//!
//! ```
//! use std::time::{Duration, Instant, SystemTime};
//! use ebonylug_core::{Incarnation, Name, RequestId};
//! use ebonylug_idempotency::{Action, CallKey, Event, KeyedCall, KeyedRequest, Destination, RequestHash};
//! use ebonylug_platform::Committed;
//!
//! let now = Instant::now();
//! let request = KeyedRequest {
//!     key: CallKey::new(&Name::new("mill"), "order-17"),
//!     content: RequestHash::of("POST", "/orders", b"{}"),
//!     id: RequestId(1),
//!     deadline: now + Duration::from_secs(5),
//! };
//! let place = Destination { target: Name::new("order-1"), incarnation: Incarnation(7) };
//! let (mut call, actions) = KeyedCall::start(request, place, now, SystemTime::now());
//!
//! // Nothing is sent before the record is in the table.
//! assert!(matches!(actions[..], [Action::Write(_)]));
//! let actions = call.handle(now, Event::Written(Ok(Committed { version: 1 })));
//! assert!(matches!(actions[..], [Action::Send(_)]));
//! ```

mod cache;
mod call;
mod drive;
mod key;
mod record;

pub use cache::{CallCache, cache_owner};
pub use call::{
    Action, Actions, CallOutcome, Event, JoinOutcome, KeyedCall, KeyedRequest, SendOutcome,
};
pub use drive::{Transport, drive};
pub use key::{CallKey, RequestHash};
pub use record::{Destination, MAX_BODY_BYTES, Record, RecordState, Response};
