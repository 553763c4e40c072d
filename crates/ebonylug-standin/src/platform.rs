use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use ebonylug_platform::{
    Error as PlatformError, InstanceList, InstanceRow, MemoryPlatform, ObjectHash, ObjectStore,
    Table,
};
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use xitca_web::body::ResponseBody;

use crate::server::{
    Aborted, Request, Response, Server, bind, body_response, error_response, json_response,
};
use crate::{Result, loopback_addr};

/// Settings of a fake platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// The address to listen on. Port 0 selects a free port.
    pub listen: SocketAddr,
    /// The bearer token that all requests except those below `/admin` must carry.
    pub token: Option<Box<str>>,
    /// The instance list at start.
    pub instances: Vec<InstanceRow>,
    /// Delay before a replaced instance list takes effect, in milliseconds.
    pub list_lag: u64,
    /// The faults at start.
    pub faults: PlatformFaults,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        PlatformSettings {
            listen: loopback_addr(),
            token: None,
            instances: Vec::new(),
            list_lag: 0,
            faults: PlatformFaults::default(),
        }
    }
}

/// Faults that the platform injects. The default is none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether all requests are rejected with 503.
    pub down: bool,
    /// Whether requests hang: they are neither applied nor answered, and their connections stay
    /// open. Requests that arrive after this is unset are handled again.
    #[serde(rename = "silent")]
    pub hang: bool,
    /// Delay before each request is applied, in milliseconds.
    #[serde(rename = "slow")]
    pub delay_ms: u64,
    /// Number of upcoming writes that are applied, but whose connection is aborted before the
    /// response.
    #[serde(rename = "lose_replies")]
    pub drop_responses: u32,
    /// Number of upcoming writes that are not applied and whose connection is aborted.
    #[serde(rename = "lose_calls")]
    pub drop_requests: u32,
    /// Maximum number of requests per second. Excess requests are rejected with 429.
    #[serde(rename = "rate")]
    pub rate_limit: Option<u32>,
}

/// A fake of the platform's services on a real socket. Dropping it stops the server.
///
/// | endpoint | effect |
/// | --- | --- |
/// | `POST /table/transact` | applies a transaction; 409 with `{"key"}` if a condition fails |
/// | `GET /table/rows?key=` | a list with the row, or an empty list |
/// | `GET /table/rows?prefix=&limit=` | rows ordered by key |
/// | `PUT /objects`, `PUT /objects/{hash}` | stores an object; responds with `{"hash"}` |
/// | `GET /objects/{hash}` | the object, or 404 |
/// | `GET /instances` | the instance list |
/// | `GET`, `POST /admin/faults` | reads or replaces [`PlatformFaults`] |
/// | `PUT /admin/instances` | replaces the instance list |
/// | `GET /admin/traffic` | counts of answered reads and writes |
pub struct Platform {
    /// The bound address.
    pub addr: SocketAddr,
    state: Arc<State>,
    _server: Server,
}

impl Platform {
    /// Starts the platform.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn start(settings: PlatformSettings) -> Result<Platform> {
        let memory = MemoryPlatform::new();
        memory.set_instances(settings.instances.clone());
        let state = Arc::new(State {
            memory,
            token: settings.token,
            lag: Duration::from_millis(settings.list_lag),
            inner: Mutex::new(Inner {
                faults: settings.faults,
                pending: Vec::new(),
                rate_budget: None,
            }),
        });
        let handler_state = state.clone();
        let server = Server::start(bind(settings.listen)?, move |request| {
            let state = handler_state.clone();
            async move { state.handle(request).await }
        })?;
        Ok(Platform {
            addr: server.addr(),
            state,
            _server: server,
        })
    }

    /// Stops the platform and releases its port.
    pub fn stop(self) {}

    /// Returns the underlying store, for access without the injected faults.
    #[must_use]
    pub fn memory(&self) -> &MemoryPlatform {
        &self.state.memory
    }

    /// Returns the current faults.
    #[must_use]
    pub fn faults(&self) -> PlatformFaults {
        self.state.lock().faults.clone()
    }

    /// Replaces the faults. Requests that already hang keep hanging.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.lock().faults = faults;
    }

    /// Replaces the instance list. The new list takes effect after `list_lag`.
    pub fn set_instances(&self, instances: Vec<InstanceRow>) {
        self.state.set_instances(instances);
    }
}

