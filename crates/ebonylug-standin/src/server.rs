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

use crate::net::{Conn, Net, SwitchedListener};
use crate::{Error, Result};

/// Longer requests are refused.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Clients of tests keep connections for long; the server does not close idle ones by itself.
const KEEP_ALIVE: Duration = Duration::from_secs(3600);

/// The connection ends without (the rest of) an answer.
#[derive(Debug, thiserror::Error)]
#[error("the connection is broken on purpose")]
pub(crate) struct Broken;

pub(crate) type Reply = WebResponse;

/// One request with its whole body.
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: Box<str>,
    pub(crate) query: Vec<(Box<str>, Box<str>)>,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) conn: Arc<Conn>,
}

impl Call {
    /// Returns the value of a query parameter.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        let pair = self.query.iter().find(|(key, _)| &**key == name);
        pair.map(|(_, value)| &**value)
    }

    /// Returns the text of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Reads the body as JSON, or gives the answer that refuses it.
    // The refusal is the answer itself, which is large but handed on only once.
    #[allow(clippy::result_large_err)]
    pub(crate) fn json<T: DeserializeOwned>(&self) -> std::result::Result<T, Reply> {
        let mut reader = serde_json::Deserializer::from_slice(&self.body);
        serde_path_to_error::deserialize(&mut reader)
            .map_err(|error| failure(StatusCode::BAD_REQUEST, &error.to_string()))
    }
}

/// A running HTTP server with one worker thread. Dropping it stops the server.
pub(crate) struct Server {
    pub(crate) net: Arc<Net>,
    handle: ServerHandle,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Serves `handler` on sockets that were bound before.
    pub(crate) fn start<H, F>(net: Arc<Net>, handler: H) -> Result<Server>
    where
        H: Fn(Call) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Result<Reply, Broken>>,
    {
        let addr = net.addr;
        let listen = |source| Error::Listen { addr, source };
        let served = net.clone();
        let service = fn_service(move |request: WebRequest| {
            let net = served.clone();
            let handler = handler.clone();
            async move { serve(&net, handler, request).await }
        });
        let mut server = HttpServer::serve(service)
            .worker_threads(1)
            .disable_signal()
            .keep_alive_timeout(KEEP_ALIVE)
            .listen(SwitchedListener(net.clone()))
            .map_err(listen)?
            .run();
        let handle = server.handle().map_err(listen)?;
        let thread = std::thread::Builder::new()
            .name(format!("standin-{}", addr.port()))
            .spawn(move || {
                if let Err(error) = server.wait() {
                    tracing::warn!("standin: server on {addr} failed: {error}");
                }
            })
            .map_err(listen)?;
        Ok(Server {
            net,
            handle,
            thread: Some(thread),
        })
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.net.addr
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.net.stop();
        self.handle.stop(false);
        if let Some(thread) = self.thread.take() {
            // A panic of the server thread has been printed already.
            let _ = thread.join();
        }
    }
}

/// Binds the address of the settings.
pub(crate) fn bind(addr: SocketAddr) -> Result<Arc<Net>> {
    Net::bind(addr).map_err(|source| Error::Listen { addr, source })
}

/// An answer with a JSON body.
pub(crate) fn json<T: Serialize + ?Sized>(status: StatusCode, value: &T) -> Reply {
    let body = serde_json::to_vec(value).expect("answers are valid JSON");
    reply(status, "application/json", ResponseBody::bytes(body))
}

/// A JSON answer that names a failure, in the form of the OpenAI protocol.
pub(crate) fn failure(status: StatusCode, message: &str) -> Reply {
    let kind = if status.is_client_error() {
        "invalid_request_error"
    } else {
        "server_error"
    };
    let error = serde_json::json!({ "error": { "message": message, "type": kind } });
    json(status, &error)
}

/// An answer whose body arrives in parts. An error breaks the connection.
pub(crate) fn streamed(
    conn: Arc<Conn>,
    parts: impl Stream<Item = Result<Bytes, Broken>> + 'static,
) -> Reply {
    let parts = parts.inspect(move |part| {
        if part.is_err() {
            conn.abort();
        }
    });
    let body = ResponseBody::boxed(StreamDataBody::new(Box::pin(parts)));
    reply(StatusCode::OK, "text/event-stream", body)
}

/// An answer with a body of any kind.
pub(crate) fn reply(status: StatusCode, kind: &'static str, body: ResponseBody) -> Reply {
    let mut reply = Reply::new(body);
    *reply.status_mut() = status;
    let value = http::HeaderValue::from_static(kind);
    reply.headers_mut().insert(header::CONTENT_TYPE, value);
    reply
}

async fn serve<H, F>(net: &Net, handler: H, request: WebRequest) -> Result<Reply, Broken>
where
    H: Fn(Call) -> F,
    F: Future<Output = Result<Reply, Broken>>,
{
    let (parts, body) = request.into_parts();
    let conn = net.conn(*body.socket_addr()).ok_or(Broken)?;
    let work = async {
        let call = Call {
            path: parts.uri.path().into(),
            query: pairs(parts.uri.query().unwrap_or_default()),
            method: parts.method,
            headers: parts.headers,
            body: collect(body).await?,
            conn: conn.clone(),
        };
        let admin = call.path.starts_with("/admin/");
        let reply = handler(call).await?;
        if conn.is_silent() && !admin {
            return std::future::pending().await;
        }
        Ok(reply)
    };
    let answer = tokio::select! {
        biased;
        answer = work => answer,
        () = conn.closed.cancelled() => Err(Broken),
    };
    if answer.is_err() {
        // The server drops its socket without a shutdown, but the connection is held open by
        // its entry in `Net`.
        conn.abort();
    }
    answer
}

async fn collect(body: RequestExt<xitca_web::body::RequestBody>) -> Result<Bytes, Broken> {
    let (_, body) = body.replace_body(());
    let mut body = std::pin::pin!(body);
    let mut whole = BytesMut::new();
    while let Some(part) = body.as_mut().data().await {
        whole.extend_from_slice(&part.map_err(|_| Broken)?);
        if whole.len() > MAX_BODY_BYTES {
            return Err(Broken);
        }
    }
    Ok(whole.freeze())
}

fn pairs(query: &str) -> Vec<(Box<str>, Box<str>)> {
    form_urlencoded::parse(query.as_bytes())
        .map(|(key, value)| (key.into(), value.into()))
        .collect()
}
