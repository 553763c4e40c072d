//! Stand-ins of the platform's store, of engines and of callers, and the cases of the second review.
//!
//! Only the standard library is used, so that `review/build-2.sh` builds it without a network. Each case
//! starts entries as separate processes with the command of the deploy file.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

mod cold;
mod extra;
mod spoilt;

type Result<T, E = Box<dyn std::error::Error + Send + Sync>> = std::result::Result<T, E>;

// ---------------------------------------------------------------------------------------------------
// JSON and base64

#[derive(Clone, Debug, PartialEq)]
enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    fn parse(text: &str) -> Option<Json> {
        let mut bytes = text.as_bytes();
        let value = Json::value(&mut bytes)?;
        Some(value)
    }

    fn skip(bytes: &mut &[u8]) {
        while let [b' ' | b'\n' | b'\r' | b'\t', rest @ ..] = bytes {
            *bytes = rest;
        }
    }

    fn value(bytes: &mut &[u8]) -> Option<Json> {
        Json::skip(bytes);
        match *bytes.first()? {
            b'{' => {
                *bytes = &bytes[1..];
                let mut fields = Vec::new();
                loop {
                    Json::skip(bytes);
                    match *bytes.first()? {
                        b'}' => {
                            *bytes = &bytes[1..];
                            return Some(Json::Table(fields));
                        }
                        b',' => *bytes = &bytes[1..],
                        _ => {
                            let Json::Text(name) = Json::value(bytes)? else {
                                return None;
                            };
                            Json::skip(bytes);
                            *bytes = bytes.strip_prefix(b":")?;
                            fields.push((name, Json::value(bytes)?));
                        }
                    }
                }
            }
            b'[' => {
                *bytes = &bytes[1..];
                let mut items = Vec::new();
                loop {
                    Json::skip(bytes);
                    match *bytes.first()? {
                        b']' => {
                            *bytes = &bytes[1..];
                            return Some(Json::List(items));
                        }
                        b',' => *bytes = &bytes[1..],
                        _ => items.push(Json::value(bytes)?),
                    }
                }
            }
            b'"' => {
                *bytes = &bytes[1..];
                let mut text = Vec::new();
                loop {
                    match *bytes.first()? {
                        b'"' => {
                            *bytes = &bytes[1..];
                            return Some(Json::Text(String::from_utf8(text).ok()?));
                        }
                        b'\\' => {
                            text.push(match *bytes.get(1)? {
                                b'n' => b'\n',
                                other => other,
                            });
                            *bytes = &bytes[2..];
                        }
                        other => {
                            text.push(other);
                            *bytes = &bytes[1..];
                        }
                    }
                }
            }
            _ => {
                let end = bytes
                    .iter()
                    .position(|b| b",]} \n\r\t".contains(b))
                    .unwrap_or(bytes.len());
                let word = std::str::from_utf8(&bytes[..end]).ok()?;
                let value = match word {
                    "null" => Json::Null,
                    "true" => Json::Bool(true),
                    "false" => Json::Bool(false),
                    number => Json::Number(number.parse().ok()?),
                };
                *bytes = &bytes[end..];
                Some(value)
            }
        }
    }

    fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    fn items(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .chain([0, 0].iter())
            .take(3)
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = word >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------------------------------------------
// HTTP

/// The head of a request or a response, with its body unless that is a stream.
#[derive(Clone, Debug, Default)]
struct Message {
    start: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Reads the start line and the headers. Returns `None` at the end of the connection.
    fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
        let mut message = Message::default();
        let mut line = String::new();
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Ok(None);
            }
            let text = line.trim_end();
            if message.start.is_empty() {
                message.start = text.into();
            } else if text.is_empty() {
                return Ok(Some(message));
            } else if let Some((name, value)) = text.split_once(':') {
                message.headers.push((name.into(), value.trim().into()));
            }
        }
    }

    /// Reads a message with its body. Returns `None` at the end of the connection.
    fn read(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
        let Some(mut message) = Message::read_head(reader)? else {
            return Ok(None);
        };
        if message
            .header("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"))
        {
            while let Some(mut chunk) = read_chunk(reader)? {
                message.body.append(&mut chunk);
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(io::Error::other)?;
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)?;
        }
        Ok(Some(message))
    }

    fn status(&self) -> u16 {
        let mut words = self.start.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads one chunk of a body, or `None` for the last one.
fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Serves each connection in a thread of its own. `serve` returns whether the connection is kept.
fn listen<F>(listener: TcpListener, serve: F)
where
    F: Fn(Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(message)) = Message::read(&mut reader) {
                    if !serve(message, &mut writer).unwrap_or(false) {
                        break;
                    }
                }
                let _ = writer.shutdown(std::net::Shutdown::Both);
            });
        }
    });
}

// ---------------------------------------------------------------------------------------------------
// The store

