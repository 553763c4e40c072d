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

use crate::read_limits::{ExchangeState, LimitedStream};

/// Timeout for establishing a connection. A lost SYN is retransmitted only after one second, which is
/// too late for most requests, so another target is tried instead.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for which sent bytes may stay unacknowledged before the connection fails.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time before the first TCP keep-alive probe.
const PROBE_IDLE: Duration = Duration::from_secs(1);
/// Time between two keep-alive probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection fails.
const MAX_PROBES: u32 = 2;
/// How long an idle connection is kept if the target's response has no `keep-alive` timeout.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(1_500);
/// The longest time for which an idle connection is kept. A faulty target may announce any time.
const MAX_IDLE_TIME: Duration = Duration::from_secs(300);
/// Fraction of the target's `keep-alive` timeout for which an idle connection is kept.
const IDLE_FRACTION: f64 = 0.6;
/// The largest read buffer of a connection, which also limits the size of one head.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// The maximum number of idle connections per target.
const MAX_IDLE: usize = 16;

/// A connection to a target.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    exchange: ExchangeState,
    task: AbortHandle,
    address: SocketAddr,
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

/// Idle connections to targets, kept for reuse.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<TargetKey, Vec<Idle>>>,
}

/// A connection in use by a request. Dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    target: TargetKey,
    connection: Connection,
    reused: bool,
    /// How long the connection may stay idle after its response.
    idle_time: Duration,
}

/// Why a send failed. Only after [`Error::Lost`] and [`Error::Malformed`] may the request have run.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// No connection could be made.
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    /// The connection closed before the request was written.
    #[error("the connection was closed before the request was sent")]
    Unsent,
    /// The target may have read the request.
    #[error("no response: {0}")]
    Lost(hyper::Error),
    /// The target sent bytes that are no response, or too many of them.
    #[error("no valid response: {0}")]
    Malformed(hyper::Error),
}

pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;

impl Pool {
    /// Returns an idle connection, or opens a new one.
    pub(crate) async fn acquire(
        &self,
        target: TargetKey,
        address: SocketAddr,
    ) -> Result<PooledConnection> {
        if let Some(connection) = self.take(target, address) {
            return Ok(PooledConnection {
                target,
                connection,
                reused: true,
                idle_time: DEFAULT_IDLE_TIME,
            });
        }
        self.open(target, address).await
    }

    /// Opens a new connection.
    pub(crate) async fn open(
        &self,
        target: TargetKey,
        address: SocketAddr,
    ) -> Result<PooledConnection> {
        let connection = connect(address).await.map_err(Error::Connect)?;
        Ok(PooledConnection {
            target,
            connection,
            reused: false,
            idle_time: DEFAULT_IDLE_TIME,
        })
    }

    /// Returns an idle connection to a target that is at `address` now.
    fn take(&self, target: TargetKey, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&target)?;
        while let Some(Idle { connection, until }) = connections.pop() {
            // An earlier start of the target may still accept requests at another address.
            let is_current = connection.address == address;
            if until > now && is_current && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Puts a connection back into the pool after its response was read to the end. Closes it instead if
    /// `max_idle` connections to its target are idle already.
    pub(crate) fn release(&self, pooled: PooledConnection, max_idle: usize) {
        let PooledConnection {
            target,
            connection,
            idle_time,
            ..
        } = pooled;
        if idle_time.is_zero() || connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(target).or_default();
        if connections.len() < max_idle.min(MAX_IDLE) {
            let until = Instant::now() + idle_time;
            connections.push(Idle { connection, until });
        }
    }

    /// Closes connections that have exceeded their idle time.
    pub(crate) fn expire(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

impl PooledConnection {
    pub(crate) fn target(&self) -> TargetKey {
        self.target
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.connection.address
    }

    /// Reports whether the target has closed the connection.
    pub(crate) fn is_closed(&self) -> bool {
        self.connection.sender.is_closed()
    }

    /// Reports whether the connection has served an earlier request.
    pub(crate) fn is_reused(&self) -> bool {
        self.reused
    }

    /// Makes [`Pool::release`] close the connection.
    pub(crate) fn close_after_use(&mut self) {
        self.idle_time = Duration::ZERO;
    }

    /// Reports whether the target has taken the whole request and then closed the connection without an error.
    pub(crate) fn is_complete(&self) -> bool {
        self.connection.exchange.is_complete()
    }

    /// Sends a request and waits for the head of the response, which may have `max_head` bytes.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        max_head: usize,
    ) -> Result<Response<Incoming>> {
        let Connection {
            sender, exchange, ..
        } = &mut self.connection;
        if sender.ready().await.is_err() {
            return Err(Error::Unsent);
        }
        exchange.start(max_head);
        match sender.try_send_request(request).await {
            Ok(response) => {
                exchange.finish_head();
                self.idle_time = idle_time(response.headers());
                Ok(response)
            }
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Error::Unsent),
                None => {
                    let error = error.into_error();
                    if error.is_parse() || exchange.is_exceeded() {
                        return Err(Error::Malformed(error));
                    }
                    Err(Error::Lost(error))
                }
            },
        }
    }
}

/// Returns how long a connection may stay idle after a response with these headers.
fn idle_time(headers: &HeaderMap) -> Duration {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    if text("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return Duration::ZERO;
    }
    let announced = text("keep-alive").and_then(|value| {
        let mut fields = value.split(',').map(str::trim);
        fields.find_map(|field| field.strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    match announced {
        Some(seconds) => {
            let time = Duration::from_secs(seconds).mul_f64(IDLE_FRACTION);
            time.min(MAX_IDLE_TIME)
        }
        None => DEFAULT_IDLE_TIME,
    }
}

/// Opens a connection to a target or to another entry.
pub(crate) async fn connect(address: SocketAddr) -> std::io::Result<Connection> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    set_keepalive(&stream, ACK_TIMEOUT)?;
    let exchange = ExchangeState::default();
    let stream = LimitedStream::new(stream, exchange.clone());
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        // The request that uses the connection receives the error as well.
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        exchange,
        task: task.abort_handle(),
        address,
    })
}

/// Makes connections to an unresponsive host fail: sends probes while idle, and limits the time that
/// bytes may stay unacknowledged.
pub(crate) fn set_keepalive(stream: &TcpStream, ack_timeout: Duration) -> std::io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_IDLE)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(ack_timeout))
}
