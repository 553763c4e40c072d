//! TableCache of the platform's tables, which entries pass on to those that the store turns away.
//!
//! The store numbers its changes, so a copy of a higher version is newer, whoever has it. A copy does not
//! say how long it was current: that is told with the messages between entries.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bincode::Options;
use bytes::Bytes;
use ebonylug_core::Name;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};

use crate::follow::{Fallback, Row, Rows, TableUpdate};
use crate::peers::Exchange;
use crate::pool;

/// Time for one call to another entry. Callers with keys are refused meanwhile.
const CALL_TIME: Duration = Duration::from_millis(500);
/// Entries that are asked after a failed read. The store turns away some entries, and the next read
/// follows within a second.
const ASKED: usize = 2;
/// The table of entries, which no entry keeps.
const ENTRIES: &str = "entries";
/// Bytes of a copy; a configuration of 6,400 organisations has a tenth of it.
const MAX_BYTES: usize = 16 << 20;

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// The result of a call to another entry.
type Result<T, E = Failure> = std::result::Result<T, E>;

/// The tables that this entry knows, and the way to those of other entries.
pub struct TableCache {
    exchange: Rc<Exchange>,
    tables: RefCell<HashMap<Box<str>, Table>>,
}

#[derive(Debug, Default)]
struct Table {
    version: u64,
    rows: BTreeMap<Box<str>, Vec<u8>>,
}

impl TableCache {
    /// Creates copies of no table.
    #[must_use]
    pub fn new(exchange: Rc<Exchange>) -> Rc<Self> {
        Rc::new(TableCache {
            exchange,
            tables: RefCell::default(),
        })
    }

    /// Asks another entry which entries it hears, and adds them to those that this one talks to.
    pub async fn discover_peers(&self) {
        if let Some(found) = self.ask(ENTRIES, 0).await {
            self.exchange.add_rows(&found.rows);
        }
    }

    /// Returns all rows of a table as an answer to another entry, if they are newer than a version.
    pub(crate) fn answer(&self, table: &str, after: u64) -> Option<Bytes> {
        let rows = if table == ENTRIES {
            self.entries()
        } else {
            let tables = self.tables.borrow();
            tables
                .get(table)
                .filter(|table| table.version > after)?
                .rows()
        };
        match codec().serialize(&rows) {
            Ok(bytes) => Some(bytes.into()),
            Err(error) => {
                tracing::error!(part = "peers", %error, "a copy cannot be written");
                None
            }
        }
    }

    /// Returns the entries that this one hears, as rows of a table that has no versions.
    fn entries(&self) -> Rows {
        let row = |(name, address): (Name, SocketAddr)| Row {
            key: name.as_str().into(),
            value: Some(address.to_string().into_bytes()),
        };
        Rows {
            rows: self.exchange.entries().into_iter().map(row).collect(),
            version: 1,
            clock: Duration::ZERO,
        }
    }

    async fn ask(&self, table: &str, after: u64) -> Option<Rows> {
        for (_, address) in self.exchange.others().into_iter().take(ASKED) {
            let call = tokio::time::timeout(CALL_TIME, fetch(address, table, after)).await;
            match call.unwrap_or_else(|late| Err(late.into())) {
                Ok(None) => {}
                Ok(Some(rows)) => return Some(rows),
                Err(error) => {
                    tracing::info!(part = "peers", %address, table, %error, "no copy of another entry");
                }
            }
        }
        None
    }
}

impl Table {
    fn rows(&self) -> Rows {
        let rows = self.rows.iter().map(|(key, value)| Row {
            key: key.clone(),
            value: Some(value.clone()),
        });
        Rows {
            rows: rows.collect(),
            version: self.version,
            clock: Duration::ZERO,
        }
    }
}

impl Fallback for Rc<TableCache> {
    fn record(&self, table: &'static str, told: &TableUpdate, version: u64) {
        let mut tables = self.tables.borrow_mut();
        let kept = tables.entry(table.into()).or_default();
        kept.version = version;
        let rows = match told {
            TableUpdate::Snapshot(rows) => {
                kept.rows.clear();
                rows
            }
            TableUpdate::Delta(rows) => rows,
        };
        for row in rows {
            match &row.value {
                Some(value) => kept.rows.insert(row.key.clone(), value.clone()),
                None => kept.rows.remove(&row.key),
            };
        }
    }

    async fn fetch_newer(&self, table: &'static str, after: u64) -> Option<Rows> {
        self.ask(table, after).await
    }
}

/// Asks another entry for a table.
async fn fetch(address: SocketAddr, table: &str, after: u64) -> Result<Option<Rows>> {
    let mut connection = pool::connect(address).await?;
    let request = Request::get(format!("/{table}?{after}"))
        .header(header::HOST, address.to_string())
        .body(Full::default())?;
    let answer = connection.sender.send_request(request).await?;
    match answer.status() {
        StatusCode::OK => {
            let body = Limited::new(answer.into_body(), MAX_BYTES).collect();
            Ok(Some(codec().deserialize(&body.await?.to_bytes())?))
        }
        StatusCode::NO_CONTENT => Ok(None),
        status => Err(format!("answered {status}").into()),
    }
}

fn codec() -> impl Options {
    bincode::DefaultOptions::new().with_limit(MAX_BYTES as u64)
}
