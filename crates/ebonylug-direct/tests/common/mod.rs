//! An entry between raw callers and scripted targets, all on loopback and on one thread.

// Each test file uses another part.
#![allow(dead_code)]

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ebonylug_core::{Name, SystemClock};
use ebonylug_direct::{Bounds, Dialect, Entry, Settings, Uptime, server};
use ebonylug_dispatch::{
    Config, Limits, Organisation, Quota, RawConfig, RetryRule, Route, RouteKind, Service, Target,
    TargetState,
};
use http::HeaderName;
use smallvec::smallvec;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A wait that ends only if something is broken.
pub const WAIT: Duration = Duration::from_secs(20);

/// A clock of the uptime that a test sets.
#[derive(Clone, Default)]
pub struct Time(pub Rc<Cell<Duration>>);

impl Uptime for Time {
    fn uptime(&self) -> Duration {
        self.0.get()
    }
}

/// Header names that differ from those of any platform.
pub fn dialect() -> Dialect {
    let name = HeaderName::from_static;
    Dialect {
        request_id: name("x-id"),
        deadline: name("x-deadline"),
        expected_target: name("x-expected"),
        organisation: name("x-organisation"),
        tokens: name("x-tokens"),
        prompt_parts: name("x-parts"),
        last_event: name("x-last-event"),
        signature: name("x-signature"),
        not_run: name("x-not-run"),
        cold_time: name("x-cold"),
        reserved: vec![name("x-reserved")],
        ready_path: "/ready".into(),
    }
}

fn route(name: &str, kind: RouteKind, attempts: u32) -> Route {
    Route {
        name: Name::new(name),
        host: "mill.example".into(),
        prefix: format!("/{name}/").into(),
        kind,
        timeout: Duration::from_secs(10),
        latency_objective: Duration::from_secs(4),
        max_attempts: attempts,
        priority: 0,
        services: smallvec![(Name::new("pool"), 1)],
        public: false,
    }
}

/// A configuration with one route of each kind, and one organisation.
pub fn config(version: u64, quota: Option<Quota>) -> Config {
    let gap = Duration::from_millis(250);
    let stream = |resumable| RouteKind::Stream {
        resumable,
        max_gap: gap,
    };
    let mut public = route("public", RouteKind::Safe, 1);
    public.public = true;
    Config::new(RawConfig {
        version,
        routes: vec![
            route("safe", RouteKind::Safe, 2),
            route("once", RouteKind::Once, 1),
            route("stream", stream(true), 2),
            route("plainstream", stream(false), 1),
            public,
        ],
        services: vec![Service {
            name: Name::new("pool"),
            cold_time: Duration::ZERO,
            cold_rate: 0.0,
            max_connections: 100,
            slots: 0,
        }],
        organisations: vec![Organisation {
            name: Name::new("ropeworks"),
            priority: None,
            quota,
            default_tokens: 100,
            keys: vec!["key-1".into()],
        }],
        limits: Limits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4_000,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    })
}

/// What a scripted target does with a connection.
#[derive(Clone, Debug)]
pub enum Act {
    /// Sends these bytes and keeps the connection.
    Send(String),
    /// Sends these bytes and closes the connection.
    Close(String),
    /// Sends these bytes, then nothing, until the entry closes the connection.
    Hang(String),
}

/// A target that answers requests by a script, and remembers them.
pub struct Scripted {
    pub name: Name,
    pub address: SocketAddr,
    pub seen: Rc<RefCell<Vec<String>>>,
    /// Connections that the entry closed while the target was silent.
    pub left: Rc<Cell<u32>>,
}

/// Makes a whole answer with a body, for the request with this id.
pub fn answer(id: &str, status: &str, extra: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-id: {id}\r\n{extra}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Makes a signed success.
pub fn success(id: &str, body: &str) -> String {
    answer(id, "200 OK", "x-signature: s\r\n", body)
}

/// Makes the head of a stream.
pub fn stream_head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    )
}

/// Makes a chunk.
pub fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// Makes an event.
pub fn event(id: u32) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// Returns what the platform lists of a target that is not there.
pub fn listed() -> Target {
    Target {
        name: Name::new("engine-0"),
        service: Name::new("pool"),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: Name::new("zone"),
        version: "v1".into(),
        slots: 6,
        state: TargetState::Serving,
        cold: Duration::ZERO,
        started_ms: 1,
    }
}

impl Scripted {
    /// Starts a target that takes one act of the script for each request; the last one is repeated.
    pub async fn start(name: &str, script: Vec<Act>) -> Self {
        Self::with(name, Rc::new((script, Cell::new(0)))).await
    }

    /// Starts two targets that take acts of one script in turn, whichever gets a request.
    pub async fn pair(script: Vec<Act>) -> [Self; 2] {
        let script = Rc::new((script, Cell::new(0)));
        let first = Self::with("engine-1", Rc::clone(&script)).await;
        [first, Self::with("engine-2", script).await]
    }

    async fn with(name: &str, script: Rc<(Vec<Act>, Cell<usize>)>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let (seen, left) = (Rc::default(), Rc::default());
        let target = Scripted {
            name: Name::new(name),
            address,
            seen: Rc::clone(&seen),
            left: Rc::clone(&left),
        };
        tokio::task::spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("the listener works");
                let (seen, left) = (Rc::clone(&seen), Rc::clone(&left));
                tokio::task::spawn_local(play(stream, Rc::clone(&script), seen, left));
            }
        });
        target
    }

    /// Returns what the platform lists of the target.
    pub fn listed(&self) -> Target {
        Target {
            name: self.name.clone(),
            address: self.address,
            ..listed()
        }
    }

    /// Returns the number of requests that arrived.
    pub fn count(&self) -> usize {
        self.seen.borrow().len()
    }
}

