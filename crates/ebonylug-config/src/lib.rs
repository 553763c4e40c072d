//! Publishing a configuration, and activating it in every process.
//!
//! A configuration is accepted when it is committed by compare-and-set on one head row of the
//! store, `{revision, hash, token}`. The hash identifies a manifest in the object store, and the
//! manifest lists the hashes of the document's sections, so that a process which has the previous
//! revision fetches only the changed sections.
//!
//! Three rules follow from the requirement that an accepted configuration never reverts:
//!
//! * **The active revision never decreases.** [`ConfigState`] ignores a lower revision, even from a
//!   peer or from a store that was restored from a backup.
//! * **A process without a configuration is not ready.** It fetches one from the store or, while
//!   the store is unavailable, from a peer. There is no built-in default, which could be older than
//!   the accepted configuration.
//! * **The outcome of a commit whose response was lost is read back.** Each commit also writes a
//!   history row for its revision with the publisher's token. After a lost response, [`Publisher`]
//!   reads that row. The head row does not suffice, since another publisher may have replaced it in
//!   the meantime.
//!
//! Only a few processes, selected by [`select_pollers`], read the head row every second. The others
//! receive the revisions of their peers in messages and fetch a higher one.
//!
//! ```
//! use ebonylug_config::{ConfigState, Publisher, Settings, SourceId, StoreSource, fetch};
//! use ebonylug_core::{Clock, Incarnation, ManualClock};
//! use ebonylug_platform::MemoryPlatform;
//! use ebonylug_resource::{Change, parse_resources};
//!
//! # let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
//! # runtime.block_on(async {
//! let store = MemoryPlatform::new();
//! let publisher = Publisher::new(store.clone(), Incarnation(1));
//! let zone = r#"{ kind: "AvailabilityZone", metadata: { name: "canas-b" }, spec: {} }"#;
//! let change = Change::put_all(parse_resources(zone)?);
//! publisher.publish(&change).await?;
//!
//! let clock = ManualClock::new();
//! let mut state = ConfigState::new(Settings::default(), clock.now());
//! assert!(!state.is_ready());
//! assert_eq!(state.tick(clock.now()), Some(SourceId::Store));
//! let fetched = fetch(&StoreSource(store), state.snapshot()).await;
//! state.complete_fetch(clock.now(), &SourceId::Store, fetched.into());
//! assert_eq!(state.revision().0, 1);
//! # Ok::<(), ebonylug_resource::Problem>(())
//! # }).unwrap();
//! ```

mod head;
mod history;
mod pollers;
mod publisher;
mod snapshot;
mod source;
mod state;

pub use head::{HEAD_KEY, Head};
pub use history::{History, WatchUpdate};
pub use pollers::select_pollers;
pub use publisher::Publisher;
pub use snapshot::Snapshot;
pub use source::{Error, Result, Source, StoreSource, fetch};
pub use state::{ApplyOutcome, ConfigState, FetchOutcome, Settings, SourceId};
