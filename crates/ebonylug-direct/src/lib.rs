//! An entry that calls its targets itself, with no sidecar on the data path.
//!
//! `ebonylug-dispatch` decides which target gets a request, and when. This crate connects those
//! decisions to sockets and clocks:
//!
//! - [`Entry`]: the state of an entry. It receives configurations and targets through [`follow`].
//! - [`server`]: accepts callers' connections, answers health checks and shuts down gracefully.
//! - [`facts`]: what goes before rows that the store sends later.
//! - [`peers`]: exchanges load and quota usage with the other entries.
//! - [`table_cache`]: serves tables to entries whose calls the store rejects.
//! - [`transport`]: how entries reach each other.
//! - [`duties`]: performs the duties of one entry at a time.
//! - [`Dialect`]: the header names of a deployment.
//!
//! # One thread
//!
//! An entry gets a fraction of one core. All connections, requests and decisions share one thread, so
//! there are no locks and no task moves between threads. The state is held in
//! [`std::cell::RefCell`]s, which are never borrowed across an `await`.
//!
//! # Safe retries
//!
//! A request has certainly not run if it was never written to a connection, or if the target reports
//! so. After a broken connection, a timeout or a response that carries another request's id, it may
//! have run, and is retried only if its route is idempotent.

mod attempt;
mod cold_checks;
mod confirmation;
mod crashes;
mod dialect;
pub mod duties;
mod entry;
mod events;
mod exchange;
pub mod facts;
mod fallback;
pub mod follow;
mod forward;
mod head_timeout;
mod hedge;
mod instruments;
mod memory;
mod moves;
mod notices;
pub mod peers;
mod pool;
mod quota_charge;
mod read_limits;
mod request;
mod response;
mod restores;
mod sequence;
pub mod server;
pub mod server_load;
mod slot;
mod state;
mod status;
mod stream;
mod suspension;
pub mod table_cache;
pub mod transport;
mod uptime;
mod waiting;

pub use dialect::Dialect;
pub use entry::{Bounds, Entry, Settings};
pub use events::EventSplitter;
pub use moves::{MoveOrder, MoveReport};
pub use read_limits::ResponseLimits;
pub use restores::{EntryFact, RestoreEvent};
pub use uptime::{SystemUptime, Uptime};