async fn play(
    mut stream: TcpStream,
    script: Rc<(Vec<Act>, Cell<usize>)>,
    seen: Rc<RefCell<Vec<String>>>,
    left: Rc<Cell<u32>>,
) {
    while let Some(request) = read_message(&mut stream).await {
        seen.borrow_mut().push(request);
        let (acts, next) = &*script;
        let act = acts[next.get().min(acts.len() - 1)].clone();
        next.set(next.get() + 1);
        let (bytes, then) = match &act {
            Act::Send(bytes) => (bytes, 0),
            Act::Close(bytes) => (bytes, 1),
            Act::Hang(bytes) => (bytes, 2),
        };
        if stream.write_all(bytes.as_bytes()).await.is_err() {
            return;
        }
        match then {
            0 => {}
            1 => return,
            _ => {
                let mut byte = [0];
                let gone = stream.read(&mut byte).await;
                if matches!(gone, Ok(0) | Err(_)) {
                    left.set(left.get() + 1);
                }
                return;
            }
        }
    }
}

/// Reads one message with its body; `None` at the end of the connection.
pub async fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        if let Some(end) = find(&bytes, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
            let length: Option<usize> = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
            let whole = match length {
                Some(length) => bytes.len() >= end + 4 + length,
                None if head.contains("transfer-encoding: chunked") => {
                    bytes.ends_with(b"0\r\n\r\n")
                }
                None => true,
            };
            if whole {
                return Some(String::from_utf8_lossy(&bytes).into_owned());
            }
        }
        let mut part = [0; 4096];
        match stream.read(&mut part).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&part[..count]),
        }
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// An entry with its callers' address.
pub struct World {
    pub entry: Rc<Entry>,
    pub address: SocketAddr,
    pub time: Time,
    pub bounds: Bounds,
    pub close: watch::Sender<bool>,
}

impl World {
    /// Starts an entry with a configuration and targets.
    pub async fn start(targets: &[&Scripted]) -> Self {
        let world = Self::bare().await;
        world.entry.apply_config(config(1, None));
        world.entry.confirm_config(Duration::from_secs(100));
        world
            .entry
            .set_targets(targets.iter().map(|target| target.listed()).collect());
        world
    }

    /// Starts an entry that knows nothing.
    pub async fn bare() -> Self {
        Self::named("entry-1").await
    }

    /// Starts an entry that knows nothing but its name.
    pub async fn named(name: &str) -> Self {
        let time = Time::default();
        time.0.set(Duration::from_secs(100));
        let settings = Settings {
            name: Name::new(name),
            zone: Name::new("zone"),
            bounds: Bounds {
                key_age: Duration::from_secs(4),
                retries: RetryRule {
                    ratio: 0.2,
                    constant: 50.0,
                    window: Duration::from_secs(10),
                },
                grace: Duration::from_secs(8),
                body_memory: 1 << 20,
            },
        };
        let bounds = settings.bounds;
        let clock = Arc::new(SystemClock);
        let entry = Entry::new(settings, dialect(), clock, Box::new(time.clone()), 1);
        let listener = server::listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let address = listener.local_addr().expect("it is bound");
        let (close, closed) = watch::channel(false);
        tokio::task::spawn_local(server::serve(Rc::clone(&entry), listener, closed));
        World {
            entry,
            address,
            time,
            bounds,
            close,
        }
    }

    /// Connects a caller.
    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address)
            .await
            .expect("the entry listens")
    }

    /// Sends a request on a new connection and returns all bytes of the answer, until its end or that of
    /// the connection.
    pub async fn call(&self, request: &str) -> String {
        let mut stream = self.connect().await;
        stream
            .write_all(request.as_bytes())
            .await
            .expect("the entry reads");
        read_answer(&mut stream).await
    }
}

/// Reads one answer, or what comes of it before the connection ends.
pub async fn read_answer(stream: &mut TcpStream) -> String {
    let read = async {
        let mut bytes = Vec::new();
        loop {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                let head = head.to_lowercase();
                let length: Option<usize> = head
                    .lines()
                    .find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
                let whole = match length {
                    Some(length) => body.len() >= length,
                    None => body.ends_with("0\r\n\r\n"),
                };
                if whole {
                    return text;
                }
            }
            let mut part = [0; 4096];
            match stream.read(&mut part).await {
                Ok(0) | Err(_) => return text,
                Ok(count) => bytes.extend_from_slice(&part[..count]),
            }
        }
    };
    tokio::time::timeout(WAIT, read)
        .await
        .expect("the entry answers or closes")
}

/// Makes a request with the key of the organisation.
pub fn get(route: &str, id: &str) -> String {
    format!(
        "GET /{route}/1?q=2 HTTP/1.1\r\nhost: mill.example\r\nx-id: {id}\r\nx-deadline: 8000\r\nauthorization: Bearer key-1\r\n\r\n"
    )
}

/// Returns the status of an answer.
pub fn status(answer: &str) -> u16 {
    let word = answer.split(' ').nth(1);
    word.and_then(|word| word.parse().ok()).unwrap_or(0)
}

/// Waits until a condition holds.
pub async fn until(what: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let done = tokio::time::timeout(WAIT, wait).await;
    assert!(done.is_ok(), "waited in vain until {what}");
}

/// Runs a test on one thread.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}
