//! The processes of a play, and what the operator has ordered.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ebonylug_adapter::settings::{Retries, Settings};
use ebonylug_adapter::standin::{FakeStore, FaultSwitch};
use ebonylug_core::Name;
use ebonylug_dispatch::{
    Limits, Organisation, Quota, RawConfig, Route, RouteKind, Service, Target, TargetState,
};
use rustix::process::Signal;
use smallvec::smallvec;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::caller::{HOST, KEYS, LIMIT, key};
use crate::ledger::{LIMITED_KEY, QUOTA, TOKENS};
use crate::notes::{Change, Notes, Sort, Span, Trouble, now};
use crate::play::Options;
use crate::process::{Handle, Process};
use crate::proxy::Proxy;
use crate::{Error, Result};

/// Time from the end of an entry to its next start.
const RESTART: Duration = Duration::from_millis(300);
/// The service of all routes.
const SERVICE: &str = "pool";
/// Slots that the rows of engines state.
const SLOTS: u32 = 8;

/// One entry's place: what stays when its process is started again.
pub(crate) struct Entry {
    settings: Mutex<Settings>,
    pub(crate) gate: FaultSwitch,
    handle: Mutex<Option<Handle>>,
    /// Whether the process was told to stop.
    stopped: AtomicBool,
    /// Whether it was killed.
    killed: AtomicBool,
    start: Mutex<u32>,
}

/// An engine. It serves as long as its proxy is held.
#[derive(Clone)]
pub(crate) struct Engine {
    pub(crate) row: Target,
    pub(crate) proxy: Arc<Proxy>,
    pub(crate) handle: Arc<Handle>,
}

/// All that is played.
pub(crate) struct World {
    options: Options,
    pub(crate) rows: FakeStore,
    pub(crate) entries: Vec<Entry>,
    engines: Mutex<Vec<Engine>>,
    draft: Mutex<RawConfig>,
    pub(crate) notes: Mutex<Notes>,
    /// Entries that callers may connect to.
    pub(crate) open: watch::Sender<BTreeMap<usize, (SocketAddr, u32)>>,
    closing: AtomicBool,
    /// The number of the next engine.
    next: Mutex<u8>,
    net: Net,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ports of entries and engines. Each has an address of its own.
const LISTEN: u16 = 7_001;
const READY: u16 = 7_002;
const PEERS: u16 = 7_003;
const METRICS: u16 = 7_004;
const ENGINE: u16 = 7_005;

/// The loopback addresses of one play, so that plays beside it do not meet its ports.
#[derive(Clone, Copy, Debug)]
struct Net(u8, u8);

impl Net {
    fn next() -> Self {
        static PLAYS: AtomicU8 = AtomicU8::new(0);
        // The first part is 127; the second one must not be 0, where other programs listen.
        let second = u8::try_from(std::process::id() % 250).unwrap_or(0) + 1;
        Net(second, PLAYS.fetch_add(2, Ordering::Relaxed))
    }

    fn entry(self, place: usize) -> IpAddr {
        let last = u8::try_from(place + 1).unwrap_or(u8::MAX);
        Ipv4Addr::new(127, self.0, self.1, last).into()
    }

