//! Rows whose writer numbers their values, such as the configuration.
//!
//! After the store has come back from an older copy, it may hold an older value of such a row than an entry
//! has. The value with the higher number is the newer one, whichever the store sent last.

use ebonylug_dispatch::{Row, TableUpdate};
use smallvec::SmallVec;

/// Returns the number that the writer of a row gave its value, or `None` if it gives none.
pub type Revision = fn(&Row) -> Option<u64>;

/// The newest known value of each numbered row.
#[derive(Debug, Default)]
pub(crate) struct NewestRows(SmallVec<[(Row, u64); 1]>);

impl NewestRows {
    /// Replaces older values in an update by those that are known, and records its newer ones.
    pub(crate) fn merge(&mut self, update: TableUpdate, revision: Revision) -> TableUpdate {
        let is_snapshot = matches!(update, TableUpdate::Snapshot(_));
        let (TableUpdate::Snapshot(mut rows) | TableUpdate::Delta(mut rows)) = update;
        rows.retain(|row| revision(row).is_none_or(|found| !self.has_newer(row, found)));
        if is_snapshot {
            let is_missing = |(kept, _): &&(Row, u64)| rows.iter().all(|row| row.key != kept.key);
            let missing: SmallVec<[Row; 1]> = self
                .0
                .iter()
                .filter(is_missing)
                .map(|(row, _)| row.clone())
                .collect();
            rows.extend(missing);
        }
        for row in &rows {
            if let Some(found) = revision(row) {
                self.0.retain(|(kept, _)| kept.key != row.key);
                self.0.push((row.clone(), found));
            }
        }
        match is_snapshot {
            true => TableUpdate::Snapshot(rows),
            false => TableUpdate::Delta(rows),
        }
    }

    /// Returns the numbered rows of another entry's table that are newer than those known here.
    pub(crate) fn newer(&self, rows: &[Row], revision: Revision) -> Vec<Row> {
        let is_newer = |row: &&Row| {
            revision(row).is_some_and(|found| {
                let mut kept = self.0.iter().filter(|(kept, _)| kept.key == row.key);
                kept.all(|(_, known)| *known < found)
            })
        };
        rows.iter().filter(is_newer).cloned().collect()
    }

    fn has_newer(&self, row: &Row, found: u64) -> bool {
        let mut kept = self.0.iter();
        kept.any(|(kept, known)| kept.key == row.key && *known > found)
    }
}
