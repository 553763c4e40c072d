//! The processes of a run and the configuration in the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ebonylug_adapter::settings::{Duties, Hedges, Responses, Retries, Settings, Tolerance};
use ebonylug_adapter::standin::{FakeStore, FaultSwitch};
use ebonylug_core::Name;
use ebonylug_dispatch::{Limits, Organisation, Quota, RawConfig, Route, RouteKind, Service};
use rustix::process::Signal;
use smallvec::smallvec;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::addresses::AddressRange;
use crate::caller::{HOST, KEY_COUNT, REQUEST_TIMEOUT, key};
use crate::checker::{
    COLD_RATE, FIRST_LIMITED_KEY, OVERSHOOT_FACTOR, QUOTA_TOKENS, QUOTA_WINDOW_MS, REQUEST_TOKENS,
    SLACK_TOKENS,
};
use crate::engine::{COLD_TIME, HEALTH_PATH};
use crate::engines::Engine;
use crate::history::{Change, FaultScope, FaultWindow, History, RequestKind, now};
use crate::process::{Handle, Process};
use crate::rows::Rows;
use crate::runner::Options;
use crate::schedule::Schedule;
use crate::{Error, Result};

/// Time from the exit of an entry to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Service of all routes.
pub(crate) const SERVICE: &str = "pool";
/// Number of slots in the rows of the engines.
pub(crate) const SLOTS: u32 = 8;

/// The state of an entry that persists across restarts of its process.
pub(crate) struct Entry {
    settings: Mutex<Settings>,
    pub(crate) fault_switch: FaultSwitch,
    handle: Mutex<Option<Handle>>,
    /// Whether SIGTERM was sent to the current process.
    stop_requested: AtomicBool,
    /// Whether SIGKILL was sent to the current process.
    kill_requested: AtomicBool,
    /// Number of starts of the process.
    generation: Mutex<u32>,
}

/// All processes of a run, the store and the history.
pub(crate) struct Cluster {
    pub(crate) options: Options,
    pub(crate) store: FakeStore,
    pub(crate) entries: Vec<Entry>,
    pub(crate) engines: Mutex<Vec<Engine>>,
    config: Mutex<RawConfig>,
    pub(crate) rows: Mutex<Rows>,
    pub(crate) history: Mutex<History>,
    /// Entries that the load balancer lists, with address and generation.
    pub(crate) available: watch::Sender<BTreeMap<usize, (SocketAddr, u32)>>,
    /// Whether entries that exit stay stopped.
    restarts_stopped: AtomicBool,
    /// Number of the last engine that was started.
    pub(crate) last_engine: Mutex<u8>,
    pub(crate) addresses: AddressRange,
    /// Whether the store is away from all entries and engines.
    pub(crate) store_away: AtomicBool,
}

/// Locks a mutex, also after another task panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

// Ports of entries and engines. Each entry and engine has its own loopback address.
const LISTEN_PORT: u16 = 7_001;
const READY_PORT: u16 = 7_002;
const PEERS_PORT: u16 = 7_003;
const METRICS_PORT: u16 = 7_004;

