//! The process beside each target, which admits the requests that the target runs.
//!
//! An entry selects a target by reports that are already stale. The sidecar is the only path to its
//! target and decides on each dispatch with the current state, so its refusal proves that the
//! request was not run. It runs each admitted attempt independently of the entry's connection: if
//! the connection breaks, neither the response nor the outcome of the request is lost.
//!
//! - [`Settings`]: the settings file.
//! - [`Sidecar`]: a running sidecar.
//!
//! The crate `ebonylug-admission` makes the decisions; this crate connects it to sockets and to the
//! clock.

mod control;
mod http;
mod instruments;
pub mod response;
mod settings;
mod sse;
mod state;
mod target;

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use ebonylug_core::{Clock, End, EngineReport, Incarnation, Reason, Refusal, Tokens};
use ebonylug_events::Origin;
use ebonylug_net::client::Client;
use ebonylug_net::serve::{self, Server};
use ebonylug_net::shutdown::Shutdown;
use ebonylug_net::tasks::Tasks;
use ebonylug_net::wire::RefusalMessage;

pub use ebonylug_net::settings::InvalidSetting;
pub use settings::{Settings, TargetKind};

use crate::instruments::Instruments;
use crate::state::{Attempt, SidecarState};
use crate::target::{Call, CallEnd, TargetClient};

/// The interval of health checks of the target, and the timeout of a request for its load.
const HEALTH_INTERVAL: Duration = Duration::from_millis(250);
/// The interval at which timeouts and retention are processed.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of ticks for which a stopping sidecar waits for entries to read the finished
/// responses. These 5 s are enough for an entry to detect a stalled connection and to reconnect.
const MAX_DELIVERY_TICKS: u32 = 250;

/// The reason why a sidecar could not start.
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

/// The result of starting a sidecar.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// State shared by all handlers and tasks of a sidecar.
struct Shared {
    settings: Arc<Settings>,
    state: Arc<SidecarState>,
    client: TargetClient,
    shutdown: Shutdown,
    instruments: Instruments,
    tasks: Tasks,
}

impl Shared {
    async fn run(&self, call: Call, attempt: Attempt) {
        let mut tokens = call.offset;
        let end = self.client.run(&call, &attempt, &mut tokens).await;
        match end {
            CallEnd::Ended(end) => {
                if end == End::Crashed {
                    self.state.set_target_up(false);
                }
                self.instruments.record_end(end);
                self.state.finish(call.attempt, end, tokens);
            }
            CallEnd::NotRun => {
                self.state.set_target_up(false);
                attempt.response.refuse(RefusalMessage {
                    refusal: Refusal::new(Reason::Down),
                    report: self.state.report(),
                    stamp: self.state.recorder().stamp(),
                });
                self.state.finish(call.attempt, End::Cancelled, call.offset);
            }
        }
    }
}

/// A running sidecar. Dropping it stops it immediately, without draining, like a crash.
pub struct Sidecar {
    shared: Arc<Shared>,
    server: Server,
    control_address: SocketAddr,
}

impl Sidecar {
    /// Starts a sidecar on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails if a setting is out of range or binding to an address fails.
    pub async fn start(settings: Settings, clock: Arc<dyn Clock>, seed: u64) -> Result<Self> {
        settings.check()?;
        let settings = Arc::new(settings);
        let incarnation = Incarnation::random(&mut ChaCha8Rng::seed_from_u64(seed));
        let origin = Origin {
            process: settings.instance.clone(),
            zone: settings.zone.clone(),
            incarnation,
        };
        let admission = admission_settings(&settings, incarnation);
        let state = Arc::new(SidecarState::new(
            admission,
            origin,
            settings.target.clone(),
            clock,
        ));
        let shared = Arc::new(Shared {
            client: TargetClient::new(Arc::clone(&settings), Arc::clone(&state)),
            state: Arc::clone(&state),
            shutdown: Shutdown::new(),
            instruments: Instruments::new(),
            tasks: Tasks::new(),
            settings: Arc::clone(&settings),
        });

        let data = bind(settings.data)?;
        let control = bind(settings.control)?;
        let control_address = control.local_addr().unwrap_or(settings.control);
        let handler = Arc::clone(&shared);
        let server = Server::start(data, settings.workers, move |request| {
            http::handle(Arc::clone(&handler), request)
        })
        .map_err(|source| listen_error(settings.data, source))?;

        let tasks = &shared.tasks;
        let listener = tokio::net::TcpListener::from_std(control)
            .map_err(|source| listen_error(settings.control, source))?;
        let control_state = Arc::clone(&state);
        tasks.spawn(ebonylug_net::rpc::listen(
            listener,
            settings.key.clone(),
            move |stream| control::serve(stream, Arc::clone(&control_state)),
        ));
        tasks.spawn(tick(Arc::clone(&state)));
        tasks.spawn(check_health(Arc::clone(&settings), state));
        tracing::info!(
            instance = %settings.instance,
            target = %settings.target,
            data = %server.address(),
            control = %control_address,
            %incarnation,
            "sidecar: started"
        );
        Ok(Sidecar {
            shared,
            server,
            control_address,
        })
    }

