//! The platform's services as ebonylug uses them: a transactional table, an object store and
//! an instance list.
//!
//! The traits are the boundary of the process: an HTTP client speaks to the
//! platform's service, and [`MemoryPlatform`] is a small fake with fault injection for tests.
//!
//! # Errors
//!
//! The difference between [`Error::Unavailable`] and [`Error::Unknown`] carries the correctness
//! of everything that is built on the table: after the first, a write was not applied; after the
//! second, it may have been, and the caller must read back before it decides.

mod error;
mod instance;
mod memory;
mod object;
mod table;

pub use error::{Error, Result};
pub use instance::{InstanceList, InstanceRow, InstanceState};
pub use memory::{Fault, MemoryPlatform, Traffic};
pub use object::{ObjectHash, ObjectStore};
pub use table::{Committed, Condition, Expect, Row, Table, Transaction, Write};
