use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use http::{HeaderMap, Method, StatusCode, header};
use serde::Serialize;
use serde::de::DeserializeOwned;
use xitca_server::ServerHandle;
use xitca_web::HttpServer;
use xitca_web::body::{BodyExt, ResponseBody, StreamDataBody};
use xitca_web::http::{RequestExt, WebRequest, WebResponse};
use xitca_web::service::fn_service;

use crate::net::{Conn, Sockets, SwitchedListener};
use crate::{Error, Result};

/// The connection is aborted if a request body is longer.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Long enough that the server does not close the idle connections of test clients.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(3600);

/// The connection ends before the response is complete, because of an injected fault, an oversized
/// request or a disconnected client.
#[derive(Debug, thiserror::Error)]
#[error("connection aborted before the response was complete")]
pub(crate) struct Aborted;

pub(crate) type Response = WebResponse;

/// A request with its buffered body.
pub(crate) struct Request {
    pub(crate) method: Method,
    pub(crate) path: Box<str>,
    pub(crate) query: Vec<(Box<str>, Box<str>)>,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) conn: Arc<Conn>,
}

impl Request {
    /// Returns the first value of a query parameter.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        let pair = self.query.iter().find(|(key, _)| &**key == name);
        pair.map(|(_, value)| &**value)
    }

    /// Returns the value of a header, or `None` if it is missing or not visible ASCII.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Parses the body as JSON, or returns the 400 response that rejects it.
    // The error is the response itself. It is large, but it is returned only once per request.
    #[allow(clippy::result_large_err)]
    pub(crate) fn json<T: DeserializeOwned>(&self) -> std::result::Result<T, Response> {
        let mut reader = serde_json::Deserializer::from_slice(&self.body);
        serde_path_to_error::deserialize(&mut reader)
            .map_err(|error| error_response(StatusCode::BAD_REQUEST, &error.to_string()))
    }
}

/// A running HTTP server with one worker thread. Dropping it stops the server and joins its
/// thread.
pub(crate) struct Server {
    pub(crate) sockets: Arc<Sockets>,
    handle: ServerHandle,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Starts serving requests with `handler` on bound sockets.
    pub(crate) fn start<H, F>(sockets: Arc<Sockets>, handler: H) -> Result<Server>
    where
        H: Fn(Request) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Result<Response, Aborted>>,
    {
        let addr = sockets.addr;
        let listen_error = |source| Error::Listen { addr, source };
        let handler_sockets = sockets.clone();
        let service = fn_service(move |web_request: WebRequest| {
            let sockets = handler_sockets.clone();
            let handler = handler.clone();
            async move { serve(&sockets, handler, web_request).await }
        });
        let mut server = HttpServer::serve(service)
            .worker_threads(1)
            .disable_signal()
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .listen(SwitchedListener(sockets.clone()))
            .map_err(listen_error)?
            .run();
        let handle = server.handle().map_err(listen_error)?;
        let thread = std::thread::Builder::new()
            .name(format!("standin-{}", addr.port()))
            .spawn(move || {
                if let Err(error) = server.wait() {
                    tracing::warn!("standin: server on {addr} failed: {error}");
                }
            })
            .map_err(listen_error)?;
        Ok(Server {
            sockets,
            handle,
            thread: Some(thread),
        })
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.sockets.addr
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.sockets.stop();
        self.handle.stop(false);
        if let Some(thread) = self.thread.take() {
            // The panic hook has already reported a panic of the server thread.
            let _ = thread.join();
        }
    }
}

/// Binds the configured address.
pub(crate) fn bind(addr: SocketAddr) -> Result<Arc<Sockets>> {
    Sockets::bind(addr).map_err(|source| Error::Listen { addr, source })
}

/// Creates a response with a JSON body.
pub(crate) fn json_response<T: Serialize + ?Sized>(status: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).expect("the value can be serialized");
    body_response(status, "application/json", ResponseBody::bytes(body))
}

/// Creates an error response in the format of the OpenAI protocol.
pub(crate) fn error_response(status: StatusCode, message: &str) -> Response {
    let kind = if status.is_client_error() {
        "invalid_request_error"
    } else {
        "server_error"
    };
    let error = serde_json::json!({ "error": { "message": message, "type": kind } });
    json_response(status, &error)
}

/// Creates a server-sent event response whose body is streamed. An error from `parts` aborts the
/// connection.
pub(crate) fn stream_response(
    conn: Arc<Conn>,
    parts: impl Stream<Item = Result<Bytes, Aborted>> + 'static,
) -> Response {
    let parts = parts.inspect(move |part| {
        if part.is_err() {
            conn.abort();
        }
    });
    let body = ResponseBody::boxed(StreamDataBody::new(Box::pin(parts)));
    body_response(StatusCode::OK, "text/event-stream", body)
}

/// Creates a response with the content type `kind`.
pub(crate) fn body_response(
    status: StatusCode,
    kind: &'static str,
    body: ResponseBody,
) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let value = http::HeaderValue::from_static(kind);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

async fn serve<H, F>(
    sockets: &Sockets,
    handler: H,
    web_request: WebRequest,
) -> Result<Response, Aborted>
where
    H: Fn(Request) -> F,
    F: Future<Output = Result<Response, Aborted>>,
{
    let (parts, body) = web_request.into_parts();
    let conn = sockets.conn(*body.socket_addr()).ok_or(Aborted)?;
    let work = async {
        let request = Request {
            path: parts.uri.path().into(),
            query: parse_query(parts.uri.query().unwrap_or_default()),
            method: parts.method,
            headers: parts.headers,
            body: read_body(body).await?,
            conn: conn.clone(),
        };
        let admin = request.path.starts_with("/admin/");
        let response = handler(request).await?;
        if conn.is_stalled() && !admin {
            return std::future::pending().await;
        }
        Ok(response)
    };
    let result = tokio::select! {
        biased;
        result = work => result,
        () = conn.closed.cancelled() => Err(Aborted),
    };
    if result.is_err() {
        // The server drops its socket without a shutdown, and the duplicate in `Sockets` would keep
        // the connection open.
        conn.abort();
    }
    result
}

async fn read_body(body: RequestExt<xitca_web::body::RequestBody>) -> Result<Bytes, Aborted> {
    let (_, body) = body.replace_body(());
    let mut body = std::pin::pin!(body);
    let mut buffer = BytesMut::new();
    while let Some(part) = body.as_mut().data().await {
        buffer.extend_from_slice(&part.map_err(|_| Aborted)?);
        if buffer.len() > MAX_BODY_BYTES {
            return Err(Aborted);
        }
    }
    Ok(buffer.freeze())
}

fn parse_query(query: &str) -> Vec<(Box<str>, Box<str>)> {
    form_urlencoded::parse(query.as_bytes())
        .map(|(key, value)| (key.into(), value.into()))
        .collect()
}
