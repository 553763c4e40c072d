//! The fake of a model engine.

mod cache;
mod chat;
mod generation;
mod settings;
mod state;

pub use cache::{CacheChange, CacheEvent, block_hashes};
pub use chat::{ChatRequest, Message};
pub(crate) use settings::check;
pub use settings::{EngineFaults, EngineSettings, StallMode};
pub use state::{EngineOrder, LoadedModel};

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use ebonylug_core::EngineReport;
use http::{HeaderValue, Method, StatusCode};
use serde_json::json;

use self::generation::Generation;
use self::state::{Decision, State};
use crate::server::{Broken, Call, Reply, Server, bind, failure, json as answer, streamed};
use crate::{Result, RunCounts};

/// A fake of a model engine, on a real socket. Dropping it stops it.
///
/// | endpoint | effect |
/// | --- | --- |
/// | `POST /v1/chat/completions` | runs a [`ChatRequest`]; header `x-resume-offset` continues it |
/// | `GET /v1/models` | the loaded models with their versions, and the role |
/// | `GET /health` | 200 |
/// | `GET /load` | the [`EngineReport`] of some time ago |
/// | `GET /cache-events?since=` | late [`CacheEvent`]s with gaps |
/// | `POST /orders` | an [`EngineOrder`]; 409 if its fencing number is old and checked |
/// | `GET /orders` | the orders that were applied |
/// | `GET /runs` | [`RunCounts`] |
/// | `GET`, `POST /admin/faults` | reads or replaces [`EngineFaults`] |
pub struct Engine {
    /// The address that the fake listens on.
    pub addr: SocketAddr,
    state: Arc<State>,
    _server: Server,
}

impl Engine {
    /// Starts a fake.
    ///
    /// # Errors
    ///
    /// Fails if a setting is out of range or the address cannot be listened on.
    pub fn start(settings: EngineSettings) -> Result<Engine> {
        settings.check()?;
        let net = bind(settings.listen)?;
        let faults = settings.faults.clone();
        let crash = faults.crash;
        let state = Arc::new(State::new(settings, net.clone()));
        // The faults are in force from the first connection on.
        state.set_faults(
            EngineFaults {
                crash: false,
                ..faults
            },
            None,
        );
        let served = state.clone();
        let server = Server::start(net, move |call| {
            let state = served.clone();
            async move { handle(state, call).await }
        })?;
        if crash {
            state.crash(None);
        }
        Ok(Engine {
            addr: server.addr(),
            state,
            _server: server,
        })
    }

    /// Stops the fake. Its port is free afterwards.
    pub fn stop(self) {}

    /// Breaks all connections. The engine starts again after the time down.
    pub fn crash(&self) {
        self.state.crash(None);
    }

    /// Makes the engine cold without a crash.
    pub fn make_cold(&self) {
        self.state.make_cold();
    }

    /// Returns the present faults.
    #[must_use]
    pub fn faults(&self) -> EngineFaults {
        self.state.lock().faults.clone()
    }

    /// Replaces the faults.
    ///
    /// # Errors
    ///
    /// Fails if a setting is out of range.
    pub fn set_faults(&self, faults: EngineFaults) -> Result<()> {
        faults.check()?;
        self.state.set_faults(faults, None);
        Ok(())
    }

    /// Returns what the engine has run.
    #[must_use]
    pub fn runs(&self) -> RunCounts {
        self.state.lock().runs.clone()
    }

    /// Returns the present load, without the lag of `/load`.
    #[must_use]
    pub fn report(&self) -> EngineReport {
        self.state.lock().report
    }

    /// Returns the loaded models.
    #[must_use]
    pub fn models(&self) -> Vec<LoadedModel> {
        self.state.lock().models.clone()
    }

    /// Returns the orders that were applied, in order.
    #[must_use]
    pub fn orders(&self) -> Vec<EngineOrder> {
        self.state.lock().orders.clone()
    }
}

