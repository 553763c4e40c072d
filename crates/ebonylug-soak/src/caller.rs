//! Callers that send requests and check what they get.

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

use crate::engine::{answer, event, question};
use crate::notes::{Ask, End, Sort, now};

/// The host of all routes.
pub(crate) const HOST: &str = "soak.example";
/// The time limit of requests, which is that of the routes as well.
pub(crate) const LIMIT: Duration = Duration::from_secs(3);
/// Time after the limit at which a caller gives up. Answers are due half a second after the limit; the rest is
/// for a machine with other work.
const HUNG: Duration = Duration::from_millis(1_500);
/// The number of keys.
pub(crate) const KEYS: usize = 10;
/// The share of requests that callers leave early.
const LEAVE: f64 = 0.02;

/// What all callers share.
pub(crate) struct Shared {
    pub(crate) dialect: Dialect,
    /// Entries that can be reached, with the number of their start.
    pub(crate) entries: watch::Receiver<BTreeMap<usize, (SocketAddr, u32)>>,
    /// The version of the newest configuration that adds a route.
    pub(crate) newest: AtomicU64,
    pub(crate) next: AtomicU64,
    pub(crate) asks: mpsc::UnboundedSender<Ask>,
}

/// Returns the text of a key.
pub(crate) fn key(number: usize) -> String {
    format!("key-{number}")
}

impl Shared {
    pub(crate) fn new(
        entries: watch::Receiver<BTreeMap<usize, (SocketAddr, u32)>>,
        asks: mpsc::UnboundedSender<Ask>,
    ) -> Arc<Self> {
        Arc::new(Shared {
            dialect: headers::dialect(),
            entries,
            newest: AtomicU64::new(0),
            next: AtomicU64::new(1),
            asks,
        })
    }
}

/// A connection to an entry.
struct Open {
    entry: (usize, u32),
    sender: SendRequest<Full<Bytes>>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Sends requests one after the other until told to stop. A connection is used until it is gone.
pub(crate) async fn run(shared: Arc<Shared>, seed: u64, mut stop: watch::Receiver<bool>) {
    /// Mean time between two requests of a caller.
    const PAUSE: Duration = Duration::from_millis(150);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut open: Option<Open> = None;
    while !*stop.borrow_and_update() {
        tokio::time::sleep(PAUSE.mul_f64(rng.random_range(0.2..1.8))).await;
        if open.as_ref().is_none_or(|open| open.sender.is_closed()) {
            open = match connect(&shared, rng.random()).await {
                Connected::Open(open) => Some(open),
                Connected::Refused(entry) => {
                    let plan = Plan::draw(&shared, &mut rng);
                    let _ = shared.asks.send(plan.ended(entry, now(), End::Refused));
                    None
                }
                Connected::No => None,
            };
        }
        let Some(connection) = &mut open else {
            continue;
        };
        let plan = Plan::draw(&shared, &mut rng);
        let (ask, keep) = plan.send(&shared, connection).await;
        // The receiver goes only with the play.
        let _ = shared.asks.send(ask);
        if !keep {
            open = None;
        }
    }
}

/// What became of a connection.
enum Connected {
    Open(Open),
    /// The entry, which the balancer still names, refused it.
    Refused((usize, u32)),
    No,
}

async fn connect(shared: &Shared, draw: u64) -> Connected {
    let chosen = {
        let entries = shared.entries.borrow();
        let number = (draw as usize) % entries.len().max(1);
        entries
            .iter()
            .nth(number)
            .map(|(place, entry)| (*place, *entry))
    };
    let Some((place, (address, start))) = chosen else {
        return Connected::No;
    };
    let stream = tokio::time::timeout(Duration::from_secs(1), TcpStream::connect(address));
    let stream = match stream.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            let named = shared.entries.borrow().get(&place) == Some(&(address, start));
            return if named {
                Connected::Refused((place, start))
            } else {
                Connected::No
            };
        }
        Ok(Err(_)) | Err(_) => return Connected::No,
    };
    // Without it, small parts only arrive later.
    let _ = stream.set_nodelay(true);
    let Ok((sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return Connected::No;
    };
    let task = tokio::spawn(async move {
        // The request sees the error as well.
        let _ = connection.await;
    });
    Connected::Open(Open {
        entry: (place, start),
        sender,
        task,
    })
}

/// A request that is about to be sent.
struct Plan {
    id: u64,
    sort: Sort,
    route: u64,
    key: usize,
    /// Parts of the answer.
    size: u64,
    /// When the caller leaves.
    leave: Option<Duration>,
}