pub(crate) fn zone(index: usize) -> Name {
    Name::new(if index.is_multiple_of(2) {
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
        timeout: REQUEST_TIMEOUT,
        latency_objective: Duration::from_secs(1),
        max_attempts: 2,
        priority: 0,
        services: smallvec![(Name::new(SERVICE), 1)],
        public: false,
    }
}

fn route_kind(request: RequestKind) -> RouteKind {
    let gap = Duration::from_millis(250);
    match request {
        RequestKind::Safe => RouteKind::Safe,
        RequestKind::Once => RouteKind::Once,
        RequestKind::Resumable => RouteKind::Stream {
            resumable: true,
            max_gap: gap,
        },
        RequestKind::Stream => RouteKind::Stream {
            resumable: false,
            max_gap: gap,
        },
    }
}

/// Returns the initial configuration, in which engines can be cold or not.
fn initial_config(cold: bool) -> RawConfig {
    let (cold_time, cold_rate, health_path) = match cold {
        true => (COLD_TIME, COLD_RATE, HEALTH_PATH),
        false => (Duration::ZERO, 0.0, ""),
    };
    let organisation = |name: &str, keys: std::ops::Range<usize>, quota| Organisation {
        name: Name::new(name),
        priority: None,
        quota,
        default_tokens: REQUEST_TOKENS,
        keys: keys.map(|number| key(number).into()).collect(),
    };
    let quota = Quota {
        rate: QUOTA_TOKENS,
        burst: QUOTA_TOKENS,
    };
    RawConfig {
        version: 1,
        routes: RequestKind::ALL
            .map(|kind| route(kind.as_str(), route_kind(kind)))
            .into(),
        services: vec![Service {
            name: Name::new(SERVICE),
            cold_time,
            cold_rate,
            health_path: health_path.into(),
            max_connections: 100,
            slots: SLOTS,
        }],
        organisations: vec![
            organisation("mill", 0..FIRST_LIMITED_KEY, None),
            organisation("quay", FIRST_LIMITED_KEY..KEY_COUNT, Some(quota)),
        ],
        limits: Limits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

impl Cluster {
    /// Starts the store, the engines and the entries.
    pub(crate) async fn start(options: Options, schedule: &Schedule) -> Result<Arc<Self>> {
        let store = FakeStore::default();
        store.start_era();
        let addresses = AddressRange::next();
        let mut entry_settings = Vec::new();
        for index in 0..schedule.entries {
            entry_settings.push(create_settings(&store, addresses, index).await?);
        }
        let seeds: Vec<SocketAddr> = entry_settings
            .iter()
            .map(|(settings, _)| settings.peers)
            .collect();
        let entries = entry_settings
            .into_iter()
            .map(|(settings, fault_switch)| Entry {
                settings: Mutex::new(Settings {
                    seeds: seeds.clone(),
                    ..settings
                }),
                fault_switch,
                handle: Mutex::default(),
                stop_requested: AtomicBool::new(false),
                kill_requested: AtomicBool::new(false),
                generation: Mutex::new(0),
            });
        let cluster = Arc::new(Cluster {
            options,
            store,
            entries: entries.collect(),
            engines: Mutex::default(),
            config: Mutex::new(initial_config(schedule.has_cold_engines())),
            rows: Mutex::default(),
            history: Mutex::default(),
            available: watch::Sender::default(),
            restarts_stopped: AtomicBool::new(false),
            last_engine: Mutex::new(0),
            addresses,
            store_away: AtomicBool::new(false),
        });
        cluster.publish();
        for index in 0..schedule.engines {
            cluster.add_engine(index).await?;
        }
        for index in 0..cluster.entries.len() {
            let process = cluster.start_entry(index)?;
            tokio::spawn(Arc::clone(&cluster).supervise(index, process));
        }
        Ok(cluster)
    }

    /// Writes the configuration to the store and returns its version.
    pub(crate) fn publish(&self) -> u64 {
        let config = lock(&self.config);
        self.store.put_config(&config);
        config.version
    }

    /// Writes a changed configuration with the next version and records the change.
    pub(crate) fn change_config(&self, change: impl FnOnce(&mut RawConfig)) -> u64 {
        let mut config = lock(&self.config);
        config.version += 1;
        change(&mut config);
        drop(config);
        let version = self.publish();
        self.record_change(Change::Config { version });
        version
    }

    /// Adds a route named after the new version.
    pub(crate) fn add_route(&self) -> u64 {
        self.change_config(|config| {
            let name = format!("added-{}", config.version);
            config.routes.push(route(&name, RouteKind::Safe));
        })
    }

    /// Removes the first remaining key of the organisation without a quota.
    pub(crate) fn revoke_key(&self) {
        let mut revoked = None;
        self.change_config(|config| {
            // Keep one key, so that requests continue to succeed.
            let keys = &mut config.organisations[0].keys;
            if keys.len() > 1 {
                revoked = Some(keys.remove(0));
            }
        });
        let parse_index = |text: Box<str>| text.trim_start_matches("key-").parse().ok();
        if let Some(key) = revoked.and_then(parse_index) {
            self.record_change(Change::Revoked { key });
        }
    }

    pub(crate) fn record_change(&self, change: Change) {
        lock(&self.history).changes.push((now(), change));
    }

    /// Records a fault that starts now.
    pub(crate) fn record_fault(&self, scope: FaultScope, duration: Duration) {
        let from = now();
        let to = from + u64::try_from(duration.as_millis()).unwrap_or(0);
        lock(&self.history)
            .fault_windows
            .push(FaultWindow { scope, from, to });
    }

    fn settings_path(&self, index: usize) -> PathBuf {
        self.options.folder.join(format!("entry-{index}.json5"))
    }

    /// Changes the retry budget in the settings of an entry.
    pub(crate) fn change_settings(&self, index: usize) -> Result<()> {
        lock(&self.entries[index].settings).retries.constant += 1.0;
        self.write_settings(index)
    }

    fn write_settings(&self, index: usize) -> Result<()> {
        let path = self.settings_path(index);
        let setup = |error| Error::Setup(path.display().to_string().into(), error);
        let text = serde_json::to_vec(&*lock(&self.entries[index].settings));
        // An entry that starts at this moment must not read a part of the file.
        let next = path.with_extension("next");
        std::fs::write(&next, text.map_err(|error| setup(error.into()))?).map_err(setup)?;
        std::fs::rename(&next, &path).map_err(setup)
    }

    /// Starts the process of an entry and increments its generation.
    fn start_entry(&self, index: usize) -> Result<Process> {
        self.write_settings(index)?;
        let entry = &self.entries[index];
        let path = self.settings_path(index);
        let path = path.display().to_string();
        let log = self.options.folder.join(format!("entry-{index}.log"));
        let process = Process::start(
            &self.options.entry_program,
            &["--settings", &path],
            Some(&log),
        )?;
        *lock(&entry.handle) = Some(process.handle().try_clone()?);
        entry.stop_requested.store(false, Ordering::Relaxed);
        entry.kill_requested.store(false, Ordering::Relaxed);
        *lock(&entry.generation) += 1;
        // Later starts follow a stop, after which other entries still run.
        lock(&entry.settings).first = false;
        Ok(process)
    }

    /// Lists an entry for callers once it reports that it is ready, as a load balancer does.
    async fn add_when_ready(self: Arc<Self>, index: usize) {
        let entry = &self.entries[index];
        let generation = *lock(&entry.generation);
        let (listen, ready) = {
            let settings = lock(&entry.settings);
            (settings.listen, settings.ready)
        };
        while self.is_running(index, generation) {
            if is_ready(ready).await.unwrap_or(false) {
                self.available.send_modify(|available| {
                    available.insert(index, (listen, generation));
                });
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Restarts an entry whenever it exits, until the run ends. Records unexpected exits.
    async fn supervise(self: Arc<Self>, index: usize, mut process: Process) {
        loop {
            tokio::spawn(Arc::clone(&self).add_when_ready(index));
            let exit = process.wait().await;
            let entry = &self.entries[index];
            *lock(&entry.handle) = None;
            let exit_text = match &exit {
                Ok(status) => status.to_string(),
                Err(error) => error.to_string(),
            };
            let succeeded = exit.is_ok_and(|status| status.success());
            let stop_requested = entry.stop_requested.load(Ordering::Relaxed);
            let expected =
                entry.kill_requested.load(Ordering::Relaxed) || (succeeded && stop_requested);
            if !expected {
                let details =
                    format!("entry {index} ended with {exit_text}, told to stop: {stop_requested}");
                lock(&self.history).process_failures.push((now(), details));
            }
            self.available.send_modify(|available| {
                available.remove(&index);
            });
            if self.restarts_stopped.load(Ordering::Relaxed) {
                return;
            }
            tokio::time::sleep(RESTART_DELAY).await;
            process = match self.start_entry(index) {
                Ok(process) => process,
                Err(error) => {
                    lock(&self.history)
                        .process_failures
                        .push((now(), error.to_string()));
                    return;
                }
            };
        }
    }

    /// Sends a signal to an entry. Returns its generation if it is running.
    pub(crate) fn signal(&self, index: usize, signal: Signal) -> Option<u32> {
        let entry = &self.entries[index];
        let handle = lock(&entry.handle);
        let handle = handle.as_ref()?;
        match signal {
            Signal::KILL => entry.kill_requested.store(true, Ordering::Relaxed),
            Signal::TERM => entry.stop_requested.store(true, Ordering::Relaxed),
            _ => {}
        }
        let generation = *lock(&entry.generation);
        handle.signal(signal).then_some(generation)
    }

    /// Reports whether an entry is running in this generation.
    pub(crate) fn is_running(&self, index: usize, generation: u32) -> bool {
        let entry = &self.entries[index];
        lock(&entry.handle).is_some() && *lock(&entry.generation) == generation
    }

    /// Records that an entry has not exited in time and kills it.
    pub(crate) fn kill_overdue(&self, index: usize) {
        let details = format!("entry {index} did not end within its grace");
        lock(&self.history).process_failures.push((now(), details));
        self.signal(index, Signal::KILL);
    }

    /// Removes an entry from the list for callers, so that they open no new connections to it.
    pub(crate) fn remove_available(&self, index: usize) {
        self.available.send_modify(|available| {
            available.remove(&index);
        });
    }

    /// Stops restarting entries that exit.
    pub(crate) fn stop_restarts(&self) {
        self.restarts_stopped.store(true, Ordering::Relaxed);
    }
}

/// Creates the settings of an entry and starts its own listener of the store, which the fault switch controls.
async fn create_settings(
    store: &FakeStore,
    addresses: AddressRange,
    index: usize,
) -> Result<(Settings, FaultSwitch)> {
    let fault_switch = FaultSwitch::default();
    let at = |port| SocketAddr::new(addresses.entry(index), port);
    let setup = |error| Error::Setup("the store".into(), error);
    let settings = Settings {
        instance: Name::new(&format!("front-{index}")),
        zone: zone(index),
        listen: at(LISTEN_PORT),
        ready: at(READY_PORT),
        peers: at(PEERS_PORT),
        seeds: Vec::new(),
        metrics: at(METRICS_PORT),
        store: store.listen(fault_switch.clone()).await.map_err(setup)?,
        grace: 8.0,
        revocation: 5_000,
        contact: 3_000,
        drain: 2_000,
        retries: Retries {
            ratio: 0.2,
            constant: 54.0,
            window: 10.0,
        },
        quotas: Tolerance {
            overshoot: OVERSHOOT_FACTOR - 1.0,
            slack: SLACK_TOKENS,
            window: QUOTA_WINDOW_MS as f64 / 1_000.0,
        },
        hedging: Hedges::default(),
        first: true,
        responses: Responses {
            head: 16 << 10,
            body: 8 << 20,
            event: 16 << 10,
        },
        memory: 110,
        cloud: None,
        duties: Duties::default(),
    };
    Ok((settings, fault_switch))
}

/// Queries the readiness endpoint of an entry.
async fn is_ready(address: SocketAddr) -> std::io::Result<bool> {
    let path = ebonylug_adapter::headers::dialect().ready_path;
    let mut stream = TcpStream::connect(address).await?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await?;
    Ok(response.starts_with("HTTP/1.1 200"))
}

/// Creates an empty folder, replacing an existing one.
pub(crate) fn create_empty_folder(path: &Path) -> Result<()> {
    let setup = |error| Error::Setup(path.display().to_string().into(), error);
    if path.exists() {
        std::fs::remove_dir_all(path).map_err(setup)?;
    }
    std::fs::create_dir_all(path).map_err(setup)
}