struct State {
    memory: MemoryPlatform,
    token: Option<Box<str>>,
    lag: Duration,
    inner: Mutex<Inner>,
}

struct Inner {
    faults: PlatformFaults,
    /// Instance lists that have not taken effect yet, with the times when they do.
    pending: Vec<(Instant, Vec<InstanceRow>)>,
    /// The token bucket of the rate limit: the remaining requests, and when they were computed.
    rate_budget: Option<(f64, Instant)>,
}

/// Which message of a write is lost.
#[derive(Clone, Copy, PartialEq)]
enum Loss {
    None,
    Response,
    Request,
}

impl State {
    async fn handle(&self, request: Request) -> Result<Response, Aborted> {
        let path = request.path.clone();
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        if let ["admin", rest @ ..] = &*segments {
            return Ok(self.admin(&request, rest));
        }
        if let Some(response) = self.apply_faults(&request).await {
            return Ok(response);
        }
        let write = matches!(request.method, Method::POST | Method::PUT);
        let loss = if write { self.next_loss() } else { Loss::None };
        if loss == Loss::Request {
            return Err(Aborted);
        }
        let result = self.apply(&request, &segments).await;
        if loss == Loss::Response {
            return Err(Aborted);
        }
        result
    }

    /// Applies the faults that affect all requests, and checks the token. Returns the error
    /// response if the request is rejected.
    async fn apply_faults(&self, request: &Request) -> Option<Response> {
        let faults = self.lock().faults.clone();
        if faults.hang {
            std::future::pending::<()>().await;
        }
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.down {
            return Some(error_response(StatusCode::SERVICE_UNAVAILABLE, "down"));
        }
        if !self.lock().allow_request() {
            return Some(error_response(StatusCode::TOO_MANY_REQUESTS, "rate limit"));
        }
        let token = self.token.as_ref().map(|token| format!("Bearer {token}"));
        if token.is_some() && request.header("authorization") != token.as_deref() {
            return Some(error_response(StatusCode::UNAUTHORIZED, "wrong token"));
        }
        None
    }

    /// Consumes one injected loss of a write. Lost requests come before lost responses.
    fn next_loss(&self) -> Loss {
        let faults = &mut self.lock().faults;
        if faults.drop_requests > 0 {
            faults.drop_requests -= 1;
            return Loss::Request;
        }
        if faults.drop_responses > 0 {
            faults.drop_responses -= 1;
            return Loss::Response;
        }
        Loss::None
    }

    async fn apply(&self, request: &Request, segments: &[&str]) -> Result<Response, Aborted> {
        let result = match (&request.method, segments) {
            (&Method::POST, ["table", "transact"]) => match request.json() {
                Ok(transaction) => self
                    .memory
                    .transact(transaction)
                    .await
                    .map(|c| ok_response(&c)),
                Err(response) => return Ok(response),
            },
            (&Method::GET, ["table", "rows"]) => self.get_rows(request).await,
            (&Method::PUT, ["objects", hash @ ..]) => self.put_object(request, hash).await,
            (&Method::GET, ["objects", hash]) => self.fetch_object(hash).await,
            (&Method::GET, ["instances"]) => {
                self.apply_due_lists();
                self.memory.instances().await.map(|rows| ok_response(&rows))
            }
            _ => Err(PlatformError::NotFound),
        };
        match result {
            Ok(response) => Ok(response),
            Err(PlatformError::Unknown) => Err(Aborted),
            Err(error) => Ok(platform_error_response(&error)),
        }
    }

