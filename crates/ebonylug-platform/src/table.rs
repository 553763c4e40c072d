use std::future::Future;

use serde::{Deserialize, Serialize};

use crate::Result;

/// Bits of a version that tell the changes of one era of a store apart. At the highest rate of writes, they last for
/// decades.
pub const VERSION_BITS: u32 = 40;

/// Returns the era of a version: how often the store had come back from an older copy.
///
/// Such a store gives versions out again. Clients put the era into the bits above [`VERSION_BITS`], so that versions
/// order all changes in time. The era is 0 for a store that never goes back.
#[must_use]
pub const fn era(version: u64) -> u64 {
    version >> VERSION_BITS
}

/// A row of the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key; keys with a common prefix form a range.
    pub key: Box<str>,
    /// The version of the transaction that wrote the row. Versions are unique and increase over the
    /// whole table.
    pub version: u64,
    /// The value, usually JSON.
    pub value: Box<str>,
}

/// The state of a row that a transaction requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row exists and has this version.
    Version(u64),
}

/// A precondition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key of the row.
    pub key: Box<str>,
    /// The state that the row must have.
    pub expect: Expect,
}

/// A change of one row in a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The key of the row.
    pub key: Box<str>,
    /// The new value; `None` deletes the row.
    pub value: Option<Box<str>>,
}

/// Conditions and writes that are applied atomically.
///
/// ```
/// use ebonylug_platform::{Expect, Transaction};
///
/// let transaction = Transaction::new()
///     .expect("head", Expect::Version(7))
///     .put("head", "{\"revision\":8}");
/// assert_eq!(transaction.writes.len(), 1);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The conditions, all of which must hold.
    #[serde(default)]
    pub conditions: Vec<Condition>,
    /// The writes, applied in order.
    #[serde(default)]
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Creates a transaction without conditions and writes.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a condition on the row `key`.
    #[must_use]
    pub fn expect(mut self, key: &str, expect: Expect) -> Self {
        self.conditions.push(Condition {
            key: key.into(),
            expect,
        });
        self
    }

    /// Adds a write of `value` to the row `key`.
    #[must_use]
    pub fn put(mut self, key: &str, value: &str) -> Self {
        self.writes.push(Write {
            key: key.into(),
            value: Some(value.into()),
        });
        self
    }

    /// Adds the deletion of the row `key`.
    #[must_use]
    pub fn delete(mut self, key: &str) -> Self {
        self.writes.push(Write {
            key: key.into(),
            value: None,
        });
        self
    }
}

/// The result of a transaction that was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// The version of all rows that the transaction wrote.
    pub version: u64,
}

/// The transactional table service.
pub trait Table: Send + Sync {
    /// Applies a transaction atomically.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`](crate::Error::Conflict) if a condition does not hold, and
    /// [`Error::Unknown`](crate::Error::Unknown) if the response was lost.
    fn transact(&self, transaction: Transaction) -> impl Future<Output = Result<Committed>> + Send;

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Fails if the service does not respond. A missing row is `None`.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>>> + Send;

    /// Reads at most `limit` rows whose keys start with `prefix`, in order of keys.
    ///
    /// # Errors
    ///
    /// Fails if the service does not respond.
    fn scan(&self, prefix: &str, limit: usize) -> impl Future<Output = Result<Vec<Row>>> + Send;
}
