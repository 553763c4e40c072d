use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use ebonylug_core::{EngineReport, Fingerprint};
use http::{HeaderName, HeaderValue, Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use xitca_web::body::ResponseBody;

use crate::engine::validate;
use crate::lag::Lagged;
use crate::net::Sockets;
use crate::runs::{RunCounts, count};
use crate::server::{
    Aborted, Request, Response, Server, bind, body_response, error_response, json_response,
};
use crate::{Result, loopback_addr};

/// Settings of a fake plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// The address to listen on. Port 0 selects a free port.
    pub listen: SocketAddr,
    /// Processing time of a request, in milliseconds.
    pub latency: u64,
    /// Delay of the load that `/load` reports, in milliseconds.
    pub load_lag: u64,
    /// Time between a crash and the restart, in milliseconds.
    #[serde(rename = "down")]
    pub down_time: u64,
    /// Canned responses by path, which replace the echo.
    #[serde(rename = "answers")]
    pub responses: BTreeMap<Box<str>, CannedResponse>,
    /// The faults at start.
    pub faults: ServiceFaults,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        ServiceSettings {
            listen: loopback_addr(),
            latency: 0,
            load_lag: 0,
            down_time: 1000,
            responses: BTreeMap::new(),
            faults: ServiceFaults::default(),
        }
    }
}

/// A fixed response that does not depend on the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CannedResponse {
    /// The HTTP status, from 100 to 999.
    pub status: u16,
    /// The headers by name. Invalid ones are not sent.
    pub headers: BTreeMap<Box<str>, Box<str>>,
    /// The body, sent as `application/json` unless a header says otherwise.
    pub body: Box<str>,
}

impl Default for CannedResponse {
    fn default() -> Self {
        CannedResponse {
            status: 200,
            headers: BTreeMap::new(),
            body: "".into(),
        }
    }
}

/// Faults that a plain service injects. The default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Additional processing time of each request, in milliseconds.
    #[serde(rename = "slow")]
    pub delay_ms: u64,
    /// Number of upcoming requests that are answered with 500 and not applied.
    #[serde(rename = "fail")]
    pub fail_next: u32,
    /// Whether the next request crashes the service before it is applied.
    pub crash_before: bool,
    /// Whether the next request crashes the service after it is applied and before the response.
    pub crash_after: bool,
    /// Whether requests hang before they are applied. Their connections stay open.
    #[serde(rename = "silent")]
    pub hang: bool,
    /// Whether requests are applied, but hang before the response. Their connections stay open.
    #[serde(rename = "silent_after")]
    pub hang_after: bool,
}

/// A fake plain service on a real socket. Dropping it stops the server.
///
/// It applies every request that it receives and does not deduplicate, so that tests can detect
/// duplicates.
///
/// | endpoint | effect |
/// | --- | --- |
/// | `POST /orders`, `/charges`, `/snoozes` | stores the JSON body; 201 with its `id` |
/// | `GET /orders/{id}`, `/charges/{id}`, `/snoozes/{id}` | the stored body, or 404 |
/// | `GET /load` | the [`EngineReport`], delayed by `load_lag` |
/// | `GET /runs` | [`RunCounts`] |
/// | `GET /health` | 200 |
/// | `GET`, `POST /admin/faults` | reads or replaces [`ServiceFaults`] |
/// | any other path | a canned response, or an echo of the body and of all `x-` headers, with the status of the query parameter `status` |
pub struct Service {
    /// The bound address.
    pub addr: SocketAddr,
    state: Arc<State>,
    _server: Server,
}

impl Service {
    /// Starts the service.
    ///
    /// # Errors
    ///
    /// Fails if a setting is out of range or the address cannot be bound.
    pub fn start(settings: ServiceSettings) -> Result<Service> {
        let valid = |canned: &CannedResponse| StatusCode::from_u16(canned.status).is_ok();
        let statuses = settings.responses.values().all(valid);
        validate("answers.status", statuses, "must be from 100 to 999")?;
        let sockets = bind(settings.listen)?;
        let state = Arc::new(State::new(settings, sockets.clone()));
        let handler_state = state.clone();
        let server = Server::start(sockets, move |request| {
            let state = handler_state.clone();
            async move { state.handle(request).await }
        })?;
        Ok(Service {
            addr: server.addr(),
            state,
            _server: server,
        })
    }

