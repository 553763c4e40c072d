//! The platform's services as ebonylug uses them: a transactional table, an object store and
//! an instance list.
//!
//! Other crates use the services through traits. [`HttpPlatform`] implements them as a client of
//! the platform's service, with JSON over HTTP. [`MemoryPlatform`] implements them in memory, with
//! fault injection, for tests.
//!
//! ```
//! use ebonylug_platform::{Error, Expect, Fault, MemoryPlatform, Table, Transaction};
//!
//! # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
//! let platform = MemoryPlatform::new();
//! platform.inject([Fault::DropResponse]);
//! let insert = Transaction::new()
//!     .expect("lease/a", Expect::Absent)
//!     .put("lease/a", "token-7");
//!
//! // The response is lost, so the writer reads the row to find out whether it was written.
//! assert_eq!(platform.transact(insert).await, Err(Error::Unknown));
//! let row = platform.get("lease/a").await.unwrap().unwrap();
//! assert_eq!(&*row.value, "token-7");
//! # });
//! ```
//!
//! # Errors
//!
//! The correctness of everything that is built on the table depends on the difference between
//! [`Error::Unavailable`] and [`Error::Unknown`]. After the first, a write was not applied. After
//! the second, it may have been applied, and the caller must read the row before it decides.

mod error;
mod http;
mod instance;
mod memory;
mod object;
mod table;

pub use error::{Error, Result};
pub use http::{HttpPlatform, Reply};
pub use instance::{InstanceList, InstanceRow, InstanceState};
pub use memory::{CallCounts, Fault, MemoryPlatform};
pub use object::{ObjectHash, ObjectStore};
pub use table::{Committed, Condition, Expect, Row, Table, Transaction, VERSION_BITS, Write, era};