#[derive(Clone)]
struct Row {
    part: String,
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Tables {
    version: u64,
    rows: BTreeMap<(String, String), Row>,
}

/// The platform's store: rows in tables, with transactions and feeds.
struct Store {
    tables: Mutex<Tables>,
    changed: Condvar,
    started: Instant,
    /// While set, all calls are answered with 503.
    down: AtomicBool,
}

impl Store {
    fn start() -> Result<(Arc<Store>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Arc::new(Store {
            tables: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            down: AtomicBool::new(false),
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

    fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1_000.0
    }

    /// Writes a row, or removes it, as the operator or an engine does. Returns after the change is
    /// acknowledged.
    fn put(&self, table: &str, key: &str, value: Option<&str>) {
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

    fn answer(&self, message: &Message) -> Vec<u8> {
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

    fn rows(&self, rows: &[String], version: u64) -> Vec<u8> {
        let (rows, now) = (rows.join(","), self.now_ms());
        let body =
            format!(r#"{{"rows":[{rows}],"ver":{version},"now_ms":{now:.3},"more_pages":false}}"#);
        response("200 OK", "Content-Type: application/json\r\n", &body)
    }

    fn transact(&self, body: &[u8]) -> Vec<u8> {
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
            let value = Some(row.get("value").text().into());
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

fn encode((table, key): &(String, String), row: &Row) -> String {
    let Row { part, version, .. } = row;
    let start = format!(r#"{{"table":"{table}","part":"{part}","key":"{key}","ver":{version}"#);
    match &row.value {
        Some(value) => format!(r#"{start},"value":"{value}"}}"#),
        None => format!(r#"{start},"removed":true}}"#),
    }
}

// ---------------------------------------------------------------------------------------------------
// Entries

/// The processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// The longest time that a case may run.
const LONGEST: Duration = Duration::from_secs(115);

/// Ends a case that takes too long, with all processes that it started.
fn watch() {
    thread::spawn(|| {
        thread::sleep(LONGEST);
        eprintln!("the case takes too long");
        for id in lock(&STARTED).iter() {
            let _ = Command::new("kill")
                .args(["-KILL", &id.to_string()])
                .status();
        }
        std::process::exit(2);
    });
}

/// An entry: the program of the deploy file as a process.
struct Entry {
    child: Child,
    callers: SocketAddr,
    ready: SocketAddr,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.signal("-CONT");
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Ports that are the same on all machines, and free on each of these hosts.
fn free_ports(hosts: &[String], count: usize) -> Result<Vec<u16>> {
    let mut ports = Vec::new();
    let seed = std::process::id() as u16;
    let mut port = 20_000 + seed % 9_000;
    while ports.len() < count {
        port += 1;
        let free = |host: &String| {
            let address = format!("{host}:{port}");
            TcpListener::bind(&address).is_ok() && std::net::UdpSocket::bind(&address).is_ok()
        };
        if hosts.iter().all(free) {
            ports.push(port);
        }
        if port > 32_000 {
            return Err("no free ports".into());
        }
    }
    Ok(ports)
}

impl Entry {
    /// Starts an entry at a loopback address. Its settings are those of the template in `platform/`, with the
    /// bounds of the site.
    fn start(
        folder: &Path,
        name: &str,
        zone: &str,
        host: &str,
        ports: &[u16],
        seeds: &[String],
        store: SocketAddr,
        first: bool,
    ) -> Result<Entry> {
        let [callers, ready, peers, metrics, control] = ports[..] else {
            return Err("five ports are needed".into());
        };
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("\"{seed}:{control}\""))
            .collect();
        let seeds = seeds.join(",");
        let text = format!(
            r#"{{
  "instance": "{name}", "zone": "{zone}",
  "listen": "{host}:{callers}", "ready": "{host}:{ready}", "peers": "{host}:{peers}",
  "seeds": [{seeds}], "metrics": "{host}:{metrics}", "store": "{store}",
  "grace": 8.0, "revocation": 5000, "contact": 3000, "drain": 2000,
  "retries": {{ "ratio": 0.2, "constant": 54, "window": 10 }},
  "hedging": {{ "share": 0 }},
  "quotas": {{ "overshoot": 0.1, "slack": 110000, "window": 8 }},
  "first": {first},
  "responses": {{ "head": 16384, "body": 8388608, "event": 16384 }},
  "memory": 110,
  "duties": {{ "lease": 3000, "window": 5, "late": 10 }}
}}
"#
        );
        let settings = folder.join(format!("{name}.json5"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let child = Entry::spawn(&settings, &log)?;
        Ok(Entry {
            child,
            callers: format!("{host}:{callers}").parse()?,
            ready: format!("{host}:{ready}").parse()?,
        })
    }

    fn spawn(settings: &Path, log: &Path) -> Result<Child> {
        let output = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let child = Command::new("target/release/ebonylug-adapter")
            .env_clear()
            .env("EBONYLUG_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        lock(&STARTED).push(child.id());
        Ok(child)
    }

    /// Waits until the entry passes the readiness check of the load balancer.
    fn wait_ready(&self) -> Result<()> {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("the entry does not become ready".into())
    }

    fn is_ready(&self) -> bool {
        let check = || -> io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream
                .write_all(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
            let answer = Message::read(&mut BufReader::new(stream))?;
            Ok(answer.map_or(0, |answer| answer.status()))
        };
        check().is_ok_and(|status| status == 200)
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args([name, &id]).status();
    }
}

// ---------------------------------------------------------------------------------------------------
// Configuration and engines

const MODEL_SERVICE: &str = "pool";
const PLAIN_SERVICE: &str = "desk";
const HOST: &str = "ropes.example";

/// Returns a configuration with the routes of the site: streams that may be resumed, streams that may not,
/// unsafe and safe requests.
fn config(version: u64, keys: &[&str]) -> String {
    let route = |name: &str, prefix: &str, service: &str, rest: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","prefix":"/{prefix}/","public":false,"service":"{service}",{rest}}}"#
        )
    };
    let routes = [
        route("quote-draft", "quote", MODEL_SERVICE, r#""kind":"streaming","timeout_ms":5000,"target_latency_ms":600,"priority":0,"max_attempts":2,"sticky":true,"resumable":true,"gap_target_ms":250"#),
        route("shift-summary", "shift", MODEL_SERVICE, r#""kind":"streaming","timeout_ms":3000,"target_latency_ms":1000,"priority":1,"max_attempts":1,"sticky":true,"resumable":false,"gap_target_ms":250"#),
        route("shift-notes", "notes", MODEL_SERVICE, r#""kind":"streaming","timeout_ms":3000,"target_latency_ms":1000,"priority":1,"max_attempts":1,"sticky":true,"resumable":false,"gap_target_ms":250"#)
            .replace(r#""public":false"#, r#""public":true"#),
        route("dispatch-order", "order", PLAIN_SERVICE, r#""kind":"unsafe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"max_attempts":1"#),
        route("stock-lookup", "stock", PLAIN_SERVICE, r#""kind":"safe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"max_attempts":2"#),
    ]
    .join(",");
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"{MODEL_SERVICE}","max_conns":360,"health_path":"/health","cold_start_s":3.0,"cold_per_s":11.0,"engine":{{"slots":6}}}},{{"name":"{PLAIN_SERVICE}","max_conns":100,"health_path":"/health","cold_start_s":0.0,"cold_per_s":0.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"cgu","api_keys":[{keys}],"plain_tokens":200,"unit":"tokens","rate_per_s":0,"burst":0}}]}}"#
    )
}

fn server_row(
    service: &str,
    address: SocketAddr,
    zone: &str,
    state: &str,
    cold_ms: u64,
    born: u64,
) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":6,"state":"{state}","cold_remaining_ms":{cold_ms},"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":1,"born":{born}}}"#
    )
}

/// The record of a case: what was sent, answered and run.
struct Record {
    started: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    fn new() -> Arc<Record> {
        Arc::new(Record {
            started: Instant::now(),
            lines: Mutex::default(),
        })
    }

    fn add(&self, text: &str) {
        let time = self.started.elapsed().as_secs_f64();
        lock(&self.lines).push(format!("{time:8.3} {text}"));
    }

    fn write(&self, path: &Path) -> io::Result<()> {
        fs::write(path, lock(&self.lines).join("\n") + "\n")
    }
}

/// Sends one request on a connection of its own, and returns the answer and whether it is complete.
fn call(address: SocketAddr, head: &str, body: &str, patience: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    let length = body.len();
    let text = format!("{head}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())?;
    match Message::read(&mut BufReader::new(stream))? {
        Some(message) => Ok(message),
        None => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// The folders and addresses of a case.
struct Site {
    folder: PathBuf,
    record: Arc<Record>,
    /// Whether the disruption is played.
    trouble: bool,
}

/// What a case found.
struct Verdict {
    broken: u64,
    note: String,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, record_path] = &arguments[..] else {
        eprintln!("usage: rig CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let record = Record::new();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let site = Site {
        folder: folder.into(),
        record: Arc::clone(&record),
        trouble,
    };
    record.add(&format!("case {case}, disruption {trouble}"));
    watch();
    let result = match case.as_str() {
        "cold" => cold::run(&site),
        "extra" => extra::run(&site),
        "batch" => spoilt::run(
            &site,
            spoilt::Plan {
                piece: 6,
                bit: 0x10,
                together: 2,
            },
        ),
        "first" => spoilt::run(
            &site,
            spoilt::Plan {
                piece: 1,
                bit: 0x08,
                together: 1,
            },
        ),
        _ => Err("unknown case".into()),
    };
    let code = match &result {
        Ok(verdict) => {
            record.add(&verdict.note);
            println!("{}", verdict.note);
            u8::from(verdict.broken > 0)
        }
        Err(error) => {
            record.add(&format!("the case could not run: {error}"));
            eprintln!("the case could not run: {error}");
            2
        }
    };
    if let Err(error) = record.write(Path::new(record_path)) {
        eprintln!("the record was not written: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
