use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use ebonylug_core::{AttemptId, Clock, End, Incarnation, Offer, Outcome, Reason, Refusal, Revoked};
use ebonylug_events::Stamp;
use ebonylug_net::client::{self, Client};
use ebonylug_net::frame::{Frame, Reader, Tail};
use ebonylug_net::key::SharedKey;
use ebonylug_net::rpc::SidecarLink;
use ebonylug_net::wire::{self, Refused};

use crate::sink::{HungUp, Sink};

/// Time for a sidecar to admit or refuse. It answers at once; the rest is for the body to travel.
const ADMISSION_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a frame after which a connection counts as silent: three keep-alive intervals.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Times that a sidecar is asked what became of an attempt.
const SETTLE_TRIES: u32 = 4;
/// Pause before the second question; it doubles each time.
const SETTLE_PAUSE: Duration = Duration::from_millis(100);
/// Bound on the body of a refusal, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 << 10;

/// A call of a caller, as it is passed to the target.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path and query at the target.
    pub path: Box<str>,
    /// The headers that are passed on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A sidecar, as entries reach it.
pub struct Peer {
    /// The address of the data path.
    pub data: SocketAddr,
    /// Control calls.
    pub link: SidecarLink,
    bearer: HeaderValue,
    client: Client,
    clock: Arc<dyn Clock>,
}

/// What is known of an attempt at a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fetched {
    /// The whole answer was read.
    Whole,
    /// The sidecar has not run the attempt.
    NotSeen,
    /// It has run, or may have, and there is no whole answer.
    Gone,
    /// The sidecar does not answer.
    Unreachable,
}

enum Step {
    Done(Outcome),
    /// The connection broke or went silent; what became of the attempt must be asked.
    Broken,
    HungUp,
}

impl Peer {
    /// Creates a peer; connections are made when they are needed.
    #[must_use]
    pub fn new(
        data: SocketAddr,
        control: SocketAddr,
        key: &SharedKey,
        client: Client,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let bearer = format!("Bearer {}", key.bearer());
        Peer {
            data,
            link: SidecarLink::new(control, key.clone()),
            bearer: HeaderValue::from_str(&bearer).expect("the token is hex"),
            client,
            clock,
        }
    }

    /// Runs one attempt and passes its answer to `sink`.
    ///
    /// The outcome is `Refused` only if it is proven that the request was not run. When a connection
    /// breaks or goes silent, the sidecar is asked over a new one: an attempt that it has not seen is
    /// revoked, and the answer of one that it runs is resumed from the byte where it broke off.
    pub async fn run(&self, offer: &Offer, call: &Call, sent: Stamp, sink: &mut Sink) -> Outcome {
        let mut run = Run {
            peer: self,
            offer,
            reading: Reading::new(sink, &*self.clock),
        };
        let mut step = run.dispatch(call, sent).await;
        loop {
            step = match step {
                Step::Done(outcome) => return outcome,
                Step::HungUp => return run.abandon().await,
                Step::Broken => run.settle().await,
            };
        }
    }

    /// Reads the whole answer of an attempt that this or another entry has sent.
    pub async fn fetch(
        &self,
        attempt: AttemptId,
        incarnation: Incarnation,
        sink: &mut Sink,
    ) -> Fetched {
        let path = format!("/attempts/{attempt}?offset=0");
        let mut request = Request::new(Full::default());
        *request.uri_mut() = self.uri(&path);
        let headers = request.headers_mut();
        headers.insert(header::AUTHORIZATION, self.bearer.clone());
        headers.insert(wire::INCARNATION, value(&incarnation.to_string()));
        let response = match self.client.send_unpooled(request, ADMISSION_TIMEOUT).await {
            Ok(response) => response,
            Err(_) => return Fetched::Unreachable,
        };
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Fetched::NotSeen,
            StatusCode::GONE => return Fetched::Gone,
            _ => return Fetched::Unreachable,
        }
        let mut reading = Reading::new(sink, &*self.clock);
        match reading.read(response.into_body()).await {
            Read::Frame(Frame::Tail(tail)) if tail.end == End::Answered => Fetched::Whole,
            Read::Frame(Frame::NotRun(_)) => Fetched::NotSeen,
            Read::Frame(_) => Fetched::Gone,
            Read::Broken | Read::HungUp => Fetched::Unreachable,
        }
    }

    fn uri(&self, path: &str) -> http::Uri {
        let uri = format!("http://{}{path}", self.data);
        uri.parse().expect("an address and a path make a URI")
    }
}

