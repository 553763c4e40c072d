use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use ebonylug_core::{
    AttemptId, Clock, End, Incarnation, Offer, Outcome, Reason, Refusal, RevokeOutcome,
};
use ebonylug_events::Stamp;
use ebonylug_net::client::{self, Client};
use ebonylug_net::frame::{Frame, Reader, Tail};
use ebonylug_net::key::SharedKey;
use ebonylug_net::rpc::SidecarLink;
use ebonylug_net::wire::{self, RefusalMessage};

use crate::sink::{Disconnected, Sink};

/// Timeout for a sidecar to admit or refuse an attempt. The sidecar decides immediately; the rest
/// of the time allows for the transfer of the body.
const ADMISSION_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle timeout between two frames of a response: three keep-alive intervals.
const FRAME_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of queries to a sidecar for the state of an interrupted attempt.
const MAX_RECOVERY_TRIES: u32 = 4;
/// Delay before the second query; doubles after each query.
const RECOVERY_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum size of the body of a refusal.
const MAX_REFUSAL_BYTES: usize = 64 << 10;

/// A caller's request in the form in which it is forwarded to the target.
#[derive(Clone, Debug)]
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// The path and query at the target.
    pub path: Box<str>,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// A client for the data path and the control calls of one sidecar.
pub struct SidecarClient {
    /// The address of the data path.
    pub data_address: SocketAddr,
    /// The client for control calls.
    pub link: SidecarLink,
    bearer: HeaderValue,
    client: Client,
    clock: Arc<dyn Clock>,
}

/// The result of fetching the response of an earlier attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchResult {
    /// The complete response was read.
    Complete,
    /// The sidecar has not run the attempt.
    NotSeen,
    /// The attempt ran, or may have run, and no complete response is available.
    Incomplete,
    /// The sidecar did not respond.
    Unreachable,
}

/// The result of sending, recovering or resuming an attempt.
enum Step {
    Done(Outcome),
    /// The connection broke or timed out; the sidecar must be queried for the state of the attempt.
    Broken,
    /// The caller disconnected.
    Disconnected,
}

impl SidecarClient {
    /// Creates a client. Connections are opened on first use.
    #[must_use]
    pub fn new(
        data_address: SocketAddr,
        control_address: SocketAddr,
        key: &SharedKey,
        client: Client,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let bearer = format!("Bearer {}", key.bearer());
        SidecarClient {
            data_address,
            link: SidecarLink::new(control_address, key.clone()),
            bearer: HeaderValue::from_str(&bearer).expect("the token is hex"),
            client,
            clock,
        }
    }

    /// Runs one attempt and forwards its response to `sink`.
    ///
    /// The outcome is `Refused` only if the request is known not to have run. When a connection
    /// breaks or times out, the sidecar is queried over a new one: an attempt that it has not seen
    /// is revoked, and the response of a running attempt is resumed at the last received byte.
    pub async fn run(&self, offer: &Offer, call: &Call, sent: Stamp, sink: &mut Sink) -> Outcome {
        let mut run = AttemptRun {
            sidecar: self,
            offer,
            reader: ResponseReader::new(sink, &*self.clock),
        };
        let mut step = run.dispatch(call, sent).await;
        loop {
            step = match step {
                Step::Done(outcome) => return outcome,
                Step::Disconnected => return run.cancel().await,
                Step::Broken => run.recover().await,
            };
        }
    }

    /// Reads the complete response of an attempt that this or another entry has sent.
    pub async fn fetch(
        &self,
        attempt: AttemptId,
        incarnation: Incarnation,
        sink: &mut Sink,
    ) -> FetchResult {
        let path = format!("/attempts/{attempt}?offset=0");
        let mut request = Request::new(Full::default());
        *request.uri_mut() = self.uri(&path);
        let headers = request.headers_mut();
        headers.insert(header::AUTHORIZATION, self.bearer.clone());
        headers.insert(wire::INCARNATION, header_value(&incarnation.to_string()));
        let response = match self.client.send_unpooled(request, ADMISSION_TIMEOUT).await {
            Ok(response) => response,
            Err(_) => return FetchResult::Unreachable,
        };
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return FetchResult::NotSeen,
            StatusCode::GONE => return FetchResult::Incomplete,
            _ => return FetchResult::Unreachable,
        }
        let mut reader = ResponseReader::new(sink, &*self.clock);
        match reader.read(response.into_body()).await {
            ReadEnd::Frame(Frame::Tail(tail)) if tail.end == End::Answered => FetchResult::Complete,
            ReadEnd::Frame(Frame::NotRun(_)) => FetchResult::NotSeen,
            ReadEnd::Frame(_) => FetchResult::Incomplete,
            ReadEnd::Broken | ReadEnd::Disconnected => FetchResult::Unreachable,
        }
    }

    fn uri(&self, path: &str) -> http::Uri {
        let uri = format!("http://{}{path}", self.data_address);
        uri.parse().expect("an address and a path make a URI")
    }
}

