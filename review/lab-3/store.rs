//! A stand-in of the platform's store: rows, transactions and feeds. It is sound, and loses nothing but in the drill, in
//! which it is away for a moment and comes back from an older copy.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{self, Value};

/// Table, part and key of a row.
type Key = (String, String, String);

#[derive(Clone, Default)]
struct Rows {
    /// How often the store has come back from a copy.
    era: u64,
    is_away: bool,
    version: u64,
    /// The value in base64, and the version of the last change.
    rows: BTreeMap<Key, (String, u64)>,
    /// All changes; a removed row has no value.
    changes: Vec<(u64, Key, Option<String>)>,
}

impl Rows {
    /// Applies the changes of one transaction.
    fn apply(&mut self, changes: Vec<(Key, Option<String>)>) {
        self.version += 1;
        for (key, value) in changes {
            match &value {
                Some(value) => {
                    let row = (value.clone(), self.version);
                    self.rows.insert(key.clone(), row);
                }
                None => {
                    self.rows.remove(&key);
                }
            }
            self.changes.push((self.version, key, value));
        }
    }
}

/// A copy of all rows at one moment.
pub struct Copy(Rows);

/// The store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
    pub address: SocketAddr,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Store {
            state: Arc::default(),
            started: Instant::now(),
            address: listener.local_addr()?,
        };
        let served = store.clone();
        http::serve(listener, move |stream| {
            let _ = served.serve(stream);
        });
        Ok(store)
    }

    fn rows(&self) -> MutexGuard<'_, Rows> {
        self.state.0.lock().expect("no thread panics with the rows")
    }

    /// Writes a row with an empty part, as the operator or an engine.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let value = json::base64(value.as_bytes());
        self.rows().apply(vec![(key, Some(value))]);
        self.state.1.notify_all();
    }

    /// Returns a copy of all rows.
    pub fn copy(&self) -> Copy {
        Copy(self.rows().clone())
    }

    /// Goes away for a moment and comes back from a copy. Answers on their way are lost.
    pub fn restore(&self, copy: &Copy, away: Duration) {
        self.rows().is_away = true;
        self.state.1.notify_all();
        std::thread::sleep(away);
        let mut rows = self.rows();
        let era = rows.era + 1;
        *rows = copy.0.clone();
        rows.era = era;
    }

    /// Returns the keys of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let rows = self.rows();
        let keys = rows.rows.keys().filter(|key| key.0 == table);
        keys.map(|key| key.2.clone()).collect()
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&mut reader, head.length())?;
            let before = self.rows().era;
            let (_, target) = head.request();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let (status, answer) = match path {
                "/-/rows-get" => (200, self.get(&fields(query))),
                "/-/rows-feed" => self.feed(&fields(query)),
                "/-/rows-tx" => self.transact(&body),
                _ => (404, "{}".to_owned()),
            };
            let (era, is_away) = {
                let rows = self.rows();
                (rows.era, rows.is_away)
            };
            if is_away || era != before {
                return Ok(());
            }
            let length = answer.len();
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {length}\r\n\r\n{answer}"
            );
            writer.write_all(text.as_bytes())?;
        }
        Ok(())
    }

    fn tail(&self, version: u64) -> String {
        let now = self.started.elapsed().as_millis();
        format!(r#""ver":{version},"now_ms":{now}"#)
    }

    fn get(&self, query: &BTreeMap<String, String>) -> String {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, from) = (text("table"), text("part"), text("from"));
        let limit: usize = text("limit").parse().unwrap_or(500);
        let rows = self.rows();
        let mut found = rows.rows.iter().filter(|(key, _)| {
            key.0 == table
                && key.1 == part
                && key.2 >= from
                && query.get("target").is_none_or(|target| key.2 < *target)
        });
        let page: Vec<String> = found
            .by_ref()
            .take(limit)
            .map(|(key, (value, version))| row(key, Some(value), *version))
            .collect();
        let more = found.next().is_some();
        let tail = self.tail(rows.version);
        format!(
            r#"{{"rows":[{}],"more_pages":{more},{tail}}}"#,
            page.join(",")
        )
    }

    fn feed(&self, query: &BTreeMap<String, String>) -> (u16, String) {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, after) = (text("table"), text("after").parse().unwrap_or(0));
        let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
        let end = Instant::now() + wait;
        let mut rows = self.rows();
        let era = rows.era;
        if after > rows.version {
            return (410, format!("{{{}}}", self.tail(rows.version)));
        }
        loop {
            let mut changed: BTreeMap<Key, (u64, Option<String>)> = BTreeMap::new();
            for (version, key, value) in rows.changes.iter().rev() {
                if *version <= after {
                    break;
                }
                if key.0 == table {
                    changed
                        .entry(key.clone())
                        .or_insert_with(|| (*version, value.clone()));
                }
            }
            let left = end.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() || rows.is_away || rows.era != era {
                let rows_text: Vec<String> = changed
                    .iter()
                    .map(|(key, (version, value))| row(key, value.as_ref(), *version))
                    .collect();
                let tail = self.tail(rows.version);
                let answer = format!(r#"{{"rows":[{}],{tail}}}"#, rows_text.join(","));
                return (200, answer);
            }
            rows = self
                .state
                .1
                .wait_timeout(rows, left)
                .expect("no thread panics with the rows")
                .0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let key = |entry: &Value| (entry.text("table"), entry.text("part"), entry.text("key"));
        let mut rows = self.rows();
        let holds = call.list("precondition").iter().all(|condition| {
            let current = rows.rows.get(&key(condition));
            current.map_or(0, |(_, version)| *version) == condition.number("ver")
        });
        if !holds {
            return (412, format!(r#"{{"rows":[],{}}}"#, self.tail(rows.version)));
        }
        let puts = call.list("puts").iter();
        let puts = puts.map(|put| (key(put), Some(put.text("value"))));
        let removed = call.list("remove").iter().map(|row| (key(row), None));
        rows.apply(puts.chain(removed).collect());
        let version = rows.version;
        drop(rows);
        self.state.1.notify_all();
        (200, format!("{{{}}}", self.tail(version)))
    }
}

fn row(key: &Key, value: Option<&String>, version: u64) -> String {
    let (table, part, key) = key;
    let state = match value {
        Some(value) => format!(r#""value":"{value}""#),
        None => r#""removed":true"#.to_owned(),
    };
    format!(r#"{{"table":"{table}","part":"{part}","key":"{key}",{state},"ver":{version}}}"#)
}

/// Returns the fields of a query.
fn fields(query: &str) -> BTreeMap<String, String> {
    let fields = query.split('&').filter_map(|field| field.split_once('='));
    let fields = fields.map(|(name, value)| (name.to_owned(), decode(value)));
    fields.collect()
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&byte, after)) = rest.split_first() {
        let code = (byte == b'%').then(|| after.get(..2)).flatten();
        let code = code.and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(decoded) => {
                bytes.push(decoded);
                rest = &after[2..];
            }
            None => {
                bytes.push(byte);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