    async fn get_rows(&self, request: &Request) -> ebonylug_platform::Result<Response> {
        if let Some(key) = request.query("key") {
            let row = self.memory.get(key).await?;
            return Ok(ok_response(&row.as_slice()));
        }
        let limit = request.query("limit").unwrap_or("1000").parse();
        let limit = limit.map_err(|_| PlatformError::Invalid("`limit` is not a number".into()))?;
        let prefix = request.query("prefix").unwrap_or_default();
        Ok(ok_response(&self.memory.scan(prefix, limit).await?))
    }

    async fn put_object(
        &self,
        request: &Request,
        hash: &[&str],
    ) -> ebonylug_platform::Result<Response> {
        let own = ObjectHash::of(&request.body);
        if let [hash] = hash
            && hash.parse::<ObjectHash>()? != own
        {
            return Err(PlatformError::Invalid(
                "the body does not match the hash".into(),
            ));
        }
        self.memory.put(request.body.clone()).await?;
        Ok(ok_response(&serde_json::json!({ "hash": own })))
    }

    async fn fetch_object(&self, hash: &str) -> ebonylug_platform::Result<Response> {
        let body = self.memory.fetch(hash.parse()?).await?;
        let body = ResponseBody::bytes(body);
        Ok(body_response(
            StatusCode::OK,
            "application/octet-stream",
            body,
        ))
    }

    fn admin(&self, request: &Request, rest: &[&str]) -> Response {
        match (&request.method, rest) {
            (&Method::GET, ["faults"]) => ok_response(&self.lock().faults),
            (&Method::POST, ["faults"]) => match request.json::<PlatformFaults>() {
                Ok(faults) => {
                    self.lock().faults = faults.clone();
                    ok_response(&faults)
                }
                Err(response) => response,
            },
            (&Method::PUT, ["instances"]) => match request.json::<Vec<InstanceRow>>() {
                Ok(rows) => {
                    let response = ok_response(&rows);
                    self.set_instances(rows);
                    response
                }
                Err(response) => response,
            },
            (&Method::GET, ["traffic"]) => {
                let counts = self.memory.call_counts();
                ok_response(&serde_json::json!({ "writes": counts.writes, "reads": counts.reads }))
            }
            _ => error_response(StatusCode::NOT_FOUND, "no such endpoint"),
        }
    }

    fn set_instances(&self, instances: Vec<InstanceRow>) {
        let due = Instant::now() + self.lag;
        self.lock().pending.push((due, instances));
        self.apply_due_lists();
    }

    /// Applies the latest instance list whose delay has passed.
    fn apply_due_lists(&self) {
        let now = Instant::now();
        let pending = &mut self.lock().pending;
        let due = pending.iter().take_while(|(due, _)| *due <= now).count();
        if let Some((_, instances)) = pending.drain(..due).next_back() {
            self.memory.set_instances(instances);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("platform lock poisoned")
    }
}

impl Inner {
    /// Takes one request from the token bucket of the rate limit, whose capacity is the rate of one
    /// second. Returns whether the request is allowed.
    fn allow_request(&mut self) -> bool {
        let Some(rate) = self.faults.rate_limit else {
            self.rate_budget = None;
            return true;
        };
        let (now, rate) = (Instant::now(), f64::from(rate));
        let (left, since) = self.rate_budget.unwrap_or((rate, now));
        let left = (left + (now - since).as_secs_f64() * rate).min(rate);
        let allowed = left >= 1.0;
        let spent = if allowed { 1.0 } else { 0.0 };
        self.rate_budget = Some((left - spent, now));
        allowed
    }
}

fn ok_response<T: Serialize + ?Sized>(value: &T) -> Response {
    json_response(StatusCode::OK, value)
}

fn platform_error_response(error: &PlatformError) -> Response {
    match error {
        PlatformError::Conflict { key } => {
            json_response(StatusCode::CONFLICT, &serde_json::json!({ "key": key }))
        }
        PlatformError::NotFound => error_response(StatusCode::NOT_FOUND, "not found"),
        PlatformError::Throttled => error_response(StatusCode::TOO_MANY_REQUESTS, "rate limit"),
        PlatformError::Unavailable => error_response(StatusCode::SERVICE_UNAVAILABLE, "down"),
        error => error_response(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}
