use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use ebonylug_dispatch::TargetKey;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Time to establish a connection. A lost first packet is sent again after a second, which is too
/// late for most requests; another target is tried instead.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for which a peer may leave sent bytes without acknowledgement.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Idle time after which a connection is probed.
const PROBE_IDLE: Duration = Duration::from_secs(1);
/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without answer after which a connection is dead.
const PROBES: u32 = 2;
/// How long an idle connection is kept if the target states no timeout.
const IDLE: Duration = Duration::from_millis(1_500);
/// Part of the stated timeout for which an idle connection is kept.
const IDLE_PART: f64 = 0.6;
/// Idle connections for each target.
const MAX_IDLE: usize = 16;

/// A connection to a target.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Closes the socket at once, so that the target stops working on the request.
        self.task.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// Idle connections to targets.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<TargetKey, Vec<Idle>>>,
}

/// A connection that a request uses. Dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct Lease {
    target: TargetKey,
    connection: Connection,
    kept: bool,
    idle: Duration,
}

/// How a send failed, by what it proves.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// No connection could be made.
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    /// The connection was closed before the request was written.
    #[error("the connection was closed before the request was sent")]
    Unsent,
    /// The request may have been read.
    #[error("no answer: {0}")]
    Lost(hyper::Error),
}

pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

impl Pool {
    /// Returns an idle connection, or makes one.
    pub(crate) async fn lease(&self, target: TargetKey, address: SocketAddr) -> Result<Lease> {
        if let Some(connection) = self.take(target) {
            return Ok(Lease {
                target,
                connection,
                kept: true,
                idle: IDLE,
            });
        }
        let connection = connect(address).await.map_err(Error::Connect)?;
        Ok(Lease {
            target,
            connection,
            kept: false,
            idle: IDLE,
        })
    }

    fn take(&self, target: TargetKey) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&target)?;
        while let Some(Idle { connection, until }) = connections.pop() {
            if until > now && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read whole, unless `most` idle ones are kept already.
    pub(crate) fn give_back(&self, lease: Lease, most: usize) {
        let Lease {
            target,
            connection,
            idle: time,
            ..
        } = lease;
        if time.is_zero() || connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(target).or_default();
        if connections.len() < most.min(MAX_IDLE) {
            let until = Instant::now() + time;
            connections.push(Idle { connection, until });
        }
    }

    /// Closes connections that were idle for long.
    pub(crate) fn expire(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

impl Lease {
    pub(crate) fn target(&self) -> TargetKey {
        self.target
    }

    /// Reports whether the connection has served another request.
    pub(crate) fn is_kept(&self) -> bool {
        self.kept
    }

    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>> {
        let sender = &mut self.connection.sender;
        if sender.ready().await.is_err() {
            return Err(Error::Unsent);
        }
        match sender.try_send_request(request).await {
            Ok(response) => {
                self.idle = idle_time(response.headers());
                Ok(response)
            }
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Error::Unsent),
                None => Err(Error::Lost(error.into_error())),
            },
        }
    }
}

/// Returns how long a connection may be idle after an answer.
fn idle_time(headers: &HeaderMap) -> Duration {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    if text("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return Duration::ZERO;
    }
    let stated = text("keep-alive").and_then(|value| {
        let mut fields = value.split(',').map(str::trim);
        fields.find_map(|field| field.strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    match stated {
        Some(seconds) => Duration::from_secs(seconds).mul_f64(IDLE_PART),
        None => IDLE,
    }
}

/// Connects to a target, or to another entry.
pub(crate) async fn connect(address: SocketAddr) -> std::io::Result<Connection> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    watch(&stream, SILENCE)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        // The error is also reported to the request that uses the connection.
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
    })
}

/// Makes a silent peer show as an error: probes when idle, and a bound on unacknowledged bytes.
pub(crate) fn watch(stream: &TcpStream, silence: Duration) -> std::io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_IDLE)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(silence))
}
