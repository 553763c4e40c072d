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

use crate::engine::check;
use crate::lag::Lagged;
use crate::net::Net;
use crate::runs::{RunCounts, count};
use crate::server::{Broken, Call, Reply, Server, bind, failure, json as answer, reply};
use crate::{Result, loopback};

/// How a fake of a plain service starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// The address to listen on; port 0 chooses a free port.
    pub listen: SocketAddr,
    /// Time of a call, in milliseconds.
    pub latency: u64,
    /// How long `/load` lags behind, in milliseconds.
    pub load_lag: u64,
    /// How long the service is down after a crash, in milliseconds.
    #[serde(rename = "down")]
    pub down_time: u64,
    /// Answers by path, in place of the echo.
    #[serde(rename = "answers")]
    pub responses: BTreeMap<Box<str>, CannedResponse>,
    /// The faults at the start.
    pub faults: ServiceFaults,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        ServiceSettings {
            listen: loopback(),
            latency: 0,
            load_lag: 0,
            down_time: 1000,
            responses: BTreeMap::new(),
            faults: ServiceFaults::default(),
        }
    }
}

/// An answer that does not depend on the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CannedResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: BTreeMap<Box<str>, Box<str>>,
    /// The body.
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

/// What goes wrong at a plain service. The default is nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Additional time of each call, in milliseconds.
    #[serde(rename = "slow")]
    pub delay_ms: u64,
    /// So many of the next calls are answered with 500 and not applied.
    #[serde(rename = "fail")]
    pub fail_next: u32,
    /// The next call crashes the service before it is applied.
    pub crash_before: bool,
    /// The next call crashes the service after it is applied and before it is answered.
    pub crash_after: bool,
    /// Calls are not applied or answered any more; the connections stay open.
    #[serde(rename = "silent")]
    pub hang: bool,
    /// Calls are applied and not answered; the connections stay open.
    #[serde(rename = "silent_after")]
    pub hang_after: bool,
}

/// A fake of a plain service, on a real socket. Dropping it stops it.
///
/// It applies a call as often as it gets it, so that a duplicate shows.
///
/// | endpoint | effect |
/// | --- | --- |
/// | `POST /orders`, `/charges`, `/snoozes` | stores the JSON body; 201 with its `id` |
/// | `GET /orders/{id}`, `/charges/{id}`, `/snoozes/{id}` | the stored body, or 404 |
/// | `GET /load` | the [`EngineReport`] of some time ago |
/// | `GET /runs` | [`RunCounts`] |
/// | `GET /health` | 200 |
/// | `GET`, `POST /admin/faults` | reads or replaces [`ServiceFaults`] |
/// | any other path | a canned answer, or an echo of the body and of all `x-` headers, with the status of the query parameter `status` |
pub struct Service {
    /// The address that the fake listens on.
    pub addr: SocketAddr,
    state: Arc<State>,
    _server: Server,
}

impl Service {
    /// Starts a fake.
    ///
    /// # Errors
    ///
    /// Fails if a setting is out of range or the address cannot be listened on.
    pub fn start(settings: ServiceSettings) -> Result<Service> {
        let valid = |canned: &CannedResponse| StatusCode::from_u16(canned.status).is_ok();
        let statuses = settings.responses.values().all(valid);
        check("answers.status", statuses, "must be from 100 to 999")?;
        let net = bind(settings.listen)?;
        let state = Arc::new(State::new(settings, net.clone()));
        let served = state.clone();
        let server = Server::start(net, move |call| {
            let state = served.clone();
            async move { state.handle(call).await }
        })?;
        Ok(Service {
            addr: server.addr(),
            state,
            _server: server,
        })
    }

    /// Stops the fake. Its port is free afterwards.
    pub fn stop(self) {}

    /// Breaks all connections. The service starts again after the time down.
    pub fn crash(&self) {
        self.state.crash();
    }

    /// Returns the present faults.
    #[must_use]
    pub fn faults(&self) -> ServiceFaults {
        self.state.lock().faults.clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.state.lock().faults = faults;
    }

    /// Returns what the service has run.
    #[must_use]
    pub fn runs(&self) -> RunCounts {
        self.state.lock().runs.clone()
    }
}

struct State {
    settings: ServiceSettings,
    net: Arc<Net>,
    inner: Mutex<Inner>,
}

struct Inner {
    faults: ServiceFaults,
    runs: RunCounts,
    /// The stored bodies by path.
    stored: BTreeMap<Box<str>, Bytes>,
    report: EngineReport,
    load: Lagged<EngineReport>,
    up: bool,
}