/// An attempt under way.
struct Run<'a> {
    peer: &'a Peer,
    offer: &'a Offer,
    reading: Reading<'a>,
}

impl Run<'_> {
    async fn dispatch(&mut self, call: &Call, sent: Stamp) -> Step {
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = self.peer.uri("/dispatch");
        *request.headers_mut() = call.headers.clone();
        let headers = request.headers_mut();
        headers.insert(wire::OFFER, wire::offer_header(self.offer));
        headers.insert(wire::STAMP, value(&sent.to_string()));
        headers.insert(wire::METHOD, value(call.method.as_str()));
        headers.insert(wire::PATH, value(&call.path));
        headers.insert(header::AUTHORIZATION, self.peer.bearer.clone());
        match self.peer.client.send(request, ADMISSION_TIMEOUT).await {
            Ok(response) => self.receive(response).await,
            Err(client::Error::Connect) => Step::Done(not_run(Reason::Down)),
            Err(_) => Step::Broken,
        }
    }

    async fn receive(&mut self, response: Response<Incoming>) -> Step {
        match response.status() {
            StatusCode::OK => self.read(response.into_body()).await,
            StatusCode::CONFLICT => refused(response.into_body(), self.reading.sink).await,
            // It has run, and its answer is no longer retained.
            StatusCode::GONE => Step::Done(Outcome::Failed),
            // Rejected before it reached admission.
            status if status.is_client_error() => Step::Done(not_run(Reason::Invalid)),
            _ => Step::Broken,
        }
    }

    /// Finds out what became of an attempt whose connection broke.
    async fn settle(&mut self) -> Step {
        let mut pause = SETTLE_PAUSE;
        for _ in 0..SETTLE_TRIES {
            let revoked = self
                .peer
                .link
                .revoke(self.offer.attempt, self.offer.incarnation)
                .await;
            match revoked {
                Ok(Revoked::NotRun) => return Step::Done(not_run(Reason::Revoked)),
                Ok(Revoked::Unknown) => return Step::Done(Outcome::Unknown),
                Ok(Revoked::Running | Revoked::Finished) => match self.resume().await {
                    Step::Broken => {}
                    step => return step,
                },
                Err(error) => {
                    tracing::warn!(attempt = %self.offer.attempt, %error, "entry: sidecar does not answer");
                }
            }
            tokio::time::sleep(pause).await;
            pause *= 2;
        }
        Step::Done(Outcome::Unknown)
    }

    async fn resume(&mut self) -> Step {
        let path = format!(
            "/attempts/{}?offset={}",
            self.offer.attempt, self.reading.offset
        );
        let mut request = Request::new(Full::default());
        *request.uri_mut() = self.peer.uri(&path);
        request
            .headers_mut()
            .insert(header::AUTHORIZATION, self.peer.bearer.clone());
        match self
            .peer
            .client
            .send_unpooled(request, ADMISSION_TIMEOUT)
            .await
        {
            Ok(response) if response.status() == StatusCode::OK => {
                self.read(response.into_body()).await
            }
            // The answer is no longer retained.
            Ok(_) => Step::Done(Outcome::Failed),
            Err(_) => Step::Broken,
        }
    }

    async fn read(&mut self, body: Incoming) -> Step {
        match self.reading.read(body).await {
            Read::Frame(Frame::NotRun(refused)) => {
                Step::Done(Outcome::Refused(refused.refusal, Some(refused.report)))
            }
            Read::Frame(Frame::Tail(tail)) => Step::Done(self.outcome(tail)),
            Read::Frame(_) | Read::Broken => Step::Broken,
            Read::HungUp => Step::HungUp,
        }
    }

    fn outcome(&self, tail: Tail) -> Outcome {
        match tail.end {
            End::Answered => Outcome::Answered,
            End::Cancelled if tail.preempted => Outcome::Preempted {
                // The tail counts the tokens of the whole request, the router those of an attempt.
                received: tail.tokens.saturating_sub(self.offer.offset),
            },
            End::Cancelled | End::Failed | End::Crashed => Outcome::Failed,
        }
    }

    async fn abandon(&self) -> Outcome {
        if let Err(error) = self.peer.link.cancel(self.offer.attempt).await {
            tracing::debug!(attempt = %self.offer.attempt, %error, "entry: cancel was not answered");
        }
        Outcome::Failed
    }
}

