//! The process that serves callers and operators.
//!
//! An entry queues the requests of its callers, selects targets, and sends each request to the
//! sidecar of its target. It holds no durable state: waiting requests have not run, sidecars keep
//! the attempts that were sent, and calls that must not be repeated are recorded in the platform's
//! store.
//!
//! - [`Settings`]: the settings file.
//! - [`Entry`]: a running entry.
//!
//! The crates `ebonylug-routing`, `ebonylug-zones`, `ebonylug-membership`, `ebonylug-moves` and
//! `ebonylug-config` make the decisions; this crate connects them to sockets and to the clock.

mod at_most_once;
mod attempt;
mod caller;
mod configuration;
mod dispatcher;
mod driver;
mod fleet;
mod http;
mod instruments;
mod leadership;
mod moves;
mod operator;
mod peers;
mod prompt;
mod reply;
mod settings;
pub mod sink;
mod status;
mod timeline;
mod view;

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use ebonylug_core::{Clock, Incarnation, Revision};
use ebonylug_events::Origin;
use ebonylug_net::record::Recorder;
use ebonylug_net::serve::{self, Server};
use ebonylug_net::shutdown::{Phase, Shutdown};
use ebonylug_net::tasks::Tasks;
use ebonylug_platform::{HttpPlatform, InstanceList, InstanceRow, InstanceState};
use ebonylug_routing::Router;

use crate::configuration::Configuration;
use crate::dispatcher::Dispatcher;
use crate::fleet::Fleet;
use crate::instruments::Instruments;
use crate::leadership::Leadership;
use crate::moves::Moves;
use crate::peers::Peers;
use crate::view::CurrentConfig;

pub use ebonylug_net::settings::InvalidSetting;
pub use settings::{Operator, Role, Settings};

/// The minimum interval between two reads of the instance list.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between two reads of the instance list, per instance in the list. Reading 1,010 lines
/// of 139 bytes every 2 s takes 70 KB/s per entry, while all control traffic may take 13 KB/s.
/// Leave notices and heartbeats do not depend on the list.
const LIST_TIME_PER_INSTANCE: Duration = Duration::from_millis(70);
/// The interval at which timeouts and gradual recoveries are processed.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for one call to the platform's service.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// The reason why an entry could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A setting is out of range.
    #[error("settings: {0}")]
    Settings(#[from] InvalidSetting),
    /// Binding to an address failed.
    #[error("{address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error from the operating system.
        source: std::io::Error,
    },
}

/// The result of starting an entry.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// State shared by all handlers and tasks of an entry.
struct Shared {
    settings: Arc<Settings>,
    clock: Arc<dyn Clock>,
    tasks: Tasks,
    current: Arc<CurrentConfig>,
    dispatcher: Arc<Dispatcher>,
    fleet: Arc<Fleet>,
    configuration: Arc<Configuration>,
    moves: Arc<Moves>,
    leadership: Leadership,
    platform: HttpPlatform,
    peers: Peers,
    recorder: Arc<Recorder>,
    shutdown: Shutdown,
    instruments: Arc<Instruments>,
}

impl Shared {
    fn is_ready(&self) -> bool {
        self.shutdown.phase() == Phase::Running
            && self.current.revision() > Revision(0)
            && self.fleet.has_report()
    }
}

/// A running entry. Dropping it stops it immediately, without draining, like a crash.
pub struct Entry {
    shared: Arc<Shared>,
    server: Server,
    control_address: SocketAddr,
}