async fn handle(state: Arc<State>, call: Call) -> Result<Reply, Broken> {
    let ok = StatusCode::OK;
    let reply = match (&call.method, &*call.path) {
        (&Method::POST, "/v1/chat/completions") => chat(&state, call).await?,
        (&Method::POST, "/admin/faults") => faults(&state, &call),
        (&Method::GET, "/admin/faults") => answer(ok, &state.lock().faults),
        // Only the administration is reached on a connection that outlived a crash.
        _ if !state.lock().up => return Err(Broken),
        (&Method::GET, "/v1/models") => models(&state),
        (&Method::GET, "/health") => answer(ok, &json!({ "status": "ok" })),
        (&Method::GET, "/load") => answer(ok, &state.lock().load.get(Instant::now())),
        (&Method::GET, "/cache-events") => cache_events(&state, &call),
        (&Method::POST, "/orders") => order(&state, &call),
        (&Method::GET, "/orders") => answer(ok, &state.lock().orders),
        (&Method::GET, "/runs") => answer(ok, &state.lock().runs),
        _ => failure(StatusCode::NOT_FOUND, "no such endpoint"),
    };
    Ok(reply)
}

async fn chat(state: &Arc<State>, call: Call) -> Result<Reply, Broken> {
    let request: ChatRequest = match call.json() {
        Ok(request) => request,
        Err(reply) => return Ok(reply),
    };
    let resume = call.header("x-resume-offset").map(str::parse).transpose();
    let Some(resume) = resume
        .ok()
        .filter(|offset| offset.unwrap_or(0) <= request.max_tokens)
    else {
        let message = "x-resume-offset is not a number up to max_tokens";
        return Ok(failure(StatusCode::BAD_REQUEST, message));
    };
    let admitted = match state.admit(&request, call.header("ebonylug-attempt"), resume) {
        Decision::Run(admitted) => admitted,
        Decision::Fail => {
            let message = "the engine fails as its settings demand";
            return Ok(failure(StatusCode::INTERNAL_SERVER_ERROR, message));
        }
        Decision::Crash => {
            state.crash(None);
            return Err(Broken);
        }
        Decision::Down => return Err(Broken),
        Decision::NoModel => {
            return Ok(failure(StatusCode::NOT_FOUND, "the model is not loaded"));
        }
    };
    let offset = resume.unwrap_or(0);
    let version = admitted.model.version.clone();
    let conn = call.conn.clone();
    let mut generation = Generation::new(state.clone(), conn.clone(), admitted, &request, offset);
    let mut reply = if request.stream {
        streamed(conn, generation.events())
    } else {
        let text = generation.text().await?;
        answer(StatusCode::OK, &generation.whole(&text))
    };
    name(&mut reply, "x-engine", &state.settings.name);
    name(&mut reply, "x-version", &version);
    Ok(reply)
}

fn faults(state: &Arc<State>, call: &Call) -> Reply {
    let faults = match call.json::<EngineFaults>() {
        Ok(faults) => faults,
        Err(reply) => return reply,
    };
    if let Err(error) = faults.check() {
        return failure(StatusCode::BAD_REQUEST, &error.to_string());
    }
    state.set_faults(faults, Some(call.conn.peer));
    answer(StatusCode::OK, &state.lock().faults)
}

fn models(state: &State) -> Reply {
    let inner = state.lock();
    let models = json!({ "object": "list", "data": inner.models, "role": inner.role });
    answer(StatusCode::OK, &models)
}

fn cache_events(state: &State, call: &Call) -> Reply {
    let Ok(since) = call.query("since").unwrap_or("0").parse() else {
        return failure(StatusCode::BAD_REQUEST, "`since` is not a number");
    };
    let inner = state.lock();
    let events = inner.cache.events(Instant::now(), since);
    let next = events.last().map_or(since, |event| event.sequence);
    let body = json!({ "epoch": inner.report.epoch, "events": events, "next": next });
    answer(StatusCode::OK, &body)
}

fn order(state: &Arc<State>, call: &Call) -> Reply {
    let order: EngineOrder = match call.json() {
        Ok(order) => order,
        Err(reply) => return reply,
    };
    match state.order(order) {
        Ok(()) => answer(StatusCode::ACCEPTED, &json!({ "applied": true })),
        Err(fence) => {
            let body = json!({ "applied": false, "fence": fence });
            answer(StatusCode::CONFLICT, &body)
        }
    }
}

fn name(reply: &mut Reply, header: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        reply.headers_mut().insert(header, value);
    }
}
