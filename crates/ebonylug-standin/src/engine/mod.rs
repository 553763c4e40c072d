//! The fake model engine.

mod cache;
mod chat;
mod generation;
mod settings;
mod state;

pub use cache::{CacheChange, CacheEvent, block_hashes};
pub use chat::{ChatRequest, Message};
pub(crate) use settings::validate;
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
use crate::server::{
    Aborted, Request, Response, Server, bind, error_response, json_response, stream_response,
};
use crate::{Result, RunCounts};

/// A fake model engine on a real socket. Dropping it stops the server.
///
/// | endpoint | effect |
/// | --- | --- |
/// | `POST /v1/chat/completions` | runs a [`ChatRequest`], from output token `x-resume-offset` (header) on |
/// | `GET /v1/models` | the loaded models with their versions, and the role |
/// | `GET /health` | 200 |
/// | `GET /load` | the [`EngineReport`], delayed by `load_lag` |
/// | `GET /cache-events?since=` | [`CacheEvent`]s, delayed by `cache_lag` and with gaps |
/// | `POST /orders` | applies an [`EngineOrder`]; 409 if its fencing token is checked and stale |
/// | `GET /orders` | the applied orders |
/// | `GET /runs` | [`RunCounts`] |
/// | `GET`, `POST /admin/faults` | reads or replaces [`EngineFaults`] |
pub struct Engine {
    /// The bound address.
    pub addr: SocketAddr,
    state: Arc<State>,
    _server: Server,
}