    /// Stops the service and releases its port.
    pub fn stop(self) {}

    /// Simulates a crash: aborts all connections, and restarts the service after `down_time`.
    pub fn crash(&self) {
        self.state.crash();
    }

    /// Returns the current faults.
    #[must_use]
    pub fn faults(&self) -> ServiceFaults {
        self.state.lock().faults.clone()
    }

    /// Replaces the faults. Requests that already hang keep hanging.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.state.lock().faults = faults;
    }

    /// Returns the counts of requests that the service has run.
    #[must_use]
    pub fn runs(&self) -> RunCounts {
        self.state.lock().runs.clone()
    }
}

struct State {
    settings: ServiceSettings,
    sockets: Arc<Sockets>,
    inner: Mutex<Inner>,
}

struct Inner {
    faults: ServiceFaults,
    runs: RunCounts,
    /// The stored bodies by item path.
    stored: BTreeMap<Box<str>, Bytes>,
    report: EngineReport,
    load: Lagged<EngineReport>,
    up: bool,
}

impl State {
    fn new(settings: ServiceSettings, sockets: Arc<Sockets>) -> Self {
        let report = EngineReport {
            epoch: 1,
            ..EngineReport::default()
        };
        let lag = Duration::from_millis(settings.load_lag);
        State {
            inner: Mutex::new(Inner {
                faults: settings.faults.clone(),
                runs: RunCounts::default(),
                stored: BTreeMap::new(),
                report,
                load: Lagged::new(lag, Instant::now(), report),
                up: true,
            }),
            settings,
            sockets,
        }
    }

    async fn handle(self: &Arc<State>, request: Request) -> Result<Response, Aborted> {
        let ok = StatusCode::OK;
        match (&request.method, &*request.path) {
            (&Method::GET, "/admin/faults") => Ok(json_response(ok, &self.lock().faults)),
            (&Method::POST, "/admin/faults") => Ok(self.set_faults(&request)),
            (&Method::GET, "/runs") => Ok(json_response(ok, &self.lock().runs)),
            _ if self.lock().faults.hang => std::future::pending().await,
            (&Method::GET, "/health") => Ok(json_response(ok, &json!({ "status": "ok" }))),
            (&Method::GET, "/load") => Ok(json_response(ok, &self.lock().load.get(Instant::now()))),
            _ => self.run(&request).await,
        }
    }

    /// Runs a request with the injected faults.
    async fn run(self: &Arc<State>, request: &Request) -> Result<Response, Aborted> {
        let guard = RunGuard::start(self);
        let faults = self.lock().faults.clone();
        let time = Duration::from_millis(self.settings.latency + faults.delay_ms);
        tokio::time::sleep(time).await;
        if self.take_fault(|faults| std::mem::take(&mut faults.crash_before)) {
            guard.fail();
            self.crash();
            return Err(Aborted);
        }
        let fails = self.take_fault(|faults| {
            let fails = faults.fail_next > 0;
            faults.fail_next -= u32::from(fails);
            fails
        });
        if fails {
            guard.fail();
            let message = "the service fails as its settings demand";
            return Ok(error_response(StatusCode::INTERNAL_SERVER_ERROR, message));
        }
        let response = self.apply(request);
        guard.finish();
        if self.take_fault(|faults| std::mem::take(&mut faults.crash_after)) {
            self.crash();
            return Err(Aborted);
        }
        if faults.hang_after {
            return std::future::pending().await;
        }
        Ok(response)
    }

    /// Counts the run, and applies the effect of the request.
    fn apply(&self, request: &Request) -> Response {
        let mut inner = self.lock();
        if request.method != Method::GET {
            if let Some(key) = request.header("idempotency-key") {
                count(&mut inner.runs.keys, key);
            }
            let body = Fingerprint::of(&request.body).to_string();
            count(&mut inner.runs.bodies, &body);
        }
        inner
            .runs
            .record_attempt(request.header("ebonylug-attempt"), false);
        match (&request.method, &*request.path) {
            (&Method::POST, "/orders" | "/charges" | "/snoozes") => inner.store_item(request),
            (&Method::GET, path) if is_item_path(path) => inner.stored_item(path),
            _ => self.echo(request),
        }
    }

