use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use ebonylug_platform::{
    Error as Failure, InstanceList, InstanceRow, MemoryPlatform, ObjectHash, ObjectStore, Table,
};
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use xitca_web::body::ResponseBody;

use crate::server::{Broken, Call, Reply, Server, bind, failure, json, reply};
use crate::{Result, loopback};

/// How a fake of the platform starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// The address to listen on; port 0 chooses a free port.
    pub listen: SocketAddr,
    /// The bearer token that each call except `/admin` must carry.
    pub token: Option<Box<str>>,
    /// The instance list at the start.
    pub instances: Vec<InstanceRow>,
    /// How long the instance list lags behind, in milliseconds.
    pub list_lag: u64,
    /// The faults at the start.
    pub faults: PlatformFaults,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        PlatformSettings {
            listen: loopback(),
            token: None,
            instances: Vec::new(),
            list_lag: 0,
            faults: PlatformFaults::default(),
        }
    }
}

/// What goes wrong at the platform. The default is nothing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// All calls are answered with 503 and not applied.
    pub down: bool,
    /// No call is answered any more until this ends; the connections stay open. The calls are
    /// not applied.
    #[serde(rename = "silent")]
    pub hang: bool,
    /// Delay before each call is applied, in milliseconds.
    #[serde(rename = "slow")]
    pub delay_ms: u64,
    /// So many of the next writes are applied, and their connections break before the reply.
    #[serde(rename = "lose_replies")]
    pub drop_responses: u32,
    /// So many of the next writes are not applied, and their connections break.
    #[serde(rename = "lose_calls")]
    pub drop_requests: u32,
    /// Calls per second above which 429 is answered.
    #[serde(rename = "rate")]
    pub rate_limit: Option<u32>,
}

/// A fake of the platform's services, on a real socket. Dropping it stops it.
///
/// | endpoint | effect |
/// | --- | --- |
/// | `POST /table/transact` | applies a transaction; 409 with `{"key"}` if a condition fails |
/// | `GET /table/rows?key=` | the row in a list, or an empty list |
/// | `GET /table/rows?prefix=&limit=` | rows in order of keys |
/// | `PUT /objects`, `PUT /objects/{hash}` | stores an object; answers `{"hash"}` |
/// | `GET /objects/{hash}` | the object, or 404 |
/// | `GET /instances` | the instance list |
/// | `GET`, `POST /admin/faults` | reads or replaces [`PlatformFaults`] |
/// | `PUT /admin/instances` | replaces the instance list |
/// | `GET /admin/traffic` | counts of answered calls |
pub struct Platform {
    /// The address that the fake listens on.
    pub addr: SocketAddr,
    state: Arc<State>,
    _server: Server,
}

impl Platform {
    /// Starts a fake.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
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
                budget: None,
            }),
        });
        let served = state.clone();
        let server = Server::start(bind(settings.listen)?, move |call| {
            let state = served.clone();
            async move { state.handle(call).await }
        })?;
        Ok(Platform {
            addr: server.addr(),
            state,
            _server: server,
        })
    }

    /// Stops the fake. Its port is free afterwards.
    pub fn stop(self) {}

    /// Returns the store behind the protocol, for reading it without the faults.
    #[must_use]
    pub fn memory(&self) -> &MemoryPlatform {
        &self.state.memory
    }

    /// Returns the present faults.
    #[must_use]
    pub fn faults(&self) -> PlatformFaults {
        self.state.lock().faults.clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.lock().faults = faults;
    }

    /// Replaces the instance list, in force after the lag.
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
    /// Lists that are not in force yet.
    pending: Vec<(Instant, Vec<InstanceRow>)>,
    /// Calls that the rate still allows, and when this was computed.
    budget: Option<(f64, Instant)>,
}

/// What the connection of a write loses.
#[derive(Clone, Copy, PartialEq)]
enum Loss {
    Nothing,
    Reply,
    Call,
}

impl State {
    async fn handle(&self, call: Call) -> Result<Reply, Broken> {
        let path = call.path.clone();
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        if let ["admin", rest @ ..] = &*segments {
            return Ok(self.admin(&call, rest));
        }
        if let Some(reply) = self.gate(&call).await {
            return Ok(reply);
        }
        let write = matches!(call.method, Method::POST | Method::PUT);
        let loss = if write { self.loss() } else { Loss::Nothing };
        if loss == Loss::Call {
            return Err(Broken);
        }
        let answer = self.apply(&call, &segments).await;
        if loss == Loss::Reply {
            return Err(Broken);
        }
        answer
    }

    /// Applies the faults that concern all calls.
    async fn gate(&self, call: &Call) -> Option<Reply> {
        let faults = self.lock().faults.clone();
        if faults.hang {
            std::future::pending::<()>().await;
        }
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.down {
            return Some(failure(StatusCode::SERVICE_UNAVAILABLE, "down"));
        }
        if !self.lock().take() {
            return Some(failure(StatusCode::TOO_MANY_REQUESTS, "rate limit"));
        }
        let token = self.token.as_ref().map(|token| format!("Bearer {token}"));
        if token.is_some() && call.header("authorization") != token.as_deref() {
            return Some(failure(StatusCode::UNAUTHORIZED, "wrong token"));
        }
        None
    }