/// An attempt in flight.
struct AttemptRun<'a> {
    sidecar: &'a SidecarClient,
    offer: &'a Offer,
    reader: ResponseReader<'a>,
}

impl AttemptRun<'_> {
    async fn dispatch(&mut self, call: &Call, sent: Stamp) -> Step {
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = self.sidecar.uri("/dispatch");
        *request.headers_mut() = call.headers.clone();
        let headers = request.headers_mut();
        headers.insert(wire::OFFER, wire::offer_header(self.offer));
        headers.insert(wire::STAMP, header_value(&sent.to_string()));
        headers.insert(wire::METHOD, header_value(call.method.as_str()));
        headers.insert(wire::PATH, header_value(&call.path));
        headers.insert(header::AUTHORIZATION, self.sidecar.bearer.clone());
        match self.sidecar.client.send(request, ADMISSION_TIMEOUT).await {
            Ok(response) => self.receive(response).await,
            Err(client::Error::Connect) => Step::Done(not_run(Reason::Down)),
            Err(_) => Step::Broken,
        }
    }

    async fn receive(&mut self, response: Response<Incoming>) -> Step {
        match response.status() {
            StatusCode::OK => self.read(response.into_body()).await,
            StatusCode::CONFLICT => read_refusal(response.into_body(), self.reader.sink).await,
            // The attempt ran, and its response is no longer retained.
            StatusCode::GONE => Step::Done(Outcome::Failed),
            // The request was rejected before admission, so it did not run.
            status if status.is_client_error() => Step::Done(not_run(Reason::Invalid)),
            _ => Step::Broken,
        }
    }

    /// Determines the state of an attempt whose connection broke, and resumes it if possible.
    async fn recover(&mut self) -> Step {
        let mut backoff = RECOVERY_BACKOFF;
        for _ in 0..MAX_RECOVERY_TRIES {
            let revoked = self
                .sidecar
                .link
                .revoke(self.offer.attempt, self.offer.incarnation)
                .await;
            match revoked {
                Ok(RevokeOutcome::NotRun) => return Step::Done(not_run(Reason::Revoked)),
                Ok(RevokeOutcome::Unknown) => return Step::Done(Outcome::Unknown),
                Ok(RevokeOutcome::Running | RevokeOutcome::Finished) => match self.resume().await {
                    Step::Broken => {}
                    step => return step,
                },
                Err(error) => {
                    tracing::warn!(attempt = %self.offer.attempt, %error, "entry: sidecar did not respond to a revocation");
                }
            }
            tokio::time::sleep(backoff).await;
            backoff *= 2;
        }
        Step::Done(Outcome::Unknown)
    }

    async fn resume(&mut self) -> Step {
        let path = format!(
            "/attempts/{}?offset={}",
            self.offer.attempt, self.reader.offset
        );
        let mut request = Request::new(Full::default());
        *request.uri_mut() = self.sidecar.uri(&path);
        request
            .headers_mut()
            .insert(header::AUTHORIZATION, self.sidecar.bearer.clone());
        match self
            .sidecar
            .client
            .send_unpooled(request, ADMISSION_TIMEOUT)
            .await
        {
            Ok(response) if response.status() == StatusCode::OK => {
                self.read(response.into_body()).await
            }
            // The response is no longer retained.
            Ok(_) => Step::Done(Outcome::Failed),
            Err(_) => Step::Broken,
        }
    }

    async fn read(&mut self, body: Incoming) -> Step {
        match self.reader.read(body).await {
            ReadEnd::Frame(Frame::NotRun(refused)) => {
                Step::Done(Outcome::Refused(refused.refusal, Some(refused.report)))
            }
            ReadEnd::Frame(Frame::Tail(tail)) => Step::Done(self.outcome(tail)),
            ReadEnd::Frame(_) | ReadEnd::Broken => Step::Broken,
            ReadEnd::Disconnected => Step::Disconnected,
        }
    }

    fn outcome(&self, tail: Tail) -> Outcome {
        match tail.end {
            End::Answered => Outcome::Answered,
            End::Cancelled if tail.preempted => Outcome::Preempted {
                // The tail counts the tokens of all attempts, the router those of this attempt.
                received: tail.tokens.saturating_sub(self.offer.offset),
            },
            End::Cancelled | End::Failed | End::Crashed => Outcome::Failed,
        }
    }

    async fn cancel(&self) -> Outcome {
        if let Err(error) = self.sidecar.link.cancel(self.offer.attempt).await {
            tracing::debug!(attempt = %self.offer.attempt, %error, "entry: sidecar did not respond to a cancellation");
        }
        Outcome::Failed
    }
}