    fn echo(&self, request: &Request) -> Response {
        if let Some(canned) = self.settings.responses.get(&request.path) {
            return canned.to_response();
        }
        let status = request
            .query("status")
            .and_then(|status| status.parse().ok());
        let body = ResponseBody::bytes(request.body.clone());
        let mut echo = body_response(status.unwrap_or(StatusCode::OK), "application/json", body);
        let is_echoed =
            |name: &HeaderName| name.as_str().starts_with("x-") || name == "content-type";
        for (name, value) in request.headers.iter().filter(|(name, _)| is_echoed(name)) {
            echo.headers_mut().insert(name, value.clone());
        }
        echo
    }

    fn set_faults(&self, request: &Request) -> Response {
        match request.json::<ServiceFaults>() {
            Ok(faults) => {
                self.lock().faults = faults.clone();
                json_response(StatusCode::OK, &faults)
            }
            Err(response) => response,
        }
    }

    fn crash(self: &Arc<State>) {
        {
            let mut inner = self.lock();
            if !std::mem::replace(&mut inner.up, false) {
                return;
            }
            inner.runs.crashes += 1;
        }
        self.sockets.close(None);
        let state = self.clone();
        self.sockets.spawn(async move {
            tokio::time::sleep(Duration::from_millis(state.settings.down_time)).await;
            state.restart();
        });
    }

    fn restart(&self) {
        {
            let mut inner = self.lock();
            inner.up = true;
            inner.report.epoch += 1;
            let report = inner.report;
            inner.load.reset(Instant::now(), report);
        }
        if let Err(error) = self.sockets.open() {
            tracing::warn!(
                "standin: cannot listen again on {}: {error}",
                self.sockets.addr
            );
        }
    }

    /// Consumes a one-time fault. Returns whether it was set.
    fn take_fault(&self, take: impl FnOnce(&mut ServiceFaults) -> bool) -> bool {
        take(&mut self.lock().faults)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("service lock poisoned")
    }
}

impl Inner {
    /// Records the current report for `/load`.
    fn record_report(&mut self) {
        self.load.push(Instant::now(), self.report);
    }

    fn store_item(&mut self, request: &Request) -> Response {
        if serde_json::from_slice::<serde_json::Value>(&request.body).is_err() {
            return error_response(StatusCode::BAD_REQUEST, "the body is not JSON");
        }
        let id = self.stored.len() + 1;
        let path = format!("{}/{id}", request.path);
        self.stored.insert(path.into(), request.body.clone());
        json_response(StatusCode::CREATED, &json!({ "id": id }))
    }

    fn stored_item(&self, path: &str) -> Response {
        match self.stored.get(path) {
            Some(body) => {
                let body = ResponseBody::bytes(body.clone());
                body_response(StatusCode::OK, "application/json", body)
            }
            None => error_response(StatusCode::NOT_FOUND, "not found"),
        }
    }
}

impl CannedResponse {
    fn to_response(&self) -> Response {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::OK);
        let body = ResponseBody::bytes(Bytes::from(self.body.to_string()));
        let mut canned = body_response(status, "application/json", body);
        for (name, value) in &self.headers {
            let name = HeaderName::try_from(&**name);
            let value = HeaderValue::from_str(value);
            if let (Ok(name), Ok(value)) = (name, value) {
                canned.headers_mut().insert(name, value);
            }
        }
        canned
    }
}

/// Counts a running request. Dropping it before `finish` or `fail` counts the request as
/// cancelled.
struct RunGuard<'a> {
    state: &'a State,
    ended: bool,
}

impl<'a> RunGuard<'a> {
    fn start(state: &'a State) -> Self {
        let mut inner = state.lock();
        inner.runs.total += 1;
        inner.report.running += 1;
        inner.runs.peak = inner.runs.peak.max(inner.report.running);
        inner.record_report();
        RunGuard {
            state,
            ended: false,
        }
    }

    fn finish(mut self) {
        self.ended = true;
        self.state.lock().runs.finished += 1;
    }

    fn fail(mut self) {
        self.ended = true;
        self.state.lock().runs.failed += 1;
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let mut inner = self.state.lock();
        inner.report.running -= 1;
        inner.runs.cancelled += u64::from(!self.ended);
        inner.record_report();
    }
}

fn is_item_path(path: &str) -> bool {
    ["/orders/", "/charges/", "/snoozes/"]
        .iter()
        .any(|prefix| path.starts_with(prefix))
}
