use std::net::SocketAddr;
use std::time::Duration;

use ::http::{Method, Request, StatusCode, header};
use bytes::Bytes;
use form_urlencoded::Serializer;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::{
    Committed, Error, InstanceList, InstanceRow, ObjectHash, ObjectStore, Result, Row, Table,
    Transaction,
};

/// Idle connections are dropped early, because a write on a connection that the service is just
/// closing ends as unknown.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Idle time after which a connection is probed, and time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without answer after which a connection is dead.
const PROBES: u32 = 2;

/// A larger answer is not read, so that a faulty service cannot exhaust the process's memory.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// The default time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of the platform's services over JSON and HTTP.
///
/// Clones share their connections. Calls need a Tokio runtime.
///
/// ```
/// use std::time::Duration;
/// use ebonylug_platform::HttpPlatform;
///
/// let platform = HttpPlatform::new("127.0.0.1:9".parse().unwrap())
///     .timeout(Duration::from_millis(500))
///     .token("secret");
/// # drop(platform);
/// ```
#[derive(Clone)]
pub struct HttpPlatform {
    addr: SocketAddr,
    token: Option<Box<str>>,
    timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpPlatform {
    /// Creates a client of the service at `addr`, without a token.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        HttpPlatform {
            addr,
            token: None,
            timeout: CALL_TIMEOUT,
            client: client(CALL_TIMEOUT),
        }
    }

    /// Sends `token` as bearer token of each call.
    #[must_use]
    pub fn token(mut self, token: &str) -> Self {
        self.token = Some(token.into());
        self
    }

    /// Limits the time of each call. Half of it may pass before a connection is established.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self.client = client(timeout);
        self
    }

    /// Limits the time of each call, and keeps the connections.
    #[must_use]
    pub fn call_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Reads from a path of a service that has another interface than the traits of this crate.
    ///
    /// # Errors
    ///
    /// Fails if the service does not answer or refuses.
    pub async fn read(&self, path: &str) -> Result<Bytes> {
        self.call(Effect::Read, Method::GET, path, Bytes::new())
            .await
    }

    /// Writes to a path of a service that has another interface than the traits of this crate.
    ///
    /// # Errors
    ///
    /// As for [`Table::transact`].
    pub async fn write(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes> {
        self.call(Effect::Write, method, path, body).await
    }

    async fn call(&self, effect: Effect, method: Method, path: &str, body: Bytes) -> Result<Bytes> {
        let request = self.request(method, path, body)?;
        match tokio::time::timeout(self.timeout, self.exchange(effect, request)).await {
            Ok(answer) => answer,
            Err(_) => Err(effect.lost()),
        }
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Result<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(token) = &self.token {
            request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        request
            .body(Full::new(body))
            .map_err(|error| Error::Invalid(error.to_string().into()))
    }

    async fn exchange(&self, effect: Effect, request: Request<Full<Bytes>>) -> Result<Bytes> {
        let answer = match self.client.request(request).await {
            Ok(answer) => answer,
            Err(error) if error.is_connect() => return Err(Error::Unavailable),
            Err(_) => return Err(effect.lost()),
        };
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map(|body| body.to_bytes());
        if let Some(error) = refusal(status, effect, body.as_deref().unwrap_or_default()) {
            return Err(error);
        }
        body.map_err(|_| effect.lost())
    }
}

impl std::fmt::Debug for HttpPlatform {
    /// Leaves out the token.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpPlatform")
            .field("addr", &self.addr)
            .field("timeout", &self.timeout)
            .finish_non_exhaustive()
    }
}

impl Table for HttpPlatform {
    async fn transact(&self, transaction: Transaction) -> Result<Committed> {
        let body = serde_json::to_vec(&transaction).expect("a transaction is valid JSON");
        let answer = self
            .call(Effect::Write, Method::POST, "/table/transact", body.into())
            .await?;
        // The service has answered 200 but its version is lost, so the caller must read back.
        serde_json::from_slice(&answer).map_err(|_| Error::Unknown)
    }

