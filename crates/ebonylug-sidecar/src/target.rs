use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, Uri, header};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use tokio::net::TcpStream;

use ebonylug_core::{AttemptId, End};
use ebonylug_net::client::{self, Client};
use ebonylug_net::frame::Head;
use ebonylug_net::wire;

use crate::response::ResponseBuffer;
use crate::settings::{Settings, TargetKind};
use crate::sse::{self, EventSplitter};
use crate::state::{Attempt, SidecarState};

/// Timeout for checking whether a target accepts connections.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of new connections for one attempt after its connection stalled.
const MAX_RESUMES: u32 = 2;

/// The largest body of a request that a socket takes at once. The target may end its answer to a longer request
/// before the request is written.
const MAX_SENT_BYTES: usize = 64 << 10;

/// The call of one attempt to the target.
#[derive(Clone, Debug)]
pub struct Call {
    /// The id of the attempt, which the target receives.
    pub attempt: AttemptId,
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub path: Box<str>,
    /// The headers to forward.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Output tokens that earlier attempts have delivered.
    pub offset: u64,
}

/// How a call to the target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The attempt ended in this way; the target may have received the call.
    Ended(End),
    /// No connection could be established: the target did not receive the call.
    NotRun,
}

/// The result of a call on one connection.
enum Step {
    Ended(CallEnd),
    /// No bytes arrived within the timeout.
    Stalled,
}

/// Runs calls to one target.
pub struct TargetClient {
    settings: Arc<Settings>,
    client: Client,
    state: Arc<SidecarState>,
}

impl TargetClient {
    /// Creates a client of the target in the settings.
    pub fn new(settings: Arc<Settings>, state: Arc<SidecarState>) -> Self {
        TargetClient {
            settings,
            client: Client::new(),
            state,
        }
    }

    /// Runs a call to its end, and writes the response to the buffer of the attempt as it arrives.
    ///
    /// If the connection of a streamed response of a model stalls, the stream is resumed on a new
    /// connection after the last complete event. Other calls are not repeated, since they may have
    /// run. `tokens` counts the delivered output tokens, including those of earlier attempts.
    pub async fn run(&self, call: &Call, attempt: &Attempt, tokens: &mut u64) -> CallEnd {
        for resume in 0..=MAX_RESUMES {
            let step = tokio::select! {
                step = self.try_call(call, &attempt.response, tokens, resume > 0) => step,
                () = attempt.cancellation.cancelled() => return CallEnd::Ended(End::Cancelled),
            };
            match step {
                Step::Ended(end) => return end,
                Step::Stalled if !self.can_resume(call) => break,
                Step::Stalled => {
                    tracing::warn!(attempt = %call.attempt, tokens = *tokens, "target: connection stalled");
                }
            }
        }
        CallEnd::Ended(End::Failed)
    }

    fn can_resume(&self, call: &Call) -> bool {
        self.settings.kind == TargetKind::Model && is_stream(call)
    }

    async fn try_call(
        &self,
        call: &Call,
        buffer: &ResponseBuffer,
        tokens: &mut u64,
        resumed: bool,
    ) -> Step {
        let request = self.request(call, *tokens, resumed);
        let timeout = self.settings.silence;
        // Targets do not name the attempt that they answer, so on a kept connection a late copy of an answer
        // could not be told from the next one.
        match self.client.send_unpooled(request, timeout).await {
            Ok(response) => self.receive(call, response, buffer, tokens).await,
            Err(client::Error::Connect) if resumed => Step::Ended(CallEnd::Ended(End::Crashed)),
            Err(client::Error::Connect) => Step::Ended(CallEnd::NotRun),
            Err(client::Error::Timeout) => Step::Stalled,
            Err(client::Error::Lost(_)) => Step::Ended(CallEnd::Ended(self.disconnect_end().await)),
        }
    }

