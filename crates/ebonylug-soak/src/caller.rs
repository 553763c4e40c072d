//! Callers, which send requests and check the responses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use ebonylug_adapter::headers;
use ebonylug_direct::Dialect;
use http::response::Parts;
use http::{HeaderMap, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

use crate::checker::FIRST_LIMITED_KEY;
use crate::engine::{event_text, request_body, response_body};
use crate::history::{Outcome, RequestKind, RequestRecord, now};

/// Host of all routes.
pub(crate) const HOST: &str = "soak.example";
/// Deadline of requests, equal to the timeout of the routes.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after the request timeout at which a caller gives up. Responses are due within 0.5 s of the timeout; the rest
/// allows for a loaded machine.
const RESPONSE_MARGIN: Duration = Duration::from_millis(1_500);
/// Number of API keys.
pub(crate) const KEY_COUNT: usize = 10;
/// Fraction of the requests that callers cancel.
const CANCEL_RATIO: f64 = 0.02;

/// State shared by all callers.
pub(crate) struct SharedState {
    pub(crate) dialect: Dialect,
    /// Entries that the load balancer lists, with address and generation.
    pub(crate) entries: watch::Receiver<BTreeMap<usize, (SocketAddr, u32)>>,
    /// Version of the latest configuration that adds a route; 0 if there is none.
    pub(crate) newest_route: AtomicU64,
    pub(crate) next_id: AtomicU64,
    pub(crate) records: mpsc::UnboundedSender<RequestRecord>,
}

/// Returns the API key of an index.
pub(crate) fn key(number: usize) -> String {
    format!("key-{number}")
}

impl SharedState {
    pub(crate) fn new(
        entries: watch::Receiver<BTreeMap<usize, (SocketAddr, u32)>>,
        records: mpsc::UnboundedSender<RequestRecord>,
    ) -> Arc<Self> {
        Arc::new(SharedState {
            dialect: headers::dialect(),
            entries,
            newest_route: AtomicU64::new(0),
            next_id: AtomicU64::new(1),
            records,
        })
    }
}

/// A connection to an entry.
struct Connection {
    entry: (usize, u32),
    sender: SendRequest<Full<Bytes>>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What a caller sends, and how often.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pace {
    /// All kinds of requests.
    Mixed,
    /// Short requests that may run more than once, with short pauses.
    Brisk,
}

impl Pace {
    /// Returns the mean time between requests of a caller.
    fn mean_pause(self) -> Duration {
        match self {
            Pace::Mixed => Duration::from_millis(150),
            Pace::Brisk => Duration::from_millis(40),
        }
    }

    fn plan(self, shared: &SharedState, rng: &mut ChaCha8Rng) -> PlannedRequest {
        match self {
            Pace::Mixed => PlannedRequest::draw(shared, rng),
            Pace::Brisk => PlannedRequest {
                id: shared.next_id.fetch_add(1, Ordering::Relaxed),
                kind: RequestKind::Safe,
                route_version: 0,
                // The only key without a quota that is never revoked.
                key: FIRST_LIMITED_KEY - 1,
                size: 1,
                cancel_after: None,
            },
        }
    }
}

/// Sends requests one after the other until stopped. Reuses a connection until it closes.
pub(crate) async fn run(
    shared: Arc<SharedState>,
    seed: u64,
    pace: Pace,
    mut stop: watch::Receiver<bool>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut connection: Option<Connection> = None;
    while !*stop.borrow_and_update() {
        tokio::time::sleep(pace.mean_pause().mul_f64(rng.random_range(0.2..1.8))).await;
        if connection
            .as_ref()
            .is_none_or(|open| open.sender.is_closed())
        {
            connection = match connect(&shared, rng.random()).await {
                ConnectOutcome::Connected(open) => Some(open),
                ConnectOutcome::Refused(entry) => {
                    let planned = pace.plan(&shared, &mut rng);
                    let _ = shared
                        .records
                        .send(planned.record(entry, now(), Outcome::Refused));
                    None
                }
                ConnectOutcome::Unavailable => None,
            };
        }
        let Some(open) = &mut connection else {
            continue;
        };
        let planned = pace.plan(&shared, &mut rng);
        let (record, reusable) = planned.send(&shared, open).await;
        // Sending fails only after the run has ended.
        let _ = shared.records.send(record);
        if !reusable {
            connection = None;
        }
    }
}

/// Outcome of an attempt to connect.
enum ConnectOutcome {
    Connected(Connection),
    /// The entry refused the connection while the load balancer still listed it.
    Refused((usize, u32)),
    /// No entry is listed, or the connection failed for a reason that violates no guarantee.
    Unavailable,
}

async fn connect(shared: &SharedState, draw: u64) -> ConnectOutcome {
    let chosen = {
        let entries = shared.entries.borrow();
        let number = (draw as usize) % entries.len().max(1);
        entries
            .iter()
            .nth(number)
            .map(|(index, entry)| (*index, *entry))
    };
    let Some((index, (address, generation))) = chosen else {
        return ConnectOutcome::Unavailable;
    };
    let stream = tokio::time::timeout(Duration::from_secs(1), TcpStream::connect(address));
    let stream = match stream.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            let still_listed = shared.entries.borrow().get(&index) == Some(&(address, generation));
            return if still_listed {
                ConnectOutcome::Refused((index, generation))
            } else {
                ConnectOutcome::Unavailable
            };
        }
        Ok(Err(_)) | Err(_) => return ConnectOutcome::Unavailable,
    };
    // Without this option, Nagle's algorithm only delays small writes.
    let _ = stream.set_nodelay(true);
    let Ok((sender, driver)) = http1::handshake(TokioIo::new(stream)).await else {
        return ConnectOutcome::Unavailable;
    };
    let task = tokio::spawn(async move {
        // The request reports the error as well.
        let _ = driver.await;
    });
    ConnectOutcome::Connected(Connection {
        entry: (index, generation),
        sender,
        task,
    })
}