impl State {
    fn new(settings: ServiceSettings, net: Arc<Net>) -> Self {
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
            net,
        }
    }

    async fn handle(self: &Arc<State>, call: Call) -> Result<Reply, Broken> {
        let ok = StatusCode::OK;
        match (&call.method, &*call.path) {
            (&Method::GET, "/admin/faults") => Ok(answer(ok, &self.lock().faults)),
            (&Method::POST, "/admin/faults") => Ok(self.set_faults(&call)),
            (&Method::GET, "/runs") => Ok(answer(ok, &self.lock().runs)),
            _ if self.lock().faults.hang => std::future::pending().await,
            (&Method::GET, "/health") => Ok(answer(ok, &json!({ "status": "ok" }))),
            (&Method::GET, "/load") => Ok(answer(ok, &self.lock().load.get(Instant::now()))),
            _ => self.run(&call).await,
        }
    }

    /// RunCounts a call with the faults around it.
    async fn run(self: &Arc<State>, call: &Call) -> Result<Reply, Broken> {
        let work = Work::start(self);
        let faults = self.lock().faults.clone();
        let time = Duration::from_millis(self.settings.latency + faults.delay_ms);
        tokio::time::sleep(time).await;
        if self.take(|faults| std::mem::take(&mut faults.crash_before)) {
            work.fail();
            self.crash();
            return Err(Broken);
        }
        let fails = self.take(|faults| {
            let fails = faults.fail_next > 0;
            faults.fail_next -= u32::from(fails);
            fails
        });
        if fails {
            work.fail();
            let message = "the service fails as its settings demand";
            return Ok(failure(StatusCode::INTERNAL_SERVER_ERROR, message));
        }
        let reply = self.apply(call);
        work.finish();
        if self.take(|faults| std::mem::take(&mut faults.crash_after)) {
            self.crash();
            return Err(Broken);
        }
        if faults.hang_after {
            return std::future::pending().await;
        }
        Ok(reply)
    }

    /// Counts the run, and changes what the call is to change.
    fn apply(&self, call: &Call) -> Reply {
        let mut inner = self.lock();
        if call.method != Method::GET {
            if let Some(key) = call.header("idempotency-key") {
                count(&mut inner.runs.keys, key);
            }
            let body = Fingerprint::of(&call.body).to_string();
            count(&mut inner.runs.bodies, &body);
        }
        inner.runs.attempt(call.header("ebonylug-attempt"), false);
        match (&call.method, &*call.path) {
            (&Method::POST, "/orders" | "/charges" | "/snoozes") => inner.store(call),
            (&Method::GET, path) if collection(path) => inner.stored(path),
            _ => self.echo(call),
        }
    }

    fn echo(&self, call: &Call) -> Reply {
        if let Some(canned) = self.settings.responses.get(&call.path) {
            return canned.reply();
        }
        let status = call.query("status").and_then(|status| status.parse().ok());
        let body = ResponseBody::bytes(call.body.clone());
        let mut echo = reply(status.unwrap_or(StatusCode::OK), "application/json", body);
        let passed = |name: &HeaderName| name.as_str().starts_with("x-") || name == "content-type";
        for (name, value) in call.headers.iter().filter(|(name, _)| passed(name)) {
            echo.headers_mut().insert(name, value.clone());
        }
        echo
    }

    fn set_faults(&self, call: &Call) -> Reply {
        match call.json::<ServiceFaults>() {
            Ok(faults) => {
                self.lock().faults = faults.clone();
                answer(StatusCode::OK, &faults)
            }
            Err(reply) => reply,
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
        self.net.close(None);
        let state = self.clone();
        self.net.spawn(async move {
            tokio::time::sleep(Duration::from_millis(state.settings.down_time)).await;
            state.start();
        });
    }

    fn start(&self) {
        {
            let mut inner = self.lock();
            inner.up = true;
            inner.report.epoch += 1;
            let report = inner.report;
            inner.load.reset(Instant::now(), report);
        }
        if let Err(error) = self.net.open() {
            tracing::warn!("standin: cannot listen again on {}: {error}", self.net.addr);
        }
    }

    fn take(&self, take: impl FnOnce(&mut ServiceFaults) -> bool) -> bool {
        take(&mut self.lock().faults)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("service lock poisoned")
    }
}

impl Inner {
    /// Records that the report has changed.
    fn changed(&mut self) {
        self.load.push(Instant::now(), self.report);
    }

    fn store(&mut self, call: &Call) -> Reply {
        if serde_json::from_slice::<serde_json::Value>(&call.body).is_err() {
            return failure(StatusCode::BAD_REQUEST, "the body is not JSON");
        }
        let id = self.stored.len() + 1;
        let path = format!("{}/{id}", call.path);
        self.stored.insert(path.into(), call.body.clone());
        answer(StatusCode::CREATED, &json!({ "id": id }))
    }

    fn stored(&self, path: &str) -> Reply {
        match self.stored.get(path) {
            Some(body) => {
                let body = ResponseBody::bytes(body.clone());
                reply(StatusCode::OK, "application/json", body)
            }
            None => failure(StatusCode::NOT_FOUND, "not found"),
        }
    }
}

impl CannedResponse {
    fn reply(&self) -> Reply {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::OK);
        let body = ResponseBody::bytes(Bytes::from(self.body.to_string()));
        let mut canned = reply(status, "application/json", body);
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

/// A call that runs. Dropping it before its end counts it as cancelled.
struct Work<'a> {
    state: &'a State,
    ended: bool,
}

impl<'a> Work<'a> {
    fn start(state: &'a State) -> Self {
        let mut inner = state.lock();
        inner.runs.total += 1;
        inner.report.running += 1;
        inner.runs.peak = inner.runs.peak.max(inner.report.running);
        inner.changed();
        Work {
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

impl Drop for Work<'_> {
    fn drop(&mut self) {
        let mut inner = self.state.lock();
        inner.report.running -= 1;
        inner.runs.cancelled += u64::from(!self.ended);
        inner.changed();
    }
}

fn collection(path: &str) -> bool {
    ["/orders/", "/charges/", "/snoozes/"]
        .iter()
        .any(|prefix| path.starts_with(prefix))
}
