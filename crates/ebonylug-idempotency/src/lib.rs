//! Idempotency keys: calls with effects run at most once, whichever entry receives a retry.
//!
//! A dispatch order, a charge or a snooze must not happen twice, although callers retry after a
//! timeout, entries crash between any two steps, and responses of the store get lost. Such a call
//! needs an `Idempotency-Key`, and its entry writes a [`Record`] to the store before it sends
//! anything:
//!
//! * The conditional insert of the record decides which attempt may run. If it fails because the
//!   store is unavailable, the call is refused as not run. It is never sent before its record is
//!   stored.
//! * A retry finds the record and **joins** the attempt at its target, or returns the response
//!   that is stored in the record.
//! * If the target has never seen the attempt, the first entry may have crashed before sending it.
//!   The retry **revokes** the attempt: the target's sidecar stores a tombstone that makes it
//!   refuse the attempt on a late arrival. Only then does another attempt replace the revoked one,
//!   by compare-and-set.
//! * An outcome that cannot be determined is recorded and reported as unknown, and the call of
//!   that key never runs again.
//!
//! [`KeyedCall`] is a state machine without I/O that maps each [`Event`] to the next [`Action`]s;
//! [`drive`] performs them on a [`Table`](ebonylug_platform::Table) and a [`Transport`].
//!
//! Calls that may run twice need no record. [`CallCache`] caches values for them in the memory of
//! one sidecar, selected by [`cache_owner`], without any load on the store.
//!
//! ```
//! use std::time::{Duration, Instant, SystemTime};
//! use ebonylug_core::{Incarnation, Name, RequestId};
//! use ebonylug_idempotency::{
//!     Action, CallKey, Destination, Event, KeyedCall, KeyedRequest, RequestHash,
//! };
//! use ebonylug_platform::Committed;
//!
//! let now = Instant::now();
//! let request = KeyedRequest {
//!     key: CallKey::new(&Name::new("mill"), "order-17"),
//!     content: RequestHash::of("POST", "/orders", b"{}"),
//!     id: RequestId(1),
//!     deadline: now + Duration::from_secs(5),
//! };
//! let destination = Destination { target: Name::new("order-1"), incarnation: Incarnation(7) };
//! let (mut call, actions) = KeyedCall::start(request, destination, now, SystemTime::now());
//!
//! // Nothing is sent before the record is stored.
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
