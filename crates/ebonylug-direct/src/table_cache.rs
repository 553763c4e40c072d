//! A cache of the platform's tables, which an entry serves to entries that do not read the store.
//!
//! The store numbers its changes, so a cached table with a higher version is newer, whichever entry
//! holds it. A cached table does not record when it was last current; entries exchange that time in
//! their gossip messages.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ebonylug_core::Name;
use ebonylug_dispatch::{CachedTable, Row, TableKind, TableUpdate};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::follow::{Fallback, ReadState};
use crate::peers::Exchange;

/// Timeout of a call to another entry. An entry without a current configuration refuses callers with
/// keys meanwhile.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum number of entries asked for a newer table at once.
const MAX_PEERS: usize = 2;
/// The path of the list of entries, which is built on request and not cached.
const ENTRIES: &str = "entries";

/// A table that another entry has, or its changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerTable {
    /// The rows.
    pub update: TableUpdate,
    /// The version up to which the rows are known.
    pub version: u64,
    /// The time for which the other entry still merges rows with those of an older copy, until it reads all rows again.
    pub grace_left: Option<Duration>,
    /// The number of the last change of each row in the store, without an era; 0 if unknown. Empty without orders.
    pub numbers: Vec<u64>,
}

/// The tables that this entry has, and access to those of other entries.
pub struct TableCache {
    exchange: Rc<Exchange>,
    orders: RefCell<CachedTable>,
    targets: RefCell<CachedTable>,
    /// The numbers of the last changes of orders.
    numbers: RefCell<HashMap<Box<str>, u64>>,
    /// Until when the rows of each table are merged with those of an older copy.
    grace_ends: Cell<[Option<Instant>; 2]>,
}

impl TableCache {
    /// Creates an empty cache.
    #[must_use]
    pub fn new(exchange: Rc<Exchange>) -> Rc<Self> {
        Rc::new(TableCache {
            exchange,
            orders: RefCell::default(),
            targets: RefCell::default(),
            numbers: RefCell::default(),
            grace_ends: Cell::default(),
        })
    }

    /// Asks another entry which entries it can reach, and adds them as peers.
    pub async fn discover_peers(&self) {
        let peers = self.exchange.reachable_peers();
        let addresses = peers.into_iter().map(|(_, address)| address);
        if let Some(entries) = self.fetch_from(addresses, ENTRIES, 0).await {
            self.exchange.add_reachable(entries.update.rows());
        }
    }

    fn table(&self, kind: TableKind) -> &RefCell<CachedTable> {
        match kind {
            TableKind::Orders => &self.orders,
            TableKind::Targets => &self.targets,
        }
    }

    /// Returns the changes of a table after `after`, or the whole table, for another entry. Returns `None` if there
    /// are none.
    #[must_use]
    pub fn newer(&self, path: &str, after: u64) -> Option<PeerTable> {
        if path == ENTRIES {
            return Some(PeerTable {
                update: TableUpdate::Snapshot(self.entries()),
                version: 1,
                grace_left: None,
                numbers: Vec::new(),
            });
        }
        let mut kinds = TableKind::ALL.into_iter();
        let kind = kinds.find(|kind| kind.as_str() == path)?;
        let table = self.table(kind).borrow();
        let update = table.newer(after)?;
        let numbers = match kind {
            TableKind::Orders => self.numbers_of(update.rows()),
            TableKind::Targets => Vec::new(),
        };
        Some(PeerTable {
            update,
            numbers,
            version: table.version(),
            grace_left: self.grace_left(kind),
        })
    }

    fn numbers_of(&self, rows: &[Row]) -> Vec<u64> {
        let numbers = self.numbers.borrow();
        let number = |row: &Row| numbers.get(&row.key).copied().unwrap_or(0);
        rows.iter().map(number).collect()
    }

    /// Returns the time until this entry reads the rows of a copy again; zero if it could not do so in time.
    fn grace_left(&self, kind: TableKind) -> Option<Duration> {
        let end = self.grace_ends.get()[kind as usize]?;
        Some(end.saturating_duration_since(Instant::now()))
    }

