//! Which entries read the platform's tables, and from whom the others take changes.
//!
//! Every change of a table must reach every entry within seconds. If each entry read the tables itself,
//! the calls to the store would grow with the number of entries times the changes. Therefore a few
//! entries of each availability zone read, and the others fetch changes from them. All entries rank the
//! entries of their zone by the same hash, so the choice needs no election: when a reader is lost, or
//! reports that the store does not answer it, the next one reads.
//!
//! A change is not told once, when it is read: a reader that restarts finds it in its first rows and
//! cannot know that others lack it. Instead, each message between entries carries a [`TableStamp`] of
//! the rows that its sender has. An entry whose digest differs from that of a later version fetches the
//! rows, whichever messages were lost before.

use std::time::Instant;

use ebonylug_core::Name;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::gossip::Peers;
use crate::hash::stable_hash;
use crate::table_digest::TableDigest;

/// Entries of a zone that read the tables. If the reads of one of them hang, the other one still gets
/// each change.
const READERS_PER_ZONE: usize = 2;

/// A table of the platform that all entries follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableKind {
    /// The configuration and the operator's orders.
    Orders,
    /// The targets.
    Targets,
}

impl TableKind {
    /// All tables.
    pub const ALL: [TableKind; 2] = [TableKind::Orders, TableKind::Targets];

    /// Returns the name of the table in calls between entries and in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            TableKind::Orders => "orders",
            TableKind::Targets => "targets",
        }
    }
}

/// Identifies the rows of a table that an entry has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableStamp {
    /// A version of the store at which the table had these rows; 0 without rows.
    pub version: u64,
    /// The digest of the rows.
    pub digest: TableDigest,
}

impl TableStamp {
    /// Reports whether `other` stands for rows that replace these. A later version with equal rows does
    /// not.
    #[must_use]
    pub fn is_replaced_by(self, other: TableStamp) -> bool {
        other.version > self.version && other.digest != self.digest
    }
}

/// What an entry knows of the tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableState {
    /// The orders that the entry has.
    pub orders: TableStamp,
    /// The targets that the entry has.
    pub targets: TableStamp,
    /// Whether the store did not answer the entry's last reads.
    pub failing: bool,
    /// Whether the entry reads the targets itself, and the store answered its last read.
    pub reads_targets: bool,
}

impl TableState {
    /// Returns the stamp of a table.
    #[must_use]
    pub fn stamp(&self, table: TableKind) -> TableStamp {
        match table {
            TableKind::Orders => self.orders,
            TableKind::Targets => self.targets,
        }
    }

    /// Returns the latest version of any table.
    #[must_use]
    pub fn latest_version(&self) -> u64 {
        self.orders.version.max(self.targets.version)
    }

    /// Returns the stamp of a table.
    pub fn stamp_mut(&mut self, table: TableKind) -> &mut TableStamp {
        match table {
            TableKind::Orders => &mut self.orders,
            TableKind::Targets => &mut self.targets,
        }
    }
}

/// Ranks entries as readers; the lowest ones read.
fn rank(failing: bool, hash: u64) -> (bool, u64) {
    (failing, hash)
}

impl Peers {
    /// Reports whether the entry `own` of `zone` reads the tables itself.
    #[must_use]
    pub fn is_reader(&self, now: Instant, own: &Name, zone: &Name, failing: bool) -> bool {
        let own_rank = rank(failing, stable_hash(own.as_str()));
        // Few entries rank lower, so most are passed over by the first comparison.
        let before = self.peers.values().filter(|peer| {
            rank(peer.tables.failing, peer.hash) < own_rank
                && peer.zone == *zone
                && peer.is_reachable(now)
        });
        before.take(READERS_PER_ZONE).count() < READERS_PER_ZONE
    }

    /// Returns the latest version at which any peer knows a table; 0 without peers.
    #[must_use]
    pub fn latest_table_version(&self) -> u64 {
        let versions = self.peers.values().map(|peer| peer.tables.latest_version());
        versions.max().unwrap_or(0)
    }

    /// Reports whether a reachable entry reads the targets, and the store answered its last read.
    #[must_use]
    pub fn any_reads_targets(&self, now: Instant) -> bool {
        self.reachable(now)
            .any(|(_, peer)| peer.tables.reads_targets)
    }

    /// Reports whether a reachable entry has rows of a table that replace those with the stamp `own`.
    #[must_use]
    pub fn has_newer_table(&self, now: Instant, table: TableKind, own: TableStamp) -> bool {
        self.peers
            .values()
            .any(|peer| own.is_replaced_by(peer.tables.stamp(table)) && peer.is_reachable(now))
    }

    /// Returns reachable entries that have rows of a table that replace those with the stamp `own`, the
    /// entries of `zone` first.
    #[must_use]
    pub fn with_newer_table(
        &self,
        now: Instant,
        table: TableKind,
        own: TableStamp,
        zone: &Name,
    ) -> SmallVec<[Name; 4]> {
        let mut names: SmallVec<[(bool, u64, &Name); 8]> = self
            .reachable(now)
            .filter(|(_, peer)| own.is_replaced_by(peer.tables.stamp(table)))
            .map(|(name, peer)| (peer.zone != *zone, peer.hash, name))
            .collect();
        names.sort_unstable();
        names.into_iter().map(|(_, _, name)| name.clone()).collect()
    }
}