    fn request(&self, call: &Call, tokens: u64, resumed: bool) -> Request<Full<Bytes>> {
        let uri = format!("http://{}{}", self.settings.address, call.path);
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        // The path was validated when the dispatch was received.
        *request.uri_mut() = uri.parse::<Uri>().unwrap_or_default();
        *request.headers_mut() = call.headers.clone();
        let headers = request.headers_mut();
        headers.insert(wire::ATTEMPT, header_value(&call.attempt.to_string()));
        // Also sent when a call resumes before its first token, so that the target does not treat it
        // as a new call.
        if tokens > 0 || resumed {
            headers.insert(wire::RESUME, header_value(&tokens.to_string()));
        }
        request
    }

    async fn receive(
        &self,
        call: &Call,
        response: Response<Incoming>,
        buffer: &ResponseBuffer,
        tokens: &mut u64,
    ) -> Step {
        let (parts, mut body) = response.into_parts();
        // HTTP has no other final status.
        if !(200..600).contains(&parts.status.as_u16()) {
            return Step::Ended(CallEnd::Ended(End::Failed));
        }
        let is_framed = wire::announces_body(&parts.headers) || body.is_end_stream();
        let head = head(parts.status.as_u16(), &parts.headers);
        let streamed = is_event_stream(&head);
        match buffer.head() {
            None => buffer.set_head(head),
            // The entry has the head of a stream already, which only a stream continues.
            Some(first) if streamed && is_event_stream(&first) && first.status == head.status => {}
            Some(_) => return Step::Ended(CallEnd::Ended(End::Failed)),
        }
        let mut splitter = EventSplitter::default();
        let mut has_data = false;
        loop {
            let frame = match tokio::time::timeout(self.settings.silence, body.frame()).await {
                Err(_) => return Step::Stalled,
                Ok(None) => break,
                Ok(Some(Err(_))) => {
                    return Step::Ended(CallEnd::Ended(self.disconnect_end().await));
                }
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if !has_data {
                has_data = true;
                self.state.first_token(call.attempt);
            }
            if !streamed {
                buffer.push(data).await;
            } else if let Some(part) = splitter.push(&data) {
                let new = sse::count_tokens(&part);
                *tokens += new;
                self.state.progress(call.attempt, new);
                buffer.push(part).await;
            }
        }
        // The HTTP library reports a failed write of the request as the end of such a body.
        if !is_framed && call.body.len() > MAX_SENT_BYTES {
            return Step::Ended(CallEnd::Ended(self.disconnect_end().await));
        }
        let rest = splitter.into_rest();
        if !rest.is_empty() {
            buffer.push(rest).await;
        }
        // A complete response with a server error is forwarded like any other.
        Step::Ended(CallEnd::Ended(End::Answered))
    }

    /// Distinguishes a crashed target from one that closed a single connection.
    async fn disconnect_end(&self) -> End {
        if is_up(self.settings.address).await {
            End::Failed
        } else {
            End::Crashed
        }
    }
}

/// Reports whether a target accepts connections.
pub async fn is_up(address: std::net::SocketAddr) -> bool {
    let connect = TcpStream::connect(address);
    matches!(
        tokio::time::timeout(HEALTH_TIMEOUT, connect).await,
        Ok(Ok(_))
    )
}

fn head(status: u16, headers: &HeaderMap) -> Head {
    let forwarded = headers
        .iter()
        .filter(|(name, _)| !wire::is_hop_by_hop(name));
    let headers = forwarded
        .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
        .collect();
    Head { status, headers }
}

fn is_event_stream(head: &Head) -> bool {
    let mut headers = head.headers.iter();
    headers.any(|(name, value)| {
        **name == *header::CONTENT_TYPE.as_str() && value.starts_with("text/event-stream")
    })
}

fn is_stream(call: &Call) -> bool {
    #[derive(serde::Deserialize)]
    struct Body {
        #[serde(default)]
        stream: bool,
    }
    serde_json::from_slice(&call.body).is_ok_and(|body: Body| body.stream)
}

fn header_value(value: &str) -> HeaderValue {
    HeaderValue::from_str(value).expect("ids and numbers consist of visible ASCII")
}