    /// Returns the reachable entries as rows of a table without versions.
    fn entries(&self) -> Vec<Row> {
        let row = |(name, address): (Name, SocketAddr)| Row {
            key: name.as_str().into(),
            value: Some(address.to_string().into_bytes()),
        };
        let entries = self.exchange.reachable_entries().into_iter();
        entries.map(row).collect()
    }

    /// Returns the addresses of entries that may have a newer table.
    fn sources(&self, table: TableKind, after: u64) -> SmallVec<[SocketAddr; 4]> {
        let newer = self.exchange.peers_with_newer(table, after);
        // An entry that cannot read does not wait for a message that shows which entries have newer rows.
        if newer.is_empty() && (after == 0 || self.exchange.entry().is_failing(table)) {
            let peers = self.exchange.reachable_peers().into_iter();
            return peers.map(|(_, address)| address).collect();
        }
        newer
    }

    async fn fetch_from(
        &self,
        addresses: impl IntoIterator<Item = SocketAddr>,
        path: &str,
        after: u64,
    ) -> Option<PeerTable> {
        let transport = self.exchange.transport();
        for address in addresses.into_iter().take(MAX_PEERS) {
            let fetch = transport.fetch(address, path, after);
            let call = tokio::time::timeout(CALL_TIMEOUT, fetch).await;
            match call.unwrap_or_else(|elapsed| Err(elapsed.into())) {
                Ok(None) => {}
                Ok(Some(message)) => return Some(message),
                Err(error) => {
                    tracing::info!(part = "peers", %address, path, %error, "failed to fetch a table from a peer");
                }
            }
        }
        None
    }
}

impl Fallback for Rc<TableCache> {
    fn record(&self, table: TableKind, update: &TableUpdate, version: u64) {
        let mut cached = self.table(table).borrow_mut();
        cached.apply(update, version);
        let entry = self.exchange.entry();
        entry.memory.set_rows(table, cached.bytes());
        entry.set_table_stamp(table, cached.stamp());
    }

    fn set_grace_end(&self, table: TableKind, end: Option<Instant>) {
        let mut ends = self.grace_ends.get();
        ends[table as usize] = end;
        self.grace_ends.set(ends);
    }

    fn set_numbers(&self, table: TableKind, numbers: &HashMap<Box<str>, u64>) {
        if table == TableKind::Orders {
            self.numbers.borrow_mut().clone_from(numbers);
        }
    }

    fn known_rows(&self, table: TableKind) -> Vec<Row> {
        self.table(table).borrow().rows()
    }

    async fn others_heard(&self) {
        while self.exchange.entry().awaits_peers() {
            self.news().await;
        }
    }

    fn announce(&self) {
        self.exchange.announce_change();
    }

    fn set_read_state(&self, table: TableKind, state: ReadState) {
        self.exchange.entry().set_read_state(table, state);
    }

    async fn fetch_newer(&self, table: TableKind, after: u64) -> Option<PeerTable> {
        let sources = self.sources(table, after);
        self.fetch_from(sources, table.as_str(), after).await
    }

    async fn fetch_superseding(&self, table: TableKind) -> Option<PeerTable> {
        // Only this table has the configuration.
        if table != TableKind::Orders {
            return None;
        }
        let sources = self.exchange.peers_with_newer_config();
        self.fetch_from(sources, table.as_str(), 0).await
    }

    fn suspensions(&self) -> u64 {
        self.exchange.entry().suspensions()
    }

    async fn suspended(&self, count: u64) {
        while self.suspensions() == count {
            self.news().await;
        }
    }

    fn confirm_read(&self, table: TableKind, suspensions: u64) {
        self.exchange.entry().confirm_read(table, suspensions);
    }

    fn is_reader(&self) -> bool {
        self.exchange.entry().is_reader()
    }

    fn is_outdated(&self, table: TableKind, after: u64) -> bool {
        self.exchange.entry().is_outdated(table, after)
    }

    async fn news(&self) {
        self.exchange.entry().table_news().await;
    }
}