    fn loss(&self) -> Loss {
        let faults = &mut self.lock().faults;
        if faults.drop_requests > 0 {
            faults.drop_requests -= 1;
            return Loss::Call;
        }
        if faults.drop_responses > 0 {
            faults.drop_responses -= 1;
            return Loss::Reply;
        }
        Loss::Nothing
    }

    async fn apply(&self, call: &Call, segments: &[&str]) -> Result<Reply, Broken> {
        let answer = match (&call.method, segments) {
            (&Method::POST, ["table", "transact"]) => match call.json() {
                Ok(transaction) => self.memory.transact(transaction).await.map(|c| ok(&c)),
                Err(reply) => return Ok(reply),
            },
            (&Method::GET, ["table", "rows"]) => self.rows(call).await,
            (&Method::PUT, ["objects", hash @ ..]) => self.put(call, hash).await,
            (&Method::GET, ["objects", hash]) => self.fetch(hash).await,
            (&Method::GET, ["instances"]) => {
                self.settle_instances();
                self.memory.instances().await.map(|rows| ok(&rows))
            }
            _ => Err(Failure::NotFound),
        };
        match answer {
            Ok(reply) => Ok(reply),
            Err(Failure::Unknown) => Err(Broken),
            Err(error) => Ok(refusal(&error)),
        }
    }

    async fn rows(&self, call: &Call) -> ebonylug_platform::Result<Reply> {
        if let Some(key) = call.query("key") {
            let row = self.memory.get(key).await?;
            return Ok(ok(&row.as_slice()));
        }
        let limit = call.query("limit").unwrap_or("1000").parse();
        let limit = limit.map_err(|_| Failure::Invalid("`limit` is not a number".into()))?;
        let prefix = call.query("prefix").unwrap_or_default();
        Ok(ok(&self.memory.scan(prefix, limit).await?))
    }

    async fn put(&self, call: &Call, hash: &[&str]) -> ebonylug_platform::Result<Reply> {
        let own = ObjectHash::of(&call.body);
        if let [hash] = hash
            && hash.parse::<ObjectHash>()? != own
        {
            return Err(Failure::Invalid("the body does not match the hash".into()));
        }
        self.memory.put(call.body.clone()).await?;
        Ok(ok(&serde_json::json!({ "hash": own })))
    }

    async fn fetch(&self, hash: &str) -> ebonylug_platform::Result<Reply> {
        let body = self.memory.fetch(hash.parse()?).await?;
        let body = ResponseBody::bytes(body);
        Ok(reply(StatusCode::OK, "application/octet-stream", body))
    }

    fn admin(&self, call: &Call, rest: &[&str]) -> Reply {
        match (&call.method, rest) {
            (&Method::GET, ["faults"]) => ok(&self.lock().faults),
            (&Method::POST, ["faults"]) => match call.json::<PlatformFaults>() {
                Ok(faults) => {
                    self.lock().faults = faults.clone();
                    ok(&faults)
                }
                Err(reply) => reply,
            },
            (&Method::PUT, ["instances"]) => match call.json::<Vec<InstanceRow>>() {
                Ok(rows) => {
                    let reply = ok(&rows);
                    self.set_instances(rows);
                    reply
                }
                Err(reply) => reply,
            },
            (&Method::GET, ["traffic"]) => {
                let counts = self.memory.call_counts();
                ok(&serde_json::json!({ "writes": counts.writes, "reads": counts.reads }))
            }
            _ => failure(StatusCode::NOT_FOUND, "no such endpoint"),
        }
    }

    fn set_instances(&self, instances: Vec<InstanceRow>) {
        let due = Instant::now() + self.lag;
        self.lock().pending.push((due, instances));
        self.settle_instances();
    }

    /// Puts the lists in force whose lag is over.
    fn settle_instances(&self) {
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
    /// Takes one call from the rate's budget, which holds at most one second's worth.
    fn take(&mut self) -> bool {
        let Some(rate) = self.faults.rate_limit else {
            self.budget = None;
            return true;
        };
        let (now, rate) = (Instant::now(), f64::from(rate));
        let (left, since) = self.budget.unwrap_or((rate, now));
        let left = (left + (now - since).as_secs_f64() * rate).min(rate);
        let taken = left >= 1.0;
        let spent = if taken { 1.0 } else { 0.0 };
        self.budget = Some((left - spent, now));
        taken
    }
}

fn ok<T: Serialize + ?Sized>(value: &T) -> Reply {
    json(StatusCode::OK, value)
}

fn refusal(error: &Failure) -> Reply {
    match error {
        Failure::Conflict { key } => json(StatusCode::CONFLICT, &serde_json::json!({ "key": key })),
        Failure::NotFound => failure(StatusCode::NOT_FOUND, "not found"),
        Failure::Throttled => failure(StatusCode::TOO_MANY_REQUESTS, "rate limit"),
        Failure::Unavailable => failure(StatusCode::SERVICE_UNAVAILABLE, "down"),
        error => failure(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}
