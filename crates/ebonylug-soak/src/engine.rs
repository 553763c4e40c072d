//! A fake engine, run as a separate process. Writes a JSON line to standard output for each request that it starts.

use std::cell::Cell;
use std::convert::Infallible;
use std::io::Write;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ebonylug_adapter::headers;
use ebonylug_direct::Dialect;
use futures_util::stream::{self, Stream};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use crate::history::{Arrival, Execution, now};

/// Maximum number of concurrent requests. Further ones are rejected as not run.
const SLOTS: u32 = 12;
/// Streams whose request id is a multiple of this are truncated in the middle of an event.
const TRUNCATION_PERIOD: u64 = 20;
/// Path of status checks.
pub(crate) const HEALTH_PATH: &str = "/health";
/// Time for which an engine is cold.
pub(crate) const COLD_TIME: Duration = Duration::from_secs(4);
/// Time until a complete response, and between the events of a stream.
const RESPONSE_DELAY: Duration = Duration::from_millis(20);

type EventStream = Pin<Box<dyn Stream<Item = std::io::Result<Frame<Bytes>>>>>;
type Body = Either<Full<Bytes>, StreamBody<EventStream>>;

/// Shared state of an engine process.
#[derive(Clone)]
pub struct Engine {
    name: Rc<str>,
    dialect: Rc<Dialect>,
    /// The number of requests in progress.
    running: Rc<Cell<u32>>,
    /// Whether the engine says in its responses that it leaves.
    leaving: Rc<Cell<bool>>,
    /// The time until which the engine is cold.
    cold_until: Rc<Cell<Option<Instant>>>,
}

