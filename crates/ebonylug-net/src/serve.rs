//! The HTTP server of a process.

use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use xitca_web::HttpServer;
use xitca_web::body::{BodyExt, RequestBody, ResponseBody, StreamDataBody};
use xitca_web::http::RequestExt;
use xitca_web::service::fn_service;

/// The request that a handler receives.
pub type Request = http::Request<RequestExt<RequestBody>>;
/// The response that a handler returns.
pub type HttpResponse = Response<ResponseBody>;

/// Timeout to receive the request line and headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which an idle connection is closed. It is longer than that of the clients, so that a
/// client does not send on a connection that the server is about to close.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_HEADERS: usize = 64;
const MAX_HEADER_BYTES: usize = 64 << 10;

/// Opens a non-blocking listener.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// A running server. Dropping it closes its listener and its connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    handle: Option<xitca_handle::Handle>,
}

mod xitca_handle {
    use std::fmt;

    pub struct Handle(pub Box<dyn Fn(bool) + Send + Sync>);

    impl fmt::Debug for Handle {
        fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("Handle")
        }
    }
}

impl Server {
    /// Starts a server on `listener` with `workers` worker threads.
    ///
    /// # Errors
    ///
    /// Fails if the listener cannot be used.
    pub fn start<F, Fut>(listener: TcpListener, workers: usize, handler: F) -> std::io::Result<Self>
    where
        F: Fn(Request) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = HttpResponse> + 'static,
    {
        let address = listener.local_addr()?;
        let service = fn_service(move |request: Request| {
            let response = handler(request);
            async move { Ok::<_, std::convert::Infallible>(response.await) }
        });
        let mut running = HttpServer::serve(service)
            .disable_signal()
            .worker_threads(workers)
            .request_head_timeout(HEADER_TIMEOUT)
            .keep_alive_timeout(IDLE_TIMEOUT)
            .max_request_headers::<MAX_HEADERS>()
            .max_read_buf_size::<MAX_HEADER_BYTES>()
            .listen(listener)?
            .run();
        let handle = running.handle()?;
        // The server has its own runtime, which must not be dropped within another one.
        std::thread::Builder::new()
            .name("http".into())
            .spawn(move || {
                if let Err(error) = running.wait() {
                    tracing::error!(%error, "server: stopped with an error");
                }
            })?;
        Ok(Server {
            address,
            handle: Some(xitca_handle::Handle(Box::new(move |graceful| {
                handle.stop(graceful);
            }))),
        })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(handle) = self.handle.take() {
            (handle.0)(false);
        }
    }
}

/// Why a request body could not be received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is larger than the limit in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// The body did not arrive completely within the timeout.
    #[error("the body did not arrive in time")]
    Timeout,
    /// The connection closed within the body.
    #[error("the body broke off")]
    Disconnected,
}

/// The result of receiving a body.
pub type Result<T, E = BodyError> = std::result::Result<T, E>;

/// Receives a complete body of at most `limit` bytes within `timeout`.
///
/// # Errors
///
/// Fails if the body is too large, too slow or incomplete.
pub async fn collect(body: RequestBody, limit: usize, timeout: Duration) -> Result<Bytes> {
    let receive = async {
        let mut body = std::pin::pin!(body);
        let mut received = BytesMut::new();
        while let Some(part) = body.as_mut().data().await {
            let part = part.map_err(|_| BodyError::Disconnected)?;
            if received.len() + part.len() > limit {
                return Err(BodyError::TooLarge(limit));
            }
            received.extend_from_slice(&part);
        }
        Ok(received.freeze())
    };
    tokio::time::timeout(timeout, receive)
        .await
        .unwrap_or(Err(BodyError::Timeout))
}

/// Creates a response that streams its body. The stream is dropped when the peer disconnects.
pub fn streaming<S>(stream: S) -> HttpResponse
where
    S: Stream<Item = std::io::Result<Bytes>> + 'static,
{
    Response::new(ResponseBody::boxed(StreamDataBody::new(Box::pin(stream))))
}

/// Creates a response with a JSON body.
///
/// # Panics
///
/// Panics if the value cannot be serialized to JSON, which is a bug in its type.
#[must_use]
pub fn json(status: StatusCode, value: &impl Serialize) -> HttpResponse {
    let body = serde_json::to_vec(value).expect("a response body serializes to JSON");
    bytes(status, "application/json", body.into())
}

/// Creates a response with a UTF-8 text body.
#[must_use]
pub fn text(status: StatusCode, body: impl Into<String>) -> HttpResponse {
    bytes(status, "text/plain; charset=utf-8", body.into().into())
}

/// Creates a response with a body of content type `kind`.
#[must_use]
pub fn bytes(status: StatusCode, kind: &'static str, body: Bytes) -> HttpResponse {
    let mut response = Response::new(ResponseBody::bytes(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}
