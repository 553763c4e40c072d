use std::future::Future;

use serde::{Deserialize, Serialize};

use crate::Result;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key; keys with a common prefix form a range.
    pub key: Box<str>,
    /// The number of the write that stored the value, unique over the table and rising.
    pub version: u64,
    /// The value, usually JSON.
    pub value: Box<str>,
}

/// What a transaction expects of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(u64),
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key of the row.
    pub key: Box<str>,
    /// What is expected of it.
    pub expect: Expect,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The key of the row.
    pub key: Box<str>,
    /// The new value; `None` deletes the row.
    pub value: Option<Box<str>>,
}

/// Conditions and writes that apply together or not at all.
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
    /// All must hold.
    #[serde(default)]
    pub conditions: Vec<Condition>,
    /// Applied in order.
    #[serde(default)]
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Creates a transaction that does nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a condition.
    #[must_use]
    pub fn expect(mut self, key: &str, expect: Expect) -> Self {
        self.conditions.push(Condition {
            key: key.into(),
            expect,
        });
        self
    }

    /// Adds a write of a value.
    #[must_use]
    pub fn put(mut self, key: &str, value: &str) -> Self {
        self.writes.push(Write {
            key: key.into(),
            value: Some(value.into()),
        });
        self
    }

    /// Adds the deletion of a row.
    #[must_use]
    pub fn delete(mut self, key: &str) -> Self {
        self.writes.push(Write {
            key: key.into(),
            value: None,
        });
        self
    }
}

/// The answer to a transaction that was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// The version that all written rows have now.
    pub version: u64,
}

/// The transactional table service.
pub trait Table: Send + Sync {
    /// Applies a transaction.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`](crate::Error::Conflict) if a condition does not hold, and
    /// [`Error::Unknown`](crate::Error::Unknown) if the reply was lost.
    fn transact(&self, transaction: Transaction) -> impl Future<Output = Result<Committed>> + Send;

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Fails if the service does not answer. A missing row is `None`.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>>> + Send;

    /// Reads the rows whose keys start with `prefix`, in order of keys, at most `limit`.
    ///
    /// # Errors
    ///
    /// Fails if the service does not answer.
    fn scan(&self, prefix: &str, limit: usize) -> impl Future<Output = Result<Vec<Row>>> + Send;
}