impl Entry {
    /// Starts an entry on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails if a setting is out of range or binding to an address fails.
    pub async fn start(settings: Settings, clock: Arc<dyn Clock>, seed: u64) -> Result<Self> {
        settings.check()?;
        let settings = Arc::new(settings);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let incarnation = Incarnation::random(&mut rng);
        let current = Arc::new(CurrentConfig::default());
        let router = Router::new(ebonylug_routing::Settings::default(), rng.random());
        let origin = Origin {
            process: settings.instance.clone(),
            zone: settings.zone.clone(),
            incarnation,
        };
        let tasks = Tasks::new();
        let instruments = Arc::new(Instruments::new());
        let recorder = Arc::new(Recorder::new(origin, Arc::clone(&clock)));
        let moves = Arc::new(Moves::new(Arc::clone(&clock), incarnation));
        let dispatcher = Arc::new(Dispatcher::new(
            router,
            Arc::clone(&clock),
            Arc::clone(&current),
            Arc::clone(&moves),
            Arc::clone(&recorder),
            Arc::clone(&instruments),
            tasks.clone(),
        ));
        let fleet_settings = fleet::Settings {
            entry: settings.instance.clone(),
            subset: settings.subset,
            key: settings.key.clone(),
        };
        let fleet = Fleet::new(
            fleet_settings,
            Arc::clone(&clock),
            Arc::clone(&current),
            Arc::clone(&dispatcher),
            tasks.clone(),
        );
        let platform = HttpPlatform::new(settings.platform).timeout(PLATFORM_TIMEOUT);
        let configuration = Arc::new(Configuration::new(
            platform.clone(),
            incarnation,
            Arc::clone(&current),
            Arc::clone(&clock),
        ));
        let shared = Arc::new(Shared {
            settings: Arc::clone(&settings),
            clock,
            tasks: tasks.clone(),
            current,
            dispatcher: Arc::clone(&dispatcher),
            fleet: Arc::clone(&fleet),
            configuration: Arc::clone(&configuration),
            moves,
            peers: Peers::new(settings.instance.clone(), incarnation, settings.key.clone()),
            leadership: Leadership::default(),
            platform,
            recorder,
            shutdown: Shutdown::new(),
            instruments,
        });

        let control = bind(settings.control)?;
        let control_address = control.local_addr().unwrap_or(settings.control);
        let control = tokio::net::TcpListener::from_std(control)
            .map_err(|source| listen_error(settings.control, source))?;
        let listener = bind(settings.listen)?;
        let handler = Arc::clone(&shared);
        let server = Server::start(listener, settings.workers, move |request| {
            http::handle(Arc::clone(&handler), request)
        })
        .map_err(|source| listen_error(settings.listen, source))?;

        tasks.spawn(dispatcher.run());
        tasks.spawn(poll_instance_list(Arc::clone(&shared)));
        tasks.spawn(apply_configurations(Arc::clone(&shared)));
        tasks.spawn(tick(fleet));
        tasks.spawn(driver::run(Arc::clone(&shared)));
        let instance = settings.instance.clone();
        tasks.spawn(leadership::run(Arc::clone(&shared), instance, incarnation));
        tasks.spawn(peers::run(Arc::clone(&shared), rng.random()));
        let handler = Arc::clone(&shared);
        tasks.spawn(ebonylug_net::rpc::listen(
            control,
            settings.key.clone(),
            move |stream| peers::serve(stream, Arc::clone(&handler)),
        ));
        tracing::info!(
            instance = %settings.instance,
            listen = %server.address(),
            control = %control_address,
            %incarnation,
            "entry: started"
        );
        Ok(Entry {
            shared,
            server,
            control_address,
        })
    }

    /// Returns the address that serves callers and operators.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Reports whether the entry serves callers: it is not stopping, has a configuration, and has
    /// received a report from at least one target.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Returns the entry's row for the platform's instance list.
    #[must_use]
    pub fn instance_row(&self) -> InstanceRow {
        let settings = &self.shared.settings;
        InstanceRow {
            instance: settings.instance.clone(),
            zone: settings.zone.clone(),
            state: InstanceState::Live,
            data: self.address().to_string().into(),
            control: self.control_address.to_string().into(),
            target: None,
        }
    }

    /// Returns the active configuration revision, or 0 before the first one.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.shared.current.revision()
    }

    /// Returns the address that serves control calls of other entries.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Shuts down gracefully: refuses new requests as not run, waits at most [`Settings::bound`] for
    /// those in flight, and returns the number of requests that had not ended by then.
    pub async fn stop(self) -> usize {
        self.shared.shutdown.drain();
        tracing::info!(active = self.shared.shutdown.active(), "entry: draining");
        let settings = &self.shared.settings;
        let remaining = self
            .shared
            .shutdown
            .finish(settings.lag, settings.bound)
            .await;
        tracing::info!(remaining, "entry: stopped");
        remaining
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.shared.tasks.cancel_all();
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    serve::bind(address).map_err(|source| listen_error(address, source))
}

fn listen_error(address: SocketAddr, source: std::io::Error) -> Error {
    Error::Listen { address, source }
}

async fn poll_instance_list(shared: Arc<Shared>) {
    let seeds = shared.peers.seeds(&shared.settings.seeds);
    shared
        .configuration
        .set_peers(&shared.settings.instance, seeds);
    let mut interval = LIST_INTERVAL;
    loop {
        match shared.platform.instances().await {
            Ok(rows) => {
                let count = u32::try_from(rows.len()).unwrap_or(u32::MAX);
                interval = LIST_INTERVAL.max(LIST_TIME_PER_INSTANCE * count);
                let links = shared.peers.apply_list(&rows);
                shared
                    .configuration
                    .set_peers(&shared.settings.instance, links);
                shared.fleet.apply_list(rows);
            }
            Err(error) => tracing::warn!(%error, "fleet: instance list could not be read"),
        }
        tokio::time::sleep(interval).await;
    }
}

async fn apply_configurations(shared: Arc<Shared>) {
    let mut changes = shared.configuration.changes();
    tokio::join!(shared.configuration.run(), async {
        while changes.changed().await.is_ok() {
            shared.moves.reconcile(&shared.current.view().document);
            shared.fleet.reconcile();
            shared
                .dispatcher
                .update_router(|router| shared.moves.apply_shares(router));
        }
    });
}

async fn tick(fleet: Arc<Fleet>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        fleet.tick();
    }
}
