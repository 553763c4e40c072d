//! A stand-in of the platform's store: tables, conditional writes and the feed of changes.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};
use std::{io::Write, thread};

use crate::http::{self, Message};
use crate::json::{Json, encode_base64};

/// A row's value in base64 and its version.
type Row = (String, u64);

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<(String, String), Row>,
    history: Vec<(u64, (String, String), Option<String>)>,
}

impl State {
    fn change(&mut self, key: (String, String), value: Option<String>) {
        match &value {
            Some(value) => drop(self.rows.insert(key.clone(), (value.clone(), self.version))),
            None => drop(self.rows.remove(&key)),
        }
        self.history.push((self.version, key, value));
    }
}

/// The store. Clones share the rows.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
    /// The time that each answer takes, as the sheet gives it.
    answer_time: Duration,
}

/// The calls that arrived at one address of the store.
#[derive(Default)]
pub struct Calls {
    /// Lists of the operator's rows that were answered.
    pub order_lists: AtomicU64,
    /// Reads of changes of the operator's rows that wait now.
    pub waiting: AtomicU64,
}

impl Store {
    pub fn new() -> Self {
        Store {
            shared: Arc::default(),
            started: Instant::now(),
            answer_time: Duration::from_millis(4),
        }
    }

    /// Writes or removes a row as the operator or an engine does. Returns when the store has accepted it.
    pub fn set(&self, table: &str, key: &str, value: Option<&str>) {
        let mut state = self.shared.0.lock().unwrap();
        state.version += 1;
        let value = value.map(|value| encode_base64(value.as_bytes()));
        state.change((table.into(), key.into()), value);
        self.shared.1.notify_all();
    }

    /// Serves calls on a free port of `ip`, and counts them.
    pub fn listen(&self, ip: &str) -> (SocketAddr, Arc<Calls>) {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the store");
        let address = listener.local_addr().unwrap();
        let calls = Arc::new(Calls::default());
        let (store, counted) = (self.clone(), Arc::clone(&calls));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, calls) = (store.clone(), Arc::clone(&counted));
                thread::spawn(move || store.serve(stream, &calls));
            }
        });
        (address, calls)
    }

    fn serve(&self, mut stream: TcpStream, calls: &Calls) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(request)) = http::read(&mut stream, &mut rest) {
            let of_orders = request.path().contains("table=op");
            let waits = of_orders && request.path().contains("rows-feed");
            calls.waiting.fetch_add(u64::from(waits), Ordering::SeqCst);
            let (status, body) = self.handle(&request);
            calls.waiting.fetch_sub(u64::from(waits), Ordering::SeqCst);
            if of_orders && !waits {
                calls.order_lists.fetch_add(1, Ordering::SeqCst);
            }
            thread::sleep(self.answer_time);
            let headers = [("Content-Type", "application/json".to_owned())];
            let line = format!("HTTP/1.1 {status}");
            if stream
                .write_all(&http::encode(&line, &headers, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1_000.0
    }

    fn handle(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request
            .path()
            .split_once('?')
            .unwrap_or((request.path(), ""));
        let field = |name: &str| -> String {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.map_or(String::new(), |(_, value)| value.replace("%00", "\0"))
        };
        match path {
            "/-/rows-get" => self.list(&field("table"), &field("from"), &field("target")),
            "/-/rows-feed" => {
                let after = field("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
                self.feed(&field("table"), after, wait)
            }
            "/-/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            _ => ("404 Not Found", "{}".into()),
        }
    }

    fn list(&self, table: &str, from: &str, to: &str) -> (&'static str, String) {
        let state = self.shared.0.lock().unwrap();
        let rows = state.rows.iter().filter(|((t, key), _)| {
            t == table && key.as_str() >= from && (to.is_empty() || key.as_str() < to)
        });
        let rows: Vec<String> = rows
            .map(|(key, (value, version))| show_row(key, Some(value), *version))
            .collect();
        (
            "200 OK",
            format!(
                r#"{{"rows":[{}],"more_pages":false,"ver":{},"now_ms":{}}}"#,
                rows.join(","),
                state.version,
                self.now()
            ),
        )
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let end = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let changes = state
                .history
                .iter()
                .filter(|(version, (t, _), _)| *version > after && t == table);
            let rows: Vec<String> = changes
                .map(|(version, key, value)| show_row(key, value.as_deref(), *version))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let (rows, version, now) = (rows.join(","), state.version, self.now());
                return (
                    "200 OK",
                    format!(r#"{{"rows":[{rows}],"ver":{version},"now_ms":{now}}}"#),
                );
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (&'static str, String) {
        let Some(call) = Json::parse(body) else {
            return ("400 Bad Request", "{}".into());
        };
        let key = |row: &Json| (row.text("table"), row.text("key"));
        let mut state = self.shared.0.lock().unwrap();
        let holds = call.list("precondition").iter().all(|row| {
            let current = state.rows.get(&key(row)).map_or(0, |(_, version)| *version);
            current == row.number("ver") as u64
        });
        if !holds {
            return ("412 Precondition Failed", r#"{"rows":[]}"#.into());
        }
        state.version += 1;
        for row in call.list("puts") {
            state.change(key(&row), Some(row.text("value")));
        }
        for row in call.list("remove") {
            state.change(key(&row), None);
        }
        self.shared.1.notify_all();
        let (version, now) = (state.version, self.now());
        ("200 OK", format!(r#"{{"ver":{version},"now_ms":{now}}}"#))
    }
}

fn show_row(key: &(String, String), value: Option<&str>, version: u64) -> String {
    let (table, key) = key;
    let value = match value {
        Some(value) => format!(r#""value":"{value}""#),
        None => r#""removed":true"#.into(),
    };
    format!(r#"{{"table":"{table}","part":"","key":"{key}",{value},"ver":{version}}}"#)
}
