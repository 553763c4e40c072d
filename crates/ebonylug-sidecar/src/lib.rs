//! The process beside each target: the only way to it.
//!
//! An entry chooses a target from reports that are already old. The sidecar decides at the moment
//! of dispatch, with the present state of the target, and its refusal proves that the request was
//! not run. It runs each admitted attempt apart from the entry's connection, so that a broken
//! connection costs neither the answer nor the knowledge of what became of the request.
//!
//! - [`Settings`]: the settings file.
//! - [`Sidecar`]: a running sidecar.
//!
//! The decisions are those of `ebonylug-admission`; this crate connects them to sockets.

mod control;
mod core;
mod events;
mod http;
mod instruments;
pub mod response;
mod settings;
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
use ebonylug_net::stop::Stop;
use ebonylug_net::tasks::Tasks;
use ebonylug_net::wire::Refused;

pub use ebonylug_net::settings::Invalid;
pub use settings::{Settings, TargetKind};

use crate::core::{Attempt, Core};
use crate::instruments::Instruments;
use crate::target::{Call, Caller, Ended};

/// The interval at which the target is asked for its load.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// The interval of timeouts and retention.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Ticks that a stopping sidecar waits for entries to read finished answers: 5 s, in which an entry
/// notices a silent connection and comes back.
const READ_OUT_TICKS: u32 = 250;

/// Why a sidecar could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A setting is out of range.
    #[error("settings: {0}")]
    Settings(#[from] Invalid),
    /// An address cannot be used.
    #[error("{address}: {source}")]
    Listen {
        /// The address in the settings.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}

/// The result of starting a sidecar.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What the handlers of a sidecar share.
struct Shared {
    settings: Arc<Settings>,
    core: Arc<Core>,
    caller: Caller,
    stop: Stop,
    instruments: Instruments,
    tasks: Tasks,
}

impl Shared {
    async fn run(&self, call: Call, attempt: Attempt) {
        let mut tokens = call.offset;
        let ended = self.caller.run(&call, &attempt, &mut tokens).await;
        match ended {
            Ended::At(end) => {
                if end == End::Crashed {
                    self.core.set_up(false);
                }
                self.instruments.ended(end);
                self.core.finish(call.attempt, end, tokens);
            }
            Ended::NotRun => {
                self.core.set_up(false);
                attempt.answer.refuse(Refused {
                    refusal: Refusal::new(Reason::Down),
                    report: self.core.report(),
                    stamp: self.core.recorder().stamp(),
                });
                self.core.finish(call.attempt, End::Cancelled, call.offset);
            }
        }
    }
}

/// A running sidecar. Dropping it stops the process's part at once, as a crash would.
pub struct Sidecar {
    shared: Arc<Shared>,
    server: Server,
    control: SocketAddr,
}

impl Sidecar {
    /// Starts a sidecar on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails if a setting is out of range or an address cannot be used.
    pub async fn start(settings: Settings, clock: Arc<dyn Clock>, seed: u64) -> Result<Self> {
        settings.check()?;
        let settings = Arc::new(settings);
        let incarnation = Incarnation::random(&mut ChaCha8Rng::seed_from_u64(seed));
        let origin = Origin {
            process: settings.instance.clone(),
            zone: settings.zone.clone(),
            incarnation,
        };
        let admission = admission(&settings, incarnation);
        let core = Arc::new(Core::new(admission, origin, settings.target.clone(), clock));
        let shared = Arc::new(Shared {
            caller: Caller::new(Arc::clone(&settings), Arc::clone(&core)),
            core: Arc::clone(&core),
            stop: Stop::new(),
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
        let served = Arc::clone(&core);
        tasks.spawn(ebonylug_net::rpc::listen(
            listener,
            settings.key.clone(),
            move |stream| control::serve(stream, Arc::clone(&served)),
        ));
        tasks.spawn(tick(Arc::clone(&core)));
        tasks.spawn(probe(Arc::clone(&settings), core));
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
            control: control_address,
        })
    }

    /// Returns the address of the data path.
    #[must_use]
    pub fn data_address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address of the control path.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.control
    }

    /// Stops as planned: refuses new work, finishes what runs, and returns the number of attempts
    /// that remained at the bound.
    pub async fn stop(self) -> usize {
        self.shared.stop.drain();
        self.shared.core.leave();
        tracing::info!(active = self.shared.stop.active(), "sidecar: leaving");
        let settings = &self.shared.settings;
        let remaining = self.shared.stop.finish(settings.lag, settings.bound).await;
        self.read_out().await;
        tracing::info!(remaining, "sidecar: stopped");
        remaining
    }

    /// Waits until entries have read the answers that have ended.
    async fn read_out(&self) {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        for _ in 0..READ_OUT_TICKS {
            if self.shared.core.is_read_out() {
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

fn admission(settings: &Settings, incarnation: Incarnation) -> ebonylug_admission::Settings {
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

async fn tick(core: Arc<Core>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        core.tick();
    }
}

/// Finds out whether the target is up, and takes over the load reports of a model engine.
async fn probe(settings: Arc<Settings>, core: Arc<Core>) {
    let client = Client::new();
    loop {
        let up = target::is_up(settings.address).await;
        core.set_up(up);
        if up
            && settings.kind == TargetKind::Model
            && let Some(report) = load(&client, settings.address).await
        {
            core.engine_report(report);
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

async fn load(client: &Client, address: SocketAddr) -> Option<EngineReport> {
    use http_body_util::BodyExt;
    let uri = format!("http://{address}/load");
    let request = ::http::Request::get(uri)
        .body(http_body_util::Full::default())
        .ok()?;
    let response = client.send(request, PROBE_INTERVAL).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}