impl Engine {
    /// Starts the engine.
    ///
    /// # Errors
    ///
    /// Fails if a setting is out of range or the address cannot be bound.
    pub fn start(settings: EngineSettings) -> Result<Engine> {
        settings.validate()?;
        let sockets = bind(settings.listen)?;
        let faults = settings.faults.clone();
        let crash = faults.crash;
        let state = Arc::new(State::new(settings, sockets.clone()));
        // The faults apply from the first connection. A crash needs the running server.
        state.set_faults(
            EngineFaults {
                crash: false,
                ..faults
            },
            None,
        );
        let handler_state = state.clone();
        let server = Server::start(sockets, move |request| {
            let state = handler_state.clone();
            async move { handle(state, request).await }
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

    /// Stops the engine and releases its port.
    pub fn stop(self) {}

    /// Simulates a crash: aborts all connections, and restarts the engine after `down_time`.
    pub fn crash(&self) {
        self.state.crash(None);
    }

    /// Begins a cold start without a crash, and clears the prefix cache.
    pub fn make_cold(&self) {
        self.state.make_cold();
    }

    /// Returns the current faults.
    #[must_use]
    pub fn faults(&self) -> EngineFaults {
        self.state.lock().faults.clone()
    }

    /// Replaces the faults.
    ///
    /// # Errors
    ///
    /// Fails if a value is out of range.
    pub fn set_faults(&self, faults: EngineFaults) -> Result<()> {
        faults.validate()?;
        self.state.set_faults(faults, None);
        Ok(())
    }

    /// Returns the counts of requests that the engine has run.
    #[must_use]
    pub fn runs(&self) -> RunCounts {
        self.state.lock().runs.clone()
    }

    /// Returns the current load, without the delay of `/load`.
    #[must_use]
    pub fn report(&self) -> EngineReport {
        self.state.lock().report
    }

    /// Returns the loaded models with their versions.
    #[must_use]
    pub fn models(&self) -> Vec<LoadedModel> {
        self.state.lock().models.clone()
    }

    /// Returns the applied orders in order of arrival.
    #[must_use]
    pub fn orders(&self) -> Vec<EngineOrder> {
        self.state.lock().orders.clone()
    }
}

async fn handle(state: Arc<State>, request: Request) -> Result<Response, Aborted> {
    let ok = StatusCode::OK;
    let response = match (&request.method, &*request.path) {
        (&Method::POST, "/v1/chat/completions") => complete_chat(&state, request).await?,
        (&Method::POST, "/admin/faults") => replace_faults(&state, &request),
        (&Method::GET, "/admin/faults") => json_response(ok, &state.lock().faults),
        // The connection of an admin request that causes a crash stays open. Only the admin
        // endpoints work on it until the restart.
        _ if !state.lock().up => return Err(Aborted),
        (&Method::GET, "/v1/models") => list_models(&state),
        (&Method::GET, "/health") => json_response(ok, &json!({ "status": "ok" })),
        (&Method::GET, "/load") => json_response(ok, &state.lock().load.get(Instant::now())),
        (&Method::GET, "/cache-events") => cache_events(&state, &request),
        (&Method::POST, "/orders") => apply_order(&state, &request),
        (&Method::GET, "/orders") => json_response(ok, &state.lock().orders),
        (&Method::GET, "/runs") => json_response(ok, &state.lock().runs),
        _ => error_response(StatusCode::NOT_FOUND, "no such endpoint"),
    };
    Ok(response)
}

async fn complete_chat(state: &Arc<State>, request: Request) -> Result<Response, Aborted> {
    let chat: ChatRequest = match request.json() {
        Ok(chat) => chat,
        Err(response) => return Ok(response),
    };
    let resume = request
        .header("x-resume-offset")
        .map(str::parse)
        .transpose();
    let Some(resume) = resume
        .ok()
        .filter(|offset| offset.unwrap_or(0) <= chat.max_tokens)
    else {
        let message = "x-resume-offset is not a number up to max_tokens";
        return Ok(error_response(StatusCode::BAD_REQUEST, message));
    };
    let admitted = match state.admit(&chat, request.header("ebonylug-attempt"), resume) {
        Decision::Admit(admitted) => admitted,
        Decision::Fail => {
            let message = "the engine fails as its settings demand";
            return Ok(error_response(StatusCode::INTERNAL_SERVER_ERROR, message));
        }
        Decision::Crash => {
            state.crash(None);
            return Err(Aborted);
        }
        Decision::Down => return Err(Aborted),
        Decision::NoModel => {
            return Ok(error_response(
                StatusCode::NOT_FOUND,
                "the model is not loaded",
            ));
        }
    };
    let offset = resume.unwrap_or(0);
    let version = admitted.model.version.clone();
    let conn = request.conn.clone();
    let mut generation = Generation::new(state.clone(), conn.clone(), admitted, &chat, offset);
    let mut response = if chat.stream {
        stream_response(conn, generation.into_events())
    } else {
        let text = generation.collect_text().await?;
        json_response(StatusCode::OK, &generation.completion_body(&text))
    };
    set_header(&mut response, "x-engine", &state.settings.name);
    set_header(&mut response, "x-version", &version);
    Ok(response)
}

fn replace_faults(state: &Arc<State>, request: &Request) -> Response {
    let faults = match request.json::<EngineFaults>() {
        Ok(faults) => faults,
        Err(response) => return response,
    };
    if let Err(error) = faults.validate() {
        return error_response(StatusCode::BAD_REQUEST, &error.to_string());
    }
    state.set_faults(faults, Some(request.conn.peer));
    json_response(StatusCode::OK, &state.lock().faults)
}

fn list_models(state: &State) -> Response {
    let inner = state.lock();
    let models = json!({ "object": "list", "data": inner.models, "role": inner.role });
    json_response(StatusCode::OK, &models)
}

fn cache_events(state: &State, request: &Request) -> Response {
    let Ok(since) = request.query("since").unwrap_or("0").parse() else {
        return error_response(StatusCode::BAD_REQUEST, "`since` is not a number");
    };
    let inner = state.lock();
    let events = inner.cache.events(Instant::now(), since);
    let next = events.last().map_or(since, |event| event.sequence);
    let body = json!({ "epoch": inner.report.epoch, "events": events, "next": next });
    json_response(StatusCode::OK, &body)
}

fn apply_order(state: &Arc<State>, request: &Request) -> Response {
    let order: EngineOrder = match request.json() {
        Ok(order) => order,
        Err(response) => return response,
    };
    match state.apply_order(order) {
        Ok(()) => json_response(StatusCode::ACCEPTED, &json!({ "applied": true })),
        Err(fence) => {
            let body = json!({ "applied": false, "fence": fence });
            json_response(StatusCode::CONFLICT, &body)
        }
    }
}

fn set_header(response: &mut Response, header: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(header, value);
    }
}
