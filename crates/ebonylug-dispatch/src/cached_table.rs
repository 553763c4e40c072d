use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::readers::TableStamp;
use crate::table_digest::{RowHash, RowSum};

/// The maximum number of removed rows that are kept for entries that have an older version.
const MAX_REMOVED: usize = 4_096;

/// A row of a table, or the removal of one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: Box<str>,
    /// The value, or `None` if the row was removed.
    pub value: Option<Vec<u8>>,
}

/// An update of a followed table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableUpdate {
    /// All rows of the table. Rows that are not included do not exist.
    Snapshot(Vec<Row>),
    /// The changed and removed rows.
    Delta(Vec<Row>),
}

impl TableUpdate {
    /// Returns all rows, or the changed and removed ones.
    #[must_use]
    pub fn rows(&self) -> &[Row] {
        let (TableUpdate::Snapshot(rows) | TableUpdate::Delta(rows)) = self;
        rows
    }

    /// Reports whether the update changes no rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        matches!(self, TableUpdate::Delta(rows) if rows.is_empty())
    }
}

/// The rows of a table that an entry has, with the versions that are needed to tell other entries only the
/// changes.
///
/// The store numbers its changes, so a table with a higher version is newer, whichever entry holds it.
#[derive(Debug, Default)]
pub struct CachedTable {
    /// The version up to which the rows are known; 0 before the first ones.
    version: u64,
    /// The version of the oldest change that is known.
    base: u64,
    rows: BTreeMap<Box<str>, CachedRow>,
    sum: RowSum,
    /// The size of the keys and values of all rows.
    bytes: usize,
    stamp: TableStamp,
    /// Removed rows, with the version of their removal.
    removed: BTreeMap<Box<str>, u64>,
}

#[derive(Debug)]
struct CachedRow {
    value: Vec<u8>,
    version: u64,
    hash: RowHash,
}

impl CachedTable {
    /// Applies an update, after which the rows are known up to `version`.
    pub fn apply(&mut self, update: &TableUpdate, version: u64) {
        self.version = version;
        if matches!(update, TableUpdate::Snapshot(_)) {
            self.rows.clear();
            self.sum = RowSum::default();
            self.bytes = 0;
            self.removed.clear();
            self.base = version;
        }
        for Row { key, value } in update.rows() {
            match value {
                Some(value) => {
                    self.removed.remove(key);
                    self.insert(key, value, version);
                }
                None => {
                    if let Some(row) = self.rows.remove(key) {
                        self.sum.remove(row.hash);
                        self.bytes -= key.len() + row.value.len();
                    }
                    self.removed.insert(key.clone(), version);
                }
            }
        }
        if self.removed.len() > MAX_REMOVED {
            self.removed.clear();
            self.base = version;
        }
        // Without changed rows, the stamp remains valid, and a newer one would be news to all entries. The
        // first rows of a process may include changes that no other entry has.
        if !update.is_empty() {
            self.stamp = TableStamp {
                version,
                digest: self.sum.digest(),
            };
        }
    }

    fn insert(&mut self, key: &str, value: &[u8], version: u64) {
        let row = CachedRow {
            value: value.into(),
            version,
            hash: RowHash::new(key, value),
        };
        self.sum.add(row.hash);
        self.bytes += key.len() + value.len();
        if let Some(before) = self.rows.insert(key.into(), row) {
            self.sum.remove(before.hash);
            self.bytes -= key.len() + before.value.len();
        }
    }

    /// Returns the version up to which the rows are known; 0 before the first ones.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the size of the keys and values of all rows.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the stamp that identifies the rows to other entries.
    #[must_use]
    pub fn stamp(&self) -> TableStamp {
        self.stamp
    }

    /// Returns all rows, ordered by key.
    #[must_use]
    pub fn rows(&self) -> Vec<Row> {
        let rows = self.rows.iter();
        let rows = rows.map(|(key, row)| Row {
            key: key.clone(),
            value: Some(row.value.clone()),
        });
        rows.collect()
    }

    /// Returns the changes after `after`, or all rows if not all those changes are known. Returns `None` if
    /// the rows are not known beyond `after`.
    #[must_use]
    pub fn newer(&self, after: u64) -> Option<TableUpdate> {
        if self.version <= after {
            return None;
        }
        let partial = after >= self.base;
        let from = if partial { after } else { 0 };
        let rows = self.rows.iter().filter(|(_, row)| row.version > from);
        let rows = rows.map(|(key, row)| Row {
            key: key.clone(),
            value: Some(row.value.clone()),
        });
        let removed = self.removed.iter();
        let removed = removed.filter(|(_, version)| partial && **version > from);
        let removed = removed.map(|(key, _)| Row {
            key: key.clone(),
            value: None,
        });
        let rows = rows.chain(removed).collect();
        Some(if partial {
            TableUpdate::Delta(rows)
        } else {
            TableUpdate::Snapshot(rows)
        })
    }
}