    async fn get(&self, key: &str) -> Result<Option<Row>> {
        let query = Serializer::new(String::new())
            .append_pair("key", key)
            .finish();
        let path = format!("/table/rows?{query}");
        let answer = self
            .call(Effect::Read, Method::GET, &path, Bytes::new())
            .await?;
        let rows: Vec<Row> = parse(&answer)?;
        Ok(rows.into_iter().next())
    }

    async fn scan(&self, prefix: &str, limit: usize) -> Result<Vec<Row>> {
        let query = Serializer::new(String::new())
            .append_pair("prefix", prefix)
            .append_pair("limit", &limit.to_string())
            .finish();
        let path = format!("/table/rows?{query}");
        let answer = self
            .call(Effect::Read, Method::GET, &path, Bytes::new())
            .await?;
        parse(&answer)
    }
}

impl ObjectStore for HttpPlatform {
    async fn put(&self, body: Bytes) -> Result<ObjectHash> {
        let hash = ObjectHash::of(&body);
        let path = format!("/objects/{hash}");
        self.call(Effect::Write, Method::PUT, &path, body).await?;
        Ok(hash)
    }

    async fn fetch(&self, hash: ObjectHash) -> Result<Bytes> {
        let path = format!("/objects/{hash}");
        let body = self
            .call(Effect::Read, Method::GET, &path, Bytes::new())
            .await?;
        if ObjectHash::of(&body) != hash {
            return Err(Error::Invalid("the object does not match its hash".into()));
        }
        Ok(body)
    }
}

impl InstanceList for HttpPlatform {
    async fn instances(&self) -> Result<Vec<InstanceRow>> {
        let answer = self
            .call(Effect::Read, Method::GET, "/instances", Bytes::new())
            .await?;
        parse(&answer)
    }
}

/// Whether a call that was sent may have changed something.
#[derive(Clone, Copy)]
enum Effect {
    Read,
    Write,
}

impl Effect {
    /// The outcome of a call that was sent and whose answer is lost.
    fn lost(self) -> Error {
        match self {
            Effect::Read => Error::Unavailable,
            Effect::Write => Error::Unknown,
        }
    }
}

/// The body of a 409.
#[derive(Deserialize)]
struct ConflictBody {
    key: Box<str>,
}

fn client(timeout: Duration) -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    // A connection that is not established in time proves that nothing was sent.
    connector.set_connect_timeout(Some(timeout / 2));
    connector.set_nodelay(true);
    // A connection may go silent for good while new ones work.
    connector.set_keepalive(Some(PROBE_INTERVAL));
    connector.set_keepalive_interval(Some(PROBE_INTERVAL));
    connector.set_keepalive_retries(Some(PROBES));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build(connector)
}

fn refusal(status: StatusCode, effect: Effect, body: &[u8]) -> Option<Error> {
    match status {
        status if status.is_success() => None,
        StatusCode::SERVICE_UNAVAILABLE => Some(Error::Unavailable),
        StatusCode::TOO_MANY_REQUESTS => Some(Error::Throttled),
        StatusCode::NOT_FOUND => Some(Error::NotFound),
        StatusCode::GONE => Some(Error::Compacted),
        StatusCode::CONFLICT | StatusCode::PRECONDITION_FAILED => {
            let key = serde_json::from_slice::<ConflictBody>(body).map(|body| body.key);
            Some(Error::Conflict {
                key: key.unwrap_or_default(),
            })
        }
        status if status.is_server_error() => Some(effect.lost()),
        status => {
            let text = String::from_utf8_lossy(&body[..body.len().min(200)]);
            Some(Error::Invalid(format!("status {status}: {text}").into()))
        }
    }
}

fn parse<T: DeserializeOwned>(answer: &[u8]) -> Result<T> {
    serde_json::from_slice(answer).map_err(|error| Error::Invalid(error.to_string().into()))
}
