//! The HTTP client of the data path.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Why a call failed, by what the failure proves about the request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection was established: the request was not sent.
    #[error("cannot connect")]
    Connect,
    /// The response headers did not arrive in time: the request may have been run.
    #[error("no answer in time")]
    Timeout,
    /// The connection failed when the request may have been sent already.
    #[error("no answer: {0}")]
    Lost(Box<str>),
}

/// The result of a call.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Timeout to connect. A round trip takes less than 10 ms within a deployment.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection is closed. It is short because a network path may start to
/// drop packets without an error on the connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// An HTTP client with a connection pool. Clones share the pool.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    unpooled: Pool<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client, which connects with its first request.
    #[must_use]
    pub fn new() -> Self {
        Client {
            pool: build_pool(usize::MAX),
            unpooled: build_pool(0),
        }
    }

    /// Sends a request and waits at most `timeout` for the response headers.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] proves that the request was not sent; the others prove nothing.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>> {
        wait_for_headers(self.pool.request(request), timeout).await
    }

    /// Sends a request over a new connection, which is not used again: for use when a pooled
    /// connection has stopped responding, and with servers whose late responses cannot be told from
    /// the response to this request.
    ///
    /// # Errors
    ///
    /// As for [`send`](Self::send).
    pub async fn send_unpooled(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>> {
        wait_for_headers(self.unpooled.request(request), timeout).await
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

fn build_pool(max_idle: usize) -> Pool<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Pool::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .pool_timer(hyper_util::rt::TokioTimer::new())
        // A request on a pooled connection that closed must not be retried here, since
        // it may have run. The caller first queries the state of the attempt.
        .retry_canceled_requests(false)
        .build(connector)
}

async fn wait_for_headers(
    call: hyper_util::client::legacy::ResponseFuture,
    timeout: Duration,
) -> Result<Response<Incoming>> {
    match tokio::time::timeout(timeout, call).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) if error.is_connect() => Err(Error::Connect),
        Ok(Err(error)) => Err(Error::Lost(error.to_string().into())),
        Err(_) => Err(Error::Timeout),
    }
}
