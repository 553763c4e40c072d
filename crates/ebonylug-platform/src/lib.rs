//! The platform's services as ebonylug uses them: a transactional table, an object store and
//! an instance list.
//!
//! The traits are the boundary of the process: [`HttpPlatform`] speaks to the platform's
//! service over JSON and HTTP, and [`MemoryPlatform`] is a small fake with fault injection for
//! tests.
//!
//! ```
//! use ebonylug_platform::{Error, Expect, Fault, MemoryPlatform, Table, Transaction};
//!
//! # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
//! let platform = MemoryPlatform::new();
//! platform.inject([Fault::LostReply]);
//! let insert = Transaction::new()
//!     .expect("lease/a", Expect::Absent)
//!     .put("lease/a", "token-7");
//!
//! // The reply is lost, so the writer reads back its own token.
//! assert_eq!(platform.transact(insert).await, Err(Error::Unknown));
//! let row = platform.get("lease/a").await.unwrap().unwrap();
//! assert_eq!(&*row.value, "token-7");
//! # });
//! ```
//!
//! # Errors
//!
//! The difference between [`Error::Unavailable`] and [`Error::Unknown`] carries the correctness
//! of everything that is built on the table: after the first, a write was not applied; after the
//! second, it may have been, and the caller must read back before it decides.

mod error;
mod http;
mod instance;
mod memory;
mod object;
mod table;

pub use error::{Error, Result};
pub use http::HttpPlatform;
pub use instance::{InstanceList, InstanceRow, InstanceState};
pub use memory::{CallCounts, Fault, MemoryPlatform};
pub use object::{ObjectHash, ObjectStore};
pub use table::{Committed, Condition, Expect, Row, Table, Transaction, Write};
