//! A stand-in of the platform's store.

use super::*;

#[derive(Clone)]
pub(crate) struct Row {
    pub(crate) part: String,
    pub(crate) value: Option<String>,
    version: u64,
}

#[derive(Default)]
pub(crate) struct Tables {
    version: u64,
    pub(crate) rows: BTreeMap<(String, String), Row>,
}

/// The platform's store: rows in tables, with transactions and feeds.
pub(crate) struct Store {
    pub(crate) tables: Mutex<Tables>,
    pub(crate) changed: Condvar,
    pub(crate) started: Instant,
    /// While set, all calls are answered with 503.
    pub(crate) down: AtomicBool,
    /// The addresses at which entries are listed in place of their own, by name.
    pub(crate) places: Mutex<BTreeMap<String, String>>,
}

impl Store {
    pub(crate) fn start() -> Result<(Arc<Store>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Arc::new(Store {
            tables: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            down: AtomicBool::new(false),
            places: Mutex::default(),
        });
        let served = Arc::clone(&store);
        listen(listener, move |message, writer| {
            // The store takes some milliseconds for an answer.
            thread::sleep(Duration::from_millis(4));
            writer.write_all(&served.answer(&message))?;
            Ok(true)
        });
        Ok((store, address))
    }

    /// Serves the store at another address, for a machine that `cut` separates from it: its calls end without an
    /// answer.
    pub(crate) fn listen_cut(self: &Arc<Self>, cut: Arc<AtomicBool>) -> Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let served = Arc::clone(self);
        listen(listener, move |message, writer| {
            thread::sleep(Duration::from_millis(4));
            if cut.load(Ordering::SeqCst) {
                return Ok(false);
            }
            let answer = served.answer(&message);
            if cut.load(Ordering::SeqCst) {
                return Ok(false);
            }
            writer.write_all(&answer)?;
            Ok(true)
        });
        Ok(address)
    }

    /// Lists an entry at the address of a forwarder, whatever it writes itself.
    pub(crate) fn place_entry(&self, name: &str, address: &str) {
        lock(&self.places).insert(name.into(), address.into());
    }

    /// Returns the text of a row, or an empty one.
    pub(crate) fn text(&self, table: &str, key: &str) -> String {
        let tables = lock(&self.tables);
        let row = tables.rows.get(&(table.into(), key.into()));
        let value = row.and_then(|row| row.value.as_deref()).unwrap_or_default();
        String::from_utf8(base64_decode(value)).unwrap_or_default()
    }

    pub(crate) fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1_000.0
    }

    /// Writes a row, or removes it, as the operator or an engine does. Returns after the change is
    /// acknowledged.
    pub(crate) fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut tables = lock(&self.tables);
        tables.version += 1;
        let version = tables.version;
        let row = Row {
            part: String::new(),
            value: value.map(|value| base64(value.as_bytes())),
            version,
        };
        tables.rows.insert((table.into(), key.into()), row);
        self.changed.notify_all();
    }

    pub(crate) fn answer(&self, message: &Message) -> Vec<u8> {
        if self.down.load(Ordering::SeqCst) {
            return response("503 Service Unavailable", "", "");
        }
        let target = message.start.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.map(|(_, value)| value.replace("%2F", "/"))
        };
        let number = |name: &str| parameter(name).and_then(|text| text.parse::<u64>().ok());
        let table = parameter("table").unwrap_or_default();
        match path {
            "/-/rows-tx" => self.transact(&message.body),
            "/-/rows-get" => {
                let from = parameter("from").unwrap_or_default().replace("%00", "\0");
                let end =
                    parameter("target").map(|end| end.replace("%00", "\0").replace("%7F", "\x7f"));
                let tables = lock(&self.tables);
                let rows = tables.rows.iter().filter(|((of, key), row)| {
                    *of == table
                        && row.value.is_some()
                        && *key >= from
                        && end.as_ref().is_none_or(|end| key < end)
                });
                let limit = number("limit").unwrap_or(500) as usize;
                let rows: Vec<String> = rows
                    .take(limit)
                    .map(|(key, row)| encode(key, row))
                    .collect();
                self.rows(&rows, tables.version)
            }
            "/-/rows-feed" => {
                let after = number("after").unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
                let mut tables = lock(&self.tables);
                loop {
                    let mut changed: Vec<_> = tables.rows.iter().collect();
                    changed.retain(|((of, _), row)| *of == table && row.version > after);
                    changed.sort_by_key(|(_, row)| row.version);
                    let left = end.saturating_duration_since(Instant::now());
                    if self.down.load(Ordering::SeqCst) {
                        return response("503 Service Unavailable", "", "");
                    }
                    if !changed.is_empty() || left.is_zero() {
                        let rows: Vec<String> =
                            changed.iter().map(|(key, row)| encode(key, row)).collect();
                        return self.rows(&rows, tables.version);
                    }
                    let wait = left.min(Duration::from_millis(50));
                    tables = self
                        .changed
                        .wait_timeout(tables, wait)
                        .unwrap_or_else(std::sync::PoisonError::into_inner)
                        .0;
                }
            }
            _ => response("404 Not Found", "", ""),
        }
    }

    pub(crate) fn rows(&self, rows: &[String], version: u64) -> Vec<u8> {
        let (rows, now) = (rows.join(","), self.now_ms());
        let body =
            format!(r#"{{"rows":[{rows}],"ver":{version},"now_ms":{now:.3},"more_pages":false}}"#);
        response("200 OK", "Content-Type: application/json\r\n", &body)
    }

    pub(crate) fn transact(&self, body: &[u8]) -> Vec<u8> {
        let Some(call) = std::str::from_utf8(body).ok().and_then(Json::parse) else {
            return response("400 Bad Request", "", "");
        };
        let name = |row: &Json| (row.get("table").text().into(), row.get("key").text().into());
        let mut tables = lock(&self.tables);
        let current = |tables: &Tables, row: &Json| {
            let row = tables.rows.get(&name(row));
            row.filter(|row| row.value.is_some())
                .map_or(0, |row| row.version)
        };
        let conditions = call.get("precondition").items();
        if conditions
            .iter()
            .any(|row| current(&tables, row) != row.get("ver").number())
        {
            return response("412 Precondition Failed", "", r#"{"rows":[]}"#);
        }
        tables.version += 1;
        let version = tables.version;
        for row in call.get("puts").items() {
            let place = match row.get("table").text() {
                "entries" => lock(&self.places).get(row.get("key").text()).cloned(),
                _ => None,
            };
            let value = Some(match place {
                Some(place) => base64(place.as_bytes()),
                None => row.get("value").text().into(),
            });
            let part = row.get("part").text().into();
            tables.rows.insert(
                name(row),
                Row {
                    part,
                    value,
                    version,
                },
            );
        }
        for row in call.get("remove").items() {
            let part = row.get("part").text().into();
            let removed = Row {
                part,
                value: None,
                version,
            };
            tables.rows.insert(name(row), removed);
        }
        self.changed.notify_all();
        drop(tables);
        self.rows(&[], version)
    }
}

pub(crate) fn encode((table, key): &(String, String), row: &Row) -> String {
    let Row { part, version, .. } = row;
    let start = format!(r#"{{"table":"{table}","part":"{part}","key":"{key}","ver":{version}"#);
    match &row.value {
        Some(value) => format!(r#"{start},"value":"{value}"}}"#),
        None => format!(r#"{start},"removed":true}}"#),
    }
}