/// Frees a slot when dropped.
struct SlotGuard(Rc<Cell<u32>>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Returns the expected body of the response to a request that is not a stream.
#[must_use]
pub fn response_body(id: u64, size: u64) -> String {
    format!("answer to {id:x};").repeat(usize::try_from(size).unwrap_or(1))
}

/// Returns the expected event of this number in the response to a stream request.
#[must_use]
pub fn event_text(id: u64, number: u64) -> String {
    format!("id: {number}\ndata: piece {number} for {id:x}\n\n")
}

/// Returns the body that callers send with a request.
#[must_use]
pub fn request_body(id: u64) -> String {
    format!("question {id:x}")
}

/// Serves requests from entries until the process is killed. The engine is cold at first for this time. After
/// SIGUSR1, all responses say that the engine leaves. SIGUSR2 turns it cold.
///
/// # Errors
///
/// Fails if the engine cannot listen on the address or accept a connection.
pub async fn serve(name: &str, address: SocketAddr, cold: Duration) -> std::io::Result<()> {
    let engine = Engine {
        name: name.into(),
        dialect: Rc::new(headers::dialect()),
        running: Rc::default(),
        leaving: Rc::default(),
        cold_until: Rc::new(Cell::new(Some(Instant::now() + cold))),
    };
    let mut chill = signal(SignalKind::user_defined2())?;
    let cold_until = Rc::clone(&engine.cold_until);
    tokio::task::spawn_local(async move {
        while chill.recv().await.is_some() {
            cold_until.set(Some(Instant::now() + COLD_TIME));
        }
    });
    let mut leave = signal(SignalKind::user_defined1())?;
    let leaving = Rc::clone(&engine.leaving);
    tokio::task::spawn_local(async move {
        leave.recv().await;
        leaving.set(true);
    });
    let listener = TcpListener::bind(address).await?;
    loop {
        let (stream, _) = listener.accept().await?;
        let engine = engine.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let engine = engine.clone();
                async move { Ok::<_, Infallible>(engine.handle(request).await) }
            });
            // An error means that the entry has closed the connection.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

impl Engine {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let text = |name: &HeaderName| parts.headers.get(name)?.to_str().ok();
        if parts.method == Method::GET && parts.uri.path() == HEALTH_PATH {
            return self.check_health(text(&self.dialect.expected_target));
        }
        let id = text(&self.dialect.request_id).and_then(|text| u64::from_str_radix(text, 16).ok());
        let Some(id) = id else {
            return self.reject(0, StatusCode::BAD_REQUEST);
        };
        if text(&self.dialect.expected_target) != Some(&*self.name) {
            return self.reject(id, StatusCode::MISDIRECTED_REQUEST);
        }
        if !self.cold_left().is_zero() {
            write_line(&Arrival {
                id,
                engine: self.name.to_string(),
                at: now(),
            });
        }
        if self.running.get() >= SLOTS {
            return self.reject(id, StatusCode::SERVICE_UNAVAILABLE);
        }
        self.running.set(self.running.get() + 1);
        let slot = SlotGuard(Rc::clone(&self.running));
        let body = body.collect().await.map(|body| body.to_bytes());
        let last_id = text(&self.dialect.last_event).and_then(|text| text.parse().ok());
        let mut path = parts.uri.path().trim_start_matches('/').split('/');
        let stream = path
            .next()
            .is_some_and(|word| word.contains("stream") || word.contains("resumable"));
        let size = path.next().and_then(|text| text.parse().ok()).unwrap_or(1);
        // A resumed stream is not truncated again.
        let truncate = stream && id.is_multiple_of(TRUNCATION_PERIOD) && last_id.is_none();
        let execution = Execution {
            id,
            engine: self.name.to_string(),
            started: now(),
            last_event: last_id.unwrap_or(0),
            mismatch: find_mismatch(&self.dialect, id, &parts.headers, body.as_deref().ok()),
            truncated: truncate,
            leaving: self.leaving.get(),
        };
        write_line(&execution);
        let body = if stream {
            event_stream(id, last_id.unwrap_or(0), size, truncate, slot)
        } else {
            tokio::time::sleep(RESPONSE_DELAY).await;
            Either::Left(Full::new(response_body(id, size).into()))
        };
        let mut response = Response::new(body);
        let signature = HeaderValue::from_static("signed");
        response
            .headers_mut()
            .insert(&self.dialect.signature, signature);
        if execution.leaving {
            let value = HeaderValue::from_static("1");
            response.headers_mut().insert(&self.dialect.leaving, value);
        }
        self.set_request_id(id, &mut response);
        response
    }

    fn cold_left(&self) -> Duration {
        let until = self.cold_until.get();
        until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    /// Answers a status check, which needs a free slot as any request.
    fn check_health(&self, expected: Option<&str>) -> Response<Body> {
        let mut response = Response::new(Either::Left(Full::default()));
        *response.status_mut() = if expected.is_some_and(|name| name != &*self.name) {
            StatusCode::MISDIRECTED_REQUEST
        } else if self.leaving.get() || self.running.get() >= SLOTS {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            StatusCode::OK
        };
        if let Ok(name) = HeaderValue::from_str(&self.name) {
            response.headers_mut().insert("instance-id", name);
        }
        let cold = u64::try_from(self.cold_left().as_millis()).unwrap_or(u64::MAX);
        response
            .headers_mut()
            .insert(&self.dialect.cold_time, HeaderValue::from(cold));
        response
    }

    /// Returns a response which states that the request was not run.
    fn reject(&self, id: u64, status: StatusCode) -> Response<Body> {
        let mut response = Response::new(Either::Left(Full::default()));
        *response.status_mut() = status;
        let value = HeaderValue::from_static("1");
        response.headers_mut().insert(&self.dialect.not_run, value);
        self.set_request_id(id, &mut response);
        response
    }

    fn set_request_id(&self, id: u64, response: &mut Response<Body>) {
        if let Ok(id) = HeaderValue::from_str(&format!("{id:x}")) {
            response.headers_mut().insert(&self.dialect.request_id, id);
        }
    }
}

/// Returns the difference from the request that the caller sent, if any.
fn find_mismatch(
    dialect: &Dialect,
    id: u64,
    headers: &HeaderMap,
    body: Option<&[u8]>,
) -> Option<String> {
    if headers.contains_key(header::AUTHORIZATION) {
        return Some("the key was passed on".into());
    }
    if !headers.contains_key(&dialect.deadline) {
        return Some("no deadline".into());
    }
    match body {
        // The entry closed the connection before the body was complete.
        None => None,
        Some(body) if body == request_body(id).as_bytes() => None,
        Some(body) => Some(format!("body {:?}", String::from_utf8_lossy(body))),
    }
}

/// Streams events up to the last one, or to the middle of the second event if the stream is truncated.
fn event_stream(id: u64, last_id: u64, last: u64, truncate: bool, slot: SlotGuard) -> Body {
    let events = stream::unfold((last_id, slot), move |(before, slot)| async move {
        if before >= last {
            return None;
        }
        tokio::time::sleep(RESPONSE_DELAY).await;
        let text = event_text(id, before + 1);
        let chunk = match (truncate, before) {
            (true, 1) => Ok(text[..text.len() / 2].to_owned()),
            (true, 2..) => Err(std::io::Error::other("stream truncated on purpose")),
            _ => Ok(text),
        };
        Some((
            chunk.map(|text| Frame::data(text.into())),
            (before + 1, slot),
        ))
    });
    Either::Right(StreamBody::new(Box::pin(events)))
}

/// Writes and flushes a line, so that it is not lost if the process is killed.
fn write_line(record: &impl Serialize) {
    let mut line = serde_json::to_vec(record).unwrap_or_default();
    line.push(b'\n');
    let mut output = std::io::stdout().lock();
    // Writing fails only if the soak test has exited, which also ends this process.
    let _ = output.write_all(&line).and_then(|()| output.flush());
}