    fn engine(self, number: u8) -> IpAddr {
        Ipv4Addr::new(127, self.0, self.1.wrapping_add(1), number).into()
    }
}

fn zone(place: usize) -> Name {
    Name::new(if place.is_multiple_of(2) {
        "east"
    } else {
        "west"
    })
}

fn route(name: &str, kind: RouteKind) -> Route {
    Route {
        name: Name::new(name),
        host: HOST.into(),
        prefix: format!("/{name}/").into(),
        kind,
        timeout: LIMIT,
        latency_objective: Duration::from_secs(1),
        max_attempts: 2,
        priority: 0,
        services: smallvec![(Name::new(SERVICE), 1)],
        public: false,
    }
}

fn kind(sort: Sort) -> RouteKind {
    let gap = Duration::from_millis(250);
    match sort {
        Sort::Safe => RouteKind::Safe,
        Sort::Once => RouteKind::Once,
        Sort::Resumable => RouteKind::Stream {
            resumable: true,
            max_gap: gap,
        },
        Sort::Stream => RouteKind::Stream {
            resumable: false,
            max_gap: gap,
        },
    }
}

/// Returns the first configuration.
fn first() -> RawConfig {
    let organisation = |name: &str, keys: std::ops::Range<usize>, quota| Organisation {
        name: Name::new(name),
        priority: None,
        quota,
        default_tokens: TOKENS,
        keys: keys.map(|number| key(number).into()).collect(),
    };
    let quota = Quota {
        rate: QUOTA,
        burst: QUOTA,
    };
    RawConfig {
        version: 1,
        routes: Sort::ALL
            .map(|sort| route(sort.as_str(), kind(sort)))
            .into(),
        services: vec![Service {
            name: Name::new(SERVICE),
            cold_time: Duration::ZERO,
            cold_rate: 0.0,
            max_connections: 100,
            slots: SLOTS,
        }],
        organisations: vec![
            organisation("mill", 0..LIMITED_KEY, None),
            organisation("quay", LIMITED_KEY..KEYS, Some(quota)),
        ],
        limits: Limits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

impl World {
    /// Starts everything.
    pub(crate) async fn start(
        options: Options,
        entries: usize,
        engines: usize,
    ) -> Result<Arc<Self>> {
        let rows = FakeStore::default();
        let net = Net::next();
        let mut places = Vec::new();
        for place in 0..entries {
            places.push(settings(&rows, net, place).await?);
        }
        let seeds: Vec<SocketAddr> = places.iter().map(|(settings, _)| settings.peers).collect();
        let entries = places.into_iter().map(|(settings, gate)| Entry {
            settings: Mutex::new(Settings {
                seeds: seeds.clone(),
                ..settings
            }),
            gate,
            handle: Mutex::default(),
            stopped: AtomicBool::new(false),
            killed: AtomicBool::new(false),
            start: Mutex::new(0),
        });
        let world = Arc::new(World {
            options,
            rows,
            entries: entries.collect(),
            engines: Mutex::default(),
            draft: Mutex::new(first()),
            notes: Mutex::default(),
            open: watch::Sender::default(),
            closing: AtomicBool::new(false),
            next: Mutex::new(0),
            net,
        });
        world.publish();
        for place in 0..engines {
            world.add_engine(place).await?;
        }
        for place in 0..world.entries.len() {
            let process = world.start_entry(place)?;
            tokio::spawn(Arc::clone(&world).supervise(place, process));
        }
        Ok(world)
    }

    /// Writes the configuration, and returns its version.
    fn publish(&self) -> u64 {
        let draft = lock(&self.draft);
        self.rows.put_config(&draft);
        draft.version
    }

    /// Writes a changed configuration. Its version and time are noted.
    pub(crate) fn change(&self, change: impl FnOnce(&mut RawConfig)) -> u64 {
        let mut draft = lock(&self.draft);
        draft.version += 1;
        change(&mut draft);
        drop(draft);
        let version = self.publish();
        self.note(Change::Config { version });
        version
    }

    /// Adds a route that the version names.
    pub(crate) fn add_route(&self) -> u64 {
        self.change(|draft| {
            let name = format!("added-{}", draft.version);
            draft.routes.push(route(&name, RouteKind::Safe));
        })
    }

    /// Takes the first key away that is left and has no quota.
    pub(crate) fn revoke(&self) {
        let mut revoked = None;
        self.change(|draft| {
            // One stays, so that requests go on.
            let keys = &mut draft.organisations[0].keys;
            if keys.len() > 1 {
                revoked = Some(keys.remove(0));
            }
        });
        let number = |text: Box<str>| text.trim_start_matches("key-").parse().ok();
        if let Some(key) = revoked.and_then(number) {
            self.note(Change::Revoked { key });
        }
    }

    pub(crate) fn note(&self, change: Change) {
        lock(&self.notes).changes.push((now(), change));
    }

    /// Notes that something is harmed from now on for a time.
    pub(crate) fn trouble(&self, what: Trouble, lasts: Duration) {
        let from = now();
        let to = from + u64::try_from(lasts.as_millis()).unwrap_or(0);
        lock(&self.notes).troubles.push(Span { what, from, to });
    }

    /// Starts an engine and writes its row.
    pub(crate) async fn add_engine(self: &Arc<Self>, place: usize) -> Result<()> {
        let number = {
            let mut next = lock(&self.next);
            // After 255 engines, the addresses of those that have ended are used again.
            *next = next.checked_add(1).unwrap_or(1);
            *next
        };
        let name = format!("engine-{number}");
        let address = SocketAddr::new(self.net.engine(number), ENGINE);
        let text = address.to_string();
        let arguments = ["engine", "--name", &name, "--address", &text];
        let mut process = Process::start(&self.options.soak, &arguments, None)?;
        let handle = Arc::new(process.handle().share()?);
        let output = process.output();
        let setup = |error| Error::Setup("a proxy".into(), error);
        let proxy = Proxy::start(address).await.map_err(setup)?;
        let row = Target {
            name: Name::new(&name),
            service: Name::new(SERVICE),
            address: proxy.address,
            zone: zone(place),
            version: "v1".into(),
            slots: SLOTS,
            state: TargetState::Serving,
            cold: Duration::ZERO,
            started_ms: now(),
        };
        let world = Arc::clone(self);
        tokio::spawn(async move {
            let Some(output) = output else { return };
            let mut lines = BufReader::new(output).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                match serde_json::from_str(&line) {
                    Ok(run) => lock(&world.notes).runs.push(run),
                    Err(error) => eprintln!("a line of an engine: {error}"),
                }
            }
            // It ends when it is killed, or with the play.
            let _ = process.wait().await;
        });
        self.wait_for(address).await?;
        self.rows.put_target(&row);
        let engine = Engine {
            row,
            proxy: Arc::new(proxy),
            handle,
        };
        let mut engines = lock(&self.engines);
        match engines.get_mut(place) {
            Some(known) => *known = engine,
            None => engines.push(engine),
        }
        Ok(())
    }

    async fn wait_for(&self, address: SocketAddr) -> Result<()> {
        const TRIES: u32 = 1_000;
        for _ in 0..TRIES {
            if TcpStream::connect(address).await.is_ok() {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Err(Error::Start(format!("nothing listens at {address}").into()))
    }

    /// Returns the engine of a place. It stays the same when another one takes the place.
    pub(crate) fn engine(&self, place: usize) -> Engine {
        let engines = lock(&self.engines);
        engines[place % engines.len()].clone()
    }

    pub(crate) fn engine_count(&self) -> usize {
        lock(&self.engines).len()
    }

    /// Returns the names of the engines of a zone.
    pub(crate) fn engines_of(&self, zone: &Name) -> Vec<String> {
        let engines = lock(&self.engines);
        let engines = engines.iter().filter(|engine| engine.row.zone == *zone);
        engines.map(|engine| engine.row.name.to_string()).collect()
    }

    fn settings_path(&self, place: usize) -> PathBuf {
        self.options.folder.join(format!("entry-{place}.json5"))
    }

    /// Writes the settings of an entry with another bound on repeated sends.
    pub(crate) fn change_settings(&self, place: usize) -> Result<()> {
        lock(&self.entries[place].settings).retries.constant += 1.0;
        self.write_settings(place)
    }

    fn write_settings(&self, place: usize) -> Result<()> {
        let path = self.settings_path(place);
        let setup = |error| Error::Setup(path.display().to_string().into(), error);
        let text = serde_json::to_vec(&*lock(&self.entries[place].settings));
        std::fs::write(&path, text.map_err(|error| setup(error.into()))?).map_err(setup)
    }

    /// Starts the process of an entry.
    fn start_entry(&self, place: usize) -> Result<Process> {
        self.write_settings(place)?;
        let entry = &self.entries[place];
        let path = self.settings_path(place);
        let path = path.display().to_string();
        let log = self.options.folder.join(format!("entry-{place}.log"));
        let process = Process::start(&self.options.entry, &["--settings", &path], Some(&log))?;
        *lock(&entry.handle) = Some(process.handle().share()?);
        entry.stopped.store(false, Ordering::Relaxed);
        entry.killed.store(false, Ordering::Relaxed);
        *lock(&entry.start) += 1;
        Ok(process)
    }

    /// Tells callers of an entry as soon as it says that it is ready, as the balancer does.
    async fn open_when_ready(self: Arc<Self>, place: usize) {
        let entry = &self.entries[place];
        let start = *lock(&entry.start);
        let (listen, ready) = {
            let settings = lock(&entry.settings);
            (settings.listen, settings.ready)
        };
        while self.lives(place, start) {
            if is_ready(ready).await.unwrap_or(false) {
                self.open.send_modify(|open| {
                    open.insert(place, (listen, start));
                });
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits for the end of an entry, judges it, and starts the entry again, until the play closes.
    async fn supervise(self: Arc<Self>, place: usize, mut process: Process) {
        loop {
            tokio::spawn(Arc::clone(&self).open_when_ready(place));
            let end = process.wait().await;
            let entry = &self.entries[place];
            *lock(&entry.handle) = None;
            let shown = match &end {
                Ok(status) => status.to_string(),
                Err(error) => error.to_string(),
            };
            let well = end.is_ok_and(|status| status.success());
            let stopped = entry.stopped.load(Ordering::Relaxed);
            let planned = entry.killed.load(Ordering::Relaxed) || (well && stopped);
            if !planned {
                let seen = format!("entry {place} ended with {shown}, told to stop: {stopped}");
                lock(&self.notes).ends.push((now(), seen));
            }
            self.open.send_modify(|open| {
                open.remove(&place);
            });
            if self.closing.load(Ordering::Relaxed) {
                return;
            }
            tokio::time::sleep(RESTART).await;
            process = match self.start_entry(place) {
                Ok(process) => process,
                Err(error) => {
                    lock(&self.notes).ends.push((now(), error.to_string()));
                    return;
                }
            };
        }
    }

    /// Sends a signal to an entry. Returns the number of its start if it runs.
    pub(crate) fn signal(&self, place: usize, signal: Signal) -> Option<u32> {
        let entry = &self.entries[place];
        let handle = lock(&entry.handle);
        let handle = handle.as_ref()?;
        match signal {
            Signal::KILL => entry.killed.store(true, Ordering::Relaxed),
            Signal::TERM => entry.stopped.store(true, Ordering::Relaxed),
            _ => {}
        }
        let start = *lock(&entry.start);
        handle.signal(signal).then_some(start)
    }

    /// Reports whether an entry still is in the life of a number.
    pub(crate) fn lives(&self, place: usize, start: u32) -> bool {
        let entry = &self.entries[place];
        lock(&entry.handle).is_some() && *lock(&entry.start) == start
    }

    /// Notes an entry that has not ended in time, and kills it.
    pub(crate) fn overdue(&self, place: usize) {
        let seen = format!("entry {place} did not end within its grace");
        lock(&self.notes).ends.push((now(), seen));
        self.signal(place, Signal::KILL);
    }

    /// Tells callers that an entry takes no new connections.
    pub(crate) fn leave_out(&self, place: usize) {
        self.open.send_modify(|open| {
            open.remove(&place);
        });
    }

    /// Starts no entry again from now on.
    pub(crate) fn close(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }
}

/// Makes the settings of an entry.
async fn settings(rows: &FakeStore, net: Net, place: usize) -> Result<(Settings, FaultSwitch)> {
    let gate = FaultSwitch::default();
    let at = |port| SocketAddr::new(net.entry(place), port);
    let setup = |error| Error::Setup("the store".into(), error);
    let settings = Settings {
        instance: Name::new(&format!("front-{place}")),
        zone: zone(place),
        listen: at(LISTEN),
        ready: at(READY),
        peers: at(PEERS),
        seeds: Vec::new(),
        metrics: at(METRICS),
        store: rows.listen(gate.clone()).await.map_err(setup)?,
        grace: 8.0,
        revocation: 5_000,
        contact: 3_000,
        drain: 2_000,
        retries: Retries {
            ratio: 0.2,
            constant: 54.0,
            window: 10.0,
        },
        memory: 110,
    };
    Ok((settings, gate))
}

/// Asks an entry whether it is ready.
async fn is_ready(address: SocketAddr) -> std::io::Result<bool> {
    let path = ebonylug_adapter::headers::dialect().ready_path;
    let mut stream = TcpStream::connect(address).await?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer.starts_with("HTTP/1.1 200"))
}

/// Makes an empty folder.
pub(crate) fn folder(path: &Path) -> Result<()> {
    let setup = |error| Error::Setup(path.display().to_string().into(), error);
    if path.exists() {
        std::fs::remove_dir_all(path).map_err(setup)?;
    }
    std::fs::create_dir_all(path).map_err(setup)
}