    /// Returns the address that serves dispatches.
    #[must_use]
    pub fn data_address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address that serves control calls.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Shuts down gracefully: refuses new attempts, waits at most [`Settings::bound`] for those in
    /// flight, and returns the number of attempts that had not ended by then. Also waits a few
    /// seconds for entries to read the finished responses.
    pub async fn stop(self) -> usize {
        self.shared.shutdown.drain();
        self.shared.state.drain();
        tracing::info!(active = self.shared.shutdown.active(), "sidecar: draining");
        let settings = &self.shared.settings;
        let remaining = self
            .shared
            .shutdown
            .finish(settings.lag, settings.bound)
            .await;
        self.wait_for_delivery().await;
        tracing::info!(remaining, "sidecar: stopped");
        remaining
    }

    /// Waits until entries have read the finished responses, or [`MAX_DELIVERY_TICKS`] have passed.
    async fn wait_for_delivery(&self) {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        for _ in 0..MAX_DELIVERY_TICKS {
            if self.shared.state.all_delivered() {
                return;
            }
            interval.tick().await;
        }
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        self.shared.tasks.cancel_all();
    }
}

fn admission_settings(
    settings: &Settings,
    incarnation: Incarnation,
) -> ebonylug_admission::Settings {
    let ceiling = settings.ceiling;
    match settings.kind {
        TargetKind::Model => ebonylug_admission::Settings::model(incarnation)
            .cold_limit(Tokens(settings.cold_limit))
            .cold_streams(settings.cold_attempts)
            .limit_range(Tokens(settings.cold_limit.min(ceiling)), Tokens(ceiling)),
        TargetKind::Service => {
            let concurrency = u32::try_from(ceiling).unwrap_or(u32::MAX);
            ebonylug_admission::Settings::service(incarnation, concurrency)
                .cold_limit(Tokens(settings.cold_limit))
                .cold_streams(settings.cold_attempts)
        }
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    serve::bind(address).map_err(|source| listen_error(address, source))
}

fn listen_error(address: SocketAddr, source: std::io::Error) -> Error {
    Error::Listen { address, source }
}

async fn tick(state: Arc<SidecarState>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        state.tick();
    }
}

/// Checks periodically whether the target is up, and applies the load reports of a model engine.
async fn check_health(settings: Arc<Settings>, state: Arc<SidecarState>) {
    let client = Client::new();
    loop {
        let up = target::is_up(settings.address).await;
        state.set_target_up(up);
        if up
            && settings.kind == TargetKind::Model
            && let Some(report) = fetch_load(&client, settings.address).await
        {
            state.apply_engine_report(report);
        }
        tokio::time::sleep(HEALTH_INTERVAL).await;
    }
}

async fn fetch_load(client: &Client, address: SocketAddr) -> Option<EngineReport> {
    use http_body_util::BodyExt;
    let uri = format!("http://{address}/load");
    let request = ::http::Request::get(uri)
        .body(http_body_util::Full::default())
        .ok()?;
    let response = client.send(request, HEALTH_INTERVAL).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}