impl Plan {
    fn draw(shared: &Shared, rng: &mut ChaCha8Rng) -> Self {
        let newest = shared.newest.load(Ordering::Relaxed);
        let sort = Sort::ALL[rng.random_range(0..Sort::ALL.len())];
        let route = if newest > 0 && rng.random_bool(0.2) {
            newest
        } else {
            0
        };
        Plan {
            id: shared.next.fetch_add(1, Ordering::Relaxed),
            // Routes that are added later are safe ones.
            sort: if route > 0 { Sort::Safe } else { sort },
            route,
            key: rng.random_range(0..KEYS),
            size: rng.random_range(1..100),
            leave: rng
                .random_bool(LEAVE)
                .then(|| Duration::from_millis(rng.random_range(1..300))),
        }
    }

    /// Returns what came of the request.
    fn ended(&self, entry: (usize, u32), sent: u64, end: End) -> Ask {
        Ask {
            id: self.id,
            sort: self.sort,
            route: self.route,
            entry,
            key: self.key,
            sent,
            ended: now(),
            end,
        }
    }

    fn path(&self) -> String {
        match self.route {
            0 => format!("/{}/{}", self.sort.as_str(), self.size),
            route => format!("/added-{route}/{}", self.size),
        }
    }

    fn request(&self, dialect: &Dialect) -> Request<Full<Bytes>> {
        let body = Full::new(question(self.id).into());
        let request = Request::post(self.path())
            .header(header::HOST, HOST)
            .header(&dialect.request_id, format!("{:x}", self.id))
            .header(&dialect.deadline, LIMIT.as_millis().to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", key(self.key)));
        request.body(body).expect("all parts are valid")
    }

    /// Sends the request. Returns what came of it, and whether the connection can be used again.
    async fn send(self, shared: &Shared, open: &mut Open) -> (Ask, bool) {
        let request = self.request(&shared.dialect);
        let sent = now();
        let exchange = tokio::time::timeout(LIMIT + HUNG, self.exchange(shared, open, request));
        let (end, keep) = match self.leave {
            None => exchange.await.unwrap_or((End::Hung, false)),
            Some(time) => match tokio::time::timeout(time, exchange).await {
                Ok(ended) => ended.unwrap_or((End::Hung, false)),
                Err(_) => (End::Left, false),
            },
        };
        (self.ended(open.entry, sent, end), keep)
    }

    async fn exchange(
        &self,
        shared: &Shared,
        open: &mut Open,
        request: Request<Full<Bytes>>,
    ) -> (End, bool) {
        if open.sender.ready().await.is_err() {
            return (End::Unsent, false);
        }
        let response = match open.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                let end = match error.take_message() {
                    Some(_) => End::Unsent,
                    None => End::Cut { wrong: None },
                };
                return (end, false);
            }
        };
        self.read(&shared.dialect, response).await
    }

    async fn read(&self, dialect: &Dialect, response: Response<Incoming>) -> (End, bool) {
        let (head, mut body) = response.into_parts();
        let mut text = Vec::new();
        let whole = loop {
            match body.frame().await {
                None => break true,
                Some(Err(_)) => break false,
                Some(Ok(frame)) => text.extend(frame.into_data().unwrap_or_default()),
            }
        };
        let keep = whole && !closes(&head.headers);
        let signed = head.headers.contains_key(&dialect.signature);
        if !head.status.is_success() {
            let code = head.status.as_u16();
            return (End::Status { code, signed }, keep);
        }
        let wrong = self.check(dialect, &head, &text, whole);
        match whole {
            true => (End::Served { wrong }, keep),
            false => (End::Cut { wrong }, false),
        }
    }

    /// Returns what is wrong with an answer, or with the part of it that came.
    fn check(&self, dialect: &Dialect, head: &Parts, body: &[u8], whole: bool) -> Option<String> {
        let echoed = head.headers.get(&dialect.request_id);
        if echoed.is_none_or(|id| id.as_bytes() != format!("{:x}", self.id).as_bytes()) {
            return Some(format!("the answer of {echoed:?}"));
        }
        if !head.headers.contains_key(&dialect.signature) {
            return Some("a success without signature".into());
        }
        let expected = match self.sort.is_stream() {
            true => (1..=self.size)
                .map(|number| event(self.id, number))
                .collect(),
            false => answer(self.id, self.size),
        };
        let right = match whole {
            true => body == expected.as_bytes(),
            false => expected.as_bytes().starts_with(body),
        };
        (!right).then(|| format!("body {:?}", String::from_utf8_lossy(body)))
    }
}

fn closes(headers: &HeaderMap) -> bool {
    let value = headers.get(header::CONNECTION);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}
