use std::net::SocketAddr;
use std::time::Duration;

use ::http::{HeaderMap, Method, Request, StatusCode, header};
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

/// Time after which an idle connection is closed. It is short because the outcome of a write on a
/// connection that the service is closing is unknown.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Idle time before the first TCP keep-alive probe, and time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keep-alive probes after which a connection is closed.
const MAX_PROBES: u32 = 2;

/// The default size of the largest response body that is read, so that a faulty service cannot exhaust
/// memory.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// The default timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of the platform's services, with JSON over HTTP.
///
/// Clones share a connection pool. Calls need a Tokio runtime.
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
    max_response: usize,
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
            max_response: MAX_RESPONSE_BYTES,
            client: client(CALL_TIMEOUT),
        }
    }

    /// Sets the bearer token of all calls.
    #[must_use]
    pub fn token(mut self, token: &str) -> Self {
        self.token = Some(token.into());
        self
    }

    /// Sets the timeout of calls, and half of it as timeout to connect. Creates a new connection
    /// pool.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self.client = client(timeout);
        self
    }

    /// Sets the timeout of calls; keeps the connection pool and its timeout to connect.
    #[must_use]
    pub fn call_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets the size of the largest response body that is read, in bytes.
    #[must_use]
    pub fn max_response(mut self, bytes: usize) -> Self {
        self.max_response = bytes;
        self
    }

    /// Reads from a path that the traits of this crate do not cover. The body is an error if the service does
    /// not respond or returns an error status.
    pub async fn read(&self, path: &str) -> Reply {
        self.send(Access::Read, Method::GET, path, Bytes::new())
            .await
    }

    /// Writes to a path that the traits of this crate do not cover. The body is an error as for
    /// [`Table::transact`].
    pub async fn write(&self, method: Method, path: &str, body: Bytes) -> Reply {
        self.send(Access::Write, method, path, body).await
    }

    async fn call(&self, access: Access, method: Method, path: &str, body: Bytes) -> Result<Bytes> {
        self.send(access, method, path, body).await.body
    }

    async fn send(&self, access: Access, method: Method, path: &str, body: Bytes) -> Reply {
        let request = match self.request(method, path, body) {
            Ok(request) => request,
            Err(error) => return Reply::failed(error),
        };
        match tokio::time::timeout(self.timeout, self.exchange(access, request)).await {
            Ok(reply) => reply,
            Err(_) => Reply::failed(access.lost_response()),
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

    async fn exchange(&self, access: Access, request: Request<Full<Bytes>>) -> Reply {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return Reply::failed(Error::Unavailable),
            Err(_) => return Reply::failed(access.lost_response()),
        };
        let (head, body) = response.into_parts();
        let body = Limited::new(body, self.max_response)
            .collect()
            .await
            .map(|body| body.to_bytes());
        let error = status_error(head.status, access, body.as_deref().unwrap_or_default());
        Reply {
            headers: head.headers,
            body: match error {
                Some(error) => Err(error),
                None => body.map_err(|_| access.lost_response()),
            },
        }
    }
}

/// The reply to a call, or why there is none.
#[derive(Debug)]
pub struct Reply {
    /// The headers of the response, also if its status is an error. Empty without a response.
    pub headers: HeaderMap,
    /// The body of a successful response.
    pub body: Result<Bytes>,
}

impl Reply {
    fn failed(error: Error) -> Self {
        Reply {
            headers: HeaderMap::new(),
            body: Err(error),
        }
    }
}

impl std::fmt::Debug for HttpPlatform {
    /// Omits the token.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpPlatform")
            .field("addr", &self.addr)
            .field("timeout", &self.timeout)
            .finish_non_exhaustive()
    }
}

impl Table for HttpPlatform {
    async fn transact(&self, transaction: Transaction) -> Result<Committed> {
        let body = serde_json::to_vec(&transaction).expect("a transaction serializes to JSON");
        let response = self
            .call(Access::Write, Method::POST, "/table/transact", body.into())
            .await?;
        // The transaction was applied but its version is lost, so the caller must read the row.
        serde_json::from_slice(&response).map_err(|_| Error::Unknown)
    }

    async fn get(&self, key: &str) -> Result<Option<Row>> {
        let query = Serializer::new(String::new())
            .append_pair("key", key)
            .finish();
        let path = format!("/table/rows?{query}");
        let response = self
            .call(Access::Read, Method::GET, &path, Bytes::new())
            .await?;
        let rows: Vec<Row> = parse(&response)?;
        Ok(rows.into_iter().next())
    }

    async fn scan(&self, prefix: &str, limit: usize) -> Result<Vec<Row>> {
        let query = Serializer::new(String::new())
            .append_pair("prefix", prefix)
            .append_pair("limit", &limit.to_string())
            .finish();
        let path = format!("/table/rows?{query}");
        let response = self
            .call(Access::Read, Method::GET, &path, Bytes::new())
            .await?;
        parse(&response)
    }
}

impl ObjectStore for HttpPlatform {
    async fn put(&self, body: Bytes) -> Result<ObjectHash> {
        let hash = ObjectHash::of(&body);
        let path = format!("/objects/{hash}");
        self.call(Access::Write, Method::PUT, &path, body).await?;
        Ok(hash)
    }

    async fn fetch(&self, hash: ObjectHash) -> Result<Bytes> {
        let path = format!("/objects/{hash}");
        let body = self
            .call(Access::Read, Method::GET, &path, Bytes::new())
            .await?;
        if ObjectHash::of(&body) != hash {
            return Err(Error::Invalid("the object does not match its hash".into()));
        }
        Ok(body)
    }
}

impl InstanceList for HttpPlatform {
    async fn instances(&self) -> Result<Vec<InstanceRow>> {
        let response = self
            .call(Access::Read, Method::GET, "/instances", Bytes::new())
            .await?;
        parse(&response)
    }
}

/// Whether a call may change data, which decides the error when its response is lost.
#[derive(Clone, Copy)]
enum Access {
    Read,
    Write,
}

impl Access {
    /// Returns the error of a call that was sent and whose response is lost.
    fn lost_response(self) -> Error {
        match self {
            Access::Read => Error::Unavailable,
            Access::Write => Error::Unknown,
        }
    }
}

/// The body of a response with status 409 or 412.
#[derive(Deserialize)]
struct ConflictBody {
    key: Box<str>,
}

fn client(timeout: Duration) -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    // A failure to connect proves that the request was not sent.
    connector.set_connect_timeout(Some(timeout / 2));
    connector.set_nodelay(true);
    // Keep-alive probes detect connections that no longer deliver packets although new ones would.
    connector.set_keepalive(Some(PROBE_INTERVAL));
    connector.set_keepalive_interval(Some(PROBE_INTERVAL));
    connector.set_keepalive_retries(Some(MAX_PROBES));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build(connector)
}

fn status_error(status: StatusCode, access: Access, body: &[u8]) -> Option<Error> {
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
        status if status.is_server_error() => Some(access.lost_response()),
        status => {
            let text = String::from_utf8_lossy(&body[..body.len().min(200)]);
            Some(Error::Invalid(format!("status {status}: {text}").into()))
        }
    }
}

fn parse<T: DeserializeOwned>(response: &[u8]) -> Result<T> {
    serde_json::from_slice(response).map_err(|error| Error::Invalid(error.to_string().into()))
}