/// Reads the response of an attempt, which may span several connections.
struct ResponseReader<'a> {
    sink: &'a mut Sink,
    clock: &'a dyn Clock,
    /// Number of body bytes received so far.
    offset: u64,
}

/// Why reading of a response ended.
enum ReadEnd {
    /// The final frame of the response arrived.
    Frame(Frame),
    /// The connection broke or timed out.
    Broken,
    /// The caller disconnected.
    Disconnected,
}

impl<'a> ResponseReader<'a> {
    fn new(sink: &'a mut Sink, clock: &'a dyn Clock) -> Self {
        ResponseReader {
            sink,
            clock,
            offset: 0,
        }
    }

    /// Reads frames until the response ends, the connection breaks or the caller disconnects.
    async fn read(&mut self, mut body: Incoming) -> ReadEnd {
        let mut frames = Reader::new();
        loop {
            match frames.next() {
                Ok(Some(frame)) => {
                    if let Some(end) = self.forward(frame).await {
                        return end;
                    }
                    continue;
                }
                Ok(None) => {}
                Err(error) => {
                    tracing::warn!(%error, "entry: invalid frame from a sidecar");
                    return ReadEnd::Broken;
                }
            }
            match tokio::time::timeout(FRAME_TIMEOUT, body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Some(data) = frame.data_ref() {
                        frames.push(data);
                    }
                }
                // A response without a tail is truncated, even if the connection was closed
                // cleanly.
                Ok(Some(Err(_)) | None) | Err(_) => return ReadEnd::Broken,
            }
            if self.sink.is_closed() {
                return ReadEnd::Disconnected;
            }
        }
    }

    /// Forwards a frame to the sink. Returns `Some` once reading must end.
    async fn forward(&mut self, frame: Frame) -> Option<ReadEnd> {
        let forwarded = match frame {
            Frame::NotRun(RefusalMessage { stamp, .. }) => {
                self.sink.record_stamp(stamp);
                return Some(ReadEnd::Frame(frame));
            }
            Frame::Tail(tail) => {
                self.sink.record_stamp(tail.stamp);
                self.sink.set_output_tokens(tail.tokens);
                return Some(ReadEnd::Frame(frame));
            }
            Frame::KeepAlive => Ok(()),
            Frame::Head(head) => self.sink.send_head(head).await,
            Frame::Data(data) => {
                self.offset += data.len() as u64;
                self.sink.send_data(self.clock.now(), data).await
            }
        };
        match forwarded {
            Ok(()) => None,
            Err(Disconnected) => Some(ReadEnd::Disconnected),
        }
    }
}

async fn read_refusal(body: Incoming, sink: &mut Sink) -> Step {
    let body = http_body_util::Limited::new(body, MAX_REFUSAL_BYTES).collect();
    let refused = match tokio::time::timeout(ADMISSION_TIMEOUT, body).await {
        Ok(Ok(body)) => serde_json::from_slice::<RefusalMessage>(&body.to_bytes()).ok(),
        _ => None,
    };
    // The status alone shows that the attempt was refused, even if the body cannot be read.
    Step::Done(match refused {
        Some(RefusalMessage {
            refusal,
            report,
            stamp,
        }) => {
            sink.record_stamp(stamp);
            Outcome::Refused(refusal, Some(report))
        }
        None => not_run(Reason::Full),
    })
}

fn not_run(reason: Reason) -> Outcome {
    Outcome::Refused(Refusal::new(reason), None)
}

fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("methods and paths are visible ASCII")
}
