//! An entry that calls its targets itself, with no sidecar on the data path.
//!
//! The decisions are those of `ebonylug-dispatch`. This crate connects them to sockets and clocks:
//!
//! - [`Entry`]: the state of an entry, told of configurations and targets by [`follow`].
//! - [`server`]: listens to callers and to the balancer, and stops as planned.
//! - [`peers`]: exchanges loads and quotas with the other entries.
//! - [`copies`]: passes tables on to entries that the store turns away.
//! - [`Dialect`]: the header names of a deployment.
//!
//! # One thread
//!
//! An entry has a part of one core. All connections, requests and decisions share one thread, so
//! that nothing is locked and no task moves between threads. The state is in [`std::cell::RefCell`]s,
//! which are never borrowed across an `await`.
//!
//! # What is proof
//!
//! A request has not run if it was not written to a connection, or if the target says so. After a
//! broken connection, an answer to another request or silence, it may have run, and is sent again
//! only if its route allows that.

mod answer;
mod attempt;
mod dialect;
mod entry;
mod events;
pub mod follow;
mod forward;
mod grant;
mod head;
mod instruments;
mod moves;
pub mod peers;
mod pool;
mod request;
pub mod server;
mod shown;
mod state;
mod stream;
pub mod table_cache;
mod uptime;

pub use dialect::Dialect;
pub use entry::{Bounds, Entry, Settings};
pub use events::EventSplitter;
pub use moves::{MoveOrder, MoveReport};
pub use uptime::{SystemUptime, Uptime};
