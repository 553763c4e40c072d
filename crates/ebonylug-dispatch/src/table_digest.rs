use serde::{Deserialize, Serialize};

use crate::hash::{short_hash, stable_hash_bytes};

/// A digest of the rows of a table, with the same result in all processes and builds.
///
/// It has 32 bits, since each message between entries carries it: of 4 billion changes that an entry has
/// missed, one leaves the digest unchanged, and stays unnoticed until the next change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDigest(u32);

impl From<TableDigest> for u32 {
    fn from(digest: TableDigest) -> u32 {
        digest.0
    }
}

/// Maintains the digest of rows that are added and removed one by one. The order does not matter.
#[derive(Clone, Copy, Debug, Default)]
pub struct RowSum(u64);

/// The hash of one row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RowHash(u64);

impl RowHash {
    /// Hashes a row.
    #[must_use]
    pub fn new(key: &str, value: &[u8]) -> Self {
        // With the length of the key, no two pairs of key and value are the same bytes.
        let length = (key.len() as u64).to_le_bytes();
        RowHash(stable_hash_bytes(&[&length, key.as_bytes(), value]))
    }
}

impl RowSum {
    /// Adds a row.
    pub fn add(&mut self, row: RowHash) {
        self.0 = self.0.wrapping_add(row.0);
    }

    /// Removes a row that was added before.
    pub fn remove(&mut self, row: RowHash) {
        self.0 = self.0.wrapping_sub(row.0);
    }

    /// Returns the digest of the rows.
    #[must_use]
    pub fn digest(self) -> TableDigest {
        TableDigest(short_hash(self.0))
    }
}
