//! Serves callers, health checks, metrics and tables, and shuts down gracefully.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use crate::entry::Entry;
use crate::forward;
use crate::head_timeout::{HeadState, HeadTimeoutStream};
use crate::pool;
use crate::response::{self, HandlerResult};
use crate::table_cache::TableCache;
use crate::transport;

/// Length of the listen queue, in connections.
const BACKLOG: u32 = 1024;
/// Delay after a failed accept, for example because too many files are open.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time after which an idle connection is closed. It is longer than any idle time that a
/// configuration allows callers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// The maximum size of a request's head; the configuration's limit is lower.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Time for which bytes sent to a caller may stay unacknowledged before the connection fails.
const ACK_TIMEOUT: Duration = Duration::from_secs(6);
/// Time after the stop signal in which the load balancer may still send new connections: two health
/// checks one second apart, plus the time to establish a connection.
const DEREGISTRATION_TIME: Duration = Duration::from_millis(2_500);
/// Part of a short grace period in which the load balancer may still send new connections.
const MAX_DEREGISTRATION_SHARE: u32 = 3;
/// Time before the end of the grace period at which requests that are still open get their final answer.
const GRACE_MARGIN: Duration = Duration::from_millis(600);
/// Time for which the stop then waits until these answers are written.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(300);
/// Interval at which a stop checks whether requests are open.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Opens a TCP listener.
///
/// # Errors
///
/// Returns an error if the socket cannot be bound to the address.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves callers until `stop` becomes true, then closes the listener and lets open connections finish.
pub async fn serve(entry: Rc<Entry>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            _ = stop.wait_for(|&closed| closed) => return,
        };
        let open = ConnectionGuard::new(&entry);
        tokio::task::spawn_local(connection(open, stream, stop.clone()));
    }
}

/// Accepts the next connection, retrying after errors.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                tracing::warn!(part = "server", %error, "failed to accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Counts a caller's connection as open until the guard is dropped.
struct ConnectionGuard(Rc<Entry>);

impl ConnectionGuard {
    fn new(entry: &Rc<Entry>) -> Self {
        entry.connections.set(entry.connections.get() + 1);
        ConnectionGuard(Rc::clone(entry))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

async fn connection(open: ConnectionGuard, stream: TcpStream, mut stop: watch::Receiver<bool>) {
    let entry = Rc::clone(&open.0);
    if let Err(error) = stream
        .set_nodelay(true)
        .and_then(|()| pool::set_keepalive(&stream, ACK_TIMEOUT))
    {
        tracing::debug!(part = "server", %error, "failed to set socket options");
    }
    let head = Rc::new(HeadState::default());
    let stream = HeadTimeoutStream::new(stream, Rc::clone(&head), {
        let entry = Rc::clone(&entry);
        move || Some(entry.config()?.limits.header_timeout)
    });
    let service =
        service_fn(move |request| forward::handle(Rc::clone(&entry), Rc::clone(&head), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = stop.wait_for(|&closed| closed) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(part = "server", %error, "connection closed with an error");
    }
}

/// Answers the load balancer's health checks.
pub async fn serve_ready(entry: Rc<Entry>, listener: TcpListener) {
    serve_http(listener, move |request| {
        health_check(Rc::clone(&entry), request)
    })
    .await;
}

/// Serves `/metrics` and the state of the entry. `dropped` returns the number of dropped log lines.
pub async fn serve_metrics(
    entry: Rc<Entry>,
    listener: TcpListener,
    dropped: impl Fn() -> usize + 'static,
) {
    let dropped = Rc::new(dropped);
    let serve = move |request: Request<Incoming>| {
        let (entry, dropped) = (Rc::clone(&entry), Rc::clone(&dropped));
        async move {
            Ok(match request.uri().path() {
                "/metrics" => response::success(entry.metrics(dropped())),
                "/api/v1/state" => response::json(&entry.overview()),
                _ => response::plain_text(StatusCode::NOT_FOUND, "no such page"),
            })
        }
    };
    serve_http(listener, serve).await;
}

/// Serves tables to other entries. The path names the table, and the query is the version that the
/// requesting entry already has.
pub async fn serve_tables(cache: Rc<TableCache>, listener: TcpListener) {
    let serve = move |request: Request<Incoming>| {
        let table = request.uri().path().trim_start_matches('/');
        let after = request.uri().query().and_then(|text| text.parse().ok());
        let newer = cache.newer(table, after.unwrap_or(0));
        let encoded = newer.and_then(|newer| match transport::encode_table(&newer) {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                tracing::error!(part = "peers", %error, "failed to encode a table");
                None
            }
        });
        async move {
            Ok(match encoded {
                Some(bytes) => response::success(bytes),
                None => response::plain_text(StatusCode::NO_CONTENT, ""),
            })
        }
    };
    serve_http(listener, serve).await;
}

async fn serve_http<F, Fut>(listener: TcpListener, handle: F)
where
    F: Fn(Request<Incoming>) -> Fut + Clone + 'static,
    Fut: Future<Output = HandlerResult> + 'static,
{
    loop {
        let stream = accept(&listener).await;
        let handle = handle.clone();
        tokio::task::spawn_local(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .max_buf_size(MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(stream), service_fn(handle));
            if let Err(error) = connection.await {
                tracing::debug!(part = "server", %error, "connection closed with an error");
            }
        });
    }
}

async fn health_check(entry: Rc<Entry>, request: Request<Incoming>) -> HandlerResult {
    let status = match request.uri().path() {
        path if path != &*entry.dialect.ready_path => StatusCode::NOT_FOUND,
        _ if entry.is_ready() => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    Ok(response::plain_text(status, ""))
}

/// Shuts down gracefully: fails the health check at once, then closes the listener, then waits for
/// open requests, and for connections on which an answer is still being written. Requests that are still
/// open when the grace period is nearly over are answered: refused, if they were sent to no target.
pub async fn stop(entry: Rc<Entry>, closed: watch::Sender<bool>) {
    let started = tokio::time::Instant::now();
    entry.stopping.set(true);
    tracing::info!(part = "server", active = entry.active.get(), "stopping");
    let grace = entry.bounds.get().grace;
    tokio::time::sleep(DEREGISTRATION_TIME.min(grace / MAX_DEREGISTRATION_SHARE)).await;
    let _ = closed.send(true);
    let end = started + grace.saturating_sub(GRACE_MARGIN);
    wait_until_idle(&entry, end).await;
    if entry.active.get() > 0 {
        tracing::warn!(
            part = "server",
            active = entry.active.get(),
            "requests are open at the end of the grace"
        );
        entry.ending.send_replace(true);
        wait_until_idle(&entry, end + FINAL_ANSWER_TIME).await;
    }
    entry.stopped.set(true);
    tracing::info!(part = "server", active = entry.active.get(), "stopped");
}

/// Waits until no request and no connection is open, or until `end`. Idle connections close when the stop
/// closes the listener, so the others are still being written to.
async fn wait_until_idle(entry: &Entry, end: tokio::time::Instant) {
    let is_idle = || entry.active.get() == 0 && entry.connections.get() == 0;
    while !is_idle() && tokio::time::Instant::now() < end {
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
    }
}
