//! The other entries as a source of tables.

use std::collections::HashMap;
use std::future::Future;

use ebonylug_dispatch::{Row, TableKind, TableUpdate};

use crate::follow::{PeerTable, ReadState};

/// The other entries as a source of tables.
pub trait Fallback {
    /// Records an update of a table, so that other entries can fetch it.
    fn record(&self, table: TableKind, update: &TableUpdate, version: u64);

    /// Records until when the rows of a table are merged with those of an older copy, for other entries.
    fn set_grace_end(&self, _: TableKind, _: Option<tokio::time::Instant>) {}

    /// Records the numbers of the last changes of orders, for other entries.
    fn set_numbers(&self, _: TableKind, _: &HashMap<Box<str>, u64>) {}

    /// Returns the rows of a table that this entry has recorded.
    fn known_rows(&self, _: TableKind) -> Vec<Row> {
        Vec::new()
    }

    /// Waits until an entry that starts has heard the others, for a short time at most.
    fn others_heard(&self) -> impl Future<Output = ()> {
        std::future::ready(())
    }

    /// Tells other entries that this one has read a change from the store.
    fn announce(&self) {}

    /// Records whether this entry reads a table itself.
    fn set_read_state(&self, _: TableKind, _: ReadState) {}

    /// Returns the changes of a table after `after`, or all its rows, if another entry has them.
    fn fetch_newer(&self, table: TableKind, after: u64) -> impl Future<Output = Option<PeerTable>>;

    /// Fetches all rows of a table from an entry that has a newer configuration than this one, if there is
    /// one.
    fn fetch_superseding(&self, _: TableKind) -> impl Future<Output = Option<PeerTable>> {
        std::future::ready(None)
    }

    /// Returns how often this entry has been suspended.
    fn suspensions(&self) -> u64 {
        0
    }

    /// Waits until [`Fallback::suspensions`] is no longer `count`.
    fn suspended(&self, _count: u64) -> impl Future<Output = ()> {
        std::future::pending()
    }

    /// Records that the store answered a read that was sent after `suspensions`.
    fn confirm_read(&self, _: TableKind, _suspensions: u64) {}

    /// Reports whether this entry reads the store itself.
    fn is_reader(&self) -> bool {
        true
    }

    /// Reports whether another entry has other rows of a table than this one, at a version after `after`.
    fn is_outdated(&self, _: TableKind, _after: u64) -> bool {
        false
    }

    /// Waits until the results of [`Fallback::is_reader`] and [`Fallback::is_outdated`] may change.
    fn news(&self) -> impl Future<Output = ()> {
        std::future::pending()
    }
}

/// A fallback without other entries.
impl Fallback for () {
    fn record(&self, _: TableKind, _: &TableUpdate, _: u64) {}

    async fn fetch_newer(&self, _: TableKind, _: u64) -> Option<PeerTable> {
        None
    }
}
