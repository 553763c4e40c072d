//! Listens to callers and to the balancer, and stops as planned.

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

use crate::answer::{self, Served};
use crate::entry::Entry;
use crate::forward;
use crate::head::{Head, Watched};
use crate::pool;
use crate::table_cache::TableCache;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Pause after a failed accept, for example because too many files are open.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time that a connection may be idle; longer than any that callers are allowed.
const IDLE: Duration = Duration::from_secs(90);
/// Bytes of a request's head; the configuration's bound is lower.
const MAX_HEAD: usize = 64 << 10;
/// Time for which a caller may leave sent bytes without acknowledgement.
const SILENCE: Duration = Duration::from_secs(6);
/// Time from the signal to stop for which the balancer still sends new connections: two questions
/// a second apart, and the time that a connection takes.
const BALANCER: Duration = Duration::from_millis(2_500);
/// Time before the end of the grace at which the process ends.
const MARGIN: Duration = Duration::from_millis(600);

/// Opens a listener.
///
/// # Errors
///
/// Fails if the address cannot be used.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves callers until `stop` says that the listener is to be closed.
pub async fn serve(entry: Rc<Entry>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            _ = stop.wait_for(|&closed| closed) => return,
        };
        tokio::task::spawn_local(connection(Rc::clone(&entry), stream, stop.clone()));
    }
}

/// Waits for the next connection.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                tracing::warn!(part = "server", %error, "cannot accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(entry: Rc<Entry>, stream: TcpStream, mut stop: watch::Receiver<bool>) {
    if let Err(error) = stream
        .set_nodelay(true)
        .and_then(|()| pool::watch(&stream, SILENCE))
    {
        tracing::debug!(part = "server", %error, "cannot set socket options");
    }
    let head = Rc::new(Head::default());
    let stream = Watched::new(stream, Rc::clone(&head), {
        let entry = Rc::clone(&entry);
        move || Some(entry.config()?.limits.header_timeout)
    });
    let service =
        service_fn(move |request| forward::handle(Rc::clone(&entry), Rc::clone(&head), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE)
        .max_buf_size(MAX_HEAD)
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
        tracing::debug!(part = "server", %error, "connection ended");
    }
}

/// Answers the balancer.
pub async fn serve_ready(entry: Rc<Entry>, listener: TcpListener) {
    serve_with(listener, move |request| ready(Rc::clone(&entry), request)).await;
}

/// Answers whoever collects metrics, and operators that ask what is in force. `dropped` returns the number of log lines that were dropped.
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
                "/metrics" => answer::page(entry.metrics(dropped())),
                "/api/v1/state" => answer::json(&entry.overview()),
                _ => answer::own(StatusCode::NOT_FOUND, "no such page"),
            })
        }
    };
    serve_with(listener, serve).await;
}

/// Answers other entries that ask for copies of tables: the path is the table, the query the version that
/// they have.
pub async fn serve_tables(copies: Rc<TableCache>, listener: TcpListener) {
    let serve = move |request: Request<Incoming>| {
        let table = request.uri().path().trim_start_matches('/');
        let after = request.uri().query().and_then(|text| text.parse().ok());
        let copy = copies.answer(table, after.unwrap_or(0));
        async move {
            Ok(match copy {
                Some(bytes) => answer::page(bytes),
                None => answer::own(StatusCode::NO_CONTENT, ""),
            })
        }
    };
    serve_with(listener, serve).await;
}

async fn serve_with<F, Fut>(listener: TcpListener, handle: F)
where
    F: Fn(Request<Incoming>) -> Fut + Clone + 'static,
    Fut: Future<Output = Served> + 'static,
{
    loop {
        let stream = accept(&listener).await;
        let handle = handle.clone();
        tokio::task::spawn_local(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE)
                .serve_connection(TokioIo::new(stream), service_fn(handle));
            if let Err(error) = connection.await {
                tracing::debug!(part = "server", %error, "connection ended");
            }
        });
    }
}

async fn ready(entry: Rc<Entry>, request: Request<Incoming>) -> Served {
    let status = match request.uri().path() {
        path if path != &*entry.dialect.ready_path => StatusCode::NOT_FOUND,
        _ if entry.is_ready() => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    Ok(answer::own(status, ""))
}

/// Stops as planned: not ready at once, then no new connections, then the end of open requests.
pub async fn stop(entry: Rc<Entry>, closed: watch::Sender<bool>) {
    let begun = tokio::time::Instant::now();
    entry.stopping.set(true);
    tracing::info!(part = "server", active = entry.active.get(), "stopping");
    tokio::time::sleep(BALANCER).await;
    let _ = closed.send(true);
    let end = begun + entry.bounds.get().grace.saturating_sub(MARGIN);
    while entry.active.get() > 0 && tokio::time::Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // The last bytes of answers are written by tasks that have not run yet.
    tokio::time::sleep(Duration::from_millis(50)).await;
    entry.stopped.set(true);
    tracing::info!(part = "server", active = entry.active.get(), "stopped");
}