/// A request that is drawn but not sent yet.
struct PlannedRequest {
    id: u64,
    kind: RequestKind,
    route_version: u64,
    key: usize,
    /// Number of parts in the response: events of a stream, or repetitions of the text.
    size: u64,
    /// Time after which the caller cancels the request.
    cancel_after: Option<Duration>,
}

impl PlannedRequest {
    fn draw(shared: &SharedState, rng: &mut ChaCha8Rng) -> Self {
        let newest_route = shared.newest_route.load(Ordering::Relaxed);
        let kind = RequestKind::ALL[rng.random_range(0..RequestKind::ALL.len())];
        let route_version = if newest_route > 0 && rng.random_bool(0.2) {
            newest_route
        } else {
            0
        };
        PlannedRequest {
            id: shared.next_id.fetch_add(1, Ordering::Relaxed),
            // Routes that are added later have the kind `Safe`.
            kind: if route_version > 0 {
                RequestKind::Safe
            } else {
                kind
            },
            route_version,
            key: rng.random_range(0..KEY_COUNT),
            size: rng.random_range(1..100),
            cancel_after: rng
                .random_bool(CANCEL_RATIO)
                .then(|| Duration::from_millis(rng.random_range(1..300))),
        }
    }

    /// Returns the record of the request with its outcome.
    fn record(&self, entry: (usize, u32), sent: u64, outcome: Outcome) -> RequestRecord {
        RequestRecord {
            id: self.id,
            kind: self.kind,
            route_version: self.route_version,
            entry,
            key: self.key,
            sent,
            ended: now(),
            outcome,
        }
    }

    fn path(&self) -> String {
        match self.route_version {
            0 => format!("/{}/{}", self.kind.as_str(), self.size),
            route_version => format!("/added-{route_version}/{}", self.size),
        }
    }

    fn request(&self, dialect: &Dialect) -> Request<Full<Bytes>> {
        let body = Full::new(request_body(self.id).into());
        let request = Request::post(self.path())
            .header(header::HOST, HOST)
            .header(&dialect.request_id, format!("{:x}", self.id))
            .header(&dialect.deadline, REQUEST_TIMEOUT.as_millis().to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", key(self.key)));
        request.body(body).expect("the request parts are valid")
    }

    /// Sends the request. Returns its record, and whether the connection can be reused.
    async fn send(self, shared: &SharedState, open: &mut Connection) -> (RequestRecord, bool) {
        let request = self.request(&shared.dialect);
        let sent = now();
        let exchange = tokio::time::timeout(
            REQUEST_TIMEOUT + RESPONSE_MARGIN,
            self.exchange(shared, open, request),
        );
        let (outcome, reusable) = match self.cancel_after {
            None => exchange.await.unwrap_or((Outcome::Hung, false)),
            Some(time) => match tokio::time::timeout(time, exchange).await {
                Ok(result) => result.unwrap_or((Outcome::Hung, false)),
                Err(_) => (Outcome::Left, false),
            },
        };
        (self.record(open.entry, sent, outcome), reusable)
    }

    async fn exchange(
        &self,
        shared: &SharedState,
        open: &mut Connection,
        request: Request<Full<Bytes>>,
    ) -> (Outcome, bool) {
        if open.sender.ready().await.is_err() {
            return (Outcome::Unsent, false);
        }
        let response = match open.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                let outcome = match error.take_message() {
                    Some(_) => Outcome::Unsent,
                    None => Outcome::Cut { wrong: None },
                };
                return (outcome, false);
            }
        };
        self.read_response(&shared.dialect, response).await
    }

    async fn read_response(
        &self,
        dialect: &Dialect,
        response: Response<Incoming>,
    ) -> (Outcome, bool) {
        let (head, mut body) = response.into_parts();
        let mut text = Vec::new();
        let complete = loop {
            match body.frame().await {
                None => break true,
                Some(Err(_)) => break false,
                Some(Ok(frame)) => text.extend(frame.into_data().unwrap_or_default()),
            }
        };
        let reusable = complete && !requests_close(&head.headers);
        let signed = head.headers.contains_key(&dialect.signature);
        if !head.status.is_success() {
            let code = head.status.as_u16();
            return (Outcome::Status { code, signed }, reusable);
        }
        let mismatch = self.find_mismatch(dialect, &head, &text, complete);
        match complete {
            true => (Outcome::Served { wrong: mismatch }, reusable),
            false => (Outcome::Cut { wrong: mismatch }, false),
        }
    }

    /// Returns the difference of a response, or of its received part, from the expected response, if any.
    fn find_mismatch(
        &self,
        dialect: &Dialect,
        head: &Parts,
        body: &[u8],
        complete: bool,
    ) -> Option<String> {
        let echoed = head.headers.get(&dialect.request_id);
        if echoed.is_none_or(|id| id.as_bytes() != format!("{:x}", self.id).as_bytes()) {
            return Some(format!("the answer of {echoed:?}"));
        }
        if !head.headers.contains_key(&dialect.signature) {
            return Some("a success without signature".into());
        }
        let expected = match self.kind.is_stream() {
            true => (1..=self.size)
                .map(|number| event_text(self.id, number))
                .collect(),
            false => response_body(self.id, self.size),
        };
        let matches = match complete {
            true => body == expected.as_bytes(),
            false => expected.as_bytes().starts_with(body),
        };
        (!matches).then(|| format!("body {:?}", String::from_utf8_lossy(body)))
    }
}

fn requests_close(headers: &HeaderMap) -> bool {
    let value = headers.get(header::CONNECTION);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}
