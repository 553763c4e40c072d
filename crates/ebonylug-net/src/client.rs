//! The HTTP client of the data path.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// How a call failed, by what it proves about the request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection was made: the peer did not see the request.
    #[error("cannot connect")]
    Connect,
    /// The head of the answer did not arrive in time; the request may have been run.
    #[error("no answer in time")]
    Timeout,
    /// The connection broke after the request may have been sent.
    #[error("no answer: {0}")]
    Lost(Box<str>),
}

/// The result of a call.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Time to establish a connection. One round trip takes less than 10 ms within a deployment.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections are closed early, since a path may go silent without notice.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A pool of connections. Clones share the pool.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    fresh: Pool<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client without connections.
    #[must_use]
    pub fn new() -> Self {
        Client {
            pool: builder(usize::MAX),
            fresh: builder(0),
        }
    }

    /// Sends a request and waits at most `head` for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] proves that the request was not sent; the others prove nothing.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        head: Duration,
    ) -> Result<Response<Incoming>> {
        finish(self.pool.request(request), head).await
    }

    /// Sends a request over a new connection, for use after a connection has gone silent.
    ///
    /// # Errors
    ///
    /// As for [`send`](Self::send).
    pub async fn send_unpooled(
        &self,
        request: Request<Full<Bytes>>,
        head: Duration,
    ) -> Result<Response<Incoming>> {
        finish(self.fresh.request(request), head).await
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

fn builder(idle: usize) -> Pool<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Pool::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle)
        .pool_timer(hyper_util::rt::TokioTimer::new())
        // A request on a pooled connection that closed must not be sent again behind our back:
        // whether it ran is for the ledger to decide.
        .retry_canceled_requests(false)
        .build(connector)
}

async fn finish(
    call: hyper_util::client::legacy::ResponseFuture,
    head: Duration,
) -> Result<Response<Incoming>> {
    match tokio::time::timeout(head, call).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) if error.is_connect() => Err(Error::Connect),
        Ok(Err(error)) => Err(Error::Lost(error.to_string().into())),
        Err(_) => Err(Error::Timeout),
    }
}