/// The answer of an attempt as it arrives, over one connection or several.
struct Reading<'a> {
    sink: &'a mut Sink,
    clock: &'a dyn Clock,
    /// Bytes of the answer's body that have arrived.
    offset: u64,
}

/// Why reading has ended.
enum Read {
    /// The last frame of the answer.
    Frame(Frame),
    /// The connection broke or went silent.
    Broken,
    HungUp,
}

impl<'a> Reading<'a> {
    fn new(sink: &'a mut Sink, clock: &'a dyn Clock) -> Self {
        Reading {
            sink,
            clock,
            offset: 0,
        }
    }

    /// Reads frames until the answer ends or the connection breaks.
    async fn read(&mut self, mut body: Incoming) -> Read {
        let mut reader = Reader::new();
        loop {
            match reader.next() {
                Ok(Some(frame)) => {
                    if let Some(end) = self.pass(frame).await {
                        return end;
                    }
                    continue;
                }
                Ok(None) => {}
                Err(error) => {
                    tracing::warn!(%error, "entry: frames cannot be read");
                    return Read::Broken;
                }
            }
            match tokio::time::timeout(SILENCE_TIMEOUT, body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Some(data) = frame.data_ref() {
                        reader.push(data);
                    }
                }
                // An answer without a tail has broken off, even if the connection was closed cleanly.
                Ok(Some(Err(_)) | None) | Err(_) => return Read::Broken,
            }
            if self.sink.is_closed() {
                return Read::HungUp;
            }
        }
    }

    /// Passes a frame on; returns the last one.
    async fn pass(&mut self, frame: Frame) -> Option<Read> {
        let passed = match frame {
            Frame::NotRun(Refused { stamp, .. }) => {
                self.sink.observe(stamp);
                return Some(Read::Frame(frame));
            }
            Frame::Tail(tail) => {
                self.sink.observe(tail.stamp);
                self.sink.count(tail.tokens);
                return Some(Read::Frame(frame));
            }
            Frame::KeepAlive => Ok(()),
            Frame::Head(head) => self.sink.head(head).await,
            Frame::Data(data) => {
                self.offset += data.len() as u64;
                self.sink.data(self.clock.now(), data).await
            }
        };
        match passed {
            Ok(()) => None,
            Err(HungUp) => Some(Read::HungUp),
        }
    }
}

async fn refused(body: Incoming, sink: &mut Sink) -> Step {
    let body = http_body_util::Limited::new(body, MAX_REFUSAL_BYTES).collect();
    let refused = match tokio::time::timeout(ADMISSION_TIMEOUT, body).await {
        Ok(Ok(body)) => serde_json::from_slice::<Refused>(&body.to_bytes()).ok(),
        _ => None,
    };
    // The status alone proves that the attempt was refused.
    Step::Done(match refused {
        Some(Refused {
            refusal,
            report,
            stamp,
        }) => {
            sink.observe(stamp);
            Outcome::Refused(refusal, Some(report))
        }
        None => not_run(Reason::Full),
    })
}

fn not_run(reason: Reason) -> Outcome {
    Outcome::Refused(Refusal::new(reason), None)
}

fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("methods and paths are visible ASCII")
}
