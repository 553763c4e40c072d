//! Typed events, bounded event rings and a causal timeline across processes.
//!
//! To find out why a request was slow, an operator needs the events of several processes in one
//! order. Wall clocks cannot provide it, since they differ by more than the steps of a request
//! take. Each process therefore stamps its events with a Lamport clock ([`LamportClock`]), whose
//! timestamps are carried by the messages between processes, and keeps its most recent events in
//! an [`EventRing`]. A [`Timeline`] merges the rings so that each event comes after all events that
//! caused it. It renders as a text table, as JSON lines or as a single HTML page.
//!
//! The crate does no I/O; the caller passes in the time.
//!
//! ```
//! use std::time::SystemTime;
//! use ebonylug_core::{AttemptId, Incarnation, Reason, RequestId};
//! use ebonylug_events::{EventKind, EventRing, Filter, Origin, Subject, Timeline};
//!
//! let ring = |process: &str| {
//!     let origin = Origin {
//!         process: process.into(),
//!         zone: "liberia-a".into(),
//!         incarnation: Incarnation(7),
//!     };
//!     EventRing::new(origin, 1000)
//! };
//! let (mut entry, mut sidecar) = (ring("entry-1"), ring("sidecar-3"));
//! let now = SystemTime::UNIX_EPOCH;
//!
//! let attempt = AttemptId { request: RequestId(5), number: 0 };
//! let subject = Subject::new().attempt(attempt).target("engine-3".into());
//! let sent = entry.push(now, EventKind::Dispatched, subject.clone(), None);
//! let full = EventKind::Refused { reason: Reason::Full };
//! sidecar.push(now, full, subject, Some(sent));
//!
//! let pages = [sidecar.since(0, 100), entry.since(0, 100)];
//! let timeline = Timeline::merge(pages.map(|page| page.events).into());
//! let one = Filter { request: Some(RequestId(5)), ..Filter::default() };
//! let text = timeline.filter(&one).to_text();
//! assert!(text.find("dispatched") < text.find("refused: full"));
//! ```

mod clock;
mod event;
mod html;
mod kind;
mod render;
mod ring;
mod timeline;

pub use clock::{LamportClock, Stamp};
pub use event::{Event, EventRef, Origin, Subject};
pub use kind::{Category, EventKind};
pub use ring::{EventRing, Page};
pub use timeline::{Filter, Timeline};
